// Package serverlist reads the server list for a front, from Consul's health API over HTTP with blocking queries or
// from a file, and saves the last list on disk for the next start. decide/serverview decides which responses are
// accepted.
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

// Entry is a listed server with its addresses. Addr is the one sent to players: the first that is reachable over the
// network.
type Entry struct {
	policy.Entry
	Addr      string
	Addresses []addresses.Address
	HTTP      string // HOST:PORT that serves HLS segments; "": none
}

// setAddresses sets the addresses of the entry. An invalid address is an error; an empty list is not.
func (e *Entry) setAddresses(list []string) error {
	var errs []error
	for _, text := range list {
		path, err := addresses.Parse(text)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if e.Addr == "" && path.Family != addresses.Unix {
			e.Addr = path.Addr
		}
		e.Addresses = append(e.Addresses, path)
	}
	if len(list) > maxAddresses {
		errs = append(errs, fmt.Errorf("%d addresses; the maximum is %d", len(list), maxAddresses))
	}
	return errors.Join(errs...)
}

// maxAddresses limits the addresses of one server.
const maxAddresses = 8

// Response is one response of a source. Skipped describes the entries that could not be used.
type Response struct {
	Index   uint64
	Entries []Entry
	Skipped []string
}

// Source supplies the list. Next blocks until the list has changed since index, or until the source's own timeout.
type Source interface {
	Next(ctx context.Context, index uint64) (Response, error)
}

