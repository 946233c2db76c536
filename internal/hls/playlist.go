// Package hls reads HLS playlists (RFC 8216) into a form that many sessions share, and writes a session's own view of
// them. It does no I/O. What it does not know it keeps: unknown tags of a segment go out as they came in.
package hls

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of a playlist. One that passes them is refused whole.
const (
	MaxBytes    = 4 << 20
	MaxLine     = 8 << 10
	MaxSegments = 20_000
	MaxVariants = 64
)

// ErrPlaylist tells that a text is no playlist that can be used.
var ErrPlaylist = errors.New("hls")

// Variant is a variant stream of a multivariant playlist (section 4.3.4.2).
type Variant struct {
	Attrs     string // as written
	Bandwidth int    // bits a second
	URI       string
}

// Multivariant is a multivariant playlist.
type Multivariant struct {
	Version  int
	Variants []Variant
	Media    []string // EXT-X-MEDIA and other tags that belong to all, as written
}

// Segment is a media segment.
type Segment struct {
	Duration      time.Duration
	Title         string // what follows the duration, as written
	URI           string
	Discontinuity bool
	Tags          []string // further tags that stand before it, as written (KEY, MAP, PROGRAM-DATE-TIME ...)
}

// Media is a media playlist. It is shared and must not be changed.
type Media struct {
	Version       int
	Target        time.Duration
	Sequence      uint64 // of the first segment (section 4.3.3.2)
	Discontinuity uint64 // of the first segment (section 4.3.3.3)
	Ended         bool   // ENDLIST
	Kind          string // VOD, EVENT or ""
	Segments      []Segment
}

// Total is how long all segments last.
func (m *Media) Total() (d time.Duration) {
	for i := range m.Segments {
		d += m.Segments[i].Duration
	}
	return d
}

// lines checks a text's bounds and gives its lines without the first, which must be #EXTM3U.
func lines(text string) ([]string, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrPlaylist, len(text), MaxBytes)
	}
	list := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
	if strings.TrimRight(list[0], "\r \t") != "#EXTM3U" {
		return nil, fmt.Errorf("%w: does not begin with #EXTM3U", ErrPlaylist)
	}
	for i, l := range list {
		if len(l) > MaxLine {
			return nil, fmt.Errorf("%w: line %d has %d bytes, %d at most", ErrPlaylist, i+1, len(l), MaxLine)
		}
	}
	return list[1:], nil
}

// ParseMultivariant reads a multivariant playlist.
func ParseMultivariant(text string) (*Multivariant, error) {
	list, err := lines(text)
	if err != nil {
		return nil, err
	}
	m := &Multivariant{Version: 1}
	var pending *Variant
	for i, l := range list {
		l = strings.TrimRight(l, "\r \t")
		tag, value, _ := strings.Cut(l, ":")
		switch {
		case l == "":
		case tag == "#EXTINF" || tag == "#EXT-X-TARGETDURATION":
			return nil, fmt.Errorf("%w: line %d: %s in a multivariant playlist", ErrPlaylist, i+2, tag)
		case tag == "#EXT-X-VERSION":
			if m.Version, err = number(value, 1, 99); err != nil {
				return nil, fmt.Errorf("%w: line %d: %v", ErrPlaylist, i+2, err)
			}
		case tag == "#EXT-X-STREAM-INF":
			bandwidth, err := strconv.Atoi(attribute(value, "BANDWIDTH"))
			if err != nil || bandwidth <= 0 {
				return nil, fmt.Errorf("%w: line %d: no BANDWIDTH", ErrPlaylist, i+2)
			}
			pending = &Variant{Attrs: value, Bandwidth: bandwidth}
		case strings.HasPrefix(l, "#EXT-X-"):
			m.Media = append(m.Media, l)
		case strings.HasPrefix(l, "#"): // a comment
		case pending == nil:
			return nil, fmt.Errorf("%w: line %d: an address without EXT-X-STREAM-INF", ErrPlaylist, i+2)
		default:
			pending.URI = l
			m.Variants = append(m.Variants, *pending)
			pending = nil
		}
	}
	switch {
	case pending != nil:
		return nil, fmt.Errorf("%w: truncated: the last variant has no address", ErrPlaylist)
	case len(m.Variants) == 0:
		return nil, fmt.Errorf("%w: no variants", ErrPlaylist)
	case len(m.Variants) > MaxVariants || len(m.Media) > 4*MaxVariants:
		return nil, fmt.Errorf("%w: over %d variants", ErrPlaylist, MaxVariants)
	}
	return m, nil
}

