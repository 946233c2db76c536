package manifest

import (
	"sync"
	"sync/atomic"

	"tealledge/decide/hlssession"
	"tealledge/internal/front"
	"tealledge/internal/hls"
	"tealledge/internal/hlstoken"
	"tealledge/internal/players"
)

// session is the session of one HLS player, across all servers that it plays from. It is small: playlists are shared.
type session struct {
	hub    *Hub
	key    uint64 // constant for the session's lifetime; part of its token
	claims hlstoken.Claims
	token  string
	viewer viewerKey

	mu                  sync.Mutex
	state               state
	answered            chan struct{} // closed when the request in flight is answered
	call                *Call
	refusal             refusal // result of the most recent request, if it did not start playback
	name                string  // name of the front's session that plays now
	id                  uint64
	serverAddr          string // HTTP address of the server that delivers the segments
	rung                int
	moveToken           uint64 // token of the most recent move, for the next request
	openedAt            front.Time
	lastRequestAt       front.Time
	playlist            hlssession.Playlist
	servedAt            front.Time // last playlist sent; the reload rate is measured from it
	fastReloads         int        // consecutive reloads that came too fast; a reload that has waited clears it
	views               []*view    // by requested rung
	pastDiscontinuities uint64     // discontinuities that an earlier front may have announced
}

// view is what was sent to the player for one variant.
type view struct {
	hls.View
	next uint64 // media sequence number after the last segment announced
}

type state uint8

const (
	opening state = iota // a request is in flight
	playing
	unplaced // the session was moved or lost: the next reload requests a new one
	ended
)

// refusal is a reply that does not start playback.
type refusal struct {
	failed     bool
	retryAfter front.Time
}

// viewerKey identifies what one viewer plays: a second request with the same key belongs to the same session.
type viewerKey struct {
	viewer uint64
	title  string
	class  int
}

// Call is a session's request as the owner sees it. Its methods must never block the owner.
type Call struct {
	session  *session
	done     atomic.Bool
	sessions map[uint64]struct{}
	handle   uint64
}

// Result receives the result of a request whose session plays. It returns false if v is not such a result or the
// request was answered before.
func (c *Call) Result(v any) bool {
	r, ok := v.(players.PlaysResult)
	if !ok || c.done.Swap(true) {
		return false
	}
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	// A session that is no longer wanted is ended from a goroutine, as the owner must not wait for its own queue.
	if s.call != c || s.state == ended {
		if id, ok := s.hub.owner.SessionID(r.Session); ok {
			go s.hub.owner.EndSession(id)
		}
		return true
	}
	s.state, s.name, s.serverAddr, s.rung, s.openedAt = playing, r.Session, r.HTTP, r.Rung, s.hub.owner.Now()
	s.id, _ = s.hub.owner.SessionID(r.Session)
	close(s.answered)
	return true
}

// Fail receives the error of a request whose session does not play. It returns false if the request was answered
// before.
func (c *Call) Fail(code int, _ string, data any) bool {
	if c.done.Swap(true) {
		return false
	}
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.call != c || s.state == ended {
		return true
	}
	s.refusal = refusal{failed: code == players.CodeFailed}
	if d, ok := data.(players.ErrorData); ok {
		s.refusal.retryAfter = front.Time(d.RetryAfterMs) * 1e6
		s.name = d.Session
	}
	s.state = unplaced
	close(s.answered)
	return true
}

// Notify applies a notification about the session that plays: a new rung, a move or its end.
func (c *Call) Notify(method string, params any) {
	p, _ := params.(map[string]any)
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.call != c {
		return
	}
	switch method {
	case "session.rung":
		if r, ok := p["rung"].(int); ok {
			s.rung = r
		}
	case "session.moved":
		s.moveToken = s.hub.owner.ParseMoveToken(p["token"])
		s.state = unplaced
	case "session.ended":
		s.state = unplaced
		if why, _ := p["reason"].(front.EndReason); why == front.EndReasonFinished {
			s.state = ended
		}
	}
}

// Disconnected reports whether the call is no longer wanted: the session has ended or has made a newer request.
func (c *Call) Disconnected() bool {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	return c.session.call != c || c.session.state == ended
}

// Drop ends a call without an answer.
func (c *Call) Drop() { c.done.Store(true) }

// Sessions returns the owner's set of sessions that end with the player.
func (c *Call) Sessions() map[uint64]struct{} { return c.sessions }

// Handle returns a pointer to the handle that the owner has given the call.
func (c *Call) Handle() *uint64 { return &c.handle }

// request prepares a new request for the session and returns the function that sends it to the owner. The caller
// holds the session's mutex, and calls start after it has released it.
func (s *session) request(repeated bool) (start func()) {
	s.state, s.answered, s.refusal = opening, make(chan struct{}), refusal{}
	c := &Call{session: s, sessions: map[uint64]struct{}{}}
	s.call = c
	coreRequest, ok := s.hub.coreRequest(s.claims)
	coreRequest.Again, coreRequest.Token = repeated, s.moveToken
	s.moveToken = 0
	return func() {
		if !ok {
			c.Fail(players.CodeUnknownTitle, "", nil)
			return
		}
		s.hub.owner.Open(c, coreRequest)
	}
}

// view returns the view of a variant and creates it if necessary.
func (s *session) view(rung int) *view {
	for len(s.views) <= rung {
		s.views = append(s.views, nil)
	}
	if s.views[rung] == nil {
		s.views[rung] = &view{}
		s.views[rung].AddPastDiscontinuities(s.pastDiscontinuities)
	}
	return s.views[rung]
}
