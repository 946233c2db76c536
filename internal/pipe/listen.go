package pipe

import (
	"errors"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// Listen gives a listener for netpoll's loop whose descriptor belongs to the standard library. Danger: netpoll's own closes its
// descriptor twice, and goes on accepting on the number while it closes. Harm: in between the number may be another's. A
// connection that a goroutine has just opened loses its descriptor, and with it what it carries; or a connection is taken off
// another listener.
func Listen(addr string) (netpoll.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := listener{Listener: ln}
	if l.raw, err = ln.(*net.TCPListener).SyscallConn(); err == nil {
		err = l.raw.Control(func(fd uintptr) { l.fd = int(fd) })
	}
	if err != nil {
		ln.Close()
		return nil, err
	}
	return l, nil
}

type listener struct {
	net.Listener
	raw syscall.RawConn
	fd  int
}

// Fd is for the loop to wait on. It is this listener's until Close.
func (l listener) Fd() int { return l.fd }

// Accept gives a connection, or none if none waits. After Close it gives an error, whoever has the number by then.
func (l listener) Accept() (net.Conn, error) {
	var fd int
	var from syscall.Sockaddr
	var err error
	closed := l.raw.Control(func(ln uintptr) {
		for {
			fd, from, err = syscall.Accept4(int(ln), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != syscall.EINTR && err != syscall.ECONNABORTED {
				return
			}
		}
	})
	switch {
	case closed != nil:
		return nil, closed
	case err == syscall.EAGAIN:
		return nil, nil
	case err != nil:
		return nil, err // as the system words it: the loop knows want of descriptors by that
	}
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	return &accepted{fd: fd, local: l.Addr(), remote: tcpAddr(from)}, nil
}

// accepted is a connection on its way into the loop, which reads, writes and closes it itself.
type accepted struct {
	fd            int
	local, remote net.Addr
}

func (a *accepted) Fd() int                          { return a.fd }
func (a *accepted) LocalAddr() net.Addr              { return a.local }
func (a *accepted) RemoteAddr() net.Addr             { return a.remote }
func (a *accepted) Read([]byte) (int, error)         { return 0, errors.ErrUnsupported }
func (a *accepted) Write([]byte) (int, error)        { return 0, errors.ErrUnsupported }
func (a *accepted) SetDeadline(time.Time) error      { return errors.ErrUnsupported }
func (a *accepted) SetReadDeadline(time.Time) error  { return errors.ErrUnsupported }
func (a *accepted) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }

// Close closes a connection that is not let in, once.
func (a *accepted) Close() error {
	fd := a.fd
	if fd < 0 {
		return net.ErrClosed
	}
	a.fd = -1
	return syscall.Close(fd)
}

func tcpAddr(from syscall.Sockaddr) net.Addr {
	switch a := from.(type) {
	case *syscall.SockaddrInet4:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)))
	case *syscall.SockaddrInet6:
		ip := netip.AddrFrom16(a.Addr)
		if a.ZoneId != 0 {
			ip = ip.WithZone(strconv.Itoa(int(a.ZoneId)))
		}
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(a.Port)))
	}
	return &net.TCPAddr{}
}
