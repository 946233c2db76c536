// Command tealledge-platform is a front of the operators' platform, and nothing else: its configuration is the file that
// NODE_CONFIG names, and TEALLEDGE_LOG sets the level of its log (debug, info, warn or error). See docs/run/platform.md.
package main

import (
	"fmt"
	"os"

	"tealledge/internal/platform/program"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "tealledge-platform:", err)
		os.Exit(1)
	}
}

func run() error {
	configPath := os.Getenv("NODE_CONFIG")
	if configPath == "" {
		return fmt.Errorf("NODE_CONFIG is not set")
	}
	return program.Run(configPath, os.Getenv("TEALLEDGE_LOG"))
}
