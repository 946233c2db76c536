package rig

import (
	"net"
	"testing"
)

// A relay's UDP socket could take the port that was reserved for a front, which then ended at its start with "address
// already in use". Any port that such a socket has must still be free at the address of the fronts.
func TestRelaySocketsLeaveFrontPortsFree(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	out, err := dialDatagrams(target.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: out.LocalAddr().(*net.UDPAddr).Port})
	if err != nil {
		t.Fatalf("a front can't have the port of a relay's socket: %v", err)
	}
	front.Close()
	if _, err := out.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 8)
	if n, _, err := target.ReadFrom(b); err != nil || n != 1 {
		t.Errorf("%d bytes, %v", n, err)
	}
}
