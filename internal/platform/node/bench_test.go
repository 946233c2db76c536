package node

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/rs/zerolog"

	"tealledge/internal/platform/wire"
)

// BenchmarkTick measures a tick of an idle front by the number of servers that it knows, and the heap that the front
// holds. See docs/design/platform.md.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 200, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			node := newListedNode(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				now := node.now()
				node.core.Advance(now)
				node.servers.Tick(now)
				node.viewers.Tick(now)
				node.follower.Tick(now)
				node.servers.Take()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "kB-held")
			node.clients.close(context.Background())
		})
	}
}

// newListedNode creates a front that knows n servers. Its Run is not called.
func newListedNode(tb testing.TB, n int) *Node {
	tb.Helper()
	return newListedNodeWithLimit(tb, n, 608)
}

// newListedNodeWithLimit is newListedNode with a limit of descriptors.
func newListedNodeWithLimit(tb testing.TB, n, sockets int) *Node {
	list := &wire.Hosts{Seq: 1, Whole: true}
	for i := range n {
		list.Hosts = append(list.Hosts, wire.Host{Name: fmt.Sprintf("s-%08x", i+1), Address: fmt.Sprintf("127.0.0.1:%d", 20000+i), Zone: "z",
			Kind: "k", Health: wire.HostReady, Share: 1})
	}
	cfg, err := Parse(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":%d},
		"known":{"pos":0,"entries":[]},"settings":%s}`, sockets, settingsJSON))
	if err != nil {
		tb.Fatal(err)
	}
	cfg.Listen = "127.0.0.1:0"
	node, err := New(cfg, "", zerolog.Nop())
	if err != nil {
		tb.Fatal(err)
	}
	node.applyListEvent(wire.Event{Pos: 1, Hosts: list})
	return node
}
