package hls

import (
	"strconv"
	"strings"
	"time"
)

// View is a session's own view of a live or finished title. It is small: the playlists themselves are shared. Parts
// tell from which media sequence on segments come from where; a change of rung or server begins a part, at a
// discontinuity. Sequence numbers never go backwards for one viewer.
type View struct {
	Parts []Part
	last  uint64 // highest first sequence number given out
	disc  uint64 // discontinuity sequence that went with it
	gone  uint64 // discontinuities of this view that left the window
}

// Part is a run of segments from one rung at one server.
type Part struct {
	From uint64 // media sequence of its first segment
	Rung int
	Base string // what a segment's address is taken relative to, with a '/' at its end
}

// Switch has segments that were not announced yet come from another rung or server. next is the media sequence after
// the last one that the player was told of.
func (v *View) Switch(next uint64, rung int, base string) {
	if n := len(v.Parts); n > 0 {
		p := &v.Parts[n-1]
		if p.Rung == rung && p.Base == base {
			return
		}
		if p.From >= next { // nothing of it was announced: it never was
			p.Rung, p.Base = rung, base
			return
		}
	}
	v.Parts = append(v.Parts, Part{next, rung, base})
}

// Current is the part that new segments come from.
func (v *View) Current() (Part, bool) {
	if len(v.Parts) == 0 {
		return Part{}, false
	}
	return v.Parts[len(v.Parts)-1], true
}

// Render writes the session's media playlist. of gives the shared playlist of a rung, nil if it can't be had; query
// is added to every segment's address. next is the media sequence after the last segment written. It gives ok false
// if nothing can be told that would not go backwards.
func (v *View) Render(dst []byte, of func(rung int) *Media, query string) (out []byte, next uint64, ok bool) {
	current, has := v.Current()
	if !has {
		return dst, 0, false
	}
	m := of(current.Rung)
	if m == nil {
		return dst, 0, false
	}
	// The window begins where every list that is still told from has begun.
	first, target := m.Sequence, m.Target
	for i := len(v.Parts) - 2; i >= 0 && v.Parts[i+1].From > first; i-- {
		o := of(v.Parts[i].Rung)
		if o == nil {
			return dst, 0, false
		}
		first, target = max(first, o.Sequence), max(target, o.Target)
	}
	if first < v.last || first > m.Sequence+uint64(len(m.Segments)) {
		return dst, 0, false // older than what the player has (a stale copy of the origin's), or with a gap
	}
	// Parts that left the window are forgotten, and their discontinuities counted.
	for len(v.Parts) > 1 && v.Parts[1].From <= first {
		v.Parts = v.Parts[1:]
		v.gone++
	}
	disc := m.Discontinuity + v.gone
	for i := range m.Segments[:first-m.Sequence] {
		if m.Segments[i].Discontinuity {
			disc++
		}
	}
	disc = max(disc, v.disc)
	mark := dst
	dst = append(dst, "#EXTM3U\n#EXT-X-VERSION:"...)
	dst = strconv.AppendInt(dst, int64(max(m.Version, 3)), 10)
	dst = append(dst, "\n#EXT-X-TARGETDURATION:"...)
	dst = strconv.AppendInt(dst, int64(target/time.Second), 10)
	dst = append(dst, "\n#EXT-X-MEDIA-SEQUENCE:"...)
	dst = strconv.AppendUint(dst, first, 10)
	if disc > 0 {
		dst = append(dst, "\n#EXT-X-DISCONTINUITY-SEQUENCE:"...)
		dst = strconv.AppendUint(dst, disc, 10)
	}
	if m.Kind != "" && len(v.Parts) == 1 {
		dst = append(dst, "\n#EXT-X-PLAYLIST-TYPE:"...)
		dst = append(dst, m.Kind...)
	}
	dst = append(dst, '\n')
	next = first
	for i, p := range v.Parts {
		final := i+1 == len(v.Parts)
		o, end := m, m.Sequence+uint64(len(m.Segments))
		if !final {
			o, end = of(p.Rung), v.Parts[i+1].From
		}
		for seq := max(p.From, first); seq < end; seq++ {
			if seq < o.Sequence || seq >= o.Sequence+uint64(len(o.Segments)) {
				return mark, 0, false // a hole in the middle would shift all numbers behind it
			}
			s := &o.Segments[seq-o.Sequence]
			dst = appendSegment(dst, s, s.Discontinuity || i > 0 && seq == p.From, p.Base, query)
			next = seq + 1
		}
	}
	v.last, v.disc = first, disc
	if m.Ended {
		dst = append(dst, "#EXT-X-ENDLIST\n"...)
	}
	return dst, next, true
}

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

func absolute(uri string) bool {
	i := strings.Index(uri, "://")
	return i > 0 && !strings.ContainsAny(uri[:i], "/?#")
}

// RenderMultivariant writes a multivariant playlist of the rungs from floor to top, lowest first; address gives each
// one's. Variants are matched to rungs in the order of their bandwidth.
func (m *Multivariant) RenderMultivariant(dst []byte, floor, top int, address func(rung int) string) []byte {
	dst = append(dst, "#EXTM3U\n#EXT-X-VERSION:"...)
	dst = strconv.AppendInt(dst, int64(max(m.Version, 3)), 10)
	dst = append(dst, '\n')
	for _, l := range m.Media {
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
		dst = append(dst, address(rung)...)
		dst = append(dst, '\n')
	}
	return dst
}

// ByRung gives the variants, lowest bandwidth first.
func (m *Multivariant) ByRung() []Variant {
	out := append([]Variant(nil), m.Variants...)
	for i := range out { // few, and mostly in order
		for k := i; k > 0 && out[k].Bandwidth < out[k-1].Bandwidth; k-- {
			out[k], out[k-1] = out[k-1], out[k]
		}
	}
	return out
}

// Before notes that an earlier view of the same playlist may have told of so many discontinuities more.
func (v *View) Before(n uint64) { v.gone += n }
