package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const platformSettings = `{"family-info":{"level-kb":[100,200],"level-worth":[0.5,1],"positions":1,"shelves":1,"weight-kb":3000},
"request-classes":[{"name":"safe","effect":"safe","importance":1,"slo-ns":1000000000,"deadline-ns":2000000000}]}`

// lockedBuffer may be read while a process writes to it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// The program itself, as the platform starts and signals it.
func TestThePlatformsSignals(t *testing.T) {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	command := func() *exec.Cmd {
		c := exec.Command(bin, "platform")
		c.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME=n0", "NODE_LISTEN="+addr)
		return c
	}
	write("{")
	if out, err := command().CombinedOutput(); err == nil || bytes.Count(out, []byte("\n")) != 1 {
		t.Errorf("a file that can't be used: %v %q", err, out)
	}
	good := fmt.Sprintf(`{"name":"n0","listen":"%s","seed":"01","limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"pos":0,"entries":[]},"settings":%s}`, addr, platformSettings)
	write(good)
	var log lockedBuffer
	c := command()
	c.Stderr = &log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	tested := func() bool {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer conn.Close()
		fmt.Fprintln(conn, `{"msg":"probe","sid":"0000000000000001","attrs":{},"code":0}`)
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		b := make([]byte, 256)
		n, _ := conn.Read(b)
		return strings.Contains(string(b[:n]), `"probed"`)
	}
	for end := time.Now().Add(10 * time.Second); !tested(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.Process.Kill()
			c.Wait()
			t.Fatalf("never ready: %s", log.String())
		}
	}
	said := func(what string) {
		t.Helper()
		for end := time.Now().Add(8 * time.Second); !strings.Contains(log.String(), what); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("never %q: %s", what, log.String())
			}
		}
	}
	// A file that stays damaged is not taken; one that was half written when the signal came is, once it is whole; the same
	// again changes nothing, and signals that come together are no more than one.
	write("{")
	c.Process.Signal(syscall.SIGHUP)
	said("not taken")
	write(good[:len(good)/2])
	c.Process.Signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	if strings.Contains(log.String(), "read again") {
		t.Error("half a file was taken")
	}
	write(good)
	said("read again")
	for range 5 {
		c.Process.Signal(syscall.SIGHUP)
	}
	if !tested() {
		t.Error("gone at SIGHUP")
	}
	c.Process.Signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	if !tested() {
		t.Error("SIGTERM closed the door at once")
	}
	c.Process.Signal(syscall.SIGTERM) // a second one, and a new configuration meanwhile, change nothing
	c.Process.Signal(syscall.SIGHUP)
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("%v: %s", err, log.String())
		}
	case <-time.After(10 * time.Second):
		t.Error("it stays")
	}
}
