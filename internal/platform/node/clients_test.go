package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"tealledge/internal/standin/platformsim"
)

// Viewers keep a third of the descriptors, servers get the rest as the list grows, and no server of the list is
// dropped.
func TestDescriptorLimitsLeaveViewersAThirdAndServersTheRest(t *testing.T) {
	for _, n := range []int{10, 200, 1200} {
		x := newListedNode(t, n)
		viewerConns, serverConns := x.viewers.MaxConns(), x.servers.MaxConns()
		if viewerConns < 608/3 || viewerConns+serverConns > 608-reservedDescriptors ||
			serverConns < min(2*n, 608-reservedDescriptors-608/3) || x.serverIDs.len() != n || x.core.ReadyServers() != n {
			t.Errorf("%d servers: %d connections of viewers, %d to servers, %d listed, %d ready", n, viewerConns, serverConns,
				x.serverIDs.len(), x.core.ReadyServers())
		}
		x.clients.close(context.Background())
	}
}

// With 64 descriptors, the full reserve would leave one connection for all servers together.
func TestSmallDescriptorLimitLeavesServersConnections(t *testing.T) {
	x := newListedNodeWithLimit(t, 8, 64)
	if viewerConns, serverConns := x.viewers.MaxConns(), x.servers.MaxConns(); viewerConns < 64/3 ||
		serverConns < 2*8 || viewerConns+serverConns > 64-12 {
		t.Errorf("%d connections of viewers, %d to servers", viewerConns, serverConns)
	}
	x.clients.close(context.Background())
}

// A client that sends garbage or nothing gets an answer or is closed, and regular viewers are still served.
func TestBadClientsDoNotBlockOthers(t *testing.T) {
	x := newTestFront(t, 256)
	bad := map[string]string{
		"noise":          "\x00\x01\x02 hello\n",
		"endless line":   strings.Repeat("x", 8<<20),
		"no id":          `{"msg":"open","attrs":{}}` + "\n",
		"unknown class":  platformsim.OpenLine(x.newID(), "gold", time.Second, ""),
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
		case <-v.Closed:
		case <-time.After(6 * time.Second):
			t.Errorf("%s: neither answered nor closed", name)
		}
		v.Close()
	}
	taken := x.snapshot().Taken
	flood := x.viewer()
	for range 300 { // each request and its withdrawal are written together
		sid := x.newID()
		text := platformsim.OpenLine(sid, "safe", time.Second, "")
		flood.Write(text + fmt.Sprintf(`{"msg":"close","sid":"%016x","attrs":{},"code":16}`+"\n", sid))
	}
	x.waitFor("all requests read", func() bool { return x.snapshot().Viewers.TakenBack+x.snapshot().Taken-taken >= 300 })
	flood.Close()
	regular := x.viewer()
	if _, a := x.open(regular, "safe"); a.Msg != "ready" {
		t.Errorf("a regular viewer: %+v", a)
	}
	regular.Close()
	x.waitFor("connections closed", func() bool { return x.snapshot().Conns == 0 })
	x.closeAndAudit()
}

// Idle connections past the limit are closed, and regular viewers are still served.
func TestServesViewersWhenDescriptorsRunShort(t *testing.T) {
	x := newTestFront(t, 128)
	regular := x.viewer()
	sid, _ := x.open(regular, "safe")
	var silent []*platformsim.Viewer
	for range 150 {
		silent = append(silent, x.viewer())
	}
	if n := x.snapshot().Conns; n > 110 {
		t.Errorf("%d connections with 128 descriptors", n)
	}
	if _, a := x.open(regular, "paid"); a.Msg != "ready" {
		t.Errorf("a regular viewer: %+v", a)
	}
	x.serverOf(sid).EndSession(sid, 16)
	if l := x.lineFor(regular, sid); l.Msg != "close" {
		t.Errorf("%+v", l)
	}
	for _, v := range silent {
		v.Close()
	}
	regular.Close()
	x.closeAndAudit()
}
