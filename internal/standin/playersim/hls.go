package playersim

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"tealledge/internal/hls"
	"tealledge/internal/record"
)

// WatchHLS runs one HLS viewer: it opens the title, reloads the playlist as RFC 8216 requires, fetches the newest
// segment of each playlist, and continues at another front when its own is unreachable.
func (c *Crowd) WatchHLS(ctx context.Context, viewer Viewer, pick func(int) (name, addr string)) {
	c.Recorder.Add(record.Event{Source: "player", Kind: record.ViewerArrived, Viewer: HashViewer(viewer.Name),
		Class: viewer.ClassIndex, Top: viewer.Top, Length: viewer.WatchTime.Seconds(),
		Value: viewer.Worth, Title: viewer.Title, Text: string(viewer.Misbehaviour)})
	tr := &http.Transport{MaxConnsPerHost: 2}
	defer tr.CloseIdleConnections()
	p := &hlsPlayer{crowd: c, viewer: viewer, pick: pick, client: &http.Client{Transport: tr,
		Timeout: 8 * time.Second}, endAt: time.Now().Add(viewer.WatchTime)}
	for attempt := 0; attempt < 20 && time.Now().Before(p.endAt) && ctx.Err() == nil; attempt++ {
		done, retryAfter := p.openTitle(ctx, attempt)
		if done || c.random() > c.RetryShare {
			return
		}
		if sleep(ctx, max(retryAfter, time.Duration((0.3+0.7*c.random())*float64(time.Second)))) != nil {
			return
		}
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// hlsPlayer is one HLS viewer.
type hlsPlayer struct {
	crowd  *Crowd
	viewer Viewer
	pick   func(int) (string, string)
	client *http.Client
	endAt  time.Time
	addr   string
}

// get sends a request and reads the response, at most 1 MiB of its body.
func (p *hlsPlayer) get(ctx context.Context, method, target string) (code int, body string, h http.Header, err error) {
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return 0, "", nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, string(b), resp.Header, err
}

// openTitle sends one request for the title and plays it if the front accepts.
func (p *hlsPlayer) openTitle(ctx context.Context, attempt int) (done bool, retryAfter time.Duration) {
	crowd, viewer := p.crowd, p.viewer
	crowd.mu.Lock()
	crowd.picks++
	n := crowd.picks
	crowd.mu.Unlock()
	front, addr := p.pick(n)
	p.addr = addr
	event := record.Event{Source: "player", Kind: record.RequestSent, Front: front, Viewer: HashViewer(viewer.Name),
		Ref: viewer.Name + "#h" + strconv.Itoa(attempt), Class: viewer.ClassIndex, Title: viewer.Title}
	q := url.Values{"class": {viewer.Class}, "viewer": {viewer.Name}, "top": {strconv.Itoa(viewer.Top)}}
	if viewer.Tenant != "" {
		q.Set("tenant", viewer.Tenant)
	}
	crowd.Recorder.Add(event)
	add := func(kind, text, session string) {
		event.At, event.Kind, event.Text, event.Session = 0, kind, text, session
		crowd.Recorder.Add(event)
	}
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if viewer.Misbehaviour == LeaveAtOnce || viewer.Misbehaviour == LeaveLater { // leaves before the response
		time.AfterFunc(time.Duration(crowd.random()*float64(15*time.Millisecond)), cancel)
	}
	code, text, h, err := p.get(requestCtx, http.MethodGet,
		"http://"+addr+"/hls/"+viewer.Title+"/master.m3u8?"+q.Encode())
	if err != nil {
		if errors.Is(err, context.Canceled) {
			add(record.PlayerLeft, "", "")
		} else {
			add(record.PlayerConnLost, err.Error(), "")
		}
		return viewer.Misbehaviour != Good, 0
	}
	status := map[int]string{200: "plays", 503: "refused", 502: "failed"}[code]
	if status == "" {
		status = "error"
	}
	add(record.ReplyReceived, status, sessionNumber(h.Get("X-Tealledge-Session")))
	if code != 200 {
		seconds, _ := strconv.Atoi(h.Get("Retry-After"))
		return status != "refused", time.Duration(seconds) * time.Second
	}
	variant := ""
	for _, line := range strings.Split(text, "\n") {
		if line != "" && line[0] != '#' {
			variant = line // the best variant is the last
		}
	}
	return p.play(ctx, variant), 0
}

// play reloads the variant's playlist until the viewer has watched long enough. It returns false if the title must be
// opened again.
func (p *hlsPlayer) play(ctx context.Context, variant string) (done bool) {
	failures := 0
	for time.Now().Before(p.endAt) {
		code, text, h, err := p.get(ctx, http.MethodGet, "http://"+p.addr+variant)
		switch {
		case ctx.Err() != nil:
			return true
		case err != nil: // the front is unreachable: any other front can serve this path
			if failures++; failures > 3 {
				return false
			}
			p.crowd.mu.Lock()
			p.crowd.picks++
			n := p.crowd.picks
			p.crowd.mu.Unlock()
			_, p.addr = p.pick(n)
		case code == http.StatusServiceUnavailable:
			if failures++; failures > 6 {
				return false
			}
			if seconds, _ := strconv.Atoi(h.Get("Retry-After")); sleep(ctx, time.Duration(seconds)*time.Second) != nil {
				return true
			}
			continue
		case code != http.StatusOK:
			return false
		default:
			failures = 0
			p.recordPlaylist(variant, text)
			p.fetchNewestSegment(ctx, text)
		}
		if sleep(ctx, min(time.Second, time.Until(p.endAt)+time.Millisecond)) != nil {
			return true
		}
		if strings.Contains(text, "#EXT-X-ENDLIST") { // a complete playlist is not reloaded
			if sleep(ctx, time.Until(p.endAt)) != nil {
				return true
			}
		}
	}
	if p.viewer.Misbehaviour == Good { // other viewers leave without closing the session
		token, _, _ := strings.Cut(strings.TrimPrefix(variant, "/hls/s/"), "/")
		p.get(ctx, http.MethodDelete, "http://"+p.addr+"/hls/s/"+token)
	}
	return true
}

// recordPlaylist records the sequence numbers of a received playlist.
func (p *hlsPlayer) recordPlaylist(variant, text string) {
	e := record.Event{Source: "player", Kind: record.PlaylistRead, Viewer: HashViewer(p.viewer.Name), Ref: variant,
		Title: p.viewer.Title, Class: p.viewer.ClassIndex}
	if m, err := hls.ParseMedia(text); err != nil {
		e.Text = err.Error()
	} else {
		e.Value, e.Length = float64(m.Sequence), float64(m.DiscontinuitySequence)
	}
	p.crowd.Recorder.Add(e)
}

// fetchNewestSegment fetches the newest segment of a playlist.
func (p *hlsPlayer) fetchNewestSegment(ctx context.Context, text string) {
	last := ""
	for _, line := range strings.Split(text, "\n") {
		if line != "" && line[0] != '#' {
			last = line
		}
	}
	if last != "" {
		p.get(ctx, http.MethodGet, last)
	}
}
