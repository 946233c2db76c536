package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
	"tealledge/internal/standin/ports"
)

// program builds the program once for the tests that start it.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "tealledge")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "tealledge")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(bin))
	}
	os.Exit(code)
}

// process is the program as the platform starts it, on a configuration that a test writes.
type process struct {
	t        testing.TB
	addr     string
	path     string
	log      lockedBuffer
	cmd      *exec.Cmd
	ended    chan error
	patience time.Duration // of serves
}

// freeAddr gives an address at which nobody listens but who asks for it.
func freeAddr(t testing.TB) string {
	t.Helper()
	kept, err := ports.Keep(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kept.Close() })
	return kept.Addrs[0]
}

type tree = map[string]any

// site gives the settings of a small site; each call gives its own.
func siteSettings(classes ...tree) tree {
	if classes == nil {
		classes = []tree{{"name": "only", "effect": "safe", "importance": 1, "slo-ns": 1e9, "deadline-ns": 2e9}}
	}
	return tree{"request-classes": classes, "family-info": tree{"level-kb": []float64{100, 200}, "level-worth": []float64{0.5, 1}, "positions": 1, "weight-kb": 3000}}
}

// start runs the program on settings, a list and a journal; wrap is a command that it is started by, if any.
func start(t testing.TB, settings tree, known []wire.Event, journal string, sockets int, wrap ...string) *process {
	t.Helper()
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, addr: freeAddr(t), path: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1), patience: 8 * time.Second}
	if known == nil {
		known = []wire.Event{}
	}
	text, err := json.Marshal(tree{"name": "n0", "listen": p.addr, "seed": "01", "limits": tree{"cores": 1, "memory_mb": 64, "sockets": sockets},
		"journal": journal, "known": tree{"pos": len(known), "entries": known}, "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.run(append(wrap, bin, "platform"))
	return p
}

// startOn runs the program on a file that lies there.
func startOn(t testing.TB, path, addr string) *process {
	t.Helper()
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, addr: addr, path: path, ended: make(chan error, 1), patience: 8 * time.Second}
	p.run([]string{bin, "platform"})
	return p
}

func (p *process) run(args []string) {
	p.t.Helper()
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.path, "NODE_NAME=n0", "NODE_LISTEN="+p.addr)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	p.t.Cleanup(func() { p.cmd.Process.Kill() })
}

// tested tells whether the front passes a test.
func (p *process) tested() bool {
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	fmt.Fprintln(conn, `{"msg":"probe","sid":"0000000000000001","attrs":{},"code":0}`)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	b := make([]byte, 256)
	n, _ := conn.Read(b)
	return strings.Contains(string(b[:n]), `"probed"`)
}

// ready waits until it passes a test, and gives how long that took from its start.
func (p *process) ready() time.Duration {
	p.t.Helper()
	began := time.Now()
	for !p.tested() {
		select {
		case err := <-p.ended:
			p.t.Fatalf("it ended: %v: %s", err, p.log.String())
		case <-time.After(10 * time.Millisecond):
		}
		if time.Since(began) > 10*time.Second {
			p.t.Fatalf("not ready in 10 s: %s", p.log.String())
		}
	}
	return time.Since(began)
}

// serves asks for a session of a class until one plays; a connection that is closed is opened again, as a client does that was
// turned away.
func (p *process) serves(w *platformsim.World, class string, sid uint64) {
	p.t.Helper()
	closed, refused := 0, 0
	for end := time.Now().Add(p.patience); time.Now().Before(end); {
		v, err := platformsim.Dial(w, p.addr)
		if err != nil {
			p.t.Fatal(err)
		}
		defer v.Close()
	asks:
		for ; time.Now().Before(end); sid++ {
			v.Write(strings.Replace(platformsim.Form(sid, class, 1500*time.Millisecond, ""), "copies:3", "copies:1", 1))
			select {
			case l := <-v.Lines:
				if l.Msg == wire.LineReady {
					v.GiveUp(sid)
					return
				}
				refused++
			case <-v.Ended:
				closed++
				time.Sleep(20 * time.Millisecond)
				break asks
			case <-time.After(3 * time.Second):
				p.t.Fatalf("%s: no answer: %s", class, p.log.String())
			}
		}
	}
	p.t.Fatalf("%s: nothing plays, %d closed, %d refused: %s", class, closed, refused, p.log.String())
}

