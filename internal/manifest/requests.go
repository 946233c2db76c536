package manifest

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tealledge/decide/hlssession"
	"tealledge/internal/front"
	"tealledge/internal/hls"
	"tealledge/internal/hlstoken"
	"tealledge/policy"
)

// Requests of players: playlists, and the closing of sessions.

// ServeHTTP serves the playlists and the closing of sessions. It replies with status 503 when too many requests are in
// flight.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		h.replyUnavailable(w, policy.Second)
		return
	}
	w.Header().Set("Cache-Control", "no-store")
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/hls/"), "/")
	switch {
	case !strings.HasPrefix(r.URL.Path, "/hls/"):
		http.NotFound(w, r)
	case len(parts) == 2 && parts[1] == "master.m3u8" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		h.serveMaster(w, r, parts[0])
	case len(parts) == 3 && parts[0] == "s" && (r.Method == http.MethodGet || r.Method == http.MethodHead):
		h.serveMedia(w, r, parts[1], parts[2])
	case len(parts) == 2 && parts[0] == "s" && r.Method == http.MethodDelete:
		h.serveClose(w, parts[1])
	case r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete:
		w.Header().Set("Allow", "GET, HEAD, DELETE")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	default:
		http.NotFound(w, r)
	}
}

// parseClaims reads the parameters of a request: what is requested, and for which viewer.
func (h *Hub) parseClaims(w http.ResponseWriter, r *http.Request, title string) (
	c hlstoken.Claims, ownsSession bool, err error,
) {
	q := r.URL.Query()
	if _, ok := h.cfg.Locate(title, 0); !ok {
		return c, false, errUnknownTitle
	}
	c.Title = title
	if c.Class = indexOf(h.cfg.Classes, q.Get("class")); c.Class < 0 {
		return c, false, fmt.Errorf("no class %.60q", q.Get("class"))
	}
	if c.Tenant = indexOf(h.cfg.Tenants, q.Get("tenant")); c.Tenant < 0 {
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
	hasCookie := false
	if viewer == "" {
		if k, err := r.Cookie(cookieName); err == nil && len(k.Value) <= 64 {
			viewer, hasCookie = k.Value, k.Value != ""
		}
	}
	ownsSession = hlssession.OwnsSession(hasCookie, viewer != "")
	if viewer == "" { // a new random identity: distinct from all others, also from a retry if this response is lost
		var b [12]byte
		rand.Read(b[:])
		viewer = hex.EncodeToString(b[:])
		http.SetCookie(w, &http.Cookie{Name: cookieName, Value: viewer, Path: "/hls/",
			HttpOnly: true, SameSite: http.SameSiteLaxMode})
	}
	c.Viewer = xxhash.Sum64String(viewer)
	return c, ownsSession, nil
}

var errUnknownTitle = errors.New("no such title")

// serveMaster serves the multivariant playlist of a title, which is the request for a session.
func (h *Hub) serveMaster(w http.ResponseWriter, r *http.Request, title string) {
	c, ownsSession, err := h.parseClaims(w, r, title)
	if err != nil {
		code := http.StatusBadRequest
		if errors.Is(err, errUnknownTitle) {
			code = http.StatusNotFound
		}
		http.Error(w, err.Error(), code)
		return
	}
	viewer := viewerKey{c.Viewer, c.Title, c.Class}
	h.mu.Lock()
	s := h.byViewer[viewer]
	start := func() {}
	if s != nil && ownsSession {
		s.mu.Lock()
		if s.state == ended || s.state == unplaced {
			s.mu.Unlock()
			s = nil
		} else {
			s.mu.Unlock()
		}
	}
	if s == nil || !ownsSession {
		s = h.create(c, viewer)
		s.mu.Lock()
		start = s.request(false)
		s.mu.Unlock()
	}
	h.mu.Unlock()
	start()
	if !h.awaitReply(w, r, s) {
		return
	}
	s.mu.Lock()
	server, rung, token := s.serverAddr, s.rung, s.token
	s.mu.Unlock()
	e, err := h.origin.get(r.Context(), listKey{title, -1}, server)
	if err != nil {
		h.endSession(s) // it plays, but there is no playlist to send to its player
		w.Header().Set("X-Tealledge-Session", s.name)
		http.Error(w, "failed", http.StatusBadGateway)
		return
	}
	floor := h.cfg.Service.Classes[c.Class].Floor
	top := min(max(rung, floor), len(e.multi.Variants)-1)
	b := e.multi.RenderMultivariant(nil, min(floor, top), top, func(rung int) string {
		return "/hls/s/" + token + "/" + strconv.Itoa(rung) + ".m3u8"
	})
	h.writePlaylist(w, s, b)
}

// create registers a session under a new random key, replacing any session of the same viewer. The caller holds the
// hub's mutex.
func (h *Hub) create(c hlstoken.Claims, viewer viewerKey) *session {
	var b [8]byte
	rand.Read(b[:])
	c.Session = binary.LittleEndian.Uint64(b[:])
	now := time.Now().Unix()
	c.Issued, c.Expires = now, now+int64(h.cfg.Front.TokenTTL/time.Second)
	return h.register(c, viewer, h.keys.Sign(c))
}

// register adds a session for the given claims and token. The caller holds the hub's mutex.
func (h *Hub) register(c hlstoken.Claims, viewer viewerKey, token string) *session {
	s := &session{hub: h, key: c.Session, claims: c, token: token, viewer: viewer, openedAt: h.owner.Now()}
	h.sessions[s.key], h.byViewer[viewer] = s, s
	return s
}

// awaitReply waits for the reply to a session's request and returns true if the session plays; otherwise the response
// has been written, unless the player has disconnected.
func (h *Hub) awaitReply(w http.ResponseWriter, r *http.Request, s *session) bool {
	s.mu.Lock()
	ch, state := s.answered, s.state
	s.mu.Unlock()
	if state == opening {
		select {
		case <-ch:
		case <-r.Context().Done(): // disconnected; the session is kept, as if the response had been lost
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
	if s.refusal.failed {
		http.Error(w, "failed", http.StatusBadGateway)
	} else {
		h.replyUnavailable(w, s.refusal.retryAfter)
	}
	return false
}

// replyUnavailable writes status 503 with a Retry-After header in whole seconds (RFC 9110 section 10.2.3).
func (h *Hub) replyUnavailable(w http.ResponseWriter, retryAfter front.Time) {
	w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(float64(retryAfter)/1e9)))))
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// writePlaylist writes a playlist with the headers that go with it.
func (h *Hub) writePlaylist(w http.ResponseWriter, s *session, b []byte) {
	s.mu.Lock()
	name := s.name
	s.mu.Unlock()
	w.Header().Set("X-Tealledge-Session", name)
	w.Header().Set("Content-Type", "application/vnd.apple.mpegurl")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}

