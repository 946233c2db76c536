// Package simwire implements the simulator's binary protocol: batches of events in, replies with actions out.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"tealledge/policy"
)

// Limits on the input, so that a damaged length ends in an error and not in a huge allocation.
const (
	maxFrame = 1 << 30
	maxList  = 1 << 20
)

type (
	// Start is the event that starts a front.
	Start struct {
		Seed     uint64
		Settings string
	}
	// Stop is the event that stops a front.
	Stop struct{}
)

// FrontEvent is an event for one front: Start, Stop or an event of package policy.
type FrontEvent struct {
	Front uint32
	Event any
}

// Batch is the content of a frame: events and their time.
type Batch struct {
	Now    policy.Time
	Events []FrontEvent
}

// Codes of input records.
const (
	eventStart, eventList, eventRequest, eventPlaying, eventOutcome            = 1000, 1010, 1020, 1030, 1040
	eventViewerLeft, eventTimerFired, eventProbed, eventPeerMessage, eventStop = 1050, 1060, 1070, 1080, 1090
	eventRestored, eventNote, recordServerList, recordSelectFront              = 1100, 1110, 1120, 1130
)

// Codes of output records.
const (
	actionLog, actionCancel, actionFault, actionSend, actionTimer, actionSelectFront = 1000, 1010, 1030, 1040, 1050, 1060
	actionProbe, actionRate, actionMove, actionRefuse, actionFail, actionSubscribe   = 1070, 1090, 1110, 1130, 1140, 1120
)

// Decoder reads batches. It keeps the numbered server lists, which stay valid for later batches.
type Decoder struct {
	r     io.Reader
	lists map[uint8][]policy.Entry
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: r, lists: map[uint8][]policy.Entry{}}
}

// reader reads the fields of a frame; after the first error it returns zeros.
type reader struct {
	remaining []byte
	err       error
}

// take returns the next n bytes, or zeros after an error.
func (r *reader) take(n int) []byte {
	if r.err != nil || n > len(r.remaining) {
		if r.err == nil {
			r.err = errors.New("record is truncated")
		}
		return make([]byte, min(n, 8))
	}
	out := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return out
}

