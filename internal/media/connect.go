package media

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"tealledge/internal/transport"
)

// connect opens a connection to HOST:PORT, or to a Unix socket if addr is a path that begins with '/'.
func connect(addr string, timeout time.Duration) (net.Conn, error) {
	if strings.HasPrefix(addr, "/") {
		if err := checkSocket(addr); err != nil {
			return nil, err
		}
		return net.DialTimeout("unix", addr, timeout)
	}
	return transport.DialTCP(addr, timeout)
}

// checkSocket checks a Unix socket before a connection to it: it must be owned by this user or by root, in a directory
// that others can't write to. Otherwise whoever creates a socket there would receive viewers' set-ups.
func checkSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return err
	}
	stat, ok := info.Sys().(*syscall.Stat_t)
	switch {
	case info.Mode()&os.ModeSocket == 0:
		return fmt.Errorf("%s: not a socket", path)
	case ok && stat.Uid != 0 && int(stat.Uid) != os.Geteuid():
		return fmt.Errorf("%s: owned by user %d", path, stat.Uid)
	}
	dir, err := os.Stat(path[:strings.LastIndexByte(path, '/')+1])
	if err != nil {
		return err
	}
	if dir.Mode().Perm()&0o002 != 0 && dir.Mode()&os.ModeSticky == 0 {
		return fmt.Errorf("%s: directory is writable by any user", path)
	}
	return nil
}
