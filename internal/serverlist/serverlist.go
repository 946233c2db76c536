// Package serverlist brings the server list to a front: from Consul's health API over HTTP with blocking queries,
// or from a file; and keeps the last list on disk for the next start. What is believed of an answer is
// decide/serverview' choice.
package serverlist

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/consul/api"

	"tealledge/decide/addresses"
	"tealledge/internal/config"
	"tealledge/internal/sexp"
	"tealledge/policy"
)

// Entry is a listed server with its addresses. Addr is the one that players are told: the first that can be reached
// over the network.
type Entry struct {
	policy.Entry
	Addr  string
	Paths []addresses.Path
	HTTP  string // HOST:PORT at which it delivers HLS segments; "": it does not
}

// addresses takes the addresses over; what is no address is an error, and none at all is none.
func (e *Entry) addresses(list []string) error {
	var errs []error
	for _, a := range list {
		p, err := addresses.Parse(a)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if e.Addr == "" && p.Family != addresses.Unix {
			e.Addr = p.Addr
		}
		e.Paths = append(e.Paths, p)
	}
	if len(list) > addressesMost {
		errs = append(errs, fmt.Errorf("%d addresses, %d at most", len(list), addressesMost))
	}
	return errors.Join(errs...)
}

// addressesMost bounds the addresses of a server.
const addressesMost = 8

// Answer is one answer of a source. Skipped names entries that could not be used.
type Answer struct {
	Index   uint64
	Entries []Entry
	Skipped []string
}

// Source gives the list. Next blocks until there is news after an index, or the source's own wait is over.
type Source interface {
	Next(ctx context.Context, index uint64) (Answer, error)
}

