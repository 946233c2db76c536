package pipe

import (
	"net"
	"testing"
	"time"
)

// What the system knows of a connection is told without reading it: bytes that wait, and an end behind them.
func TestLookTellsWhatWasNotRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for name, end := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		far, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		here, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		raw, err := here.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		look := func() (ended, unread bool, peeked string) {
			raw.Control(func(fd uintptr) {
				ended, unread = Look(int(fd))
				b := make([]byte, 100)
				peeked = string(b[:Peek(int(fd), b)])
			})
			return ended, unread, peeked
		}
		until := func(what string, ok func(ended, unread bool, peeked string) bool) {
			t.Helper()
			for end := time.Now().Add(5 * time.Second); !ok(look()); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%s: never %s", name, what)
				}
			}
		}
		if ended, unread, _ := look(); ended || unread {
			t.Errorf("%s: ended %v, unread %v at the start", name, ended, unread)
		}
		far.Write([]byte("words"))
		until("unread", func(ended, unread bool, peeked string) bool { return !ended && unread && peeked == "words" })
		end(far.(*net.TCPConn))
		until("ended", func(ended, _ bool, _ string) bool { return ended })
		if _, _, peeked := look(); name != "reset" && peeked != "words" { // a reset destroys them
			t.Errorf("%s: %q is left", name, peeked)
		}
		here.Close()
		far.Close()
	}
}
