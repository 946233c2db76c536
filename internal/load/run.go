package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tealledge/internal/record"
	"tealledge/internal/standin/playersim"
)

// Shape is how requests arrive.
type Shape string

// The shapes.
const (
	Poisson Shape = "poisson" // at a steady mean rate
	Classes Shape = "classes" // thirty at once, as a class that opens one guide together
	Ramp    Shape = "ramp"    // from nothing to twice the rate
	Closed  Shape = "closed"  // each client asks again as soon as it is answered; no open loop
)

// classSize is how many players a class has.
const classSize = 30

// Plan is a load.
type Plan struct {
	Front     func(n int) (name, addr string)
	Clients   int
	Length    time.Duration
	Rate      float64 // requests a second in all
	Shape     Shape
	Hold      [2]time.Duration
	Titles    []string
	Classes   []string
	Mix       []float64 // shares of the classes; nil: alike
	Tenant    string
	Top       int
	Bad       float64 // share of further clients that misbehave meanwhile
	Reconnect time.Duration
	Seed      int64
	Echo      bool          // the peer is an Echo
	Wait      time.Duration // each player gives up after; 0: as its class says
}

// Result is what came of it.
type Result struct {
	Sent, Unsent int
	Kinds        map[string]int // plays, refused, failed, error, broken
	Seconds      float64
	Opened       float64 // answered requests a second
	Goodput      float64 // that play, answered within a second, each second
	Late         int     // answers after a second, or none
	good         int
	Latency      Quantiles
	hist         *hdrhistogram.Histogram
}

// Quantiles of open to answer, in milliseconds.
type Quantiles struct{ P50, P90, P99, P999, Max float64 }

// Runner runs a plan.
type Runner struct {
	plan    Plan
	rec     *record.Log
	rng     *rand.Rand
	ctx     context.Context
	readers sync.WaitGroup
	mu      sync.Mutex
	res     Result
	open    sync.WaitGroup
}

// Run plays a plan. rec takes what crossed the clients' sockets; nil drops it.
func Run(ctx context.Context, p Plan, rec *record.Log) (*Result, error) {
	if p.Clients < 1 || len(p.Titles) == 0 || len(p.Classes) == 0 || p.Shape != Closed && p.Rate <= 0 {
		return nil, fmt.Errorf("load: clients, titles, classes and a rate are needed")
	}
	if p.Reconnect <= 0 {
		p.Reconnect = 100 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Runner{plan: p, rec: rec, rng: rand.New(rand.NewSource(p.Seed)), ctx: ctx,
		res: Result{Kinds: map[string]int{}, hist: hdrhistogram.New(1, 60_000_000, 3)}}
	var clients []*client
	defer func() {
		cancel()
		for _, c := range clients {
			c.close()
		}
		r.readers.Wait()
	}()
	for n := range p.Clients {
		c, err := r.dial(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("load: client %d: %w", n, err)
		}
		clients = append(clients, c)
	}
	bad := r.misbehave()
	began := time.Now()
	if p.Shape == Closed {
		r.closed(clients)
	} else {
		r.openLoop(clients, began)
	}
	r.res.Seconds = time.Since(began).Seconds()
	r.wait(10 * time.Second)
	for _, c := range clients { // sessions still held are closed properly
		c.mu.Lock()
		var list []string
		for s := range c.playing {
			list = append(list, s)
		}
		c.mu.Unlock()
		for _, s := range list {
			c.end(s)
		}
	}
	time.Sleep(50 * time.Millisecond)
	cancel()
	bad.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finish()
	return &r.res, nil
}

// wait waits for open requests, for so long at most.
func (r *Runner) wait(most time.Duration) {
	done := make(chan struct{})
	go func() { r.open.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(most):
	}
}

func (r *Runner) finish() {
	h, ms := r.res.hist, func(us int64) float64 { return float64(us) / 1000 }
	r.res.Latency = Quantiles{ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.ValueAtQuantile(99)), ms(h.ValueAtQuantile(99.9)), ms(h.Max())}
	r.res.Opened = float64(h.TotalCount()) / r.res.Seconds
	r.res.Goodput = float64(r.res.good) / r.res.Seconds
}

// booked counts an answer.
func (r *Runner) booked(kind string, due time.Time) {
	took := time.Since(due).Microseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Kinds[kind]++
	if kind == "plays" && took <= 1_000_000 {
		r.res.good++
	}
	if took > 1_100_000 || kind == "broken" {
		r.res.Late++
	}
	if kind != "broken" {
		r.res.hist.RecordValue(min(max(took, 1), 60_000_000))
	}
}

