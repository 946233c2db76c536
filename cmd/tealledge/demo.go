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
	s, err := day.Bad()
	if err != nil {
		return err
	}
	set := s.Service.Service
	farm, err := mediasim.New(mediasim.Params{Ladder: set.RungKB, Slots: s.Slots, LinkKB: s.LinkKB, UplinkKB: s.UplinkKB, Racks: set.Racks,
		Cells: set.Cells, SetupTime: s.SetupTime, ReportEvery: s.ReportEvery, NotesLate: time.Duration(set.NoteDelay),
		TellEvery: time.Duration(set.NoteInterval), Inline: true, Keep: s.Keep}, c.Servers, nil)
	if err != nil {
		return err
	}
	defer farm.Close()
	for _, m := range farm.Servers() {
		fmt.Printf("(server %d (address %q) (cell %d) (zone \"centro\") (kind \"std\"))\n", m.ID, m.Addr(), m.Cell)
	}
	fmt.Println("ready")
	<-ctx.Done()
	return nil
}

type standinListCmd struct {
	Listen string `help:"Address." default:"127.0.0.1:0"`
}

func (c *standinListCmd) Run(ctx context.Context) error {
	l, err := listsim.New(c.Listen, nil)
	if err != nil {
		return err
	}
	defer l.Close()
	fmt.Printf("ready http://%s\n", l.Addr())
	go read(l, os.Stdin) // it may wait for lines for ever
	<-ctx.Done()
	return nil
}

// read lists the servers that are read, a (server ...) line each.
func read(l *listsim.List, in io.Reader) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var s listsim.Server
		if _, err := fmt.Sscanf(lines.Text(), `(server %d (address %q) (cell %d)`, &s.ID, &s.Addr, &s.Cell); err != nil {
			if strings.HasPrefix(lines.Text(), "(") {
				fmt.Fprintf(os.Stderr, "not a server: %.80q: %v\n", lines.Text(), err)
			}
			continue
		}
		s.Zone, s.Kind, s.Size, s.Health = "centro", "std", 1, "ready"
		l.Set(s)
	}
}

type demoCmd struct {
	Listen  string `help:"Where the front listens." default:"127.0.0.1:0"`
	Servers int    `help:"Media stand-ins." default:"12"`
}

// child is a process of the demo.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

func spawn(args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self, args...)}
	c.cmd.Stderr = os.Stderr
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM} // none outlives the demo
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

// until reads lines up to one with a prefix and gives the rest of that.
func (c *child) until(prefix string, each func(string)) (string, error) {
	for c.out.Scan() {
		if rest, ok := strings.CutPrefix(c.out.Text(), prefix); ok {
			return strings.TrimSpace(rest), nil
		}
		if each != nil {
			each(c.out.Text())
		}
	}
	return "", fmt.Errorf("a child ended before it was ready: %v", c.cmd.Args[1:])
}

func (c *child) end() {
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
	list, err := spawn("standin", "list")
	if err != nil {
		return err
	}
	defer list.end()
	at, err := list.until("ready http://", nil)
	if err != nil {
		return err
	}
	media, err := spawn("standin", "media", "--servers", fmt.Sprint(c.Servers))
	if err != nil {
		return err
	}
	defer media.end()
	if _, err := media.until("ready", func(line string) { fmt.Fprintln(list.in, line) }); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "tealledge-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s, err := day.Bad()
	if err != nil {
		return err
	}
	s.Fronts = 1
	path := filepath.Join(dir, "settings.sexp")
	if err := os.WriteFile(path, []byte(s.Settings(day.Place{Name: "demo", Listen: c.Listen, List: at, State: filepath.Join(dir, "state")}, "")), 0o644); err != nil {
		return err
	}
	front, err := spawn("serve", "--pretty", "-c", path)
	if err != nil {
		return err
	}
	defer front.end()
	url, err := front.until("ready ", func(line string) { fmt.Println(line) })
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
	nc, err := playersim.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	params := map[string]any{"title": c.Title, "class": c.Class, "viewer": c.Viewer}
	if c.Tenant != "" {
		params["tenant"] = c.Tenant
	}
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": "session.open", "params": params, "id": 1})
	if err != nil {
		return err
	}
	if err := wsutil.WriteClientText(nc, text); err != nil {
		return err
	}
	nc.SetReadDeadline(time.Now().Add(c.For))
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	for {
		text, err := wsutil.ReadServerText(nc)
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() || ctx.Err() != nil {
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
