// Package rig puts faults between real fronts of a fleet: every ordered pair of them talks through a relay of its own, TCP
// and UDP, that can drop, delay, cut one way, stall, reset and let through again. It is for tests and scripted days; it
// stands outside the fronts and may import the stand-ins, the day and the auditor.
package rig

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"sync"
	"time"
)

// Fault is what a relay does to what goes one way.
type Fault struct {
	Cut   bool          // nothing gets through; connections stay as they are
	Stall bool          // connections are accepted and nothing is passed on, but kept: it comes when the stall ends
	Loss  float64       // share of datagrams that are lost
	Delay time.Duration // of all
}

// Net is the relays between some fronts.
type Net struct {
	mu     sync.Mutex
	faults map[[2]int]Fault
	rng    *rand.Rand
	relays []*relay
	group  sync.WaitGroup
	closed bool
	live   map[net.Conn][2]int
}

type relay struct {
	n        *Net
	from, to int
	addr     string // where the one connects
	target   string // where the other listens
	ln       net.Listener
	udp      net.PacketConn
}

// NewNet makes relays between all pairs of fronts, given where each listens.
func NewNet(seed int64, listen []string) (*Net, error) {
	n := &Net{faults: map[[2]int]Fault{}, rng: rand.New(rand.NewSource(seed)), live: map[net.Conn][2]int{}}
	for from := range listen {
		for to := range listen {
			if from == to {
				continue
			}
			r := &relay{n: n, from: from, to: to, target: listen[to]}
			if err := r.listen(); err != nil {
				return nil, errors.Join(err, n.Close())
			}
			n.relays = append(n.relays, r)
		}
	}
	return n, nil
}

func (r *relay) listen() error {
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		if r.udp, err = net.ListenPacket("udp", ln.Addr().String()); err != nil {
			ln.Close()
			continue
		}
		r.ln, r.addr = ln, ln.Addr().String()
		r.n.group.Add(2)
		go r.accept()
		go r.packets()
		return nil
	}
	return fmt.Errorf("rig: no port for the relay from %d to %d", r.from, r.to)
}

// Via is where one front reaches another.
func (n *Net) Via(from, to int) string {
	for _, r := range n.relays {
		if r.from == from && r.to == to {
			return r.addr
		}
	}
	return ""
}

// Set sets what happens to all that goes from one front to another.
func (n *Net) Set(from, to int, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]int{from, to}] = f
}

// Between sets both ways between two groups.
func (n *Net) Between(left, right []int, f Fault) {
	for _, a := range left {
		for _, b := range right {
			n.Set(a, b, f)
			n.Set(b, a, f)
		}
	}
}

// Heal lets all through again.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[[2]int]Fault{}
}

// Reset breaks the connections between two fronts.
func (n *Net) Reset(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, pair := range n.live {
		if pair == [2]int{a, b} || pair == [2]int{b, a} {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

func (n *Net) fault(from, to int) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[[2]int{from, to}]
}

func (n *Net) draw() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// Close ends all relays.
func (n *Net) Close() error {
	n.mu.Lock()
	n.closed = true
	for c := range n.live {
		c.Close()
	}
	n.mu.Unlock()
	for _, r := range n.relays {
		r.ln.Close()
		r.udp.Close()
	}
	n.group.Wait()
	return nil
}

func (r *relay) accept() {
	defer r.n.group.Done()
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		if !r.n.hold(c, r.from, r.to) {
			c.Close()
			return
		}
		r.n.group.Add(1)
		go r.carry(c)
	}
}

func (n *Net) hold(c net.Conn, from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.live[c] = [2]int{from, to}
	return true
}

func (n *Net) let(c net.Conn) {
	n.mu.Lock()
	delete(n.live, c)
	n.mu.Unlock()
	c.Close()
}

// carry passes a connection on: what goes there by the one way's fault, what comes back by the other's.
func (r *relay) carry(c net.Conn) {
	defer r.n.group.Done()
	defer r.n.let(c)
	if f := r.n.fault(r.from, r.to); f.Cut { // a connect that nobody answers: on loopback, one that is silent
		io.Copy(io.Discard, c)
		return
	}
	d, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	if !r.n.hold(d, r.from, r.to) {
		d.Close()
		return
	}
	defer r.n.let(d)
	done := make(chan struct{}, 2)
	pass := func(dst, src net.Conn, from, to int) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 16<<10)
		for {
			k, err := src.Read(b)
			if k > 0 {
				for r.n.fault(from, to).Stall && !r.n.over() {
					time.Sleep(10 * time.Millisecond)
				}
				f := r.n.fault(from, to)
				time.Sleep(f.Delay)
				if !f.Cut {
					if _, err := dst.Write(b[:k]); err != nil {
						return
					}
				}
			}
			if err != nil {
				if t, ok := dst.(*net.TCPConn); ok {
					t.CloseWrite()
				}
				return
			}
		}
	}
	go pass(d, c, r.from, r.to)
	go pass(c, d, r.to, r.from)
	<-done
	<-done
}

func (n *Net) over() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

func (r *relay) packets() {
	defer r.n.group.Done()
	out, err := net.Dial("udp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	b := make([]byte, 64<<10)
	for {
		k, _, err := r.udp.ReadFrom(b)
		if err != nil {
			return
		}
		f := r.n.fault(r.from, r.to)
		if f.Cut || f.Stall || f.Loss > 0 && r.n.draw() < f.Loss {
			continue
		}
		if f.Delay > 0 {
			p := append([]byte(nil), b[:k]...)
			time.AfterFunc(f.Delay, func() { out.Write(p) })
			continue
		}
		out.Write(b[:k])
	}
}
