// Package fate decides what is known of a set-up attempt that ended without a plain yes: whether it provably
// never ran or may have run. The second rule rests on it: a paid set-up is sent again or refused only when every
// earlier attempt provably never ran.
//
// The danger it keeps away is a guess in the wrong direction. Whatever is not proven here counts as may have run;
// the harm is a paid viewer told "failed" whose set-up in truth never ran.
package fate

import "tealledge/policy"

// Progress is how far the set-up's bytes had got when the attempt ended.
type Progress uint8

// How far a set-up got.
const (
	Unsent   Progress = iota // no byte was handed to a connection that stood
	Partly                   // writing began, but its last byte was never handed to the kernel
	Written                  // its last byte may have left
	Accepted                 // the server answered SETUP with 200: it runs, or did
)

// Cause is what ended the attempt.
type Cause uint8

// What may end an attempt.
const (
	DialRefused Cause = iota // no connection: refused, unreachable, or not in time
	Expired                  // the attempt's own time is up
	Broke                    // the connection ended: reset, end of stream, or bytes that are no RTSP
	Withdrawn                // taken back by the front: the server drains, or the viewer left
	Answered                 // the server answered, with a status other than 200
)

// Of gives the module's status for an attempt that ended with a cause at a progress. For Answered, code is the
// RTSP status of the first request that was not answered with 200 (RFC 7826 section 17).
func Of(at Progress, cause Cause, code int) policy.Status {
	switch cause {
	case Answered:
		return answered(at, code)
	case DialRefused:
		if at <= Partly {
			return policy.NoConnect
		}
		return policy.ResetConn
	case Broke:
		// A request whose last byte was never written can't be whole at the server, and a server runs whole
		// requests only.
		if at <= Partly {
			return policy.NoConnect
		}
		return policy.ResetConn
	case Expired:
		// Unsent at its time-out means that no connection stood: the server's fault, and it never ran. Partly
		// is not enough here: the rest may still be written.
		if at == Unsent {
			return policy.NoConnect
		}
		return policy.TimedOut
	default:
		if at == Unsent {
			return policy.Moot
		}
		return policy.CancelledSt
	}
}

// answered maps a status. 453 and 503 to SETUP itself say that nothing was set up. After an accepted SETUP no
// answer to PLAY takes that back. Any other status may stand for a set-up that ran and then failed.
func answered(at Progress, code int) policy.Status {
	if at == Accepted {
		return policy.Errored
	}
	switch code {
	case 453, 503:
		return policy.Full
	}
	return policy.Errored
}

// NeverRan tells whether a status proves that the attempt never ran.
func NeverRan(s policy.Status) bool {
	return s == policy.Full || s == policy.NoConnect || s == policy.Moot
}