// attribute gives an attribute's value out of a list (section 4.2), without quotes; "" if there is none.
func attribute(list, name string) string {
	for list != "" {
		key, rest, ok := strings.Cut(list, "=")
		if !ok {
			return ""
		}
		var value string
		if strings.HasPrefix(rest, `"`) {
			value, rest, _ = strings.Cut(rest[1:], `"`)
			rest = strings.TrimPrefix(rest, ",")
		} else {
			value, rest, _ = strings.Cut(rest, ",")
		}
		if strings.TrimSpace(key) == name {
			return value
		}
		list = rest
	}
	return ""
}

func number(text string, least, most int) (int, error) {
	v, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || v < least || v > most {
		return 0, fmt.Errorf("%.40q is no number from %d to %d", text, least, most)
	}
	return v, nil
}

// ParseMedia reads a media playlist. One that ends in the middle of a segment is truncated and refused.
func ParseMedia(text string) (*Media, error) {
	list, err := lines(text)
	if err != nil {
		return nil, err
	}
	m := &Media{Version: 1}
	var s Segment
	inf := false
	bad := func(i int, format string, args ...any) error {
		return fmt.Errorf("%w: line %d: %s", ErrPlaylist, i+2, fmt.Sprintf(format, args...))
	}
	for i, l := range list {
		l = strings.TrimRight(l, "\r \t")
		tag, value, _ := strings.Cut(l, ":")
		switch {
		case l == "":
		case tag == "#EXT-X-STREAM-INF":
			return nil, bad(i, "%s in a media playlist", tag)
		case tag == "#EXT-X-VERSION":
			if m.Version, err = number(value, 1, 99); err != nil {
				return nil, bad(i, "%v", err)
			}
		case tag == "#EXT-X-TARGETDURATION":
			v, err := number(value, 1, 3600)
			if err != nil {
				return nil, bad(i, "%v", err)
			}
			m.Target = time.Duration(v) * time.Second
		case tag == "#EXT-X-MEDIA-SEQUENCE":
			if m.Sequence, err = strconv.ParseUint(value, 10, 62); err != nil || len(m.Segments) > 0 {
				return nil, bad(i, "MEDIA-SEQUENCE %.40q", value)
			}
		case tag == "#EXT-X-DISCONTINUITY-SEQUENCE":
			if m.Discontinuity, err = strconv.ParseUint(value, 10, 62); err != nil || len(m.Segments) > 0 {
				return nil, bad(i, "DISCONTINUITY-SEQUENCE %.40q", value)
			}
		case tag == "#EXT-X-PLAYLIST-TYPE":
			m.Kind = value
		case l == "#EXT-X-ENDLIST":
			m.Ended = true
		case l == "#EXT-X-DISCONTINUITY":
			s.Discontinuity = true
		case tag == "#EXTINF":
			d, title, _ := strings.Cut(value, ",")
			seconds, err := strconv.ParseFloat(d, 64)
			if err != nil || !(seconds >= 0 && seconds <= 3600) || inf {
				return nil, bad(i, "EXTINF %.40q", value)
			}
			s.Duration, s.Title, inf = time.Duration(seconds*float64(time.Second)), title, true
		case strings.HasPrefix(l, "#EXT"):
			s.Tags = append(s.Tags, l)
		case strings.HasPrefix(l, "#"):
		case !inf:
			return nil, bad(i, "an address without EXTINF")
		default:
			s.URI = l
			if m.Segments = append(m.Segments, s); len(m.Segments) > MaxSegments {
				return nil, bad(i, "over %d segments", MaxSegments)
			}
			s, inf = Segment{}, false
		}
	}
	switch {
	case inf:
		return nil, fmt.Errorf("%w: truncated: the last segment has no address", ErrPlaylist)
	case m.Target == 0:
		return nil, fmt.Errorf("%w: no EXT-X-TARGETDURATION", ErrPlaylist)
	}
	for i := range m.Segments {
		if m.Segments[i].Duration > m.Target+500*time.Millisecond { // section 4.3.3.1, rounded
			return nil, fmt.Errorf("%w: segment %d lasts %v, the target is %v", ErrPlaylist, i, m.Segments[i].Duration, m.Target)
		}
	}
	return m, nil
}
