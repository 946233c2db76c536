// Package outcome decides what is known of a set-up attempt that ended without a success response: whether it provably
// never ran or may have run. A paid set-up must not run twice: it is sent again or refused only when every earlier
// attempt provably never ran.
//
// A wrong conclusion would let it run twice, so whatever is not proven here counts as "may have run". The cost: a paid
// viewer may get "failed" although its set-up never ran.
package outcome

import "tealledge/policy"

// Progress is how far the transmission of the SETUP had got when the attempt ended.
type Progress uint8

// Progress values.
const (
	Unsent        Progress = iota // no byte was handed to an established connection
	PartlyWritten                 // writing started, but the last byte was never handed to the kernel
	Written                       // the last byte may have been sent
	Accepted                      // the server answered SETUP with 200: the session runs or did run
)

// Cause is the reason why an attempt ended.
type Cause uint8

// Causes.
const (
	DialFailed     Cause = iota // no connection: refused, unreachable or timed out
	Expired                     // the attempt timed out
	ConnectionLost              // the connection failed: reset, end of stream, or data that is not RTSP
	Cancelled                   // cancelled by the front: the server drains, or the viewer left
	ErrorResponse               // the server responded with a status other than 200
)

// StatusOf returns the module's status for an attempt that ended with this progress and cause. For ErrorResponse,
// code is the RTSP status of the first request that was not answered with 200 (RFC 7826 section 17).
func StatusOf(progress Progress, cause Cause, code int) policy.Status {
	switch cause {
	case ErrorResponse:
		return errorResponseStatus(progress, code)
	case DialFailed:
		if progress <= PartlyWritten {
			return policy.NoConnect
		}
		return policy.ConnReset
	case ConnectionLost:
		// A request whose last byte was never written can't be complete at the server, and a server runs complete
		// requests only.
		if progress <= PartlyWritten {
			return policy.NoConnect
		}
		return policy.ConnReset
	case Expired:
		// Unsent at the timeout means that no connection was established: this counts as a failure of the server, and
		// the set-up never ran. PartlyWritten proves nothing here: the rest may still be written.
		if progress == Unsent {
			return policy.NoConnect
		}
		return policy.TimedOut
	default:
		if progress == Unsent {
			return policy.NotSent
		}
		return policy.Cancelled
	}
}

// errorResponseStatus maps an RTSP status. 453 and 503 in response to SETUP itself mean that nothing was set up.
// After an accepted SETUP no response to PLAY undoes it. Any other status may mean a set-up that ran and then failed.
func errorResponseStatus(progress Progress, code int) policy.Status {
	if progress == Accepted {
		return policy.Errored
	}
	switch code {
	case 453, 503:
		return policy.Full
	}
	return policy.Errored
}

// NeverRan reports whether a status proves that the attempt never ran.
func NeverRan(status policy.Status) bool {
	return status == policy.Full || status == policy.NoConnect || status == policy.NotSent
}
