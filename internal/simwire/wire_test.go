package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"tealledge/policy"
)

// newRecord builds a record from a code and its fields, in the order given.
func newRecord(code uint16, fields ...any) []byte {
	b := binary.LittleEndian.AppendUint16(nil, code)
	for _, f := range fields {
		switch v := f.(type) {
		case uint8:
			b = append(b, v)
		case uint16:
			b = binary.LittleEndian.AppendUint16(b, v)
		case uint32:
			b = binary.LittleEndian.AppendUint32(b, v)
		case uint64:
			b = binary.LittleEndian.AppendUint64(b, v)
		case float32:
			b = binary.LittleEndian.AppendUint32(b, math.Float32bits(v))
		case string:
			b = append(b, v...)
		default:
			panic("unknown field type")
		}
	}
	return b
}

// newFrame builds a frame from its time and records.
func newFrame(now uint64, records ...[]byte) []byte {
	body := binary.LittleEndian.AppendUint64(nil, now)
	body = binary.LittleEndian.AppendUint32(body, uint32(len(records)))
	for _, r := range records {
		body = append(body, r...)
	}
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// selectFrontRecord makes the records after it refer to front 3.
var selectFrontRecord = newRecord(1130, uint32(3))

// entryBytes gives the encoded fields of a server list entry.
func entryBytes() string {
	return string(newRecord(0, uint32(9), uint16(1), uint16(2), uint16(5), uint8(1), float32(1.5), uint64(77))[2:])
}

// eventRecords gives, by name, records and the events that they decode to.
func eventRecords() map[string]struct {
	record []byte
	want   any
} {
	type pair = struct {
		record []byte
		want   any
	}
	spec := policy.SessionSpec{ID: 1, Title: 2, Copies: 3, Length: 4, Deadline: 5, Tenant: 6, Home: 7, Class: 1,
		Viewer: 8, Top: 2, Hinted: true, Moved: true, Again: true}
	return map[string]pair{
		"start": {newRecord(1000, uint64(5), uint32(4), "me=1"), Start{Seed: 5, Settings: "me=1"}},
		"stop":  {newRecord(1090), Stop{}},
		"list": {newRecord(1010, uint8(4), uint32(1), uint8(2)),
			policy.List{Kind: policy.ListDelta, Entries: []policy.Entry{
				{Server: 9, Zone: 1, Kind: 2, Cell: 5, Health: policy.Draining, Size: 1.5, Started: 77}}}},
		"failed list": {newRecord(1010, uint8(1), uint32(1), uint8(0)), policy.List{Kind: policy.ListFailed}},
		"request": {newRecord(1020, uint64(1), uint64(2), float32(3), uint64(4), uint64(5), uint32(6), float32(7),
			uint16(25), uint16(1), uint64(8), float32(2)),
			policy.Request{SessionSpec: spec}},
		"restored": {newRecord(1100, uint64(1), uint16(1), uint32(6), uint64(8), uint64(2), uint64(5), uint64(4),
			float32(7), float32(3), float32(2), uint16(25), uint32(9)),
			policy.Restored{SessionSpec: spec, Server: 9}},
		"playing": {newRecord(1030, uint64(1), uint16(2), uint32(9), uint64(4)),
			policy.Playing{ID: 1, Attempt: 2, Server: 9, Took: 4}},
		"note": {newRecord(1110, uint64(1), uint16(2), uint32(9), uint8(1), float32(0.5)),
			policy.Note{ID: 1, Attempt: 2, Server: 9, Kind: policy.NoteShare, Value: 0.5}},
		"outcome": {newRecord(1040, uint64(1), uint16(2), uint32(9), uint16(110), uint64(4), uint8(1), uint8(2),
			float32(0.25), float32(1.25)),
			policy.Outcome{ID: 1, Attempt: 2, Server: 9, Status: policy.TimedOut, Took: 4, Final: true,
				Report: []float64{0.25, 1.25}}},
		"viewer left": {newRecord(1050, uint64(1)), policy.ViewerLeft{ID: 1}},
		"timer fired": {newRecord(1060, uint32(6)), policy.TimerFired{Token: 6}},
		"probed": {newRecord(1070, uint32(9), uint16(0), uint64(4), uint8(1), float32(0.5)),
			policy.Probed{Server: 9, Took: 4, Report: []float64{0.5}}},
	}
}

// Guards against events that are decoded wrongly and truncated or overlong records that are accepted.
func TestDecodesEventsAndRejectsTruncatedRecords(t *testing.T) {
	serverList := newRecord(1120, uint8(2), uint32(1), entryBytes())
	for name, p := range eventRecords() {
		d := NewDecoder(bytes.NewReader(newFrame(42, serverList, selectFrontRecord, p.record)))
		got, err := d.Next()
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if want := (Batch{42, []FrontEvent{{3, p.want}}}); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
		if _, err := d.Next(); err != io.EOF {
			t.Errorf("%s: at the end of input: %v", name, err)
		}
		for cut := 2; cut < len(p.record); cut++ {
			if _, err := NewDecoder(bytes.NewReader(
				newFrame(42, serverList, selectFrontRecord, p.record[:cut]))).Next(); err == nil {
				t.Errorf("%s truncated to %d bytes was accepted", name, cut)
			}
		}
		if _, err := NewDecoder(bytes.NewReader(newFrame(42, serverList, selectFrontRecord,
			append(p.record[:len(p.record):len(p.record)], 0)))).Next(); err == nil {
			t.Errorf("%s with an extra byte was accepted", name)
		}
	}
}

func TestPeerMessagesAreSkipped(t *testing.T) {
	got, err := NewDecoder(bytes.NewReader(newFrame(1, selectFrontRecord,
		newRecord(1080, uint32(2), uint16(3), "abc"), newRecord(1050, uint64(7))))).Next()
	if err != nil || len(got.Events) != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
}

// Guards against damaged frames that are accepted, or whose error spans several lines.
func TestRejectsInvalidFrames(t *testing.T) {
	good := newFrame(1, selectFrontRecord, newRecord(1050, uint64(7)))
	bad := map[string][]byte{
		"truncated length":  good[:3],
		"truncated frame":   good[:len(good)-1],
		"tiny length":       {3, 0, 0, 0, 1, 2, 3},
		"huge length":       {0xff, 0xff, 0xff, 0xff},
		"unknown record":    newFrame(1, selectFrontRecord, newRecord(4242)),
		"no front selected": newFrame(1, newRecord(1050, uint64(7))),
		"unknown list":      newFrame(1, selectFrontRecord, newRecord(1010, uint8(3), uint32(1), uint8(9))),
		"unknown list kind": newFrame(1, selectFrontRecord, newRecord(1010, uint8(7), uint32(1), uint8(9))),
		"huge list":         newFrame(1, newRecord(1120, uint8(1), uint32(math.MaxUint32))),
		"not a number": newFrame(1, selectFrontRecord,
			newRecord(1110, uint64(1), uint16(2), uint32(9), uint8(1), float32(math.NaN()))),
		"count over":       append([]byte{12, 0, 0, 0}, make([]byte, 8)...),
		"settings overrun": newFrame(1, selectFrontRecord, newRecord(1000, uint64(5), uint32(400), "me=1")),
	}
	for name, b := range bad {
		var out bytes.Buffer
		err := Serve(bytes.NewReader(b), &out)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if err := Serve(bytes.NewReader(nil), io.Discard); err != nil {
		t.Errorf("at a clean end of input: %v", err)
	}
}

func TestEncodesEveryAction(t *testing.T) {
	for _, c := range []struct {
		act  policy.Action
		want []byte
	}{
		{policy.Send{ID: 1, Server: 2, Timeout: 3}, newRecord(1040, uint64(1), uint32(2), uint64(3))},
		{policy.Refuse{ID: 1, After: 3}, newRecord(1130, uint64(1), uint64(3))},
		{policy.Fail{ID: 1}, newRecord(1140, uint64(1))},
		{policy.Cancel{ID: 1, Attempt: 2}, newRecord(1010, uint64(1), uint16(2))},
		{policy.Move{ID: 1}, newRecord(1110, uint64(1))},
		{policy.Rate{ID: 1, Rung: 2}, newRecord(1090, uint64(1), uint8(2))},
		{policy.Timer{Token: 1, After: 3}, newRecord(1050, uint32(1), uint64(3))},
		{policy.Probe{Server: 2}, newRecord(1070, uint32(2))},
		{policy.Subscribe{}, newRecord(1120, uint8(1))},
		{policy.Log{Text: "ab"}, newRecord(1000, uint16(2), "ab")},
	} {
		var r Reply
		if err := r.Add(3, c.act); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if _, err := r.WriteTo(&out); err != nil {
			t.Fatal(err)
		}
		body := append(binary.LittleEndian.AppendUint32(nil, 2), append(newRecord(1060, uint32(3)), c.want...)...)
		want := append(binary.LittleEndian.AppendUint32(nil, uint32(len(body))), body...)
		if !bytes.Equal(out.Bytes(), want) {
			t.Errorf("%T: got %s, want %s", c.act, hex.EncodeToString(out.Bytes()), hex.EncodeToString(want))
		}
	}
	if err := new(Reply).Add(1, 42); err == nil {
		t.Error("an unknown action was encoded")
	}
}

// Guards against a panic of one front that ends the whole process.
func TestPanicIsReportedAsFault(t *testing.T) {
	var reply Reply
	// A front that New did not make has nil maps, so that its first list panics.
	fronts := map[uint32]*policy.Front{3: new(policy.Front)}
	err := handle(fronts, 5, FrontEvent{3, policy.Request{SessionSpec: policy.SessionSpec{ID: 1}}}, &reply)
	if err != nil {
		t.Fatal(err)
	}
	err = handle(fronts, 5, FrontEvent{3, policy.List{Entries: []policy.Entry{{Server: 1}}}}, &reply)
	if err != nil || !bytes.Contains(reply.records, []byte("the decision module failed")) {
		t.Fatalf("no fault record: %v %q", err, reply.records)
	}
}

func TestRepliesToEachBatch(t *testing.T) {
	in := newFrame(1000, selectFrontRecord, newRecord(1000, uint64(5), uint32(4), "me=1"),
		newRecord(1120, uint8(2), uint32(1), entryBytes()), newRecord(1010, uint8(2), uint32(1), uint8(2)))
	in = append(in, newFrame(2000)...)
	in = append(in, newFrame(3000, selectFrontRecord, newRecord(1090), newRecord(1060, uint32(0)))...)
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	frames := 0
	for b := out.Bytes(); len(b) > 0; frames++ {
		b = b[4+binary.LittleEndian.Uint32(b):]
	}
	if frames != 3 {
		t.Fatalf("%d replies to 3 batches", frames)
	}
	if !bytes.HasSuffix(out.Bytes(), []byte{4, 0, 0, 0, 0, 0, 0, 0}) {
		t.Fatal("a front returned actions after it was stopped")
	}
}
