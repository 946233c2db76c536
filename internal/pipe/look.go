package pipe

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Look tells what the system knows of a connection that its reader may not know yet: whether the other side has ended it or its
// own half, and whether something lies unread. It takes nothing off the connection.
func Look(fd int) (ended, unread bool) {
	list := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(list, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil || n == 0 {
			return false, false
		}
		got := list[0].Revents
		return got&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0, got&unix.POLLIN != 0
	}
}

// Peek copies what lies unread into b, and leaves it there.
func Peek(fd int, b []byte) int {
	n, _, err := syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}

// Ended tells whether the other side has ended a connection, or this side has: what is written there now may be read by nobody.
func (l *Links) Ended(conn uint64) bool {
	p := l.pipe(conn)
	if p == nil {
		return true
	}
	ended := false
	if p.raw != nil && p.raw.Control(func(fd uintptr) { ended, _ = Look(int(fd)) }) != nil {
		return true
	}
	return ended
}
