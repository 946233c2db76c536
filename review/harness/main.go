// Command harness runs the cases of the review. It starts the front by the deploy file's command, as a process of its
// own, and plays its clients, its servers, the journal service and the network between them, all on loopback addresses
// and by the operators' protocol page. It shares no code with the front.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a case that hangs.
const maxRun = 110 * time.Second

// cases holds the scenarios. Each returns what broke its rule: nothing if the rule held.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"big-bodies":    bigBodies,
	"broken-answer": brokenAnswer,
	"slow-journal":  slowJournal,
	"same-again":    sameAgain,
	"owed-end":      owedEnd,
	"search":        search,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(name, root, record string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	w.rec("case %s, trouble %v", name, trouble)
	go func() {
		broken, err := cases[name](w, trouble)
		done <- result{broken, err}
	}()
	select {
	case <-stopped:
		w.rec("stopped by a signal")
		return exitNotRun
	case <-time.After(maxRun):
		w.rec("out of time")
		return exitNotRun
	case r := <-done:
		if r.err != nil {
			w.rec("could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, "could not run:", r.err)
			return exitNotRun
		}
		for _, b := range r.broken {
			w.rec("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		if len(r.broken) > 0 {
			return exitBroken
		}
		w.rec("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
