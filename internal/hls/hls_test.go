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

const multi = "#EXTM3U\n#EXT-X-VERSION:4\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"x, y\",URI=\"a.m3u8\"\n" +
	"#EXT-X-STREAM-INF:BANDWIDTH=800000,CODECS=\"avc1,mp4a\",AUDIO=\"a\"\n1.m3u8\n#EXT-X-STREAM-INF:CODECS=\"x,BANDWIDTH=1\",BANDWIDTH=200000\n0.m3u8\n"

// live makes a live playlist of a rung: n segments from a sequence on.
func live(rung int, seq uint64, n int) *Media {
	m := &Media{Version: 3, Target: 2 * time.Second, Sequence: seq}
	for i := range n {
		m.Segments = append(m.Segments, Segment{Duration: 2 * time.Second, URI: fmt.Sprintf("%d/%d.ts", rung, seq+uint64(i))})
	}
	return m
}

func text(m *Media) string {
	v := &View{}
	v.Switch(0, 0, "")
	b, _, _ := v.Render(nil, func(int) *Media { return m }, "")
	return string(b)
}

func TestMultivariant(t *testing.T) {
	m, err := ParseMultivariant(multi)
	if err != nil || len(m.Variants) != 2 || m.ByRung()[0].URI != "0.m3u8" || len(m.Media) != 1 {
		t.Fatal(m, err)
	}
	out := string(m.RenderMultivariant(nil, 1, 1, func(r int) string { return fmt.Sprintf("s/%d.m3u8", r) }))
	if strings.Contains(out, "BANDWIDTH=200000") || !strings.Contains(out, "BANDWIDTH=800000,CODECS=\"avc1,mp4a\",AUDIO=\"a\"\ns/1.m3u8\n") {
		t.Fatal(out)
	}
	if p, kind, err := m3u8.DecodeFrom(strings.NewReader(out), true); err != nil || kind != m3u8.MASTER || len(p.(*m3u8.MasterPlaylist).Variants) != 1 {
		t.Fatal(kind, err)
	}
}

