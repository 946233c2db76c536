// Package hls parses HLS playlists (RFC 8216) into a form that many sessions share, and renders each session's own view
// of them. It does no I/O. Unknown tags of a segment are kept and written unchanged.
package hls

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Limits of a playlist. A playlist that exceeds one of them is rejected as a whole.
const (
	MaxBytes     = 4 << 20
	MaxLineBytes = 8 << 10
	MaxSegments  = 20_000
	MaxVariants  = 64
)

// ErrPlaylist is wrapped by all errors about a text that is not a usable playlist.
var ErrPlaylist = errors.New("hls")

// Variant is a variant stream of a multivariant playlist (section 4.3.4.2).
type Variant struct {
	Attrs     string // as written
	Bandwidth int    // bits per second
	URI       string
}

// MultivariantPlaylist is a multivariant playlist.
type MultivariantPlaylist struct {
	Version  int
	Variants []Variant
	Tags     []string // EXT-X-MEDIA and other tags that apply to all variants, as written
}

// Segment is a media segment.
type Segment struct {
	Duration      time.Duration
	Title         string // the text after the duration, as written
	URI           string
	Discontinuity bool
	Tags          []string // other tags that precede the segment, as written (KEY, MAP, PROGRAM-DATE-TIME ...)
}

// MediaPlaylist is a media playlist. It is shared and must not be modified.
type MediaPlaylist struct {
	Version               int
	TargetDuration        time.Duration
	Sequence              uint64 // of the first segment (section 4.3.3.2)
	DiscontinuitySequence uint64 // of the first segment (section 4.3.3.3)
	Ended                 bool   // ENDLIST
	Type                  string // VOD, EVENT or ""
	Segments              []Segment
}

// TotalDuration returns the sum of the durations of all segments.
func (m *MediaPlaylist) TotalDuration() (d time.Duration) {
	for i := range m.Segments {
		d += m.Segments[i].Duration
	}
	return d
}

// splitLines checks the limits of a text and returns its lines without the first, which must be #EXTM3U.
func splitLines(text string) ([]string, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrPlaylist, len(text), MaxBytes)
	}
	list := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
	if strings.TrimRight(list[0], "\r \t") != "#EXTM3U" {
		return nil, fmt.Errorf("%w: does not begin with #EXTM3U", ErrPlaylist)
	}
	for i, l := range list {
		if len(l) > MaxLineBytes {
			return nil, fmt.Errorf("%w: line %d has %d bytes, the limit is %d", ErrPlaylist, i+1, len(l), MaxLineBytes)
		}
	}
	return list[1:], nil
}

// ParseMultivariant parses a multivariant playlist.
func ParseMultivariant(text string) (*MultivariantPlaylist, error) {
	list, err := splitLines(text)
	if err != nil {
		return nil, err
	}
	m := &MultivariantPlaylist{Version: 1}
	var pending *Variant
	for i, l := range list {
		l = strings.TrimRight(l, "\r \t")
		tag, value, _ := strings.Cut(l, ":")
		switch {
		case l == "":
		case tag == "#EXTINF" || tag == "#EXT-X-TARGETDURATION":
			return nil, fmt.Errorf("%w: line %d: %s in a multivariant playlist", ErrPlaylist, i+2, tag)
		case tag == "#EXT-X-VERSION":
			if m.Version, err = parseInteger(value, 1, 99); err != nil {
				return nil, fmt.Errorf("%w: line %d: %v", ErrPlaylist, i+2, err)
			}
		case tag == "#EXT-X-STREAM-INF":
			bandwidth, err := strconv.Atoi(attributeValue(value, "BANDWIDTH"))
			if err != nil || bandwidth <= 0 {
				return nil, fmt.Errorf("%w: line %d: no BANDWIDTH", ErrPlaylist, i+2)
			}
			pending = &Variant{Attrs: value, Bandwidth: bandwidth}
		case strings.HasPrefix(l, "#EXT-X-"):
			m.Tags = append(m.Tags, l)
		case strings.HasPrefix(l, "#"): // a comment
		case pending == nil:
			return nil, fmt.Errorf("%w: line %d: URI without EXT-X-STREAM-INF", ErrPlaylist, i+2)
		default:
			pending.URI = l
			m.Variants = append(m.Variants, *pending)
			pending = nil
		}
	}
	switch {
	case pending != nil:
		return nil, fmt.Errorf("%w: truncated: the last variant has no URI", ErrPlaylist)
	case len(m.Variants) == 0:
		return nil, fmt.Errorf("%w: no variants", ErrPlaylist)
	case len(m.Variants) > MaxVariants || len(m.Tags) > 4*MaxVariants:
		return nil, fmt.Errorf("%w: more than %d variants", ErrPlaylist, MaxVariants)
	}
	return m, nil
}

