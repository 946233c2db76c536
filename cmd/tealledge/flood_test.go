package main

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// BenchmarkRequestsDuringConnectionFlood measures how many of 1,000 requests, each on a new connection, are closed
// without a reply while bursts of 300 clients connect and send nothing. Each iteration is one flood.
func BenchmarkRequestsDuringConnectionFlood(b *testing.B) {
	for b.Loop() {
		world := platformsim.NewWorld()
		server, err := platformsim.NewServer(world, 0)
		if err != nil {
			b.Fatal(err)
		}
		front := startFront(b, siteSettings(), serverListEvents([]*platformsim.Server{server}, 0), "", 256, "env",
			"GOMAXPROCS=1")
		front.waitReady()
		var idle atomic.Int64
		var flood sync.WaitGroup
		stop := make(chan struct{})
		for range 4 {
			flood.Go(func() {
				var held []net.Conn
				defer func() {
					for _, c := range held {
						c.Close()
					}
				}()
				for {
					for range 75 {
						if c, err := net.DialTimeout("tcp", front.addr, time.Second); err == nil {
							held = append(held, c)
							idle.Add(1)
						}
					}
					for len(held) > 1500 { // this process has a descriptor limit, too
						held[0].Close()
						held = held[1:]
					}
					select {
					case <-stop:
						return
					case <-time.After(300 * time.Millisecond):
					}
				}
			})
		}
		plays, refused, closed := 0, 0, 0
		for sid := uint64(1000); sid < 2000; sid++ {
			viewer, err := platformsim.Dial(world, front.addr)
			if err != nil {
				b.Fatal(err)
			}
			viewer.Write(strings.Replace(platformsim.OpenLine(sid, "only", 1500*time.Millisecond, ""),
				"copies:3", "copies:1", 1))
			select {
			case line := <-viewer.Lines:
				if line.Msg == wire.LineReady {
					plays++
					viewer.Cancel(sid)
				} else {
					refused++
				}
			case <-viewer.Closed:
				closed++
			case <-time.After(3 * time.Second):
				b.Fatalf("no reply: %s", front.log.String())
			}
			viewer.Close()
			time.Sleep(8 * time.Millisecond)
		}
		close(stop)
		flood.Wait()
		b.ReportMetric(float64(plays), "plays")
		b.ReportMetric(float64(refused), "refused")
		b.ReportMetric(float64(closed), "closed")
		b.ReportMetric(float64(idle.Load()), "idle")
		front.cmd.Process.Kill()
		<-front.ended
		server.Kill()
	}
}
