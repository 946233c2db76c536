package platformsim

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// UnansweredListener returns the address of a listener that accepts no connection, as if the machine were unreachable:
// its accept queue is full. closeAll closes it.
func UnansweredListener() (addr string, closeAll func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, err
	}
	fillers := []net.Conn{}
	closeAll = sync.OnceFunc(func() { // once: afterwards the descriptor may belong to another file
		for _, c := range fillers {
			c.Close()
		}
		syscall.Close(fd)
	})
	err = errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0))
	sa, nameErr := syscall.Getsockname(fd)
	if err = errors.Join(err, nameErr); err != nil {
		closeAll()
		return "", nil, err
	}
	addr = net.JoinHostPort("127.0.0.1", strconv.Itoa(sa.(*syscall.SockaddrInet4).Port))
	for range 4 { // fill the accept queue
		if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			fillers = append(fillers, c)
		}
	}
	return addr, closeAll, nil
}
