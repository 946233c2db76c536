// Package mediasim is a stand-in for media servers: it speaks RTSP 2.0 on loopback and models stream slots, network
// links and rack uplinks that divide their rate equally among streams, warm-up after a start, and crashes under too
// many set-ups while cold. Faults are injected on command. It records what crossed its own sockets. No media is sent.
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

// Params holds the parameters that all servers of a farm share.
type Params struct {
	Ladder         []float64 // rate of each rung, in kB/s
	Slots          float64   // maximum number of streams on a server
	LinkKB         float64   // mean rate of a server's network link, in kB/s
	UplinkKB       float64   // mean rate of a rack's uplink, in kB/s
	RateVariation  float64   // maximum deviation of links and uplinks from the mean, as a fraction of it
	Racks          int
	Cells          int
	SetupTime      time.Duration // duration of a set-up on a warm server
	ReportInterval time.Duration // interval at which reported load values are refreshed
	NoteDelay      time.Duration // age of the values in notes
	NoteInterval   time.Duration // interval between notes of link use; 0: none are sent
	FullThreshold  float64       // link use from which set-ups are refused as full; 0: never
	InlineReports  bool          // PLAY responses carry load values
	WarmupTime     time.Duration // duration of the warm-up after a cold start
	ColdCapacity   float64       // capacity right after a cold start, as a fraction of the full one
	OverloadFactor float64       // a cold server crashes at this multiple of the set-up rate it has capacity for
	OverloadWindow time.Duration // window in which the set-ups of a cold server are counted
	SessionTimeout time.Duration // how long a stream is kept after its connection is lost
	HoldsTitle     func(title string, cell int) bool
	Seed           int64
	ExtraFamilies  []string // address families besides IPv4: "ipv6", "unix" (sockets in SocketDir)
	SocketDir      string
	ServeHLS       bool // servers also deliver HLS playlists and segments
	TokenKeys      *hlstoken.Keys
}

// Farm is a set of servers and their racks.
type Farm struct {
	params        Params
	rec           *record.Log
	mu            sync.Mutex
	rng           *rand.Rand
	servers       []*Server
	uplinks       []float64 // rate of each rack's uplink, in kB/s
	uplinkFactors []float64 // fraction of each uplink's rate that is available
	stop          chan struct{}
	stopOnce      sync.Once
	running       sync.WaitGroup
	reservation   *ports.Reservation // keeps the servers' addresses reserved while they are down
}

// New starts a farm of n warm servers on loopback ports. Server ids start at 1, cells at 0.
func New(p Params, n int, rec *record.Log) (*Farm, error) {
	f := &Farm{params: p, rec: rec, rng: rand.New(rand.NewSource(p.Seed)), stop: make(chan struct{})}
	var err error
	if f.reservation, err = ports.Reserve(n); err != nil {
		return nil, err
	}
	variation := func() float64 { return 1 + p.RateVariation*(2*f.rng.Float64()-1) }
	for range p.Racks {
		f.uplinks, f.uplinkFactors = append(f.uplinks, p.UplinkKB*variation()), append(f.uplinkFactors, 1)
	}
	for i := range n {
		s := &Server{farm: f, ID: uint32(i + 1), Cell: i % p.Cells, linkKB: p.LinkKB * variation(),
			conns:   map[*conn]struct{}{},
			streams: map[string]*stream{}, share: 1, linkFactor: 1}
		s.rack = s.Cell % p.Racks
		s.extraListeners = f.newExtraListeners(i + 1)
		if p.ServeHLS {
			if err := s.listenHTTP(); err != nil {
				f.Close()
				return nil, err
			}
		}
		if err := s.listen(f.reservation.Addrs[i], false); err != nil {
			f.Close()
			return nil, err
		}
		f.servers = append(f.servers, s)
	}
	f.running.Add(1)
	go f.run()
	return f, nil
}

// newExtraListeners returns the listeners of a server's further addresses, not yet started.
func (f *Farm) newExtraListeners(id int) (list []*extraListener) {
	for _, family := range f.params.ExtraFamilies {
		switch family {
		case "ipv6":
			list = append(list, &extraListener{network: "tcp6", addr: "[::1]:0"})
		case "unix":
			list = append(list, &extraListener{network: "unix",
				addr: filepath.Join(f.params.SocketDir, fmt.Sprintf("media-%d.sock", id))})
		}
	}
	return list
}

