// Package node runs tealledge as one real front of the operators' platform: its configuration, its signals, and the
// sockets that carry the dialogues with viewers, servers and the journal service. One goroutine, the owner, drives core
// and dialogues; sockets hand it what they bring through a bounded queue. Nothing is decided here.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"

	"tealledge/internal/platform/wire"
	"tealledge/internal/settings"
	"tealledge/policy"
)

// Config is what the platform tells a front.
type Config struct {
	Name, Listen, Journal string
	Seed                  uint64
	Cores                 float64
	MemoryMB, Sockets     int
	Known                 []wire.Event
	Pos                   uint64
	Settings              policy.Settings
	Names                 settings.Names
	Bad                   []string // what could not be used, and counts as absent
}

// maxConfig bounds the file, in bytes.
const maxConfig = 32 << 20

// Load reads the file of a configuration.
func Load(path string) (*Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() > maxConfig {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", path, info.Size(), maxConfig)
	}
	// Of the file that was looked at: another may have its name by now, and it may grow.
	raw, err := io.ReadAll(io.LimitReader(f, maxConfig+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxConfig {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxConfig)
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration. What a front can't run without is an error; other figures that can't be used are named
// in Bad and count as absent.
func Parse(raw []byte) (*Config, error) {
	var form struct {
		Name, Listen, Seed, Journal string
		Limits                      struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known struct {
			Pos     uint64
			Entries []wire.Event
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, fmt.Errorf("no configuration: %w", err)
	}
	c := &Config{Name: form.Name, Listen: form.Listen, Journal: form.Journal, Cores: form.Limits.Cores,
		MemoryMB: form.Limits.MemoryMB, Sockets: form.Limits.Sockets, Pos: form.Known.Pos}
	bad := func(format string, args ...any) { c.Bad = append(c.Bad, fmt.Sprintf(format, args...)) }
	if c.Name == "" || len(c.Name) > 256 {
		return nil, errors.New("no name")
	}
	if err := address(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if c.Journal != "" {
		if err := address(c.Journal); err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(form.Seed, 16, 64); err != nil {
		bad("seed %.32q", form.Seed)
	}
	if !(c.Cores > 0 && c.Cores <= 1024) {
		bad("limits.cores %v", c.Cores)
		c.Cores = 1
	}
	if c.MemoryMB < 0 || c.MemoryMB > 1<<20 {
		bad("limits.memory_mb %d", c.MemoryMB)
		c.MemoryMB = 0
	}
	if c.Sockets < 0 || c.Sockets > 1<<20 {
		bad("limits.sockets %d", c.Sockets)
		c.Sockets = 0
	}
	for _, e := range form.Known.Entries {
		if err := e.Check(); err != nil {
			bad("known event %d: %v", e.Pos, err)
			continue
		}
		if e.Hosts != nil {
			c.Known = append(c.Known, e)
			c.Pos = max(c.Pos, e.Pos)
		}
	}
	var more []string
	c.Settings, c.Names, more, err = settings.FromJSON(form.Settings)
	c.Bad = append(c.Bad, more...)
	return c, err
}

// address checks HOST:PORT.
func address(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return err
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || host == "" {
		return fmt.Errorf("no address: %.64q", s)
	}
	return nil
}

// Limits tells the run time what it may use.
func (c *Config) Limits() (procs int, memory int64) {
	procs = max(int(c.Cores+0.5), 1)
	return procs, int64(c.MemoryMB) << 20
}

// Check compares the configuration with what the environment says.
func (c *Config) Check() error {
	if name := os.Getenv("NODE_NAME"); name != "" && name != c.Name {
		return fmt.Errorf("NODE_NAME is %q, the configuration is for %q", name, c.Name)
	}
	if addr := os.Getenv("NODE_LISTEN"); addr != "" && addr != c.Listen {
		return fmt.Errorf("NODE_LISTEN is %q, the configuration says %q", addr, c.Listen)
	}
	return nil
}
