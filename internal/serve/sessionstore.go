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

// sessionStore records the sessions that a front needs after a crash, and restores them at the next start. The owner
// calls it; responses of the store reach the owner as events. Without a store, or with one that fails or hangs, the
// front serves as if it had none, and logs that once.
//
// Paid set-ups are recorded before they are sent. Safe ones are recorded when they play, and nothing waits for that:
// one that is lost with the front is at worst requested again, which is what happens to it anyway.
type sessionStore struct {
	s           *Server
	db          *store.Store
	health      recovery.StoreHealth
	requests    map[uint64]front.Request // open sessions, for their records
	tokens      map[uint64]uint64        // resume tokens of sessions that play
	waiting     map[uint64]waitingSetup  // paid set-ups that wait for their record
	lastAliveAt front.Time
	previous    *store.State // state before the restart, until it is restored
}

// waitingSetup is a paid set-up that is sent once its record is written.
type waitingSetup struct {
	setup     front.Setup
	startedAt front.Time
}

// recordWritten is the event that the store has written a paid set-up's record, or failed to.
type recordWritten struct {
	session uint64
	attempt int
	took    time.Duration
	err     error
}

// aliveInterval is the interval between records that this front is running.
const aliveInterval = front.Time(500 * time.Millisecond)

func newSessionStore(s *Server) *sessionStore {
	return &sessionStore{s: s, requests: map[uint64]front.Request{}, tokens: map[uint64]uint64{},
		waiting: map[uint64]waitingSetup{}}
}

// open opens the store. One that can't be read is renamed, and a new one is created.
func (k *sessionStore) open() {
	dir := k.s.cfg.Front.StateDir
	if dir == "" || k.s.cfg.Front.NoRecover {
		return
	}
	path := filepath.Join(dir, "sessions")
	db, previous, err := k.tryOpen(path)
	if err != nil && !errors.Is(err, store.ErrLocked) {
		renamed := path + ".unreadable"
		os.RemoveAll(renamed)
		if os.Rename(path, renamed) == nil {
			k.s.log.Error().Err(err).Str("aside", renamed).
				Msg("session store can't be read; renamed it and created a new one")
			db, previous, err = k.tryOpen(path)
		}
	}
	if err != nil {
		k.s.log.Error().Err(err).Msg("no session store available; sessions will not survive a restart")
		return
	}
	if previous.Damaged > 0 {
		k.s.log.Error().Int("records", previous.Damaged).Msg("session store has damaged records; skipped them")
	}
	k.db, k.previous = db, previous
}

func (k *sessionStore) tryOpen(path string) (*store.Store, *store.State, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, nil, err
	}
	return store.Open(path, vfs.Default)
}

// restoreSessions restores the sessions from before the restart, once servers are known.
func (k *sessionStore) restoreSessions(now front.Time) {
	previous := k.previous
	if previous == nil || k.s.core.ReadyServers() == 0 {
		return
	}
	k.previous = nil
	var restored, tornDown, seatsHeld, expired int
	for i := range previous.Sessions {
		session := &previous.Sessions[i]
		decision, expiresAt := recovery.DecideSession(now, previous.AliveAt, policy.Time(k.s.cfg.Front.ResumeWindow),
			*session)
		restore := front.Restore{Request: requestOf(session), ID: session.Ask.ID, Server: session.Server,
			Attempt: session.Attempt, Rung: session.Rung, ExpiresAt: expiresAt}
		setup := front.Setup{Session: session.Ask.ID, Attempt: session.Attempt, Server: session.Server,
			Title: session.Ask.Title, Class: session.Ask.Class, Viewer: session.Ask.Viewer,
			Rung: session.Rung, Name: session.Name}
		switch {
		case decision == recovery.Restore && k.s.protocol.Address(session.Server) != "":
			restored++
			k.requests[session.Ask.ID], k.tokens[session.Ask.ID] = restore.Request, session.Token
			effects := k.s.core.Step(now, restore)
			k.s.protocol.Restore(now, setup, session.Stream)
			k.s.applyEffects(effects)
		case decision == recovery.TearDown:
			tornDown++
			k.s.protocol.TearDownOrphan(now, session.Server, session.Stream)
			k.db.DeleteSession(session.Ask.ID)
			k.s.applyEffects(nil)
		case decision == recovery.CountSeat:
			seatsHeld++
			restore.Unconfirmed = true
			k.s.step(now, restore)
		default:
			expired++
			k.db.DeleteSession(session.Ask.ID)
		}
	}
	if len(previous.Sessions) > 0 {
		k.s.log.Info().Int("taken up", restored).Int("torn down", tornDown).Int("seats held", seatsHeld).
			Int("gone", expired).Dur("away", time.Duration(now-previous.AliveAt)).
			Msg("restored sessions from before the restart")
	}
}

// requestOf returns the request of a recorded session.
func requestOf(session *recovery.Session) front.Request {
	spec := &session.Ask
	return front.Request{Title: spec.Title, Home: spec.Home, Copies: spec.Copies, Holders: spec.Holders,
		Class: spec.Class, Tenant: spec.Tenant, Viewer: spec.Viewer, Top: spec.Top,
		Length: spec.Length, Hinted: spec.Hinted, Token: session.Token, Name: session.Name}
}

