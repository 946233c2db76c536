package transport

import (
	"net"
	"testing"
	"time"
)

// Unread bytes and a close after them are reported without reading the connection.
func TestPollReportsUnreadBytesAndClose(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for name, closeRemote := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		remote, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		local, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		raw, err := local.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		poll := func() (closed, unread bool, peeked string) {
			raw.Control(func(fd uintptr) {
				closed, unread = Poll(int(fd))
				b := make([]byte, 100)
				peeked = string(b[:Peek(int(fd), b)])
			})
			return closed, unread, peeked
		}
		waitFor := func(what string, condition func(closed, unread bool, peeked string) bool) {
			t.Helper()
			for closeRemote := time.Now().Add(5 * time.Second); !condition(poll()); time.Sleep(time.Millisecond) {
				if time.Now().After(closeRemote) {
					t.Fatalf("%s: never %s", name, what)
				}
			}
		}
		if closed, unread, _ := poll(); closed || unread {
			t.Errorf("%s: closed %v, unread %v at the start", name, closed, unread)
		}
		remote.Write([]byte("bytes"))
		waitFor("unread", func(closed, unread bool, peeked string) bool { return !closed && unread && peeked == "bytes" })
		closeRemote(remote.(*net.TCPConn))
		waitFor("closed", func(closed, _ bool, _ string) bool { return closed })
		if _, _, peeked := poll(); name != "reset" && peeked != "bytes" { // a reset discards them
			t.Errorf("%s: unread input is %q", name, peeked)
		}
		local.Close()
		remote.Close()
	}
}
