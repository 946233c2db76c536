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

// freeAddress returns an address whose port is reserved for TCP and free for UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range 50 {
		kept, err := ports.Reserve(1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { kept.Close() })
		if u, err := net.ListenPacket("udp", kept.Addrs[0]); err == nil {
			u.Close()
			return kept.Addrs[0]
		}
	}
	t.Fatal("no free port")
	return ""
}

// front is a node with its log and the last value passed to keepFree.
type front struct {
	*Node
	mu           sync.Mutex
	reservations core.Reservations
	log          bytes.Buffer
}

func (f *front) Write(b []byte) (int, error) { f.mu.Lock(); defer f.mu.Unlock(); return f.log.Write(b) }

func (f *front) reservedFor(server uint32) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reservations.Servers[server]
}

func start(t *testing.T, cfg Config) *front {
	t.Helper()
	f := &front{}
	n, err := New(cfg, zerolog.New(f).Level(zerolog.InfoLevel),
		func(k core.Reservations) { f.mu.Lock(); f.reservations = k; f.mu.Unlock() })
	if err != nil {
		t.Fatal(err)
	}
	f.Node = n
	var list []core.Server
	for i := range 6 {
		list = append(list, core.Server{ID: uint32(i + 1), Rack: i / 2, LinkKB: 1000, Ready: true})
	}
	n.SetServers(list, nil)
	return f
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
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

// TestFleetOverSockets: four fronts form a fleet over sockets. Work requested over HTTP at a front that does not vote
// goes out and is done. A front with another key or another fleet's name is refused and counted and disturbs no other
// front.
func TestFleetOverSockets(t *testing.T) {
	key := bytes.Repeat([]byte{7}, 32)
	var addrs, seeds []string
	for i := range 4 {
		addrs = append(addrs, freeAddress(t))
		seeds = append(seeds, fmt.Sprintf("f%d=%s", i+1, addrs[i]))
	}
	cfg := func(i int) Config {
		return Config{Name: fmt.Sprintf("f%d", i+1), Cluster: "test", Listen: addrs[i], Join: seeds,
			Keys: [][]byte{key}, Voters: []string{"f1", "f2", "f3"},
			Dir: t.TempDir(), Control: "127.0.0.1:0", Limits: upkeep.Limits{Rack: 1, Zone: 2, Whole: 2, Fronts: 1,
				Patience: 1e9},
			Timeouts:   upkeep.Timeouts{AckTimeout: 3e9, DrainTimeout: 10e9, ReturnTimeout: 60e9, WarmUpTime: 1e9},
			StaleAfter: 15 * time.Second}
	}
	var fronts []*front
	for i := range 4 {
		f := start(t, cfg(i))
		defer f.Close()
		fronts = append(fronts, f)
	}
	status := func(f *front) (s core.Status) {
		f.Inspect(context.Background(), func(c *core.Core) { s = c.Status() })
		return s
	}
	waitFor(t, "all fronts know the leader", func() bool {
		for _, f := range fronts {
			if s := status(f); s.Leader == "" || !s.Fresh {
				return false
			}
		}
		return true
	})
	var a ledger.CommandResult
	if err := call(t, "POST", fronts[3].ControlAddr(), "/upkeep/ask",
		WorkRequest{Names: []string{"server:1"}, WorkDuration: 10 * time.Second, Key: "a"}, &a); err != nil || a.ID == 0 {
		t.Fatal(a, err)
	}
	phase := func(f *front, id uint64) (p ledger.Phase) {
		f.Inspect(context.Background(), func(c *core.Core) {
			if w := c.State().Work(id); w != nil {
				p = w.Phase
			}
		})
		return p
	}
	waitFor(t, "the work goes out", func() bool { return phase(fronts[3], a.ID) == ledger.Out })
	for i, f := range fronts {
		waitFor(t, "every front keeps the server free", func() bool { return f.reservedFor(1) == a.ID })
		_ = i
	}
	var b ledger.CommandResult
	if err := call(t, "POST", fronts[0].ControlAddr(), "/upkeep/ask",
		WorkRequest{Names: []string{"2"}, WorkDuration: 10 * time.Second, Key: "b"}, &b); err != nil || b.ID == 0 {
		t.Fatal(b, err)
	}
	for _, f := range fronts {
		waitFor(t, "every front reports why the work waits", func() bool {
			var l Listing
			err := call(t, "GET", f.ControlAddr(), fmt.Sprintf("/upkeep/%d", b.ID), nil, &l)
			return err == nil && len(l.Works) == 1 && l.Works[0].WaitReason != nil &&
				l.Works[0].WaitReason.Limit == "rack" && l.Works[0].WaitReason.Behind[0] == a.ID
		})
	}
	for path, body := range map[string]any{"/upkeep/ask": map[string]any{"names": []string{"1"}, "why": 1},
		"/upkeep/done":   WorkCommand{ID: 999, Key: "x"},
		"/upkeep/cancel": WorkCommand{ID: a.ID, Key: "y"}} {
		var got ledger.CommandResult
		if err := call(t, "POST", fronts[1].ControlAddr(), path, body, &got); err == nil && got.Err == "" {
			t.Errorf("%s accepted %v", path, body)
		}
	}

	wrongKey := cfg(3)
	wrongKey.Name, wrongKey.Listen, wrongKey.Keys = "s1", freeAddress(t), [][]byte{bytes.Repeat([]byte{8}, 32)}
	wrongCluster := cfg(3)
	wrongCluster.Name, wrongCluster.Listen, wrongCluster.Cluster = "s2", freeAddress(t), "another"
	for _, c := range []Config{wrongKey, wrongCluster} {
		c.Voters, c.Dir, c.Control = []string{"f1", "f2", "f3"}, "", ""
		s := start(t, c)
		defer s.Close()
	}
	waitFor(t, "refused fronts are counted", func() bool {
		n := uint64(0)
		for _, f := range fronts {
			n += f.members.Refused.Load()
		}
		return n >= 2
	})
	if s := status(fronts[0]); len(s.Fronts) != 4 {
		t.Errorf("members: %+v", s.Fronts)
	}
	if err := call(t, "POST", fronts[2].ControlAddr(), "/upkeep/done",
		WorkCommand{ID: a.ID, Key: "d"}, &a); err != nil || a.Err != "" {
		t.Fatal(a, err)
	}
	waitFor(t, "the work is done", func() bool { return phase(fronts[3], a.ID) == ledger.Done })
	waitFor(t, "the second work goes out", func() bool { return phase(fronts[3], b.ID) == ledger.Out })
	fronts[3].mu.Lock()
	defer fronts[3].mu.Unlock()
	if text := fronts[3].log.String(); !strings.Contains(text, `"phase":"out"`) {
		t.Error("the log does not have the phase:\n" + text)
	}
}