// Follow polls a source until ctx is cancelled and delivers each response or error; index supplies the index of the
// next request. After an error it retries with an exponential backoff of up to a few seconds.
func Follow(ctx context.Context, source Source, index func() uint64, deliver func(Response, error)) {
	backoff := 100 * time.Millisecond
	for ctx.Err() == nil {
		startedAt := time.Now()
		response, err := source.Next(ctx, index())
		if ctx.Err() != nil {
			return
		}
		deliver(response, err)
		if err != nil {
			sleep(ctx, backoff/2+time.Duration(rand.Int63n(int64(backoff))))
			backoff = min(2*backoff, 4*time.Second)
			continue
		}
		backoff = 100 * time.Millisecond
		if time.Since(startedAt) < 20*time.Millisecond { // limits the rate if the source responds immediately each time
			sleep(ctx, 50*time.Millisecond)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Names maps the names in the list to the indices used by the settings.
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
	return 0, fmt.Errorf("%q is not one of %v", word, list)
}

// entry builds an entry from its text fields.
func (n Names) entry(get func(string) string) (e policy.Entry, err error) {
	var errs []error
	number := func(key string, minValue, maxValue float64) float64 {
		text := get(key)
		if text == "" {
			return minValue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= minValue && v <= maxValue) {
			errs = append(errs, fmt.Errorf("%s: %q is not a number from %g to %g", key, text, minValue, maxValue))
		}
		return v
	}
	id, err := strconv.ParseUint(get("server"), 10, 32)
	if err != nil || id == 0 {
		errs = append(errs, fmt.Errorf("server: %q is not a number from 1 to 2^32-1", get("server")))
	}
	e.Server = uint32(id)
	e.Cell = int(number("cell", 0, 1<<20))
	e.Size = number("size", 0, 1e9)
	if get("size") == "" {
		e.Size = 1
	}
	if text := get("started"); text != "" {
		if e.Started, err = strconv.ParseInt(text, 10, 64); err != nil || e.Started < 0 {
			errs = append(errs, fmt.Errorf("started: %q is not a time in nanoseconds", text))
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

// consulQueryTimeout limits how long a blocking query waits for a change.
const consulQueryTimeout = 30 * time.Second

// NewConsul returns a source. front is sent to the service as this front's name, in the header X-Tealledge-Front.
func NewConsul(address, service, front string, names Names) (*Consul, error) {
	c, err := api.NewClient(&api.Config{Address: address})
	if err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	c.AddHeader("X-Tealledge-Front", front)
	return &Consul{c, service, names}, nil
}

// Next waits for a change of the list since index.
func (c *Consul) Next(ctx context.Context, index uint64) (Response, error) {
	options := (&api.QueryOptions{WaitIndex: index, WaitTime: consulQueryTimeout}).WithContext(ctx)
	list, meta, err := c.client.Health().Service(c.service, "", false, options)
	if err != nil {
		return Response{}, fmt.Errorf("server list: %w", err)
	}
	response := Response{Index: meta.LastIndex}
	for _, service := range list {
		if service.Node == nil || service.Service == nil {
			response.Skipped = append(response.Skipped, "an entry without node or service")
			continue
		}
		e, err := c.names.entry(func(k string) string {
			if v := service.Service.Meta[k]; v != "" {
				return v
			}
			return service.Node.Meta[k]
		})
		if err != nil {
			response.Skipped = append(response.Skipped, fmt.Sprintf("%s: %v", service.Node.Node, err))
			continue
		}
		e.Health = healthOf(service.Checks)
		listed := Entry{Entry: e, HTTP: service.Service.Meta["http"]}
		if err := listed.setAddresses(consulAddresses(service)); err != nil {
			response.Skipped = append(response.Skipped, fmt.Sprintf("%s: %v", service.Node.Node, err))
			continue
		}
		response.Entries = append(response.Entries, listed)
	}
	return response, nil
}

// consulAddresses returns a service's addresses: its own (or else its node's), the tagged ones of other families, and a
// Unix socket from the metadata. Addresses without host or with port 0 are left out.
func consulAddresses(service *api.ServiceEntry) (list []string) {
	add := func(host string, port int) {
		if host != "" && port != 0 {
			list = append(list, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	host := service.Service.Address
	if host == "" {
		host = service.Node.Address
	}
	add(host, service.Service.Port)
	for _, tag := range []string{"lan_ipv4", "lan_ipv6"} {
		tagged := service.Service.TaggedAddresses[tag]
		add(tagged.Address, tagged.Port)
	}
	if path := service.Service.Meta["unix"]; path != "" {
		list = append(list, path)
	}
	return list
}

// healthOf maps checks: maintenance of the node or service means draining; any other critical check means removed.
func healthOf(checks api.HealthChecks) policy.Health {
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

// filePollInterval is the interval between reads of the file.
const filePollInterval = 300 * time.Millisecond

// Next waits until the file's content differs from that with the given index.
func (f *File) Next(ctx context.Context, index uint64) (Response, error) {
	for {
		text, err := os.ReadFile(f.Path)
		if err != nil {
			return Response{}, fmt.Errorf("server list: %w", err)
		}
		if digest := xxhash.Sum64(text) >> 1; digest != index {
			entries, err := parse(f.Path, string(text), f.Names)
			return Response{Index: digest, Entries: entries}, err
		}
		sleep(ctx, filePollInterval)
		if ctx.Err() != nil {
			return Response{}, ctx.Err()
		}
	}
}

// serverFields are the fields of a server form, besides its id and address.
var serverFields = []string{"http", "cell", "zone", "kind", "health", "size", "started"}

// parse reads a list of server forms.
func parse(path, text string, names Names) ([]Entry, error) {
	nodes, err := sexp.Read(path, text)
	if err != nil {
		return nil, err
	}
	reader := &config.Reader{}
	var entries []Entry
	seen := map[uint32]bool{}
	for _, n := range nodes {
		if n.Head() != "server" || len(n.List) < 2 || n.List[1].IsList {
			reader.Fail(n, "want (server ID (address \"HOST:PORT\") ...)")
			continue
		}
		values := map[string]string{"server": n.List[1].Text}
		readers := map[string]func(*sexp.Node){}
		var addressTexts []string
		readers["address"] = func(n *sexp.Node) {
			for _, a := range n.Args() {
				addressTexts = append(addressTexts, a.Text)
			}
		}
		for _, k := range serverFields {
			readers[k] = func(n *sexp.Node) { values[k] = reader.Text(n) }
		}
		reader.Fields(&sexp.Node{Pos: n.Pos, IsList: true, List: n.List[1:]}, []string{"address"}, readers)
		e, err := names.entry(func(k string) string { return values[k] })
		if err != nil {
			reader.Fail(n, "server %s: %v", values["server"], err)
		}
		health, ok := map[string]policy.Health{"": policy.Ready, "ready": policy.Ready, "draining": policy.Draining,
			"removed": policy.Removed}[values["health"]]
		if !ok {
			reader.Fail(n, "health: %q is not ready, draining or removed", values["health"])
		}
		if seen[e.Server] {
			reader.Fail(n, "server %d is listed twice", e.Server)
		}
		seen[e.Server], e.Health = true, health
		entry := Entry{Entry: e, HTTP: values["http"]}
		if err := entry.setAddresses(addressTexts); err != nil {
			reader.Fail(n, "server %s: %v", values["server"], err)
		}
		entries = append(entries, entry)
	}
	return entries, errors.Join(reader.Errors()...)
}

// Cache saves the last list in a directory. The file ends with a digest of its content, so that a damaged file is
// rejected and never read as a wrong list.
type Cache struct {
	Dir   string
	Names Names
}

func (c Cache) path() string { return filepath.Join(c.Dir, "servers.sexp") }

const digestPrefix = "; digest "

// Save writes the list to a new file that then replaces the old one, so that a crash leaves one of the two intact.
func (c Cache) Save(list []Entry) error {
	if c.Dir == "" {
		return nil
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return fmt.Errorf("saving the server list: %w", err)
	}
	var b strings.Builder
	for _, e := range list {
		fmt.Fprintf(&b, "(server %d (address", e.Server)
		for _, p := range e.Addresses {
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
		fmt.Fprintf(&b, " (health %s) (size %g) (started %d))\n",
			[...]string{"ready", "draining", "removed"}[e.Health], e.Size, e.Started)
	}
	text := b.String()
	text += fmt.Sprintf("%s%016x\n", digestPrefix, xxhash.Sum64String(text))
	tempPath := c.path() + ".new"
	f, err := os.Create(tempPath)
	if err != nil {
		return fmt.Errorf("saving the server list: %w", err)
	}
	_, err = f.WriteString(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(tempPath, c.path())
	}
	if err != nil {
		return fmt.Errorf("saving the server list: %w", err)
	}
	return nil
}

// Load reads the saved list. A missing file gives an empty list and no error.
func (c Cache) Load() ([]Entry, error) {
	if c.Dir == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("saved server list: %w", err)
	}
	body, digest, ok := strings.Cut(string(text), digestPrefix)
	if !ok || strings.TrimSpace(digest) != fmt.Sprintf("%016x", xxhash.Sum64String(body)) {
		return nil, fmt.Errorf("saved server list: %s: checksum mismatch, file ignored", c.path())
	}
	return parse(c.path(), body, c.Names)
}
