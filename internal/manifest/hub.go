// Package manifest is the second way in for players: HLS addresses (RFC 8216) over HTTP. It serves manifests only;
// segments come from the media servers. Behind it are the same core, module and rules as behind the session API: the
// GET of a multivariant playlist is the request for a session, and its answer is the request's one answer.
//
// It has a listener of its own on net/http, beside netpoll: requests are short and come every few seconds a player, so
// a goroutine lives only while one is answered, and the standard server's limits on headers, lines and slow clients
// are well tried.
package manifest

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tealledge/decide/hlssession"
	"tealledge/internal/config"
	"tealledge/internal/front"
	"tealledge/internal/hls"
	"tealledge/internal/hlstoken"
	"tealledge/policy"
)

// Owner is the front that decides.
type Owner interface {
	Now() front.Time
	Open(c *Call, ask front.Request)
	End(session uint64)
	Number(name string) (uint64, bool)
	MovedToken(v any) uint64
}

// Hub serves manifests.
type Hub struct {
	cfg    *config.Config
	owner  Owner
	keys   *hlstoken.Keys
	origin *origin
	ln     net.Listener
	srv    *http.Server
	room   chan struct{} // requests at one time
	mu     sync.Mutex
	byKey  map[uint64]*session
	same   map[viewerKey]*session
	stop   chan struct{}
	done   sync.WaitGroup
}

const (
	cookie      = "tealledge"
	headerMost  = 8 << 10
	requestMost = 4096 // requests at one time; past it 503
	sweepEvery  = 500 * time.Millisecond
)

// New listens.
func New(cfg *config.Config, owner Owner) (*Hub, error) {
	var list [][]byte
	for _, k := range cfg.Front.HLSKeys {
		b, err := hex.DecodeString(k)
		if err != nil {
			return nil, fmt.Errorf("hls: keys are written in hex: %w", err)
		}
		list = append(list, b)
	}
	keys, err := hlstoken.NewKeys(list...)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", cfg.Front.HLSListen)
	if err != nil {
		return nil, fmt.Errorf("hls: %w", err)
	}
	h := &Hub{cfg: cfg, owner: owner, keys: keys, origin: newOrigin(owner.Now, cfg.Front.OriginWait), ln: ln,
		room: make(chan struct{}, requestMost), byKey: map[uint64]*session{}, same: map[viewerKey]*session{}, stop: make(chan struct{})}
	h.srv = &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, WriteTimeout: 15 * time.Second,
		IdleTimeout: 60 * time.Second, MaxHeaderBytes: headerMost}
	return h, nil
}

// Addr is where the hub listens.
func (h *Hub) Addr() net.Addr { return h.ln.Addr() }

// Serve serves until Shutdown.
func (h *Hub) Serve() error {
	h.done.Add(1)
	go h.sweep()
	if err := h.srv.Serve(h.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown ends the listener and waits for requests under way, in bounded time.
func (h *Hub) Shutdown(ctx context.Context) {
	close(h.stop)
	if h.srv.Shutdown(ctx) != nil {
		h.srv.Close()
	}
	h.origin.client.CloseIdleConnections()
	h.done.Wait()
}

// Sessions tells how many sessions are held.
func (h *Hub) Sessions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byKey)
}

// sweep ends sessions whose players stopped asking.
func (h *Hub) sweep() {
	defer h.done.Done()
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-t.C:
		}
		now := h.owner.Now()
		h.mu.Lock()
		var dead []*session
		for _, s := range h.byKey {
			s.mu.Lock()
			if s.state == over || s.state != opening && now >= hlssession.ExpiresAt(s.opened, s.heard, s.list) {
				dead = append(dead, s)
			}
			s.mu.Unlock()
		}
		h.mu.Unlock()
		for _, s := range dead {
			h.end(s)
		}
	}
}

