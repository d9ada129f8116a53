package target

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"

	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/internal/sock"
	"appleplank/logic"
	"appleplank/spares"
)

type connState uint8

const (
	dialling connState = iota
	busy               // its attempt is in flight
	reported           // the outcome was reported to the sink, Done was not called yet
	idle
	closed
)

// connection is one connection to a target.
type connection struct {
	back       *Back
	spare      spares.Conn
	target     core.Endpoint
	cancelDial context.CancelFunc

	// The fields below are guarded by the back's lock.
	state           connState
	attempt         *core.Attempt
	written         bool // the attempt was written completely
	dropped         bool
	recalled        bool // given up before it was written completely
	conn            *sock.Conn
	encoded         encodedAttempt
	copied          int // bytes reserved for encoded; 0: it uses the back's buffer
	answer          http1.Message
	sentBytes       int
	closeAfterUse   bool // to be closed when Done is called
	unexpectedInput bool // data arrived while no attempt was in flight
	reserved        int  // bytes reserved for a long answer
	// flushed is closed once the part of the attempt that the socket did not take at once was written or has failed;
	// nil: there is no such part.
	flushed chan struct{}

	answeredAt logic.Micros // time at which its last answer was read
}

// prepare assigns an attempt to the connection and encodes its request.
func (c *connection) prepare(a *core.Attempt, r *core.Request) {
	c.attempt, c.written, c.dropped, c.recalled, c.closeAfterUse, c.sentBytes, c.flushed = a, false, false, false, false, 0, nil
	c.encoded = encodeAttempt(c.back.encodeBuffer[:0], c.target.Address, r)
	c.back.encodeBuffer = c.encoded.bytes[:0]
	a.Conn = c
}

// keepCopy makes the encoded attempt independent of the back's buffer. It reports false if there is no memory for that. The
// caller holds the lock.
func (c *connection) keepCopy() bool {
	size := len(c.encoded.bytes) + maxTimeoutDigits
	if !c.back.copies.Reserve(size) {
		return false
	}
	c.copied = size
	c.encoded.bytes = append(make([]byte, 0, size), c.encoded.bytes...)
	return true
}

// dropCopy drops the encoded attempt and returns its memory. The caller holds the lock.
func (c *connection) dropCopy() {
	c.back.copies.Return(c.copied)
	c.copied, c.encoded = 0, encodedAttempt{}
}

// send writes the part of the attempt that the socket takes at once, and starts a goroutine for the rest. It reports
// false if the connection is broken and nothing was written. A later failure is noticed by the reader.
func (c *connection) send(now logic.Micros) bool {
	c.encoded.insertTimeout(c.attempt.Deadline - now)
	if c.copied == 0 {
		c.back.encodeBuffer = c.encoded.bytes[:0]
	}
	n, err := c.conn.TryWrite(c.encoded.bytes)
	c.sentBytes, c.written = n, n == len(c.encoded.bytes)
	switch {
	case c.written || err != nil:
		c.dropCopy()
	case c.copied == 0 && !c.keepCopy():
		c.dropCopy()
		c.recalled = true // it says nothing about the target
		c.conn.Shutdown()
	default:
		c.flush(c.encoded.bytes[n:])
	}
	return err == nil || n > 0
}

// flush starts a goroutine that writes the part of the attempt that the socket did not take at once. The caller holds the
// lock.
func (c *connection) flush(rest []byte) {
	flushed := make(chan struct{})
	c.flushed = flushed
	c.back.goroutines.Go(func() {
		_, err := c.conn.Write(rest)
		c.back.mu.Lock()
		c.written = err == nil
		c.dropCopy()
		c.back.mu.Unlock()
		close(flushed)
	})
}

// forgetExchange frees the memory of the last attempt and its answer, so that an idle connection keeps none. The caller
// holds the lock; the connection's goroutine waits for the next answer.
func (c *connection) forgetExchange() {
	c.answer.Reset()
}

// run connects, sends the first attempt and reads answers until the connection ends.
func (c *connection) run(ctx context.Context) {
	b := c.back
	defer c.cancelDial()
	raw, err := b.settings.Dial(ctx, "tcp", c.target.Address)
	var conn *sock.Conn
	if err == nil {
		conn, err = sock.New(raw.(*net.TCPConn))
	}
	b.mu.Lock()
	now := b.sink.Now()
	if err == nil {
		// The dial may have taken long. The attempt is only sent if its target is unchanged and its time is not up.
		if a := c.attempt; b.targets[c.target.Node] != c.target || a.Deadline <= now || a.SendDeadline > 0 && a.SendDeadline <= now {
			c.recalled = true
		}
		if c.dropped || c.recalled || b.closed {
			err = context.Canceled
			raw.Close()
		}
	}
	if err != nil {
		b.tally.DialFailed++
		c.fail(logic.ConnectFailed)
		return
	}
	defer conn.Close()
	// Data of an attempt must not reach the target after the attempt was given up or this process was killed.
	conn.SetDiscardUnsent(true)
	conn.GuardReads(&b.mu, func() { c.unexpectedInput = c.unexpectedInput || c.state != busy })
	c.conn, c.state = conn, busy
	c.send(now)
	b.trace("send", c, "new")
	b.mu.Unlock()
	r := http1.NewReader(conn)
	r.Reserve = c.reserveAnswer
	for c.readAnswer(r, &c.answer) {
	}
}

