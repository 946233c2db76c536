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

// WatchHLS runs one viewer that comes by HLS: it opens the title, reloads as RFC 8216 asks, fetches the newest segment
// of a live title, and goes on at another front when its own is gone.
func (c *Crowd) WatchHLS(ctx context.Context, v Viewer, pick func(int) (name, addr string)) {
	c.Rec.Add(record.Event{Source: "player", Kind: record.ViewerArrived, Viewer: Hash(v.Name), Class: v.ClassN, Top: v.Top, Length: v.Length.Seconds(),
		Value: v.Worth, Title: v.Title, Text: string(v.Bad)})
	tr := &http.Transport{MaxConnsPerHost: 2}
	defer tr.CloseIdleConnections()
	p := &hlsPlayer{c: c, v: v, pick: pick, client: &http.Client{Transport: tr, Timeout: 8 * time.Second}, end: time.Now().Add(v.Length)}
	for try := 0; try < 20 && time.Now().Before(p.end) && ctx.Err() == nil; try++ {
		done, after := p.watch(ctx, try)
		if done || c.draw() > c.AgainShare {
			return
		}
		if wait(ctx, max(after, time.Duration((0.3+0.7*c.draw())*float64(time.Second)))) != nil {
			return
		}
	}
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

type hlsPlayer struct {
	c      *Crowd
	v      Viewer
	pick   func(int) (string, string)
	client *http.Client
	end    time.Time
	addr   string
}

func (p *hlsPlayer) get(ctx context.Context, method, u string) (code int, body string, h http.Header, err error) {
	req, err := http.NewRequestWithContext(ctx, method, u, nil)
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

// watch is one request for the title and what follows.
func (p *hlsPlayer) watch(ctx context.Context, try int) (done bool, after time.Duration) {
	c, v := p.c, p.v
	c.mu.Lock()
	c.seen++
	n := c.seen
	c.mu.Unlock()
	front, addr := p.pick(n)
	p.addr = addr
	e := record.Event{Source: "player", Kind: record.RequestSent, Front: front, Viewer: Hash(v.Name), Ref: v.Name + "#h" + strconv.Itoa(try), Class: v.ClassN, Title: v.Title}
	q := url.Values{"class": {v.Class}, "viewer": {v.Name}, "top": {strconv.Itoa(v.Top)}}
	if v.Tenant != "" {
		q.Set("tenant", v.Tenant)
	}
	c.Rec.Add(e)
	add := func(what, text, session string) {
		e.At, e.Kind, e.Text, e.Session = 0, what, text, session
		c.Rec.Add(e)
	}
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	if v.Bad == LeaveAtOnce || v.Bad == LeaveLater { // gone before its answer
		time.AfterFunc(time.Duration(c.draw()*float64(15*time.Millisecond)), cancel)
	}
	code, text, h, err := p.get(asking, http.MethodGet, "http://"+addr+"/hls/"+v.Title+"/master.m3u8?"+q.Encode())
	if err != nil {
		if errors.Is(err, context.Canceled) {
			add(record.PlayerLeft, "", "")
		} else {
			add(record.PlayerConnLost, err.Error(), "")
		}
		return v.Bad != Good, 0
	}
	kind := map[int]string{200: "plays", 503: "refused", 502: "failed"}[code]
	if kind == "" {
		kind = "error"
	}
	add(record.ReplyReceived, kind, sessionNumber(h.Get("X-Tealledge-Session")))
	if code != 200 {
		seconds, _ := strconv.Atoi(h.Get("Retry-After"))
		return kind != "refused", time.Duration(seconds) * time.Second
	}
	variant := ""
	for _, l := range strings.Split(text, "\n") {
		if l != "" && l[0] != '#' {
			variant = l // the best one is the last
		}
	}
	return p.play(ctx, variant), 0
}

// play reloads the variant's playlist until the viewer has seen enough. It gives false if it is to be opened anew.
func (p *hlsPlayer) play(ctx context.Context, variant string) (done bool) {
	misses := 0
	for time.Now().Before(p.end) {
		code, text, h, err := p.get(ctx, http.MethodGet, "http://"+p.addr+variant)
		switch {
		case ctx.Err() != nil:
			return true
		case err != nil: // its front is gone: another one knows what to do with the address
			if misses++; misses > 3 {
				return false
			}
			p.c.mu.Lock()
			p.c.seen++
			n := p.c.seen
			p.c.mu.Unlock()
			_, p.addr = p.pick(n)
		case code == http.StatusServiceUnavailable:
			if misses++; misses > 6 {
				return false
			}
			if seconds, _ := strconv.Atoi(h.Get("Retry-After")); wait(ctx, time.Duration(seconds)*time.Second) != nil {
				return true
			}
			continue
		case code != http.StatusOK:
			return false
		default:
			misses = 0
			p.told(variant, text)
			p.segment(ctx, text)
		}
		if wait(ctx, min(time.Second, time.Until(p.end)+time.Millisecond)) != nil {
			return true
		}
		if strings.Contains(text, "#EXT-X-ENDLIST") { // a finished list is not read again
			if wait(ctx, time.Until(p.end)) != nil {
				return true
			}
		}
	}
	if p.v.Bad == Good { // others vanish without a word
		token, _, _ := strings.Cut(strings.TrimPrefix(variant, "/hls/s/"), "/")
		p.get(ctx, http.MethodDelete, "http://"+p.addr+"/hls/s/"+token)
	}
	return true
}

// told writes down what a playlist says.
func (p *hlsPlayer) told(variant, text string) {
	e := record.Event{Source: "player", Kind: record.PlaylistRead, Viewer: Hash(p.v.Name), Ref: variant, Title: p.v.Title, Class: p.v.ClassN}
	if m, err := hls.ParseMedia(text); err != nil {
		e.Text = err.Error()
	} else {
		e.Value, e.Length = float64(m.Sequence), float64(m.DiscontinuitySequence)
	}
	p.c.Rec.Add(e)
}

// segment fetches the newest segment of a list.
func (p *hlsPlayer) segment(ctx context.Context, text string) {
	last := ""
	for _, l := range strings.Split(text, "\n") {
		if l != "" && l[0] != '#' {
			last = l
		}
	}
	if last != "" {
		p.get(ctx, http.MethodGet, last)
	}
}