// end forgets a session and has its stream torn down.
func (h *Hub) end(s *session) {
	h.mu.Lock()
	if h.byKey[s.key] == s {
		delete(h.byKey, s.key)
	}
	if h.same[s.same] == s {
		delete(h.same, s.same)
	}
	h.mu.Unlock()
	s.mu.Lock()
	plays := s.state == playing
	id := s.id
	s.state = over
	s.mu.Unlock()
	if plays {
		h.owner.End(id)
	}
}

// wish turns claims into what the core is asked.
func (h *Hub) wish(c hlstoken.Claims) (a front.Request, ok bool) {
	t, ok := h.cfg.Place(c.Title, c.Class)
	if !ok || c.Class < 0 || c.Class >= len(h.cfg.Classes) {
		return a, false
	}
	return front.Request{ReadAt: h.owner.Now(), Title: t.Number, Home: t.Home, Copies: t.Copies, Holders: t.Holders, Name: t.Name, Class: c.Class, Tenant: c.Tenant,
		Viewer: c.Viewer, Top: min(c.Top, len(h.cfg.Service.RungKB)-1)}, true
}

func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case h.room <- struct{}{}:
		defer func() { <-h.room }()
	default:
		h.later(w, policy.Second)
		return
	}
	w.Header().Set("Cache-Control", "no-store")
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/hls/"), "/")
	switch {
	case !strings.HasPrefix(r.URL.Path, "/hls/"):
		http.NotFound(w, r)
	case len(parts) == 2 && parts[1] == "master.m3u8" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		h.master(w, r, parts[0])
	case len(parts) == 3 && parts[0] == "s" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		h.media(w, r, parts[1], parts[2])
	case len(parts) == 2 && parts[0] == "s" && r.Method == http.MethodDelete:
		h.closed(w, parts[1])
	case r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete:
		w.Header().Set("Allow", "GET, HEAD, DELETE")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	default:
		http.NotFound(w, r)
	}
}

// claims reads what a request asks for, and who asks.
func (h *Hub) claims(w http.ResponseWriter, r *http.Request, title string) (c hlstoken.Claims, named bool, err error) {
	q := r.URL.Query()
	if _, ok := h.cfg.Place(title, 0); !ok {
		return c, false, errNoTitle
	}
	c.Title = title
	if c.Class = index(h.cfg.Classes, q.Get("class")); c.Class < 0 {
		return c, false, fmt.Errorf("no class %.60q", q.Get("class"))
	}
	if c.Tenant = index(h.cfg.Tenants, q.Get("tenant")); c.Tenant < 0 {
		if len(h.cfg.Tenants) > 0 {
			return c, false, fmt.Errorf("no tenant %.60q", q.Get("tenant"))
		}
		c.Tenant = 0
	}
	c.Top = len(h.cfg.Service.RungKB) - 1
	if text := q.Get("top"); text != "" {
		top, err := strconv.Atoi(text)
		if err != nil || top < 0 || top > c.Top {
			return c, false, fmt.Errorf("top must be from 0 to %d", c.Top)
		}
		c.Top = top
	}
	viewer := q.Get("viewer")
	if len(viewer) > 200 {
		return c, false, fmt.Errorf("viewer holds 200 bytes at most")
	}
	carried := false
	if viewer == "" {
		if k, err := r.Cookie(cookie); err == nil && len(k.Value) <= 64 {
			viewer, carried = k.Value, k.Value != ""
		}
	}
	named = hlssession.OwnsSession(carried, viewer != "")
	if viewer == "" { // told from all others, also from itself if this answer is lost
		var b [12]byte
		rand.Read(b[:])
		viewer = hex.EncodeToString(b[:])
		http.SetCookie(w, &http.Cookie{Name: cookie, Value: viewer, Path: "/hls/", HttpOnly: true, SameSite: http.SameSiteLaxMode})
	}
	c.Viewer = xxhash.Sum64String(viewer)
	return c, named, nil
}

var errNoTitle = errors.New("no such title")

