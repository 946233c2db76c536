package platformsim

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Unanswered gives the address of a listener that answers no connect, as a machine that has vanished: what the system keeps for it
// is full. Done ends it.
func Unanswered() (addr string, done func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, err
	}
	held := []net.Conn{}
	done = sync.OnceFunc(func() { // once: the number is another's afterwards
		for _, c := range held {
			c.Close()
		}
		syscall.Close(fd)
	})
	err = errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0))
	sa, named := syscall.Getsockname(fd)
	if err = errors.Join(err, named); err != nil {
		done()
		return "", nil, err
	}
	addr = net.JoinHostPort("127.0.0.1", strconv.Itoa(sa.(*syscall.SockaddrInet4).Port))
	for range 4 { // fills it
		if c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond); err == nil {
			held = append(held, c)
		}
	}
	return addr, done, nil
}
