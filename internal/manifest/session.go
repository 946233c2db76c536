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

// session is one HLS player's session, over all servers that it plays from. It is small: playlists are shared.
type session struct {
	hub    *Hub
	key    uint64 // stays the same; in its token
	claims hlstoken.Claims
	token  string
	same   viewerKey

	mu     sync.Mutex
	state  state
	answer chan struct{} // closed when the request under way is answered
	call   *Call
	no     refusal // how the last request ended, if it did not play
	name   string  // of the front's session that plays now
	id     uint64
	http   string // server that delivers
	rung   int
	moved  uint64 // token of a move, for the next request
	opened front.Time
	heard  front.Time
	list   hlssession.Playlist
	told   front.Time // when it was told a playlist last: too fast counts from there, so that waiting ends it
	fast   int        // reloads in a row that came too fast
	views  []*view    // by rung asked for
	gone   uint64     // discontinuities that an earlier front may have told of
}

// view is what one variant's player was told.
type view struct {
	hls.View
	next uint64
}

type state uint8

const (
	opening state = iota // a request is under way
	playing
	adrift // moved or lost: it is placed anew at the next reload
	over
)

// refusal is an answer that does not play.
type refusal struct {
	failed bool
	after  front.Time
}

// viewerKey is one viewer's wish: a second request for it is the same session.
type viewerKey struct {
	viewer uint64
	title  string
	class  int
}

// Call is a session's request as the owner sees it. The owner must never be held up here.
type Call struct {
	s    *session
	done atomic.Bool
	held map[uint64]struct{}
	ref  uint64
}

func (c *Call) Result(v any) bool {
	r, ok := v.(players.PlaysResult)
	if !ok || c.done.Swap(true) {
		return false
	}
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.call != c || s.state == over { // nobody asks for it any more; the owner must not wait for its own queue
		if id, ok := s.hub.owner.Number(r.Session); ok {
			go s.hub.owner.End(id)
		}
		return true
	}
	s.state, s.name, s.http, s.rung, s.opened = playing, r.Session, r.HTTP, r.Rung, s.hub.owner.Now()
	s.id, _ = s.hub.owner.Number(r.Session)
	close(s.answer)
	return true
}

func (c *Call) Fail(code int, _ string, data any) bool {
	if c.done.Swap(true) {
		return false
	}
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.call != c || s.state == over {
		return true
	}
	s.no = refusal{failed: code == players.CodeFailed}
	if d, ok := data.(players.NoData); ok {
		s.no.after = front.Time(d.RetryAfterMs) * 1e6
		s.name = d.Session
	}
	s.state = adrift
	close(s.answer)
	return true
}

// Notify takes what the module decides for a session that plays.
func (c *Call) Notify(method string, params any) {
	p, _ := params.(map[string]any)
	s := c.s
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
		s.moved = s.hub.owner.MovedToken(p["token"])
		s.state = adrift
	case "session.ended":
		s.state = adrift
		if why, _ := p["reason"].(front.EndReason); why == front.EndReasonFinished {
			s.state = over
		}
	}
}

func (c *Call) Left() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.s.call != c || c.s.state == over
}

func (c *Call) Drop()                     { c.done.Store(true) }
func (c *Call) Held() map[uint64]struct{} { return c.held }
func (c *Call) Ref() *uint64              { return &c.ref }

// ask sends a request for the session to the owner. The caller holds the session.
func (s *session) ask(again bool) (start func()) {
	s.state, s.answer, s.no = opening, make(chan struct{}), refusal{}
	c := &Call{s: s, held: map[uint64]struct{}{}}
	s.call = c
	a, ok := s.hub.wish(s.claims)
	a.Again, a.Token = again, s.moved
	s.moved = 0
	return func() {
		if !ok {
			c.Fail(players.CodeUnknownTitle, "", nil)
			return
		}
		s.hub.owner.Open(c, a)
	}
}

// view gives the view of a variant.
func (s *session) view(rung int) *view {
	for len(s.views) <= rung {
		s.views = append(s.views, nil)
	}
	if s.views[rung] == nil {
		s.views[rung] = &view{}
		s.views[rung].Before(s.gone)
	}
	return s.views[rung]
}
