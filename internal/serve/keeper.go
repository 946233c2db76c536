package serve

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"tealledge/decide/outcome"
	"tealledge/decide/recovery"
	"tealledge/internal/front"
	"tealledge/internal/store"
	"tealledge/policy"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// keeper keeps what a front that dies must find again, and takes it up when it comes back. The owner drives it; what the
// store answers comes back to the owner as an event. Without a store, or with one that fails or hangs, all goes on as if
// it were not there; that is said once.
//
// Paid set-ups are written before they are sent. Safe ones are written once they play and nobody waits for that: one that
// is lost with the front is at worst asked for again, which is what happens to it anyway.
type keeper struct {
	s       *Server
	st      *store.Store
	health  recovery.StoreHealth
	asks    map[uint64]front.Request // open sessions, for their records
	tokens  map[uint64]uint64        // that they may be resumed by, once they play
	waiting map[uint64]held          // paid set-ups that wait for their record
	aliveAt front.Time
	last    *store.State // of the life before, until it is taken up
}

type held struct {
	setup front.Setup
	since front.Time
}

// stored is the store's word on a paid set-up's record.
type stored struct {
	session uint64
	attempt int
	took    time.Duration
	err     error
}

const aliveEvery = front.Time(500 * time.Millisecond)

func newKeeper(s *Server) *keeper {
	return &keeper{s: s, asks: map[uint64]front.Request{}, tokens: map[uint64]uint64{}, waiting: map[uint64]held{}}
}

// open opens the store. One that can't be read is put aside under another name and begun anew.
func (k *keeper) open() {
	dir := k.s.cfg.Front.StateDir
	if dir == "" || k.s.cfg.Front.NoRecover {
		return
	}
	path := filepath.Join(dir, "sessions")
	st, last, err := k.tryOpen(path)
	if err != nil && !errors.Is(err, store.ErrHeld) {
		aside := path + ".unreadable"
		os.RemoveAll(aside)
		if os.Rename(path, aside) == nil {
			k.s.log.Error().Err(err).Str("aside", aside).Msg("kept sessions can't be read: put aside, begun anew")
			st, last, err = k.tryOpen(path)
		}
	}
	if err != nil {
		k.s.log.Error().Err(err).Msg("served without a store: sessions do not outlive this process")
		return
	}
	if last.Damaged > 0 {
		k.s.log.Error().Int("records", last.Damaged).Msg("kept records damaged: left out")
	}
	k.st, k.last = st, last
}

func (k *keeper) tryOpen(path string) (*store.Store, *store.State, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, nil, err
	}
	return store.Open(path, vfs.Default)
}

// takeUp takes up what the life before left, once the servers are known.
func (k *keeper) takeUp(now front.Time) {
	last := k.last
	if last == nil || k.s.core.ReadyServers() == 0 {
		return
	}
	k.last = nil
	var adopted, torn, haunt, gone int
	for i := range last.Sessions {
		x := &last.Sessions[i]
		what, until := recovery.DecideSession(now, last.Alive, policy.Time(k.s.cfg.Front.ResumeFor), *x)
		a := front.Restore{Request: askOf(x), ID: x.Ask.ID, Server: x.Server, Attempt: x.Attempt, Rung: x.Rung, ExpiresAt: until}
		setup := front.Setup{Session: x.Ask.ID, Attempt: x.Attempt, Server: x.Server, Title: x.Ask.Title, Class: x.Ask.Class, Viewer: x.Ask.Viewer, Rung: x.Rung, Name: x.Name}
		switch {
		case what == recovery.Restore && k.s.desk.Address(x.Server) != "":
			adopted++
			k.asks[x.Ask.ID], k.tokens[x.Ask.ID] = a.Request, x.Token
			effects := k.s.core.Step(now, a)
			k.s.desk.Restore(now, setup, x.Stream)
			k.s.settle(effects)
		case what == recovery.TearDown:
			torn++
			k.s.desk.TearDownOrphan(now, x.Server, x.Stream)
			k.st.Forget(x.Ask.ID)
			k.s.settle(nil)
		case what == recovery.CountSeat:
			haunt++
			a.Unconfirmed = true
			k.s.step(now, a)
		default:
			gone++
			k.st.Forget(x.Ask.ID)
		}
	}
	if len(last.Sessions) > 0 {
		k.s.log.Info().Int("taken up", adopted).Int("torn down", torn).Int("seats held", haunt).Int("gone", gone).
			Dur("away", time.Duration(now-last.Alive)).Msg("sessions of the life before")
	}
}

// askOf gives the request that a kept session came from.
func askOf(x *recovery.Session) front.Request {
	a := &x.Ask
	return front.Request{Title: a.Title, Home: a.Home, Copies: a.Copies, Holders: a.Holders, Class: a.Class, Tenant: a.Tenant, Viewer: a.Viewer, Top: a.Top,
		Length: a.Length, Hinted: a.Hinted, Token: x.Token, Name: x.Name}
}

