package manifest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"tealledge/decide/hlssession"
	"tealledge/internal/front"
	"tealledge/internal/hls"
)

// origin keeps the origin's playlists in parsed form, by title and rung, shared by all sessions: all servers that hold
// a title tell the same. A playlist is fetched once for all that wait for it, an error is remembered for a moment, and
// the whole is bounded.
type origin struct {
	client *http.Client
	now    func() front.Time
	wait   time.Duration
	mu     sync.Mutex
	lists  map[listKey]*entry
	weight int // segments held
	Stats  OriginStats
}

// OriginStats counts, guarded by the origin's mutex.
type OriginStats struct{ Fetched, Shared, Stale, Failed int }

type listKey struct {
	title string
	rung  int // -1: the multivariant playlist
}

type entry struct {
	media   *hls.Media
	multi   *hls.Multivariant
	at      front.Time // fetched
	used    front.Time
	err     error
	errAt   front.Time
	loading chan struct{} // closed when the fetch under way ends
}

const (
	negative    = 300 * front.Time(time.Millisecond) // an error is not asked for again within
	entriesMost = 8192
	weightMost  = 400_000 // segments, some 60 MB
)

func newOrigin(now func() front.Time, wait time.Duration) *origin {
	return &origin{now: now, wait: wait, lists: map[listKey]*entry{}, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 8, MaxConnsPerHost: 32, IdleConnTimeout: 30 * time.Second, ResponseHeaderTimeout: wait},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

func (e *entry) list() hlssession.Playlist {
	if e.media == nil {
		return hlssession.Playlist{Ended: true} // a multivariant playlist does not change
	}
	return hlssession.Playlist{TargetDuration: front.Time(e.media.Target), TotalDuration: front.Time(e.media.Total()), Ended: e.media.Ended}
}

// get gives a playlist, from the server at an address if it is not at hand. The error is the fetch's if nothing usable
// is known.
func (o *origin) get(ctx context.Context, k listKey, server string) (*entry, error) {
	for {
		o.mu.Lock()
		now := o.now()
		e := o.lists[k]
		if e == nil {
			e = &entry{}
			o.lists[k] = e
			o.bound(k)
		}
		e.used = now
		have := e.media != nil || e.multi != nil
		switch {
		case have && hlssession.Fresh(now-e.at, e.list()):
			o.Stats.Shared++
			c := *e
			o.mu.Unlock()
			return &c, nil
		case e.loading != nil:
			ch := e.loading
			o.mu.Unlock()
			select {
			case <-ch:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		case e.err != nil && now-e.errAt < negative:
			c, err := o.old(e, now)
			o.mu.Unlock()
			return c, err
		}
		e.loading = make(chan struct{})
		o.mu.Unlock()
		media, multi, err := o.fetch(k, server)
		o.mu.Lock()
		close(e.loading)
		e.loading = nil
		now = o.now()
		if err == nil && media != nil && e.media != nil && media.Sequence < e.media.Sequence && !media.Ended {
			err = fmt.Errorf("playlist of %s went back from %d to %d", k.title, e.media.Sequence, media.Sequence)
		}
		if err != nil {
			o.Stats.Failed++
			e.err, e.errAt = err, now
			c, err := o.old(e, now)
			o.mu.Unlock()
			return c, err
		}
		o.Stats.Fetched++
		if e.media != nil {
			o.weight -= len(e.media.Segments)
		}
		if media != nil {
			o.weight += len(media.Segments)
		}
		e.media, e.multi, e.at, e.err = media, multi, now, nil
		o.bound(k)
		c := *e
		o.mu.Unlock()
		return &c, nil
	}
}

// old gives what is known though it could not be had anew, if that is better than nothing.
func (o *origin) old(e *entry, now front.Time) (*entry, error) {
	if (e.media != nil || e.multi != nil) && hlssession.Usable(now-e.at, e.list()) {
		o.Stats.Stale++
		c := *e
		return &c, nil
	}
	return nil, e.err
}

// bound forgets what was not used for longest, but for one.
func (o *origin) bound(keep listKey) {
	for len(o.lists) > entriesMost || o.weight > weightMost {
		var worst listKey
		found := false
		for k, e := range o.lists {
			if k != keep && e.loading == nil && (!found || e.used < o.lists[worst].used) {
				worst, found = k, true
			}
		}
		if !found {
			return
		}
		if m := o.lists[worst].media; m != nil {
			o.weight -= len(m.Segments)
		}
		delete(o.lists, worst)
	}
}

func (o *origin) fetch(k listKey, server string) (*hls.Media, *hls.Multivariant, error) {
	name := "master.m3u8"
	if k.rung >= 0 {
		name = fmt.Sprintf("%d.m3u8", k.rung)
	}
	// Not the viewer's context: others wait for it too.
	ctx, cancel := context.WithTimeout(context.Background(), o.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+"/"+url.PathEscape(k.title)+"/"+name, nil)
	if err != nil {
		return nil, nil, err
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return nil, nil, fmt.Errorf("origin: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("origin %s: %s", req.URL, resp.Status)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, hls.MaxBytes+1))
	if err != nil {
		return nil, nil, fmt.Errorf("origin %s: %w", req.URL, err)
	}
	if resp.ContentLength >= 0 && int64(len(b)) != resp.ContentLength {
		return nil, nil, fmt.Errorf("origin %s: %d of %d bytes", req.URL, len(b), resp.ContentLength)
	}
	if k.rung < 0 {
		m, err := hls.ParseMultivariant(string(b))
		return nil, m, err
	}
	m, err := hls.ParseMedia(string(b))
	return m, nil, err
}
