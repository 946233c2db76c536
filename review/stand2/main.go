// Command stand2 plays the cases of the second independent review: it starts the project's front as the deploy file
// says, stands in for its servers, viewers and journal service by the operators' protocol page, makes the trouble of
// one case, and checks the rule that the case is about.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// world is what a case plays in.
type world struct {
	trouble  bool // false: the same without the disruption
	memoryMB int  // the front's limit
	started  time.Time
	journal  *journal
	servers  []*server
	front    *front

	mu     sync.Mutex
	record *os.File
	broken []string
}

// mostMemoryMB is the most memory that a front gets on scored days, and maxLength the time that a case may take.
const (
	mostMemoryMB = 192
	maxLength    = 115 * time.Second
)

// cases holds the cases by name. Each returns an error if it couldn't run; what broke the rule it reports by violation.
var cases = map[string]func(*world) error{
	"taken":  takenAddress,
	"end":    endUnsent,
	"burst":  burstOfRequests,
	"memory": memoryGrows,
	"batch":  endInBatch,
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "make the disruption")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *trouble, *record))
}

// run plays a case and returns the exit status.
func run(name string, trouble bool, path string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	w := &world{trouble: trouble, memoryMB: mostMemoryMB, started: time.Now(), record: file}
	go w.endEarly()
	w.log("case %s, trouble %v", name, trouble)
	err = play(w)
	if w.front != nil {
		if ended := w.front.stop(); ended != nil && err == nil {
			err = ended
		}
	}
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	switch {
	case len(broken) > 0:
		fmt.Printf("broken: %d times, the first: %s\n", len(broken), broken[0])
		return 1
	case err != nil:
		w.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	w.log("the rule held")
	fmt.Println("the rule held")
	return 0
}

// endEarly ends the front and this process if the case takes too long or is ended from outside.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	reason := "it takes too long"
	select {
	case s := <-signals:
		reason = s.String()
	case <-time.After(maxLength):
	}
	fmt.Println("could not run:", reason)
	if w.front != nil {
		w.front.stop()
	}
	os.Exit(2)
}

// since is the time since the start of the case.
func (w *world) since() time.Duration { return time.Since(w.started) }

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("BROKEN: %s", text)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	w.mu.Unlock()
}

// sleepUntil waits until a time since the start of the case.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(at - w.since()) }
