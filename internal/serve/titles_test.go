package serve

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tealledge/internal/catalogue"
	"tealledge/internal/config"
	"tealledge/internal/record"
	"tealledge/internal/standin/playersim"
)

// titleHolders holds a version's content: by title, its servers and the bit sets of their rungs.
type titleHolders map[string]map[uint32]uint32

func buildVersion(t *testing.T, number uint64, titles titleHolders) *catalogue.Version {
	t.Helper()
	v, err := catalogue.Build(number, func(yield func(*catalogue.Title) bool) {
		for name, servers := range titles {
			x := &catalogue.Title{Name: name}
			for id := uint32(1); id <= 3; id++ {
				if servers[id] != 0 {
					x.Holders = append(x.Holders, catalogue.Holding{Server: id, Rungs: servers[id]})
				}
			}
			if !yield(x) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestCatalogueChangesUnderLoad adds, removes and moves titles while players open sessions. No set-up may reach a
// server that did not hold its title at that rung in a recent version; a server that is in the catalogue but not in the
// server list gets no requests; and truncated deltas change nothing.
//
// TEALLEDGE_CLIENTS=500 runs that many players for a minute, with a change each second.
func TestCatalogueChangesUnderLoad(t *testing.T) {
	clients, length, interval := 30, 4*time.Second, 150*time.Millisecond
	if n, err := strconv.Atoi(os.Getenv("TEALLEDGE_CLIENTS")); err == nil {
		clients, length, interval = n, time.Minute, time.Second
	}
	rng := rand.New(rand.NewSource(4))
	randomHolders := func() titleHolders {
		holders := titleHolders{}
		for _, name := range []string{"a", "b", "c", "d"} {
			if rng.Float64() < 0.15 {
				continue // absent from this version
			}
			servers := map[uint32]uint32{9: 0b111} // server 9 is not in the server list
			for id := uint32(1); id <= 3; id++ {
				if rng.Float64() < 0.6 {
					servers[id] = []uint32{0b1, 0b11, 0b111, 0b110}[rng.Intn(4)]
				}
			}
			holders[name] = servers
		}
		return holders
	}
	dir := catalogue.Dir{Path: t.TempDir()}
	now := randomHolders()
	v := buildVersion(t, 1, now)
	if err := dir.Deliver("full.cat", v.Write); err != nil {
		t.Fatal(err)
	}
	x := newSite(t, fmt.Sprintf("(catalogue %q)", dir.Path))
	defer x.leave()
	type period struct {
		from, to time.Time
		h        titleHolders
	}
	var mu sync.Mutex
	versions := map[uint64]titleHolders{1: now}
	var periods []period // when the front used each version, which may be later than its delivery
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	viewers := playersim.New(x.rec, 1, 1, func(int) (string, string) { return "f", x.s.Addr() })
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				viewers.Watch(context.Background(), playersim.Viewer{Name: fmt.Sprintf("v%d-%d", i, n),
					Title: []string{"a", "b", "c", "d"}[(i+n)%4],
					Class: []string{"safe", "floored"}[i%2], ClassIndex: []int{0, 2}[i%2], Top: 2,
					WatchTime: 60 * time.Millisecond})
				time.Sleep(time.Duration(clients) * time.Second / 3000)
			}
		}()
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for last := uint64(0); ctx.Err() == nil; time.Sleep(time.Millisecond) {
			if n := x.s.cfg.Catalogue.Current().Number; n != last {
				mu.Lock()
				if len(periods) > 0 {
					// Sessions opened before, queued set-ups and retries still use the previous version.
					periods[len(periods)-1].to = time.Now().Add(800 * time.Millisecond)
				}
				periods = append(periods, period{from: time.Now().Add(-50 * time.Millisecond), h: versions[n]})
				mu.Unlock()
				last = n
			}
		}
	}()
	changes := 0
	for ctx.Err() == nil {
		time.Sleep(interval)
		holders := randomHolders()
		next := buildVersion(t, v.Number+1, holders)
		d := catalogue.Diff(v, next)
		name := fmt.Sprintf("%d.delta", v.Number)
		if changes%3 == 0 { // truncated first
			var b strings.Builder
			d.Write(&b)
			os.WriteFile(filepath.Join(dir.Path, name), []byte(b.String()[:b.Len()/2]), 0o644)
			time.Sleep(100 * time.Millisecond)
		}
		mu.Lock()
		versions[next.Number] = holders
		mu.Unlock()
		if err := dir.Deliver(name, d.Write); err != nil {
			t.Fatal(err)
		}
		v = next
		changes++
	}
	wg.Wait()
	<-watched
	checked := 0
	for _, e := range x.rec.Events() {
		if e.Kind != record.SetupReceived {
			continue
		}
		checked++
		at, ok := time.Unix(0, e.At), false
		for _, s := range periods {
			if at.After(s.from) && (s.to.IsZero() || at.Before(s.to)) && s.h[e.Title][e.Server]>>e.Rung&1 == 1 {
				ok = true
			}
		}
		if !ok {
			t.Errorf("a set-up of %q at rung %d reached server %d, which held it in no version in use at that time",
				e.Title, e.Rung, e.Server)
		}
	}
	if checked < 60 || len(periods) < 4 {
		t.Errorf("%d set-ups, %d versions in use", checked, len(periods))
	}
	t.Logf("%d set-ups, %d changes, %d versions in use", checked, changes, len(periods))
	x.audit()
}

// TestFallsBackToSavedCatalogue checks that a front whose catalogue source is unreadable serves by the saved copy.
func TestFallsBackToSavedCatalogue(t *testing.T) {
	state, source := t.TempDir(), t.TempDir()
	v := buildVersion(t, 5, titleHolders{"a": {1: 0b111}})
	if err := (&catalogue.Dir{Path: source}).Deliver("full.cat", v.Write); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse("t",
		fmt.Sprintf(`(front (name "f") (list (consul "127.0.0.1:1")) (state %q) (catalogue %q))`,
			state, source)+serviceSettings)
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{cfg: cfg, log: zerolog.Nop()}
	if err := s.loadCatalogue(); err != nil {
		t.Fatal(err)
	}
	s.saveCatalogue(context.Background(), 0)
	os.WriteFile(filepath.Join(source, "full.cat"), []byte("nonsense"), 0o644)
	cfg.Catalogue = nil
	if err := s.loadCatalogue(); err != nil || cfg.Catalogue.Current().VersionID != v.VersionID {
		t.Error(err)
	}
	os.Remove(filepath.Join(state, "full.cat"))
	if err := s.loadCatalogue(); err == nil {
		t.Error("started without any catalogue")
	}
}

// TestServesWithoutUsableSessionStore checks that paid and safe sessions are served if the state directory is a file,
// and if the store's files are invalid, in which case the store is renamed.
func TestServesWithoutUsableSessionStore(t *testing.T) {
	for name, prepare := range map[string]func(state string) error{
		"no directory": func(state string) error { return os.WriteFile(state, nil, 0o644) },
		"nonsense": func(state string) error {
			if err := os.MkdirAll(filepath.Join(state, "sessions"), 0o755); err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(state, "sessions", "CURRENT"), []byte("nonsense\n"), 0o644)
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := filepath.Join(t.TempDir(), "s")
			if err := prepare(state); err != nil {
				t.Fatal(err)
			}
			x := newSiteState(t, state)
			defer x.leave()
			viewers := playersim.New(x.rec, 1, 0, func(int) (string, string) { return "f", x.s.Addr() })
			for i, class := range []string{"safe", "paid"} {
				viewers.Watch(context.Background(), playersim.Viewer{Name: "v" + class, Title: "a", Class: class,
					ClassIndex: i, Top: 2, WatchTime: 50 * time.Millisecond})
			}
			x.audit()
			plays := 0
			for _, e := range x.rec.Events() {
				if e.Kind == record.ReplyReceived && e.Text == "plays" {
					plays++
				}
			}
			if plays != 2 {
				t.Errorf("%d of 2 sessions played", plays)
			}
		})
	}
}
