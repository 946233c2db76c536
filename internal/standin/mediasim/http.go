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

// livePrefix starts the names of live titles. Their playlist is a window that slides with the clock, the same on all
// servers. All other titles are complete.
const livePrefix = "live-"

// Layout of the playlists, in segments.
const (
	segmentDuration       = time.Second
	liveSegments          = 6
	vodSegments           = 4
	discontinuityInterval = 10 // segments between two discontinuities of a live title
)

// HTTPAddr returns the address that delivers HLS, "" if the server does not deliver it.
func (s *Server) HTTPAddr() string { return s.httpAddr }

// listenHTTP starts the HTTP server on a loopback port.
func (s *Server) listenHTTP() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("media stand-in %d: %w", s.ID, err)
	}
	s.httpAddr = ln.Addr().String()
	s.httpServer = &http.Server{Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: 2 * time.Second}
	go s.httpServer.Serve(ln)
	return nil
}

// serveHTTP answers GET requests for playlists and segments.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.farm
	f.mu.Lock()
	down, stalled, truncated := !s.up, s.stalled || s.silent, f.rng.Float64() < s.truncationRate
	f.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case stalled:
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	title, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if f.params.HoldsTitle != nil && !f.params.HoldsTitle(title, s.Cell) {
		http.NotFound(w, r)
		return
	}
	var body string
	switch {
	case rest == "master.m3u8":
		body = f.masterPlaylist()
	case strings.HasSuffix(rest, ".m3u8"):
		rung, err := strconv.Atoi(strings.TrimSuffix(rest, ".m3u8"))
		if err != nil || rung < 0 || rung >= len(f.params.Ladder) {
			http.NotFound(w, r)
			return
		}
		body = mediaPlaylist(title, rung, time.Now())
	case strings.HasSuffix(rest, ".ts"):
		s.serveSegment(w, r, title, rest)
		return
	default:
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if truncated {
		body = body[:len(body)/2]
	}
	w.Write([]byte(body))
}

// serveSegment answers a request for an existing segment if it carries a valid token; no media is sent.
func (s *Server) serveSegment(w http.ResponseWriter, r *http.Request, title, rest string) {
	e := record.Event{Source: s.name(), Kind: record.SegmentRequested, Server: s.ID, Title: title, Text: rest}
	if s.farm.params.TokenKeys != nil {
		claims, err := s.farm.params.TokenKeys.Verify(r.URL.Query().Get("st"), time.Now().Unix())
		if err != nil || claims.Title != title {
			http.Error(w, "no token for this title", http.StatusForbidden)
			return
		}
		e.Viewer = strconv.FormatUint(claims.Viewer, 10)
	}
	var rung, seq int
	if n, err := fmt.Sscanf(rest, "%d/%d.ts", &rung, &seq); n != 2 || err != nil ||
		!segmentExists(title, seq, time.Now()) {
		e.Status = 404
		s.farm.rec.Add(e)
		http.NotFound(w, r)
		return
	}
	s.farm.rec.Add(e)
	w.Write([]byte("segment"))
}

// masterPlaylist returns a master playlist with one variant per rung.
func (f *Farm) masterPlaylist() string {
	var b strings.Builder
	b.WriteString("#EXTM3U\n#EXT-X-VERSION:4\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"es\",NAME=\"Castellano\"\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"en\",NAME=\"English\"\n")
	for i, kb := range f.params.Ladder {
		fmt.Fprintf(&b, "#EXT-X-STREAM-INF:BANDWIDTH=%d,AUDIO=\"es\"\n%d.m3u8\n", int(kb*8000), i)
	}
	return b.String()
}

// newestSequence returns the media sequence number of a live title's newest segment.
func newestSequence(now time.Time) int { return int(now.UnixNano() / int64(segmentDuration)) }

// segmentExists reports whether a title has the segment now. A live title also has the next one.
func segmentExists(title string, seq int, now time.Time) bool {
	if strings.HasPrefix(title, livePrefix) {
		return seq <= newestSequence(now)+1 && seq > newestSequence(now)-4*liveSegments
	}
	return seq >= 0 && seq < vodSegments
}

// mediaPlaylist returns the playlist of one rung of a title.
func mediaPlaylist(title string, rung int, now time.Time) string {
	var b strings.Builder
	first, n := 0, vodSegments
	live := strings.HasPrefix(title, livePrefix)
	if live {
		first, n = newestSequence(now)-liveSegments+1, liveSegments
	}
	fmt.Fprintf(&b, "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:%d\n#EXT-X-MEDIA-SEQUENCE:%d\n",
		int(segmentDuration/time.Second), first)
	if live {
		fmt.Fprintf(&b, "#EXT-X-DISCONTINUITY-SEQUENCE:%d\n", (first-1)/discontinuityInterval)
	} else {
		b.WriteString("#EXT-X-PLAYLIST-TYPE:VOD\n")
	}
	for seq := first; seq < first+n; seq++ {
		if live && seq%discontinuityInterval == 0 {
			b.WriteString("#EXT-X-DISCONTINUITY\n")
		}
		fmt.Fprintf(&b, "#EXTINF:%.3f,\n%d/%d.ts\n", segmentDuration.Seconds(), rung, seq)
	}
	if !live {
		b.WriteString("#EXT-X-ENDLIST\n")
	}
	return b.String()
}
