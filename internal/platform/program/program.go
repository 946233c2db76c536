// Package program runs a front of the operators' platform as this process: its signals, its limits and its log. It needs
// nothing of the other programs, whose code would take more memory than the front itself.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"tealledge/internal/logging"
	"tealledge/internal/platform/node"
)

// heapShare is the share of the memory limit that the heap may use: the garbage collector runs more often near it. The
// rest is for the program itself, stacks, and the buffers of the sockets.
const heapShare = 0.6

// Run runs a front on a configuration file until SIGTERM has ended it, or an interrupt. logLevel is debug, info, warn or
// error.
func Run(configPath, logLevel string) error {
	// Handle signals before anything else: a signal that arrives earlier, such as SIGHUP to a front that is still
	// starting, would end the process.
	signals := receiveSignals(syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	cfg, err := node.Load(configPath)
	if err != nil {
		return err
	}
	if err := cfg.CheckEnvironment(); err != nil {
		return err
	}
	procs, memory := cfg.RuntimeLimits()
	runtime.GOMAXPROCS(procs)
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * heapShare))
		debug.SetGCPercent(50)
	}
	logWriter := logging.NewDroppingWriter(os.Stderr)
	defer logWriter.Flush()
	n, err := node.New(cfg, configPath, logging.New(logWriter, logLevel))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for s := range signals {
			switch s.signal {
			case syscall.SIGHUP:
				n.Reload()
			case syscall.SIGTERM:
				n.Shutdown(s.receivedAt)
			default:
				stop()
			}
		}
	}()
	if err := n.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}

// receivedSignal is a signal and the time when it was received.
type receivedSignal struct {
	signal     os.Signal
	receivedAt time.Time
}

// receiveSignals receives signals from now on. Their times are taken at once: a front that is still starting handles
// them later, and the time of its kill counts from SIGTERM. Each kind has its own channel: a series of one kind doesn't
// displace another.
func receiveSignals(kinds ...os.Signal) <-chan receivedSignal {
	received := make(chan receivedSignal)
	for _, kind := range kinds {
		raw := make(chan os.Signal, 1)
		signal.Notify(raw, kind)
		go func() {
			for s := range raw {
				received <- receivedSignal{s, time.Now()}
			}
		}()
	}
	return received
}
