package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// frame builds the bytes of a batch. Records are in hex, without their zero padding.
func frame(clock uint64, tail []byte, records ...string) []byte {
	var body []byte
	body = le.AppendUint64(body, clock)
	for _, r := range records {
		p, err := hex.DecodeString(strings.ReplaceAll(r, " ", ""))
		if err != nil {
			panic(err)
		}
		body = append(body, append(p, make([]byte, eventSize-len(p))...)...)
	}
	body = append(body, tail...)
	var out []byte
	out = le.AppendUint32(out, uint32(len(records)))
	out = le.AppendUint32(out, uint32(len(body)))
	return append(out, body...)
}

func read(t *testing.T, data []byte) (*Batch, error) {
	t.Helper()
	b := new(Batch)
	err := ReadBatch(bytes.NewReader(data), b, new(bytes.Buffer))
	return b, err
}

func TestReadEvents(t *testing.T) {
	tail, _ := hex.DecodeString("0000074a12030000000000000000000000" + "00803f0100" + "0000f211902c000020145d00000000000000c03f0100")
	data := frame(8411226, tail,
		"03 0300 c4913a5d56ca0300 0000 00000000 01 640ad2557c3bf091 107cf3d901648e2b 00004040 da05840000000000 00000040 0000",
		"07 0300 4d000000",
		"06 0500 192b6f0ef8be0c00",
		"05 0300 c4913a5d56ca0300 0000 074a1203 0a 44480000 01 5600 0300 02 52b81e3f 0000e040",
		"0b 0000 00000000 02000000",
		"02 0300 03 29000000 0000",
		"0a 0900",
		"04 0300 c4913a5d56ca0300 01000000 0200 074a1203",
		"08 0300 074a1203 0a 01000000 01 0000803f",
		"7f 0300 01")
	b, err := read(t, data)
	if err != nil {
		t.Fatal(err)
	}
	if b.Clock != 8411226 || len(b.Events) != 10 {
		t.Fatalf("clock %d, %d events", b.Clock, len(b.Events))
	}
	const rid = 0x3ca565d3a91c4
	for i, want := range []Event{
		{Code: CodeOrder, Instance: 3, Request: rid, Marks: 1, Key: 0x91f03b7c55d20a64, Disk: 0x2b8e6401d9f37c10,
			Attached: 3, DropDead: 0x8405da, Units: 2},
		{Code: CodeFired, Instance: 3, Handle: 77},
		{Code: CodeTimedOutClient, Instance: 5, Request: 0xcbef80e6f2b19},
		{Code: CodeFinished, Instance: 3, Request: rid, Target: 0x03124a07, Outcome: 10, Wait: 0x4844, Settled: true,
			Used: 86, Elsewhere: 3, Load: Telemetry{N: 2, Values: [4]float32{0.62, 7}}},
		{Code: CodeDirectory, Entries: []Entry{
			{Target: 0x03124a07, Rating: 1, State: 1},
			{Target: 0x2c9011f2, Started: 0x5d1420, Rating: 1.5, State: 1}}},
		{Code: CodePeersKnown, Instance: 3, How: 3},
		{Code: CodeDestroy, Instance: 9},
		{Code: CodeFirstByte, Instance: 3, Request: rid, Wait: 1, Attempt: 2, Target: 0x03124a07},
		{Code: CodeStatusBack, Instance: 3, Target: 0x03124a07, Outcome: 10, Wait: 1,
			Load: Telemetry{N: 1, Values: [4]float32{1}}},
		{Code: 0x7f, Instance: 3},
	} {
		if !reflect.DeepEqual(b.Events[i], want) {
			t.Errorf("event %d:\n got %+v\nwant %+v", i, b.Events[i], want)
		}
	}
}

func TestEnlistAndMailCarryTheirTail(t *testing.T) {
	b, err := read(t, frame(1, []byte(`{"az":2}hi`),
		"01 0700 0102030405060708 00000000 08000000", "09 0700 03000000 08000000 02000000"))
	if err != nil {
		t.Fatal(err)
	}
	if e := b.Events[0]; string(e.Settings) != `{"az":2}` || e.Seed != 0x0807060504030201 || e.Instance != 7 {
		t.Errorf("%+v", e)
	}
	if e := b.Events[1]; string(e.Data) != "hi" || e.Handle != 3 {
		t.Errorf("%+v", e)
	}
}

