package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gobwas/ws/wsutil"

	"tealledge/internal/day"
	"tealledge/internal/standin/listsim"
	"tealledge/internal/standin/mediasim"
	"tealledge/internal/standin/playersim"
)

type standinCmd struct {
	Media standinMediaCmd `cmd:"" help:"Media servers on loopback; prints one (server ...) line each."`
	List  standinListCmd  `cmd:"" help:"A Consul-like list of the servers that are read from standard input."`
	Echo  standinEchoCmd  `cmd:"" help:"A bare WebSocket echo, to measure a front against."`
}

type standinMediaCmd struct {
	Servers int `help:"How many." default:"12"`
}

func (c *standinMediaCmd) Run(ctx context.Context) error {
	script, err := day.BadDay()
	if err != nil {
		return err
	}
	settings := script.Service.Service
	farm, err := mediasim.New(mediasim.Params{Ladder: settings.RungKB, Slots: script.Slots, LinkKB: script.LinkKB,
		UplinkKB: script.UplinkKB, Racks: settings.Racks,
		Cells: settings.Cells, SetupTime: script.SetupTime, ReportInterval: script.ReportInterval,
		NoteDelay:    time.Duration(settings.NoteDelay),
		NoteInterval: time.Duration(settings.NoteInterval), InlineReports: true,
		SessionTimeout: script.SessionTimeout}, c.Servers, nil)
	if err != nil {
		return err
	}
	defer farm.Close()
	for _, server := range farm.Servers() {
		fmt.Printf("(server %d (address %q) (cell %d) (zone \"centro\") (kind \"std\"))\n", server.ID, server.Addr(),
			server.Cell)
	}
	fmt.Println("ready")
	<-ctx.Done()
	return nil
}

type standinListCmd struct {
	Listen string `help:"Address." default:"127.0.0.1:0"`
}

func (c *standinListCmd) Run(ctx context.Context) error {
	list, err := listsim.New(c.Listen, nil)
	if err != nil {
		return err
	}
	defer list.Close()
	fmt.Printf("ready http://%s\n", list.Addr())
	go readServers(list, os.Stdin) // may block on standard input for the rest of the process
	<-ctx.Done()
	return nil
}

// readServers adds the servers read from in to the list. Each is a line (server ...).
func readServers(list *listsim.List, in io.Reader) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var server listsim.Server
		if _, err := fmt.Sscanf(lines.Text(), `(server %d (address %q) (cell %d)`, &server.ID, &server.Addr,
			&server.Cell); err != nil {
			if strings.HasPrefix(lines.Text(), "(") {
				fmt.Fprintf(os.Stderr, "not a server: %.80q: %v\n", lines.Text(), err)
			}
			continue
		}
		server.Zone, server.Kind, server.Size, server.Health = "centro", "std", 1, "ready"
		list.Set(server)
	}
}

type demoCmd struct {
	Listen  string `help:"Where the front listens." default:"127.0.0.1:0"`
	Servers int    `help:"Media stand-ins." default:"12"`
}

// child is a child process, such as a stand-in of the demo.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

// startChild starts this program with other arguments.
func startChild(args ...string) (*child, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(executable, args...)}
	c.cmd.Stderr = os.Stderr
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM} // ends the child if this process dies
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.out = bufio.NewScanner(out)
	return c, c.cmd.Start()
}

// readUntil reads lines up to one with the given prefix and returns the rest of that line. It passes the earlier lines
// to handle.
func (c *child) readUntil(prefix string, handle func(string)) (string, error) {
	for c.out.Scan() {
		if rest, ok := strings.CutPrefix(c.out.Text(), prefix); ok {
			return strings.TrimSpace(rest), nil
		}
		if handle != nil {
			handle(c.out.Text())
		}
	}
	return "", fmt.Errorf("a child ended before it was ready: %v", c.cmd.Args[1:])
}

// stop ends the child with SIGTERM, and kills it if it still runs after 15 s.
func (c *child) stop() {
	c.cmd.Process.Signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() { c.cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(15 * time.Second):
		c.cmd.Process.Kill()
		<-done
	}
}

func (c *demoCmd) Run(ctx context.Context) error {
	list, err := startChild("standin", "list")
	if err != nil {
		return err
	}
	defer list.stop()
	listAddr, err := list.readUntil("ready http://", nil)
	if err != nil {
		return err
	}
	media, err := startChild("standin", "media", "--servers", fmt.Sprint(c.Servers))
	if err != nil {
		return err
	}
	defer media.stop()
	if _, err := media.readUntil("ready", func(line string) { fmt.Fprintln(list.in, line) }); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "tealledge-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	script, err := day.BadDay()
	if err != nil {
		return err
	}
	script.Fronts = 1
	path := filepath.Join(dir, "settings.sexp")
	if err := os.WriteFile(path, []byte(script.Settings(day.FrontParams{Name: "demo", Listen: c.Listen,
		ListAddr: listAddr, StateDir: filepath.Join(dir, "state")}, "")), 0o644); err != nil {
		return err
	}
	front, err := startChild("serve", "--pretty", "-c", path)
	if err != nil {
		return err
	}
	defer front.stop()
	url, err := front.readUntil("ready ", func(line string) { fmt.Println(line) })
	if err != nil {
		return err
	}
	fmt.Println("ready", url)
	<-ctx.Done()
	return nil
}

type playCmd struct {
	URL    string        `arg:"" help:"ws://HOST:PORT/v1/sessions, as printed by serve or demo."`
	Title  string        `default:"guide-0"`
	Class  string        `default:"research"`
	Tenant string        `default:""`
	Viewer string        `default:"someone"`
	For    time.Duration `help:"Watch so long." default:"5s"`
}

func (c *playCmd) Run(ctx context.Context) error {
	addr, _, _ := strings.Cut(strings.TrimPrefix(c.URL, "ws://"), "/")
	conn, err := playersim.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	params := map[string]any{"title": c.Title, "class": c.Class, "viewer": c.Viewer}
	if c.Tenant != "" {
		params["tenant"] = c.Tenant
	}
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": "session.open", "params": params, "id": 1})
	if err != nil {
		return err
	}
	if err := wsutil.WriteClientText(conn, text); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(c.For))
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	for {
		text, err := wsutil.ReadServerText(conn)
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		fmt.Println(string(text))
		if strings.Contains(string(text), `"error"`) {
			return nil
		}
	}
}
