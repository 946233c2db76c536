package media

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// userTimeout bounds how long written bytes may stay unacknowledged (TCP_USER_TIMEOUT): without it a peer that vanished
// without a word is noticed after many minutes of retransmission. Harm: a network away for longer costs the connection;
// its streams are looked for on a new one.
const userTimeout = 5 * time.Second

// keep-alive probes of the kernel, for connections on which neither side says anything.
const (
	probeIdle  = 20 // seconds
	probeEvery = 5
	probeCount = 3
)

// connect opens a connection to HOST:PORT, or to a Unix socket given as a path that begins with '/'.
func connect(addr string, within time.Duration) (netpoll.Connection, error) {
	if strings.HasPrefix(addr, "/") {
		if err := trusted(addr); err != nil {
			return nil, err
		}
		return netpoll.DialConnection("unix", addr, within)
	}
	conn, err := netpoll.DialConnection("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	if c, ok := conn.(netpoll.Conn); ok {
		fd := c.Fd()
		// Small messages, each waited for: never held back to be joined with the next (TCP_NODELAY).
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, probeIdle)
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, probeEvery)
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, probeCount)
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	}
	return conn, nil
}

// trusted checks a Unix socket before it is connected to: it must be a socket of this user or of root, in a place that
// others can't write to. Danger: whoever may put a socket there would be sent viewers' set-ups.
func trusted(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return err
	}
	st, ok := info.Sys().(*syscall.Stat_t)
	switch {
	case info.Mode()&os.ModeSocket == 0:
		return fmt.Errorf("%s: no socket", path)
	case ok && st.Uid != 0 && int(st.Uid) != os.Geteuid():
		return fmt.Errorf("%s: belongs to user %d", path, st.Uid)
	}
	dir, err := os.Stat(path[:strings.LastIndexByte(path, '/')+1])
	if err != nil {
		return err
	}
	if dir.Mode().Perm()&0o002 != 0 && dir.Mode()&os.ModeSticky == 0 {
		return fmt.Errorf("%s: anybody may write to its directory", path)
	}
	return nil
}
