package main

import (
	"net"
	"slices"
	"testing"
	"time"
)

// Nine in ten restarted processes are ready within 10 s. A start waits for nothing but its configuration and its address: not for
// the list, which may be silent, refused or never answered, nor for servers, of which 1,100 are listed and none answers.
func TestAStartWaitsForNobody(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections, says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	many := siteSettings()
	many["family-info"].(tree)["positions"] = 10
	for name, journal := range map[string]string{"silent": silent.Addr().String(), "refused": freeAddr(t), "none": ""} {
		var took []time.Duration
		for range 10 {
			p := start(t, many, listOf(nil, 1100), journal, 256)
			took = append(took, p.ready())
			p.cmd.Process.Kill()
			<-p.ended
		}
		slices.Sort(took)
		t.Logf("discovery %s: ready after %v to %v, nine in ten within %v", name, took[0], took[9], took[8])
		if took[8] > 10*time.Second {
			t.Errorf("discovery %s: nine in ten ready within %v", name, took[8])
		}
	}
}
