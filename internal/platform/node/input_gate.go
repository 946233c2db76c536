package node

import (
	"sync"
	"sync/atomic"
	"time"

	"tealledge/decide/intake"
	"tealledge/internal/front"
)

// inputGate lets the readers of viewers' connections wait until intake.Scheduler grants their reads.
type inputGate struct {
	startedAt time.Time
	mu        sync.Mutex
	scheduler *intake.Scheduler
	waiting   map[*intake.Request]chan struct{} // closed when the request is granted
	retry     *time.Timer                       // for the next turn of a flood; nil: none is waited for

	waits, turns atomic.Uint64
	longestWait  atomic.Int64 // in nanoseconds
}

func newInputGate() *inputGate {
	return &inputGate{startedAt: time.Now(), waiting: map[*intake.Request]chan struct{}{},
		scheduler: intake.New(intake.Limits{Total: maxTotalUnprocessedBytes, Read: maxReadBytes, Bulk: maxBulkBytes,
			Burst: maxBurstBytes})}
}

// now returns the time since the start.
func (g *inputGate) now() front.Time { return int64(time.Since(g.startedAt)) }

// wait waits until a read is granted on a connection on which a number of bytes have arrived. It returns nil if the
// connection is closing.
func (g *inputGate) wait(k *client, arrived int) *intake.Request {
	g.mu.Lock()
	askedAt := g.now()
	request := g.scheduler.Ask(askedAt, &k.usage, intake.Standing(k.standing.Load()), arrived)
	granted := make(chan struct{})
	g.waiting[request] = granted
	g.grant()
	g.mu.Unlock()
	select {
	case <-granted:
	default:
		g.waits.Add(1)
		select {
		case <-granted:
		case <-k.dropping:
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.Granted() == 0 {
		g.scheduler.Cancel(request)
		delete(g.waiting, request)
		return nil
	}
	if request.Flood() {
		g.turns.Add(1)
	}
	g.longestWait.Store(max(g.longestWait.Load(), g.now()-askedAt))
	return request
}

// contended reports whether a read waits.
func (g *inputGate) contended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting) > 0
}

// grant grants what can be granted. It is called with the lock held.
func (g *inputGate) grant() {
	for {
		now := g.now()
		request, retryAt := g.scheduler.Next(now)
		if request == nil {
			if retryAt > 0 && g.retry == nil {
				g.retry = time.AfterFunc(time.Duration(retryAt-now), g.retryFlood)
			}
			return
		}
		close(g.waiting[request])
		delete(g.waiting, request)
	}
}

// retryFlood grants the next turn of a flood.
func (g *inputGate) retryFlood() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retry = nil
	g.grant()
}

// more asks for further bytes behind a read, without waiting.
func (g *inputGate) more(request *intake.Request, bytes int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.More(g.now(), request, bytes)
}

// unused gives back bytes that were granted and not read.
func (g *inputGate) unused(request *intake.Request, bytes int) {
	if bytes == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Unused(g.now(), request, bytes)
	g.grant()
}

// done counts bytes as processed.
func (g *inputGate) done(bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Done(bytes)
	g.grant()
}

// floodDone records that the read of a flood is processed.
func (g *inputGate) floodDone(request *intake.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.FloodDone(g.now(), request)
	g.grant()
}

// standingOf returns the standing of a connection by what it sent and whether a session was established on it.
func standingOf(valid, invalid uint64, served bool) intake.Standing {
	switch {
	case invalid > valid:
		return intake.Invalid
	case served:
		return intake.Served
	}
	return intake.Unknown
}
