package load

import (
	"bytes"
	"context"
	"net"

	"github.com/cloudwego/netpoll"
	"github.com/gobwas/ws"

	"tealledge/internal/transport"
)

// Echo is a bare WebSocket echo server on the same libraries as a front, as the baseline for a front's cost: it reads
// each frame and writes its payload back, and does nothing else.
type Echo struct {
	listener  netpoll.Listener
	eventLoop netpoll.EventLoop
}

// echoKey is the context key of a connection's echoConn.
type echoKey struct{}

// echoConn is the state of one connection.
type echoConn struct{ upgraded bool }

// NewEcho returns an echo server that listens on addr; Serve starts it.
func NewEcho(addr string) (*Echo, error) {
	ln, err := transport.Listen(addr)
	if err != nil {
		return nil, err
	}
	e := &Echo{listener: ln}
	e.eventLoop, err = netpoll.NewEventLoop(e.handle, netpoll.WithOnConnect(
		func(ctx context.Context, _ netpoll.Connection) context.Context {
			return context.WithValue(ctx, echoKey{}, &echoConn{})
		}))
	return e, err
}

// Addr returns the address that the server listens on.
func (e *Echo) Addr() net.Addr { return e.listener.Addr() }

// Serve serves until the listener is closed.
func (e *Echo) Serve() error { return e.eventLoop.Serve(e.listener) }

// handshakeBuffer reads the handshake request from Reader and collects the response in Buffer.
type handshakeBuffer struct {
	*bytes.Reader
	*bytes.Buffer
}

// Read reads from the request.
func (h handshakeBuffer) Read(b []byte) (int, error) { return h.Reader.Read(b) }

// Write appends to the response.
func (h handshakeBuffer) Write(b []byte) (int, error) { return h.Buffer.Write(b) }

// handle answers the handshake and echoes the complete frames that have arrived.
func (e *Echo) handle(ctx context.Context, c netpoll.Connection) error {
	state := ctx.Value(echoKey{}).(*echoConn)
	r, w := c.Reader(), c.Writer()
	if !state.upgraded {
		data, err := r.Peek(r.Len())
		if err != nil {
			return err
		}
		end := bytes.Index(data, []byte("\r\n\r\n"))
		if end < 0 {
			return nil
		}
		handshake := handshakeBuffer{bytes.NewReader(data[:end+4]), &bytes.Buffer{}}
		if _, err := ws.Upgrade(handshake); err != nil {
			return c.Close()
		}
		w.WriteBinary(handshake.Buffer.Bytes())
		r.Skip(end + 4)
		state.upgraded = true
		return w.Flush()
	}
	for r.Len() >= 2 {
		data, err := r.Peek(r.Len())
		if err != nil {
			return err
		}
		in := bytes.NewReader(data)
		header, err := ws.ReadHeader(in)
		if err != nil || int64(in.Len()) < header.Length {
			break // the frame is incomplete; handle is called again when more bytes arrive
		}
		headerLen := len(data) - in.Len()
		payload := bytes.Clone(data[headerLen : headerLen+int(header.Length)])
		ws.Cipher(payload, header.Mask, 0)
		r.Skip(headerLen + int(header.Length))
		var out bytes.Buffer
		ws.WriteFrame(&out, ws.NewFrame(header.OpCode, true, payload))
		w.WriteBinary(out.Bytes())
	}
	r.Release()
	return w.Flush()
}
