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

// BenchmarkUsualClientsInAFlood tells how many of 1,000 requests, each on a new connection, are closed unanswered while bursts of 300
// clients connect and say nothing: one flood an iteration.
func BenchmarkUsualClientsInAFlood(b *testing.B) {
	for b.Loop() {
		w := platformsim.NewWorld()
		s, err := platformsim.NewServer(w, 0)
		if err != nil {
			b.Fatal(err)
		}
		p := start(b, siteSettings(), listOf([]*platformsim.Server{s}, 0), "", 256, "env", "GOMAXPROCS=1")
		p.ready()
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
						if c, err := net.DialTimeout("tcp", p.addr, time.Second); err == nil {
							held = append(held, c)
							idle.Add(1)
						}
					}
					for len(held) > 1500 { // this process has descriptors to keep to, too
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
			v, err := platformsim.Dial(w, p.addr)
			if err != nil {
				b.Fatal(err)
			}
			v.Write(strings.Replace(platformsim.Form(sid, "only", 1500*time.Millisecond, ""), "copies:3", "copies:1", 1))
			select {
			case l := <-v.Lines:
				if l.Msg == wire.LineReady {
					plays++
					v.GiveUp(sid)
				} else {
					refused++
				}
			case <-v.Ended:
				closed++
			case <-time.After(3 * time.Second):
				b.Fatalf("no answer: %s", p.log.String())
			}
			v.Close()
			time.Sleep(8 * time.Millisecond)
		}
		close(stop)
		flood.Wait()
		b.ReportMetric(float64(plays), "plays")
		b.ReportMetric(float64(refused), "refused")
		b.ReportMetric(float64(closed), "closed")
		b.ReportMetric(float64(idle.Load()), "idle")
		p.cmd.Process.Kill()
		<-p.ended
		s.Die()
	}
}
