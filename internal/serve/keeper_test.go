package serve

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tealledge/decide/addresses"
	"tealledge/decide/recovery"
	"tealledge/internal/config"
	"tealledge/internal/front"
	"tealledge/internal/serverlist"
	"tealledge/policy"
)

// TestAPaidSetUpThatWaitsForItsRecord is sent when the store answers, also with an error, and when it takes too long; it is
// never sent if its server drains or its player leaves meanwhile.
func TestAPaidSetUpThatWaitsForItsRecord(t *testing.T) {
	for name, c := range map[string]struct {
		then func(s *Server, now front.Time)
		sent int
		hold bool // the next paid set-up waits again
	}{
		"written": {func(s *Server, now front.Time) {
			s.keep.stored(now, stored{session: s.core.LastID(), took: time.Millisecond})
		}, 1, true},
		"can't be written": {func(s *Server, now front.Time) {
			s.keep.stored(now, stored{session: s.core.LastID(), err: errors.New("disk full")})
		}, 1, false},
		"takes too long":    {func(s *Server, now front.Time) { s.keep.tick(s.now() + recovery.WriteTimeout) }, 1, true},
		"of an old attempt": {func(s *Server, now front.Time) { s.keep.stored(now, stored{session: s.core.LastID(), attempt: 7}) }, 0, true},
		"its server drains": {func(s *Server, now front.Time) {
			s.step(now, front.Listed{List: policy.List{Kind: policy.ListDelta, Entries: []policy.Entry{{Server: 1, Size: 1, Health: policy.Draining}}}})
		}, 0, true},
		"its player leaves": {func(s *Server, now front.Time) { s.step(now, front.Leave{Session: s.core.LastID()}) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			x := &site{t: t, dir: t.TempDir()}
			cfg, err := config.Parse("t", x.settings("127.0.0.1:1", `(listen "127.0.0.1:0")`))
			if err != nil {
				t.Fatal(err)
			}
			s, err := New(cfg, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			defer s.hub.Shutdown(t.Context())
			defer s.links.Close()
			defer s.cancel()
			s.keep.open()
			defer s.keep.close()
			now := s.now()
			s.believe(policy.ListFull, []serverlist.Entry{{Entry: policy.Entry{Server: 1, Size: 1}, Addr: "127.0.0.1:1",
				Paths: []addresses.Path{{Addr: "127.0.0.1:1", Family: addresses.IPv4}}}}, now)
			ask := func() {
				s.step(now, front.Request{Player: 1, ReadAt: now, Title: 1, Copies: 3, Class: 1, Viewer: 9, Top: 2})
			}
			ask()
			if held, _ := s.desk.Counts(); len(s.keep.waiting) != 1 || held != 0 {
				t.Fatal("it did not wait", len(s.keep.waiting), held)
			}
			c.then(s, now)
			if held, _ := s.desk.Counts(); held != c.sent || name != "of an old attempt" && len(s.keep.waiting) != 0 {
				t.Errorf("%d sent, %d wait", held, len(s.keep.waiting))
			}
			if s.keep.health.ShouldWait(now+1) != c.hold {
				t.Error("whether the next one waits")
			}
			if s.core.Stats().Faults > 0 {
				t.Error("faults")
			}
		})
	}
}
