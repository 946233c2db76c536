package hlssession

import (
	"testing"

	"tealledge/policy"
)

const (
	s  = policy.Second
	at = 1000 * s
)

func TestExpiresAt(t *testing.T) {
	for name, c := range map[string]struct {
		lastRequestAt Time
		l             Playlist
		want          Time
	}{
		"no playlist requested":            {0, Playlist{}, at + 8*s},
		"live, target duration 4 s":        {at + 10*s, Playlist{TargetDuration: 4 * s}, at + 24*s},
		"live, very short target duration": {at + 10*s, Playlist{TargetDuration: 1 * s}, at + 16*s},
		"finished, ten minutes":            {at + 10*s, Playlist{TargetDuration: 4 * s, TotalDuration: 600 * s, Ended: true}, at + 630*s},
		"finished, a year":                 {at, Playlist{TargetDuration: 4 * s, TotalDuration: 365 * 24 * 3600 * s, Ended: true}, at + 6*3600*s},
	} {
		if got := ExpiresAt(at, c.lastRequestAt, c.l); got != c.want {
			t.Errorf("%s: %d s, want %d s", name, (got-at)/s, (c.want-at)/s)
		}
	}
}

// TestRegularReloadsKeepSession: a player that reloads as the RFC requires, or is one or two reloads late, keeps its
// session.
func TestRegularReloadsKeepSession(t *testing.T) {
	for _, target := range []Time{s, 2 * s, 6 * s, 10 * s} {
		playlist := Playlist{TargetDuration: target}
		for _, gap := range []Time{target / 2, target, target * 3 / 2, 2 * target, 3 * target} {
			if ExpiresAt(at, at, playlist) <= at+gap {
				t.Errorf("target duration %d s: expired after a gap of %d s", target/s, gap/s)
			}
		}
	}
}

func TestReloadPacingAndStalePlaylists(t *testing.T) {
	live, finished := Playlist{TargetDuration: 4 * s}, Playlist{TargetDuration: 4 * s, Ended: true}
	if !ReloadsTooFast(at+s, at, live) || ReloadsTooFast(at+2*s, at, live) || ReloadsTooFast(at, 0, live) ||
		ReloadsTooFast(at+s/10, at, finished) {
		t.Error("ReloadsTooFast is wrong")
	}
	if ThrottlesReload(20) || !ThrottlesReload(21) {
		t.Error("ThrottlesReload is wrong")
	}
	if !Fresh(s, live) || Fresh(3*s, live) || !Fresh(1000*s, finished) {
		t.Error("Fresh is wrong")
	}
	if !Usable(8*s, live) || Usable(9*s, live) || !Usable(1000*s, finished) {
		t.Error("Usable is wrong")
	}
}

func TestSessionOwnedByCookieOrViewerName(t *testing.T) {
	if OwnsSession(false, false) || !OwnsSession(true, false) || !OwnsSession(false, true) {
		t.Error("OwnsSession is wrong")
	}
}
