package rtspclient

import (
	"cmp"
	"slices"

	"tealledge/decide/addresses"
	"tealledge/internal/rtsp"
)

// This file selects a connection among a server's addresses. Connections race (RFC 8305): the next address is dialled
// when the previous one has not won within its delay, or at once when it failed. A connection wins when it has answered
// an OPTIONS, not when it is established: otherwise set-ups would be lost at an address that accepts connections and
// never answers. Set-ups never race: only the winner carries them.

// candidate is a connection that takes part in a race or rechecks an address that was in backoff.
type candidate struct {
	conn      uint64
	addr      string
	startedAt Time
	bytesSent uint64
	lastCSeq  uint32
	connected bool
}

// race is the selection of a connection.
type race struct {
	candidates []*candidate
	remaining  []string // addresses not dialled yet, best first
	nextDialAt Time     // when the next address is dialled
	deadline   Time
}

func (s *peerState) addressIndex(addr string) int {
	return slices.IndexFunc(s.addresses.Addresses, func(p addresses.Address) bool { return p.Addr == addr })
}

// dial starts a race, unless a connection is established or a race is running.
func (p *Protocol) dial(peer *peerState) {
	if peer.connState != disconnected {
		return
	}
	peer.connState = connecting
	peer.race = &race{deadline: p.now + p.cfg.ConnectTimeout}
	for _, i := range peer.addresses.Order(p.now) {
		peer.race.remaining = append(peer.race.remaining, peer.addresses.Addresses[i].Addr)
	}
	p.dialNext(peer)
}

// dialNext dials the next address; if none is left and no candidate is running, the server is unreachable.
func (p *Protocol) dialNext(peer *peerState) {
	r := peer.race
	for len(r.remaining) > 0 {
		addr := r.remaining[0]
		r.remaining = r.remaining[1:]
		i := peer.addressIndex(addr)
		if i < 0 {
			continue // removed from the list meanwhile
		}
		p.pacer.Allow(peer.server, p.now, true)
		r.candidates = append(r.candidates, p.startDial(peer, addr, r.deadline-p.now))
		r.nextDialAt = p.now + peer.addresses.Delay(i, r.deadline-p.now, len(r.remaining))
		return
	}
	if len(r.candidates) == 0 {
		peer.race = nil
		p.unreachable(peer)
	}
}

func (p *Protocol) startDial(peer *peerState, addr string, timeout Time) *candidate {
	p.lastConn++
	p.effects = append(p.effects, Effect{Server: peer.server, Conn: p.lastConn, Dial: addr, Timeout: max(timeout, 1)})
	return &candidate{conn: p.lastConn, addr: addr, startedAt: p.now}
}

// candidate returns the racing or rechecking candidate of a connection, nil if there is none.
func (s *peerState) candidate(conn uint64) *candidate {
	if s.recheck != nil && s.recheck.conn == conn {
		return s.recheck
	}
	if s.race != nil {
		for _, r := range s.race.candidates {
			if r.conn == conn {
				return r
			}
		}
	}
	return nil
}

// Connected reports that a dial succeeded. The connection gets an OPTIONS request, which it must answer to win.
func (p *Protocol) Connected(now Time, server uint32, conn uint64) {
	p.now = now
	peer := p.peers[server]
	var r *candidate
	if peer != nil {
		r = peer.candidate(conn)
	}
	if r == nil { // the race is over
		p.effects = append(p.effects, Effect{Server: server, Conn: conn, Close: true})
		return
	}
	r.connected, r.lastCSeq = true, 1
	if i := peer.addressIndex(r.addr); i >= 0 {
		peer.addresses.Connected(i, now, now-r.startedAt)
	}
	m := rtsp.Message{Method: rtsp.Options, URI: "rtsp://" + peer.addr + "/", CSeq: r.lastCSeq}
	b := m.Append(nil)
	r.bytesSent = uint64(len(b))
	p.effects = append(p.effects, Effect{Server: server, Conn: conn, Bytes: b})
}

// connectionAnswered handles the first message read on a candidate: the address works, and the candidate wins its race.
func (p *Protocol) connectionAnswered(peer *peerState, conn uint64) {
	r := peer.candidate(conn)
	if r == nil {
		return
	}
	if i := peer.addressIndex(r.addr); i >= 0 {
		peer.addresses.Responded(i, p.now)
	}
	if r == peer.recheck {
		peer.recheck = nil
		p.effects = append(p.effects, Effect{Server: peer.server, Conn: conn, Close: true})
		return
	}
	peer.race.candidates = slices.DeleteFunc(peer.race.candidates, func(o *candidate) bool { return o == r })
	for _, o := range peer.race.candidates {
		// It was dialled before the winner, with a head start of at least one delay, and has not answered: the address
		// is in backoff and then rechecked without set-ups.
		if i := peer.addressIndex(o.addr); i >= 0 && o.startedAt < r.startedAt {
			peer.addresses.Failed(i, p.now)
		}
	}
	p.cancelRace(peer)
	p.connectionReady(peer, r)
}

// cancelRace ends a race. Established candidates are closed now, the others when their dial succeeds.
func (p *Protocol) cancelRace(peer *peerState) {
	if peer.race == nil {
		return
	}
	for _, r := range peer.race.candidates {
		if r.connected {
			p.effects = append(p.effects, Effect{Server: peer.server, Conn: r.conn, Close: true})
		}
	}
	peer.race = nil
}

