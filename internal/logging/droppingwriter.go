package logging

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

// Limits of a DroppingWriter.
const (
	maxWaitingLines = 4096
	flushTimeout    = 20 * time.Millisecond // the process ends 100 ms before it may be killed
)

// DroppingWriter writes log lines in another goroutine and drops the oldest ones if they are not read in time, so that
// a slow reader of the log never blocks its writers.
type DroppingWriter struct{ lines diode.Writer }

// NewDroppingWriter returns a DroppingWriter to out, which it does not close.
func NewDroppingWriter(out io.Writer) DroppingWriter {
	onDropped := func(lines int) {
		fmt.Fprintf(out, `{"level":"warn","lines":%d,"message":"log lines dropped: they were not read in time"}`+"\n", lines)
	}
	const wakeOnWrite = 0 // and not at an interval
	return DroppingWriter{diode.NewWriter(struct{ io.Writer }{out}, maxWaitingLines, wakeOnWrite, onDropped)}
}

// Write queues a line.
func (w DroppingWriter) Write(line []byte) (int, error) { return w.lines.Write(line) }

// Flush writes the lines that wait, for at most flushTimeout. Nothing may be written after it.
func (w DroppingWriter) Flush() {
	written := make(chan struct{})
	go func() {
		w.lines.Close()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(flushTimeout):
	}
}
