package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"tealledge/internal/fleet/core"
)

// members is the membership of the fleet, by memberlist: who is here, and letters between those who are.
type members struct {
	list  *memberlist.Memberlist
	name  string
	log   zerolog.Logger
	inbox func(from string, b []byte) // must not wait
	stir  func()                      // something about members has changed
	mu    sync.Mutex
	meta  []byte
	told  chan struct{}
	here  map[string]member      // copies: memberlist goes on writing to its own
	sends map[string]chan []byte // large letters, by receiver; one goroutine each
	end   chan struct{}
	group sync.WaitGroup
	seeds []string

	Dropped  atomic.Uint64 // letters that found no room here
	Refused  atomic.Uint64 // what memberlist would not take: another key, another fleet, damaged
	bytes    atomic.Uint64
	Conflict atomic.Uint64 // fronts that came under a name that is in use
}

// member is another front that is here.
type member struct {
	node memberlist.Node
	meta core.Meta
}

// Spans and bounds of membership.
const (
	packetMost  = 1200 // bytes of a letter that goes in one datagram
	sendsMost   = 64   // large letters that wait for one receiver
	joinEvery   = 2 * time.Second
	streamWait  = 2 * time.Second
	metaWait    = 5 * time.Second
	saidAgain   = 10 * time.Minute // the same complaint is told once in so long
	complaints  = 64               // different ones remembered
	leaveWithin = 500 * time.Millisecond
)

func newMembers(cfg Config, log zerolog.Logger, inbox func(string, []byte), stir func()) (*members, error) {
	m := &members{name: cfg.Name, log: log, inbox: inbox, stir: stir, told: make(chan struct{}, 1), here: map[string]member{}, sends: map[string]chan []byte{},
		end: make(chan struct{}), seeds: cfg.Join}
	host, port, err := split(cfg.Listen)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort = cfg.Name, host, port
	c.AdvertiseAddr, c.AdvertisePort = host, port
	if cfg.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = split(cfg.Advertise); err != nil {
			return nil, err
		}
	}
	c.Label, c.RequireNodeNames = cfg.Cluster, false
	c.TCPTimeout = streamWait
	c.PushPullInterval = 15 * time.Second
	c.ProbeTimeout, c.ProbeInterval = 400*time.Millisecond, 800*time.Millisecond
	c.SuspicionMult = 3
	c.Delegate, c.Events, c.Conflict = delegate{m}, delegate{m}, delegate{m}
	c.Logger = stdLog(m)
	if len(cfg.Keys) > 0 {
		if c.Keyring, err = memberlist.NewKeyring(cfg.Keys, cfg.Keys[0]); err != nil {
			return nil, fmt.Errorf("fleet: keys: %w", err)
		}
	}
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: c.Logger})
	if err != nil {
		return nil, fmt.Errorf("fleet: listen on %s: %w", cfg.Listen, err)
	}
	c.Transport = via{nt, cfg.Via, &m.bytes}
	m.meta = []byte("{}")
	if m.list, err = memberlist.Create(c); err != nil {
		nt.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	m.group.Add(2)
	go m.join()
	go m.tellMeta()
	return m, nil
}

func split(addr string) (string, int, error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, fmt.Errorf("fleet: %w", err)
	}
	port, err := strconv.Atoi(text)
	return host, port, err
}

// via reaches members at other addresses than they tell, by their names: what lies between zones may translate them.
type via struct {
	*memberlist.NetTransport
	at    map[string]string
	bytes *atomic.Uint64 // in datagrams that were sent, and both ways in streams that were opened here
}

func (v via) to(a memberlist.Address) memberlist.Address {
	if other, ok := v.at[a.Name]; ok {
		a.Addr = other
	}
	return a
}

func (v via) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	v.bytes.Add(uint64(len(b)))
	return v.NetTransport.WriteToAddress(b, v.to(a))
}

func (v via) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	c, err := v.NetTransport.DialAddressTimeout(v.to(a), d)
	if err != nil {
		return nil, err
	}
	return counted{c, v.bytes}, nil
}

// counted counts what a stream carries.
type counted struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// join keeps asking the seeds that are not here: after a split nobody else would.
func (m *members) join() {
	defer m.group.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.end:
			return
		case <-timer.C:
		}
		here := map[string]bool{m.name: true}
		for _, x := range m.all() {
			here[x.Name] = true
		}
		for _, s := range m.seeds { // NAME=ADDRESS or an address alone, which is asked while nobody is here
			name, addr, named := strings.Cut(s, "=")
			if !named {
				name, addr = "", s
			}
			if named && here[name] || !named && len(here) > 1 {
				continue
			}
			if named {
				addr = name + "/" + addr
			}
			m.list.Join([]string{addr}) // its complaint is logged
		}
		timer.Reset(joinEvery)
	}
}

