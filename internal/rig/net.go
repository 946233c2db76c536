// Package rig injects faults between real fronts of a fleet: every ordered pair of them communicates through a relay
// of its own, TCP and UDP, that can drop, delay, cut one way, stall, reset and restore traffic. It is for tests and
// scripted days; it runs outside the fronts and may import the stand-ins, the day and the auditor.
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

// Fault is what a relay does to the traffic in one direction.
type Fault struct {
	Cut   bool          // nothing is passed on; connections stay open
	Stall bool          // connections are accepted, and their data is held back until the stall ends
	Loss  float64       // share of datagrams that are dropped
	Delay time.Duration // of all data
}

// Net is a set of relays between fronts.
type Net struct {
	mu     sync.Mutex
	faults map[[2]int]Fault
	rng    *rand.Rand
	relays []*relay
	group  sync.WaitGroup
	closed bool
	conns  map[net.Conn][2]int
}

// relay passes on what one front sends to another, and the replies on its TCP connections.
type relay struct {
	n        *Net
	from, to int
	addr     string // where the sending front connects to
	target   string // where the receiving front listens
	listener net.Listener
	udp      net.PacketConn
}

// NewNet makes relays between all ordered pairs of fronts, given the addresses at which they listen.
func NewNet(seed int64, listen []string) (*Net, error) {
	n := &Net{faults: map[[2]int]Fault{}, rng: rand.New(rand.NewSource(seed)), conns: map[net.Conn][2]int{}}
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

// listen opens a TCP and a UDP socket on one port and starts relaying.
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
		r.listener, r.addr = ln, ln.Addr().String()
		r.n.group.Add(2)
		go r.accept()
		go r.forwardDatagrams()
		return nil
	}
	return fmt.Errorf("rig: no port for the relay from %d to %d", r.from, r.to)
}

// Address returns the address at which one front reaches another.
func (n *Net) Address(from, to int) string {
	for _, r := range n.relays {
		if r.from == from && r.to == to {
			return r.addr
		}
	}
	return ""
}

// Set sets the fault of the traffic from one front to another.
func (n *Net) Set(from, to int, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]int{from, to}] = f
}

// Between sets the fault of the traffic between two groups of fronts, both ways.
func (n *Net) Between(left, right []int, f Fault) {
	for _, a := range left {
		for _, b := range right {
			n.Set(a, b, f)
			n.Set(b, a, f)
		}
	}
}

// Heal ends all faults.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[[2]int]Fault{}
}

// Reset resets the connections between two fronts.
func (n *Net) Reset(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, pair := range n.conns {
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

func (n *Net) random() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// Close closes all relays and their connections.
func (n *Net) Close() error {
	n.mu.Lock()
	n.closed = true
	for c := range n.conns {
		c.Close()
	}
	n.mu.Unlock()
	for _, r := range n.relays {
		r.listener.Close()
		r.udp.Close()
	}
	n.group.Wait()
	return nil
}

// accept accepts connections and relays each in its own goroutine.
func (r *relay) accept() {
	defer r.n.group.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.n.track(c, r.from, r.to) {
			c.Close()
			return
		}
		r.n.group.Add(1)
		go r.forward(c)
	}
}

// track keeps a connection to be closed by Reset or Close; it returns false if the relays are closed.
func (n *Net) track(c net.Conn, from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = [2]int{from, to}
	return true
}

// closeTracked closes a tracked connection.
func (n *Net) closeTracked(c net.Conn) {
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	c.Close()
}

// forward relays a connection: data to the target is subject to the fault of that direction, replies to the other
// one's.
func (r *relay) forward(client net.Conn) {
	defer r.n.group.Done()
	defer r.n.closeTracked(client)
	if f := r.n.fault(r.from, r.to); f.Cut { // emulates an unanswered connect: on loopback, a silent connection
		io.Copy(io.Discard, client)
		return
	}
	server, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	if !r.n.track(server, r.from, r.to) {
		server.Close()
		return
	}
	defer r.n.closeTracked(server)
	done := make(chan struct{}, 2)
	copyOneWay := func(dst, src net.Conn, from, to int) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 16<<10)
		for {
			k, err := src.Read(b)
			if k > 0 {
				for r.n.fault(from, to).Stall && !r.n.isClosed() {
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
	go copyOneWay(server, client, r.from, r.to)
	go copyOneWay(client, server, r.to, r.from)
	<-done
	<-done
}

// isClosed reports whether Close was called.
func (n *Net) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// dialDatagrams opens a UDP socket to a front. Its own address is not that of the fronts: the system may give it the port
// that is reserved, for TCP only, for a front that has yet to start.
func dialDatagrams(target string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	return dialer.Dial("udp", target)
}

// forwardDatagrams relays datagrams.
func (r *relay) forwardDatagrams() {
	defer r.n.group.Done()
	out, err := dialDatagrams(r.target)
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
		if f.Cut || f.Stall || f.Loss > 0 && r.n.random() < f.Loss {
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
