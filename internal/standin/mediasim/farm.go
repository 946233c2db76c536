// Package mediasim is a stand-in for media servers: it speaks RTSP 2.0 on loopback, models stream places, links
// and rack uplinks that share their rate equally, warming up and falling over, and shows faults on command. It
// writes down what crossed its own sockets. No media is sent.
package mediasim

import (
	"fmt"
	"math"
	"math/rand"
	"path/filepath"
	"sync"
	"time"

	"tealledge/internal/hlstoken"
	"tealledge/internal/record"
	"tealledge/internal/standin/ports"
)

// Params is what all servers of a farm have in common.
type Params struct {
	Ladder      []float64 // kB a second of each rung
	Slots       float64   // streams that a server runs at most
	LinkKB      float64   // mean link of a server
	UplinkKB    float64   // mean uplink of a rack
	Uneven      float64   // links and uplinks differ by so much from the mean
	Racks       int
	Cells       int
	SetupTime   time.Duration // of a warm server
	ReportEvery time.Duration // load values are refreshed so often
	NotesLate   time.Duration
	TellEvery   time.Duration // time between use notes; 0: none
	FullFrom    float64       // set-ups are turned away from this use of the link; 0: never
	Inline      bool          // answers carry load values
	ColdSpan    time.Duration
	ColdFrom    float64
	FallTimes   float64
	FallOver    time.Duration
	Keep        time.Duration // a stream whose connection is lost lives on so long
	Holds       func(title string, cell int) bool
	Seed        int64
	Families    []string // more ways in besides IPv4: "ipv6", "unix" (in Dir)
	Dir         string
	HTTP        bool // servers deliver HLS playlists and segments too
	Keys        *hlstoken.Keys
}

// Farm is a set of servers and their racks.
type Farm struct {
	p       Params
	rec     *record.Log
	mu      sync.Mutex
	rng     *rand.Rand
	servers []*Server
	uplinks []float64 // kB a second
	sag     []float64 // part of the uplink that is left
	stop    chan struct{}
	once    sync.Once
	done    sync.WaitGroup
	kept    *ports.Kept // the servers' addresses, also while they are down
}

// New starts a farm of n servers on loopback ports, all warm. Server ids count from 1, cells from 0.
func New(p Params, n int, rec *record.Log) (*Farm, error) {
	f := &Farm{p: p, rec: rec, rng: rand.New(rand.NewSource(p.Seed)), stop: make(chan struct{})}
	var err error
	if f.kept, err = ports.Keep(n); err != nil {
		return nil, err
	}
	spread := func() float64 { return 1 + p.Uneven*(2*f.rng.Float64()-1) }
	for range p.Racks {
		f.uplinks, f.sag = append(f.uplinks, p.UplinkKB*spread()), append(f.sag, 1)
	}
	for i := range n {
		s := &Server{farm: f, ID: uint32(i + 1), Cell: i % p.Cells, link: p.LinkKB * spread(), conns: map[*conn]struct{}{},
			streams: map[string]*stream{}, share: 1, free: 1}
		s.rack = s.Cell % p.Racks
		s.extra = f.extra(i + 1)
		if p.HTTP {
			if err := s.listenHTTP(); err != nil {
				f.Close()
				return nil, err
			}
		}
		if err := s.listen(f.kept.Addrs[i], false); err != nil {
			f.Close()
			return nil, err
		}
		f.servers = append(f.servers, s)
	}
	f.done.Add(1)
	go f.run()
	return f, nil
}

// extra gives a server's further addresses.
func (f *Farm) extra(id int) (list []*way) {
	for _, family := range f.p.Families {
		switch family {
		case "ipv6":
			list = append(list, &way{network: "tcp6", addr: "[::1]:0"})
		case "unix":
			list = append(list, &way{network: "unix", addr: filepath.Join(f.p.Dir, fmt.Sprintf("media-%d.sock", id))})
		}
	}
	return list
}

// Servers gives the servers, in the order of ids.
func (f *Farm) Servers() []*Server { return f.servers }

// Server gives a server by id, nil if there is none.
func (f *Farm) Server(id uint32) *Server {
	if id == 0 || int(id) > len(f.servers) {
		return nil
	}
	return f.servers[id-1]
}

// Sag leaves a rack's uplink a part of what it gives; 1 mends it.
func (f *Farm) Sag(rack int, part float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rack >= 0 && rack < len(f.sag) {
		f.sag[rack] = part
	}
}

// Streams tells how many streams play in all.
func (f *Farm) Streams() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		n += len(s.streams)
	}
	return n
}

// Close ends all servers.
func (f *Farm) Close() {
	f.once.Do(func() { close(f.stop) })
	for _, s := range f.servers {
		s.end("farm closed", false)
		if s.web != nil {
			s.web.Close()
		}
	}
	f.done.Wait()
	for _, s := range f.servers {
		s.running.Wait()
	}
	f.kept.Close()
}

const beat = 50 * time.Millisecond

// run shares links and sends notes.
func (f *Farm) run() {
	defer f.done.Done()
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		f.mu.Lock()
		now := time.Now()
		f.divide(now)
		for _, s := range f.servers {
			s.expire(now)
			s.notes(now)
		}
		f.mu.Unlock()
	}
}

// divide works out what share of their rate the streams get: the smaller of what link and uplink allow.
func (f *Farm) divide(now time.Time) {
	asked := make([]float64, len(f.uplinks))
	for _, s := range f.servers {
		s.asked = 0
		for _, st := range s.streams {
			if st.playing {
				s.asked += f.p.Ladder[st.rung]
			}
		}
		asked[s.rack] += s.asked
	}
	for _, s := range f.servers {
		gives, up := s.link*s.free, f.uplinks[s.rack]*f.sag[s.rack]
		s.use, s.useUp = s.asked/max(gives, 1), asked[s.rack]/max(up, 1)
		share := min(1, 1/max(s.use, 1e-9), 1/max(s.useUp, 1e-9))
		if s.stalled || s.silent {
			share = 0
		}
		if math.Abs(share-s.share) > 0.005 || share == 1 && s.share != 1 {
			f.rec.Add(record.Event{Source: s.name(), Kind: record.RateShare, Server: s.ID, Value: share})
		}
		s.share = share
		s.past = append(s.past, sample{now, share, s.use, s.useUp})
		for len(s.past) > 0 && now.Sub(s.past[0].at) > f.p.NotesLate+time.Second {
			s.past = s.past[1:]
		}
		if now.Sub(s.reportAt) >= f.p.ReportEvery {
			s.reportAt, s.reported = now, sample{now, share, s.use, s.useUp}
		}
	}
}

// sample is the state of a server at a time.
type sample struct {
	at               time.Time
	share, use, upto float64
}

func (s *Server) late(now time.Time) sample {
	for i := len(s.past) - 1; i >= 0; i-- {
		if now.Sub(s.past[i].at) >= s.farm.p.NotesLate {
			return s.past[i]
		}
	}
	return sample{share: 1}
}

func (s *Server) name() string { return fmt.Sprintf("media-%d", s.ID) }

// Streams tells how many streams a server holds.
func (s *Server) Streams() int {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	return len(s.streams)
}
