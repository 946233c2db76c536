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

// members is the membership of the fleet, kept by memberlist: which fronts are present, and the messages between
// them.
type members struct {
	list         *memberlist.Memberlist
	name         string
	logger       zerolog.Logger
	onMessage    func(from string, b []byte) // must not block
	onChange     func()                      // a member joined, left or changed its metadata; must not block
	mu           sync.Mutex
	meta         []byte
	metaChanged  chan struct{}
	present      map[string]member      // copies, as memberlist keeps writing to its own nodes
	streamQueues map[string]chan []byte // large messages, by receiver; one goroutine each
	stop         chan struct{}
	group        sync.WaitGroup
	seeds        []string

	Dropped   atomic.Uint64 // messages dropped because a queue here was full
	Refused   atomic.Uint64 // messages that were refused: wrong key, another fleet, or damaged
	bytes     atomic.Uint64
	Conflicts atomic.Uint64 // fronts that joined with a name that is in use
}

// member is another front that is present.
type member struct {
	node memberlist.Node
	meta core.Meta
}

// Limits and times of membership.
const (
	maxDatagramBytes  = 1200 // bytes; larger messages go by a stream
	maxQueuedMessages = 64   // large messages queued for one receiver
	joinInterval      = 2 * time.Second
	streamTimeout     = 2 * time.Second
	metaTimeout       = 5 * time.Second
	logRepeatInterval = 10 * time.Minute // the same message is logged at most once in this time
	maxLogKeys        = 64               // different messages remembered
	leaveTimeout      = 500 * time.Millisecond
)

// newMembers joins the fleet's membership. Neither onMessage nor onChange may block.
func newMembers(cfg Config, log zerolog.Logger, onMessage func(string, []byte), onChange func()) (*members, error) {
	m := &members{name: cfg.Name, logger: log, onMessage: onMessage, onChange: onChange,
		metaChanged: make(chan struct{}, 1), present: map[string]member{}, streamQueues: map[string]chan []byte{},
		stop: make(chan struct{}), seeds: cfg.Join}
	host, port, err := splitAddress(cfg.Listen)
	if err != nil {
		return nil, err
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort = cfg.Name, host, port
	c.AdvertiseAddr, c.AdvertisePort = host, port
	if cfg.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = splitAddress(cfg.Advertise); err != nil {
			return nil, err
		}
	}
	c.Label, c.RequireNodeNames = cfg.Cluster, false
	c.TCPTimeout = streamTimeout
	c.PushPullInterval = 15 * time.Second
	c.ProbeTimeout, c.ProbeInterval = 400*time.Millisecond, 800*time.Millisecond
	c.SuspicionMult = 3
	c.Delegate, c.Events, c.Conflict = delegate{m}, delegate{m}, delegate{m}
	c.Logger = newMemberlistLogger(m)
	if len(cfg.Keys) > 0 {
		if c.Keyring, err = memberlist.NewKeyring(cfg.Keys, cfg.Keys[0]); err != nil {
			return nil, fmt.Errorf("fleet: keys: %w", err)
		}
	}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host},
		BindPort: port, Logger: c.Logger})
	if err != nil {
		return nil, fmt.Errorf("fleet: listen on %s: %w", cfg.Listen, err)
	}
	c.Transport = translatingTransport{transport, cfg.Via, &m.bytes}
	m.meta = []byte("{}")
	if m.list, err = memberlist.Create(c); err != nil {
		transport.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	m.group.Add(2)
	go m.join()
	go m.publishMeta()
	return m, nil
}

// splitAddress splits HOST:PORT.
func splitAddress(addr string) (string, int, error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, fmt.Errorf("fleet: %w", err)
	}
	port, err := strconv.Atoi(text)
	return host, port, err
}

// translatingTransport reaches members, by name, at other addresses than they advertise: there may be address
// translation between zones.
type translatingTransport struct {
	*memberlist.NetTransport
	addresses map[string]string
	bytes     *atomic.Uint64 // sent in datagrams, and both ways on streams opened here
}

func (v translatingTransport) translate(a memberlist.Address) memberlist.Address {
	if other, ok := v.addresses[a.Name]; ok {
		a.Addr = other
	}
	return a
}

func (v translatingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	v.bytes.Add(uint64(len(b)))
	return v.NetTransport.WriteToAddress(b, v.translate(a))
}

func (v translatingTransport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	c, err := v.NetTransport.DialAddressTimeout(v.translate(a), d)
	if err != nil {
		return nil, err
	}
	return countedConn{c, v.bytes}, nil
}

// countedConn counts the bytes that a stream carries.
type countedConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// join keeps contacting the seeds that are not present: after a network partition nothing else would rejoin them.
func (m *members) join() {
	defer m.group.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-timer.C:
		}
		present := map[string]bool{m.name: true}
		for _, x := range m.all() {
			present[x.Name] = true
		}
		for _, s := range m.seeds { // NAME=ADDRESS, or an address, which is contacted while no other front is present
			name, addr, named := strings.Cut(s, "=")
			if !named {
				name, addr = "", s
			}
			if named && present[name] || !named && len(present) > 1 {
				continue
			}
			if named {
				addr = name + "/" + addr
			}
			m.list.Join([]string{addr}) // memberlist logs its errors
		}
		timer.Reset(joinInterval)
	}
}

