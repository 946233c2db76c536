// Command benchlink runs fronts for the simulator, with its binary protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"tealledge/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