// addRequest keeps an accepted request for the session's records.
func (k *sessionStore) addRequest(id uint64, request front.Request) {
	if k.db != nil {
		k.requests[id] = request
	}
}

// newRecord returns the record of a session.
func (k *sessionStore) newRecord(session uint64, server uint32, attempt, rung int, stage recovery.Stage,
	token uint64) *recovery.Session {
	request := k.requests[session]
	return &recovery.Session{Ask: policy.SessionSpec{ID: session, Title: request.Title, Viewer: request.Viewer,
		Class: request.Class, Tenant: request.Tenant, Home: request.Home, Copies: request.Copies,
		Holders: request.Holders, Top: request.Top, Length: request.Length, Hinted: request.Hinted},
		Name: request.Name, Server: server, Attempt: attempt, Rung: rung, Stage: stage,
		Token: token, Stream: k.s.protocol.Stream(session), At: k.s.now()}
}

// interceptEffect sees each effect before it is carried out. It returns true if the effect is delayed or was handled
// here.
func (k *sessionStore) interceptEffect(effect front.Effect) bool {
	if k.db == nil {
		return false
	}
	switch e := effect.(type) {
	case front.Setup:
		now := k.s.now()
		if !k.s.cfg.Service.Classes[e.Class].Paid || !k.health.ShouldWait(now) {
			return false
		}
		k.waiting[e.Session] = waitingSetup{e, now}
		k.db.PutSession(k.newRecord(e.Session, e.Server, e.Attempt, e.Rung, recovery.InFlight, 0),
			func(took time.Duration, err error) {
				k.s.queue.Force(recordWritten{e.Session, e.Attempt, took, err})
			})
		return true
	case front.Abandon:
		return k.cancelWaiting(e.Session, e.Cause)
	case front.Withdraw:
		for id, waiting := range k.waiting {
			if waiting.setup.Server == e.Server {
				k.cancelWaiting(id, outcome.Cancelled)
			}
		}
	case front.RungChanged: // otherwise the session would be restored at its first rung
		if _, open := k.requests[e.Session]; open {
			if token := k.tokens[e.Session]; token != 0 {
				k.db.PutSession(k.newRecord(e.Session, k.s.protocol.Server(e.Session), k.s.protocol.Attempt(e.Session),
					e.Rung, recovery.Playing, token), nil)
			}
		}
	case front.Plays:
		k.tokens[e.Session] = e.Token
		k.db.PutSession(k.newRecord(e.Session, e.Server, k.s.protocol.Attempt(e.Session), e.Rung, recovery.Playing,
			e.Token), nil)
	}
	return false
}

// cancelWaiting ends a set-up that waits for its record and so was never sent. It returns false if none waits.
func (k *sessionStore) cancelWaiting(session uint64, cause outcome.Cause) bool {
	waiting, ok := k.waiting[session]
	if !ok {
		return false
	}
	delete(k.waiting, session)
	k.s.deferredEvents = append(k.s.deferredEvents, front.AttemptEnded{Session: session,
		Attempt: waiting.setup.Attempt, Status: outcome.StatusOf(outcome.Unsent, cause, 0),
		Took: k.s.now() - waiting.startedAt})
	return true
}

// handleRecordWritten sends a set-up whose record was written or has failed.
func (k *sessionStore) handleRecordWritten(now front.Time, e recordWritten) {
	if k.health.RecordWrite(now, front.Time(e.took), e.err) {
		k.s.log.Error().Err(e.err).Dur("took", e.took).Msg("session store fails or hangs; continuing without it")
	}
	if waiting, ok := k.waiting[e.session]; ok && waiting.setup.Attempt == e.attempt {
		delete(k.waiting, e.session)
		k.s.protocol.Apply(now, waiting.setup)
	}
}

// tick sends set-ups whose records take too long, and records that this front is running.
func (k *sessionStore) tick(now front.Time) {
	if k.db == nil {
		return
	}
	for id, waiting := range k.waiting {
		if took := now - waiting.startedAt; took >= recovery.WriteTimeout {
			delete(k.waiting, id)
			if k.health.RecordWrite(now, took, nil) {
				k.s.log.Error().Dur("took", time.Duration(took)).Msg("session store hangs; continuing without it")
			}
			k.s.protocol.Apply(now, waiting.setup)
		}
	}
	if now-k.lastAliveAt >= aliveInterval {
		k.lastAliveAt = now
		k.db.PutAlive(now)
	}
}

// forget removes a session from memory and from the store.
func (k *sessionStore) forget(id uint64) {
	if k.db != nil {
		delete(k.requests, id)
		delete(k.tokens, id)
		k.db.DeleteSession(id)
	}
}

// close closes the store, waiting at most closeTimeout.
func (k *sessionStore) close() {
	if k.db == nil {
		return
	}
	done := make(chan error, 1)
	go func() { done <- k.db.Close() }()
	select {
	case err := <-done:
		if err != nil {
			k.s.log.Error().Err(err).Msg("closing the session store failed")
		}
	case <-time.After(closeTimeout): // a disk that hangs must not block the shutdown
		k.s.log.Error().Msg("session store hangs; left open")
	}
}
