// Package life decides how long an HLS session lives and who it belongs to. A player of RFC 8216 never says that it
// leaves: it only stops asking. It is pure; time is passed in.
//
// Danger in one direction: a stream held for a player that is gone takes a place and a seat. In the other: a session
// ended between two reloads makes a playing viewer come again, and a paid one pay for nothing.
package life

import "tealledge/policy"

// Time is a clock reading or span in nanoseconds.
type Time = policy.Time

const (
	missed    = 3                        // reloads that a live player may miss (RFC 8216 section 6.3.4: one each target duration)
	slack     = 2 * policy.Second        // for the network and a slow player
	liveLeast = 6 * policy.Second        // a short target must not make a hiccup an end
	firstWait = 8 * policy.Second        // from the answer to the first media playlist
	idleAfter = 20 * policy.Second       // after the last second of a finished list could have been played
	longest   = 6 * 3600 * policy.Second // no list, however long, holds a session beyond this without a word
	tooFast   = 0.3                      // of the target: no player has a reason to reload faster
	fastMost  = 20                       // so many too fast in a row are turned away
	staleLive = 2.0                      // targets that a live list may be old when its origin is late
	noReload  = 500 * policy.Millisecond
)

// List is what is known of the playlist that a session's player read last. The zero value: none yet.
type List struct {
	Target Time
	Total  Time // length of all its segments
	Ended  bool // ENDLIST: it is never reloaded
}

// Ends tells when a session ends if nothing more is heard of its player. Until then it keeps its seat and its place,
// also while it is unsure whether its player is there: two sessions must not share a seat. opened is when its request was answered,
// heard when it asked for a playlist last (0: not yet).
func Ends(opened, heard Time, l List) Time {
	switch {
	case heard == 0:
		return opened + firstWait
	case l.Ended:
		return heard + min(l.Total+idleAfter, longest)
	}
	return heard + max(missed*l.Target+slack, liveLeast)
}

// TooFast tells whether a reload comes so soon after the last one that the same text does: nothing new can be there.
func TooFast(now, heard Time, l List) bool {
	return heard > 0 && !l.Ended && now-heard < max(Time(tooFast*float64(l.Target)), noReload)
}

// Turned decides whether a player that reloads too fast is told to wait: a few in a row are a player that seeks or has
// opened two variants, many are a broken one, which would cost as much as dozens of others. It loses nothing by it: its
// session is kept alive all the same.
func Turned(fastInARow int) bool { return fastInARow > fastMost }

// Fresh tells whether a shared playlist may be told without asking its origin again; a finished one always may.
func Fresh(age Time, l List) bool { return l.Ended || age < l.Target/2 }

// Usable tells whether a playlist that could not be had anew is better than none. A live one that is older than two
// targets would only have the player wait at its end, and another server may do better.
func Usable(age Time, l List) bool { return l.Ended || float64(age) <= staleLive*float64(l.Target) }

// Claim tells whether a request for a title is by the player of a session that is already there: it carries the
// session's own cookie, or it names the same viewer. A viewer that names itself is believed: its second request is the
// same session, whether its answer was lost or it opened the title twice. Without a name or a cookie a lost answer
// can't be told from a second viewer, and is taken for one: two viewers must not share a seat.
func Claim(cookie, named bool) bool { return cookie || named }