func TestBadPlaylistsAreNamed(t *testing.T) {
	good := text(live(0, 5, 3))
	for name, in := range map[string]string{
		"empty":                "",
		"html":                 "<html>",
		"cut in a segment":     good[:strings.LastIndex(good, "0/7.ts")],
		"no target":            strings.Replace(good, "#EXT-X-TARGETDURATION:2\n", "", 1),
		"segment over target":  strings.Replace(good, "#EXTINF:2.000", "#EXTINF:9.000", 1),
		"address alone":        strings.Replace(good, "#EXTINF:2.000,\n", "", 1),
		"sequence no number":   strings.Replace(good, "SEQUENCE:5", "SEQUENCE:-5", 1),
		"sequence in between":  good + "#EXT-X-MEDIA-SEQUENCE:9\n",
		"variants in it":       good + "#EXT-X-STREAM-INF:BANDWIDTH=1\nx\n",
		"negative duration":    strings.Replace(good, "#EXTINF:2.000", "#EXTINF:-2", 1),
		"endless line":         good + "#" + strings.Repeat("x", MaxLine+1),
		"endless":              good + strings.Repeat("#x\n", MaxBytes/3),
		"endless segments":     good + strings.Repeat("#EXTINF:1,\nx\n", MaxSegments),
		"two durations in one": strings.Replace(good, "#EXTINF:2.000,\n", "#EXTINF:2.000,\n#EXTINF:2.000,\n", 1),
	} {
		if _, err := ParseMedia(in); !errors.Is(err, ErrPlaylist) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, in := range map[string]string{"cut": multi[:strings.LastIndex(multi, "0.m3u8")], "none": "#EXTM3U\n", "no bandwidth": "#EXTM3U\n#EXT-X-STREAM-INF:X=1\na\n",
		"media": good, "many": "#EXTM3U\n" + strings.Repeat("#EXT-X-STREAM-INF:BANDWIDTH=1\na\n", MaxVariants+1)} {
		if _, err := ParseMultivariant(in); !errors.Is(err, ErrPlaylist) {
			t.Errorf("multivariant, %s: %v", name, err)
		}
	}
}

func TestASwitchIsADiscontinuityAtSegmentsNotToldYet(t *testing.T) {
	v := &View{}
	v.Switch(0, 0, "http://a/")
	lists := func(seq uint64) func(int) *Media { return func(r int) *Media { return live(r, seq, 4) } }
	_, next, _ := v.Render(nil, lists(100), "st=q")
	if next != 104 {
		t.Fatal(next)
	}
	v.Switch(next, 1, "http://b/")
	b, _, _ := v.Render(nil, lists(102), "st=q")
	out := string(b)
	if !strings.Contains(out, "http://a/0/103.ts?st=q\n#EXT-X-DISCONTINUITY\n#EXTINF:2.000,\nhttp://b/1/104.ts?st=q\n") || strings.Contains(out, "#EXT-X-DISCONTINUITY-SEQUENCE") {
		t.Fatal(out)
	}
	b, _, _ = v.Render(nil, lists(105), "") // the first part left the window, its discontinuity with it
	if out := string(b); !strings.Contains(out, "#EXT-X-DISCONTINUITY-SEQUENCE:1\n") || strings.Contains(out, "#EXT-X-DISCONTINUITY\n") {
		t.Fatal(out)
	}
	if _, _, ok := v.Render(nil, lists(103), ""); ok {
		t.Fatal("went backwards with a stale copy")
	}
}

// TestNothingGoesBackwards plays random switches and reloads, with origins that lag, and reads each text with another
// library: sequences never go back, a segment once told keeps its address, and a discontinuity stands wherever the
// address's base or rung changes.
func TestNothingGoesBackwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &View{}
		v.Switch(0, 0, "h0/")
		seq, next := uint64(rapid.IntRange(1, 1000).Draw(t, "seq")), uint64(0)
		told := map[uint64]string{}
		last, disc := uint64(0), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				v.Switch(next, rapid.IntRange(0, 2).Draw(t, "rung"), fmt.Sprintf("h%d/", rapid.IntRange(0, 2).Draw(t, "host")))
				continue
			}
			seq += uint64(rapid.IntRange(0, 3).Draw(t, "by"))
			lag := uint64(rapid.IntRange(0, 2).Draw(t, "lag"))
			missing := rapid.IntRange(-3, 2).Draw(t, "missing")
			b, n, ok := v.Render(nil, func(r int) *Media {
				if r == missing {
					return nil
				}
				if r == 1 {
					return live(r, seq-min(lag, seq-1), 5)
				}
				return live(r, seq, 5)
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
			if m.SeqNo < last || m.DiscontinuitySeq < disc {
				t.Fatalf("sequence %d after %d, discontinuity %d after %d", m.SeqNo, last, m.DiscontinuitySeq, disc)
			}
			last, disc = m.SeqNo, m.DiscontinuitySeq
			before := ""
			for i, s := range m.Segments[:m.Count()] {
				at := m.SeqNo + uint64(i)
				if was, ok := told[at]; ok && was != s.URI && missing < 0 {
					t.Fatalf("segment %d was %s, is %s", at, was, s.URI)
				}
				told[at] = s.URI
				from := s.URI[:strings.LastIndexByte(s.URI, '/')]
				if before != "" && from != before && !s.Discontinuity && missing < 0 {
					t.Fatalf("no discontinuity from %s to %s\n%s", before, from, b)
				}
				before = from
			}
		}
	})
}

func TestWhatIsReadIsWrittenAlike(t *testing.T) {
	in := "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:6\n#EXT-X-MEDIA-SEQUENCE:7\n#EXT-X-DISCONTINUITY-SEQUENCE:2\n#EXT-X-PLAYLIST-TYPE:VOD\n" +
		"#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXT-X-MAP:URI=\"i\"\n#EXTINF:5.500,a title\nhttp://cdn/x.ts?y=1\n#EXT-X-DISCONTINUITY\n#EXTINF:6.000,\nz.ts\n#EXT-X-ENDLIST\n"
	m, err := ParseMedia(in)
	if err != nil || m.Total() != 11500*time.Millisecond {
		t.Fatal(err)
	}
	if got := text(m); got != in {
		t.Fatalf("%s", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(multi)
	f.Add(text(live(0, 5, 3)))
	f.Fuzz(func(t *testing.T, in string) {
		if m, err := ParseMedia(in); err == nil {
			if _, err := ParseMedia(text(m)); err != nil {
				t.Fatalf("%v\n%q", err, text(m))
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

// The benchmarks render one session's reload of a live list of 30 segments: from the shared form, and by rewriting the
// origin's text line by line for each session.
func BenchmarkRenderShared(b *testing.B) {
	m := live(2, 1000, 30)
	v := &View{}
	v.Switch(0, 2, "http://127.0.0.1:8000/guide/")
	buf := make([]byte, 0, 8<<10)
	b.ReportAllocs()
	for range b.N {
		buf, _, _ = v.Render(buf[:0], func(int) *Media { return m }, "st=0123456789abcdef0123456789abcdef")
	}
	b.SetBytes(int64(len(buf)))
}

func BenchmarkRewriteText(b *testing.B) {
	origin := text(live(2, 1000, 30))
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
