package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"tealledge/internal/standin/platformsim"
)

// Servers and descriptors: viewers keep their third, servers get the rest as the list grows, and no list is cut short.
func TestSharesOfDescriptors(t *testing.T) {
	for _, n := range []int{10, 200, 1200} {
		x := listedNode(t, n)
		conns, links := x.viewers.Limits(), x.servers.Limits()
		if conns < 608/3 || conns+links > 608-reserve || links < min(2*n, 608-reserve-608/3) || x.hosts.len() != n || x.core.Ready() != n {
			t.Errorf("%d servers: %d connections of viewers, %d to servers, %d listed, %d ready", n, conns, links, x.hosts.len(), x.core.Ready())
		}
		x.clients.close(context.Background())
	}
}

// Of 64 descriptors the reserve left servers one connection in all.
func TestASmallLimitLeavesServersTheirs(t *testing.T) {
	x := listedNodeOf(t, 8, 64)
	if conns, links := x.viewers.Limits(), x.servers.Limits(); conns < 64/3 || links < 2*8 || conns+links > 64-12 {
		t.Errorf("%d connections of viewers, %d to servers", conns, links)
	}
	x.clients.close(context.Background())
}

func TestBadClientsAreAnsweredOrClosedAndUsualOnesServed(t *testing.T) {
	x := newSite(t, 256)
	bad := map[string]string{
		"noise":          "\x00\x01\x02 hello\n",
		"endless":        strings.Repeat("x", 8<<20),
		"no id":          `{"msg":"open","attrs":{}}` + "\n",
		"unknown class":  platformsim.Form(x.id(), "gold", time.Second, ""),
		"half a request": `{"msg":"open","sid":"0000`,
		"silent":         "",
	}
	for name, text := range bad {
		v := x.viewer()
		go v.Write(text)
		select {
		case l := <-v.Lines:
			if l.Msg != "close" || l.Code == 0 {
				t.Errorf("%s: %+v", name, l)
			}
		case <-v.Ended:
		case <-time.After(6 * time.Second):
			t.Errorf("%s: neither answer nor close", name)
		}
		v.Close()
	}
	taken := x.look().Taken
	flood := x.viewer()
	for range 300 { // taken back at once, in one breath
		sid := x.id()
		text := platformsim.Form(sid, "safe", time.Second, "")
		flood.Write(text + fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid))
	}
	x.until("read", func() bool { return x.look().Viewers.TakenBack+x.look().Taken-taken >= 300 })
	flood.Close()
	usual := x.viewer()
	if _, a := x.opens(usual, "safe"); a.Msg != "ready" {
		t.Errorf("a usual viewer: %+v", a)
	}
	usual.Close()
	x.until("connections closed", func() bool { return x.look().Conns == 0 })
	x.close()
}

func TestDescriptorsRunShort(t *testing.T) {
	x := newSite(t, 128)
	usual := x.viewer()
	sid, _ := x.opens(usual, "safe")
	var silent []*platformsim.Viewer
	for range 150 {
		silent = append(silent, x.viewer())
	}
	if n := x.look().Conns; n > 110 {
		t.Errorf("%d connections of 128 descriptors", n)
	}
	if _, a := x.opens(usual, "paid"); a.Msg != "ready" {
		t.Errorf("a usual viewer: %+v", a)
	}
	x.at(sid).End(sid, 16)
	if l := x.line(usual, sid); l.Msg != "close" {
		t.Errorf("%+v", l)
	}
	for _, v := range silent {
		v.Close()
	}
	usual.Close()
	x.close()
}
