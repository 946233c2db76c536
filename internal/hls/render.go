package hls

import (
	"strconv"
	"strings"
	"time"
)

// View is a session's own view of a live or finished title. It is small: the playlists themselves are shared. Each part
// gives the rung and server of the segments from its media sequence number on; a change of rung or server starts a new
// part at a discontinuity. Sequence numbers never go backwards for one viewer.
type View struct {
	Parts               []Part
	lastSequence        uint64 // highest media sequence number of a first segment sent so far
	lastDiscontinuity   uint64 // discontinuity sequence number sent with it
	pastDiscontinuities uint64 // discontinuities of this view that have left the window
}

// Part is a run of segments from one rung at one server.
type Part struct {
	FirstSequence uint64 // media sequence number of its first segment
	Rung          int
	Base          string // base URI of its segments, ending in '/'
}

// Switch changes the rung or server of the segments that have not been announced yet. next is the media sequence number
// after the last segment announced to the player.
func (v *View) Switch(next uint64, rung int, base string) {
	if n := len(v.Parts); n > 0 {
		p := &v.Parts[n-1]
		if p.Rung == rung && p.Base == base {
			return
		}
		if p.FirstSequence >= next { // none of its segments was announced: the new part replaces it
			p.Rung, p.Base = rung, base
			return
		}
	}
	v.Parts = append(v.Parts, Part{next, rung, base})
}

// Current returns the part that new segments belong to, and false if there is none.
func (v *View) Current() (Part, bool) {
	if len(v.Parts) == 0 {
		return Part{}, false
	}
	return v.Parts[len(v.Parts)-1], true
}

// Render appends the session's media playlist to dst. playlistOf returns the shared playlist of a rung, nil if it is
// unavailable; query is added to every segment's URI. next is the media sequence number after the last segment written.
// ok is false if no playlist can be rendered without going backwards or leaving a gap.
func (v *View) Render(dst []byte, playlistOf func(rung int) *MediaPlaylist, query string) (
	out []byte, next uint64, ok bool,
) {
	current, hasPart := v.Current()
	if !hasPart {
		return dst, 0, false
	}
	m := playlistOf(current.Rung)
	if m == nil {
		return dst, 0, false
	}
	// The window starts at the latest of the first segments of all playlists that still contribute to it.
	first, target := m.Sequence, m.TargetDuration
	for i := len(v.Parts) - 2; i >= 0 && v.Parts[i+1].FirstSequence > first; i-- {
		playlist := playlistOf(v.Parts[i].Rung)
		if playlist == nil {
			return dst, 0, false
		}
		first, target = max(first, playlist.Sequence), max(target, playlist.TargetDuration)
	}
	if first < v.lastSequence || first > m.Sequence+uint64(len(m.Segments)) {
		return dst, 0, false // older than what the player has (a stale playlist from the origin), or with a gap
	}
	// Parts that have left the window are removed and their discontinuities counted.
	for len(v.Parts) > 1 && v.Parts[1].FirstSequence <= first {
		v.Parts = v.Parts[1:]
		v.pastDiscontinuities++
	}
	discontinuity := m.DiscontinuitySequence + v.pastDiscontinuities
	for i := range m.Segments[:first-m.Sequence] {
		if m.Segments[i].Discontinuity {
			discontinuity++
		}
	}
	discontinuity = max(discontinuity, v.lastDiscontinuity)
	start := dst
	dst = append(dst, "#EXTM3U\n#EXT-X-VERSION:"...)
	dst = strconv.AppendInt(dst, int64(max(m.Version, 3)), 10)
	dst = append(dst, "\n#EXT-X-TARGETDURATION:"...)
	dst = strconv.AppendInt(dst, int64(target/time.Second), 10)
	dst = append(dst, "\n#EXT-X-MEDIA-SEQUENCE:"...)
	dst = strconv.AppendUint(dst, first, 10)
	if discontinuity > 0 {
		dst = append(dst, "\n#EXT-X-DISCONTINUITY-SEQUENCE:"...)
		dst = strconv.AppendUint(dst, discontinuity, 10)
	}
	if m.Type != "" && len(v.Parts) == 1 {
		dst = append(dst, "\n#EXT-X-PLAYLIST-TYPE:"...)
		dst = append(dst, m.Type...)
	}
	dst = append(dst, '\n')
	next = first
	for i, p := range v.Parts {
		final := i+1 == len(v.Parts)
		playlist, end := m, m.Sequence+uint64(len(m.Segments))
		if !final {
			playlist, end = playlistOf(p.Rung), v.Parts[i+1].FirstSequence
		}
		for seq := max(p.FirstSequence, first); seq < end; seq++ {
			if seq < playlist.Sequence || seq >= playlist.Sequence+uint64(len(playlist.Segments)) {
				return start, 0, false // a gap would shift the numbers of all segments after it
			}
			s := &playlist.Segments[seq-playlist.Sequence]
			dst = appendSegment(dst, s, s.Discontinuity || i > 0 && seq == p.FirstSequence, p.Base, query)
			next = seq + 1
		}
	}
	v.lastSequence, v.lastDiscontinuity = first, discontinuity
	if m.Ended {
		dst = append(dst, "#EXT-X-ENDLIST\n"...)
	}
	return dst, next, true
}

