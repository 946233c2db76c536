// Package playersim is a stand-in for players: WebSocket clients that open sessions, watch, leave, come again, and
// on command behave badly. It writes down what crossed its own sockets.
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

// Viewer is one viewer and what it wants.
type Viewer struct {
	Name   string
	Title  string
	Class  string
	ClassN int
	Tenant string
	Top    int
	Length time.Duration // how long it watches in all
	Wait   time.Duration // how long it waits for an answer; 0: as the class says
	Worth  float64       // of a second at a rung of worth 1
	Bad    Bad
}

// Bad is a way to behave badly.
type Bad string

// Ways to behave badly.
const (
	Good        Bad = ""
	LeaveAtOnce Bad = "leave"     // closes the connection right after asking
	LeaveLater  Bad = "leave-mid" // closes it some milliseconds after asking
	HalfFrame   Bad = "half"      // sends half a frame, then nothing
	Garbage     Bad = "garbage"   // sends bytes that are no frame
	Unmasked    Bad = "unmasked"
	SlowRead    Bad = "slow-read"  // asks again and again and reads nothing
	NeverPong   Bad = "never-pong" // stays connected and answers no ping
	Pipeline    Bad = "pipeline"   // sends hundreds of requests at once
)

// Crowd runs viewers.
type Crowd struct {
	Rec *record.Log
	// Fronts gives the addresses to try, best first, and their names. A viewer is given its number.
	Pick func(n int) (name, addr string)
	// AgainShare of the viewers come again after a break or a refusal.
	AgainShare float64
	// ResumeFor is how long a player whose connection is lost tries to resume its session where it was; 0: not at all.
	ResumeFor time.Duration
	mu        sync.Mutex
	rng       *rand.Rand
	seen      int
}

// New makes a crowd.
func New(rec *record.Log, seed int64, again float64, pick func(int) (string, string)) *Crowd {
	return &Crowd{Rec: rec, Pick: pick, AgainShare: again, rng: rand.New(rand.NewSource(seed))}
}

func (c *Crowd) draw() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// Hash is a viewer's number as the front passes it to media servers.
func Hash(viewer string) string { return strconv.FormatUint(xxhash.Sum64String(viewer), 10) }

