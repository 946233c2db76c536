package main

import (
	"io"
	"net"
	"strings"
	"time"

	"tealledge/internal/platform/wire"
	"tealledge/internal/standin/platformsim"
)

// The faults of a shutdownTrial.

// serverFault changes the faults of a server, resets its connections, or restarts its process.
func (x *shutdownTrial) serverFault() {
	server := x.servers[x.random.IntN(len(x.servers))]
	delay := x.between(0, 1200*time.Millisecond)
	switch x.random.IntN(12) {
	case 0, 1, 2:
		server.SetFaults(platformsim.Faults{NoReply: true})
	case 3, 4:
		server.SetFaults(platformsim.Faults{ReplyDelay: delay})
	case 5:
		server.SetFaults(platformsim.Faults{Full: true, ReplyDelay: delay / 4})
	case 6:
		server.SetFaults(platformsim.Faults{Error: true, ReplyDelay: delay / 4})
	case 7:
		server.SetFaults([]platformsim.Faults{{InvalidReply: true}, {HalfReply: true}, {BreakReply: true},
			{CloseConn: true}, {DuplicateReply: true}, {HugeText: true}}[x.random.IntN(6)])
	case 8:
		server.ResetConns()
	case 9:
		server.Kill()
		if err := server.Start(); err != nil {
			x.t.Error(err)
		}
	default:
		server.SetFaults(platformsim.Faults{})
	}
}

// journalFault breaks the journal service for a while, or drains a server.
func (x *shutdownTrial) journalFault() {
	server := x.servers[x.random.IntN(len(x.servers))]
	health := []string{wire.HostDraining, wire.HostReady}[x.random.IntN(2)]
	fault := x.random.IntN(4)
	switch {
	case !x.disturbed || fault == 0:
		x.journal.SetSilent(false)
		x.journal.AddServers(false, health, server)
	case fault == 1:
		x.journal.SetSilent(true)
	case fault == 2:
		x.journal.SetSilent(false)
	case fault == 3:
		x.journal.BreakConns()
	}
}

// badClient sends what no viewer sends, on a connection of its own.
func (x *shutdownTrial) badClient() {
	text := []string{"noise\n", strings.Repeat("x", 20_000), `{"msg":"open","sid":"`,
		strings.Repeat(`{"msg":"open","sid":"00000000000000ff","attrs":{"class":"none"},"text":"x"}`+"\n", 300),
		strings.Repeat(`{"msg":"close","sid":"00000000000000fe","attrs":{},"code":16}`+"\n", 3000)}[x.random.IntN(5)]
	hold := x.between(0, time.Second)
	addr := x.front.addr
	x.others.Go(func() {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(hold + time.Second))
		conn.Write([]byte(text))
		time.Sleep(hold)
	})
}

// flood has bad clients that send at full speed from now until a given time.
func (x *shutdownTrial) flood(until time.Time) {
	line := []string{`{"msg":"open","sid":"00000000000000ff","attrs":{"class":"none"},"text":"x"}` + "\n",
		`{"msg":"close","sid":"00000000000000fe","attrs":{},"code":16}` + "\n"}[x.random.IntN(2)]
	text := []byte(strings.Repeat(line, 1000))
	addr := x.front.addr
	for range 1 + x.random.IntN(6) {
		x.others.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(until)
			go io.Copy(io.Discard, conn)
			for err == nil {
				_, err = conn.Write(text)
			}
		})
	}
}
