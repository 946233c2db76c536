// Package simwire speaks the simulator's binary wire: batches of events in, replies of actions out.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"tealledge/policy"
)

// Limits on what is read, so that a damaged length ends in a message and not in a huge allocation.
const (
	maxFrame = 1 << 30
	maxList  = 1 << 20
)

// Start and Stop begin and end an instance. Seed and Settings come with the start.
type (
	Start struct {
		Seed     uint64
		Settings string
	}
	Stop struct{}
)

// Heard is an event of one front: Start, Stop or one of the policy's.
type Heard struct {
	Front uint32
	Event any
}

// Batch is what a frame held.
type Batch struct {
	Now    policy.Time
	Events []Heard
}

// Event codes.
const (
	codeStart, codeList, codeRequest, codePlaying, codeOutcome = 1000, 1010, 1020, 1030, 1040
	codeGone, codeAlarm, codeProbed, codePeer, codeStop        = 1050, 1060, 1070, 1080, 1090
	codeHanded, codeNote, codeInventory, codeAbout             = 1100, 1110, 1120, 1130
)

// Action codes.
const (
	sayLog, sayCancel, sayFault, saySend, sayTimer, saySpeaking = 1000, 1010, 1030, 1040, 1050, 1060
	sayProbe, sayRate, sayMove, sayRefuse, sayFail, sayFollow   = 1070, 1090, 1110, 1130, 1140, 1120
)

// Decoder reads batches. It keeps the numbered server lists, which outlive a batch.
type Decoder struct {
	r     io.Reader
	lists map[uint8][]policy.Entry
}

// NewDecoder reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: r, lists: map[uint8][]policy.Entry{}}
}

