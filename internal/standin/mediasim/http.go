package mediasim

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tealledge/internal/record"
)

// Titles whose names begin so are live: a window that slides with the clock, alike at all servers. Others are finished.
const livePrefix = "live-"

const (
	segmentLasts = time.Second
	liveWindow   = 6
	doneSegments = 4
	discEvery    = 10 // a live title has a discontinuity at every so many segments
)

// HTTPAddr is where the server delivers, "" if it does not.
func (s *Server) HTTPAddr() string { return s.webAddr }

func (s *Server) listenHTTP() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("media stand-in %d: %w", s.ID, err)
	}
	s.webAddr = ln.Addr().String()
	s.web = &http.Server{Handler: http.HandlerFunc(s.deliver), ReadHeaderTimeout: 2 * time.Second}
	go s.web.Serve(ln)
	return nil
}

// deliver answers GETs of playlists and segments.
func (s *Server) deliver(w http.ResponseWriter, r *http.Request) {
	f := s.farm
	f.mu.Lock()
	dead, stalled, half := !s.up, s.stalled || s.silent, f.rng.Float64() < s.half
	f.mu.Unlock()
	switch {
	case dead:
		panic(http.ErrAbortHandler)
	case stalled:
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	title, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if f.p.Holds != nil && !f.p.Holds(title, s.Cell) {
		http.NotFound(w, r)
		return
	}
	var body string
	switch {
	case rest == "master.m3u8":
		body = f.master()
	case strings.HasSuffix(rest, ".m3u8"):
		rung, err := strconv.Atoi(strings.TrimSuffix(rest, ".m3u8"))
		if err != nil || rung < 0 || rung >= len(f.p.Ladder) {
			http.NotFound(w, r)
			return
		}
		body = playlist(title, rung, time.Now())
	case strings.HasSuffix(rest, ".ts"):
		s.segment(w, r, title, rest)
		return
	default:
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if half {
		body = body[:len(body)/2]
	}
	w.Write([]byte(body))
}

// segment answers for a segment that exists, to those who carry a token; no media is sent.
func (s *Server) segment(w http.ResponseWriter, r *http.Request, title, rest string) {
	e := record.Event{Source: s.name(), Kind: record.SegmentRequested, Server: s.ID, Title: title, Text: rest}
	if s.farm.p.Keys != nil {
		c, err := s.farm.p.Keys.Verify(r.URL.Query().Get("st"), time.Now().Unix())
		if err != nil || c.Title != title {
			http.Error(w, "no token for this title", http.StatusForbidden)
			return
		}
		e.Viewer = strconv.FormatUint(c.Viewer, 10)
	}
	var rung, seq int
	if n, err := fmt.Sscanf(rest, "%d/%d.ts", &rung, &seq); n != 2 || err != nil || !exists(title, seq, time.Now()) {
		e.Status = 404
		s.farm.rec.Add(e)
		http.NotFound(w, r)
		return
	}
	s.farm.rec.Add(e)
	w.Write([]byte("segment"))
}

func (f *Farm) master() string {
	var b strings.Builder
	b.WriteString("#EXTM3U\n#EXT-X-VERSION:4\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"es\",NAME=\"Castellano\"\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"en\",NAME=\"English\"\n")
	for i, kb := range f.p.Ladder {
		fmt.Fprintf(&b, "#EXT-X-STREAM-INF:BANDWIDTH=%d,AUDIO=\"es\"\n%d.m3u8\n", int(kb*8000), i)
	}
	return b.String()
}

// newest is the media sequence of a live title's newest segment.
func newest(now time.Time) int { return int(now.UnixNano() / int64(segmentLasts)) }

func exists(title string, seq int, now time.Time) bool {
	if strings.HasPrefix(title, livePrefix) {
		return seq <= newest(now)+1 && seq > newest(now)-4*liveWindow
	}
	return seq >= 0 && seq < doneSegments
}

func playlist(title string, rung int, now time.Time) string {
	var b strings.Builder
	first, n := 0, doneSegments
	live := strings.HasPrefix(title, livePrefix)
	if live {
		first, n = newest(now)-liveWindow+1, liveWindow
	}
	fmt.Fprintf(&b, "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:%d\n#EXT-X-MEDIA-SEQUENCE:%d\n", int(segmentLasts/time.Second), first)
	if live {
		fmt.Fprintf(&b, "#EXT-X-DISCONTINUITY-SEQUENCE:%d\n", (first-1)/discEvery)
	} else {
		b.WriteString("#EXT-X-PLAYLIST-TYPE:VOD\n")
	}
	for seq := first; seq < first+n; seq++ {
		if live && seq%discEvery == 0 {
			b.WriteString("#EXT-X-DISCONTINUITY\n")
		}
		fmt.Fprintf(&b, "#EXTINF:%.3f,\n%d/%d.ts\n", segmentLasts.Seconds(), rung, seq)
	}
	if !live {
		b.WriteString("#EXT-X-ENDLIST\n")
	}
	return b.String()
}
