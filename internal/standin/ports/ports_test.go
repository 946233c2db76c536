package ports

import (
	"net"
	"slices"
	"testing"
)

// TestReservedPortsNotAssignedToOthers checks that a reserved address is never assigned to a caller that asks for any
// port, and that a caller that asks for this address gets it, also a second time after closing it.
func TestReservedPortsNotAssignedToOthers(t *testing.T) {
	kept, err := Reserve(20)
	if err != nil {
		t.Fatal(err)
	}
	for range 20000 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(kept.Addrs, ln.Addr().String()) {
			t.Errorf("reserved address %v was assigned to another listener", ln.Addr())
		}
		ln.Close()
	}
	for range 2 {
		for _, addr := range kept.Addrs {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				t.Error(err)
				continue
			}
			ln.Close()
		}
	}
	if len(kept.Addrs) != 20 || kept.Close() != nil || kept.Close() != nil {
		t.Error("wrong number of addresses, or Close failed")
	}
}
