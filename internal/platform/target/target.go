// Package target carries attempts to targets, one at a time on a connection, and tells how each ended by what was
// written and read. Which connection is used, and which is closed when, is decided by package spares.
package target

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/internal/platform/trace"
	"appleplank/internal/sock"
	"appleplank/logic"
	"appleplank/spares"
)

// Sink is who hears how attempts ended.
type Sink interface {
	Now() logic.Micros
	Ended(a *core.Attempt, res core.Result)
}

// Settings is what the back is told.
type Settings struct {
	Most    int           // connections
	Room    int           // bytes for answers of more than a few KiB
	Idle    logic.Micros  // after which targets close them
	Connect time.Duration // a connection that is not up by then is none
	Fields  Fields        // of load reports
	Trace   *trace.Writer // nil: off
	// Dial connects by TCP; nil: as the system does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Back implements [core.Back].
type Back struct {
	set  Settings
	sink Sink

	mu     sync.Mutex // never held while the sink is told
	spares *spares.Set
	places map[logic.NodeID]core.Place
	lines  map[*line]struct{}
	swept  *time.Timer
	closed bool
	wait   sync.WaitGroup
	tally  Tally
}

// Tally counts what came over the sockets.
type Tally struct {
	Dialled, DialFailed, Answers, Spoilt, Surplus, Broken uint64
	Spares                                                spares.Tally
}

// New makes a back.
func New(set Settings, sink Sink) *Back {
	if set.Dial == nil {
		set.Dial = new(net.Dialer).DialContext
	}
	b := &Back{set: set, sink: sink, spares: spares.New(set.Most, set.Room, set.Idle),
		places: map[logic.NodeID]core.Place{}, lines: map[*line]struct{}{}}
	b.swept = time.AfterFunc(sweep, b.sweep)
	return b
}

// sweep is how often idle connections are looked through.
const sweep = 250 * time.Millisecond

type state uint8

const (
	dialling state = iota
	busy           // its attempt is out
	told           // the attempt's end was brought, and is not used yet
	idle
	over
)

// line is one connection.
type line struct {
	back   *Back
	spare  spares.Line
	place  core.Place
	cancel context.CancelFunc // of a dial

	// Under the back's lock.
	state   state
	attempt *core.Attempt
	written bool // the attempt's last byte has left
	dropped bool
	recall  bool // dropped before it had left whole
	conn    *sock.Conn
	out     []byte // what is written of the attempt
	gap     int    // where the time that is left goes into it
	sent    int
	spent   bool // to be closed once its end is used
	stray   bool // something has come while nothing was out
	room    int  // held for a long answer
	// rested is closed when the rest of the attempt, which the socket did not take at once, was written or cannot be;
	// nil: there was none.
	rested chan struct{}

	answered logic.Micros // when its last answer was read
}

// Start implements [core.Back].
func (b *Back) Start(now logic.Micros, a *core.Attempt, r *core.Request) {
	b.mu.Lock()
	for {
		s := b.spares.Pick(now, a.Node)
		if s == nil {
			break
		}
		l := s.Owner.(*line)
		// What the target has sent unasked, or that it has closed, shows here at the latest, also where the reader
		// has it in hand already: taken for the answer to come, it would be served to the wrong client. Nothing was
		// written yet, so another connection may be taken.
		if l.stray || l.conn.Quiet() != nil {
			b.tally.Surplus++
			b.end(l)
			continue
		}
		l.begin(a, r)
		l.state = busy
		if !l.write(now) {
			l.attempt = nil
			b.end(l)
			continue
		}
		if b.set.Trace != nil {
			b.trace("send", l, "reused:"+strconv.FormatInt(int64(now-l.answered), 10))
		}
		b.mu.Unlock()
		return
	}
	place, room := b.places[a.Node], false
	if place.Takes && !b.closed {
		var out *spares.Line
		if out, room = b.spares.Dial(); out != nil {
			b.end(out.Owner.(*line))
		}
	}
	if !room {
		b.mu.Unlock()
		b.sink.Ended(a, core.Result{Outcome: logic.Moot, Load: logic.NoLoad}) // nothing was sent
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.set.Connect)
	l := &line{back: b, place: place, cancel: cancel}
	l.spare.Owner = l
	l.begin(a, r)
	l.state = dialling
	b.lines[l] = struct{}{}
	b.tally.Dialled++
	b.wait.Go(func() { l.run(ctx) })
	b.mu.Unlock()
}

// begin takes an attempt and writes down its request.
func (l *line) begin(a *core.Attempt, r *core.Request) {
	l.attempt, l.written, l.dropped, l.recall, l.spent, l.sent, l.rested = a, false, false, false, false, 0, nil
	l.out, l.gap = appendRequest(l.out[:0], l.place.Address, r)
	a.Conn = l
}

// write writes what the socket takes of the attempt at once, and leaves the rest to a goroutine; false: it takes
// nothing any more. One that breaks later is seen by its reader.
func (l *line) write(now logic.Micros) bool {
	l.out = stamp(l.out, l.gap, l.attempt.StopAt-now)
	n, err := l.conn.TryWrite(l.out)
	l.sent, l.written = n, n == len(l.out)
	if !l.written && err == nil {
		rested := make(chan struct{})
		l.rested = rested
		l.back.wait.Go(func() {
			_, err := l.conn.Write(l.out[n:])
			l.back.mu.Lock()
			l.written = err == nil
			l.back.mu.Unlock()
			close(rested)
		})
	}
	return err == nil || n > 0
}

// Drop implements [core.Back].
func (b *Back) Drop(a *core.Attempt) { b.give(a, false) }

// Recall implements [core.Back].
func (b *Back) Recall(a *core.Attempt) { b.give(a, true) }

// give gives an attempt up; part: only where it has not left whole.
func (b *Back) give(a *core.Attempt, part bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := a.Conn.(*line)
	if !ok || l.attempt != a || l.state != busy && l.state != dialling || part && l.written {
		return
	}
	l.dropped, l.recall = true, l.recall || part
	if l.conn != nil {
		l.conn.Shut() // its reader brings the end
	}
	l.cancel()
}

// Done implements [core.Back].
func (b *Back) Done(now logic.Micros, a *core.Attempt) {
	b.mu.Lock()
	if l, ok := a.Conn.(*line); ok && l.attempt == a {
		l.attempt = nil
		l.free()
		if l.state == told {
			if l.spent || b.closed || !b.stands(l) {
				b.end(l)
			} else {
				l.state = idle
				b.spares.Idle(now, l.place.Node, &l.spare)
			}
		}
	}
	b.mu.Unlock()
}

// Targets implements [core.Back].
func (b *Back) Targets(_ logic.Micros, list []core.Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.places)
	for _, p := range list {
		b.places[p.Node] = p
	}
	for l := range b.lines {
		if l.state == idle && !b.stands(l) {
			b.end(l)
		}
	}
}