// sessionByToken returns the session of a token, or nil after it has written an error response. A session that this
// front does not know, after a restart or at another front, is requested again, once for all requests that carry its
// token.
func (h *Hub) sessionByToken(w http.ResponseWriter, token string) *session {
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
	s := h.sessions[c.Session]
	start := func() {}
	if s == nil && paid { // its paid set-up was made elsewhere and may have run: only its viewer may request a new one
		h.mu.Unlock()
		http.Error(w, "the session is not known here: open the title anew", http.StatusGone)
		return nil
	}
	if s == nil {
		s = h.register(c, viewerKey{c.Viewer, c.Title, c.Class}, token)
		// It is unknown what an earlier front has announced; it made at most one change per second.
		s.pastDiscontinuities = uint64(max(time.Now().Unix()-c.Issued, 0))
		s.mu.Lock()
		start = s.request(true)
		s.mu.Unlock()
	} else {
		s.mu.Lock()
		if s.state == unplaced && paid && s.moveToken == 0 {
			s.mu.Unlock()
			h.mu.Unlock()
			http.Error(w, "the session is over: open the title anew", http.StatusGone)
			return nil
		}
		if s.state == unplaced { // moved, or its server was lost
			start = s.request(true)
		}
		s.mu.Unlock()
	}
	h.mu.Unlock()
	start()
	return s
}

// serveMedia serves a reload of a variant's playlist.
func (h *Hub) serveMedia(w http.ResponseWriter, r *http.Request, token, name string) {
	text, ok := strings.CutSuffix(name, ".m3u8")
	rung, err := strconv.Atoi(text)
	if !ok || err != nil || rung < 0 || rung >= len(h.cfg.Service.RungKB) {
		http.NotFound(w, r)
		return
	}
	s := h.sessionByToken(w, token)
	if s == nil || !h.awaitReply(w, r, s) {
		return
	}
	s.mu.Lock()
	if now := h.owner.Now(); hlssession.ReloadsTooFast(now, s.servedAt, s.playlist) {
		if s.fastReloads++; hlssession.ThrottlesReload(s.fastReloads) {
			s.lastRequestAt = now
			s.mu.Unlock()
			w.Header().Set("Retry-After", "1")
			http.Error(w, "reloads come too fast", http.StatusTooManyRequests)
			return
		}
	} else {
		s.fastReloads = 0
	}
	floor := h.cfg.Service.Classes[s.claims.Class].Floor
	servedRung := max(min(rung, s.rung), floor)
	server, title := s.serverAddr, s.claims.Title
	neededRungs := map[int]bool{servedRung: true}
	v := s.view(rung)
	for _, p := range v.Parts {
		neededRungs[p.Rung] = true
	}
	s.mu.Unlock()
	lists := map[int]*hls.MediaPlaylist{}
	for k := range neededRungs { // without the session's mutex: an origin may be slow
		if e, err := h.origin.get(r.Context(), listKey{title, k}, server); err == nil {
			lists[k] = e.media
		}
	}
	s.mu.Lock()
	now := h.owner.Now()
	v.Switch(v.next, servedRung, "http://"+server+"/"+title+"/")
	b, next, ok := v.Render(nil, func(rung int) *hls.MediaPlaylist { return lists[rung] }, "st="+s.token)
	s.lastRequestAt = now
	if ok {
		v.next = max(v.next, next)
		s.servedAt = now
		m := lists[servedRung]
		s.playlist = hlssession.Playlist{TargetDuration: front.Time(m.TargetDuration),
			TotalDuration: front.Time(m.TotalDuration()), Ended: m.Ended}
	}
	s.mu.Unlock()
	if !ok {
		h.replyUnavailable(w, policy.Second)
		return
	}
	h.writePlaylist(w, s, b)
}

// serveClose ends a session at its player's request.
func (h *Hub) serveClose(w http.ResponseWriter, token string) {
	c, err := h.keys.Verify(token, time.Now().Unix())
	if err != nil {
		http.Error(w, "not an address of ours", http.StatusForbidden)
		return
	}
	h.mu.Lock()
	s := h.sessions[c.Session]
	h.mu.Unlock()
	if s != nil {
		h.endSession(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

// indexOf returns the index of s in list, -1 if it is absent.
func indexOf(list []string, s string) int {
	for i, x := range list {
		if x == s {
			return i
		}
	}
	return -1
}
