// Package wire encodes and decodes the simulator's frames: binary and little-endian, with records of fixed size and one
// tail per frame for data of variable size. It knows the layout of events and actions and makes no decisions.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the parts of a frame, in bytes.
const (
	headerSize = 16
	clockSize  = 8
	eventSize  = 56
	actionSize = 24
	entrySize  = 22
)

// Codes of the events that the simulator sends.
const (
	CodeEnlist         = 1
	CodePeersKnown     = 2
	CodeOrder          = 3
	CodeFirstByte      = 4
	CodeFinished       = 5
	CodeTimedOutClient = 6
	CodeFired          = 7
	CodeStatusBack     = 8
	CodeMail           = 9
	CodeDestroy        = 10
	CodeDirectory      = 11
)

// Codes of the actions that answer them.
const (
	CodeRefresh      = 65
	CodeAbortAttempt = 66
	CodeSubmitTo     = 67
	CodeNoteDown     = 68
	CodeException    = 69
	CodeTail         = 70
	CodeSurrender    = 71
	CodeDeny         = 72
	CodeRelease      = 73
	CodeWakeMe       = 74
	CodeTell         = 75
	CodeInspect      = 76
)

// Entry is one node in the list that a Directory event carries.
type Entry struct {
	Zone    uint16
	Target  uint32
	Pack    uint16
	Started uint64
	Rating  float32
	State   uint8
	Family  uint8
}

// Telemetry is a load report: N values in the order of the fields that the settings list under report.
type Telemetry struct {
	N      int
	Values [4]float32
}

// Event is one decoded record. A field is set only for the codes that carry it.
type Event struct {
	Code      uint8
	Instance  uint16
	Request   uint64
	Seed      uint64
	Settings  []byte
	How       uint8
	Buffer    uint16
	Entries   []Entry
	Lane      uint16
	HomeCell  float32
	Marks     uint8
	Key       uint64
	Disk      uint64
	Attached  float32
	DropDead  uint64
	Units     float32
	Policy    uint16
	Attempt   uint16
	Target    uint32
	Outcome   uint8
	Wait      uint32
	Settled   bool
	Used      uint16
	Elsewhere uint16
	Load      Telemetry
	Handle    uint32
	Data      []byte
}

// Batch is one frame from the simulator.
type Batch struct {
	Clock  uint64
	Events []Event
}

var le = binary.LittleEndian

// ReadBatch reads one frame into b and reuses the memory of b and buf. It returns io.EOF itself, not wrapped, if the
// input ends between two frames. Any other error names the part of the frame that is invalid.
func ReadBatch(r io.Reader, b *Batch, buf *bytes.Buffer) error {
	var head [8]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("frame header: %d of 8 bytes: %w", n, err)
	}
	count, size := le.Uint32(head[0:]), le.Uint32(head[4:])
	if size < clockSize || uint64(count)*eventSize > uint64(size)-clockSize {
		return fmt.Errorf("frame header: %d records do not fit in %d bytes", count, size)
	}
	// The length in the header is not trusted: the buffer grows as bytes arrive and is not allocated in advance.
	buf.Reset()
	if n, err := io.CopyN(buf, r, int64(size)); err != nil {
		return fmt.Errorf("frame body: %d of %d bytes: %w", n, size, err)
	}
	return decode(buf.Bytes(), int(count), b)
}

func decode(body []byte, count int, b *Batch) error {
	b.Clock = le.Uint64(body)
	b.Events = b.Events[:0]
	tail := body[clockSize+count*eventSize:]
	for i := range count {
		p := body[clockSize+i*eventSize:][:eventSize]
		var e Event
		if err := decodeEvent(p, tail, &e); err != nil {
			return fmt.Errorf("record %d, code %d: %w", i, p[0], err)
		}
		b.Events = append(b.Events, e)
	}
	return nil
}

func span(p, tail []byte, width int) ([]byte, error) {
	at, n := uint64(le.Uint32(p)), uint64(le.Uint32(p[4:]))
	if at+n*uint64(width) > uint64(len(tail)) {
		return nil, fmt.Errorf("offset %d with %d items of %d bytes is outside the tail of %d bytes",
			at, n, width, len(tail))
	}
	return tail[at : at+n*uint64(width)], nil
}

func f32(p []byte) float32 { return math.Float32frombits(le.Uint32(p)) }

func telemetry(p []byte, t *Telemetry) {
	t.N = min(int(p[0]), len(t.Values))
	for i := range t.N {
		t.Values[i] = f32(p[1+4*i:])
	}
}