// settleWrite ends the writing of an attempt whose answer or failure was read, so that it is known whether the attempt
// was written completely: only then it may have been executed. If writing is still going on, it shuts the connection
// down and reports aborted.
func (c *connection) settleWrite() (aborted bool) {
	c.back.mu.Lock()
	flushed := c.flushed
	c.back.mu.Unlock()
	if flushed == nil {
		return false
	}
	select {
	case <-flushed:
		return false
	default:
		c.conn.Shutdown()
		<-flushed
		return true
	}
}

// reserveAnswer reserves memory for a buffer of the given size, in place of the present one, and reports whether there is
// enough; releaseAnswer frees it.
func (c *connection) reserveAnswer(size, _ int) bool {
	c.back.mu.Lock()
	defer c.back.mu.Unlock()
	if c.state != busy || !c.back.spares.ReserveBytes(size-c.reserved) {
		return false
	}
	c.reserved = size
	return true
}

func (c *connection) releaseAnswer() {
	c.back.spares.FreeBytes(c.reserved)
	c.reserved = 0
}

// readAnswer waits for the next answer on the connection and reports its outcome. It reports false when the connection
// has ended.
func (c *connection) readAnswer(r *http1.Reader, m *http1.Message) bool {
	b := c.back
	err := r.Wait()
	b.mu.Lock()
	switch {
	case c.state == closed:
		b.mu.Unlock()
		return false
	case c.state != busy: // closed, or unexpected data, while no attempt is in flight
		b.traceIdle(c, err)
		if err == nil {
			b.tally.Surplus++
		}
		if c.state == reported {
			c.closeAfterUse = true // its answer is still in use
			b.mu.Unlock()
			return false
		}
		b.close(c)
		b.mu.Unlock()
		return false
	}
	b.mu.Unlock()
	if err == nil {
		err = r.ReadAnswer(m)
	}
	aborted := c.settleWrite()
	b.mu.Lock()
	if err == nil && m.UntilClose && c.dropped {
		err = io.ErrUnexpectedEOF // the end of the stream was caused by this side, not by the target
	}
	if protocolErr, malformed := err.(*http1.Error); malformed {
		b.tally.Spoilt++
		b.trace("end", c, "spoilt:"+strings.ReplaceAll(protocolErr.Reason, " ", "-"))
		c.fail(logic.Failed)
		return false
	} else if err != nil {
		c.fail(logic.Reset)
		return false
	}
	a, written := c.attempt, c.written
	b.tally.Answers++
	c.closeAfterUse = m.Close || r.Buffered() > 0 || !written || aborted
	if r.Buffered() > 0 {
		b.tally.Surplus++
	}
	c.state, c.answeredAt = reported, b.sink.Now()
	b.spares.RecordOutcome(c.answeredAt, &c.spare, false)
	if b.settings.Trace != nil {
		b.trace("end", c, strconv.Itoa(m.Status)+c.progress())
	}
	b.mu.Unlock()
	b.sink.Ended(a, parseAnswer(m, written, b.settings.LoadFields))
	return true
}

// fail closes a connection whose attempt is in flight, reports the outcome and releases the lock, which the caller
// holds. An attempt that was not written completely was never executed.
func (c *connection) fail(outcome logic.Outcome) {
	b, a := c.back, c.attempt
	if outcome != logic.ConnectFailed {
		b.tally.Broken++
		if !c.written {
			outcome = logic.ConnectFailed
		}
	}
	if c.recalled && !c.written {
		outcome = logic.NotSent // the outcome says nothing about the target
	}
	if outcome != logic.Failed && !c.dropped {
		b.spares.RecordOutcome(b.sink.Now(), &c.spare, true)
	}
	if outcome != logic.Failed {
		b.trace("end", c, "broke"+c.progress())
	}
	c.attempt = nil
	if c.flushed == nil {
		c.dropCopy() // otherwise its writer has done so
	}
	b.close(c)
	b.mu.Unlock()
	if c.conn != nil {
		c.conn.Close() // discards unsent data before the outcome is reported
	}
	b.sink.Ended(a, core.Result{Outcome: outcome, Load: logic.NoLoad})
}

// progress returns the trace suffix for how much of the attempt was written.
func (c *connection) progress() string {
	switch {
	case c.written:
		return "/whole"
	case c.sentBytes > 0:
		return "/part"
	}
	return "/none"
}
