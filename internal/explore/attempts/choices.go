package attempts

import (
	"fmt"

	"tealledge/internal/front"
	"tealledge/internal/rtsp"
	"tealledge/policy"
)

// choiceKind is a kind of choice.
type choiceKind uint8

// The kinds of choices, each an event in the world of the front.
const (
	playerRequests choiceKind = iota
	playerLeaves
	playerDisconnects
	playerResumes
	dialSucceeds
	dialRefused
	serverAnswers
	serverAnswersFull
	serverAnswersError
	serverAnswersLoaded
	noteReceived
	connectionBreaks
	serverDrains
	listPartial
	listEmpty
	listRollback
	frontRestarts
	clockAdvances
	timersExpire
)

// choice is an event that can happen next. index is the player, connection or server concerned; message is the pending
// message that a connection is cut in, -1 if it breaks after all was written.
type choice struct {
	kind           choiceKind
	index, message int
}

// enabledChoices lists the choices enabled now, always in the same order.
//
// Three variations are left out because they cannot be distinguished: the order in which players of one class send
// their requests; the time between the writing of a request and the reading of its answer at which a server handles
// it, as only the answer shows it; and a server's answer that is read after its connection broke.
func (w *world) enabledChoices() (list []choice) {
	if w.violation != "" {
		return nil
	}
	add := func(k choiceKind, index, message int) { list = append(list, choice{k, index, message}) }
	allowed := func(n int) bool { return w.remaining.allows(n) }
	var classRequested [3]bool
	for i := range w.players {
		p, class := &w.players[i], w.cfg.classOf(i)
		switch {
		case !p.requested:
			if !classRequested[class] {
				add(playerRequests, i, 0)
				classRequested[class] = true
			}
			continue
		case p.left:
			continue
		}
		if allowed(w.remaining.Leaves) && !p.disconnected && (p.answer == "" || p.playing) {
			add(playerLeaves, i, 0)
		}
		if allowed(w.remaining.Breaks) && !p.disconnected && (p.answer == "" || p.playing) {
			add(playerDisconnects, i, 0)
		}
		if p.disconnected {
			add(playerResumes, i, 0)
		}
	}
	for i, conn := range w.conns {
		if conn.dialing {
			add(dialSucceeds, i, 0)
			if allowed(w.remaining.Refusals) {
				add(dialRefused, i, 0)
			}
			continue
		}
		w.connChoices(i, conn, add)
	}
	for i := range w.servers {
		if allowed(w.remaining.Drains) && !w.servers[i].draining {
			add(serverDrains, i, 0)
		}
		if allowed(w.remaining.Lists) {
			add(listPartial, i, 0)
		}
	}
	if allowed(w.remaining.Lists) {
		add(listEmpty, 0, 0)
		add(listRollback, 0, 0)
	}
	if allowed(w.remaining.Restarts) {
		add(frontRestarts, 0, 0)
	}
	if w.timersDue {
		add(timersExpire, 0, 0)
	} else if w.remaining.Waits > 0 {
		add(clockAdvances, 0, 0)
	}
	return list
}

// connChoices lists the choices enabled on an established connection.
func (w *world) connChoices(i int, conn *serverConn, add func(choiceKind, int, int)) {
	allowed := func(n int) bool { return w.remaining.allows(n) }
	if len(conn.pending) > 0 {
		add(serverAnswers, i, 0)
		switch first := conn.pending[0].message; {
		case first.Method == rtsp.Setup:
			if allowed(w.remaining.Denials) {
				add(serverAnswersFull, i, 0)
			}
			if allowed(w.remaining.Errors) {
				add(serverAnswersError, i, 0)
			}
		case w.cfg.Probes && first.Method == rtsp.GetParameter && first.Session() == "":
			add(serverAnswersLoaded, i, 0)
		}
	}
	if allowed(w.remaining.Notes) && conn.streams > 0 {
		add(noteReceived, i, 0)
	}
	if allowed(w.remaining.Losses) {
		add(connectionBreaks, i, -1)
		for message, r := range conn.pending {
			if r.attempt >= 0 {
				add(connectionBreaks, i, message) // this set-up is cut off, and later messages were never written
			}
		}
	}
}

// Choices returns the number of enabled choices.
func (w *world) Choices() int { return len(w.enabledChoices()) }

