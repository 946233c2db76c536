package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// faults are the faults of a server and of the network in front of it.
type faults struct {
	full, errors, moot, never, twice, noise, slow float64 // shares of set-ups
	hang                                          bool
}

// toldAt is when the journal had that a server takes nothing new, and until when a trouble of the journal excuses.
type toldAt struct{ at, excusedUntil time.Duration }

// search plays random troubles of the operators' pages, several at once, and checks the rules that servers and viewers
// can see. It is no case.
func search(w *world, trouble bool) (broken []string, err error) {
	if err := w.startAll(192); err != nil {
		return nil, err
	}
	start := w.now()
	const length = 85 * time.Second
	for range 3 {
		go w.restlessViewers(start + length - 10*time.Second)
	}
	p := &troubles{w: w, told: map[*server]toldAt{}}
	for trouble && w.now() < start+length-12*time.Second {
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
		if err := p.begin(); err != nil {
			return nil, err
		}
	}
	w.sleepUntil(start + length)
	if !w.frontRuns() {
		return []string{"the front has ended"}, nil
	}
	for s, t := range p.told {
		s.mu.Lock()
		for _, u := range s.setUps {
			if limit := max(t.at, t.excusedUntil) + 300*time.Millisecond; u.at > limit {
				broken = append(broken, fmt.Sprintf("drain: %s got %016x at %.3f, told at %.3f", s.name, u.sid, u.at.Seconds(), t.at.Seconds()))
			}
		}
		s.mu.Unlock()
	}
	return append(broken, w.judge()...), nil
}

// troubles begins troubles, each of which ends by itself.
type troubles struct {
	w          *world
	told       map[*server]toldAt
	journalOut time.Duration // until when the journal's trouble excuses
}

// begin begins a random trouble.
func (p *troubles) begin() error {
	w := p.w
	switch rand.IntN(9) {
	case 0, 1: // answers go wrong at a server
		s := p.alive()
		f := []faults{{full: 1}, {errors: 0.8}, {moot: 0.5}, {never: 0.5}, {twice: 1}, {noise: 0.3}, {slow: 1},
			{hang: true}}[rand.IntN(8)]
		w.rec("trouble: %s %+v", s.name, f)
		s.setFaults(f)
		time.AfterFunc(8*time.Second, func() { s.setFaults(faults{}) })
	case 2: // the process dies and comes back cold
		s := p.alive()
		w.rec("trouble: %s dies", s.name)
		s.die()
		time.AfterFunc(randomTime(5300, 9300), func() {
			s.revive()
			p.listAgain(s)
		})
	case 3: // connections are reset, the set-ups on them given up
		s := p.alive()
		w.rec("trouble: connections of %s are reset", s.name)
		s.resetLinks()
	case 4, 5: // a server drains and ends
		if len(p.told) < 7 {
			p.drain(p.alive())
		}
	case 6: // the journal breaks off
		w.rec("trouble: the journal service breaks off")
		p.journalOut = w.now() + 4*time.Second
		w.currentJournal().breakOff()
	case 7:
		return p.moveJournal()
	case 8: // a machine vanishes and comes back cold
		s := p.alive()
		w.rec("trouble: %s vanishes", s.name)
		s.vanish()
		time.AfterFunc(randomTime(8100, 11100), func() {
			s.reappear()
			p.listAgain(s)
		})
	}
	return nil
}

// listAgain lists a server that has started again, some time after its start.
func (p *troubles) listAgain(s *server) {
	time.Sleep(randomTime(500, 2000))
	p.w.currentJournal().add(false, []host{s.host("active")})
	s.mu.Lock()
	s.down = false
	s.mu.Unlock()
}

// randomTime returns a time between two numbers of milliseconds.
func randomTime(from, to int) time.Duration {
	return time.Duration(from+rand.IntN(to-from)) * time.Millisecond
}

// alive returns a server without trouble.
func (p *troubles) alive() *server {
	for {
		s := p.w.servers[rand.IntN(len(p.w.servers))]
		if _, ok := p.told[s]; !ok && !s.inTrouble() {
			return s
		}
	}
}

// drain takes a server out of service.
func (p *troubles) drain(s *server) {
	p.told[s] = toldAt{p.w.now(), p.journalOut}
	p.w.rec("journal: %s is leaving", s.name)
	p.w.currentJournal().add(false, []host{s.host("leaving")})
	time.AfterFunc(randomTime(2000, 8000), func() {
		s.die()
		p.w.rec("journal: %s is left", s.name)
		p.w.currentJournal().add(false, []host{s.host("left")})
	})
}

