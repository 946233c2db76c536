package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"tealledge/decide/upkeep"
	"tealledge/internal/fleet/core"
	"tealledge/internal/fleet/ledger"
	"tealledge/internal/standin/ports"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// free gives an address that is kept for TCP, and free for UDP.
func free(t testing.TB) string {
	t.Helper()
	for range 50 {
		kept, err := ports.Keep(1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { kept.Close() })
		if u, err := net.ListenPacket("udp", kept.Addrs[0]); err == nil {
			u.Close()
			return kept.Addrs[0]
		}
	}
	t.Fatal("no port")
	return ""
}

type front struct {
	*Node
	mu    sync.Mutex
	keeps core.Keeps
	log   bytes.Buffer
}

func (f *front) Write(b []byte) (int, error) { f.mu.Lock(); defer f.mu.Unlock(); return f.log.Write(b) }

func (f *front) kept(server uint32) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keeps.Servers[server]
}

func start(t *testing.T, cfg Config) *front {
	t.Helper()
	f := &front{}
	n, err := New(cfg, zerolog.New(f).Level(zerolog.InfoLevel), func(k core.Keeps) { f.mu.Lock(); f.keeps = k; f.mu.Unlock() })
	if err != nil {
		t.Fatal(err)
	}
	f.Node = n
	var list []core.Server
	for i := range 6 {
		list = append(list, core.Server{ID: uint32(i + 1), Rack: i / 2, KB: 1000, Ready: true})
	}
	n.Servers(list, nil)
	return f
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not within 40 s: " + what)
}

func call(t *testing.T, method, addr, path string, body, to any) error {
	t.Helper()
	b, _ := json.Marshal(body)
	req, _ := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(b))
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	defer http.DefaultClient.CloseIdleConnections()
	if r.StatusCode != 200 {
		var e struct{ Error string }
		json.NewDecoder(r.Body).Decode(&e)
		return fmt.Errorf("%s", e.Error)
	}
	return json.NewDecoder(r.Body).Decode(to)
}

// Four fronts on sockets: a fleet forms, work is asked for over HTTP at a front that does not vote, goes out, is done, and
// a front of another key or another fleet's name is refused and counted, and harms nobody.
func TestAFleetOnSockets(t *testing.T) {
	key := bytes.Repeat([]byte{7}, 32)
	var addrs, seeds []string
	for i := range 4 {
		addrs = append(addrs, free(t))
		seeds = append(seeds, fmt.Sprintf("f%d=%s", i+1, addrs[i]))
	}
	cfg := func(i int) Config {
		return Config{Name: fmt.Sprintf("f%d", i+1), Cluster: "test", Listen: addrs[i], Join: seeds, Keys: [][]byte{key}, Voters: []string{"f1", "f2", "f3"},
			Dir: t.TempDir(), Control: "127.0.0.1:0", Limits: upkeep.Limits{Rack: 1, Zone: 2, Whole: 2, Fronts: 1, Patience: 1e9},
			Times: upkeep.Timeouts{AckTimeout: 3e9, DrainTimeout: 10e9, ReturnTimeout: 60e9, WarmUpTime: 1e9}, Stale: 15 * time.Second}
	}
	var fronts []*front
	for i := range 4 {
		f := start(t, cfg(i))
		defer f.Close()
		fronts = append(fronts, f)
	}
	status := func(f *front) (s core.Status) {
		f.Look(context.Background(), func(c *core.Core) { s = c.Status() })
		return s
	}
	until(t, "a leader known to all", func() bool {
		for _, f := range fronts {
			if s := status(f); s.Lead == "" || !s.Fresh {
				return false
			}
		}
		return true
	})
	var a ledger.Answer
	if err := call(t, "POST", fronts[3].ControlAddr(), "/upkeep/ask", Ask{Names: []string{"server:1"}, For: 10 * time.Second, Key: "a"}, &a); err != nil || a.ID == 0 {
		t.Fatal(a, err)
	}
	phase := func(f *front, id uint64) (p ledger.Phase) {
		f.Look(context.Background(), func(c *core.Core) {
			if w := c.State().Work(id); w != nil {
				p = w.Phase
			}
		})
		return p
	}
	until(t, "out", func() bool { return phase(fronts[3], a.ID) == ledger.Out })
	for i, f := range fronts {
		until(t, "kept everywhere", func() bool { return f.kept(1) == a.ID })
		_ = i
	}
	var b ledger.Answer
	if err := call(t, "POST", fronts[0].ControlAddr(), "/upkeep/ask", Ask{Names: []string{"2"}, For: 10 * time.Second, Key: "b"}, &b); err != nil || b.ID == 0 {
		t.Fatal(b, err)
	}
	for _, f := range fronts {
		until(t, "why it waits, told at every front", func() bool {
			var l Listing
			err := call(t, "GET", f.ControlAddr(), fmt.Sprintf("/upkeep/%d", b.ID), nil, &l)
			return err == nil && len(l.Works) == 1 && l.Works[0].Waits != nil && l.Works[0].Waits.Limit == "rack" && l.Works[0].Waits.Behind[0] == a.ID
		})
	}
	for path, body := range map[string]any{"/upkeep/ask": map[string]any{"names": []string{"1"}, "why": 1}, "/upkeep/done": Order{ID: 999, Key: "x"},
		"/upkeep/cancel": Order{ID: a.ID, Key: "y"}} {
		var got ledger.Answer
		if err := call(t, "POST", fronts[1].ControlAddr(), path, body, &got); err == nil && got.Err == "" {
			t.Errorf("%s took %v", path, body)
		}
	}

	strange := cfg(3)
	strange.Name, strange.Listen, strange.Keys = "s1", free(t), [][]byte{bytes.Repeat([]byte{8}, 32)}
	other := cfg(3)
	other.Name, other.Listen, other.Cluster = "s2", free(t), "another"
	for _, c := range []Config{strange, other} {
		c.Voters, c.Dir, c.Control = []string{"f1", "f2", "f3"}, "", ""
		s := start(t, c)
		defer s.Close()
	}
	until(t, "strangers counted", func() bool {
		n := uint64(0)
		for _, f := range fronts {
			n += f.members.Refused.Load()
		}
		return n >= 2
	})
	if s := status(fronts[0]); len(s.Here) != 4 {
		t.Errorf("here: %+v", s.Here)
	}
	if err := call(t, "POST", fronts[2].ControlAddr(), "/upkeep/done", Order{ID: a.ID, Key: "d"}, &a); err != nil || a.Err != "" {
		t.Fatal(a, err)
	}
	until(t, "done", func() bool { return phase(fronts[3], a.ID) == ledger.Done })
	until(t, "the second goes", func() bool { return phase(fronts[3], b.ID) == ledger.Out })
	fronts[3].mu.Lock()
	defer fronts[3].mu.Unlock()
	if text := fronts[3].log.String(); !strings.Contains(text, `"phase":"out"`) {
		t.Error("the log does not tell of it:\n" + text)
	}
}
