package mediasim

import (
	"net"
	"os"
	"time"
)

// Further addresses of a server, and how each behaves.

// extraListener is a further address of a server.
type extraListener struct {
	network, addr string
	listener      net.Listener
	mode          string // one of the Address modes, see SetAddressMode
}

// listen opens the address. It retries for a second, since the old process may still hold the address.
func (l *extraListener) listen() (err error) {
	if l.network == "unix" {
		os.Remove(l.addr)
	}
	for range 50 {
		if l.listener, err = net.Listen(l.network, l.addr); err == nil {
			l.addr = l.listener.Addr().String()
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// Addrs returns all addresses of the server, IPv4 first.
func (s *Server) Addrs() []string {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	list := []string{s.addr}
	for _, l := range s.extraListeners {
		list = append(list, l.addr)
	}
	return list
}

// Modes of an address: AddressGood, or a fault.
const (
	AddressGood   = ""
	AddressSilent = "silent" // accepts, reads and never responds
	AddressResets = "resets" // accepts, then resets the connection
	AddressStalls = "stalls" // responds to OPTIONS, but to no set-up
)

// SetAddressMode sets the mode of the address of a network (tcp, tcp6, unix) for new connections. If the mode is a
// fault, open connections to that address are closed.
func (s *Server) SetAddressMode(network, mode string) {
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	if network == "tcp" {
		s.mode = mode
	}
	for _, l := range s.extraListeners {
		if l.network == network {
			l.mode = mode
		}
	}
	for c := range s.conns {
		if c.network == network && mode != AddressGood {
			c.nc.Close()
		}
	}
}

// listenerMode returns the network and the current mode of a listener.
func (s *Server) listenerMode(ln net.Listener) (network, mode string) {
	for _, l := range s.extraListeners {
		if l.listener == ln {
			return l.network, l.mode
		}
	}
	return "tcp", s.mode
}