// master is the request for a session.
func (h *Hub) master(w http.ResponseWriter, r *http.Request, title string) {
	c, named, err := h.claims(w, r, title)
	if err != nil {
		code := http.StatusBadRequest
		if errors.Is(err, errNoTitle) {
			code = http.StatusNotFound
		}
		http.Error(w, err.Error(), code)
		return
	}
	same := viewerKey{c.Viewer, c.Title, c.Class}
	h.mu.Lock()
	s := h.same[same]
	start := func() {}
	if s != nil && named {
		s.mu.Lock()
		if s.state == over || s.state == adrift {
			s.mu.Unlock()
			s = nil
		} else {
			s.mu.Unlock()
		}
	}
	if s == nil || !named {
		s = h.create(c, same)
		s.mu.Lock()
		start = s.ask(false)
		s.mu.Unlock()
	}
	h.mu.Unlock()
	start()
	if !h.await(w, r, s) {
		return
	}
	s.mu.Lock()
	server, rung, token := s.http, s.rung, s.token
	s.mu.Unlock()
	e, err := h.origin.get(r.Context(), listKey{title, -1}, server)
	if err != nil {
		h.end(s) // it plays, but its player can't be told where
		w.Header().Set("X-Tealledge-Session", s.name)
		http.Error(w, "failed", http.StatusBadGateway)
		return
	}
	floor := h.cfg.Service.Classes[c.Class].Floor
	top := min(max(rung, floor), len(e.multi.Variants)-1)
	b := e.multi.RenderMultivariant(nil, min(floor, top), top, func(rung int) string {
		return "/hls/s/" + token + "/" + strconv.Itoa(rung) + ".m3u8"
	})
	h.write(w, s, b)
}

// create makes a session under a fresh key, in place of whatever its viewer had. The caller holds the hub.
func (h *Hub) create(c hlstoken.Claims, same viewerKey) *session {
	var b [8]byte
	rand.Read(b[:])
	c.Session = binary.LittleEndian.Uint64(b[:])
	now := time.Now().Unix()
	c.Issued, c.Expires = now, now+int64(h.cfg.Front.TokenFor/time.Second)
	return h.adopt(c, same, h.keys.Sign(c))
}

func (h *Hub) adopt(c hlstoken.Claims, same viewerKey, token string) *session {
	s := &session{hub: h, key: c.Session, claims: c, token: token, same: same, opened: h.owner.Now()}
	h.byKey[s.key], h.same[same] = s, s
	return s
}

// await waits for the answer to a session's request and gives true if it plays; else it has answered.
func (h *Hub) await(w http.ResponseWriter, r *http.Request, s *session) bool {
	s.mu.Lock()
	ch, state := s.answer, s.state
	s.mu.Unlock()
	if state == opening {
		select {
		case <-ch:
		case <-r.Context().Done(): // the player is gone; the session waits for it as for a lost answer
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == playing {
		return true
	}
	if s.name != "" {
		w.Header().Set("X-Tealledge-Session", s.name)
	}
	if s.no.failed {
		http.Error(w, "failed", http.StatusBadGateway)
	} else {
		h.later(w, s.no.after)
	}
	return false
}

// later answers 503 with a time to come again, in whole seconds (RFC 9110 section 10.2.3).
func (h *Hub) later(w http.ResponseWriter, after front.Time) {
	w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(float64(after)/1e9)))))
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

func (h *Hub) write(w http.ResponseWriter, s *session, b []byte) {
	s.mu.Lock()
	name := s.name
	s.mu.Unlock()
	w.Header().Set("X-Tealledge-Session", name)
	w.Header().Set("Content-Type", "application/vnd.apple.mpegurl")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}