// Servers returns the servers, ordered by id.
func (f *Farm) Servers() []*Server { return f.servers }

// Server returns the server with an id, nil if there is none.
func (f *Farm) Server(id uint32) *Server {
	if id == 0 || int(id) > len(f.servers) {
		return nil
	}
	return f.servers[id-1]
}

// LimitUplink reduces the rate of a rack's uplink to a fraction of its full rate; a factor of 1 restores it.
func (f *Farm) LimitUplink(rack int, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rack >= 0 && rack < len(f.uplinkFactors) {
		f.uplinkFactors[rack] = factor
	}
}

// StreamCount returns the number of streams on all servers.
func (f *Farm) StreamCount() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		n += len(s.streams)
	}
	return n
}

// Close stops all servers.
func (f *Farm) Close() {
	f.stopOnce.Do(func() { close(f.stop) })
	for _, s := range f.servers {
		s.stop("farm closed", false)
		if s.httpServer != nil {
			s.httpServer.Close()
		}
	}
	f.running.Wait()
	for _, s := range f.servers {
		s.running.Wait()
	}
	f.reservation.Close()
}

// tickInterval is the interval at which rates are divided, streams expire and notes are sent.
const tickInterval = 50 * time.Millisecond

// run divides the rates, ends expired streams and sends notes, at each tick.
func (f *Farm) run() {
	defer f.running.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		f.mu.Lock()
		now := time.Now()
		f.shareRates(now)
		for _, s := range f.servers {
			s.endExpiredStreams(now)
			s.sendNotes(now)
		}
		f.mu.Unlock()
	}
}

// shareRates computes the share of their rate that the streams of each server get: the smaller of the shares that its
// link and its rack's uplink allow.
func (f *Farm) shareRates(now time.Time) {
	uplinkDemand := make([]float64, len(f.uplinks))
	for _, s := range f.servers {
		s.demand = 0
		for _, st := range s.streams {
			if st.playing {
				s.demand += f.params.Ladder[st.rung]
			}
		}
		uplinkDemand[s.rack] += s.demand
	}
	for _, s := range f.servers {
		linkRate, uplinkRate := s.linkKB*s.linkFactor, f.uplinks[s.rack]*f.uplinkFactors[s.rack]
		s.linkUse, s.uplinkUse = s.demand/max(linkRate, 1), uplinkDemand[s.rack]/max(uplinkRate, 1)
		share := min(1, 1/max(s.linkUse, 1e-9), 1/max(s.uplinkUse, 1e-9))
		if s.stalled || s.silent {
			share = 0
		}
		if math.Abs(share-s.share) > 0.005 || share == 1 && s.share != 1 {
			f.rec.Add(record.Event{Source: s.name(), Kind: record.RateShare, Server: s.ID, Value: share})
		}
		s.share = share
		s.samples = append(s.samples, sample{now, share, s.linkUse, s.uplinkUse})
		for len(s.samples) > 0 && now.Sub(s.samples[0].at) > f.params.NoteDelay+time.Second {
			s.samples = s.samples[1:]
		}
		if now.Sub(s.reportedAt) >= f.params.ReportInterval {
			s.reportedAt, s.reported = now, sample{now, share, s.linkUse, s.uplinkUse}
		}
	}
}

// sample is the delivered share and the link use of a server at one time.
type sample struct {
	at                        time.Time
	share, linkUse, uplinkUse float64
}

// delayedSample returns the most recent sample that is at least NoteDelay old.
func (s *Server) delayedSample(now time.Time) sample {
	for i := len(s.samples) - 1; i >= 0; i-- {
		if now.Sub(s.samples[i].at) >= s.farm.params.NoteDelay {
			return s.samples[i]
		}
	}
	return sample{share: 1}
}

// name returns the server's name in records.
func (s *Server) name() string { return fmt.Sprintf("media-%d", s.ID) }

// StreamCount returns the number of streams on the server.
func (s *Server) StreamCount() int {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	return len(s.streams)
}
