package serve

import (
	"tealledge/decide/admission"
	"tealledge/decide/overload"
	"tealledge/internal/config"
	"tealledge/internal/front"
	"tealledge/internal/players"
	"tealledge/internal/rtsp"
	"tealledge/internal/serverlist"
	"tealledge/policy"
)

// This file defines the events that the sockets send to the owner, and refuses requests that are not queued for it.

type (
	openRequested struct {
		call    Caller
		request front.Request
	}
	closeRequested struct {
		call    Caller
		session uint64
	}
	resumeRequested struct {
		call           Caller
		session, token uint64
	}
	endRequested       struct{ session uint64 } // by a player without a socket, such as an HLS player
	playerDisconnected struct{ sessions map[uint64]struct{} }
	connected          struct{ server, conn uint64 }
	dialFailed         struct{ server, conn uint64 }
	connectionLost     struct{ server, conn, submitted uint64 }
	messagesReceived   struct {
		server, conn uint64
		messages     []*rtsp.Message
	}
	listResponse struct {
		serverlist.Response
		err error
	}
	shutdown          struct{}
	snapshotRequested struct{ reply chan Snapshot }
)

// owner implements players.Owner for the server.
type owner struct{ s *Server }

func (o owner) Now() front.Time { return o.s.now() }

func (o owner) Open(call *players.Call, request front.Request) { o.s.open(call, request) }

// open queues a request from any kind of player.
func (s *Server) open(call Caller, request front.Request) {
	if !s.queue.Put(admission.Request, openRequested{call, request}) {
		// The queue is full of requests accepted earlier: this one is refused before any work is spent on it.
		refuseBusy(call, s.retryAfter())
	}
}

// refuseBusy refuses a request that has not been started.
func refuseBusy(call Caller, retryAfter front.Time) {
	call.Fail(players.CodeRefused, "refused: busy", players.ErrorData{RetryAfterMs: retryAfter / policy.Millisecond})
}

func (o owner) Resume(call *players.Call, session, token uint64) {
	o.s.queue.Put(admission.Outcome, resumeRequested{call, session, token})
}

func (o owner) Limited() bool { return o.s.limited.Load() }

func (o owner) Admit(class, tenant int) (front.Time, bool) {
	s := o.s
	if s.cfg.Front.NoRateLimiter {
		return 0, true
	}
	s.rateLimiterMu.Lock()
	ok := s.rateLimiter.Admit(s.now(), class*max(len(s.cfg.Tenants), 1)+tenant)
	s.limited.Store(s.rateLimiter.Limited())
	s.rateLimiterMu.Unlock()
	if ok {
		return 0, true
	}
	return s.retryAfter(), false
}

// retryAfter returns the retry delay for requests that are refused before the core sees them.
func (s *Server) retryAfter() front.Time {
	return admission.RetryAfter(s.cfg.Service.MaxRetryAfter, float64(s.now()%1000)/1000)
}

// flowWeights returns the weights of the rate limiter's flows, one per class and tenant: the class's worth times the
// tenant's share.
func flowWeights(cfg *config.Config) (flows []float64) {
	total := 0.0
	for _, tenant := range cfg.Service.Tenants {
		total += tenant.PerSecond
	}
	for _, class := range cfg.Service.Classes {
		if total == 0 {
			for range max(len(cfg.Tenants), 1) {
				flows = append(flows, class.Worth)
			}
			continue
		}
		for _, tenant := range cfg.Service.Tenants {
			flows = append(flows, class.Worth*tenant.PerSecond/total)
		}
	}
	return flows
}

// observeWait reports to the rate limiter how long a request has waited, and returns whether it is refused for that.
func (s *Server) observeWait(now front.Time, request *front.Request) (stale bool) {
	if s.cfg.Front.NoRateLimiter {
		return false
	}
	s.rateLimiterMu.Lock()
	defer s.rateLimiterMu.Unlock()
	s.rateLimiter.ObserveWait(now, now-request.ReadAt, s.backlog)
	s.limited.Store(s.rateLimiter.Limited())
	return overload.Stale(now-request.ReadAt, s.rateLimiter.Limited())
}

func (o owner) Close(call *players.Call, session uint64) {
	o.s.queue.Put(admission.Outcome, closeRequested{call, session})
}
func (o owner) Disconnected(conn *players.Conn) { o.s.queue.Force(playerDisconnected{conn.Sessions}) }

// sink implements media.Sink for the server.
type sink struct{ s *Server }

func (k sink) Connected(server uint32, conn uint64) { k.s.queue.Force(connected{uint64(server), conn}) }
func (k sink) DialFailed(server uint32, conn uint64, err error) {
	k.s.log.Debug().Uint32("server", server).Err(err).Msg("dial failed")
	k.s.queue.Force(dialFailed{uint64(server), conn})
}
func (k sink) Received(server uint32, conn uint64, messages []*rtsp.Message) {
	k.s.queue.Put(admission.Outcome, messagesReceived{uint64(server), conn, messages})
}
func (k sink) ConnectionLost(server uint32, conn uint64, submitted uint64) {
	k.s.queue.Force(connectionLost{uint64(server), conn, submitted})
}