// moveJournal moves the journal service to another address; the old one closes its connections after 1.5 s.
func (p *troubles) moveJournal() error {
	next, err := newJournal(p.w)
	if err != nil {
		return err
	}
	p.w.rec("trouble: the journal service moves")
	p.journalOut = p.w.now() + 4*time.Second
	old := p.w.currentJournal()
	p.w.mu.Lock()
	_, next.events = old.known()
	p.w.journal = next
	p.w.mu.Unlock()
	old.ln.Close()
	time.AfterFunc(1500*time.Millisecond, old.breakOff)
	return p.w.reconfigure()
}

// currentJournal returns the journal service.
func (w *world) currentJournal() *journal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.journal
}

// reconfigure replaces the journal's address in the configuration and sends SIGHUP.
func (w *world) reconfigure() error {
	path := filepath.Join(w.dir, "config.json")
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(b, &config); err != nil {
		return err
	}
	config["journal"] = w.currentJournal().addr()
	if b, err = json.Marshal(config); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return w.front.Process.Signal(syscall.SIGHUP)
}

// restlessViewers asks for sessions on connections that are opened anew now and then; some viewers give up early or ask
// again.
func (w *world) restlessViewers(end time.Duration) {
	var c *client
	for n := 0; w.now() < end; n++ {
		if c == nil || c.isEnded() || n%40 == 0 {
			next, err := w.dial(fmt.Sprintf("viewers-%d", n))
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			c = next
		}
		class, wait := "replay", 4*time.Second
		switch k := rand.IntN(100); {
		case k < 30:
			class, wait = "live-prices", 5*time.Second
		case k < 55:
			class, wait = "signed-replay", 3*time.Second
		}
		if rand.IntN(10) == 0 {
			wait = time.Duration(20+rand.IntN(300)) * time.Millisecond
		}
		r, err := c.open(class, fmt.Sprintf("%016d", rand.IntN(40)), wait, 3)
		if err == nil && rand.IntN(8) == 0 {
			on := c
			time.AfterFunc(time.Duration(rand.IntN(400))*time.Millisecond, func() { on.giveUp(r) })
		}
		time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond)
	}
}

func (c *client) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// giveUp takes a request back, or ends its session.
func (c *client) giveUp(r *request) {
	c.mu.Lock()
	r.gaveUp = c.w.now()
	c.mu.Unlock()
	c.w.rec("%s: gives %016x up", c.name, r.sid)
	code := 16
	c.write(line{Msg: "close", Sid: fmt.Sprintf("%016x", r.sid), Attrs: map[string]any{}, Code: &code})
}

// judge checks what the viewers got against what the servers did.
func (w *world) judge() (broken []string) {
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	type visit struct {
		s  *server
		at time.Duration
	}
	visits := map[uint64][]visit{}
	over := map[uint64][]stand{}
	ends := map[uint64]map[*server]attemptEnd{}
	for _, s := range w.servers {
		s.mu.Lock()
		for _, u := range s.setUps {
			visits[u.sid] = append(visits[u.sid], visit{s, u.at})
		}
		for _, st := range s.history {
			over[st.sid] = append(over[st.sid], *st)
		}
		for sid, e := range s.ends {
			if ends[sid] == nil {
				ends[sid] = map[*server]attemptEnd{}
			}
			ends[sid][s] = e
		}
		s.mu.Unlock()
	}
	now := w.now()
	counts := map[string]int{}
	for _, c := range w.allClients() {
		c.mu.Lock()
		for _, r := range c.requests {
			switch {
			case r.ready > 0:
				counts["plays"]++
			case r.closed > 0 && (r.code == 42 || r.code == 34 || r.code == 102):
				counts["refused"]++
			case r.closed > 0:
				counts["failed"]++
			case r.gaveUp > 0:
				counts["given up"]++
			default:
				counts["none"]++
			}
			first := r.ready
			if first == 0 || r.closed > 0 && r.closed < first {
				first = r.closed
			}
			if r.gaveUp == 0 {
				if first == 0 || first > r.sentAt+r.wait+550*time.Millisecond {
					add("lost: %016x sent %.3f left %v answered %.3f, connection ended %v", r.sid, r.sentAt.Seconds(), r.wait, first.Seconds(), c.ended)
				}
				if r.answers > 1 {
					add("answers: %016x got %d", r.sid, r.answers)
				}
			}
			for _, v := range visits[r.sid] {
				if r.gaveUp > 0 && v.at > r.gaveUp+50*time.Millisecond {
					add("sent by nobody: %016x at %s at %.3f, given up at %.3f", r.sid, v.s.name, v.at.Seconds(), r.gaveUp.Seconds())
				}
				if first > 0 && v.at > first+50*time.Millisecond {
					add("sent by nobody: %016x at %s at %.3f, answered at %.3f", r.sid, v.s.name, v.at.Seconds(), first.Seconds())
				}
			}
			list := visits[r.sid]
			for i, a := range list {
				for _, b := range list[i+1:] {
					x, y := a, b
					if y.at < x.at {
						x, y = b, a
					}
					e, ended := ends[r.sid][x.s]
					if !ended || e.at > y.at+5*time.Millisecond {
						add("two at once: %016x at %s at %.3f, at %s at %.3f, first ended %v %.3f %s", r.sid, x.s.name, x.at.Seconds(), y.s.name, y.at.Seconds(), ended, e.at.Seconds(), e.how)
					}
					if r.class == "signed-replay" && ended && !e.neverRan {
						add("paid again: %016x at %s (%s) and %s", r.sid, x.s.name, e.how, y.s.name)
					}
				}
			}
			if r.class == "signed-replay" && r.ready == 0 && r.closed > 0 && (r.code == 42 || r.code == 34 || r.code == 102) {
				for s, e := range ends[r.sid] {
					if !e.neverRan {
						add("paid refused: %016x ran at %s (%s)", r.sid, s.name, e.how)
					}
				}
			}
			if r.ready > 0 && r.gaveUp == 0 {
				for _, st := range over[r.sid] {
					bound := 1100 * time.Millisecond
					if st.how != "come to its end" {
						bound = 8100 * time.Millisecond
					}
					if st.until > 0 && st.how != "released by the front" && st.how != "answer spoilt" && st.until+bound < now && (r.closed == 0 || r.closed > st.until+bound) {
						add("not told: %016x over at %.3f (%s), told %.3f, connection ended %v", r.sid, st.until.Seconds(), st.how, r.closed.Seconds(), c.ended)
					}
				}
			}
			if r.ready == 0 || r.closed > 0 || r.gaveUp > 0 {
				for _, st := range over[r.sid] {
					if last := max(r.closed, r.gaveUp, st.from); st.until == 0 && now > last+6*time.Second {
						add("left standing: %016x, ready %.3f closed %.3f given up %.3f", r.sid, r.ready.Seconds(), r.closed.Seconds(), r.gaveUp.Seconds())
					}
				}
			}
		}
		c.mu.Unlock()
	}
	w.rec("requests: %v", counts)
	fmt.Println("requests:", counts)
	return broken
}