// attributeValue returns the value of an attribute in a list (section 4.2) without quotes, "" if it is absent.
func attributeValue(list, name string) string {
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

// parseInteger parses a decimal number from minimum to maximum.
func parseInteger(text string, minimum, maximum int) (int, error) {
	v, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || v < minimum || v > maximum {
		return 0, fmt.Errorf("%.40q is not a number from %d to %d", text, minimum, maximum)
	}
	return v, nil
}

// ParseMedia parses a media playlist. A playlist that ends inside a segment is truncated and rejected.
func ParseMedia(text string) (*MediaPlaylist, error) {
	list, err := splitLines(text)
	if err != nil {
		return nil, err
	}
	m := &MediaPlaylist{Version: 1}
	var s Segment
	hasDuration := false
	lineError := func(i int, format string, args ...any) error {
		return fmt.Errorf("%w: line %d: %s", ErrPlaylist, i+2, fmt.Sprintf(format, args...))
	}
	for i, l := range list {
		l = strings.TrimRight(l, "\r \t")
		tag, value, _ := strings.Cut(l, ":")
		switch {
		case l == "":
		case tag == "#EXT-X-STREAM-INF":
			return nil, lineError(i, "%s in a media playlist", tag)
		case tag == "#EXT-X-VERSION":
			if m.Version, err = parseInteger(value, 1, 99); err != nil {
				return nil, lineError(i, "%v", err)
			}
		case tag == "#EXT-X-TARGETDURATION":
			v, err := parseInteger(value, 1, 3600)
			if err != nil {
				return nil, lineError(i, "%v", err)
			}
			m.TargetDuration = time.Duration(v) * time.Second
		case tag == "#EXT-X-MEDIA-SEQUENCE":
			if m.Sequence, err = strconv.ParseUint(value, 10, 62); err != nil || len(m.Segments) > 0 {
				return nil, lineError(i, "MEDIA-SEQUENCE %.40q", value)
			}
		case tag == "#EXT-X-DISCONTINUITY-SEQUENCE":
			if m.DiscontinuitySequence, err = strconv.ParseUint(value, 10, 62); err != nil || len(m.Segments) > 0 {
				return nil, lineError(i, "DISCONTINUITY-SEQUENCE %.40q", value)
			}
		case tag == "#EXT-X-PLAYLIST-TYPE":
			m.Type = value
		case l == "#EXT-X-ENDLIST":
			m.Ended = true
		case l == "#EXT-X-DISCONTINUITY":
			s.Discontinuity = true
		case tag == "#EXTINF":
			durationText, title, _ := strings.Cut(value, ",")
			seconds, err := strconv.ParseFloat(durationText, 64)
			if err != nil || !(seconds >= 0 && seconds <= 3600) || hasDuration {
				return nil, lineError(i, "EXTINF %.40q", value)
			}
			s.Duration, s.Title, hasDuration = time.Duration(seconds*float64(time.Second)), title, true
		case strings.HasPrefix(l, "#EXT"):
			s.Tags = append(s.Tags, l)
		case strings.HasPrefix(l, "#"):
		case !hasDuration:
			return nil, lineError(i, "URI without EXTINF")
		default:
			s.URI = l
			if m.Segments = append(m.Segments, s); len(m.Segments) > MaxSegments {
				return nil, lineError(i, "more than %d segments", MaxSegments)
			}
			s, hasDuration = Segment{}, false
		}
	}
	switch {
	case hasDuration:
		return nil, fmt.Errorf("%w: truncated: the last segment has no URI", ErrPlaylist)
	case m.TargetDuration == 0:
		return nil, fmt.Errorf("%w: no EXT-X-TARGETDURATION", ErrPlaylist)
	}
	for i := range m.Segments {
		if m.Segments[i].Duration > m.TargetDuration+500*time.Millisecond { // section 4.3.3.1, rounded
			return nil, fmt.Errorf("%w: segment %d has duration %v, the target duration is %v", ErrPlaylist,
				i, m.Segments[i].Duration, m.TargetDuration)
		}
	}
	return m, nil
}