// find gives the session of a token. One that this front does not know, as after its restart or at another front, is
// placed anew, once for all requests that carry its token.
func (h *Hub) find(w http.ResponseWriter, token string) *session {
	c, err := h.keys.Verify(token, time.Now().Unix())
	switch {
	case errors.Is(err, hlstoken.ErrExpired):
		http.Error(w, "the address has expired: open the title anew", http.StatusGone)
		return nil
	case err != nil:
		http.Error(w, "not an address of ours", http.StatusForbidden)
		return nil
	}
	paid := c.Class >= 0 && c.Class < len(h.cfg.Service.Classes) && h.cfg.Service.Classes[c.Class].Paid
	h.mu.Lock()
	s := h.byKey[c.Session]
	start := func() {}
	if s == nil && paid { // its set-up was paid for elsewhere and may have run: only its viewer may ask again
		h.mu.Unlock()
		http.Error(w, "the session is not known here: open the title anew", http.StatusGone)
		return nil
	}
	if s == nil {
		s = h.adopt(c, viewerKey{c.Viewer, c.Title, c.Class}, token)
		// What an earlier front told is not known; it made no more than one change a second.
		s.gone = uint64(max(time.Now().Unix()-c.Issued, 0))
		s.mu.Lock()
		start = s.ask(true)
		s.mu.Unlock()
	} else {
		s.mu.Lock()
		if s.state == adrift && paid && s.moved == 0 {
			s.mu.Unlock()
			h.mu.Unlock()
			http.Error(w, "the session is over: open the title anew", http.StatusGone)
			return nil
		}
		if s.state == adrift { // moved, or its server was lost: placed anew
			start = s.ask(true)
		}
		s.mu.Unlock()
	}
	h.mu.Unlock()
	start()
	return s
}

// media is a reload of a variant's playlist.
func (h *Hub) media(w http.ResponseWriter, r *http.Request, token, name string) {
	text, ok := strings.CutSuffix(name, ".m3u8")
	rung, err := strconv.Atoi(text)
	if !ok || err != nil || rung < 0 || rung >= len(h.cfg.Service.RungKB) {
		http.NotFound(w, r)
		return
	}
	s := h.find(w, token)
	if s == nil || !h.await(w, r, s) {
		return
	}
	s.mu.Lock()
	if now := h.owner.Now(); hlssession.ReloadsTooFast(now, s.told, s.list) {
		if s.fast++; hlssession.ThrottlesReload(s.fast) {
			s.heard = now
			s.mu.Unlock()
			w.Header().Set("Retry-After", "1")
			http.Error(w, "reloads come too fast", http.StatusTooManyRequests)
			return
		}
	} else {
		s.fast = 0
	}
	floor := h.cfg.Service.Classes[s.claims.Class].Floor
	effective := max(min(rung, s.rung), floor)
	server, title := s.http, s.claims.Title
	need := map[int]bool{effective: true}
	v := s.view(rung)
	for _, p := range v.Parts {
		need[p.Rung] = true
	}
	s.mu.Unlock()
	lists := map[int]*hls.Media{}
	for k := range need { // outside the session's lock: an origin may be slow
		if e, err := h.origin.get(r.Context(), listKey{title, k}, server); err == nil {
			lists[k] = e.media
		}
	}
	s.mu.Lock()
	now := h.owner.Now()
	v.Switch(v.next, effective, "http://"+server+"/"+title+"/")
	b, next, ok := v.Render(nil, func(rung int) *hls.Media { return lists[rung] }, "st="+s.token)
	s.heard = now
	if ok {
		v.next = max(v.next, next)
		s.told = now
		m := lists[effective]
		s.list = hlssession.Playlist{TargetDuration: front.Time(m.Target), TotalDuration: front.Time(m.Total()), Ended: m.Ended}
	}
	s.mu.Unlock()
	if !ok {
		h.later(w, policy.Second)
		return
	}
	h.write(w, s, b)
}

// closed ends a session at its player's word.
func (h *Hub) closed(w http.ResponseWriter, token string) {
	c, err := h.keys.Verify(token, time.Now().Unix())
	if err != nil {
		http.Error(w, "not an address of ours", http.StatusForbidden)
		return
	}
	h.mu.Lock()
	s := h.byKey[c.Session]
	h.mu.Unlock()
	if s != nil {
		h.end(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

func index(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}