// attemptEnd is how a set-up ended at a server, and whether it provably never ran.
type attemptEnd struct {
	at       time.Duration
	how      string
	neverRan bool
}

func (s *server) setFaults(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// inTrouble tells whether a server is down or has faults.
func (s *server) inTrouble() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.faults != faults{}
}

// cutAll ends all that the process holds.
func (s *server) cutAll(how string) {
	for sid := range s.pending {
		s.ends[sid] = attemptEnd{s.w.now(), how, false}
		delete(s.pending, sid)
	}
	for sid := range s.stands {
		s.end(sid, how)
	}
	s.owed = nil
}

// die ends the process: its connections are reset, new ones refused, its sessions cut.
func (s *server) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.netLn.Close()
	s.cutAll("process died")
	for c, up := range s.links {
		reset(c)
		reset(up)
	}
}

// revive starts a new process at the same address.
func (s *server) revive() {
	s.mu.Lock()
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		s.w.rec("%s: %v", s.name, err)
		s.mu.Unlock()
		return
	}
	s.netLn, s.born = ln, time.Now().UnixMilli()
	s.w.rec("%s: is back, cold", s.name)
	s.mu.Unlock()
	go s.acceptNet(ln)
}

// vanish lets the machine go silent: open connections bring nothing, new ones do not come up.
func (s *server) vanish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent = true, true
	s.cutAll("machine vanished")
	raw, _ := s.netLn.(*net.TCPListener).SyscallConn()
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	s.gate.Lock()
	for range 3 {
		if c, err := net.DialTimeout("tcp", s.address, 20*time.Millisecond); err == nil {
			s.fillers = append(s.fillers, c)
		}
	}
}

// reappear starts a new process on the machine.
func (s *server) reappear() {
	s.mu.Lock()
	for _, c := range s.fillers {
		c.Close()
	}
	s.fillers = nil
	for c, up := range s.links {
		reset(c)
		reset(up)
	}
	raw, _ := s.netLn.(*net.TCPListener).SyscallConn()
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 128) })
	s.silent, s.born = false, time.Now().UnixMilli()
	s.w.rec("%s: is back, cold", s.name)
	s.mu.Unlock()
	s.gate.Unlock()
}

// resetLinks resets the connections; set-ups not answered yet are given up.
func (s *server) resetLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, up := range s.links {
		reset(c)
		reset(up)
	}
}

// breakOff breaks off in the middle of an event.
func (j *journal) breakOff() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for c := range j.conns {
		c.conn.Write([]byte(`{"pos":99,"hosts":{"se`))
		c.conn.Close()
	}
}
