package ports

import (
	"net"
	"slices"
	"testing"
)

// Kept addresses go to nobody who asks for any, and to whoever asks for them, also again after an end.
func TestPortsAreKept(t *testing.T) {
	kept, err := Keep(20)
	if err != nil {
		t.Fatal(err)
	}
	for range 20000 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(kept.Addrs, ln.Addr().String()) {
			t.Errorf("%v is given away", ln.Addr())
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
		t.Error("not as many as asked for, or not let go")
	}
}
