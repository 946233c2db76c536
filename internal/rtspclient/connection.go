package rtspclient

import (
	"slices"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

// Redirected reports that a server announced that it leaves service (REDIRECT, RFC 7826 section 13.10).
type Redirected struct{ Server uint32 }

// connectionReady makes the winner of a race the peer's connection and writes the requests that waited for it.
func (p *Protocol) connectionReady(peer *peerState, r *candidate) {
	peer.connState, peer.conn, peer.connAddr = connected, r.conn, r.addr
	peer.connectedAt, peer.lastReadAt, peer.bytesSent, peer.lastCSeq, peer.connAnswered = p.now, p.now, r.bytesSent,
		r.lastCSeq, true
	for _, a := range peer.streams { // streams set up on an earlier, lost connection
		p.verify(peer, a)
	}
	teardowns := peer.pendingTeardowns
	peer.pendingTeardowns = nil
	for _, id := range teardowns {
		// The request refers to the stream, so that the teardown is queued again if this connection is lost too. The
		// exhaustive check found streams left at their server without this.
		orphan := &attempt{ended: true, sessionID: id, sentConn: peer.conn}
		m := rtsp.Message{Method: rtsp.Teardown, URI: "rtsp://" + peer.addr + "/",
			Headers: []rtsp.Header{{Name: "Session", Value: id}}}
		p.send(peer, p.appendRequest(peer, &m, request{kind: requestTeardown, owner: orphan}, nil))
	}
	unsent := peer.unsent
	peer.unsent = nil
	for _, a := range unsent {
		p.writeSetup(peer, a)
	}
	if peer.probeWaiting {
		peer.probeWaiting = false
		p.writeProbe(peer)
	}
}

// verify asks whether a stream still plays.
func (p *Protocol) verify(peer *peerState, a *attempt) {
	a.sentConn = peer.conn
	m := rtsp.Message{Method: rtsp.GetParameter, URI: p.uri(peer, &a.setup),
		Headers: []rtsp.Header{{Name: "Session", Value: a.sessionID}}}
	p.send(peer, p.appendRequest(peer, &m, request{kind: requestVerify, owner: a}, nil))
}

// unreachable ends everything that waited for a server when none of its addresses could be connected.
func (p *Protocol) unreachable(peer *peerState) {
	peer.connState = disconnected
	p.cancelWaiting(peer, outcome.DialFailed)
	for _, a := range slices.Clone(peer.streams) { // the streams can't be verified and are lost to their players
		p.endAttempt(a, policy.ConnReset, nil)
		// If only the network failed, the server would keep playing without a player. Found by the exhaustive check.
		p.queueTeardown(peer, a)
	}
	if peer.probeWaiting {
		peer.probeWaiting = false
		p.events = append(p.events, front.Probed{Server: peer.server, Status: policy.NoConnect,
			Took: p.now - peer.probeAt})
	}
}

// cancelWaiting ends the peer's set-ups that were not sent.
func (p *Protocol) cancelWaiting(peer *peerState, cause outcome.Cause) {
	unsent := peer.unsent
	peer.unsent = nil
	for _, a := range unsent {
		p.endAttempt(a, outcome.StatusOf(outcome.Unsent, cause, 0), nil)
	}
}

// ConnectionLost reports that a connection ended. maxWritten is an upper bound of the bytes handed to the kernel: bytes
// beyond it never left this machine.
func (p *Protocol) ConnectionLost(now Time, server uint32, conn uint64, maxWritten uint64) {
	p.now = now
	peer := p.peers[server]
	switch {
	case peer == nil:
	case peer.connState == connected && peer.conn == conn:
		p.closeConnection(peer, maxWritten, false, false)
	default:
		p.connectionFailed(peer, conn)
	}
}

// closeConnection closes a peer's connection. Playing streams are verified on a new connection, unless the server's
// process has ended. silent means that the connection is closed because nothing was read on it.
func (p *Protocol) closeConnection(peer *peerState, maxWritten uint64, processEnded, silent bool) {
	if peer.connState == disconnected {
		return
	}
	wasConnected := peer.connState == connected
	if wasConnected {
		p.effects = append(p.effects, Effect{Server: peer.server, Conn: peer.conn, Close: true})
		if i := peer.addressIndex(peer.connAddr); i >= 0 && silent {
			peer.addresses.Failed(i, p.now)
		} else if i >= 0 && !processEnded {
			peer.addresses.ConnectionClosed(i, p.now, peer.connectedAt, peer.connAnswered)
		}
	}
	p.cancelRace(peer)
	peer.connState = disconnected
	requests, order := peer.requests, peer.requestOrder
	peer.requests, peer.requestOrder = map[uint32]*request{}, nil
	if wasConnected {
		for _, seq := range order {
			r := requests[seq]
			switch {
			case r.kind == requestProbe && !r.timedOut:
				p.events = append(p.events, front.Probed{Server: peer.server, Status: policy.ConnReset,
					Took: p.now - r.startedAt})
			case r.kind == requestPlay && !processEnded:
				p.queueTeardown(peer, r.owner) // SETUP was accepted, and PLAY may have reached the server
				fallthrough
			case r.kind == requestSetup || r.kind == requestPlay:
				p.endAttempt(r.owner, outcome.StatusOf(progress(r.owner, maxWritten), outcome.ConnectionLost, 0), nil)
			case r.kind == requestTeardown && !processEnded:
				p.queueTeardown(peer, r.owner)
			}
		}
	}
	if processEnded {
		peer.pendingTeardowns = nil
	}
	for _, a := range slices.Clone(peer.streams) {
		a.unverified = true
		if processEnded {
			p.endAttempt(a, policy.ConnReset, nil)
		}
	}
	if processEnded {
		p.cancelWaiting(peer, outcome.ConnectionLost)
	}
	if len(peer.streams) > 0 || len(peer.unsent) > 0 || len(peer.pendingTeardowns) > 0 {
		p.dial(peer)
	}
}

func progress(a *attempt, maxWritten uint64) outcome.Progress {
	switch {
	case a.sessionID != "":
		return outcome.Accepted
	case maxWritten < a.setupEnd:
		return outcome.PartlyWritten
	}
	return outcome.Written
}

// Received handles a message from a server.
func (p *Protocol) Received(now Time, server uint32, conn uint64, m *rtsp.Message) {
	p.now = now
	peer := p.peers[server]
	if peer == nil {
		return
	}
	if peer.conn != conn || peer.connState != connected {
		p.connectionAnswered(peer, conn)
		return
	}
	peer.lastReadAt = now
	if m.Method != "" {
		p.handleRequest(peer, m)
		return
	}
	r := peer.requests[m.CSeq]
	if r == nil || m.Status < 200 { // unknown CSeq, or an interim response (section 17.1)
		return
	}
	delete(peer.requests, m.CSeq)
	peer.requestOrder = slices.DeleteFunc(peer.requestOrder, func(s uint32) bool { return s == m.CSeq })
	peer.oldestRequestAt = now
	if len(peer.requestOrder) > 0 {
		peer.oldestRequestAt = peer.requests[peer.requestOrder[0]].startedAt
	}
	p.handleResponse(peer, r, m)
}

func (p *Protocol) handleResponse(peer *peerState, r *request, m *rtsp.Message) {
	a := r.owner
	switch r.kind {
	case requestSetup:
		if m.Status != rtsp.StatusOK {
			p.endAttempt(a, outcome.StatusOf(outcome.Written, outcome.ErrorResponse, m.Status), p.report(m))
			return
		}
		a.sessionID = m.Session()
	case requestPlay:
		switch {
		case a.ended:
		case m.Status == rtsp.StatusOK && a.sessionID != "":
			a.playing = true
			peer.streams = append(peer.streams, a)
			p.events = append(p.events, front.AttemptStarted{Session: a.setup.Session, Attempt: a.setup.Attempt,
				Took: p.now - a.startedAt, Report: p.report(m)})
		default: // set up but not playing: torn down
			status := outcome.StatusOf(outcome.Accepted, outcome.ErrorResponse, m.Status)
			p.teardown(peer, a)
			a.ended = false
			p.endAttempt(a, status, p.report(m))
		}
	case requestTeardown:
		// A server that does not know the pipeline ID may still know the session ID that it has assigned meanwhile.
		if m.Status != rtsp.StatusOK && m.Status != rtsp.StatusSessionNotFound && a.sessionID != "" {
			p.teardown(peer, &attempt{setup: a.setup, sessionID: a.sessionID, sentConn: peer.conn})
		}
	case requestRung, requestVerify:
		switch {
		case a.ended:
		case m.Status == rtsp.StatusSessionNotFound:
			p.endAttempt(a, policy.ConnReset, nil)
		case r.kind == requestVerify && m.Status == rtsp.StatusOK:
			a.unverified = false
			p.writeRung(peer, a)
		}
	case requestProbe:
		if !r.timedOut {
			status := policy.OK
			if m.Status != rtsp.StatusOK {
				status = policy.Errored
			}
			p.events = append(p.events, front.Probed{Server: peer.server, Status: status, Took: p.now - r.startedAt,
				Report: p.report(m)})
		}
	}
}

// parameterNames maps report fields to the names of load values in text/parameters.
var parameterNames = map[policy.Field]string{policy.FieldLink: "link", policy.FieldUtil: "link",
	policy.FieldUplink: "uplink"}

// report reads the load values in a message body, in the order of the settings' fields; nil unless all are present.
func (p *Protocol) report(m *rtsp.Message) []float64 {
	if len(m.Body) == 0 || len(p.cfg.Fields) == 0 {
		return nil
	}
	params := rtsp.ParseParams(m.Body)
	out := make([]float64, 0, len(p.cfg.Fields))
	for _, f := range p.cfg.Fields {
		v, ok := rtsp.NumberParam(params, parameterNames[f])
		if !ok {
			return nil
		}
		if f == policy.FieldUtil {
			v = min(v, 1)
		}
		out = append(out, v)
	}
	return out
}

// handleRequest answers a request from the server.
func (p *Protocol) handleRequest(peer *peerState, m *rtsp.Message) {
	reply := rtsp.Message{Status: rtsp.StatusOK, CSeq: m.CSeq}
	switch m.Method {
	case rtsp.Options:
		reply.AddHeader("Public", "OPTIONS, SET_PARAMETER, PLAY_NOTIFY, REDIRECT")
	case rtsp.SetParameter:
		a := peer.streamByID(m.Session())
		if a == nil {
			reply.Status = rtsp.StatusSessionNotFound
			break
		}
		p.handleNotes(a, rtsp.ParseParams(m.Body))
	case rtsp.PlayNotify:
		a := peer.streamByID(m.Session())
		if a == nil {
			reply.Status = rtsp.StatusSessionNotFound
			break
		}
		if m.Get("Notify-Reason") == "end-of-stream" { // section 13.5.1
			p.teardown(peer, a)
			a.ended = false
			p.endAttempt(a, policy.OK, nil)
		}
	case rtsp.Redirect:
		p.events = append(p.events, Redirected{peer.server})
	default:
		reply.Status = rtsp.StatusNotImplemented
	}
	p.send(peer, reply.Append(nil))
}

func (s *peerState) streamByID(session string) *attempt {
	for _, a := range s.streams {
		if a.sessionID == session && session != "" {
			return a
		}
	}
	return nil
}

func (p *Protocol) handleNotes(a *attempt, params map[string]string) {
	for _, n := range []struct {
		name string
		kind policy.NoteKind
	}{{"share", policy.NoteShare}, {"link", policy.NoteLink}, {"uplink", policy.NoteUplink}} {
		if v, ok := rtsp.NumberParam(params, n.name); ok {
			p.events = append(p.events, front.Note{Session: a.setup.Session, Attempt: a.setup.Attempt, Kind: n.kind,
				Value: v})
		}
	}
}

// Tick moves the time forward: it times out probes, closes silent connections and sends keep-alives on idle ones. It
// should be called several times a second.
func (p *Protocol) Tick(now Time) {
	p.now = now
	for _, id := range p.peerOrder {
		peer := p.peers[id]
		p.tickAddresses(peer)
		if peer.connState == connecting && peer.probeWaiting && now-peer.probeAt >= p.cfg.ProbeTimeout {
			peer.probeWaiting = false
			p.events = append(p.events, front.Probed{Server: id, Status: policy.NoConnect, Took: now - peer.probeAt})
		}
		if peer.connState != connected {
			continue
		}
		for _, seq := range peer.requestOrder {
			if c := peer.requests[seq]; c.kind == requestProbe && !c.timedOut && now-c.startedAt >= p.cfg.ProbeTimeout {
				c.timedOut = true
				p.events = append(p.events, front.Probed{Server: id, Status: policy.TimedOut, Took: now - c.startedAt})
			}
		}
		switch {
		// Without this, a peer that died silently would keep its connection, and each set-up on it would run into its
		// timeout. The cost: the streams of a server that only stalls are verified on a new connection.
		case len(peer.requests) > 0 && now-max(peer.oldestRequestAt, peer.lastReadAt) >= p.cfg.StallTimeout:
			p.closeConnection(peer, peer.bytesSent, false, true)
		case len(peer.requests) == 0 && now-peer.lastReadAt >= p.cfg.KeepAliveInterval:
			m := rtsp.Message{Method: rtsp.Options, URI: "rtsp://" + peer.addr + "/"}
			p.send(peer, p.appendRequest(peer, &m, request{kind: requestKeepAlive}, nil))
		}
	}
}

// Counts returns the number of attempts and streams held and the number of unanswered requests.
func (p *Protocol) Counts() (held, requests int) {
	for _, peer := range p.peers {
		requests += len(peer.requests)
	}
	return len(p.attempts), requests
}
