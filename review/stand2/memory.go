package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	floodMemoryMB = 48 // DAYS.md: a front gets 32 to 192 MB
	floodClients  = 4
	floodAtOnce   = 200
	floodLeftMs   = 25
	floodLength   = 100 * time.Second
)

// memoryGrows: four bad clients ask at full speed, and the same again as soon as they are turned away. The front must
// stay within its memory, over which the platform kills it. Without the disruption there are only the usual viewers.
func memoryGrows(w *world) error {
	w.memoryMB = floodMemoryMB
	if err := startWorld(w, smallFleet); err != nil {
		return err
	}
	v, err := newViewer(w)
	if err != nil {
		return err
	}
	const usualEvery = 500 * time.Millisecond
	start := w.since()
	go askSteadily(w, v, firstSid, usualEvery, start+floodLength)
	w.sleepUntil(start + 3*time.Second)
	var turnedAway, nextSid atomic.Uint64
	nextSid.Store(firstSid + 1<<40)
	if w.trouble {
		for range floodClients {
			c, err := net.Dial("tcp", w.front.addr)
			if err != nil {
				return err
			}
			defer c.Close()
			go floodRequests(c, &turnedAway, &nextSid)
		}
	}
	for n := 0; w.since() < start+floodLength; n++ {
		time.Sleep(100 * time.Millisecond)
		kB, err := w.front.residentKB()
		if err != nil {
			return err
		}
		if n%20 == 0 {
			w.log("the front has %d kB, bad clients were turned away %d times", kB, turnedAway.Load())
		}
		if kB > floodMemoryMB<<10 {
			w.violation("the front has %d kB, its limit is %d MB, after %d requests of bad clients: the platform kills it",
				kB, floodMemoryMB, turnedAway.Load())
			return nil
		}
	}
	return nil
}

// floodRequests keeps requests open on a connection: what is turned away is asked again, with a new id.
func floodRequests(c net.Conn, turnedAway, nextSid *atomic.Uint64) {
	ask := func(n int) error {
		var lines strings.Builder
		for range n {
			fmt.Fprintf(&lines, `{"msg":"open","sid":"%016x","attrs":{"class":"replay","left":"%d","key":"%016x",`+
				`"extras":"home:1;copies:3;top:5"},"text":"bad client"}`+"\n", nextSid.Add(1), floodLeftMs, 0xb0)
		}
		_, err := c.Write([]byte(lines.String()))
		return err
	}
	const together = 50
	err := ask(floodAtOnce)
	r := bufio.NewScanner(c)
	for n := 1; err == nil && r.Scan(); n++ {
		turnedAway.Add(1)
		if n%together == 0 {
			err = ask(together)
		}
	}
}

// residentKB returns the memory that the front's process holds.
func (f *front) residentKB() (kB int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, err := fmt.Sscanf(v, "%d", &kB)
			return kB, err
		}
	}
	return 0, fmt.Errorf("the front has ended")
}
