package day

import (
	"errors"
	"net"
	"strconv"
	"syscall"
)

// Ports gives addresses on loopback for processes that listen later, and keeps them until release. Danger: a port that was
// free a moment ago is given to the next connect of anybody on this machine. Harm: the process that it was meant for ends at
// its start, or at its restart; a trial fails for nothing. The system gives a port that is bound here to nobody who asks for
// any, and to whoever asks for this one.
func Ports(count int) (list []string, release func(), err error) {
	var held []int
	release = func() {
		for _, fd := range held {
			syscall.Close(fd)
		}
	}
	for len(list) < count {
		fd, port, err := bound()
		if err != nil {
			release()
			return nil, nil, err
		}
		held = append(held, fd)
		list = append(list, net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
	}
	return list, release, nil
}

func bound() (fd, port int, err error) {
	if fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err != nil {
		return 0, 0, err
	}
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	sa, named := syscall.Getsockname(fd)
	if err = errors.Join(err, named); err != nil {
		syscall.Close(fd)
		return 0, 0, err
	}
	return fd, sa.(*syscall.SockaddrInet4).Port, nil
}