// took notes a request that was taken.
func (k *keeper) took(id uint64, ask front.Request) {
	if k.st != nil {
		k.asks[id] = ask
	}
}

func (k *keeper) record(session uint64, server uint32, attempt, rung int, stage recovery.Stage, token uint64) *recovery.Session {
	a := k.asks[session]
	return &recovery.Session{Ask: policy.SessionSpec{ID: session, Title: a.Title, Viewer: a.Viewer, Class: a.Class, Tenant: a.Tenant, Home: a.Home,
		Copies: a.Copies, Holders: a.Holders, Top: a.Top, Length: a.Length, Hinted: a.Hinted}, Name: a.Name, Server: server, Attempt: attempt, Rung: rung, Stage: stage,
		Token: token, Stream: k.s.desk.Stream(session), At: k.s.now()}
}

// effect sees an effect before it is carried out; it gives true if it is held back or dealt with here.
func (k *keeper) effect(effect front.Effect) bool {
	if k.st == nil {
		return false
	}
	switch e := effect.(type) {
	case front.Setup:
		now := k.s.now()
		if !k.s.cfg.Service.Classes[e.Class].Paid || !k.health.ShouldWait(now) {
			return false
		}
		k.waiting[e.Session] = held{e, now}
		k.st.Session(k.record(e.Session, e.Server, e.Attempt, e.Rung, recovery.InFlight, 0), func(took time.Duration, err error) {
			k.s.queue.Force(stored{e.Session, e.Attempt, took, err})
		})
		return true
	case front.Abandon:
		return k.withdraw(e.Session, e.Cause)
	case front.Withdraw:
		for id, h := range k.waiting {
			if h.setup.Server == e.Server {
				k.withdraw(id, outcome.Cancelled)
			}
		}
	case front.RungChanged: // else it would come back at the rung that it began with
		if _, open := k.asks[e.Session]; open {
			if old := k.tokens[e.Session]; old != 0 {
				k.st.Session(k.record(e.Session, k.s.desk.Server(e.Session), k.s.desk.Attempt(e.Session), e.Rung, recovery.Playing, old), nil)
			}
		}
	case front.Plays:
		k.tokens[e.Session] = e.Token
		k.st.Session(k.record(e.Session, e.Server, k.s.desk.Attempt(e.Session), e.Rung, recovery.Playing, e.Token), nil)
	}
	return false
}

// withdraw ends a set-up that waits for its record: it was never sent.
func (k *keeper) withdraw(session uint64, cause outcome.Cause) bool {
	h, ok := k.waiting[session]
	if !ok {
		return false
	}
	delete(k.waiting, session)
	k.s.later = append(k.s.later, front.AttemptEnded{Session: session, Attempt: h.setup.Attempt, Status: outcome.StatusOf(outcome.Unsent, cause, 0),
		Took: k.s.now() - h.since})
	return true
}

// stored goes on with a set-up whose record is written, or can't be.
func (k *keeper) stored(now front.Time, e stored) {
	if k.health.RecordWrite(now, front.Time(e.took), e.err) {
		k.s.log.Error().Err(e.err).Dur("took", e.took).Msg("the store fails or hangs: served without it")
	}
	if h, ok := k.waiting[e.session]; ok && h.setup.Attempt == e.attempt {
		delete(k.waiting, e.session)
		k.s.desk.Apply(now, h.setup)
	}
}

// tick goes on with set-ups whose record takes too long, and notes that this front lives.
func (k *keeper) tick(now front.Time) {
	if k.st == nil {
		return
	}
	for id, h := range k.waiting {
		if took := now - h.since; took >= recovery.WriteTimeout {
			delete(k.waiting, id)
			if k.health.RecordWrite(now, took, nil) {
				k.s.log.Error().Dur("took", time.Duration(took)).Msg("the store hangs: served without it")
			}
			k.s.desk.Apply(now, h.setup)
		}
	}
	if now-k.aliveAt >= aliveEvery {
		k.aliveAt = now
		k.st.Alive(now)
	}
}

func (k *keeper) forget(id uint64) {
	if k.st != nil {
		delete(k.asks, id)
		delete(k.tokens, id)
		k.st.Forget(id)
	}
}

func (k *keeper) close() {
	if k.st == nil {
		return
	}
	done := make(chan error, 1)
	go func() { done <- k.st.Close() }()
	select {
	case err := <-done:
		if err != nil {
			k.s.log.Error().Err(err).Msg("store not closed well")
		}
	case <-time.After(closeMost): // a disk that hangs holds no front up
		k.s.log.Error().Msg("the store hangs: left as it is")
	}
}