// appendSegment appends a segment with its tags; a relative URI is prefixed with base.
func appendSegment(dst []byte, s *Segment, discontinuity bool, base, query string) []byte {
	if discontinuity {
		dst = append(dst, "#EXT-X-DISCONTINUITY\n"...)
	}
	for _, t := range s.Tags {
		dst = append(dst, t...)
		dst = append(dst, '\n')
	}
	dst = append(dst, "#EXTINF:"...)
	dst = strconv.AppendFloat(dst, s.Duration.Seconds(), 'f', 3, 64)
	dst = append(dst, ',')
	dst = append(dst, s.Title...)
	dst = append(dst, '\n')
	if !absolute(s.URI) {
		dst = append(dst, base...)
	}
	dst = append(dst, s.URI...)
	if query != "" {
		if strings.IndexByte(s.URI, '?') < 0 {
			dst = append(dst, '?')
		} else {
			dst = append(dst, '&')
		}
		dst = append(dst, query...)
	}
	return append(dst, '\n')
}

// absolute reports whether a URI has a scheme.
func absolute(uri string) bool {
	i := strings.Index(uri, "://")
	return i > 0 && !strings.ContainsAny(uri[:i], "/?#")
}

// RenderMultivariant appends to dst a multivariant playlist of the rungs from floor to top, lowest first; variantURI
// returns the URI of each. Variants are matched to rungs in the order of their bandwidth.
func (m *MultivariantPlaylist) RenderMultivariant(dst []byte, floor, top int, variantURI func(rung int) string) []byte {
	dst = append(dst, "#EXTM3U\n#EXT-X-VERSION:"...)
	dst = strconv.AppendInt(dst, int64(max(m.Version, 3)), 10)
	dst = append(dst, '\n')
	for _, l := range m.Tags {
		dst = append(dst, l...)
		dst = append(dst, '\n')
	}
	for rung, v := range m.ByRung() {
		if rung < floor || rung > top {
			continue
		}
		dst = append(dst, "#EXT-X-STREAM-INF:"...)
		dst = append(dst, v.Attrs...)
		dst = append(dst, '\n')
		dst = append(dst, variantURI(rung)...)
		dst = append(dst, '\n')
	}
	return dst
}

// ByRung returns the variants, lowest bandwidth first.
func (m *MultivariantPlaylist) ByRung() []Variant {
	out := append([]Variant(nil), m.Variants...)
	for i := range out { // insertion sort: there are few variants, mostly in order
		for k := i; k > 0 && out[k].Bandwidth < out[k-1].Bandwidth; k-- {
			out[k], out[k-1] = out[k-1], out[k]
		}
	}
	return out
}

// AddPastDiscontinuities adds n discontinuities that an earlier view of the same playlist may have announced.
func (v *View) AddPastDiscontinuities(n uint64) { v.pastDiscontinuities += n }
