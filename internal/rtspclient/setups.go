package rtspclient

import (
	"fmt"
	"slices"
	"strconv"

	"tealledge/decide/outcome"
	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

// This file writes, ends, abandons and tears down set-ups at media servers.

func (p *Protocol) setup(e front.Setup) {
	a := &attempt{setup: e, startedAt: p.now}
	p.attempts[e.Session] = a
	peer := p.peers[e.Server]
	switch {
	case peer == nil || len(peer.addresses.Addresses) == 0:
		p.endAttempt(a, policy.NoConnect, nil) // listed without an address
	case peer.connState == connected:
		p.writeSetup(peer, a)
	default:
		peer.unsent = append(peer.unsent, a)
		p.dial(peer)
	}
}

func (p *Protocol) uri(peer *peerState, s *front.Setup) string {
	name := s.Name
	if name == "" {
		name = p.cfg.TitleName(s.Title)
	}
	return "rtsp://" + peer.addr + "/" + name
}

// writeSetup writes SETUP and PLAY to the connection.
func (p *Protocol) writeSetup(peer *peerState, a *attempt) {
	p.lastPipeline++
	peer.lastSetupAt = p.now
	a.pipeline, a.sentConn = p.lastPipeline, peer.conn
	pipeline, uri := strconv.FormatUint(a.pipeline, 10), p.uri(peer, &a.setup)
	m := rtsp.Message{Method: rtsp.Setup, URI: uri, Headers: []rtsp.Header{
		{Name: "Pipelined-Requests", Value: pipeline}, {Name: "Transport", Value: "RTP/AVP/TCP;unicast"},
		{Name: HeaderAttempt, Value: fmt.Sprintf("%s/%d/%d", p.cfg.Front, a.setup.Session, a.setup.Attempt)},
		{Name: HeaderClass, Value: strconv.Itoa(a.setup.Class)},
		{Name: HeaderRung, Value: strconv.Itoa(a.setup.Rung)},
		{Name: HeaderViewer, Value: strconv.FormatUint(a.setup.Viewer, 10)}}}
	b := p.appendRequest(peer, &m, request{kind: requestSetup, owner: a}, nil)
	a.setupEnd = peer.bytesSent + uint64(len(b))
	play := rtsp.Message{Method: rtsp.Play, URI: uri,
		Headers: []rtsp.Header{{Name: "Pipelined-Requests", Value: pipeline}}}
	p.send(peer, p.appendRequest(peer, &play, request{kind: requestPlay, owner: a}, b))
}

// appendRequest numbers a request, records it as unanswered and appends it to b.
func (p *Protocol) appendRequest(peer *peerState, m *rtsp.Message, r request, b []byte) []byte {
	peer.lastCSeq++
	m.CSeq = peer.lastCSeq
	r.startedAt = p.now
	if len(peer.requests) == 0 {
		peer.oldestRequestAt = p.now
	}
	peer.requests[peer.lastCSeq] = &r
	peer.requestOrder = append(peer.requestOrder, peer.lastCSeq)
	return m.Append(b)
}

func (p *Protocol) send(peer *peerState, b []byte) {
	peer.bytesSent += uint64(len(b))
	p.effects = append(p.effects, Effect{Server: peer.server, Conn: peer.conn, Bytes: b})
}

// endAttempt emits an attempt's AttemptEnded, once, and removes the attempt.
func (p *Protocol) endAttempt(a *attempt, status policy.Status, report []float64) {
	if a.ended {
		return
	}
	a.ended = true
	p.removeAttempt(a)
	p.events = append(p.events, front.AttemptEnded{Session: a.setup.Session, Attempt: a.setup.Attempt, Status: status,
		Took: p.now - a.startedAt, Report: report})
}

func (p *Protocol) removeAttempt(a *attempt) {
	if p.attempts[a.setup.Session] == a {
		delete(p.attempts, a.setup.Session)
	}
	if peer := p.peers[a.setup.Server]; peer != nil {
		peer.streams = slices.DeleteFunc(peer.streams, func(o *attempt) bool { return o == a })
	}
}

// abandon stops waiting for an attempt in flight.
func (p *Protocol) abandon(e front.Abandon) {
	a := p.attempts[e.Session]
	if a == nil || a.setup.Attempt != e.Attempt || a.ended {
		return
	}
	peer := p.peers[a.setup.Server]
	if a.sentConn == 0 {
		peer.unsent = slices.DeleteFunc(peer.unsent, func(o *attempt) bool { return o == a })
		p.endAttempt(a, outcome.StatusOf(outcome.Unsent, e.Cause, 0), nil)
		return
	}
	progress := outcome.Written
	if a.sessionID != "" {
		progress = outcome.Accepted
	}
	p.teardown(peer, a)
	a.ended = false
	p.endAttempt(a, outcome.StatusOf(progress, e.Cause, 0), nil)
}

// teardown makes the server end a stream or an unanswered set-up. The TEARDOWN of an unanswered set-up goes to the
// connection that carried the set-up: on another one it could overtake the set-up.
func (p *Protocol) teardown(peer *peerState, a *attempt) {
	a.ended = true
	p.removeAttempt(a)
	if peer == nil || peer.connState != connected || a.sentConn != peer.conn && a.sessionID == "" {
		p.queueTeardown(peer, a) // the server itself drops a set-up that was never answered on a lost connection
		return
	}
	m := rtsp.Message{Method: rtsp.Teardown, URI: p.uri(peer, &a.setup)}
	if a.sessionID != "" {
		m.AddHeader("Session", a.sessionID)
	} else {
		m.AddHeader("Pipelined-Requests", strconv.FormatUint(a.pipeline, 10))
	}
	p.send(peer, p.appendRequest(peer, &m, request{kind: requestTeardown, owner: a}, nil))
}

// queueTeardown records a stream that the server may still play although its connection is lost.
func (p *Protocol) queueTeardown(peer *peerState, a *attempt) {
	if peer != nil && a.sessionID != "" && len(peer.pendingTeardowns) < maxPendingTeardowns {
		peer.pendingTeardowns = append(peer.pendingTeardowns, a.sessionID)
		peer.teardownBackoff, peer.teardownsExpireAt = minTeardownBackoff, p.now+pendingTeardownTTL
		peer.teardownDialAt = p.now + peer.teardownBackoff
		p.dial(peer)
	}
}
