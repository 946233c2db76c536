package node

import (
	"time"

	"tealledge/internal/front"
)

// An invalid file is read again for maxReloadAttempts * reloadRetryInterval: it may be half written when the signal
// arrives.
const (
	maxReloadAttempts   = 20
	reloadRetryInterval = 100 * time.Millisecond
)

// Queue items of a reload.
type (
	reloadRequested struct{}
	configLoaded    struct {
		cfg *Config
		err error
	}
)

// Reload reads the configuration file again, as requested by SIGHUP. Only the journal's address is taken from it.
func (n *Node) Reload() { n.queue.Force(reloadRequested{}) }

// loadConfig reads the file in another goroutine: parsing a list of hundreds of servers on the owner goroutine would
// delay all answers.
func (n *Node) loadConfig() {
	if n.reloading { // the current read may have seen the previous file
		n.reloadAgain = true
		return
	}
	n.reloading, n.reloadAgain = true, false
	go func() {
		cfg, err := Load(n.configPath)
		for attempt := 1; err != nil && attempt < maxReloadAttempts; attempt++ {
			select {
			case <-n.done:
				return
			case <-time.After(reloadRetryInterval):
			}
			cfg, err = Load(n.configPath)
		}
		n.queue.Force(configLoaded{cfg, err})
	}()
}

// applyConfig applies a configuration that was read. An invalid one changes nothing.
func (n *Node) applyConfig(now front.Time, e configLoaded) {
	n.reloading = false
	if n.reloadAgain {
		n.loadConfig()
	}
	if e.err != nil {
		n.log.Error().Err(e.err).Msg("configuration not taken; the old one stands")
		return
	}
	n.log.Info().Str("journal", e.cfg.Journal).Msg("configuration read again")
	n.follower.AddressChanged(now, e.cfg.Journal)
}