func TestBadFrames(t *testing.T) {
	whole := frame(1, nil, "07 0300 4d000000")
	for _, c := range []struct {
		name string
		data []byte
		want string
	}{
		{"half a header", whole[:5], "frame header: 5 of 8 bytes"},
		{"half a body", whole[:40], "frame body: 32 of 64 bytes"},
		{"too many records", append([]byte{255, 255, 255, 255, 8, 0, 0, 0}, make([]byte, 8)...), "do not fit"},
		{"length under the clock", []byte{0, 0, 0, 0, 4, 0, 0, 0, 1, 2, 3, 4}, "do not fit"},
		{"a claim of gigabytes", append([]byte{0, 0, 0, 0, 255, 255, 255, 255}, make([]byte, 9)...), "frame body: 9 of"},
		{"settings outside the tail", frame(1, nil, "01 0700 0102030405060708 00000000 08000000"), "outside the tail"},
		{"entries outside the tail", frame(1, nil, "0b 0000 ffffffff ffffffff"), "outside the tail"},
	} {
		_, err := read(t, c.data)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", c.name, err, c.want)
		}
	}
	if _, err := read(t, nil); !errors.Is(err, io.EOF) || err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

func TestReply(t *testing.T) {
	var r Reply
	r.SubmitTo(3, 0x3ca565d3a91c4, 0x03124a07, 0x8194da)
	r.WakeMe(3, 0x07a120, 77)
	r.NoteDown(5, "two servers known")
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := strings.ReplaceAll("03000000 59000000 43 0300 c4913a5d56ca0300 074a1203 da94810000000000 00"+
		"4a 0300 20a10700 4d000000 00000000000000000000000000 44 0500 00000000 11000000 00000000000000000000000000"+
		"74776f2073657276657273206b6e6f776e", " ", "")
	if got := hex.EncodeToString(out.Bytes()); got != want {
		t.Errorf("\n got %s\nwant %s", got, want)
	}
	r.Reset()
	out.Reset()
	r.Deny(1, 2, 3)
	r.Surrender(1, 2)
	r.AbortAttempt(1, 2, 3)
	r.Inspect(1, 2)
	r.Release(1, 2)
	r.Tail(1, true)
	r.Tail(1, false)
	r.Refresh(1)
	r.Exception(1, "x")
	r.Tell(1, 2, []byte("yz"))
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	b := out.Bytes()
	if le.Uint32(b) != 10 || int(le.Uint32(b[4:])) != len(b)-8 || len(b) != 8+10*actionSize+3 {
		t.Errorf("frame of %d bytes, %d records, length %d", len(b), le.Uint32(b), le.Uint32(b[4:]))
	}
	if got := b[8+5*actionSize+3]; got != 1 {
		t.Error("Tail(true) does not set its flag")
	}
	if got := string(b[len(b)-3:]); got != "xyz" {
		t.Errorf("tail %q", got)
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"new":[1],"balancers":3,"classes":[{"aimUs":5e5,"semantics":"dedup","odd":{}}],
		"invariants":{"coldUs":16000000},"limits":{"sendCap":4},"serviceLevels":[{"neverOver":39.0}]}`))
	if err != nil || s.Balancers != 3 || s.Classes[0].AimUs != 500000 || s.ServiceLevels[0].NeverOver != 39 {
		t.Errorf("%+v, %v", s, err)
	}
	if _, err := ParseSettings([]byte(`{"balancers":"x"}`)); err == nil || !strings.Contains(err.Error(), "settings") {
		t.Errorf("bad settings: %v", err)
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add(frame(1, nil))
	f.Add(frame(1, []byte(`{"az":2}`), "01 0700 0102030405060708 00000000 08000000"))
	f.Add(frame(9, make([]byte, entrySize), "0b 0000 00000000 01000000", "02 0300 03 29000000 0000"))
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, buf := bytes.NewReader(data), new(bytes.Buffer)
		var b Batch
		for {
			if err := ReadBatch(r, &b, buf); err != nil {
				return
			}
			if len(b.Events)*eventSize > len(data) {
				t.Fatalf("%d events from %d bytes", len(b.Events), len(data))
			}
		}
	})
}
