package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"testing"

	"appleplank/internal/wire"
)

// TestMain runs the adapter instead of the tests if WIREHOST_AS_ADAPTER is set, so that tests can start real processes.
func TestMain(m *testing.M) {
	if os.Getenv("WIREHOST_AS_ADAPTER") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func runAdapter(t *testing.T, input []byte) (out []byte, stderr string, err error) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "WIREHOST_AS_ADAPTER=1")
	var o, e bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = bytes.NewReader(input), &o, &e
	err = cmd.Run()
	return o.Bytes(), e.String(), err
}

const testSettings = `{"balancers":3,"granularityUs":2000,"unknown":{"a":[1]},
 "classes":[{"aimUs":400000,"deadlineUs":2000000,"group":"all","importance":3,"semantics":"retryable"},
  {"aimUs":700000,"deadlineUs":3000000,"group":"cell","importance":2,"semantics":"dedup","repeatWindowUs":2000000}],
 "familyInfo":{"coldBears":9,"unitsTop":6,"usePeriodUs":1000000,"tellsElsewhere":true},
 "invariants":{"answerSlackUs":8000,"stopSendingWithinUs":1000000,"coldUs":9000000,"coldFrom":0.2,
  "overloadForUs":1000000,"tipMultiple":3},
 "limits":{"sendCap":4,"secondCopies":true,"retryAfter":true,"maxRetryAfterUs":500000},"membershipMode":"automatic",
 "report":{"fields":["waiting"],"how":"piggyback"},
 "serviceLevels":[{"baseRate":5,"floorRate":2,"shares":1,"neverOver":20,"limitBurst":40,"capSlack":6},
  {"baseRate":9,"floorRate":8,"shares":2}]}`

// batch builds one frame of the simulator from events of any instances.
type batch struct {
	records []byte
	tail    []byte
	count   uint32
}

func (b *batch) record(code byte, instance uint16) []byte {
	p := make([]byte, 56)
	p[0] = code
	binary.LittleEndian.PutUint16(p[1:], instance)
	b.records = append(b.records, p...)
	b.count++
	return b.records[len(b.records)-56:]
}

func (b *batch) bytes(clock uint64) []byte {
	var out []byte
	out = binary.LittleEndian.AppendUint32(out, b.count)
	out = binary.LittleEndian.AppendUint32(out, uint32(8+len(b.records)+len(b.tail)))
	out = binary.LittleEndian.AppendUint64(out, clock)
	return append(append(out, b.records...), b.tail...)
}

func (b *batch) enlist(instance uint16, settings string) {
	p := b.record(1, instance)
	binary.LittleEndian.PutUint64(p[3:], uint64(instance)*77+1)
	binary.LittleEndian.PutUint32(p[11:], uint32(len(b.tail)))
	binary.LittleEndian.PutUint32(p[15:], uint32(len(settings)))
	b.tail = append(b.tail, settings...)
}

// directory lists the nodes from 100 and the cells from 0 in the given buffer and announces it to the instances.
func (b *batch) directory(buffer uint16, nodes int, instances ...uint16) {
	p := b.record(11, buffer)
	binary.LittleEndian.PutUint32(p[3:], uint32(len(b.tail)))
	binary.LittleEndian.PutUint32(p[7:], uint32(nodes))
	for i := range nodes {
		e := make([]byte, 22)
		binary.LittleEndian.PutUint32(e[2:], uint32(100+i))
		binary.LittleEndian.PutUint16(e[6:], uint16(i))
		binary.LittleEndian.PutUint32(e[16:], math.Float32bits(1))
		e[20] = 1
		b.tail = append(b.tail, e...)
	}
	for _, i := range instances {
		binary.LittleEndian.PutUint16(b.record(2, i)[8:], buffer)
	}
}

func (b *batch) order(instance uint16, id uint64, class, plan uint16, cell float32, volume, deadline uint64) {
	p := b.record(3, instance)
	binary.LittleEndian.PutUint64(p[3:], id)
	binary.LittleEndian.PutUint16(p[11:], class)
	binary.LittleEndian.PutUint32(p[13:], math.Float32bits(cell))
	binary.LittleEndian.PutUint64(p[18:], id%5)
	binary.LittleEndian.PutUint64(p[26:], volume)
	binary.LittleEndian.PutUint32(p[34:], math.Float32bits(2))
	binary.LittleEndian.PutUint64(p[38:], deadline)
	binary.LittleEndian.PutUint32(p[46:], math.Float32bits(float32(id%6+1)))
	binary.LittleEndian.PutUint16(p[50:], plan)
}

// buildInput builds the input for the given instances. The events of an instance do not depend on the others.
func buildInput(instances ...uint16) []byte {
	var in bytes.Buffer
	var b batch
	for _, i := range instances {
		b.enlist(i, testSettings)
	}
	b.directory(0, 3, instances...)
	in.Write(b.bytes(5_000_000))
	rngs := map[uint16]*rand.Rand{}
	for _, i := range instances {
		rngs[i] = rand.New(rand.NewPCG(uint64(i), 9))
	}
	for step := uint64(1); step < 900; step++ {
		b = batch{}
		for _, i := range instances {
			r := rngs[i]
			if n := uint64(r.IntN(4)); n == 0 {
				id := step*1000 + uint64(i)
				b.order(i, id, uint16(r.IntN(2)), uint16(r.IntN(2)), float32(r.IntN(4)-1), uint64(r.IntN(5)),
					5_000_000+step*2000+900_000)
			}
			binary.LittleEndian.PutUint32(b.record(7, i)[3:], uint32(step/3))
			if step == 450 && i == 1 {
				b.record(10, i)
				b.enlist(i, testSettings)
				b.directory(3, 2, i)
			}
		}
		in.Write(b.bytes(5_000_000 + step*2000))
	}
	return in.Bytes()
}