// restartRace starts a race again because the addresses changed while it was running.
func (p *Protocol) restartRace(peer *peerState) {
	p.cancelRace(peer)
	peer.connState = disconnected
	p.dial(peer)
}

// DialFailed reports that a dial failed: refused, unreachable or timed out.
func (p *Protocol) DialFailed(now Time, server uint32, conn uint64) {
	p.now = now
	if peer := p.peers[server]; peer != nil {
		p.connectionFailed(peer, conn)
	}
}

// connectionFailed removes a candidate that failed and dials the next address at once.
func (p *Protocol) connectionFailed(peer *peerState, conn uint64) {
	r := peer.candidate(conn)
	if r == nil {
		return
	}
	if i := peer.addressIndex(r.addr); i >= 0 {
		peer.addresses.Failed(i, p.now)
	}
	if r == peer.recheck {
		peer.recheck = nil
		return
	}
	peer.race.candidates = slices.DeleteFunc(peer.race.candidates, func(o *candidate) bool { return o == r })
	p.dialNext(peer)
}

// tickAddresses dials the next address of a race when its delay is over, ends races past their deadline, rechecks addresses
// after their backoff, closes idle connections, and dials for pending teardowns and for servers in frequent use.
func (p *Protocol) tickAddresses(peer *peerState) {
	if r := peer.race; r != nil {
		switch {
		case p.now >= r.deadline || !p.raceWorthwhile(peer):
			r.remaining = nil
			for _, running := range slices.Clone(r.candidates) {
				if peer.race != r {
					break
				}
				if running.connected {
					p.effects = append(p.effects, Effect{Server: peer.server, Conn: running.conn, Close: true})
				}
				p.connectionFailed(peer, running.conn)
			}
		case p.now >= r.nextDialAt && len(r.remaining) > 0:
			p.dialNext(peer)
		}
	}
	switch {
	case peer.recheck != nil && p.now-peer.recheck.startedAt >= 2*p.cfg.ConnectTimeout:
		if peer.recheck.connected {
			p.effects = append(p.effects, Effect{Server: peer.server, Conn: peer.recheck.conn, Close: true})
		}
		p.connectionFailed(peer, peer.recheck.conn)
	case peer.recheck == nil && peer.race == nil && peer.listed:
		// Tests whether the address works again without risking a viewer's set-up.
		if i, ok := peer.addresses.RecheckDue(p.now); ok && p.pacer.Allow(peer.server, p.now, false) {
			peer.recheck = p.startDial(peer, peer.addresses.Addresses[i].Addr, p.cfg.ConnectTimeout)
		}
	}
	if peer.connState == connected && p.cfg.IdleTimeout > 0 && len(peer.streams) == 0 && len(peer.requests) == 0 &&
		p.now-max(peer.lastSetupAt, peer.connectedAt) >= p.cfg.IdleTimeout {
		p.effects = append(p.effects, Effect{Server: peer.server, Conn: peer.conn, Close: true})
		peer.connState = disconnected
	}
	if peer.connState == disconnected && len(peer.pendingTeardowns) > 0 {
		switch {
		case p.now >= peer.teardownsExpireAt:
			peer.pendingTeardowns = nil
		case p.now >= peer.teardownDialAt && p.pacer.Allow(peer.server, p.now, false):
			peer.teardownBackoff = min(2*peer.teardownBackoff, maxTeardownBackoff)
			peer.teardownDialAt = p.now + peer.teardownBackoff
			p.dial(peer)
		}
	}
	if peer.connState == disconnected && peer.listed && peer.lastSetupAt > 0 && p.now-peer.lastSetupAt < warmWindow &&
		!peer.addresses.Unreachable(p.now) && p.pacer.Allow(peer.server, p.now, false) {
		p.dial(peer) // sessions are frequent here: the next one finds an open connection
	}
}

// warmWindow is how long after its last set-up a lost connection is reopened with no request waiting, 10 s.
const warmWindow = Time(10e9)

// raceWorthwhile reports whether the race still fits the aim of the set-up that has waited longest.
func (p *Protocol) raceWorthwhile(peer *peerState) bool {
	if len(peer.unsent) == 0 {
		return true
	}
	first := slices.MinFunc(peer.unsent, func(a, b *attempt) int { return cmp.Compare(a.startedAt, b.startedAt) })
	aim := Time(0)
	if class := first.setup.Class; class >= 0 && class < len(p.cfg.SetupTargets) {
		aim = p.cfg.SetupTargets[class]
	}
	return addresses.FallbackFits(p.now-first.startedAt, aim)
}

// NextTick returns the time at which Tick should be called for a race, if one is running.
func (p *Protocol) NextTick() (at Time, ok bool) {
	for _, id := range p.peerOrder {
		if r := p.peers[id].race; r != nil {
			t := r.deadline
			if len(r.remaining) > 0 {
				t = min(t, r.nextDialAt)
			}
			if !ok || t < at {
				at, ok = t, true
			}
		}
	}
	return at, ok
}

// Addresses returns the state of a server's addresses, for tests and the metrics page.
func (p *Protocol) Addresses(server uint32) *addresses.Set {
	if peer := p.peers[server]; peer != nil {
		return &peer.addresses
	}
	return nil
}
