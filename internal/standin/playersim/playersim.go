// Package playersim is a stand-in for players: WebSocket and HLS clients that open sessions, watch, leave, retry and,
// on command, misbehave. It records what crossed its own sockets.
package playersim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gobwas/ws"
	"github.com/gobwas/ws/wsutil"

	"tealledge/internal/record"
)

// Viewer describes one viewer and its request.
type Viewer struct {
	Name         string
	Title        string
	Class        string
	ClassIndex   int
	Tenant       string
	Top          int
	WatchTime    time.Duration // total time that it watches
	Timeout      time.Duration // how long it waits for a reply; 0: the deadline of the class
	Worth        float64       // worth of a second at a rung of worth 1
	Misbehaviour Misbehaviour
}

// Misbehaviour names a way in which a player misbehaves.
type Misbehaviour string

// The misbehaviours; their values are words of day scripts.
const (
	Good        Misbehaviour = ""
	LeaveAtOnce Misbehaviour = "leave"      // closes the connection right after its request
	LeaveLater  Misbehaviour = "leave-mid"  // closes the connection some milliseconds after its request
	HalfFrame   Misbehaviour = "half"       // sends half a frame, then nothing
	Garbage     Misbehaviour = "garbage"    // sends bytes that are not a frame
	Unmasked    Misbehaviour = "unmasked"   // sends a frame without a mask
	SlowRead    Misbehaviour = "slow-read"  // sends many requests and reads nothing
	NeverPong   Misbehaviour = "never-pong" // stays connected and responds to no ping
	Pipeline    Misbehaviour = "pipeline"   // sends hundreds of requests at once
)

// Crowd runs viewers.
type Crowd struct {
	Recorder *record.Log
	// Pick returns the name and the address of the front that the n-th connection goes to.
	Pick func(n int) (name, addr string)
	// RetryShare is the share of viewers that retry after a lost connection or a refusal.
	RetryShare float64
	// ResumeWindow is how long a player whose connection is lost tries to resume its session at the same front; 0: it
	// does not try.
	ResumeWindow time.Duration
	mu           sync.Mutex
	rng          *rand.Rand
	picks        int
}

// New returns a crowd that records to rec and picks fronts with pick.
func New(rec *record.Log, seed int64, retryShare float64, pick func(int) (string, string)) *Crowd {
	return &Crowd{Recorder: rec, Pick: pick, RetryShare: retryShare, rng: rand.New(rand.NewSource(seed))}
}

// random returns a random number from 0 to 1.
func (c *Crowd) random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// HashViewer returns a viewer's number as the front passes it to media servers.
func HashViewer(viewer string) string { return strconv.FormatUint(xxhash.Sum64String(viewer), 10) }

