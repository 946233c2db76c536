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

// Shape is the arrival pattern of requests.
type Shape string

// The arrival patterns.
const (
	Poisson Shape = "poisson" // at a steady mean rate
	Classes Shape = "classes" // thirty at once, as when a school class opens the same title together
	Ramp    Shape = "ramp"    // from zero to twice the rate
	Closed  Shape = "closed"  // closed loop: each client sends the next request as soon as it receives a reply
)

// classSize is the number of players in a school class.
const classSize = 30

// Plan describes a load.
type Plan struct {
	Front            func(n int) (name, addr string) // the front of the n-th client
	Clients          int                             // number of client connections
	Duration         time.Duration                   // how long requests are sent
	Rate             float64                         // requests per second of all clients together
	Shape            Shape
	HoldTime         [2]time.Duration // minimum and maximum time for which a session is held
	Titles           []string
	Classes          []string
	ClassShares      []float64 // shares of the classes; nil: equal shares
	Tenant           string
	Top              int
	MisbehavingShare float64       // number of further clients that misbehave meanwhile, as a share of Clients
	ReconnectDelay   time.Duration // delay before a lost connection is dialled again; 0: 100 ms
	Seed             int64
	PeerEchoes       bool          // the peer is an Echo
	Timeout          time.Duration // each player gives up after this; 0: the deadline of its class
}

// Result is the result of a Plan.
type Result struct {
	Sent, Unsent int
	Kinds        map[string]int // plays, refused, failed, error, broken
	Seconds      float64
	Opened       float64 // requests with a reply, per second
	Goodput      float64 // requests answered with plays within a second, per second
	Late         int     // replies after more than 1.1 s, or lost with the connection
	goodReplies  int
	Latency      Quantiles
	histogram    *hdrhistogram.Histogram
}

// Quantiles are quantiles of the latency, in milliseconds.
type Quantiles struct{ P50, P90, P99, P999, Max float64 }

// Runner runs a plan.
type Runner struct {
	plan         Plan
	rec          *record.Log
	rng          *rand.Rand
	ctx          context.Context
	readers      sync.WaitGroup
	mu           sync.Mutex
	result       Result
	openRequests sync.WaitGroup
}

