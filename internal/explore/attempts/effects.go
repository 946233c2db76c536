package attempts

import (
	"tealledge/internal/front"
	"tealledge/internal/rtspclient"
)

// Events for the core, and the effects of the core and the protocol.

// stepCore gives the core an event and carries out the effects.
func (w *world) stepCore(e front.Event) {
	w.applyCoreEffects(w.core.Step(w.now, e))
	w.runProtocol()
}

// runProtocol carries out the effects of the protocol and passes its events to the core, as the production shell does.
func (w *world) runProtocol() {
	for {
		effects, events := w.protocol.Take()
		if len(effects) == 0 && len(events) == 0 {
			return
		}
		for _, effect := range effects {
			w.applyProtocolEffect(effect)
		}
		for _, event := range events {
			for _, event := range w.mutateEvent(event) {
				w.applyCoreEffects(w.core.Step(w.now, event))
			}
		}
	}
}

// applyProtocolEffect carries out an effect of the protocol: it dials, closes or writes to a connection.
func (w *world) applyProtocolEffect(effect rtspclient.Effect) {
	conn := w.connByID(effect.Conn)
	switch {
	case effect.Dial != "":
		w.conns = append(w.conns, &serverConn{id: effect.Conn, server: effect.Server, dialing: true})
	case conn == nil:
	case effect.Close:
		w.removeConn(conn)
	default:
		conn.decoder.Feed(effect.Bytes)
		conn.bytesWritten += uint64(len(effect.Bytes))
		for {
			message, err := conn.decoder.Next()
			if err != nil {
				w.fail("the front wrote invalid RTSP: %v", err)
				return
			}
			if message == nil {
				break
			}
			if message.Method == "" {
				continue // the front's answer to a note
			}
			conn.completeBytes = conn.bytesWritten - uint64(conn.decoder.Buffered())
			conn.pending = append(conn.pending, request{message, conn.completeBytes, w.checkWritten(conn, message)})
		}
	}
}

// applyCoreEffects carries out effects of the core, as the production shell does.
func (w *world) applyCoreEffects(effects []front.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case front.Plays:
			w.recordAnswer(e.Player, e.Session, "plays")
		case front.Refused:
			w.recordAnswer(e.Player, e.Session, "refused")
		case front.Failed:
			w.recordAnswer(e.Player, e.Session, "failed")
		case front.Resumed:
			w.players[e.Player%100].disconnected = false
		case front.Unknown:
			w.players[e.Player%100].left, w.players[e.Player%100].playing, w.players[e.Player%100].disconnected =
				true, false, false
		case front.SessionEnded:
			w.stopPlaying(e.Session)
		case front.Moved:
			w.stopPlaying(e.Session)
		case front.Fault:
			w.fail("the core's failsafe reported a fault: %s", e.Text)
		default:
			if e, ok := w.mutateEffect(e); ok {
				w.protocol.Apply(w.now, e)
			}
		}
	}
}