// listOf gives an event with servers that answer and others at whose addresses nobody is.
func listOf(servers []*platformsim.Server, others int) []wire.Event {
	e := wire.Event{Pos: 1, Hosts: &wire.Hosts{Whole: true, Hosts: []wire.Host{}}}
	for _, s := range servers {
		e.Hosts.Hosts = append(e.Hosts.Hosts, wire.Host{Name: s.Name(), Address: s.Addr(), Health: wire.HostReady, Share: 10})
	}
	for i := range others {
		e.Hosts.Hosts = append(e.Hosts.Hosts, wire.Host{Name: fmt.Sprintf("other-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), Cell: 1 + i%9, Health: wire.HostReady, Share: 10})
	}
	return []wire.Event{e}
}

func TestItServesOnWhateverSettingsAreLeftOut(t *testing.T) {
	forty := []tree{}
	for i := range 40 {
		forty = append(forty, tree{"name": fmt.Sprintf("class number %d", i), "effect": []string{"safe", "unsafe"}[i%2], "importance": i, "slo-ns": 1e9, "deadline-ns": 3e9})
	}
	many := siteSettings()
	many["family-info"].(tree)["positions"] = 10
	for name, c := range map[string]struct {
		settings tree
		class    string
		others   int
	}{
		"one class, all that may be is left out": {siteSettings(tree{"name": "only"}), "only", 0},
		"forty classes":                          {siteSettings(forty...), "class number 39", 0},
		"1,100 servers":                          {many, "only", 1099},
	} {
		t.Run(name, func(t *testing.T) {
			w := platformsim.NewWorld()
			s, err := platformsim.NewServer(w, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Die()
			p := start(t, c.settings, listOf([]*platformsim.Server{s}, c.others), "", 256)
			t.Log("ready after", p.ready())
			p.serves(w, c.class, 100)
		})
	}
}

// Without a server it is ready and refuses; it serves as soon as one is listed.
func TestItServesOnceTheFirstServerIsListed(t *testing.T) {
	w := platformsim.NewWorld()
	j, err := platformsim.NewJournal(w, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	p := start(t, siteSettings(), nil, j.Addr(), 256)
	p.ready()
	v, err := platformsim.Dial(w, p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	v.Write(strings.Replace(platformsim.Form(7, "only", time.Second, ""), "copies:3", "copies:1", 1))
	if l := <-v.Lines; l.Msg != wire.LineClose || l.Code != wire.CauseRefused {
		t.Errorf("no servers: %+v", l)
	}
	s, err := platformsim.NewServer(w, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Die()
	j.Tell(true, wire.HostReady, s)
	p.serves(w, "only", 100)
}

func TestItEndsAtOnceAndNamesTheKey(t *testing.T) {
	family := func(key string, v any) tree {
		s := siteSettings()
		if s["family-info"].(tree)[key] = v; v == nil {
			delete(s["family-info"].(tree), key)
		}
		return s
	}
	for key, settings := range map[string]tree{
		"request-classes":         {"family-info": siteSettings()["family-info"]},
		"request-classes.0.name":  siteSettings(tree{"effect": "safe"}),
		"request-classes.1.name":  siteSettings(tree{"name": "a"}, tree{"name": "a"}),
		"family-info.level-kb":    family("level-kb", nil),
		"family-info.level-worth": family("level-worth", []float64{1}),
		"family-info.positions":   family("positions", nil),
		"family-info.weight-kb":   family("weight-kb", "much"),
		"family-info.lowest-rung": family("lowest-rung", []int{2}),
	} {
		p := start(t, settings, nil, "", 256)
		select {
		case err := <-p.ended:
			if text := p.log.String(); err == nil || strings.Count(text, "\n") != 1 || !strings.Contains(text, key+":") {
				t.Errorf("%s: %v: %q", key, err, text)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("%s: it goes on: %s", key, p.log.String())
		}
	}
}

// Idle clients and floods fill the descriptors while discovery is down: list, servers and usual clients keep theirs, and once the
// idle ones go all is as before. The system's own limit binds, as on the platform.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	w := platformsim.NewWorld()
	first, err := platformsim.NewServer(w, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Die()
	j, err := platformsim.NewJournal(w, nil)
	if err != nil {
		t.Fatal(err)
	}
	j.Tell(true, wire.HostReady, first)
	const most = 128
	p := start(t, siteSettings(), listOf([]*platformsim.Server{first}, 0), j.Addr(), most, "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, most))
	p.ready()
	p.patience = 3 * time.Second // for each of the following
	p.serves(w, "only", 100)
	moved, err := platformsim.NewJournal(w, j)
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	j.Close() // the front's next connects are refused
	var idle []net.Conn
	flood := func() {
		for range 400 {
			if c, err := net.DialTimeout("tcp", p.addr, time.Second); err == nil {
				idle = append(idle, c)
			}
		}
	}
	flood()
	if n := p.descriptors(); n > most-8 {
		t.Errorf("%d descriptors of %d", n, most)
	}
	p.serves(w, "only", 200) // new connections and set-ups
	second, err := platformsim.NewServer(w, 0x10)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Die()
	moved.Tell(false, wire.HostReady, second)
	flood()
	first.Die() // only the newly listed one is left
	text, err := os.ReadFile(p.path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.path, []byte(strings.Replace(string(text), j.Addr(), moved.Addr(), 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.serves(w, "only", 300)
	for _, c := range idle {
		c.Close()
	}
	for end := time.Now().Add(8 * time.Second); p.descriptors() > 40; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d descriptors after all have gone", p.descriptors())
		}
	}
	p.serves(w, "only", 400)
}

// descriptors counts what the process holds.
func (p *process) descriptors() int {
	p.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(list)
}