// Watch runs one viewer until it has watched for its time, gives up, or ctx ends.
func (c *Crowd) Watch(ctx context.Context, viewer Viewer) {
	c.Recorder.Add(record.Event{Source: "player", Kind: record.ViewerArrived, Viewer: HashViewer(viewer.Name),
		Class: viewer.ClassIndex, Top: viewer.Top, Length: viewer.WatchTime.Seconds(),
		Value: viewer.Worth, Title: viewer.Title, Text: string(viewer.Misbehaviour)})
	endAt := time.Now().Add(viewer.WatchTime)
	token, retrying := "", false
	for attempt := 0; attempt < 20 && time.Now().Before(endAt) && ctx.Err() == nil; attempt++ {
		o := c.openSession(ctx, viewer, attempt, endAt, token, retrying)
		token, retrying = o.token, true
		if o.done || o.token == "" && c.random() > c.RetryShare {
			return
		}
		delay := time.Duration((0.3 + 0.7*c.random()) * float64(time.Second))
		if o.token != "" {
			delay = time.Duration((0.1 + 0.2*c.random()) * float64(time.Second))
		}
		delay = max(delay, o.retryAfter)
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// outcome is the result of one connection of a viewer.
type outcome struct {
	done       bool   // no retry follows
	token      string // of a session that was moved, for the next front
	retryAfter time.Duration
}

// message is a response or a notification of a front.
type message struct {
	ID     json.RawMessage `json:"id"`
	Method string          `json:"method"`
	Params struct {
		Session, Token string
		Reason         string
		Rung           int
	} `json:"params"`
	Result *struct {
		Status, Session, Token string
		Rung                   int
	} `json:"result"`
	Error *struct {
		Code    int
		Message string
		Data    struct {
			Session      string
			RetryAfterMs int64
		}
	} `json:"error"`
}

// Dial opens a WebSocket connection to a front.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	nc, br, _, err := ws.Dial(ctx, "ws://"+addr+"/v1/sessions")
	if err != nil {
		return nil, err
	}
	if br != nil {
		ws.PutReader(br)
	}
	return nc, nil
}

// openSession opens one connection, requests a session and watches it.
func (c *Crowd) openSession(ctx context.Context, viewer Viewer, attempt int, endAt time.Time, token string,
	retrying bool) (o outcome) {
	c.mu.Lock()
	c.picks++
	n := c.picks
	c.mu.Unlock()
	front, addr := c.Pick(n)
	nc, err := Dial(ctx, addr)
	if err != nil {
		return outcome{}
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	ref := viewer.Name + "#" + strconv.Itoa(attempt)
	params := map[string]any{"title": viewer.Title, "class": viewer.Class, "viewer": viewer.Name,
		"top": viewer.Top, "again": retrying}
	if viewer.Tenant != "" {
		params["tenant"] = viewer.Tenant
	}
	if token != "" {
		params["token"] = token
	}
	if viewer.Timeout > 0 {
		params["deadlineMs"] = viewer.Timeout.Milliseconds()
	}
	text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": "session.open", "params": params, "id": ref})
	if c.misbehave(nc, viewer, text) {
		return outcome{done: true}
	}
	request := record.Event{Source: "player", Kind: record.RequestSent, Front: front, Viewer: HashViewer(viewer.Name),
		Ref: ref, Class: viewer.ClassIndex, Timeout: int64(viewer.Timeout), Title: viewer.Title}
	c.Recorder.Add(request)
	recordEnd := func(kind string) {
		request.At, request.Kind = 0, kind
		c.Recorder.Add(request)
	}
	if err := wsutil.WriteClientText(nc, text); err != nil {
		recordEnd(record.PlayerConnLost)
		return outcome{}
	}
	switch viewer.Misbehaviour {
	case LeaveAtOnce:
		recordEnd(record.PlayerLeft)
		return outcome{done: true}
	case LeaveLater:
		time.Sleep(time.Duration(c.random() * float64(15*time.Millisecond)))
		recordEnd(record.PlayerLeft)
		return outcome{done: true}
	}
	return c.readMessages(ctx, nc, addr, viewer, request, endAt, recordEnd)
}

// misbehave carries out a misbehaviour that replaces the request; it returns false if the viewer has none of these.
func (c *Crowd) misbehave(nc net.Conn, viewer Viewer, text []byte) bool {
	switch viewer.Misbehaviour {
	case HalfFrame:
		b := ws.MustCompileFrame(ws.MaskFrame(ws.NewTextFrame(text)))
		nc.Write(b[:len(b)/2])
		time.Sleep(time.Duration((0.2 + c.random()) * float64(time.Second)))
	case Garbage:
		nc.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
		discardReplies(nc)
	case Unmasked:
		nc.Write(ws.MustCompileFrame(ws.NewTextFrame(text)))
		discardReplies(nc)
	case SlowRead:
		nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
		for range 2000 {
			if wsutil.WriteClientText(nc, []byte(`{"jsonrpc":"2.0","method":"nothing","id":"`+
				strings.Repeat("x", 200)+`"}`)) != nil {
				break
			}
		}
		time.Sleep(time.Second)
	case NeverPong:
		time.Sleep(2 * time.Second)
	case Pipeline: // requests a title that does not exist: no session starts
		b := ws.MustCompileFrame(ws.MaskFrame(ws.NewTextFrame([]byte(`{"jsonrpc":"2.0","method":"session.open","params":{"title":"none","class":"none","viewer":"p"},"id":1}`))))
		nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
		nc.Write(bytes.Repeat(b, 300))
		discardReplies(nc)
	default:
		return false
	}
	return true
}

// discardReplies reads and discards what the front sends, for half a second.
func discardReplies(nc net.Conn) {
	nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	buf := make([]byte, 512)
	for {
		if _, err := nc.Read(buf); err != nil {
			return
		}
	}
}

// readMessages reads replies and notifications until the viewer has finished with this connection.
func (c *Crowd) readMessages(ctx context.Context, nc net.Conn, addr string, viewer Viewer, request record.Event,
	endAt time.Time, recordEnd func(string)) outcome {
	playing, token := "", ""
	defer func() { nc.Close() }() // the connection that the session was last resumed on, if any
	replyDeadline := time.Now().Add(30 * time.Second)
	for {
		deadline := replyDeadline
		if playing != "" {
			deadline = endAt
		}
		nc.SetReadDeadline(deadline)
		text, err := wsutil.ReadServerText(nc)
		if err != nil {
			if playing != "" && !time.Now().Before(endAt) {
				c.closeSession(nc, playing)
				recordEnd(record.PlayerLeft)
				return outcome{done: true}
			}
			if next := c.resume(ctx, addr, playing, token, endAt); next != nil {
				nc = next
				stop := context.AfterFunc(ctx, func() { next.Close() })
				defer stop()
				continue
			}
			recordEnd(record.PlayerConnLost)
			return outcome{}
		}
		var m message
		if json.Unmarshal(text, &m) != nil {
			continue
		}
		reply := request
		reply.At, reply.Kind = 0, record.ReplyReceived
		switch {
		case m.Result != nil && string(m.ID) == strconv.Quote(request.Ref):
			reply.Text, reply.Rung = m.Result.Status, m.Result.Rung
			reply.Session = sessionNumber(m.Result.Session)
			c.Recorder.Add(reply)
			playing, token = m.Result.Session, m.Result.Token
		case m.Error != nil && string(m.ID) == strconv.Quote(request.Ref):
			reply.Text = map[int]string{-32001: "refused", -32002: "failed"}[m.Error.Code]
			if reply.Text == "" {
				reply.Text = "error"
			}
			reply.Session = sessionNumber(m.Error.Data.Session)
			c.Recorder.Add(reply)
			time.Sleep(5 * time.Millisecond) // so that a second reply would still be read
			c.readSecondReply(nc, request)
			// There is no retry after "failed": the set-up of a paid viewer may have run.
			return outcome{done: reply.Text != "refused",
				retryAfter: time.Duration(m.Error.Data.RetryAfterMs) * time.Millisecond}
		case m.Method == "session.moved":
			return outcome{token: m.Params.Token}
		case m.Method == "session.ended":
			return outcome{done: m.Params.Reason == "end"}
		}
	}
}

// resume reconnects to the front that held the session and resumes it there; it returns nil if that fails.
func (c *Crowd) resume(ctx context.Context, addr, session, token string, endAt time.Time) net.Conn {
	if session == "" || token == "" || c.ResumeWindow <= 0 {
		return nil
	}
	resumeDeadline := time.Now().Add(c.ResumeWindow)
	for delay := 50 * time.Millisecond; ctx.Err() == nil && time.Now().Before(resumeDeadline) &&
		time.Now().Before(endAt); delay = min(2*delay, 400*time.Millisecond) {
		time.Sleep(delay/2 + time.Duration(c.random()*float64(delay)))
		nc, err := Dial(ctx, addr)
		if err != nil {
			continue
		}
		nc.SetDeadline(time.Now().Add(2 * time.Second))
		text := fmt.Sprintf(`{"jsonrpc":"2.0","method":"session.resume","params":{"session":%q,"token":%q},"id":"resume"}`,
			session, token)
		if wsutil.WriteClientText(nc, []byte(text)) == nil {
			if reply, err := wsutil.ReadServerText(nc); err == nil {
				if strings.Contains(string(reply), `"plays"`) {
					return nc
				}
				nc.Close()
				return nil // the front no longer knows the session: the viewer has to open a new one
			}
		}
		nc.Close()
	}
	return nil
}

// readSecondReply checks for a second reply to the request and records it.
func (c *Crowd) readSecondReply(nc net.Conn, request record.Event) {
	nc.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	if text, err := wsutil.ReadServerText(nc); err == nil &&
		strings.Contains(string(text), strconv.Quote(request.Ref)) {
		request.At, request.Kind, request.Text = 0, record.ReplyReceived, "second"
		c.Recorder.Add(request)
	}
}

// closeSession closes the session and waits for the response.
func (c *Crowd) closeSession(nc net.Conn, session string) {
	text := fmt.Sprintf(`{"jsonrpc":"2.0","method":"session.close","params":{"session":%q},"id":"close"}`, session)
	nc.SetDeadline(time.Now().Add(500 * time.Millisecond))
	if wsutil.WriteClientText(nc, []byte(text)) == nil {
		for {
			text, err := wsutil.ReadServerText(nc)
			if err != nil || strings.Contains(string(text), `"id":"close"`) {
				break
			}
		}
	}
}

// sessionNumber returns the part of a session name after the last "-".
func sessionNumber(name string) string {
	if i := strings.LastIndex(name, "-"); i >= 0 {
		return name[i+1:]
	}
	return ""
}
