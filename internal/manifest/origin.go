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

// origin caches the origin's playlists in parsed form, by title and rung, shared by all sessions: all servers that hold
// a title serve the same ones. Concurrent requests for a playlist share one fetch, an error is cached for a short time,
// and the size of the cache is bounded.
type origin struct {
	client   *http.Client
	now      func() front.Time
	timeout  time.Duration
	mu       sync.Mutex
	entries  map[listKey]*entry
	segments int // segments of all cached playlists
	Stats    OriginStats
}

// OriginStats counts the cache's results; it is guarded by the origin's mutex.
type OriginStats struct{ Fetched, Shared, Stale, Failed int }

type listKey struct {
	title string
	rung  int // -1: the multivariant playlist
}

type entry struct {
	media     *hls.MediaPlaylist
	multi     *hls.MultivariantPlaylist
	fetchedAt front.Time
	usedAt    front.Time
	err       error
	failedAt  front.Time
	loading   chan struct{} // closed when the fetch in flight ends
}

const (
	errorTTL    = 300 * front.Time(time.Millisecond) // a failed fetch is not repeated within this time
	maxEntries  = 8192
	maxSegments = 400_000 // about 60 MB
)

// newOrigin returns an empty cache; timeout bounds each fetch.
func newOrigin(now func() front.Time, timeout time.Duration) *origin {
	return &origin{now: now, timeout: timeout, entries: map[listKey]*entry{}, client: &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 8, MaxConnsPerHost: 32, IdleConnTimeout: 30 * time.Second,
			ResponseHeaderTimeout: timeout},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// playlist returns the properties of the cached playlist that its freshness depends on.
func (e *entry) playlist() hlssession.Playlist {
	if e.media == nil {
		return hlssession.Playlist{Ended: true} // a multivariant playlist does not change
	}
	return hlssession.Playlist{TargetDuration: front.Time(e.media.TargetDuration),
		TotalDuration: front.Time(e.media.TotalDuration()), Ended: e.media.Ended}
}

// get returns a playlist, fetched from the given server if the cache has no fresh one. It returns the fetch's error if
// the cache has no usable copy either.
func (o *origin) get(ctx context.Context, k listKey, server string) (*entry, error) {
	for {
		o.mu.Lock()
		now := o.now()
		e := o.entries[k]
		if e == nil {
			e = &entry{}
			o.entries[k] = e
			o.evict(k)
		}
		e.usedAt = now
		hasPlaylist := e.media != nil || e.multi != nil
		switch {
		case hasPlaylist && hlssession.Fresh(now-e.fetchedAt, e.playlist()):
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
		case e.err != nil && now-e.failedAt < errorTTL:
			c, err := o.staleEntry(e, now)
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
			err = fmt.Errorf("playlist of %s: media sequence went back from %d to %d",
				k.title, e.media.Sequence, media.Sequence)
		}
		if err != nil {
			o.Stats.Failed++
			e.err, e.failedAt = err, now
			c, err := o.staleEntry(e, now)
			o.mu.Unlock()
			return c, err
		}
		o.Stats.Fetched++
		if e.media != nil {
			o.segments -= len(e.media.Segments)
		}
		if media != nil {
			o.segments += len(media.Segments)
		}
		e.media, e.multi, e.fetchedAt, e.err = media, multi, now, nil
		o.evict(k)
		c := *e
		o.mu.Unlock()
		return &c, nil
	}
}

// staleEntry returns a copy of an entry that could not be refreshed if it is still usable, otherwise the entry's error.
func (o *origin) staleEntry(e *entry, now front.Time) (*entry, error) {
	if (e.media != nil || e.multi != nil) && hlssession.Usable(now-e.fetchedAt, e.playlist()) {
		o.Stats.Stale++
		c := *e
		return &c, nil
	}
	return nil, e.err
}

// evict removes the least recently used entries until the cache is within its limits. It never removes keep.
func (o *origin) evict(keep listKey) {
	for len(o.entries) > maxEntries || o.segments > maxSegments {
		var oldest listKey
		found := false
		for k, e := range o.entries {
			if k != keep && e.loading == nil && (!found || e.usedAt < o.entries[oldest].usedAt) {
				oldest, found = k, true
			}
		}
		if !found {
			return
		}
		if m := o.entries[oldest].media; m != nil {
			o.segments -= len(m.Segments)
		}
		delete(o.entries, oldest)
	}
}

// fetch requests a playlist from a server and parses it.
func (o *origin) fetch(k listKey, server string) (*hls.MediaPlaylist, *hls.MultivariantPlaylist, error) {
	name := "master.m3u8"
	if k.rung >= 0 {
		name = fmt.Sprintf("%d.m3u8", k.rung)
	}
	// Not the viewer's context: other requests wait for this fetch too.
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+server+"/"+url.PathEscape(k.title)+"/"+name, nil)
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