// send passes a letter on: small ones as a datagram at once, large ones by a stream, in a goroutine of the receiver's own.
func (m *members) send(to string, b []byte) {
	letter := append([]byte{byte(len(m.name))}, m.name...)
	letter = append(letter, b...)
	if len(letter) <= packetMost {
		if n := m.find(to); n != nil {
			m.list.SendBestEffort(n, letter)
		}
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := m.sends[to]
	if ch == nil {
		ch = make(chan []byte, sendsMost)
		m.sends[to] = ch
		m.group.Add(1)
		go m.stream(to, ch)
	}
	select {
	case ch <- letter:
	default:
		m.Dropped.Add(1)
	}
}

func (m *members) stream(to string, ch chan []byte) {
	defer m.group.Done()
	for {
		select {
		case <-m.end:
			return
		case b := <-ch:
			if n := m.find(to); n != nil {
				m.list.SendReliable(n, b)
			}
		}
	}
}

func (m *members) find(name string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x, ok := m.here[name]; ok {
		return &x.node
	}
	return nil
}

// all gives the members that are here.
func (m *members) all() (list []core.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, x := range m.here {
		list = append(list, core.Member{Name: name, Alive: true, Meta: x.meta})
	}
	return list
}

// seen takes a member over, as memberlist tells of it.
func (m *members) seen(n *memberlist.Node) {
	if n.Name == m.name {
		return
	}
	x := member{node: *n}
	json.Unmarshal(n.Meta, &x.meta) // one of a newer version may hold what is not known here
	m.mu.Lock()
	m.here[n.Name] = x
	m.mu.Unlock()
	m.stir()
}

// tell has all others told a new meta.
func (m *members) tell(meta core.Meta) error {
	b, err := json.Marshal(meta)
	if err == nil && len(b) > memberlist.MetaMaxSize {
		err = errors.New("too long")
	}
	if err != nil {
		return fmt.Errorf("fleet: what this front tells of itself: %w", err)
	}
	m.mu.Lock()
	m.meta = b
	m.mu.Unlock()
	select {
	case m.told <- struct{}{}:
	default:
	}
	return nil
}

func (m *members) tellMeta() {
	defer m.group.Done()
	for {
		select {
		case <-m.end:
			return
		case <-m.told:
			m.list.UpdateNode(metaWait)
		}
	}
}

func (m *members) close() {
	close(m.end)
	m.list.Leave(leaveWithin)
	m.list.Shutdown()
	m.group.Wait()
}

// delegate is what memberlist asks and tells.
type delegate struct{ m *members }

func (d delegate) NodeMeta(limit int) []byte {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	return d.m.meta
}

func (d delegate) NotifyMsg(b []byte) {
	if len(b) < 1 || len(b) < 1+int(b[0]) || b[0] == 0 {
		d.m.Refused.Add(1)
		return
	}
	n := 1 + int(b[0])
	d.m.inbox(string(b[1:n]), append([]byte(nil), b[n:]...))
}

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (d delegate) LocalState(join bool) []byte                { return nil }
func (d delegate) MergeRemoteState(buf []byte, join bool)     {}
func (d delegate) NotifyJoin(n *memberlist.Node)              { d.m.seen(n) }
func (d delegate) NotifyUpdate(n *memberlist.Node)            { d.m.seen(n) }

func (d delegate) NotifyLeave(n *memberlist.Node) {
	d.m.mu.Lock()
	delete(d.m.here, n.Name)
	d.m.mu.Unlock()
	d.m.stir()
}

func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.m.Conflict.Add(1)
	d.m.log.Error().Str("name", existing.Name).Str("here", existing.Address()).Str("refused", other.Address()).Msg("two fronts of one name: the second is refused")
}

// complaintLog tells memberlist's own lines, the same one once in a while, and counts what it refused.
type complaintLog struct {
	m    *members
	mu   sync.Mutex
	said map[string]time.Time
}

func stdLog(m *members) *log.Logger {
	return log.New(&complaintLog{m: m, said: map[string]time.Time{}}, "", 0)
}

func (c *complaintLog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if !strings.HasPrefix(text, "[ERR]") && !strings.HasPrefix(text, "[WARN]") {
		return len(b), nil
	}
	for _, of := range []string{"ecrypt", "label", "encrypt", "message type", "version"} {
		if strings.Contains(text, of) {
			c.m.Refused.Add(1)
			break
		}
	}
	key, _, _ := strings.Cut(strings.TrimPrefix(text, "[ERR] memberlist: "), ":")
	key = strings.TrimRight(key, "0123456789.:")
	c.mu.Lock()
	at, known := c.said[key]
	if !known && len(c.said) >= complaints || known && time.Since(at) < saidAgain {
		c.mu.Unlock()
		return len(b), nil
	}
	c.said[key] = time.Now()
	c.mu.Unlock()
	c.m.log.Warn().Str("from", "members").Msg(text)
	return len(b), nil
}
