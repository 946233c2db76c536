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

// unresponsiveAddr returns an IPv6 address on which connects neither succeed nor fail, like one whose packets are
// dropped: a listener that accepts nothing and whose backlog is full, so that the kernel silently drops further SYNs.
func unresponsiveAddr(t *testing.T) string {
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
	t.Fatal("the listener's backlog did not fill up")
	return ""
}

// refusingAddr returns an address without a listener.
func refusingAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "[::1]:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// relistWithAddresses updates the list entry of each server with addresses besides its IPv4 one.
func (x *site) relistWithAddresses(addrs ...string) {
	for _, m := range x.farm.Servers() {
		e := listEntry(m, "ready")
		e.ExtraAddrs = addrs
		x.list.Set(e)
	}
	x.waitFor("relisted", func() bool { return x.snapshot().readyServers == 3 })
	time.Sleep(150 * time.Millisecond)
}

// TestUnusableAddressFamilyDelaysNoSession gives the address that is tried first each kind of failure, for a safe and a
// paid class: every session must start at its first attempt, within a second, and no failure may reach the module.
func TestUnusableAddressFamilyDelaysNoSession(t *testing.T) {
	for name, bad := range map[string]func(t *testing.T, x *site){
		"drops silently":         func(t *testing.T, x *site) { x.relistWithAddresses(unresponsiveAddr(t)) },
		"refuses":                func(t *testing.T, x *site) { x.relistWithAddresses(refusingAddr(t)) },
		"accepts, never answers": func(t *testing.T, x *site) { x.setAddressMode("tcp6", mediasim.AddressSilent) },
		"accepts, then resets":   func(t *testing.T, x *site) { x.setAddressMode("tcp6", mediasim.AddressResets) },
	} {
		t.Run(name, func(t *testing.T) {
			x := newSiteWith(t, "", "ipv6")
			bad(t, x)
			for i := range 6 { // class paid has 3 seats
				startedAt := time.Now()
				a := x.player().open([]string{"safe", "paid"}[i%2], "a")
				if a.Result == nil {
					t.Fatalf("%+v", a.Error)
				}
				if took := time.Since(startedAt); took > 400*time.Millisecond {
					t.Errorf("session %d started after %v", i, took)
				}
			}
			if r := x.audit(); r.Further != 0 || r.Setups != 6 {
				t.Error(r.Setups, "set-ups,", r.Further, "of them retries")
			}
		})
	}
}

// setAddressMode sets the behaviour of all servers' addresses of one network.
func (x *site) setAddressMode(network, mode string) {
	for _, m := range x.farm.Servers() {
		m.SetAddressMode(network, mode)
	}
}

func TestStalledAddressCausesNoSecondSetUp(t *testing.T) {
	x := newSiteWith(t, "", "ipv6")
	// Server 1 is the only holder of title b; its connection responds once, then stalls.
	x.farm.Server(1).SetAddressMode("tcp6", mediasim.AddressStalls)
	if a := x.player().open("paid", "b"); a.Error == nil || a.Error.Code != -32002 {
		t.Fatalf("paid: %+v", a)
	}
	if a := x.player().open("safe", "a"); a.Result == nil {
		t.Fatalf("safe: %+v", a.Error)
	}
	x.farm.Server(1).SetAddressMode("tcp6", mediasim.AddressGood)
	x.audit()
}

func TestRecoversAfterAllAddressesUnreachable(t *testing.T) {
	x := newSiteWith(t, "", "ipv6")
	x.setAddressMode("tcp6", mediasim.AddressResets)
	x.setAddressMode("tcp", mediasim.AddressSilent)
	startedAt := time.Now()
	// Refused, as it certainly never ran.
	if a := x.player().open("paid", "a"); a.Error == nil || a.Error.Code != -32001 {
		t.Fatalf("%+v", a)
	}
	if took := time.Since(startedAt); took > 1500*time.Millisecond {
		t.Error("refused after", took)
	}
	x.setAddressMode("tcp6", mediasim.AddressGood)
	x.setAddressMode("tcp", mediasim.AddressGood)
	x.waitFor("plays again", func() bool { return x.player().open("safe", "a").Result != nil })
	x.audit()
}

func TestAddressChangeDuringConnect(t *testing.T) {
	x := newSite(t, "")
	unresponsive := unresponsiveAddr(t)
	m := x.farm.Server(1)
	e := listEntry(m, "ready")
	e.Addr = unresponsive // the only holder of title b is unreachable
	x.list.Set(e)
	time.Sleep(150 * time.Millisecond)
	p := x.player()
	p.sendOpen("paid", "b")
	time.Sleep(60 * time.Millisecond)
	x.list.Set(listEntry(m, "ready"))
	if a := p.read(); a.Result == nil {
		t.Fatalf("%+v", a.Error)
	}
	if r := x.audit(); r.Setups != 1 {
		t.Error(r.Setups)
	}
}

func TestDuplicateAndMissingAddresses(t *testing.T) {
	x := newSite(t, "")
	// One address written in two ways is one connection.
	for _, m := range x.farm.Servers() {
		e := listEntry(m, "ready")
		e.ExtraAddrs = []string{"[::ffff:127.0.0.1]:" + m.Addr()[strings.LastIndex(m.Addr(), ":")+1:]}
		x.list.Set(e)
	}
	time.Sleep(150 * time.Millisecond)
	if a := x.player().open("safe", "b"); a.Result == nil {
		t.Fatalf("%+v", a.Error)
	}
	// A server listed without an address gets no requests and does not affect other servers.
	x.list.Set(listsim.Server{ID: 1, Cell: 0, Zone: "z", Kind: "std", Size: 1, Health: "ready"})
	x.waitFor("refused", func() bool { a := x.player().open("safe", "b"); return a.Error != nil })
	if a := x.player().open("safe", "a"); a.Result == nil {
		t.Fatalf("%+v", a.Error)
	}
	x.list.Set(listEntry(x.farm.Server(1), "ready"))
	x.audit()
}

func TestUnixSocketIsPreferredOnlyIfTrusted(t *testing.T) {
	x := newSiteWith(t, "", "unix")
	if a := x.player().open("safe", "b"); a.Result == nil || !strings.HasPrefix(a.Result.Server, "127.0.0.1:") {
		t.Fatalf("%+v", a)
	}
	x.farm.Server(1).SetAddressMode("tcp", mediasim.AddressResets) // resets connections over IPv4
	if n := x.farm.StreamCount(); n != 1 {
		t.Error("the session did not use the Unix socket")
	}
	x.farm.Server(1).SetAddressMode("tcp", mediasim.AddressGood)
	x.leave()
	os.Chmod(x.dir, 0o777) // any user may create a socket there now
	x.start("")
	x.farm.Server(1).SetAddressMode("tcp", mediasim.AddressResets)
	if a := x.player().open("safe", "b"); a.Error == nil {
		t.Error("a socket in a directory writable by any user was used")
	}
	os.Chmod(x.dir, 0o755)
}
