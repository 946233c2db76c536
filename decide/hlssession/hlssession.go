// Package hlssession decides when an HLS session expires and which requests belong to it. An RFC 8216 player never
// announces that it leaves; it only stops sending requests. The package is pure; time is passed in.
//
// A stream held for too long after its player has left takes up a place and a seat. A session ended too early,
// between two reloads, makes a playing viewer open it again, and a paid one pay for nothing.
package hlssession

import "tealledge/policy"

// Time is a point of time or a duration in nanoseconds.
type Time = policy.Time

const (
	maxMissedReloads     = 3                        // while live (RFC 8216 section 6.3.4: one per target duration)
	reloadSlack          = 2 * policy.Second        // allowance for the network and a slow player
	minLiveTimeout       = 6 * policy.Second        // a short target duration must not end a session on a brief stall
	firstPlaylistTimeout = 8 * policy.Second        // from the session's reply to the first media playlist request
	finishedIdleTimeout  = 20 * policy.Second       // after the time needed to play a whole finished playlist
	maxFinishedTimeout   = 6 * 3600 * policy.Second // however long the playlist, a session without requests ends
	minReloadTargets     = 0.3                      // in target durations: no player has a reason to reload sooner
	maxFastReloads       = 20                       // consecutive ones that are served; further ones are rejected
	maxLiveAgeTargets    = 2.0                      // age of a live playlist in target durations, if its origin is late
	minReloadInterval    = 500 * policy.Millisecond
)

// Playlist describes the playlist that a session's player read last. The zero value means none yet.
type Playlist struct {
	TargetDuration Time
	TotalDuration  Time // duration of all its segments
	Ended          bool // it has ENDLIST and is never reloaded
}

// ExpiresAt returns when a session expires if its player sends no further request. Until then it keeps its seat and
// its place, even while it is unknown whether its player is still there: two sessions must not share a seat. openedAt
// is when its request was answered, lastRequestAt when it last requested a playlist (0: not yet).
func ExpiresAt(openedAt, lastRequestAt Time, playlist Playlist) Time {
	switch {
	case lastRequestAt == 0:
		return openedAt + firstPlaylistTimeout
	case playlist.Ended:
		return lastRequestAt + min(playlist.TotalDuration+finishedIdleTimeout, maxFinishedTimeout)
	}
	return lastRequestAt + max(maxMissedReloads*playlist.TargetDuration+reloadSlack, minLiveTimeout)
}

// ReloadsTooFast reports whether a reload follows the last one so soon that the playlist can't have changed and the
// same text is served again.
func ReloadsTooFast(now, lastRequestAt Time, playlist Playlist) bool {
	return lastRequestAt > 0 && !playlist.Ended &&
		now-lastRequestAt < max(Time(minReloadTargets*float64(playlist.TargetDuration)), minReloadInterval)
}

// ThrottlesReload decides whether a player that reloads too fast must wait. A few fast reloads in a row come
// from a player that seeks or has opened two variants; many come from a faulty one, which would cost as much as
// dozens of others. The rejected player loses nothing: its session is kept alive all the same.
func ThrottlesReload(consecutiveFast int) bool { return consecutiveFast > maxFastReloads }

// Fresh reports whether a shared playlist may be served without a new request to its origin; a finished one always
// may.
func Fresh(age Time, playlist Playlist) bool {
	return playlist.Ended || age < playlist.TargetDuration/2
}

// Usable reports whether a playlist that could not be refreshed is better than none. With a live one older than two
// target durations the player would only wait at its end, and another server may do better.
func Usable(age Time, playlist Playlist) bool {
	return playlist.Ended || float64(age) <= maxLiveAgeTargets*float64(playlist.TargetDuration)
}

// OwnsSession reports whether a request for a title comes from the player of an existing session: it carries the
// session's cookie, or it names the same viewer. The viewer's name is trusted: a second request under it belongs to
// the same session, whether the first reply was lost or the title was opened twice. Without a name or a cookie a
// retry after a lost reply can't be distinguished from a second viewer and counts as one: two viewers must not share
// a seat.
func OwnsSession(hasCookie, namesViewer bool) bool { return hasCookie || namesViewer }
