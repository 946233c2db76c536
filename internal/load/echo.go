package load

import (
	"bytes"
	"context"
	"net"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"

	"tealledge/internal/transport"
)

// Echo is a bare WebSocket echo on the same libraries, which a front's cost is measured against: it reads each
// frame and writes its payload back, and does nothing else.
type Echo struct {
	ln   netpoll.Listener
	loop netpoll.EventLoop
}

type echoKey struct{}

type echoConn struct{ open bool }

// NewEcho listens.
func NewEcho(addr string) (*Echo, error) {
	ln, err := transport.Listen(addr)
	if err != nil {
		return nil, err
	}
	e := &Echo{ln: ln}
	e.loop, err = netpoll.NewEventLoop(e.request, netpoll.WithOnConnect(func(ctx context.Context, _ netpoll.Connection) context.Context {
		return context.WithValue(ctx, echoKey{}, &echoConn{})
	}))
	return e, err
}

// Addr is where it listens; Serve serves until the process ends.
func (e *Echo) Addr() net.Addr { return e.ln.Addr() }

// Serve serves until the listener is closed.
func (e *Echo) Serve() error { return e.loop.Serve(e.ln) }

type pair struct {
	*bytes.Reader
	*bytes.Buffer
}

func (p pair) Read(b []byte) (int, error)  { return p.Reader.Read(b) }
func (p pair) Write(b []byte) (int, error) { return p.Buffer.Write(b) }

func (e *Echo) request(ctx context.Context, c netpoll.Connection) error {
	state := ctx.Value(echoKey{}).(*echoConn)
	r, w := c.Reader(), c.Writer()
	if !state.open {
		b, err := r.Peek(r.Len())
		if err != nil {
			return err
		}
		end := bytes.Index(b, []byte("\r\n\r\n"))
		if end < 0 {
			return nil
		}
		p := pair{bytes.NewReader(b[:end+4]), &bytes.Buffer{}}
		if _, err := ws.Upgrade(p); err != nil {
			return c.Close()
		}
		w.WriteBinary(p.Buffer.Bytes())
		r.Skip(end + 4)
		state.open = true
		return w.Flush()
	}
	for r.Len() >= 2 {
		b, err := r.Peek(r.Len())
		if err != nil {
			return err
		}
		in := bytes.NewReader(b)
		h, err := ws.ReadHeader(in)
		if err != nil || int64(in.Len()) < h.Length {
			break // the rest comes with the next bytes
		}
		head := len(b) - in.Len()
		data := bytes.Clone(b[head : head+int(h.Length)])
		ws.Cipher(data, h.Mask, 0)
		r.Skip(head + int(h.Length))
		var out bytes.Buffer
		ws.WriteFrame(&out, ws.NewFrame(h.OpCode, true, data))
		w.WriteBinary(out.Bytes())
	}
	r.Release()
	return w.Flush()
}
