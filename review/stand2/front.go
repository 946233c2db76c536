package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// front is the process of the project's front.
type front struct {
	addr   string
	dir    string
	cmd    *exec.Cmd
	ended  chan error
	config map[string]any
}

// settings are those of a small deployment, like ub-briefings: three classes, one of them paid at set-up and with seats.
const settings = `{"fleet-size":2,"me":0,"tier":0,"tiers":["media-fleet"],"discovery":"automatic","zone":0,
"zones":["ub-main"],"shapes":["box-3c"],"realms":[],"granularity-ns":10000000,"value-by":"request",
"weight-kind":"nominal","workload":"streams","over-share-worth":1,
"family-info":{"level-kb":[190,310,505,815,1316,1900],"level-worth":[0.22,0.39,0.55,0.71,0.85,1],"lowest-rung":[0,0,0],
 "class-top":[5,5,2],"class-live":[true,false,false],"scale-by-class":[1,1,1],"seats":[0,2,0],"positions":14,"shelves":2,
 "rack-link-kb":46000,"fleet-kb":140000,"weight-kb":3400,"kind-slots":[36],"see-ns":700000000,"reports-every-ns":0,
 "full-from":1.2,"stall-cost":6,"change-costs-s":0.5,"join":1},
"policy-limits":{"may-probe":true,"may-tell":false,"cancel":true,"second-copies":false,"max-attempts":3,
 "connect-timeout-ns":250000000,"keepalive-ns":30000000000,"retry-after":true,"max-retry-after-ns":1000000000,
 "streams-per-conn":100,"max-open":1000000,"cpu-us-per-s":400000,"cpu-us-per-request":0},
"prices":{"moves":0.15,"probe":0.01,"late-fail":0.05},"telemetry":{"fields":["x0","x1"],"how":"on_probe"},
"rules":{"drain-grace-ns":250000000,"grace-to-answer-ns":40000000,"cold-ns":8000000000,"cold-from":0.5,
 "tip-multiple":2,"fall-ns":1500000000},
"result-mix":{"whole":0.6,"worst-window":0.2,"worst-class":0.2},"clients":{"marks-retry":true},
"request-classes":[
 {"name":"live-prices","effect":"safe","importance":1,"slo-ns":1500000000,"deadline-ns":5000000000,"stream":true},
 {"name":"signed-replay","effect":"unsafe","importance":2,"slo-ns":1500000000,"deadline-ns":3000000000,"stream":true},
 {"name":"replay","effect":"safe","importance":1,"slo-ns":1500000000,"deadline-ns":4000000000,"stream":true}]}`

// deployRun is the line of the deploy file that starts a front.
var deployRun = regexp.MustCompile(`(?m)^run = "(.*)"`)

// startFront starts the front with the servers of the world, and waits until it passes a test.
func startFront(w *world) error {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return err
	}
	run := deployRun.FindSubmatch(deploy)
	if run == nil {
		return fmt.Errorf("deploy/balancer.toml has no line for run")
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f := &front{addr: free.Addr().String(), ended: make(chan error, 1)}
	free.Close()
	w.front = f
	if f.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	f.config = map[string]any{"name": "n0", "listen": f.addr, "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1.0, "memory_mb": w.memoryMB, "sockets": 1024},
		"journal": w.journal.listener.Addr().String(), "known": w.journal.known(),
		"settings": json.RawMessage(settings)}
	path := filepath.Join(f.dir, "config.json")
	text, _ := json.Marshal(f.config)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	f.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	f.cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME=n0", "NODE_LISTEN="+f.addr, "TMPDIR="+f.dir)
	if f.cmd.Stderr, err = os.Create(filepath.Join(f.dir, "log")); err != nil {
		return err
	}
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	go func() { f.ended <- f.cmd.Wait() }()
	for range 400 {
		if f.passesTest() {
			w.log("the front is ready")
			return nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("the front is not ready after 10 s")
}

// passesTest sends the front a test.
func (f *front) passesTest() bool {
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(c, `{"msg":"probe","sid":"0000000000000001","attrs":{},"code":0}`)
	n, err := io.ReadAtLeast(c, make([]byte, 256), 10)
	return err == nil && n > 0
}

// stop ends the front. It returns an error if the front had ended before.
func (f *front) stop() error {
	defer os.RemoveAll(f.dir)
	if f.cmd == nil || f.cmd.Process == nil {
		return nil
	}
	select {
	case err := <-f.ended:
		return fmt.Errorf("the front ended by itself: %v", err)
	default:
	}
	f.cmd.Process.Kill()
	<-f.ended
	return nil
}

// startWorld starts the journal service, a number of servers and the front.
func startWorld(w *world, servers int) (err error) {
	if w.journal, err = newJournal(w); err != nil {
		return err
	}
	for i := range servers {
		s, err := newServer(w, fmt.Sprintf("s-%08x", i+1), i, "")
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	w.journal.list(true, "active", w.servers...)
	return startFront(w)
}
