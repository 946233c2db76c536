package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

// Limits of a droppingWriter.
const (
	maxWaitingLines = 4096
	logFlushTimeout = 20 * time.Millisecond // the process ends 100 ms before it may be killed
)

// droppingWriter writes log lines in another goroutine and drops the oldest ones if they are not read in time, so that
// a slow reader of the log never blocks its writers.
type droppingWriter struct{ lines diode.Writer }

// newDroppingWriter returns a droppingWriter to out, which it does not close.
func newDroppingWriter(out io.Writer) droppingWriter {
	onDropped := func(lines int) {
		fmt.Fprintf(out, `{"level":"warn","lines":%d,"message":"log lines dropped: they were not read in time"}`+"\n", lines)
	}
	const wakeOnWrite = 0 // and not at an interval
	return droppingWriter{diode.NewWriter(struct{ io.Writer }{out}, maxWaitingLines, wakeOnWrite, onDropped)}
}

// Write queues a line.
func (w droppingWriter) Write(line []byte) (int, error) { return w.lines.Write(line) }

// flush writes the lines that wait, for at most logFlushTimeout. Nothing may be written after it.
func (w droppingWriter) flush() {
	written := make(chan struct{})
	go func() {
		w.lines.Close()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(logFlushTimeout):
	}
}