// reader walks over a frame; after the first failure it yields zeros.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n > len(r.b) {
		if r.err == nil {
			r.err = errors.New("a record is cut short")
		}
		return make([]byte, min(n, 8))
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u8() uint8                 { return r.take(1)[0] }
func (r *reader) u16() uint16               { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32               { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64               { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) time() policy.Time         { return policy.Time(r.u64()) }
func (r *reader) index() int                { return int(r.f32()) }
func (r *reader) status() (s policy.Status) { return policy.Status(r.u16()) }

func (r *reader) f32() float64 {
	v := float64(math.Float32frombits(r.u32()))
	if (math.IsNaN(v) || math.IsInf(v, 0) || math.Abs(v) > 1e12) && r.err == nil {
		r.err = errors.New("a number is not finite or out of range")
	}
	return v
}

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
		return Batch{}, fmt.Errorf("the length of a frame is cut short: %w", err)
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 12 || n > maxFrame {
		return Batch{}, fmt.Errorf("a frame claims an impossible length of %d bytes", n)
	}
	// Grown while it is read: a wrong length costs no more memory than there is input.
	body, err := io.ReadAll(io.LimitReader(d.r, int64(n)))
	if err != nil || len(body) < int(n) {
		return Batch{}, fmt.Errorf("a frame of %d bytes ends after %d", n, len(body))
	}
	return d.decode(body)
}

func (d *Decoder) decode(body []byte) (Batch, error) {
	r := &reader{b: body}
	out := Batch{Now: r.time()}
	count := r.u32()
	var front uint32
	selected := false
	for i := uint32(0); i < count && r.err == nil; i++ {
		code := r.u16()
		switch code {
		case codeAbout:
			front, selected = r.u32(), true
			continue
		case codeInventory:
			d.inventory(r)
			continue
		}
		ev, err := d.event(code, r)
		if err != nil {
			return out, err
		}
		if !selected && r.err == nil {
			return out, fmt.Errorf("record %d comes before any instance is selected", code)
		}
		if ev != nil {
			out.Events = append(out.Events, Heard{front, ev})
		}
	}
	if r.err == nil && len(r.b) > 0 {
		r.err = fmt.Errorf("%d bytes are left after the last record", len(r.b))
	}
	return out, r.err
}

func (d *Decoder) inventory(r *reader) {
	ref, n := r.u8(), r.u32()
	if n > maxList {
		r.err = fmt.Errorf("a server list claims %d entries", n)
		return
	}
	var list []policy.Entry
	for i := uint32(0); i < n && r.err == nil; i++ {
		list = append(list, policy.Entry{Server: r.u32(), Zone: int(r.u16()), Kind: int(r.u16()), Cell: int(r.u16()),
			Health: policy.Health(r.u8()), Size: r.f32(), Started: r.time()})
	}
	d.lists[ref] = list
}

// event decodes one record; an event that the module has no use for gives nil.
func (d *Decoder) event(code uint16, r *reader) (any, error) {
	switch code {
	case codeStart:
		return Start{Seed: r.u64(), Settings: string(r.take(int(r.u32())))}, nil
	case codeStop:
		return Stop{}, nil
	case codeList:
		kinds := map[uint8]policy.ListKind{4: policy.ListDelta, 3: policy.ListFull, 2: policy.ListCached, 1: policy.ListFailed}
		how := r.u8()
		kind, ok := kinds[how]
		r.u32()
		ref := r.u8()
		if r.err == nil && !ok {
			return nil, fmt.Errorf("a list is of unknown kind %d", how)
		}
		if kind == policy.ListFailed {
			return policy.List{Kind: kind}, nil
		}
		list, known := d.lists[ref]
		if r.err == nil && !known {
			return nil, fmt.Errorf("list number %d was never sent", ref)
		}
		return policy.List{Kind: kind, Entries: list}, nil
	case codeRequest:
		a := policy.Ask{ID: r.u64(), Title: r.u64(), Copies: r.index(), Length: r.time(), Deadline: r.time(),
			Tenant: int(r.u32()), Home: r.index()}
		setMarks(&a, r.u16())
		a.Class, a.Viewer, a.Top = int(r.u16()), r.u64(), r.index()
		return policy.Request{Ask: a}, nil
	case codeHanded:
		a := policy.Ask{ID: r.u64(), Class: int(r.u16()), Tenant: int(r.u32()), Viewer: r.u64(), Title: r.u64(),
			Deadline: r.time(), Length: r.time(), Home: r.index(), Copies: r.index(), Top: r.index()}
		setMarks(&a, r.u16())
		return policy.Handed{Ask: a, Server: r.u32()}, nil
	case codePlaying:
		return policy.Playing{ID: r.u64(), Attempt: int(r.u16()), Server: r.u32(), Took: r.time()}, nil
	case codeNote:
		return policy.Note{ID: r.u64(), Attempt: int(r.u16()), Server: r.u32(), Kind: policy.NoteKind(r.u8()),
			Value: r.f32()}, nil
	case codeOutcome:
		return policy.Outcome{ID: r.u64(), Attempt: int(r.u16()), Server: r.u32(), Status: r.status(), Took: r.time(),
			Final: r.u8() != 0, Report: r.report()}, nil
	case codeGone:
		return policy.Gone{ID: r.u64()}, nil
	case codeAlarm:
		return policy.Alarm{Token: r.u32()}, nil
	case codeProbed:
		return policy.Probed{Server: r.u32(), Status: r.status(), Took: r.time(), Report: r.report()}, nil
	case codePeer:
		r.u32()
		r.take(int(r.u16()))
		return nil, nil
	}
	if r.err != nil {
		return nil, r.err
	}
	return nil, fmt.Errorf("a record has the unknown code %d", code)
}

func setMarks(a *policy.Ask, bits uint16) {
	a.Hinted, a.Moved, a.Again = bits&1 != 0, bits&8 != 0, bits&16 != 0
}

// Reply gathers the actions of one batch.
type Reply struct {
	b     []byte
	count uint32
	front uint32
	named bool
}

func (p *Reply) record(code uint16) {
	p.count++
	p.b = binary.LittleEndian.AppendUint16(p.b, code)
}

func (p *Reply) u32(v uint32) { p.b = binary.LittleEndian.AppendUint32(p.b, v) }
func (p *Reply) u64(v uint64) { p.b = binary.LittleEndian.AppendUint64(p.b, v) }

func (p *Reply) text(code uint16, s string) {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	p.record(code)
	p.b = binary.LittleEndian.AppendUint16(p.b, uint16(len(s)))
	p.b = append(p.b, s...)
}

func (p *Reply) speak(front uint32) {
	if p.named && p.front == front {
		return
	}
	p.record(saySpeaking)
	p.u32(front)
	p.front, p.named = front, true
}

// Fault reports that the module failed.
func (p *Reply) Fault(front uint32, text string) {
	p.speak(front)
	p.text(sayFault, text)
}

// Add appends a front's action.
func (p *Reply) Add(front uint32, action policy.Action) error {
	p.speak(front)
	switch a := action.(type) {
	case policy.Send:
		p.record(saySend)
		p.u64(a.ID)
		p.u32(a.Server)
		p.u64(uint64(a.Timeout))
	case policy.Refuse:
		p.record(sayRefuse)
		p.u64(a.ID)
		p.u64(uint64(a.After))
	case policy.Fail:
		p.record(sayFail)
		p.u64(a.ID)
	case policy.Cancel:
		p.record(sayCancel)
		p.u64(a.ID)
		p.b = binary.LittleEndian.AppendUint16(p.b, uint16(a.Attempt))
	case policy.Move:
		p.record(sayMove)
		p.u64(a.ID)
	case policy.Rate:
		p.record(sayRate)
		p.u64(a.ID)
		p.b = append(p.b, byte(a.Rung))
	case policy.Timer:
		p.record(sayTimer)
		p.u32(a.Token)
		p.u64(uint64(a.After))
	case policy.Probe:
		p.record(sayProbe)
		p.u32(a.Server)
	case policy.Follow:
		p.record(sayFollow)
		p.b = append(p.b, 1)
	case policy.Log:
		p.text(sayLog, a.Text)
	default:
		return fmt.Errorf("no record for action %T", action)
	}
	return nil
}

// WriteTo sends the reply as one frame.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	head := binary.LittleEndian.AppendUint32(nil, uint32(4+len(p.b)))
	head = binary.LittleEndian.AppendUint32(head, p.count)
	n, err := w.Write(append(head, p.b...))
	return int64(n), err
}
