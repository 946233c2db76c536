// Package node runs tealledge as one front of the operators' platform: its configuration, its signals, and the
// sockets of the protocols with viewers, servers and the journal service. One goroutine, the owner, drives the core
// and the protocols. Sockets pass their events to it through a bounded queue. The package makes no decisions of its
// own.
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

// Config is the configuration that the platform gives a front.
type Config struct {
	Name, Listen, Journal string
	Seed                  uint64
	Cores                 float64
	MemoryMB, Sockets     int
	KnownEvents           []wire.Event
	JournalPos            uint64
	Settings              policy.Settings
	Names                 settings.Names
	Invalid               []string // values that are invalid and treated as absent
}

// maxConfigBytes bounds the size of the file.
const maxConfigBytes = 32 << 20

// Load reads a configuration file.
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
	if info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%s: file has %d bytes, the limit is %d", path, info.Size(), maxConfigBytes)
	}
	// Read the opened file: another file may have its name by now. Its size may have grown since Stat.
	raw, err := io.ReadAll(io.LimitReader(f, maxConfigBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxConfigBytes {
		return nil, fmt.Errorf("%s: file exceeds %d bytes", path, maxConfigBytes)
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration. A missing or invalid value that a front can't run without is an error. Other invalid
// values are listed in Invalid and treated as absent.
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
		return nil, fmt.Errorf("invalid configuration: %w", err)
	}
	c := &Config{Name: form.Name, Listen: form.Listen, Journal: form.Journal, Cores: form.Limits.Cores,
		MemoryMB: form.Limits.MemoryMB, Sockets: form.Limits.Sockets, JournalPos: form.Known.Pos}
	addInvalid := func(format string, args ...any) { c.Invalid = append(c.Invalid, fmt.Sprintf(format, args...)) }
	if c.Name == "" || len(c.Name) > 256 {
		return nil, errors.New("name is empty or longer than 256 bytes")
	}
	if err := checkAddress(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if c.Journal != "" {
		if err := checkAddress(c.Journal); err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(form.Seed, 16, 64); err != nil {
		addInvalid("seed %.32q", form.Seed)
	}
	if !(c.Cores > 0 && c.Cores <= 1024) {
		addInvalid("limits.cores %v", c.Cores)
		c.Cores = 1
	}
	if c.MemoryMB < 0 || c.MemoryMB > 1<<20 {
		addInvalid("limits.memory_mb %d", c.MemoryMB)
		c.MemoryMB = 0
	}
	if c.Sockets < 0 || c.Sockets > 1<<20 {
		addInvalid("limits.sockets %d", c.Sockets)
		c.Sockets = 0
	}
	for _, e := range form.Known.Entries {
		if err := e.Check(); err != nil {
			addInvalid("known event %d: %v", e.Pos, err)
			continue
		}
		if e.Hosts != nil {
			c.KnownEvents = append(c.KnownEvents, e)
			c.JournalPos = max(c.JournalPos, e.Pos)
		}
	}
	var settingsInvalid []string
	c.Settings, c.Names, settingsInvalid, err = settings.FromJSON(form.Settings)
	c.Invalid = append(c.Invalid, settingsInvalid...)
	return c, err
}

// checkAddress checks that s has the form HOST:PORT.
func checkAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return err
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || host == "" {
		return fmt.Errorf("invalid address: %.64q", s)
	}
	return nil
}

// RuntimeLimits returns GOMAXPROCS and the memory limit in bytes for the Go runtime; a memory limit of 0 means none.
func (c *Config) RuntimeLimits() (procs int, memory int64) {
	procs = max(int(c.Cores+0.5), 1)
	return procs, int64(c.MemoryMB) << 20
}

// CheckEnvironment compares the configuration with the environment variables.
func (c *Config) CheckEnvironment() error {
	if name := os.Getenv("NODE_NAME"); name != "" && name != c.Name {
		return fmt.Errorf("NODE_NAME is %q, the configuration is for %q", name, c.Name)
	}
	if addr := os.Getenv("NODE_LISTEN"); addr != "" && addr != c.Listen {
		return fmt.Errorf("NODE_LISTEN is %q, the configuration has %q", addr, c.Listen)
	}
	return nil
}

// memoryMB returns the memory limit in MB.
func (c *Config) memoryMB() int {
	if c.MemoryMB <= 0 {
		return defaultMemoryMB
	}
	return c.MemoryMB
}

// memoryPart returns how many bytes of one kind may be held for clients: incomplete lines, descriptions or answers.
func (c *Config) memoryPart() int { return c.memoryMB() << 20 / memoryParts }
