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

// What the sockets bring the owner, and who is turned away before that.

type (
	asked struct {
		call Caller
		ask  front.Request
	}
	closed struct {
		call    Caller
		session uint64
	}
	resumed struct {
		call           Caller
		session, token uint64
	}
	ended      struct{ session uint64 } // at the word of a player without a socket
	playerGone struct{ held map[uint64]struct{} }
	connected  struct{ server, conn uint64 }
	dialFailed struct{ server, conn uint64 }
	lost       struct{ server, conn, begun uint64 }
	received   struct {
		server, conn uint64
		list         []*rtsp.Message
	}
	listAnswer struct {
		serverlist.Answer
		err error
	}
	leave   struct{}
	inspect struct{ reply chan Snapshot }
)

// owner is the hub's view of the server.
type owner struct{ s *Server }

func (o owner) Now() front.Time { return o.s.now() }

func (o owner) Open(call *players.Call, ask front.Request) { o.s.open(call, ask) }

// open takes a request of any kind of player.
func (s *Server) open(call Caller, ask front.Request) {
	if !s.queue.Put(admission.Request, asked{call, ask}) {
		// The queue is full of work already taken: turned away before any work is spent, and never begun.
		busy(call, s.comeBack())
	}
}

// busy turns a request away before anything of it was begun.
func busy(call Caller, after front.Time) {
	call.Fail(players.CodeRefused, "refused: busy", players.NoData{RetryAfterMs: after / policy.Millisecond})
}

func (o owner) Resume(call *players.Call, session, token uint64) {
	o.s.queue.Put(admission.Outcome, resumed{call, session, token})
}

func (o owner) Limited() bool { return o.s.limited.Load() }

func (o owner) Admit(class, tenant int) (front.Time, bool) {
	s := o.s
	if s.cfg.Front.NoGate {
		return 0, true
	}
	s.gateMu.Lock()
	ok := s.gate.Admit(s.now(), class*max(len(s.cfg.Tenants), 1)+tenant)
	s.limited.Store(s.gate.Limited())
	s.gateMu.Unlock()
	if ok {
		return 0, true
	}
	return s.comeBack(), false
}

// comeBack is the time told to those turned away before they were taken.
func (s *Server) comeBack() front.Time {
	return admission.RetryAfter(s.cfg.Service.MaxRetryAfter, float64(s.now()%1000)/1000)
}

// weights gives the gate's flows: classes by tenants, a class's worth times a tenant's share.
func weights(cfg *config.Config) (list []float64) {
	total := 0.0
	for _, t := range cfg.Service.Tenants {
		total += t.PerSecond
	}
	for _, k := range cfg.Service.Classes {
		if total == 0 {
			for range max(len(cfg.Tenants), 1) {
				list = append(list, k.Worth)
			}
			continue
		}
		for _, t := range cfg.Service.Tenants {
			list = append(list, k.Worth*t.PerSecond/total)
		}
	}
	return list
}

// waited reports to the gate how long a request waited, and tells whether it is turned away for it.
func (s *Server) waited(now front.Time, ask *front.Request) (stale bool) {
	if s.cfg.Front.NoGate {
		return false
	}
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	s.gate.ObserveWait(now, now-ask.ReadAt, s.backlog)
	s.limited.Store(s.gate.Limited())
	return overload.Stale(now-ask.ReadAt, s.gate.Limited())
}

func (o owner) Close(call *players.Call, session uint64) {
	o.s.queue.Put(admission.Outcome, closed{call, session})
}
func (o owner) Gone(conn *players.Conn) { o.s.queue.Force(playerGone{conn.Sessions}) }

// sink is the links' view of the server.
type sink struct{ s *Server }

func (k sink) Connected(server uint32, conn uint64) { k.s.queue.Force(connected{uint64(server), conn}) }
func (k sink) DialFailed(server uint32, conn uint64, err error) {
	k.s.log.Debug().Uint32("server", server).Err(err).Msg("dial failed")
	k.s.queue.Force(dialFailed{uint64(server), conn})
}
func (k sink) Received(server uint32, conn uint64, list []*rtsp.Message) {
	k.s.queue.Put(admission.Outcome, received{uint64(server), conn, list})
}
func (k sink) Lost(server uint32, conn uint64, begun uint64) {
	k.s.queue.Force(lost{uint64(server), conn, begun})
}
