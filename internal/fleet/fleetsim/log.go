package fleetsim

import (
	"io"
	"log"
)

// discardLogger drops the raft library's log lines, of which a simulated fleet writes many.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
