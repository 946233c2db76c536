package fleetsim

import (
	"io"
	"log"
)

// nullLog takes the quorum's own words: a simulated fleet's are many.
func nullLog() *log.Logger { return log.New(io.Discard, "", 0) }
