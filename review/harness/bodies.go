package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// bigBodies: six bad clients each send 60 MB of requests of a class that doesn't exist, once, at full speed. The usual
// viewers' requests must be answered all the same.
func bigBodies(w *world, trouble bool) (broken []string, err error) {
	const (
		memoryMB = 2048
		clients  = 6
		bodyMB   = 60
		lateness = 550 * time.Millisecond // an answer that comes later after the viewer's time counts as lost
	)
	if err := w.startAll(memoryMB); err != nil {
		return nil, err
	}
	c, err := w.dial("viewers")
	if err != nil {
		return nil, err
	}
	start := w.now()
	go w.mix(c, 200*time.Millisecond, start+12*time.Second)
	w.sleepUntil(start + 3*time.Second)
	if trouble {
		w.rec("trouble begins: %d bad clients send %d MB each", clients, bodyMB)
		for i := range clients {
			conn, err := net.Dial("tcp", w.listen)
			if err != nil {
				return nil, err
			}
			defer conn.Close()
			go w.sendBody(fmt.Sprintf("bad client %d", i), conn, bodyMB<<20)
		}
	}
	for w.now() < start+19*time.Second {
		time.Sleep(time.Second)
		if !w.frontRuns() {
			return []string{"the front has ended"}, nil
		}
		kB, err := w.residentKB()
		if err != nil {
			return nil, err
		}
		w.rec("memory of the front: %d kB", kB)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		broken = append(broken, "the front has closed the viewers' connection")
	}
	for _, r := range c.requests {
		answered := r.ready
		if answered == 0 {
			answered = r.closed
		}
		switch limit := r.sentAt + r.wait + lateness; {
		case answered == 0 && w.now() > limit:
			broken = append(broken, fmt.Sprintf("%016x, sent at %.3f with %v left, has no answer at %.3f", r.sid,
				r.sentAt.Seconds(), r.wait, w.now().Seconds()))
		case answered > limit:
			broken = append(broken, fmt.Sprintf("%016x, sent at %.3f with %v left, was answered at %.3f", r.sid,
				r.sentAt.Seconds(), r.wait, answered.Seconds()))
		}
	}
	w.rec("%d requests of the usual viewers, %d lost", len(c.requests), len(broken))
	return broken, nil
}

// sendBody sends requests that can't be used until size bytes are written, and reads what comes back.
func (w *world) sendBody(name string, conn net.Conn, size int) {
	go io.Copy(io.Discard, conn)
	sent := 0
	for sent < size {
		var b strings.Builder
		for range 200 {
			fmt.Fprintf(&b, `{"msg":"open","sid":"%016x","attrs":{"class":"no-such-class","left":"1000",`+
				`"key":"0000000000000001","extras":"home:1;copies:3;top:4;viewer:%016x"},"text":"o=viewer\r\n"}`+"\n",
				rand.Uint64()|1, rand.Uint64())
		}
		n, err := conn.Write([]byte(b.String()))
		if sent += n; err != nil {
			w.rec("%s: %v after %d bytes", name, err, sent)
			return
		}
	}
	w.rec("%s: all sent, %d bytes", name, sent)
}
