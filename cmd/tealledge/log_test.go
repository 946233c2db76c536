package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// A program that reads the log too slowly blocked the owner goroutine, and all requests with it, once the pipe was full.
// Requests must be answered while nobody reads the log, and the process must end in time.
func TestUnreadLogDelaysNoRequest(t *testing.T) {
	world := platformsim.NewWorld()
	servers := newShutdownServers(t, world, 1)
	pipe := filepath.Join(t.TempDir(), "log")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	unread, err := os.OpenFile(pipe, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	t.Setenv("TEALLEDGE_LOG", "debug") // the pipe is full after some hundred requests
	front := startFront(t, siteSettings(), serverListEvents(servers, 0), "", 256, "sh", "-c",
		fmt.Sprintf(`exec "$0" "$@" 2>'%s'`, pipe))
	front.waitReady()
	viewer, err := platformsim.Dial(world, front.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer viewer.Close()
	for sid := uint64(100); sid < 700; sid++ {
		viewer.Write(strings.Replace(platformsim.OpenLine(sid, "only", time.Second, ""), "copies:3", "copies:1", 1))
		for answered := false; !answered; {
			select {
			case line := <-viewer.Lines:
				answered = line.Sid == sid && line.Msg != wire.LineClosed
			case <-time.After(3 * time.Second):
				t.Fatalf("request %d: no answer", sid-100)
			}
		}
		viewer.Cancel(sid)
	}
	front.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-front.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(killAfter(2 * time.Second)):
		t.Error("the process still runs at the earliest kill")
	}
}
