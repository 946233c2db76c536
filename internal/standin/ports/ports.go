// Package ports reserves loopback addresses for programs that listen later, or listen again after a restart.
package ports

import (
	"errors"
	"net"
	"os"
	"strconv"
	"syscall"
)

// Reservation is a set of addresses that stay reserved until Close, or until nothing refers to the Reservation any
// more.
type Reservation struct {
	Addrs   []string
	sockets []*os.File
}

// Reserve reserves count TCP addresses. Without a reservation, the system may assign a port that was just found free to
// the next connection of any process on this machine; the process that it was meant for then fails to start or restart,
// and a test fails without a real fault. The system never assigns a port that is bound here (with SO_REUSEADDR, and not
// listening) to a caller that asks for any port, but still grants it to a caller that asks for this port.
func Reserve(count int) (*Reservation, error) {
	r := &Reservation{}
	for range count {
		if err := r.add(); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	return r, nil
}

// add reserves one more address.
func (r *Reservation) add() error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	r.sockets = append(r.sockets, os.NewFile(uintptr(fd), "reserved port"))
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	sa, nameErr := syscall.Getsockname(fd)
	if err = errors.Join(err, nameErr); err != nil {
		return err
	}
	r.Addrs = append(r.Addrs, net.JoinHostPort("127.0.0.1", strconv.Itoa(sa.(*syscall.SockaddrInet4).Port)))
	return nil
}

// Close releases all addresses.
func (r *Reservation) Close() (err error) {
	for _, f := range r.sockets {
		err = errors.Join(err, f.Close())
	}
	r.sockets = nil
	return err
}
