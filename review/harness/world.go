package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case: its record, its temporary folder, the stand-ins and the front.
type world struct {
	root    string
	dir     string
	began   time.Time
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	front   *exec.Cmd
	exited  chan struct{}
	journal *journal
	servers []*server
	clients []*client
	listen  string
}

// newWorld opens the record and a temporary folder.
func newWorld(root, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// rec writes a line to the record.
func (w *world) rec(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// now returns the time since the case began.
func (w *world) now() time.Duration { return time.Since(w.began) }

// sleepUntil waits until the time since the case began.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(at - w.now()) }

// close ends the front and the stand-ins.
func (w *world) close() {
	if w.front != nil {
		w.front.Process.Kill()
		<-w.exited
	}
	for _, c := range w.clients {
		c.conn.Close()
	}
	for _, s := range w.servers {
		s.close()
	}
	if w.journal != nil {
		w.journal.close()
	}
	if log, err := os.ReadFile(filepath.Join(w.dir, "front.log")); err == nil {
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		for _, line := range lines[max(0, len(lines)-20):] {
			w.rec("log of the front: %s", line)
		}
	}
	w.mu.Lock()
	w.out.Flush()
	w.file.Close()
	w.mu.Unlock()
	os.RemoveAll(w.dir)
}

// frontCommand reads the command of a front from the deploy file.
func (w *world) frontCommand() (string, error) {
	b, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(v), `"`), nil
		}
	}
	return "", errors.New("no run in the deploy file")
}

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startFront starts the front with the journal's events so far and waits until it passes a test.
func (w *world) startFront(settings map[string]any, memoryMB int) error {
	command, err := w.frontCommand()
	if err != nil {
		return err
	}
	if w.listen, err = freeAddr(); err != nil {
		return err
	}
	pos, entries := w.journal.known()
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": w.listen, "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"journal": w.journal.addr(), "known": map[string]any{"pos": pos, "entries": entries}, "settings": settings})
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.dir, "front.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	tmp := filepath.Join(w.dir, "tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	w.front = exec.Command("/bin/sh", "-c", command)
	w.front.Dir, w.front.Stdout, w.front.Stderr = w.root, log, log
	w.front.Env = append(os.Environ(), "NODE_NAME=n0", "NODE_LISTEN="+w.listen, "NODE_CONFIG="+path, "TMPDIR="+tmp)
	w.front.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := w.front.Start(); err != nil {
		w.front = nil
		return err
	}
	w.exited = make(chan struct{})
	go func() {
		w.front.Wait()
		close(w.exited)
	}()
	w.rec("front started: %s", command)
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		c, err := w.dial("start")
		if err != nil {
			continue
		}
		c.test()
		time.Sleep(50 * time.Millisecond)
		passed := c.testsPassed()
		c.conn.Close()
		if passed > 0 {
			w.rec("front passed a test")
			return nil
		}
	}
	return errors.New("the front does not get ready")
}

// frontRuns tells whether the front's process has not ended.
func (w *world) frontRuns() bool {
	select {
	case <-w.exited:
		return false
	default:
		return true
	}
}

// Sizes of the deployment: that of ub-briefings.
const (
	cells          = 5
	serversPerCell = 3
	racks          = 2
	seats          = 2
)

// settings are the settings of a front of ub-briefings.
func settings() map[string]any {
	class := func(name, effect string, worth float64, deadline time.Duration) map[string]any {
		return map[string]any{"name": name, "effect": effect, "importance": worth, "slo-ns": 1500 * time.Millisecond,
			"deadline-ns": deadline, "stream": true, "key-scope": "all", "late-worth": 0.0, "memory-span-ns": 5 * time.Second}
	}
	return map[string]any{
		"fleet-size": 2, "me": 0, "discovery": "automatic", "zones": []string{"ub-main"},
		"shapes": []string{"box-2c", "box-3c"}, "realms": []any{}, "workload": "streams", "weight-kind": "nominal", "zone": 0,
		"request-classes": []any{class("live-prices", "safe", 1, 5*time.Second),
			class("signed-replay", "unsafe", 2, 3*time.Second), class("replay", "safe", 1, 4*time.Second)},
		"family-info": map[string]any{"level-kb": []int{200, 320, 510, 820, 1310, 2000},
			"level-worth": []float64{0.23, 0.39, 0.55, 0.71, 0.85, 1}, "lowest-rung": []int{0, 0, 0},
			"class-top": []int{5, 5, 2}, "class-live": []bool{true, false, false}, "scale-by-class": []int{1, 1, 1},
			"seats": []int{0, seats, 0}, "positions": cells, "shelves": racks, "rack-link-kb": 90000, "fleet-kb": 270000,
			"weight-kb": 3600, "kind-slots": []int{25, 38}, "see-ns": 700 * time.Millisecond, "reports-every-ns": 0,
			"full-from": 1.2, "stall-cost": 7, "change-costs-s": 0.6, "join": 1},
		"policy-limits": map[string]any{"may-probe": true, "may-tell": false, "cancel": true, "max-attempts": 3,
			"connect-timeout-ns": 250 * time.Millisecond, "keepalive-ns": 30 * time.Second, "retry-after": true,
			"max-retry-after-ns": time.Second, "second-copies": false, "streams-per-conn": 100},
		"prices":    map[string]any{"moves": 0.15, "probe": 0.01, "late-fail": 0.05},
		"telemetry": map[string]any{"fields": []string{"x0", "x1"}, "how": "on_probe"},
		"rules": map[string]any{"drain-grace-ns": 250 * time.Millisecond, "cold-ns": 8 * time.Second, "cold-from": 0.5,
			"tip-multiple": 2, "fall-ns": 1500 * time.Millisecond, "grace-to-answer-ns": 40 * time.Millisecond},
	}
}

// startAll starts the journal service, the servers and the front with its limit of memory.
func (w *world) startAll(memoryMB int) (err error) {
	if w.journal, err = newJournal(w); err != nil {
		return err
	}
	var hosts []host
	for i := range cells * serversPerCell {
		s, err := newServer(w, i)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		hosts = append(hosts, s.host("active"))
	}
	w.journal.add(true, hosts)
	return w.startFront(settings(), memoryMB)
}