func decodeEvent(p, tail []byte, e *Event) (err error) {
	e.Code = p[0]
	e.Instance = le.Uint16(p[1:])
	switch e.Code {
	case CodeEnlist:
		e.Seed = le.Uint64(p[3:])
		e.Settings, err = span(p[11:], tail, 1)
	case CodePeersKnown:
		e.How = p[3]
		e.Buffer = le.Uint16(p[8:])
	case CodeOrder:
		e.Request = le.Uint64(p[3:])
		e.Lane = le.Uint16(p[11:])
		e.HomeCell = f32(p[13:])
		e.Marks = p[17]
		e.Key = le.Uint64(p[18:])
		e.Disk = le.Uint64(p[26:])
		e.Attached = f32(p[34:])
		e.DropDead = le.Uint64(p[38:])
		e.Units = f32(p[46:])
		e.Policy = le.Uint16(p[50:])
	case CodeFirstByte:
		e.Request = le.Uint64(p[3:])
		e.Wait = le.Uint32(p[11:])
		e.Attempt = le.Uint16(p[15:])
		e.Target = le.Uint32(p[17:])
	case CodeFinished:
		e.Request = le.Uint64(p[3:])
		e.Attempt = le.Uint16(p[11:])
		e.Target = le.Uint32(p[13:])
		e.Outcome = p[17]
		e.Wait = le.Uint32(p[18:])
		e.Settled = p[22] != 0
		e.Used = le.Uint16(p[23:])
		e.Elsewhere = le.Uint16(p[25:])
		telemetry(p[27:], &e.Load)
	case CodeTimedOutClient:
		e.Request = le.Uint64(p[3:])
	case CodeFired:
		e.Handle = le.Uint32(p[3:])
	case CodeStatusBack:
		e.Target = le.Uint32(p[3:])
		e.Outcome = p[7]
		e.Wait = le.Uint32(p[8:])
		telemetry(p[12:], &e.Load)
	case CodeMail:
		e.Handle = le.Uint32(p[3:])
		e.Data, err = span(p[7:], tail, 1)
	case CodeDestroy:
	case CodeDirectory:
		// A Directory is for the whole process: the field that holds the instance in other events is the number of
		// the buffer.
		e.Buffer = le.Uint16(p[1:])
		e.Instance = 0
		e.Entries, err = entries(p[3:], tail)
	}
	return err
}

func entries(p, tail []byte) ([]Entry, error) {
	raw, err := span(p, tail, entrySize)
	if err != nil {
		return nil, err
	}
	list := make([]Entry, 0, len(raw)/entrySize)
	for ; len(raw) > 0; raw = raw[entrySize:] {
		list = append(list, Entry{
			Zone: le.Uint16(raw), Target: le.Uint32(raw[2:]), Pack: le.Uint16(raw[6:]),
			Started: le.Uint64(raw[8:]), Rating: f32(raw[16:]), State: raw[20], Family: raw[21],
		})
	}
	return list, nil
}

// Reply collects the actions that answer one batch.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Reset empties the reply and keeps the allocated memory.
func (r *Reply) Reset() { r.records, r.tail, r.count = r.records[:0], r.tail[:0], 0 }

func (r *Reply) record(code uint8, instance uint16) []byte {
	at := len(r.records)
	r.records = append(r.records, make([]byte, actionSize)...)
	p := r.records[at:]
	p[0] = code
	le.PutUint16(p[1:], instance)
	r.count++
	return p
}

func (r *Reply) data(p, data []byte) {
	le.PutUint32(p, uint32(len(r.tail)))
	le.PutUint32(p[4:], uint32(len(data)))
	r.tail = append(r.tail, data...)
}

// SubmitTo adds the action that starts an attempt at a target.
func (r *Reply) SubmitTo(instance uint16, request uint64, target uint32, stopAt uint64) {
	p := r.record(CodeSubmitTo, instance)
	le.PutUint64(p[3:], request)
	le.PutUint32(p[11:], target)
	le.PutUint64(p[15:], stopAt)
}

// AbortAttempt adds the action that cancels an attempt.
func (r *Reply) AbortAttempt(instance uint16, request uint64, attempt uint16) {
	p := r.record(CodeAbortAttempt, instance)
	le.PutUint64(p[3:], request)
	le.PutUint16(p[11:], attempt)
}

// Deny adds the action that refuses a request. The client may retry it after coolDown.
func (r *Reply) Deny(instance uint16, request uint64, coolDown uint32) {
	p := r.record(CodeDeny, instance)
	le.PutUint64(p[3:], request)
	le.PutUint32(p[11:], coolDown)
}

// Surrender adds the action that fails a request.
func (r *Reply) Surrender(instance uint16, request uint64) {
	le.PutUint64(r.record(CodeSurrender, instance)[3:], request)
}

// WakeMe adds the action that requests a Fired event with this handle.
func (r *Reply) WakeMe(instance uint16, offset, handle uint32) {
	p := r.record(CodeWakeMe, instance)
	le.PutUint32(p[3:], offset)
	le.PutUint32(p[7:], handle)
}

// Inspect adds the action that probes a target.
func (r *Reply) Inspect(instance uint16, target uint32) {
	le.PutUint32(r.record(CodeInspect, instance)[3:], target)
}

// Release adds the action that closes the idle connections to a target.
func (r *Reply) Release(instance uint16, target uint32) {
	le.PutUint32(r.record(CodeRelease, instance)[3:], target)
}

// Tail adds the action that starts or stops the subscription to the list of nodes.
func (r *Reply) Tail(instance uint16, active bool) {
	if p := r.record(CodeTail, instance); active {
		p[3] = 1
	}
}

// Refresh adds the action that requests the full list of nodes.
func (r *Reply) Refresh(instance uint16) { r.record(CodeRefresh, instance) }

// NoteDown adds the action that writes a line to the report.
func (r *Reply) NoteDown(instance uint16, text string) {
	r.data(r.record(CodeNoteDown, instance)[3:], []byte(text))
}

// Exception adds the action that reports a failure of the scheduler.
func (r *Reply) Exception(instance uint16, text string) {
	r.data(r.record(CodeException, instance)[3:], []byte(text))
}

// Tell adds the action that sends data to a peer.
func (r *Reply) Tell(instance uint16, peer uint32, data []byte) {
	p := r.record(CodeTell, instance)
	le.PutUint32(p[3:], peer)
	r.data(p[7:], data)
}

// WriteTo writes the reply to w as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	var head [8]byte
	le.PutUint32(head[0:], r.count)
	le.PutUint32(head[4:], uint32(len(r.records)+len(r.tail)))
	var total int64
	for _, part := range [][]byte{head[:], r.records, r.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
