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

// connect opens a connection to HOST:PORT, or to a Unix socket given as a path that begins with '/'.
func connect(addr string, within time.Duration) (net.Conn, error) {
	if strings.HasPrefix(addr, "/") {
		if err := trusted(addr); err != nil {
			return nil, err
		}
		return net.DialTimeout("unix", addr, within)
	}
	return transport.DialTCP(addr, within)
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
