package hls

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/grafov/m3u8"
	"pgregory.net/rapid"
)

const multivariantText = "#EXTM3U\n#EXT-X-VERSION:4\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"x, y\",URI=\"a.m3u8\"\n" +
	"#EXT-X-STREAM-INF:BANDWIDTH=800000,CODECS=\"avc1,mp4a\",AUDIO=\"a\"\n1.m3u8\n#EXT-X-STREAM-INF:CODECS=\"x,BANDWIDTH=1\",BANDWIDTH=200000\n0.m3u8\n"

// livePlaylist returns a live playlist of a rung with n segments, the first one numbered seq.
func livePlaylist(rung int, seq uint64, n int) *MediaPlaylist {
	m := &MediaPlaylist{Version: 3, TargetDuration: 2 * time.Second, Sequence: seq}
	for i := range n {
		m.Segments = append(m.Segments, Segment{Duration: 2 * time.Second,
			URI: fmt.Sprintf("%d/%d.ts", rung, seq+uint64(i))})
	}
	return m
}

// renderText renders a playlist through a view with a single part.
func renderText(m *MediaPlaylist) string {
	v := &View{}
	v.Switch(0, 0, "")
	b, _, _ := v.Render(nil, func(int) *MediaPlaylist { return m }, "")
	return string(b)
}

func TestMultivariantPlaylistListsAllowedRungs(t *testing.T) {
	m, err := ParseMultivariant(multivariantText)
	if err != nil || len(m.Variants) != 2 || m.ByRung()[0].URI != "0.m3u8" || len(m.Tags) != 1 {
		t.Fatal(m, err)
	}
	out := string(m.RenderMultivariant(nil, 1, 1, func(r int) string { return fmt.Sprintf("s/%d.m3u8", r) }))
	if strings.Contains(out, "BANDWIDTH=200000") ||
		!strings.Contains(out, "BANDWIDTH=800000,CODECS=\"avc1,mp4a\",AUDIO=\"a\"\ns/1.m3u8\n") {
		t.Fatal(out)
	}
	if p, kind, err := m3u8.DecodeFrom(strings.NewReader(out), true); err != nil || kind != m3u8.MASTER ||
		len(p.(*m3u8.MasterPlaylist).Variants) != 1 {
		t.Fatal(kind, err)
	}
}

func TestRejectsInvalidPlaylists(t *testing.T) {
	good := renderText(livePlaylist(0, 5, 3))
	for name, in := range map[string]string{
		"empty":                "",
		"html":                 "<html>",
		"truncated in segment": good[:strings.LastIndex(good, "0/7.ts")],
		"no target duration":   strings.Replace(good, "#EXT-X-TARGETDURATION:2\n", "", 1),
		"segment over target":  strings.Replace(good, "#EXTINF:2.000", "#EXTINF:9.000", 1),
		"URI without EXTINF":   strings.Replace(good, "#EXTINF:2.000,\n", "", 1),
		"negative sequence":    strings.Replace(good, "SEQUENCE:5", "SEQUENCE:-5", 1),
		"sequence at the end":  good + "#EXT-X-MEDIA-SEQUENCE:9\n",
		"contains variants":    good + "#EXT-X-STREAM-INF:BANDWIDTH=1\nx\n",
		"negative duration":    strings.Replace(good, "#EXTINF:2.000", "#EXTINF:-2", 1),
		"line too long":        good + "#" + strings.Repeat("x", MaxLineBytes+1),
		"text too long":        good + strings.Repeat("#x\n", MaxBytes/3),
		"too many segments":    good + strings.Repeat("#EXTINF:1,\nx\n", MaxSegments),
		"two durations":        strings.Replace(good, "#EXTINF:2.000,\n", "#EXTINF:2.000,\n#EXTINF:2.000,\n", 1),
	} {
		if _, err := ParseMedia(in); !errors.Is(err, ErrPlaylist) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
	for name, in := range map[string]string{
		"truncated":         multivariantText[:strings.LastIndex(multivariantText, "0.m3u8")],
		"no variants":       "#EXTM3U\n",
		"no bandwidth":      "#EXTM3U\n#EXT-X-STREAM-INF:X=1\na\n",
		"media playlist":    good,
		"too many variants": "#EXTM3U\n" + strings.Repeat("#EXT-X-STREAM-INF:BANDWIDTH=1\na\n", MaxVariants+1),
	} {
		if _, err := ParseMultivariant(in); !errors.Is(err, ErrPlaylist) {
			t.Errorf("multivariant, %s: got error %v", name, err)
		}
	}
}

func TestSwitchAddsDiscontinuityBeforeUnannouncedSegments(t *testing.T) {
	v := &View{}
	v.Switch(0, 0, "http://a/")
	lists := func(seq uint64) func(int) *MediaPlaylist {
		return func(r int) *MediaPlaylist { return livePlaylist(r, seq, 4) }
	}
	_, next, _ := v.Render(nil, lists(100), "st=q")
	if next != 104 {
		t.Fatal(next)
	}
	v.Switch(next, 1, "http://b/")
	b, _, _ := v.Render(nil, lists(102), "st=q")
	out := string(b)
	if !strings.Contains(out, "http://a/0/103.ts?st=q\n#EXT-X-DISCONTINUITY\n#EXTINF:2.000,\nhttp://b/1/104.ts?st=q\n") ||
		strings.Contains(out, "#EXT-X-DISCONTINUITY-SEQUENCE") {
		t.Fatal(out)
	}
	b, _, _ = v.Render(nil, lists(105), "") // the first part has left the window together with its discontinuity
	if out := string(b); !strings.Contains(out, "#EXT-X-DISCONTINUITY-SEQUENCE:1\n") ||
		strings.Contains(out, "#EXT-X-DISCONTINUITY\n") {
		t.Fatal(out)
	}
	if _, _, ok := v.Render(nil, lists(103), ""); ok {
		t.Fatal("rendered a stale playlist and went backwards")
	}
}

// TestSequenceNumbersNeverGoBackwards runs random switches and reloads with origins that lag and parses each rendered
// playlist with another library: sequence numbers never decrease, an announced segment keeps its URI, and there is a
// discontinuity wherever the base URI or rung changes.
func TestSequenceNumbersNeverGoBackwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &View{}
		v.Switch(0, 0, "h0/")
		seq, next := uint64(rapid.IntRange(1, 1000).Draw(t, "seq")), uint64(0)
		announced := map[uint64]string{}
		lastSequence, lastDiscontinuity := uint64(0), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				v.Switch(next, rapid.IntRange(0, 2).Draw(t, "rung"),
					fmt.Sprintf("h%d/", rapid.IntRange(0, 2).Draw(t, "host")))
				continue
			}
			seq += uint64(rapid.IntRange(0, 3).Draw(t, "by"))
			lag := uint64(rapid.IntRange(0, 2).Draw(t, "lag"))
			missing := rapid.IntRange(-3, 2).Draw(t, "missing")
			b, n, ok := v.Render(nil, func(r int) *MediaPlaylist {
				if r == missing {
					return nil
				}
				if r == 1 {
					return livePlaylist(r, seq-min(lag, seq-1), 5)
				}
				return livePlaylist(r, seq, 5)
			}, "")
			if !ok {
				continue
			}
			next = max(next, n)
			p, kind, err := m3u8.DecodeFrom(bytes.NewReader(b), true)
			if err != nil || kind != m3u8.MEDIA {
				t.Fatalf("%v\n%s", err, b)
			}
			m := p.(*m3u8.MediaPlaylist)
			if m.SeqNo < lastSequence || m.DiscontinuitySeq < lastDiscontinuity {
				t.Fatalf("sequence %d after %d, discontinuity sequence %d after %d",
					m.SeqNo, lastSequence, m.DiscontinuitySeq, lastDiscontinuity)
			}
			lastSequence, lastDiscontinuity = m.SeqNo, m.DiscontinuitySeq
			previousBase := ""
			for i, s := range m.Segments[:m.Count()] {
				sequence := m.SeqNo + uint64(i)
				if previous, ok := announced[sequence]; ok && previous != s.URI && missing < 0 {
					t.Fatalf("segment %d was announced as %s, now as %s", sequence, previous, s.URI)
				}
				announced[sequence] = s.URI
				base := s.URI[:strings.LastIndexByte(s.URI, '/')]
				if previousBase != "" && base != previousBase && !s.Discontinuity && missing < 0 {
					t.Fatalf("no discontinuity between %s and %s\n%s", previousBase, base, b)
				}
				previousBase = base
			}
		}
	})
}

