// Package ports keeps addresses on loopback for what listens later, or again after an end.
package ports

import (
	"errors"
	"net"
	"os"
	"strconv"
	"syscall"
)

// Kept are addresses that are kept until Close, or until nobody has them any more.
type Kept struct {
	Addrs []string
	held  []*os.File
}

// Keep gives addresses for TCP. Danger: a port that was free a moment ago is given to the next connect of anybody on this
// machine. Harm: the process that it was meant for ends at its start, or at its restart; a trial fails for nothing. The system
// gives a port that is bound here to nobody who asks for any, and to whoever asks for this one.
func Keep(count int) (*Kept, error) {
	k := &Kept{}
	for range count {
		if err := k.one(); err != nil {
			return nil, errors.Join(err, k.Close())
		}
	}
	return k, nil
}

func (k *Kept) one() error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	k.held = append(k.held, os.NewFile(uintptr(fd), "kept port"))
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	sa, named := syscall.Getsockname(fd)
	if err = errors.Join(err, named); err != nil {
		return err
	}
	k.Addrs = append(k.Addrs, net.JoinHostPort("127.0.0.1", strconv.Itoa(sa.(*syscall.SockaddrInet4).Port)))
	return nil
}

// Close lets go of all.
func (k *Kept) Close() (err error) {
	for _, f := range k.held {
		err = errors.Join(err, f.Close())
	}
	k.held = nil
	return err
}
