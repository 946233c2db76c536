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

// TestPaidSetUpWaitsForItsRecord checks that a paid set-up is sent when the store answers, also with an error, or takes
// too long, and that it is never sent if its server drains or its player leaves meanwhile.
func TestPaidSetUpWaitsForItsRecord(t *testing.T) {
	for name, c := range map[string]struct {
		then func(s *Server, now front.Time)
		sent int
		hold bool // the next paid set-up also waits for its record
	}{
		"written": {func(s *Server, now front.Time) {
			s.store.handleRecordWritten(now, recordWritten{session: s.core.LastID(), took: time.Millisecond})
		}, 1, true},
		"can't be written": {func(s *Server, now front.Time) {
			s.store.handleRecordWritten(now, recordWritten{session: s.core.LastID(), err: errors.New("disk full")})
		}, 1, false},
		"takes too long": {func(s *Server, now front.Time) { s.store.tick(s.now() + recovery.WriteTimeout) }, 1, true},
		"of an old attempt": {func(s *Server, now front.Time) {
			s.store.handleRecordWritten(now, recordWritten{session: s.core.LastID(), attempt: 7})
		}, 0, true},
		"its server drains": {func(s *Server, now front.Time) {
			s.step(now, front.Listed{List: policy.List{Kind: policy.ListDelta,
				Entries: []policy.Entry{{Server: 1, Size: 1, Health: policy.Draining}}}})
		}, 0, true},
		"its player leaves": {func(s *Server, now front.Time) {
			s.step(now, front.Leave{Session: s.core.LastID()})
		}, 0, true},
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
			defer s.conns.Close()
			defer s.cancel()
			s.store.open()
			defer s.store.close()
			now := s.now()
			s.applyList(policy.ListFull, []serverlist.Entry{{Entry: policy.Entry{Server: 1, Size: 1},
				Addr: "127.0.0.1:1", Addresses: []addresses.Address{{Addr: "127.0.0.1:1", Family: addresses.IPv4}}}}, now)
			sendRequest := func() {
				s.step(now, front.Request{Player: 1, ReadAt: now, Title: 1, Copies: 3, Class: 1, Viewer: 9, Top: 2})
			}
			sendRequest()
			if held, _ := s.protocol.Counts(); len(s.store.waiting) != 1 || held != 0 {
				t.Fatal("the set-up did not wait", len(s.store.waiting), held)
			}
			c.then(s, now)
			if held, _ := s.protocol.Counts(); held != c.sent ||
				name != "of an old attempt" && len(s.store.waiting) != 0 {
				t.Errorf("%d set-ups sent, %d waiting", held, len(s.store.waiting))
			}
			if s.store.health.ShouldWait(now+1) != c.hold {
				t.Error("wrong decision whether the next paid set-up waits")
			}
			if s.core.Stats().Faults > 0 {
				t.Error("the core reported faults")
			}
		})
	}
}