func TestRenderReproducesParsedPlaylist(t *testing.T) {
	in := "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:6\n#EXT-X-MEDIA-SEQUENCE:7\n#EXT-X-DISCONTINUITY-SEQUENCE:2\n#EXT-X-PLAYLIST-TYPE:VOD\n" +
		"#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXT-X-MAP:URI=\"i\"\n#EXTINF:5.500,a title\nhttp://cdn/x.ts?y=1\n#EXT-X-DISCONTINUITY\n#EXTINF:6.000,\nz.ts\n#EXT-X-ENDLIST\n"
	m, err := ParseMedia(in)
	if err != nil || m.TotalDuration() != 11500*time.Millisecond {
		t.Fatal(err)
	}
	if got := renderText(m); got != in {
		t.Fatalf("%s", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(multivariantText)
	f.Add(renderText(livePlaylist(0, 5, 3)))
	f.Fuzz(func(t *testing.T, in string) {
		if m, err := ParseMedia(in); err == nil {
			if _, err := ParseMedia(renderText(m)); err != nil {
				t.Fatalf("%v\n%q", err, renderText(m))
			}
		}
		if m, err := ParseMultivariant(in); err == nil {
			out := m.RenderMultivariant(nil, 0, MaxVariants, func(int) string { return "x" })
			if _, err := ParseMultivariant(string(out)); err != nil {
				t.Fatalf("%v\n%q", err, out)
			}
		}
	})
}

// BenchmarkRenderShared renders one session's reload of a live playlist of 30 segments from the shared form.
func BenchmarkRenderShared(b *testing.B) {
	m := livePlaylist(2, 1000, 30)
	v := &View{}
	v.Switch(0, 2, "http://127.0.0.1:8000/guide/")
	buf := make([]byte, 0, 8<<10)
	b.ReportAllocs()
	for range b.N {
		buf, _, _ = v.Render(buf[:0], func(int) *MediaPlaylist { return m }, "st=0123456789abcdef0123456789abcdef")
	}
	b.SetBytes(int64(len(buf)))
}

// BenchmarkRewriteText rewrites the origin's text of the same playlist line by line, as each session would need it.
func BenchmarkRewriteText(b *testing.B) {
	origin := renderText(livePlaylist(2, 1000, 30))
	b.ReportAllocs()
	n := 0
	for range b.N {
		var out strings.Builder
		for _, l := range strings.Split(origin, "\n") {
			if l != "" && l[0] != '#' {
				l = "http://127.0.0.1:8000/guide/" + l + "?st=0123456789abcdef0123456789abcdef"
			}
			out.WriteString(l)
			out.WriteByte('\n')
		}
		n = out.Len()
	}
	b.SetBytes(int64(n))
}
