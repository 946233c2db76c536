package node

import (
	"time"

	"tealledge/internal/front"
)

// A new configuration: SIGHUP has the file read again, beside the owner; of it only the journal's address is taken.

// A file that can't be used is read again for so long: it may be half written when the signal comes.
const (
	reloadTries = 20
	reloadPause = 100 * time.Millisecond
)

type (
	reload   struct{}
	reloaded struct {
		cfg *Config
		err error
	}
)

// Reload has the configuration read again.
func (n *Node) Reload() { n.queue.Force(reload{}) }

// reload reads the file off the owner's way. Danger: parsed by the owner, a list of hundreds of servers holds all answers up.
func (n *Node) reload() {
	if n.reading { // what is read now may be the file of before
		n.readAgain = true
		return
	}
	n.reading, n.readAgain = true, false
	go func() {
		cfg, err := Load(n.path)
		for try := 1; err != nil && try < reloadTries; try++ {
			select {
			case <-n.done:
				return
			case <-time.After(reloadPause):
			}
			cfg, err = Load(n.path)
		}
		n.queue.Force(reloaded{cfg, err})
	}()
}

// reloaded takes a file that was read. One that can't be used changes nothing.
func (n *Node) reloaded(now front.Time, e reloaded) {
	n.reading = false
	if n.readAgain {
		n.reload()
	}
	if e.err != nil {
		n.log.Error().Err(e.err).Msg("configuration not taken; the old one stands")
		return
	}
	n.log.Info().Str("journal", e.cfg.Journal).Msg("configuration read again")
	n.watch.Moved(now, e.cfg.Journal)
}