// Run runs a plan. rec records what crossed the clients' sockets; with nil, nothing is recorded.
func Run(ctx context.Context, plan Plan, rec *record.Log) (*Result, error) {
	if plan.Clients < 1 || len(plan.Titles) == 0 || len(plan.Classes) == 0 || plan.Shape != Closed && plan.Rate <= 0 {
		return nil, fmt.Errorf("load: clients, titles, classes and a rate are required")
	}
	if plan.ReconnectDelay <= 0 {
		plan.ReconnectDelay = 100 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Runner{plan: plan, rec: rec, rng: rand.New(rand.NewSource(plan.Seed)), ctx: ctx,
		result: Result{Kinds: map[string]int{}, histogram: hdrhistogram.New(1, 60_000_000, 3)}}
	var clients []*client
	defer func() {
		cancel()
		for _, c := range clients {
			c.close()
		}
		r.readers.Wait()
	}()
	for n := range plan.Clients {
		c, err := r.dial(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("load: client %d: %w", n, err)
		}
		clients = append(clients, c)
	}
	misbehaving := r.runMisbehaving()
	startedAt := time.Now()
	if plan.Shape == Closed {
		r.closedLoop(clients)
	} else {
		r.openLoop(clients, startedAt)
	}
	r.result.Seconds = time.Since(startedAt).Seconds()
	r.waitForReplies(10 * time.Second)
	for _, c := range clients { // close the sessions that are still held
		c.mu.Lock()
		var sessions []string
		for s := range c.playing {
			sessions = append(sessions, s)
		}
		c.mu.Unlock()
		for _, s := range sessions {
			c.closeSession(s)
		}
	}
	time.Sleep(50 * time.Millisecond)
	cancel()
	misbehaving.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summarize()
	return &r.result, nil
}

// waitForReplies waits until no request is open, at most for timeout.
func (r *Runner) waitForReplies(timeout time.Duration) {
	done := make(chan struct{})
	go func() { r.openRequests.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// summarize computes the figures of the result.
func (r *Runner) summarize() {
	histogram, ms := r.result.histogram, func(us int64) float64 { return float64(us) / 1000 }
	r.result.Latency = Quantiles{ms(histogram.ValueAtQuantile(50)), ms(histogram.ValueAtQuantile(90)),
		ms(histogram.ValueAtQuantile(99)), ms(histogram.ValueAtQuantile(99.9)), ms(histogram.Max())}
	r.result.Opened = float64(histogram.TotalCount()) / r.result.Seconds
	r.result.Goodput = float64(r.result.goodReplies) / r.result.Seconds
}

// countReply counts a reply, or a request that was lost with its connection ("broken").
func (r *Runner) countReply(kind string, due time.Time) {
	elapsed := time.Since(due).Microseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Kinds[kind]++
	if kind == "plays" && elapsed <= 1_000_000 {
		r.result.goodReplies++
	}
	if elapsed > 1_100_000 || kind == "broken" {
		r.result.Late++
	}
	if kind != "broken" {
		r.result.histogram.RecordValue(min(max(elapsed, 1), 60_000_000))
	}
}

// requestParams returns the parameters of a request and its record; the class, and the title if it is negative, are
// drawn at random.
func (r *Runner) requestParams(viewer, title int) (text string, event record.Event) {
	draw, class := r.rng.Float64(), 0
	for i := range r.plan.Classes {
		share := 1 / float64(len(r.plan.Classes))
		if r.plan.ClassShares != nil {
			share = r.plan.ClassShares[i]
		}
		if class = i; draw < share {
			break
		}
		draw -= share
	}
	if title < 0 {
		title = r.rng.Intn(len(r.plan.Titles))
	}
	name := fmt.Sprintf("load-%d", viewer)
	fields := map[string]any{"title": r.plan.Titles[title], "class": r.plan.Classes[class], "viewer": name}
	if r.plan.Tenant != "" {
		fields["tenant"] = r.plan.Tenant
	}
	if r.plan.Timeout > 0 {
		fields["deadlineMs"] = r.plan.Timeout.Milliseconds()
	}
	if r.plan.Top > 0 {
		fields["top"] = r.plan.Top
	}
	b, _ := json.Marshal(fields)
	return string(b), record.Event{Class: class, Title: r.plan.Titles[title], Viewer: playersim.HashViewer(name),
		Timeout: int64(r.plan.Timeout)}
}

// drawHoldTime returns a random time within HoldTime.
func (r *Runner) drawHoldTime() time.Duration {
	return r.plan.HoldTime[0] + time.Duration(r.rng.Float64()*float64(r.plan.HoldTime[1]-r.plan.HoldTime[0]))
}

// openLoop sends requests at random times that do not depend on the replies.
func (r *Runner) openLoop(clients []*client, startedAt time.Time) {
	seconds, n, length := 0.0, 0, r.plan.Duration.Seconds()
	for {
		size, title := 1, -1
		switch r.plan.Shape {
		case Classes:
			size, title = classSize, r.rng.Intn(len(r.plan.Titles))
			seconds += r.rng.ExpFloat64() * classSize / r.plan.Rate
		case Ramp: // the rate grows with time: 2*rate*seconds/length
			seconds = math.Sqrt(seconds*seconds + r.rng.ExpFloat64()*length/r.plan.Rate)
		default:
			seconds += r.rng.ExpFloat64() / r.plan.Rate
		}
		if seconds >= length || r.ctx.Err() != nil {
			return
		}
		due := startedAt.Add(time.Duration(seconds * float64(time.Second)))
		time.Sleep(time.Until(due))
		for range size {
			n++
			params, event := r.requestParams(n, title)
			r.sendRequest(clients[n%len(clients)], params, event, due, r.drawHoldTime())
		}
	}
}

// sendRequest sends one request; its session is held for holdTime.
func (r *Runner) sendRequest(c *client, params string, event record.Event, due time.Time, holdTime time.Duration) {
	r.openRequests.Add(1)
	req := &request{due: due, event: event}
	req.done = func(kind, session string) {
		r.countReply(kind, due)
		if kind == "plays" {
			time.AfterFunc(holdTime, func() { c.closeSession(session) })
		}
		r.openRequests.Done()
	}
	sent := c.send(req, params)
	r.mu.Lock()
	if sent {
		r.result.Sent++
	} else {
		r.result.Unsent++
	}
	r.mu.Unlock()
	if !sent {
		r.openRequests.Done()
	}
}

// closedLoop makes each client send the next request as soon as it receives a reply.
func (r *Runner) closedLoop(clients []*client) {
	var wg sync.WaitGroup
	endAt := time.Now().Add(r.plan.Duration)
	for _, c := range clients {
		r.mu.Lock()
		params, event := r.requestParams(c.index, -1)
		r.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies := make(chan string, 1)
			for time.Now().Before(endAt) && r.ctx.Err() == nil {
				due := time.Now()
				req := &request{due: due, event: event, done: func(kind, session string) {
					r.countReply(kind, due)
					replies <- session
				}}
				if !c.send(req, params) {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				r.mu.Lock()
				r.result.Sent++
				r.mu.Unlock()
				if s := <-replies; s != "" {
					c.closeSession(s)
				}
			}
		}()
	}
	wg.Wait()
}

// runMisbehaving runs misbehaving players beside the regular ones until ctx ends.
func (r *Runner) runMisbehaving() *sync.WaitGroup {
	var wg sync.WaitGroup
	misbehaviours := []playersim.Misbehaviour{playersim.LeaveAtOnce, playersim.LeaveLater, playersim.HalfFrame,
		playersim.Garbage, playersim.Unmasked, playersim.SlowRead, playersim.NeverPong, playersim.Pipeline}
	crowd := playersim.New(r.rec, r.plan.Seed+1, 0, r.plan.Front)
	for i := range int(r.plan.MisbehavingShare * float64(r.plan.Clients)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := 0; r.ctx.Err() == nil; k++ {
				class := (i + k) % len(r.plan.Classes)
				crowd.Watch(r.ctx, playersim.Viewer{Name: fmt.Sprintf("bad-%d-%d", i, k),
					Title: r.plan.Titles[(i+k)%len(r.plan.Titles)],
					Class: r.plan.Classes[class], ClassIndex: class, Tenant: r.plan.Tenant, WatchTime: time.Second,
					Misbehaviour: misbehaviours[(i+k)%len(misbehaviours)]})
				select {
				case <-r.ctx.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		}()
	}
	return &wg
}

// Table returns the result as text.
func (r *Result) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent %d, not sent %d, in %.1f s; answered %.0f a second\n", r.Sent, r.Unsent, r.Seconds, r.Opened)
	for _, k := range []string{"plays", "refused", "failed", "error", "broken"} {
		fmt.Fprintf(&b, "  %-8s %d\n", k, r.Kinds[k])
	}
	latency := r.Latency
	fmt.Fprintf(&b, "  of them after a second or not at all: %d\ndue to answer, ms: p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f\n",
		r.Late, latency.P50, latency.P90, latency.P99, latency.P999, latency.Max)
	return b.String()
}

// nines returns a share as its number of nines: 1 is 90%, 2 is 99%.
func nines(q float64) float64 { return -math.Log10(1 - q) }
