package day

import (
	"net"
	"slices"
	"testing"
)

// Addresses kept for processes go to nobody who asks for any, and to whoever asks for them, also again after an end.
func TestPortsAreKept(t *testing.T) {
	list, release, err := Ports(20)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	for range 20000 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(list, ln.Addr().String()) {
			t.Errorf("%v is given away", ln.Addr())
		}
		ln.Close()
	}
	for range 2 {
		for _, addr := range list {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				t.Error(err)
				continue
			}
			ln.Close()
		}
	}
}