// params draws what a request asks for.
func (r *Runner) params(viewer, title int) (text string, ask record.Event) {
	draw, class := r.rng.Float64(), 0
	for i := range r.plan.Classes {
		part := 1 / float64(len(r.plan.Classes))
		if r.plan.Mix != nil {
			part = r.plan.Mix[i]
		}
		if class = i; draw < part {
			break
		}
		draw -= part
	}
	if title < 0 {
		title = r.rng.Intn(len(r.plan.Titles))
	}
	name := fmt.Sprintf("load-%d", viewer)
	m := map[string]any{"title": r.plan.Titles[title], "class": r.plan.Classes[class], "viewer": name}
	if r.plan.Tenant != "" {
		m["tenant"] = r.plan.Tenant
	}
	if r.plan.Wait > 0 {
		m["deadlineMs"] = r.plan.Wait.Milliseconds()
	}
	if r.plan.Top > 0 {
		m["top"] = r.plan.Top
	}
	b, _ := json.Marshal(m)
	return string(b), record.Event{Class: class, Title: r.plan.Titles[title], Viewer: playersim.Hash(name), Timeout: int64(r.plan.Wait)}
}

func (r *Runner) hold() time.Duration {
	return r.plan.Hold[0] + time.Duration(r.rng.Float64()*float64(r.plan.Hold[1]-r.plan.Hold[0]))
}

// openLoop sends at times drawn ahead, whatever comes back.
func (r *Runner) openLoop(clients []*client, began time.Time) {
	at, n, length := 0.0, 0, r.plan.Length.Seconds()
	for {
		size, title := 1, -1
		switch r.plan.Shape {
		case Classes:
			size, title = classSize, r.rng.Intn(len(r.plan.Titles))
			at += r.rng.ExpFloat64() * classSize / r.plan.Rate
		case Ramp: // the rate grows with time: 2*rate*at/length
			at = math.Sqrt(at*at + r.rng.ExpFloat64()*length/r.plan.Rate)
		default:
			at += r.rng.ExpFloat64() / r.plan.Rate
		}
		if at >= length || r.ctx.Err() != nil {
			return
		}
		due := began.Add(time.Duration(at * float64(time.Second)))
		time.Sleep(time.Until(due))
		for range size {
			n++
			params, ask := r.params(n, title)
			r.one(clients[n%len(clients)], params, ask, due, r.hold())
		}
	}
}

func (r *Runner) one(c *client, params string, ask record.Event, due time.Time, hold time.Duration) {
	r.open.Add(1)
	q := &request{due: due, ask: ask}
	q.done = func(kind, session string) {
		r.booked(kind, due)
		if kind == "plays" {
			time.AfterFunc(hold, func() { c.end(session) })
		}
		r.open.Done()
	}
	sent := c.send(q, params)
	r.mu.Lock()
	if sent {
		r.res.Sent++
	} else {
		r.res.Unsent++
	}
	r.mu.Unlock()
	if !sent {
		r.open.Done()
	}
}

// closed has each client ask again as soon as it is answered.
func (r *Runner) closed(clients []*client) {
	var wg sync.WaitGroup
	end := time.Now().Add(r.plan.Length)
	for _, c := range clients {
		r.mu.Lock()
		params, ask := r.params(c.n, -1)
		r.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := make(chan string, 1)
			for time.Now().Before(end) && r.ctx.Err() == nil {
				due := time.Now()
				q := &request{due: due, ask: ask, done: func(kind, session string) { r.booked(kind, due); got <- session }}
				if !c.send(q, params) {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				r.mu.Lock()
				r.res.Sent++
				r.mu.Unlock()
				if s := <-got; s != "" {
					c.end(s)
				}
			}
		}()
	}
	wg.Wait()
}

// misbehave runs bad players beside the good ones until ctx ends.
func (r *Runner) misbehave() *sync.WaitGroup {
	var wg sync.WaitGroup
	ways := []playersim.Bad{playersim.LeaveAtOnce, playersim.LeaveLater, playersim.HalfFrame, playersim.Garbage, playersim.Unmasked,
		playersim.SlowRead, playersim.NeverPong, playersim.Pipeline}
	crowd := playersim.New(r.rec, r.plan.Seed+1, 0, r.plan.Front)
	for i := range int(r.plan.Bad * float64(r.plan.Clients)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; r.ctx.Err() == nil; k++ {
				class := (i + k) % len(r.plan.Classes)
				crowd.Watch(r.ctx, playersim.Viewer{Name: fmt.Sprintf("bad-%d-%d", i, k), Title: r.plan.Titles[(i+k)%len(r.plan.Titles)],
					Class: r.plan.Classes[class], ClassN: class, Tenant: r.plan.Tenant, Length: time.Second, Bad: ways[(i+k)%len(ways)]})
				select {
				case <-r.ctx.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		}()
	}
	return &wg
}

// Table writes a result as text.
func (r *Result) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent %d, not sent %d, in %.1f s; answered %.0f a second\n", r.Sent, r.Unsent, r.Seconds, r.Opened)
	for _, k := range []string{"plays", "refused", "failed", "error", "broken"} {
		fmt.Fprintf(&b, "  %-8s %d\n", k, r.Kinds[k])
	}
	l := r.Latency
	fmt.Fprintf(&b, "  of them after a second or not at all: %d\ndue to answer, ms: p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f\n", r.Late, l.P50, l.P90, l.P99, l.P999, l.Max)
	return b.String()
}

func nines(q float64) float64 { return -math.Log10(1 - q) }
