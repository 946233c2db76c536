package node

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/rs/zerolog"

	"tealledge/internal/platform/wire"
)

// BenchmarkTick measures a tick of a front that knows so many servers and has nothing under way, and what it holds. See
// docs/design/platform.md.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 200, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			x := listedNode(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				now := x.now()
				x.core.Advance(now)
				x.servers.Tick(now)
				x.viewers.Tick(now)
				x.watch.Tick(now)
				x.servers.Take()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "kB-held")
			x.clients.close(context.Background())
		})
	}
}

// listedNode makes a front that knows n servers. It is not run.
func listedNode(tb testing.TB, n int) *Node { tb.Helper(); return listedNodeOf(tb, n, 608) }

// listedNodeOf is listedNode with a limit of descriptors.
func listedNodeOf(tb testing.TB, n, sockets int) *Node {
	list := &wire.Hosts{Seq: 1, Whole: true}
	for i := range n {
		list.Hosts = append(list.Hosts, wire.Host{Name: fmt.Sprintf("s-%08x", i+1), Dial: fmt.Sprintf("127.0.0.1:%d", 20000+i), Zone: "z",
			Kind: "k", Health: wire.HostReady, Share: 1})
	}
	cfg, err := Parse(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":%d},
		"known":{"pos":0,"entries":[]},"settings":%s}`, sockets, settingsJSON))
	if err != nil {
		tb.Fatal(err)
	}
	cfg.Listen = "127.0.0.1:0"
	x, err := New(cfg, "", zerolog.Nop())
	if err != nil {
		tb.Fatal(err)
	}
	x.listed(wire.Event{Pos: 1, Hosts: list})
	return x
}
