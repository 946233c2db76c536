package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// sameAgain: four bad clients ask at full speed, and again as soon as they are turned away, with little time left. The
// front must stay within its limit of memory; over it the platform kills it.
func sameAgain(w *world, trouble bool) (broken []string, err error) {
	const (
		memoryMB = 64
		clients  = 4
		atOnce   = 200
		duration = 95 * time.Second
	)
	if err := w.startAll(memoryMB); err != nil {
		return nil, err
	}
	c, err := w.dial("viewers")
	if err != nil {
		return nil, err
	}
	start := w.now()
	go w.mix(c, 500*time.Millisecond, start+duration-5*time.Second)
	w.sleepUntil(start + 3*time.Second)
	var turnedAway atomic.Int64
	if trouble {
		w.rec("trouble begins: %d bad clients", clients)
		for range clients {
			conn, err := net.Dial("tcp", w.listen)
			if err != nil {
				return nil, err
			}
			defer conn.Close()
			go floodRequests(conn, atOnce, &turnedAway)
		}
	}
	for n := 0; w.now() < start+duration; n++ {
		time.Sleep(100 * time.Millisecond)
		if !w.frontRuns() {
			return []string{"the front has ended"}, nil
		}
		kB, err := w.residentKB()
		if err != nil {
			return nil, err
		}
		if n%20 == 0 {
			w.rec("memory %d kB, turned away %d", kB, turnedAway.Load())
		}
		if kB > memoryMB<<10 {
			broken = append(broken, fmt.Sprintf("the front has %d kB, its limit is %d MB, after it turned away %d requests; the platform kills it",
				kB, memoryMB, turnedAway.Load()))
			w.front.Process.Kill()
			return broken, nil
		}
	}
	return nil, nil
}

// floodRequests keeps n requests open on a connection: each that is turned away is asked again, under a new id.
func floodRequests(conn net.Conn, n int, turnedAway *atomic.Int64) {
	ask := func(n int) {
		var b strings.Builder
		for range n {
			fmt.Fprintf(&b, `{"msg":"open","sid":"%016x","attrs":{"class":"replay","left":"25","key":"0000000000000001",`+
				`"extras":"home:1;copies:3;top:4;viewer:%016x"},"text":"o=viewer\r\n"}`+"\n", rand.Uint64()|1, rand.Uint64())
		}
		conn.Write([]byte(b.String()))
	}
	ask(n)
	r := bufio.NewReaderSize(conn, 1<<16)
	for count := 1; ; count++ {
		if _, err := r.ReadSlice('\n'); err != nil {
			return
		}
		turnedAway.Add(1)
		if count%50 == 0 {
			ask(50)
		}
	}
}

// residentKB returns the memory that the front's process holds.
func (w *world) residentKB() (kB int, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.front.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, err := fmt.Sscanf(strings.TrimSpace(v), "%d", &kB)
			return kB, err
		}
	}
	return 0, fmt.Errorf("no VmRSS of the front")
}