// Label returns the text of an enabled choice. Traces consist of these texts, and replays find choices by them.
func (w *world) Label(n int) string {
	choice := w.enabledChoices()[n]
	connText := func() string {
		conn := w.conns[choice.index]
		return fmt.Sprintf("connection %d to server %d", conn.id, conn.server)
	}
	answerText := func() string {
		request := w.conns[choice.index].pending[0].message
		return fmt.Sprintf("server %d's answer to %s on connection %d is read",
			w.conns[choice.index].server, request.Method, w.conns[choice.index].id)
	}
	switch choice.kind {
	case playerRequests:
		return fmt.Sprintf("player %d asks", choice.index)
	case playerLeaves:
		return fmt.Sprintf("player %d leaves", choice.index)
	case playerDisconnects:
		return fmt.Sprintf("player %d's connection breaks", choice.index)
	case playerResumes:
		return fmt.Sprintf("player %d resumes", choice.index)
	case dialSucceeds:
		return connText() + " stands"
	case dialRefused:
		return connText() + " is refused"
	case serverAnswers:
		return answerText()
	case serverAnswersFull:
		return answerText() + ": full"
	case serverAnswersError:
		return answerText() + ": an error"
	case serverAnswersLoaded:
		return answerText() + ": loaded"
	case noteReceived:
		return fmt.Sprintf("server %d's note of short delivery is read", w.conns[choice.index].server)
	case connectionBreaks:
		if choice.message >= 0 {
			return fmt.Sprintf("%s breaks in the midst of message %d", connText(), choice.message)
		}
		return connText() + " breaks, all written"
	case serverDrains:
		return fmt.Sprintf("server %d is told draining", choice.index+1)
	case listPartial:
		return fmt.Sprintf("the list lacks server %d", choice.index+1)
	case listEmpty:
		return "the list is empty"
	case listRollback:
		return "an older list comes, all ready"
	case frontRestarts:
		return "the front dies and starts anew"
	case clockAdvances:
		return "the clock goes to the next instant that matters"
	}
	return "what is due falls due"
}

// Take takes an enabled choice, checks the properties and, if no choice is left, finishes the run.
func (w *world) Take(n int) {
	c := w.enabledChoices()[n]
	switch c.kind {
	case playerRequests:
		w.requestSession(c.index)
	case playerLeaves:
		w.remaining.useUp(&w.remaining.Leaves)
		p := &w.players[c.index]
		p.left, p.playing = true, false
		w.stepCore(front.Leave{Session: p.session})
	case playerDisconnects:
		w.remaining.useUp(&w.remaining.Breaks)
		p := &w.players[c.index]
		if p.disconnected = p.playing; !p.disconnected {
			p.left = true // no answer can reach the player any more
		}
		w.stepCore(front.Detach{Session: p.session})
	case playerResumes:
		w.stepCore(front.Resume{Session: w.players[c.index].session, Token: token(), Player: uint64(100 + c.index)})
	case dialSucceeds:
		conn := w.conns[c.index]
		conn.dialing = false
		w.protocol.Connected(w.now, conn.server, conn.id)
		w.runProtocol()
	case dialRefused:
		w.remaining.useUp(&w.remaining.Refusals)
		conn := w.conns[c.index]
		w.removeConn(conn)
		w.protocol.DialFailed(w.now, conn.server, conn.id)
		w.runProtocol()
	case serverAnswers:
		w.answerRequest(w.conns[c.index], rtsp.StatusOK, 0.2)
	case serverAnswersLoaded:
		w.answerRequest(w.conns[c.index], rtsp.StatusOK, 1.2)
	case serverAnswersFull:
		w.remaining.useUp(&w.remaining.Denials)
		w.answerRequest(w.conns[c.index], rtsp.StatusNotEnoughBandwidth, 1)
	case serverAnswersError:
		w.remaining.useUp(&w.remaining.Errors)
		w.answerRequest(w.conns[c.index], rtsp.StatusInternalError, 0)
	case noteReceived:
		w.remaining.useUp(&w.remaining.Notes)
		w.sendNote(w.conns[c.index])
	case connectionBreaks:
		w.remaining.useUp(&w.remaining.Losses)
		w.breakConn(w.conns[c.index], c.message)
	case serverDrains:
		w.remaining.useUp(&w.remaining.Drains)
		w.servers[c.index].draining = true
		w.listIndex++
		w.applyList(w.listEntries())
	case listPartial:
		w.remaining.useUp(&w.remaining.Lists)
		w.listIndex++
		entries := w.listEntries()
		w.applyList(append(entries[:c.index:c.index], entries[c.index+1:]...))
	case listEmpty:
		w.remaining.useUp(&w.remaining.Lists)
		w.listIndex++
		w.applyList(nil)
	case listRollback:
		w.remaining.useUp(&w.remaining.Lists)
		entries := w.listEntries()
		for i := range entries {
			entries[i].Health = policy.Ready
		}
		w.listIndex -= 2
		w.applyList(entries)
		w.listIndex += 2
	case frontRestarts:
		w.restartFront()
	case clockAdvances:
		w.remaining.Waits--
		w.advanceClock()
	case timersExpire:
		w.expireTimers()
	}
	w.checkStep()
	if w.violation == "" && len(w.enabledChoices()) == 0 {
		w.finishRun()
	}
}