// send sends a message: a small one at once as a datagram, a large one over a stream, by the receiver's own
// goroutine.
func (m *members) send(to string, b []byte) {
	message := append([]byte{byte(len(m.name))}, m.name...)
	message = append(message, b...)
	if len(message) <= maxDatagramBytes {
		if n := m.find(to); n != nil {
			m.list.SendBestEffort(n, message)
		}
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := m.streamQueues[to]
	if ch == nil {
		ch = make(chan []byte, maxQueuedMessages)
		m.streamQueues[to] = ch
		m.group.Add(1)
		go m.stream(to, ch)
	}
	select {
	case ch <- message:
	default:
		m.Dropped.Add(1)
	}
}

// stream sends the large messages that are queued for one receiver.
func (m *members) stream(to string, ch chan []byte) {
	defer m.group.Done()
	for {
		select {
		case <-m.stop:
			return
		case b := <-ch:
			if n := m.find(to); n != nil {
				m.list.SendReliable(n, b)
			}
		}
	}
}

// find returns a present member's node, nil if there is none of that name.
func (m *members) find(name string) *memberlist.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x, ok := m.present[name]; ok {
		return &x.node
	}
	return nil
}

// all returns the members that are present.
func (m *members) all() (list []core.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, x := range m.present {
		list = append(list, core.Member{Name: name, Alive: true, Meta: x.meta})
	}
	return list
}

// update stores a member that memberlist reports as joined or changed.
func (m *members) update(n *memberlist.Node) {
	if n.Name == m.name {
		return
	}
	x := member{node: *n}
	json.Unmarshal(n.Meta, &x.meta) // a newer version may send fields that are unknown here
	m.mu.Lock()
	m.present[n.Name] = x
	m.mu.Unlock()
	m.onChange()
}

// setMeta sets this front's metadata and has it published to all members.
func (m *members) setMeta(meta core.Meta) error {
	b, err := json.Marshal(meta)
	if err == nil && len(b) > memberlist.MetaMaxSize {
		err = errors.New("too long")
	}
	if err != nil {
		return fmt.Errorf("fleet: metadata of this front: %w", err)
	}
	m.mu.Lock()
	m.meta = b
	m.mu.Unlock()
	select {
	case m.metaChanged <- struct{}{}:
	default:
	}
	return nil
}

// publishMeta sends this front's metadata to the members after each change.
func (m *members) publishMeta() {
	defer m.group.Done()
	for {
		select {
		case <-m.stop:
			return
		case <-m.metaChanged:
			m.list.UpdateNode(metaTimeout)
		}
	}
}

func (m *members) close() {
	close(m.stop)
	m.list.Leave(leaveTimeout)
	m.list.Shutdown()
	m.group.Wait()
}

// delegate receives memberlist's callbacks.
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
	d.m.onMessage(string(b[1:n]), append([]byte(nil), b[n:]...))
}

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (d delegate) LocalState(join bool) []byte                { return nil }
func (d delegate) MergeRemoteState(buf []byte, join bool)     {}
func (d delegate) NotifyJoin(n *memberlist.Node)              { d.m.update(n) }
func (d delegate) NotifyUpdate(n *memberlist.Node)            { d.m.update(n) }

func (d delegate) NotifyLeave(n *memberlist.Node) {
	d.m.mu.Lock()
	delete(d.m.present, n.Name)
	d.m.mu.Unlock()
	d.m.onChange()
}

func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.m.Conflicts.Add(1)
	d.m.logger.Error().Str("name", existing.Name).Str("here", existing.Address()).Str("refused", other.Address()).
		Msg("two fronts of one name: the second is refused")
}

// memberlistLog passes memberlist's warnings and errors to the log, each at most once in logRepeatInterval, and
// counts the messages that memberlist refused.
type memberlistLog struct {
	m          *members
	mu         sync.Mutex
	lastLogged map[string]time.Time
}

func newMemberlistLogger(m *members) *log.Logger {
	return log.New(&memberlistLog{m: m, lastLogged: map[string]time.Time{}}, "", 0)
}

func (c *memberlistLog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if !strings.HasPrefix(text, "[ERR]") && !strings.HasPrefix(text, "[WARN]") {
		return len(b), nil
	}
	for _, marker := range []string{"ecrypt", "label", "encrypt", "message type", "version"} {
		if strings.Contains(text, marker) {
			c.m.Refused.Add(1)
			break
		}
	}
	key, _, _ := strings.Cut(strings.TrimPrefix(text, "[ERR] memberlist: "), ":")
	key = strings.TrimRight(key, "0123456789.:")
	c.mu.Lock()
	loggedAt, known := c.lastLogged[key]
	if !known && len(c.lastLogged) >= maxLogKeys || known && time.Since(loggedAt) < logRepeatInterval {
		c.mu.Unlock()
		return len(b), nil
	}
	c.lastLogged[key] = time.Now()
	c.mu.Unlock()
	c.m.logger.Warn().Str("from", "members").Msg(text)
	return len(b), nil
}
