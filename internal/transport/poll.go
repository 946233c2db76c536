package transport

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Poll reports the kernel's state of a connection, which its reader may not have seen yet: whether the peer has
// closed it or its own write side, and whether there is unread input. It reads nothing.
func Poll(fd int) (closed, unread bool) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil || n == 0 {
			return false, false
		}
		revents := fds[0].Revents
		return revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0, revents&unix.POLLIN != 0
	}
}

// UnreadBytes returns the number of bytes that have arrived on a connection and were not read.
func UnreadBytes(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCINQ) }

// UnackedBytes returns the number of bytes written to a connection that its peer's system has not acknowledged; 0 if that is
// not known.
func UnackedBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// Peek copies unread input into b without consuming it and returns the number of bytes.
func Peek(fd int, b []byte) int {
	n, _, err := syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}

// IsClosed reports whether either side has closed a connection, so that bytes written to it now may never be read. A
// write side closed by the peer counts.
func (s *Conns) IsClosed(conn uint64) bool {
	w := s.writer(conn)
	if w == nil {
		return true
	}
	closed := false
	if w.raw != nil && w.raw.Control(func(fd uintptr) { closed, _ = Poll(int(fd)) }) != nil {
		return true
	}
	return closed
}