// stands tells whether a connection still leads where it should. Under the lock.
func (b *Back) stands(l *line) bool { return b.places[l.place.Node].Address == l.place.Address }

// end closes a connection that has no attempt out. Under the lock.
func (b *Back) end(l *line) {
	if l.state == over {
		return
	}
	l.free()
	if _, ok := b.lines[l]; ok {
		delete(b.lines, l)
		b.spares.Gone(&l.spare)
	}
	if l.conn != nil {
		l.conn.DropUnsent(l.state != idle) // an idle one has nothing unsent, and ends in order
		l.conn.Shut()                      // its reader closes it
	}
	l.state = over
	l.cancel()
}

func (b *Back) sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	for s := b.spares.Overdue(b.sink.Now()); s != nil; s = b.spares.Overdue(b.sink.Now()) {
		b.end(s.Owner.(*line))
	}
	b.swept.Reset(sweep)
}

// Close ends all connections and waits for their goroutines.
func (b *Back) Close() {
	b.mu.Lock()
	b.closed = true
	b.swept.Stop()
	for l := range b.lines {
		if l.state == idle || l.state == told {
			b.end(l)
		} else if l.dropped = true; l.conn != nil {
			l.conn.Shut()
		}
		l.cancel()
	}
	b.mu.Unlock()
	b.wait.Wait()
}

// Open tells how many connections there are, and how many of them are idle.
func (b *Back) Open() (open, idle int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spares.Open()
}

// Tally tells the counts so far.
func (b *Back) Tally() Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tally
	t.Spares = b.spares.Tally
	return t
}

// run connects, sends the first attempt, and reads answers as long as the connection lasts.
func (l *line) run(ctx context.Context) {
	b := l.back
	defer l.cancel()
	raw, err := b.set.Dial(ctx, "tcp", l.place.Address)
	var conn *sock.Conn
	if err == nil {
		conn, err = sock.New(raw.(*net.TCPConn))
	}
	b.mu.Lock()
	now := b.sink.Now()
	if err == nil {
		// It may have come up late: what the attempt was sent for need not hold any more.
		if a := l.attempt; b.places[l.place.Node] != l.place || a.StopAt <= now || a.By > 0 && a.By <= now {
			l.recall = true
		}
		if l.dropped || l.recall || b.closed {
			err = context.Canceled
			raw.Close()
		}
	}
	if err != nil {
		b.tally.DialFailed++
		l.broke(logic.ConnectFailed)
		return
	}
	defer conn.Close()
	// An attempt that is given up, or whose process is killed, must not arrive after that.
	conn.DropUnsent(true)
	conn.Guard(&b.mu, func() { l.stray = l.stray || l.state != busy })
	l.conn, l.state = conn, busy
	l.write(now)
	b.trace("send", l, "new")
	b.mu.Unlock()
	r := http1.NewReader(conn)
	r.Grant = l.hold
	var m http1.Message
	for l.answer(r, &m) {
	}
}

