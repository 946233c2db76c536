package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestMain lets the test binary run as the command.
func TestMain(m *testing.M) {
	if os.Getenv("AS_BENCHLINK") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a wrong exit code, or a missing error message, for truncated or invalid input.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		in   string
		code int
	}{
		{"", 0},
		{"\x0c\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00", 0},
		{"\x0c\x00", 1},
		{"\xff\xff\xff\xffgarbage", 1},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "AS_BENCHLINK=1")
		cmd.Stdin = strings.NewReader(c.in)
		var stderr strings.Builder
		cmd.Stderr = &stderr
		cmd.Run()
		if got := cmd.ProcessState.ExitCode(); got != c.code {
			t.Errorf("%q: exit %d, want %d", c.in, got, c.code)
		}
		if lines := strings.Count(stderr.String(), "\n"); lines != c.code ||
			(c.code == 1 && !strings.HasPrefix(stderr.String(), "benchlink: ")) {
			t.Errorf("%q: stderr %q", c.in, stderr.String())
		}
	}
}
