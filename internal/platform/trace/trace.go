// Package trace writes down, side by side, what the core believes of each attempt and what passed on its socket, and
// holds the one against the other. It is off in service.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"appleplank/logic"
)

// mark begins each line, so that logs may stand between.
const mark = "trace "

// Writer writes lines; what does not fit into its buffer waits for the disk, so it is for trials only.
type Writer struct {
	mu sync.Mutex
	w  *bufio.Writer
}

// New writes to w.
func New(w io.Writer) *Writer {
	t := &Writer{w: bufio.NewWriterSize(w, 64<<10)}
	return t
}

// Line is one thing that was seen: by the core, or on a socket.
type Line struct {
	At      logic.Micros
	Side    string // core, wire
	What    string // taken, send, end, answer, gone
	Request logic.RequestID
	Number  int
	Node    logic.NodeID
	Outcome string // the core's word; of a socket: what was read, and whether all was written
	Took    logic.Micros
	Load    float64 // requests that wait at the node, as reported; below zero: none
}

const form = mark + "%d %s %s %d %d %d %s %d %g\n"

// Put writes a line.
func (t *Writer) Put(l Line) {
	t.mu.Lock()
	fmt.Fprintf(t.w, form, l.At, l.Side, l.What, l.Request, l.Number, l.Node, l.Outcome, l.Took, l.Load)
	t.mu.Unlock()
}

// Flush writes out what is buffered.
func (t *Writer) Flush() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.w.Flush()
}

// Keep flushes now and then until stop is closed.
func (t *Writer) Keep(stop <-chan struct{}) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.Flush()
		case <-stop:
			t.Flush()
			return
		}
	}
}

// Words are the outcomes as they stand in a trace.
var Words = [...]string{logic.OK: "ok", logic.Failed: "failed", logic.Full: "full", logic.TimedOut: "timeout",
	logic.ConnectFailed: "connect", logic.Reset: "reset", logic.Cancelled: "cancelled", logic.Moot: "moot"}

// Report is what came of holding one side against the other.
type Report struct {
	Attempts int
	Pairs    map[[2]string]int // belief, socket
	// How much later the core dealt with an end than its socket saw it, and a send left than it was decided.
	EndLate, SendLate []logic.Micros
	Alone             int // ends that only one side has
}

type key struct {
	request logic.RequestID
	number  int
}

// Read compares the lines of a trace.
func Read(r io.Reader) (*Report, error) {
	rep := &Report{Pairs: map[[2]string]int{}}
	core, wire, sent := map[key]Line{}, map[key]Line{}, map[key]Line{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, text, ok := strings.Cut(lines.Text(), mark)
		if !ok {
			continue
		}
		var l Line
		if _, err := fmt.Sscanf(mark+text, strings.TrimSuffix(form, "\n"), &l.At, &l.Side, &l.What, &l.Request, &l.Number, &l.Node, &l.Outcome, &l.Took, &l.Load); err != nil {
			return nil, fmt.Errorf("%q: %w", text, err)
		}
		k := key{l.Request, l.Number}
		switch {
		case l.What == "send" && l.Side == "core":
			rep.Attempts++
			sent[k] = l
		case l.What == "send":
			rep.SendLate = append(rep.SendLate, l.At-sent[k].At)
		case l.What == "end" && l.Side == "core":
			core[k] = l
		case l.What == "end":
			wire[k] = l
		}
	}
	for k, c := range core {
		w, ok := wire[k]
		if !ok {
			rep.Alone++
			w.Outcome = "nothing"
		} else if c.Outcome != Words[logic.TimedOut] {
			rep.EndLate = append(rep.EndLate, c.At-w.At)
		}
		rep.Pairs[[2]string{c.Outcome, w.Outcome}]++
	}
	for k := range wire {
		if _, ok := core[k]; !ok {
			rep.Alone++
		}
	}
	return rep, lines.Err()
}

// Write prints the report.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d attempts; %d ends that only one side has\n", r.Attempts, r.Alone)
	fmt.Fprintf(w, "%-10s  %-22s  %s\n", "believed", "on the socket", "attempts")
	keys := make([][2]string, 0, len(r.Pairs))
	for k := range r.Pairs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return r.Pairs[b] - r.Pairs[a] })
	for _, k := range keys {
		fmt.Fprintf(w, "%-10s  %-22s  %d\n", k[0], k[1], r.Pairs[k])
	}
	for _, x := range []struct {
		name string
		v    []logic.Micros
	}{{"sends left after they were decided", r.SendLate}, {"ends were dealt with after they were read", r.EndLate}} {
		slices.Sort(x.v)
		if n := len(x.v); n > 0 {
			fmt.Fprintf(w, "%s, us: median %d, 99th percentile %d, most %d\n", x.name, x.v[n/2], x.v[n*99/100], x.v[n-1])
		}
	}
}