// actionsByInstance splits the replies into the records of each instance.
func actionsByInstance(t *testing.T, out []byte) map[uint16]string {
	t.Helper()
	all := map[uint16]string{}
	for n := 0; len(out) > 0; n++ {
		count, size := binary.LittleEndian.Uint32(out), binary.LittleEndian.Uint32(out[4:])
		for k := range int(count) {
			p := out[8+24*k:][:24]
			i := binary.LittleEndian.Uint16(p[1:])
			all[i] += fmt.Sprintf("%d:%x\n", n, p)
		}
		out = out[8+size:]
	}
	return all
}

// TestCoolDownSettings checks that both settings of the retry advice to clients reach package logic.
func TestCoolDownSettings(t *testing.T) {
	s, err := wire.ParseSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Logic(); !got.CoolDowns || got.MaxCoolDown != 500000 {
		t.Errorf("advice %v, at most %d us", got.CoolDowns, got.MaxCoolDown)
	}
}

func TestSpreadOverProcesses(t *testing.T) {
	together, stderr, err := runAdapter(t, buildInput(0, 1, 2))
	if err != nil {
		t.Fatal(err, stderr)
	}
	again, _, _ := runAdapter(t, buildInput(0, 1, 2))
	if !bytes.Equal(together, again) {
		t.Error("two runs on the same input differ")
	}
	want := actionsByInstance(t, together)
	for _, i := range []uint16{0, 1, 2} {
		alone, stderr, err := runAdapter(t, buildInput(i))
		if err != nil {
			t.Fatal(err, stderr)
		}
		if got := actionsByInstance(t, alone)[i]; got != want[i] || strings.Count(got, "\n") < 100 {
			t.Errorf("instance %d acts differently in a separate process (%d actions)", i, strings.Count(got, "\n"))
		}
	}
}

func TestEnlistAfterDestroyInOneBatch(t *testing.T) {
	var in bytes.Buffer
	var b batch
	b.enlist(4, testSettings)
	b.directory(0, 3, 4)
	in.Write(b.bytes(1000))
	b = batch{}
	b.order(4, 60, 0, 1, 0, 1, 9_000_000) // removed with the instance
	b.record(10, 4)
	b.enlist(4, testSettings)
	b.directory(0, 1, 4) // uses the same buffer number again
	b.order(4, 66, 0, 1, 0, 1, 9_000_000)
	b.order(4, 72, 0, 1, 2, 1, 9_000_000) // its node is only in the old list
	in.Write(b.bytes(2000))
	out, stderr, err := runAdapter(t, in.Bytes())
	if err != nil {
		t.Fatal(err, stderr)
	}
	var sent []uint64
	for _, line := range strings.Fields(actionsByInstance(t, out)[4]) {
		var p []byte
		fmt.Sscanf(line[strings.Index(line, ":")+1:], "%x", &p)
		if p[0] == 67 {
			sent = append(sent, binary.LittleEndian.Uint64(p[3:]))
		}
	}
	if len(sent) != 1 || sent[0] != 66 {
		t.Errorf("sent %v, want 66 alone", sent)
	}
}

func TestBadInput(t *testing.T) {
	enlist := func(settings string) []byte {
		var b batch
		b.enlist(1, settings)
		return b.bytes(1)
	}
	for _, c := range []struct {
		name  string
		input []byte
		want  string // empty: the process exits with status 0
	}{
		{"no input", nil, ""},
		{"empty batches", append(new(batch).bytes(1), new(batch).bytes(2)...), ""},
		{"half a frame", []byte{1, 0, 0}, "batch 0: frame header"},
		{"bad JSON", enlist(`{"balancers":`), "batch 0: record 0: instance 1: settings"},
		{"settings without classes", enlist(`{"balancers":2}`), "Classes is empty"},
		{"a length beyond the input", append(new(batch).bytes(1), 0, 0, 0, 0, 255, 255, 255, 255), "batch 1: frame body"},
	} {
		_, stderr, err := runAdapter(t, c.input)
		if c.want == "" {
			if err != nil {
				t.Errorf("%s: %v, %s", c.name, err, stderr)
			}
			continue
		}
		if err == nil || !strings.Contains(stderr, c.want) || strings.Contains(stderr, "panic") ||
			strings.Count(stderr, "\n") != 1 {
			t.Errorf("%s: %v, stderr %q, want one line with %q", c.name, err, stderr, c.want)
		}
	}
}

func TestUnknownInstanceAndCodeAreIgnored(t *testing.T) {
	var b batch
	b.enlist(1, testSettings)
	b.directory(0, 2, 1)
	b.record(99, 1)
	b.record(7, 42)
	b.order(1, 66, 0, 1, 0, 1, 9_000_000)
	out, stderr, err := runAdapter(t, b.bytes(1000))
	if err != nil || !strings.Contains(actionsByInstance(t, out)[1], ":43") {
		t.Errorf("%v, %s, %x", err, stderr, out)
	}
}
