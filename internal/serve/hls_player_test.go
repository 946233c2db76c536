package serve

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/grafov/m3u8"

	"tealledge/internal/record"
	"tealledge/internal/standin/playersim"
)

// hlsPlayer is an HLS player.
type hlsPlayer struct {
	site            *site
	viewer          string
	class           string
	title           string
	client          *http.Client
	sequences       map[string]uint64 // last media sequence number, by playlist address
	discontinuities map[string]uint64
	opened          int
}

func (x *site) hlsPlayer(viewer, class, title string) *hlsPlayer {
	transport := &http.Transport{}
	x.t.Cleanup(transport.CloseIdleConnections)
	return &hlsPlayer{site: x, viewer: viewer, class: class, title: title,
		client: &http.Client{Transport: transport}, sequences: map[string]uint64{},
		discontinuities: map[string]uint64{}}
}

// get requests a path at the front, or a full URL.
func (p *hlsPlayer) get(path string) (int, string, http.Header) {
	p.site.t.Helper()
	if strings.HasPrefix(path, "/") {
		path = "http://" + p.site.s.HLS() + path
	}
	resp, err := p.client.Get(path)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header
}

// open requests the master playlist, records that for the audit and returns the variants' addresses.
func (p *hlsPlayer) open() (code int, variants []string, h http.Header) {
	p.site.t.Helper()
	p.opened++
	call := fmt.Sprintf("hls-%p-%d", p, p.opened)
	hash := playersim.HashViewer(p.viewer)
	p.site.rec.Add(record.Event{Kind: record.RequestSent, Front: "f", Ref: call, Class: classes[p.class], Viewer: hash})
	code, text, h := p.get("/hls/" + p.title + "/master.m3u8?" +
		url.Values{"class": {p.class}, "viewer": {p.viewer}}.Encode())
	kind := map[int]string{200: "plays", 503: "refused", 502: "failed"}[code]
	p.site.rec.Add(record.Event{Kind: record.ReplyReceived, Front: "f", Ref: call, Class: classes[p.class], Text: kind,
		Session: strings.TrimPrefix(h.Get("X-Tealledge-Session"), "f-")})
	if code != 200 {
		return code, nil, h
	}
	list, listType, err := m3u8.DecodeFrom(strings.NewReader(text), true)
	if err != nil || listType != m3u8.MASTER {
		p.site.t.Fatalf("%v\n%s", err, text)
	}
	for _, v := range list.(*m3u8.MasterPlaylist).Variants {
		variants = append(variants, v.URI)
	}
	return code, variants, h
}

// reload reads a media playlist, parses it with an independent library, compares it with the one read before and
// returns the segments' addresses.
func (p *hlsPlayer) reload(variant string) (code int, segments []string) {
	p.site.t.Helper()
	code, text, _ := p.get(variant)
	if code != 200 {
		return code, nil
	}
	list, kind, err := m3u8.DecodeFrom(strings.NewReader(text), true)
	if err != nil || kind != m3u8.MEDIA {
		p.site.t.Fatalf("%v\n%s", err, text)
	}
	playlist := list.(*m3u8.MediaPlaylist)
	if playlist.SeqNo < p.sequences[variant] || playlist.DiscontinuitySeq < p.discontinuities[variant] {
		p.site.t.Fatalf("playlist went back: sequence %d after %d, discontinuity %d after %d", playlist.SeqNo,
			p.sequences[variant], playlist.DiscontinuitySeq, p.discontinuities[variant])
	}
	p.sequences[variant], p.discontinuities[variant] = playlist.SeqNo, playlist.DiscontinuitySeq
	for _, s := range playlist.Segments[:playlist.Count()] {
		segments = append(segments, s.URI)
	}
	return code, segments
}

// currentHolder returns the host of the last segment: the server that streams for the viewer now.
func (p *hlsPlayer) currentHolder(segments []string) string {
	u, err := url.Parse(segments[len(segments)-1])
	if err != nil {
		p.site.t.Fatal(err)
	}
	return u.Host
}