// Follow asks a source until ctx ends and hands on each answer or error; index tells what to ask from. After an
// error it waits, longer each time, up to a few seconds.
func Follow(ctx context.Context, s Source, index func() uint64, answer func(Answer, error)) {
	wait := 100 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		a, err := s.Next(ctx, index())
		if ctx.Err() != nil {
			return
		}
		answer(a, err)
		if err != nil {
			pause(ctx, wait/2+time.Duration(rand.Int63n(int64(wait))))
			wait = min(2*wait, 4*time.Second)
			continue
		}
		wait = 100 * time.Millisecond
		if time.Since(began) < 20*time.Millisecond { // a source that answers at once again and again is not hammered
			pause(ctx, 50*time.Millisecond)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Names turns words of the list into the numbers of the settings.
type Names struct{ Kinds, Zones []string }

func (n Names) index(list []string, word string) (int, error) {
	if word == "" {
		return 0, nil
	}
	for i, w := range list {
		if w == word {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%q is not among %v", word, list)
}

// entry makes an entry of words.
func (n Names) entry(get func(string) string) (e policy.Entry, err error) {
	var errs []error
	num := func(key string, least, most float64) float64 {
		text := get(key)
		if text == "" {
			return least
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= least && v <= most) {
			errs = append(errs, fmt.Errorf("%s: %q is no number from %g to %g", key, text, least, most))
		}
		return v
	}
	id, err := strconv.ParseUint(get("server"), 10, 32)
	if err != nil || id == 0 {
		errs = append(errs, fmt.Errorf("server: %q is no number from 1 to 2^32-1", get("server")))
	}
	e.Server = uint32(id)
	e.Cell = int(num("cell", 0, 1<<20))
	e.Size = num("size", 0, 1e9)
	if get("size") == "" {
		e.Size = 1
	}
	if text := get("started"); text != "" {
		if e.Started, err = strconv.ParseInt(text, 10, 64); err != nil || e.Started < 0 {
			errs = append(errs, fmt.Errorf("started: %q is no time in nanoseconds", text))
		}
	}
	if e.Zone, err = n.index(n.Zones, get("zone")); err != nil {
		errs = append(errs, fmt.Errorf("zone: %w", err))
	}
	if e.Kind, err = n.index(n.Kinds, get("kind")); err != nil {
		errs = append(errs, fmt.Errorf("kind: %w", err))
	}
	return e, errors.Join(errs...)
}

// Consul reads the health of a service (GET /v1/health/service/NAME) with blocking queries.
type Consul struct {
	client  *api.Client
	service string
	names   Names
}

// consulWait is how long a blocking query may wait for news.
const consulWait = 30 * time.Second

// NewConsul makes a source. front names this front to the service, in the header X-Tealledge-Front.
func NewConsul(address, service, front string, names Names) (*Consul, error) {
	c, err := api.NewClient(&api.Config{Address: address})
	if err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	c.AddHeader("X-Tealledge-Front", front)
	return &Consul{c, service, names}, nil
}

// Next asks for what is new after an index.
func (c *Consul) Next(ctx context.Context, index uint64) (Answer, error) {
	opts := (&api.QueryOptions{WaitIndex: index, WaitTime: consulWait}).WithContext(ctx)
	list, meta, err := c.client.Health().Service(c.service, "", false, opts)
	if err != nil {
		return Answer{}, fmt.Errorf("server list: %w", err)
	}
	a := Answer{Index: meta.LastIndex}
	for _, s := range list {
		if s.Node == nil || s.Service == nil {
			a.Skipped = append(a.Skipped, "an entry without node or service")
			continue
		}
		e, err := c.names.entry(func(k string) string {
			if v := s.Service.Meta[k]; v != "" {
				return v
			}
			return s.Node.Meta[k]
		})
		if err != nil {
			a.Skipped = append(a.Skipped, fmt.Sprintf("%s: %v", s.Node.Node, err))
			continue
		}
		e.Health = health(s.Checks)
		out := Entry{Entry: e, HTTP: s.Service.Meta["http"]}
		if err := out.addresses(consulAddresses(s)); err != nil {
			a.Skipped = append(a.Skipped, fmt.Sprintf("%s: %v", s.Node.Node, err))
			continue
		}
		a.Entries = append(a.Entries, out)
	}
	return a, nil
}

// consulAddresses gives a service's addresses: its own (else its node's), the tagged ones of other families, and a Unix
// socket from the metadata. A port of 0 and no address are none.
func consulAddresses(s *api.ServiceEntry) (list []string) {
	add := func(host string, port int) {
		if host != "" && port != 0 {
			list = append(list, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	host := s.Service.Address
	if host == "" {
		host = s.Node.Address
	}
	add(host, s.Service.Port)
	for _, tag := range []string{"lan_ipv4", "lan_ipv6"} {
		t := s.Service.TaggedAddresses[tag]
		add(t.Address, t.Port)
	}
	if path := s.Service.Meta["unix"]; path != "" {
		list = append(list, path)
	}
	return list
}

// health maps checks: maintenance, of node or service, is a drain; any other critical check counts as gone.
func health(checks api.HealthChecks) policy.Health {
	switch checks.AggregatedStatus() {
	case api.HealthMaint:
		return policy.Draining
	case api.HealthCritical:
		return policy.Removed
	}
	return policy.Ready
}

// File reads the list from a file of (server ID (address "HOST:PORT") (cell N) ...) forms.
type File struct {
	Path  string
	Names Names
}

// filePoll is how often a file is looked at.
const filePoll = 300 * time.Millisecond

// Next waits until the file's content differs from that of an index.
func (f *File) Next(ctx context.Context, index uint64) (Answer, error) {
	for {
		text, err := os.ReadFile(f.Path)
		if err != nil {
			return Answer{}, fmt.Errorf("server list: %w", err)
		}
		if sum := xxhash.Sum64(text) >> 1; sum != index {
			entries, err := parse(f.Path, string(text), f.Names)
			return Answer{Index: sum, Entries: entries}, err
		}
		pause(ctx, filePoll)
		if ctx.Err() != nil {
			return Answer{}, ctx.Err()
		}
	}
}

// fields of a server form, besides its id.
var fields = []string{"http", "cell", "zone", "kind", "health", "size", "started"}

func parse(path, text string, names Names) ([]Entry, error) {
	nodes, err := sexp.Read(path, text)
	if err != nil {
		return nil, err
	}
	r := &config.Reader{}
	var out []Entry
	seen := map[uint32]bool{}
	for _, n := range nodes {
		if n.Head() != "server" || len(n.List) < 2 || n.List[1].IsList {
			r.Fail(n, "want (server ID (address \"HOST:PORT\") ...)")
			continue
		}
		got := map[string]string{"server": n.List[1].Text}
		known := map[string]func(*sexp.Node){}
		var addrs []string
		known["address"] = func(n *sexp.Node) {
			for _, a := range n.Args() {
				addrs = append(addrs, a.Text)
			}
		}
		for _, k := range fields {
			known[k] = func(n *sexp.Node) { got[k] = r.Text(n) }
		}
		r.Fields(&sexp.Node{Pos: n.Pos, IsList: true, List: n.List[1:]}, []string{"address"}, known)
		e, err := names.entry(func(k string) string { return got[k] })
		if err != nil {
			r.Fail(n, "server %s: %v", got["server"], err)
		}
		h, ok := map[string]policy.Health{"": policy.Ready, "ready": policy.Ready, "draining": policy.Draining, "removed": policy.Removed}[got["health"]]
		if !ok {
			r.Fail(n, "health: %q is none of ready, draining, removed", got["health"])
		}
		if seen[e.Server] {
			r.Fail(n, "server %d stands twice", e.Server)
		}
		seen[e.Server], e.Health = true, h
		one := Entry{Entry: e, HTTP: got["http"]}
		if err := one.addresses(addrs); err != nil {
			r.Fail(n, "server %s: %v", got["server"], err)
		}
		out = append(out, one)
	}
	return out, errors.Join(r.Errors()...)
}

// Cache keeps the last list in a directory. A missing or damaged cache is no list, never a wrong one: the file
// ends with a digest of what stands before it.
type Cache struct {
	Dir   string
	Names Names
}

func (c Cache) path() string { return filepath.Join(c.Dir, "servers.sexp") }

const sumMark = "; digest "

// Save writes the list: to a new file that then takes the old one's place, so that a crash leaves one of them.
func (c Cache) Save(list []Entry) error {
	if c.Dir == "" {
		return nil
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return fmt.Errorf("keeping the server list: %w", err)
	}
	var b strings.Builder
	for _, e := range list {
		fmt.Fprintf(&b, "(server %d (address", e.Server)
		for _, p := range e.Paths {
			fmt.Fprintf(&b, " %q", p.Addr)
		}
		fmt.Fprintf(&b, ") (cell %d)", e.Cell)
		if e.Zone < len(c.Names.Zones) {
			fmt.Fprintf(&b, " (zone %q)", c.Names.Zones[e.Zone])
		}
		if e.Kind < len(c.Names.Kinds) {
			fmt.Fprintf(&b, " (kind %q)", c.Names.Kinds[e.Kind])
		}
		if e.HTTP != "" {
			fmt.Fprintf(&b, " (http %q)", e.HTTP)
		}
		fmt.Fprintf(&b, " (health %s) (size %g) (started %d))\n", [...]string{"ready", "draining", "removed"}[e.Health], e.Size, e.Started)
	}
	text := b.String()
	text += fmt.Sprintf("%s%016x\n", sumMark, xxhash.Sum64String(text))
	tmp := c.path() + ".new"
	f, err := os.Create(tmp)
	if err != nil {
		return fmt.Errorf("keeping the server list: %w", err)
	}
	_, err = f.WriteString(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(tmp, c.path())
	}
	if err != nil {
		return fmt.Errorf("keeping the server list: %w", err)
	}
	return nil
}

// Load reads the list kept. No file is no list and no error.
func (c Cache) Load() ([]Entry, error) {
	if c.Dir == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("the server list kept: %w", err)
	}
	body, sum, ok := strings.Cut(string(text), sumMark)
	if !ok || strings.TrimSpace(sum) != fmt.Sprintf("%016x", xxhash.Sum64String(body)) {
		return nil, fmt.Errorf("the server list kept: %s: damaged, not used", c.path())
	}
	return parse(c.path(), body, c.Names)
}
