// Package manifest is the second interface for players: HLS (RFC 8216) over HTTP. It serves manifests only; segments
// come from the media servers. It uses the same core, module and rules as the session API: the GET of a multivariant
// playlist is the request for a session, and its response is the request's only reply.
//
// It has its own net/http listener beside netpoll: requests are short and each player sends one every few seconds, so
// a goroutine lives only while a request is served, and the standard server's limits on headers, lines and slow clients
// are well tested.
package manifest

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"tealledge/decide/hlssession"
	"tealledge/internal/config"
	"tealledge/internal/front"
	"tealledge/internal/hlstoken"
)

// Owner is the front's owner, which makes all decisions about sessions.
type Owner interface {
	Now() front.Time
	Open(c *Call, request front.Request)
	// EndSession ends a session that its player has closed or no longer uses.
	EndSession(session uint64)
	// SessionID returns the id in a session's name, and false if the name is not one of this front.
	SessionID(name string) (uint64, bool)
	// ParseMoveToken returns the token in the notification of a move, 0 if there is none.
	ParseMoveToken(v any) uint64
}

// Hub serves manifests and holds the sessions of the HLS players.
type Hub struct {
	cfg      *config.Config
	owner    Owner
	keys     *hlstoken.Keys
	origin   *origin
	listener net.Listener
	server   *http.Server
	slots    chan struct{} // holds one element per request in flight
	mu       sync.Mutex
	sessions map[uint64]*session
	byViewer map[viewerKey]*session
	stop     chan struct{}
	done     sync.WaitGroup
}

const (
	cookieName     = "tealledge"
	maxHeaderBytes = 8 << 10
	maxRequests    = 4096 // concurrent requests; further ones get status 503
	sweepInterval  = 500 * time.Millisecond
)

// New returns a hub that listens on the configured address.
func New(cfg *config.Config, owner Owner) (*Hub, error) {
	var list [][]byte
	for _, k := range cfg.Front.HLSKeys {
		b, err := hex.DecodeString(k)
		if err != nil {
			return nil, fmt.Errorf("hls: key is not hexadecimal: %w", err)
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
	h := &Hub{cfg: cfg, owner: owner, keys: keys, origin: newOrigin(owner.Now, cfg.Front.OriginTimeout), listener: ln,
		slots: make(chan struct{}, maxRequests), sessions: map[uint64]*session{},
		byViewer: map[viewerKey]*session{}, stop: make(chan struct{})}
	h.server = &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second,
		WriteTimeout: 15 * time.Second,
		IdleTimeout:  60 * time.Second, MaxHeaderBytes: maxHeaderBytes}
	return h, nil
}

// Addr returns the address that the hub listens on.
func (h *Hub) Addr() net.Addr { return h.listener.Addr() }

// Serve serves until Shutdown.
func (h *Hub) Serve() error {
	h.done.Add(1)
	go h.sweep()
	if err := h.server.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown closes the listener and waits until the requests in flight have ended. If ctx ends first, it closes their
// connections.
func (h *Hub) Shutdown(ctx context.Context) {
	close(h.stop)
	if h.server.Shutdown(ctx) != nil {
		h.server.Close()
	}
	h.origin.client.CloseIdleConnections()
	h.done.Wait()
}

// Sessions returns the number of sessions held.
func (h *Hub) Sessions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.sessions)
}

// sweep periodically ends the sessions whose players have stopped sending requests.
func (h *Hub) sweep() {
	defer h.done.Done()
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-t.C:
		}
		now := h.owner.Now()
		h.mu.Lock()
		var expired []*session
		for _, s := range h.sessions {
			s.mu.Lock()
			if s.state == ended ||
				s.state != opening && now >= hlssession.ExpiresAt(s.openedAt, s.lastRequestAt, s.playlist) {
				expired = append(expired, s)
			}
			s.mu.Unlock()
		}
		h.mu.Unlock()
		for _, s := range expired {
			h.endSession(s)
		}
	}
}

// endSession removes a session and, if it plays, tears down its stream.
func (h *Hub) endSession(s *session) {
	h.mu.Lock()
	if h.sessions[s.key] == s {
		delete(h.sessions, s.key)
	}
	if h.byViewer[s.viewer] == s {
		delete(h.byViewer, s.viewer)
	}
	h.mu.Unlock()
	s.mu.Lock()
	wasPlaying := s.state == playing
	id := s.id
	s.state = ended
	s.mu.Unlock()
	if wasPlaying {
		h.owner.EndSession(id)
	}
}

// coreRequest returns the request to the core for the given claims, and false if the title or class is unknown.
func (h *Hub) coreRequest(c hlstoken.Claims) (request front.Request, ok bool) {
	t, ok := h.cfg.Locate(c.Title, c.Class)
	if !ok || c.Class < 0 || c.Class >= len(h.cfg.Classes) {
		return request, false
	}
	return front.Request{ReadAt: h.owner.Now(), Title: t.Number, Home: t.Home, Copies: t.Copies, Holders: t.Holders,
		Name: t.Name, Class: c.Class, Tenant: c.Tenant,
		Viewer: c.Viewer, Top: min(c.Top, len(h.cfg.Service.RungKB)-1)}, true
}
