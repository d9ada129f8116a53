// Package trace records for each attempt the events that the core saw and those that happened on its socket, and
// compares the two. It is meant for tests; tracing is off in production.
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

// linePrefix is the prefix of each trace line, which tells it from log lines in the same file.
const linePrefix = "trace "

// Writer writes trace lines. Put blocks on the disk when the buffer is full, so it is not for production.
type Writer struct {
	mu sync.Mutex
	w  *bufio.Writer
}

// New returns a writer to w.
func New(w io.Writer) *Writer {
	t := &Writer{w: bufio.NewWriterSize(w, 64<<10)}
	return t
}

// Line is one event, seen by the core or on a socket.
type Line struct {
	At      logic.Micros
	Side    string // core, wire
	Event   string // taken, send, end, answer, gone
	Request logic.RequestID
	Number  int
	Node    logic.NodeID
	Outcome string // core: one of OutcomeNames, or details of the event; wire: what was read, and whether all was written
	Took    logic.Micros
	Load    float64 // requests waiting at the node, as reported; negative: no report
}

const lineFormat = linePrefix + "%d %s %s %d %d %d %s %d %g\n"

// WriteLine writes a line to the buffer.
func (t *Writer) WriteLine(l Line) {
	t.mu.Lock()
	fmt.Fprintf(t.w, lineFormat, l.At, l.Side, l.Event, l.Request, l.Number, l.Node, l.Outcome, l.Took, l.Load)
	t.mu.Unlock()
}

// Flush writes the buffered lines.
func (t *Writer) Flush() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.w.Flush()
}

// FlushPeriodically flushes every 100 ms until stop is closed, and once more then.
func (t *Writer) FlushPeriodically(stop <-chan struct{}) {
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

// OutcomeNames are the names of the outcomes in a trace.
var OutcomeNames = [...]string{logic.OK: "ok", logic.Failed: "failed", logic.Full: "full", logic.TimedOut: "timeout",
	logic.ConnectFailed: "connect", logic.Reset: "reset", logic.Cancelled: "cancelled", logic.NotSent: "moot"}

// Report is the result of comparing the two sides of a trace.
type Report struct {
	Attempts int
	Pairs    map[[2]string]int // attempts by the outcome at the core and on the socket
	// Delays: from the end of an attempt on its socket until the core processed it, and from the core's decision to
	// send until the request was sent.
	EndDelays, SendDelays []logic.Micros
	Unmatched             int // ends that only one side recorded
}

type attemptKey struct {
	request logic.RequestID
	number  int
}

// Read reads a trace and compares its two sides.
func Read(r io.Reader) (*Report, error) {
	rep := &Report{Pairs: map[[2]string]int{}}
	core, wire, sent := map[attemptKey]Line{}, map[attemptKey]Line{}, map[attemptKey]Line{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		_, text, ok := strings.Cut(lines.Text(), linePrefix)
		if !ok {
			continue
		}
		var l Line
		if _, err := fmt.Sscanf(linePrefix+text, strings.TrimSuffix(lineFormat, "\n"), &l.At, &l.Side, &l.Event, &l.Request, &l.Number, &l.Node, &l.Outcome, &l.Took, &l.Load); err != nil {
			return nil, fmt.Errorf("trace line %q: %w", text, err)
		}
		k := attemptKey{l.Request, l.Number}
		switch {
		case l.Event == "send" && l.Side == "core":
			rep.Attempts++
			sent[k] = l
		case l.Event == "send":
			rep.SendDelays = append(rep.SendDelays, l.At-sent[k].At)
		case l.Event == "end" && l.Side == "core":
			core[k] = l
		case l.Event == "end":
			wire[k] = l
		}
	}
	for k, c := range core {
		w, ok := wire[k]
		if !ok {
			rep.Unmatched++
			w.Outcome = "nothing"
		} else if c.Outcome != OutcomeNames[logic.TimedOut] {
			rep.EndDelays = append(rep.EndDelays, c.At-w.At)
		}
		rep.Pairs[[2]string{c.Outcome, w.Outcome}]++
	}
	for k := range wire {
		if _, ok := core[k]; !ok {
			rep.Unmatched++
		}
	}
	return rep, lines.Err()
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%d attempts; %d ends that only one side has\n", r.Attempts, r.Unmatched)
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
	}{{"sends left after they were decided", r.SendDelays}, {"ends were dealt with after they were read", r.EndDelays}} {
		slices.Sort(x.v)
		if n := len(x.v); n > 0 {
			fmt.Fprintf(w, "%s, us: median %d, 99th percentile %d, most %d\n", x.name, x.v[n/2], x.v[n*99/100], x.v[n-1])
		}
	}
}
