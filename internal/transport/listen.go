package transport

import (
	"errors"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// Listen returns a listener for netpoll's event loop whose descriptor is owned by the standard library. netpoll's own
// listener closes its descriptor twice and goes on accepting on its number while it closes. In between, the number
// may have been reused: a connection that a goroutine has just opened would lose its descriptor and its data, or a
// connection would be accepted from another listener.
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

// listener is a TCP listener with the descriptor that the event loop polls.
type listener struct {
	net.Listener
	raw syscall.RawConn
	fd  int
}

// Fd returns the descriptor that the event loop polls. It belongs to this listener until Close.
func (l listener) Fd() int { return l.fd }

// Accept returns a connection, or nil if none is pending. After Close it returns an error, even if the descriptor
// number has been reused.
func (l listener) Accept() (net.Conn, error) {
	var fd int
	var from syscall.Sockaddr
	var err error
	controlErr := l.raw.Control(func(ln uintptr) {
		for {
			fd, from, err = syscall.Accept4(int(ln), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != syscall.EINTR && err != syscall.ECONNABORTED {
				return
			}
		}
	})
	switch {
	case controlErr != nil:
		return nil, controlErr
	case err == syscall.EAGAIN:
		return nil, nil
	case err != nil:
		return nil, err // unwrapped: the event loop recognizes a lack of descriptors by it
	}
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	return &accepted{fd: fd, local: l.Addr(), remote: tcpAddr(from)}, nil
}

// accepted is a new connection for the event loop, which reads, writes and closes it by its descriptor.
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

// Close closes a connection that the loop has not taken over. A second call returns net.ErrClosed.
func (a *accepted) Close() error {
	fd := a.fd
	if fd < 0 {
		return net.ErrClosed
	}
	a.fd = -1
	return syscall.Close(fd)
}

// tcpAddr converts a socket address.
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