// Watch runs one viewer until it has watched what it wants, gives up, or ctx ends.
func (c *Crowd) Watch(ctx context.Context, v Viewer) {
	c.Rec.Add(record.Event{Source: "player", Kind: record.ViewerArrived, Viewer: Hash(v.Name), Class: v.ClassN, Top: v.Top, Length: v.Length.Seconds(),
		Value: v.Worth, Title: v.Title, Text: string(v.Bad)})
	end := time.Now().Add(v.Length)
	token, again := "", false
	for try := 0; try < 20 && time.Now().Before(end) && ctx.Err() == nil; try++ {
		o := c.once(ctx, v, try, end, token, again)
		token, again = o.token, true
		if o.done || o.token == "" && c.draw() > c.AgainShare {
			return
		}
		pause := time.Duration((0.3 + 0.7*c.draw()) * float64(time.Second))
		if o.token != "" {
			pause = time.Duration((0.1 + 0.2*c.draw()) * float64(time.Second))
		}
		pause = max(pause, o.after)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

type outcome struct {
	done  bool
	token string
	after time.Duration
}

// message is anything that a front sends.
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

func (c *Crowd) once(ctx context.Context, v Viewer, try int, end time.Time, token string, again bool) (o outcome) {
	c.mu.Lock()
	c.seen++
	n := c.seen
	c.mu.Unlock()
	front, addr := c.Pick(n)
	nc, err := Dial(ctx, addr)
	if err != nil {
		return outcome{}
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	call := v.Name + "#" + strconv.Itoa(try)
	params := map[string]any{"title": v.Title, "class": v.Class, "viewer": v.Name, "top": v.Top, "again": again}
	if v.Tenant != "" {
		params["tenant"] = v.Tenant
	}
	if token != "" {
		params["token"] = token
	}
	if v.Wait > 0 {
		params["deadlineMs"] = v.Wait.Milliseconds()
	}
	text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": "session.open", "params": params, "id": call})
	if c.misbehave(nc, v, text) {
		return outcome{done: true}
	}
	ask := record.Event{Source: "player", Kind: record.RequestSent, Front: front, Viewer: Hash(v.Name), Ref: call, Class: v.ClassN, Timeout: int64(v.Wait), Title: v.Title}
	c.Rec.Add(ask)
	left := func(what string) {
		ask.At, ask.Kind = 0, what
		c.Rec.Add(ask)
	}
	if err := wsutil.WriteClientText(nc, text); err != nil {
		left(record.PlayerConnLost)
		return outcome{}
	}
	switch v.Bad {
	case LeaveAtOnce:
		left(record.PlayerLeft)
		return outcome{done: true}
	case LeaveLater:
		time.Sleep(time.Duration(c.draw() * float64(15*time.Millisecond)))
		left(record.PlayerLeft)
		return outcome{done: true}
	}
	return c.listen(ctx, nc, addr, v, ask, end, left)
}

// misbehave sends what is no request; it gives true if that was all.
func (c *Crowd) misbehave(nc net.Conn, v Viewer, text []byte) bool {
	switch v.Bad {
	case HalfFrame:
		b := ws.MustCompileFrame(ws.MaskFrame(ws.NewTextFrame(text)))
		nc.Write(b[:len(b)/2])
		time.Sleep(time.Duration((0.2 + c.draw()) * float64(time.Second)))
	case Garbage:
		nc.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
		readAll(nc)
	case Unmasked:
		nc.Write(ws.MustCompileFrame(ws.NewTextFrame(text)))
		readAll(nc)
	case SlowRead:
		nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
		for range 2000 {
			if wsutil.WriteClientText(nc, []byte(`{"jsonrpc":"2.0","method":"nothing","id":"`+strings.Repeat("x", 200)+`"}`)) != nil {
				break
			}
		}
		time.Sleep(time.Second)
	case NeverPong:
		time.Sleep(2 * time.Second)
	case Pipeline: // asks for a title that is not there: no session is begun
		b := ws.MustCompileFrame(ws.MaskFrame(ws.NewTextFrame([]byte(`{"jsonrpc":"2.0","method":"session.open","params":{"title":"none","class":"none","viewer":"p"},"id":1}`))))
		nc.SetWriteDeadline(time.Now().Add(2 * time.Second))
		nc.Write(bytes.Repeat(b, 300))
		readAll(nc)
	default:
		return false
	}
	return true
}

func readAll(nc net.Conn) {
	nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	buf := make([]byte, 512)
	for {
		if _, err := nc.Read(buf); err != nil {
			return
		}
	}
}

// listen reads answers and notifications until the viewer is through with this connection.
func (c *Crowd) listen(ctx context.Context, nc net.Conn, addr string, v Viewer, ask record.Event, end time.Time, left func(string)) outcome {
	playing, token := "", ""
	defer func() { nc.Close() }() // the one resumed on, if it was
	giveUp := time.Now().Add(30 * time.Second)
	for {
		until := giveUp
		if playing != "" {
			until = end
		}
		nc.SetReadDeadline(until)
		text, err := wsutil.ReadServerText(nc)
		if err != nil {
			if playing != "" && !time.Now().Before(end) {
				c.close(nc, playing)
				left(record.PlayerLeft)
				return outcome{done: true}
			}
			if next := c.resume(ctx, addr, playing, token, end); next != nil {
				nc = next
				stop := context.AfterFunc(ctx, func() { next.Close() })
				defer stop()
				continue
			}
			left(record.PlayerConnLost)
			return outcome{}
		}
		var m message
		if json.Unmarshal(text, &m) != nil {
			continue
		}
		reply := ask
		reply.At, reply.Kind = 0, record.ReplyReceived
		switch {
		case m.Result != nil && string(m.ID) == strconv.Quote(ask.Ref):
			reply.Text, reply.Rung = m.Result.Status, m.Result.Rung
			reply.Session = sessionNumber(m.Result.Session)
			c.Rec.Add(reply)
			playing, token = m.Result.Session, m.Result.Token
		case m.Error != nil && string(m.ID) == strconv.Quote(ask.Ref):
			reply.Text = map[int]string{-32001: "refused", -32002: "failed"}[m.Error.Code]
			if reply.Text == "" {
				reply.Text = "error"
			}
			reply.Session = sessionNumber(m.Error.Data.Session)
			c.Rec.Add(reply)
			time.Sleep(5 * time.Millisecond) // a second answer would still be read
			c.drain(nc, ask)
			// Paid viewers who were told "failed" stay away: their set-up may have run.
			return outcome{done: reply.Text != "refused", after: time.Duration(m.Error.Data.RetryAfterMs) * time.Millisecond}
		case m.Method == "session.moved":
			return outcome{token: m.Params.Token}
		case m.Method == "session.ended":
			return outcome{done: m.Params.Reason == "end"}
		}
	}
}

// resume looks for the front where the session was, and takes the session up there; nil if it is not to be had.
func (c *Crowd) resume(ctx context.Context, addr, session, token string, end time.Time) net.Conn {
	if session == "" || token == "" || c.ResumeFor <= 0 {
		return nil
	}
	until := time.Now().Add(c.ResumeFor)
	for wait := 50 * time.Millisecond; ctx.Err() == nil && time.Now().Before(until) && time.Now().Before(end); wait = min(2*wait, 400*time.Millisecond) {
		time.Sleep(wait/2 + time.Duration(c.draw()*float64(wait)))
		nc, err := Dial(ctx, addr)
		if err != nil {
			continue
		}
		nc.SetDeadline(time.Now().Add(2 * time.Second))
		text := fmt.Sprintf(`{"jsonrpc":"2.0","method":"session.resume","params":{"session":%q,"token":%q},"id":"resume"}`, session, token)
		if wsutil.WriteClientText(nc, []byte(text)) == nil {
			if answer, err := wsutil.ReadServerText(nc); err == nil {
				if strings.Contains(string(answer), `"plays"`) {
					return nc
				}
				nc.Close()
				return nil // not known any more: it is to be asked for anew
			}
		}
		nc.Close()
	}
	return nil
}

// drain looks for a second answer on the connection.
func (c *Crowd) drain(nc net.Conn, ask record.Event) {
	nc.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	if text, err := wsutil.ReadServerText(nc); err == nil && strings.Contains(string(text), strconv.Quote(ask.Ref)) {
		ask.At, ask.Kind, ask.Text = 0, record.ReplyReceived, "second"
		c.Rec.Add(ask)
	}
}

func (c *Crowd) close(nc net.Conn, session string) {
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

func sessionNumber(name string) string {
	if i := strings.LastIndex(name, "-"); i >= 0 {
		return name[i+1:]
	}
	return ""
}
