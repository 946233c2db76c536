package serve

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tealledge/internal/standin/listsim"
	"tealledge/internal/standin/mediasim"
)

// blackHole is an IPv6 address on which connects neither succeed nor fail, as one whose packets are dropped: a listener
// that nobody accepts from, whose backlog is full. The kernel then drops further SYNs without a word.
func blackHole(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET6, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet6{Addr: [16]byte{15: 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("[::1]:%d", sa.(*unix.SockaddrInet6).Port)
	for range 8 {
		nc, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr // full: the next connect hangs
		}
		t.Cleanup(func() { nc.Close() })
	}
	t.Fatal("the backlog never fills")
	return ""
}

// refused is an address that nobody listens on.
func refused(t *testing.T) string {
	ln, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// relist lists the servers anew, each with addresses beside its IPv4 one.
func (x *site) relist(more ...string) {
	for _, m := range x.farm.Servers() {
		e := listed(m, "ready")
		e.More = more
		x.list.Set(e)
	}
	x.until("relisted", func() bool { return x.look().ready == 3 })
	time.Sleep(150 * time.Millisecond)
}

// TestOneBadFamilyCostsNoSession has each bad behaviour on the address that is tried first, for a safe and a paid
// class: every session starts within a second, at its first attempt, and the module hears of no failure.
func TestOneBadFamilyCostsNoSession(t *testing.T) {
	for name, bad := range map[string]func(t *testing.T, x *site){
		"drops silently":         func(t *testing.T, x *site) { x.relist(blackHole(t)) },
		"refuses":                func(t *testing.T, x *site) { x.relist(refused(t)) },
		"accepts, never answers": func(t *testing.T, x *site) { x.paths("tcp6", mediasim.PathSilent) },
		"accepts, then resets":   func(t *testing.T, x *site) { x.paths("tcp6", mediasim.PathResets) },
	} {
		t.Run(name, func(t *testing.T) {
			x := newSiteWith(t, "", "ipv6")
			bad(t, x)
			for i := range 6 { // class paid has 3 seats
				began := time.Now()
				a := x.player().open([]string{"safe", "paid"}[i%2], "a")
				if a.Result == nil {
					t.Fatalf("%+v", a.Error)
				}
				if took := time.Since(began); took > 400*time.Millisecond {
					t.Errorf("session %d started after %v", i, took)
				}
			}
			if r := x.judge(); r.Further != 0 || r.Setups != 6 {
				t.Error(r.Setups, "set-ups,", r.Further, "of them again")
			}
		})
	}
}

func (x *site) paths(network, mode string) {
	for _, m := range x.farm.Servers() {
		m.Path(network, mode)
	}
}

func TestAnAddressThatStallsSetUpsNeverHasThemDoubled(t *testing.T) {
	x := newSiteWith(t, "", "ipv6")
	x.farm.Server(1).Path("tcp6", mediasim.PathStalls) // the only holder of title b; its connection is proven, then stalls
	if a := x.player().open("paid", "b"); a.Error == nil || a.Error.Code != -32002 {
		t.Fatalf("paid: %+v", a)
	}
	if a := x.player().open("safe", "a"); a.Result == nil {
		t.Fatalf("safe: %+v", a.Error)
	}
	x.farm.Server(1).Path("tcp6", mediasim.PathGood)
	x.judge()
}

func TestAllAddressesDarkThenBack(t *testing.T) {
	x := newSiteWith(t, "", "ipv6")
	x.paths("tcp6", mediasim.PathResets)
	x.paths("tcp", mediasim.PathSilent)
	began := time.Now()
	if a := x.player().open("paid", "a"); a.Error == nil || a.Error.Code != -32001 { // provably never ran
		t.Fatalf("%+v", a)
	}
	if took := time.Since(began); took > 1500*time.Millisecond {
		t.Error("refused after", took)
	}
	x.paths("tcp6", mediasim.PathGood)
	x.paths("tcp", mediasim.PathGood)
	x.until("plays again", func() bool { return x.player().open("safe", "a").Result != nil })
	x.judge()
}

func TestTheAddressListChangesWhileAConnectIsUnderWay(t *testing.T) {
	x := newSite(t, "")
	hole := blackHole(t)
	m := x.farm.Server(1)
	e := listed(m, "ready")
	e.Addr = hole // the only holder of title b can't be reached
	x.list.Set(e)
	time.Sleep(150 * time.Millisecond)
	p := x.player()
	p.ask("paid", "b")
	time.Sleep(60 * time.Millisecond)
	x.list.Set(listed(m, "ready"))
	if a := p.read(); a.Result == nil {
		t.Fatalf("%+v", a.Error)
	}
	if r := x.judge(); r.Setups != 1 {
		t.Error(r.Setups)
	}
}

func TestOddLists(t *testing.T) {
	x := newSite(t, "")
	// One address written in two ways is one connection.
	for _, m := range x.farm.Servers() {
		e := listed(m, "ready")
		e.More = []string{"[::ffff:127.0.0.1]:" + m.Addr()[strings.LastIndex(m.Addr(), ":")+1:]}
		x.list.Set(e)
	}
	time.Sleep(150 * time.Millisecond)
	if a := x.player().open("safe", "b"); a.Result == nil {
		t.Fatalf("%+v", a.Error)
	}
	// A server listed with no address at all is never sent anything, and does no harm.
	x.list.Set(listsim.Server{ID: 1, Cell: 0, Zone: "z", Kind: "std", Size: 1, Health: "ready"})
	x.until("refused", func() bool { a := x.player().open("safe", "b"); return a.Error != nil })
	if a := x.player().open("safe", "a"); a.Result == nil {
		t.Fatalf("%+v", a.Error)
	}
	x.list.Set(listed(x.farm.Server(1), "ready"))
	x.judge()
}

func TestUnixSocketsAreUsedFirstAndOnlyIfTrusted(t *testing.T) {
	x := newSiteWith(t, "", "unix")
	if a := x.player().open("safe", "b"); a.Result == nil || !strings.HasPrefix(a.Result.Server, "127.0.0.1:") {
		t.Fatalf("%+v", a)
	}
	x.farm.Server(1).Path("tcp", mediasim.PathResets) // resets what came by IPv4
	if n := x.farm.Streams(); n != 1 {
		t.Error("the session did not go by the Unix socket")
	}
	x.farm.Server(1).Path("tcp", mediasim.PathGood)
	x.end()
	os.Chmod(x.dir, 0o777) // now anybody may put a socket there
	x.start("")
	x.farm.Server(1).Path("tcp", mediasim.PathResets)
	if a := x.player().open("safe", "b"); a.Error == nil {
		t.Error("a socket was used that anybody could have put there")
	}
	os.Chmod(x.dir, 0o755)
}