func (r *reader) u8() uint8                 { return r.take(1)[0] }
func (r *reader) u16() uint16               { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32               { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64               { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) time() policy.Time         { return policy.Time(r.u64()) }
func (r *reader) integer() int              { return int(r.f32()) }
func (r *reader) status() (s policy.Status) { return policy.Status(r.u16()) }

// f32 reads a number; it must be finite and at most 1e12 in size.
func (r *reader) f32() float64 {
	v := float64(math.Float32frombits(r.u32()))
	if (math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > 1e12) && r.err == nil {
		r.err = errors.New("number is not finite or is out of range")
	}
	return v
}

// report reads a load report.
func (r *reader) report() []float64 {
	out := make([]float64, r.u8())
	for i := range out {
		out[i] = r.f32()
	}
	return out
}

// Next reads one batch. It returns io.EOF at a clean end of input.
func (d *Decoder) Next() (Batch, error) {
	var head [4]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if err == io.EOF {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame length is truncated: %w", err)
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 12 || n > maxFrame {
		return Batch{}, fmt.Errorf("invalid frame length of %d bytes", n)
	}
	// The buffer grows as data arrives: a wrong length takes no more memory than there is input.
	body, err := io.ReadAll(io.LimitReader(d.r, int64(n)))
	if err != nil || len(body) < int(n) {
		return Batch{}, fmt.Errorf("frame of %d bytes is truncated after %d", n, len(body))
	}
	return d.decode(body)
}

// decode decodes the body of a frame.
func (d *Decoder) decode(body []byte) (Batch, error) {
	r := &reader{remaining: body}
	out := Batch{Now: r.time()}
	count := r.u32()
	var front uint32
	selected := false
	for i := uint32(0); i < count && r.err == nil; i++ {
		code := r.u16()
		switch code {
		case recordSelectFront:
			front, selected = r.u32(), true
			continue
		case recordServerList:
			d.readServerList(r)
			continue
		}
		ev, err := d.event(code, r)
		if err != nil {
			return out, err
		}
		if !selected && r.err == nil {
			return out, fmt.Errorf("record %d precedes the selection of a front", code)
		}
		if ev != nil {
			out.Events = append(out.Events, FrontEvent{front, ev})
		}
	}
	if r.err == nil && len(r.remaining) > 0 {
		r.err = fmt.Errorf("%d bytes follow the last record", len(r.remaining))
	}
	return out, r.err
}

// readServerList decodes a server list and stores it under its number.
func (d *Decoder) readServerList(r *reader) {
	ref, n := r.u8(), r.u32()
	if n > maxList {
		r.err = fmt.Errorf("server list with too many entries: %d", n)
		return
	}
	var list []policy.Entry
	for i := uint32(0); i < n && r.err == nil; i++ {
		list = append(list, policy.Entry{Server: r.u32(), Zone: int(r.u16()), Kind: int(r.u16()), Cell: int(r.u16()),
			Health: policy.Health(r.u8()), Size: r.f32(), Started: r.time()})
	}
	d.lists[ref] = list
}

// event decodes one record; it returns nil for an event that the decision module does not use.
func (d *Decoder) event(code uint16, r *reader) (any, error) {
	switch code {
	case eventStart:
		return Start{Seed: r.u64(), Settings: string(r.take(int(r.u32())))}, nil
	case eventStop:
		return Stop{}, nil
	case eventList:
		kinds := map[uint8]policy.ListKind{4: policy.ListDelta, 3: policy.ListFull, 2: policy.ListCached,
			1: policy.ListFailed}
		kindCode := r.u8()
		kind, ok := kinds[kindCode]
		r.u32()
		ref := r.u8()
		if r.err == nil && !ok {
			return nil, fmt.Errorf("list has the unknown kind %d", kindCode)
		}
		if kind == policy.ListFailed {
			return policy.List{Kind: kind}, nil
		}
		list, known := d.lists[ref]
		if r.err == nil && !known {
			return nil, fmt.Errorf("list number %d is not defined", ref)
		}
		return policy.List{Kind: kind, Entries: list}, nil
	case eventRequest:
		a := policy.SessionSpec{ID: r.u64(), Title: r.u64(), Copies: r.integer(), Length: r.time(), Deadline: r.time(),
			Tenant: int(r.u32()), Home: r.integer()}
		setFlags(&a, r.u16())
		a.Class, a.Viewer, a.Top = int(r.u16()), r.u64(), r.integer()
		return policy.Request{SessionSpec: a}, nil
	case eventRestored:
		a := policy.SessionSpec{ID: r.u64(), Class: int(r.u16()), Tenant: int(r.u32()), Viewer: r.u64(), Title: r.u64(),
			Deadline: r.time(), Length: r.time(), Home: r.integer(), Copies: r.integer(), Top: r.integer()}
		setFlags(&a, r.u16())
		return policy.Restored{SessionSpec: a, Server: r.u32()}, nil
	case eventPlaying:
		return policy.Playing{ID: r.u64(), Attempt: int(r.u16()), Server: r.u32(), Took: r.time()}, nil
	case eventNote:
		return policy.Note{ID: r.u64(), Attempt: int(r.u16()), Server: r.u32(), Kind: policy.NoteKind(r.u8()),
			Value: r.f32()}, nil
	case eventOutcome:
		return policy.Outcome{ID: r.u64(), Attempt: int(r.u16()), Server: r.u32(), Status: r.status(), Took: r.time(),
			Final: r.u8() != 0, Report: r.report()}, nil
	case eventViewerLeft:
		return policy.ViewerLeft{ID: r.u64()}, nil
	case eventTimerFired:
		return policy.TimerFired{Token: r.u32()}, nil
	case eventProbed:
		return policy.Probed{Server: r.u32(), Status: r.status(), Took: r.time(), Report: r.report()}, nil
	case eventPeerMessage:
		r.u32()
		r.take(int(r.u16()))
		return nil, nil
	}
	if r.err != nil {
		return nil, r.err
	}
	return nil, fmt.Errorf("unknown record code %d", code)
}

// setFlags decodes the flag bits of a request.
func setFlags(a *policy.SessionSpec, bits uint16) {
	a.Hinted, a.Moved, a.Again = bits&1 != 0, bits&8 != 0, bits&16 != 0
}

// Reply collects the actions of one batch.
type Reply struct {
	records  []byte
	count    uint32
	front    uint32
	selected bool
}

// beginRecord appends the code of a record and counts it.
func (p *Reply) beginRecord(code uint16) {
	p.count++
	p.records = binary.LittleEndian.AppendUint16(p.records, code)
}

func (p *Reply) u32(v uint32) { p.records = binary.LittleEndian.AppendUint32(p.records, v) }
func (p *Reply) u64(v uint64) { p.records = binary.LittleEndian.AppendUint64(p.records, v) }

// textRecord appends a record with a text; longer texts are truncated to the limit of the format.
func (p *Reply) textRecord(code uint16, s string) {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	p.beginRecord(code)
	p.records = binary.LittleEndian.AppendUint16(p.records, uint16(len(s)))
	p.records = append(p.records, s...)
}

// selectFront makes the following records refer to a front.
func (p *Reply) selectFront(front uint32) {
	if p.selected && p.front == front {
		return
	}
	p.beginRecord(actionSelectFront)
	p.u32(front)
	p.front, p.selected = front, true
}

// Fault appends a record that the decision module failed.
func (p *Reply) Fault(front uint32, text string) {
	p.selectFront(front)
	p.textRecord(actionFault, text)
}

// Add appends an action of a front.
func (p *Reply) Add(front uint32, action policy.Action) error {
	p.selectFront(front)
	switch a := action.(type) {
	case policy.Send:
		p.beginRecord(actionSend)
		p.u64(a.ID)
		p.u32(a.Server)
		p.u64(uint64(a.Timeout))
	case policy.Refuse:
		p.beginRecord(actionRefuse)
		p.u64(a.ID)
		p.u64(uint64(a.After))
	case policy.Fail:
		p.beginRecord(actionFail)
		p.u64(a.ID)
	case policy.Cancel:
		p.beginRecord(actionCancel)
		p.u64(a.ID)
		p.records = binary.LittleEndian.AppendUint16(p.records, uint16(a.Attempt))
	case policy.Move:
		p.beginRecord(actionMove)
		p.u64(a.ID)
	case policy.Rate:
		p.beginRecord(actionRate)
		p.u64(a.ID)
		p.records = append(p.records, byte(a.Rung))
	case policy.Timer:
		p.beginRecord(actionTimer)
		p.u32(a.Token)
		p.u64(uint64(a.After))
	case policy.Probe:
		p.beginRecord(actionProbe)
		p.u32(a.Server)
	case policy.Subscribe:
		p.beginRecord(actionSubscribe)
		p.records = append(p.records, 1)
	case policy.Log:
		p.textRecord(actionLog, a.Text)
	default:
		return fmt.Errorf("no record code for action type %T", action)
	}
	return nil
}

// WriteTo writes the reply as one frame.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	head := binary.LittleEndian.AppendUint32(nil, uint32(4+len(p.records)))
	head = binary.LittleEndian.AppendUint32(head, p.count)
	n, err := w.Write(append(head, p.records...))
	return int64(n), err
}