// rests waits until it is known how much of the attempt was written: whether it may have run hangs on its last byte.
// What is not written by the time that its end is here is given up; cut: with the connection.
func (l *line) rests() (cut bool) {
	l.back.mu.Lock()
	rested := l.rested
	l.back.mu.Unlock()
	if rested == nil {
		return false
	}
	select {
	case <-rested:
		return false
	default:
		l.conn.Shut()
		<-rested
		return true
	}
}

// hold takes room for a long answer, free gives it back.
func (l *line) hold(n int) bool {
	l.back.mu.Lock()
	defer l.back.mu.Unlock()
	if l.state != busy || !l.back.spares.Hold(n) {
		return false
	}
	l.room = n
	return true
}

func (l *line) free() {
	l.back.spares.Free(l.room)
	l.room = 0
}

// answer waits for what comes next on the connection; false: it is over.
func (l *line) answer(r *http1.Reader, m *http1.Message) bool {
	b := l.back
	err := r.Wait()
	b.mu.Lock()
	switch {
	case l.state == over:
		b.mu.Unlock()
		return false
	case l.state != busy: // closed while idle, or bytes that nobody asked for
		b.traceIdle(l, err)
		if err == nil {
			b.tally.Surplus++
		}
		if l.state == told {
			l.spent = true // its answer is still used
			b.mu.Unlock()
			return false
		}
		b.end(l)
		b.mu.Unlock()
		return false
	}
	b.mu.Unlock()
	if err == nil {
		err = r.Answer(m)
	}
	cut := l.rests()
	b.mu.Lock()
	if err == nil && m.ToEnd && l.dropped {
		err = io.ErrUnexpectedEOF // it was cut here, not ended there
	}
	if odd, spoilt := err.(*http1.Error); spoilt {
		b.tally.Spoilt++
		b.trace("end", l, "spoilt:"+strings.ReplaceAll(odd.What, " ", "-"))
		l.broke(logic.Failed)
		return false
	} else if err != nil {
		l.broke(logic.Reset)
		return false
	}
	a, written := l.attempt, l.written
	b.tally.Answers++
	l.spent = m.Close || r.Buffered() > 0 || !written || cut
	if r.Buffered() > 0 {
		b.tally.Surplus++
	}
	l.state, l.answered = told, b.sink.Now()
	b.spares.Ended(l.answered, &l.spare, false)
	if b.set.Trace != nil {
		b.trace("end", l, strconv.Itoa(m.Status)+l.progress())
	}
	b.mu.Unlock()
	b.sink.Ended(a, result(m, written, b.set.Fields))
	return true
}

// broke ends a connection whose attempt is out, and lets go of the lock. What was not written to its end never ran.
func (l *line) broke(how logic.Outcome) {
	b, a := l.back, l.attempt
	if how != logic.ConnectFailed {
		b.tally.Broken++
		if !l.written {
			how = logic.ConnectFailed
		}
	}
	if l.recall && !l.written {
		how = logic.Moot // it says nothing of the target
	}
	if how != logic.Failed && !l.dropped {
		b.spares.Ended(b.sink.Now(), &l.spare, true)
	}
	if how != logic.Failed {
		b.trace("end", l, "broke"+l.progress())
	}
	l.attempt = nil
	b.end(l)
	b.mu.Unlock()
	if l.conn != nil {
		l.conn.Close() // what is unsent is dropped before the end is told
	}
	b.sink.Ended(a, core.Result{Outcome: how, Load: logic.NoLoad})
}

// progress tells how much of the attempt was written.
func (l *line) progress() string {
	switch {
	case l.written:
		return "/whole"
	case l.sent > 0:
		return "/part"
	}
	return "/none"
}

// trace writes down what passed on a line's socket. Under the lock.
func (b *Back) trace(what string, l *line, how string) {
	if b.set.Trace == nil {
		return
	}
	if l.dropped {
		how += "/dropped"
	}
	now, a := b.sink.Now(), l.attempt
	b.set.Trace.Put(trace.Line{At: now, Side: "wire", What: what, Request: a.Request, Number: a.Number, Node: a.Node, Outcome: how, Took: now - a.Sent, Load: -1})
}

// traceIdle writes down what came on a line with nothing out, and how long after its last answer.
func (b *Back) traceIdle(l *line, err error) {
	if b.set.Trace == nil {
		return
	}
	how := "unasked"
	if err != nil {
		how = "closed"
	}
	now := b.sink.Now()
	b.set.Trace.Put(trace.Line{At: now, Side: "wire", What: "idle", Node: l.place.Node, Outcome: how, Took: now - l.answered, Load: -1})
}
