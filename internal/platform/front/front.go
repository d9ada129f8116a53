// Package front serves the platform's HTTP clients: it reads their requests, passes them to the core and writes the
// answers. Package seats decides which connections are kept, closed or rejected.
package front

import (
	"errors"
	"hash/maphash"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/internal/sock"
	"appleplank/leave"
	"appleplank/logic"
	"appleplank/seats"

	"go.uber.org/zap"
)

// RequestHandler processes the requests that a [Front] has read.
type RequestHandler interface {
	Now() logic.Micros
	Take(r *core.Request)
	Gone(r *core.Request)
	Room(requests int)
	End(by logic.Micros)
}

// Front serves the clients of one listener.
type Front struct {
	listener net.Listener
	settings *RequestSettings
	handler  RequestHandler
	log      *zap.Logger
	ready    atomic.Bool
	hashSeed maphash.Seed

	mu         sync.Mutex // never held during a call of the handler
	seats      *seats.Table
	shutdown   *leave.Shutdown
	openIDs    map[uint64]struct{} // hashes of the ids of requests that the handler has not answered
	tally      Tally
	sweepTimer *time.Timer
	closing    bool // no further requests are accepted
	closed     bool // no further connections are accepted
	capacity   int  // number of requests last reported to the handler
	goroutines sync.WaitGroup
}

// Tally counts the requests that were taken, those that were rejected and the clients that left before their answer.
type Tally struct {
	Taken, Rejected, Left uint64
	Seats                 seats.Tally
}

// sendBufferSize limits the unread answers that the kernel buffers per client, in bytes. Without it, the kernel grows
// the buffer of a client that does not read to megabytes, which count as the initiator's memory.
const sendBufferSize = 16 << 10

// sweepInterval is the interval at which connections are checked for timeouts.
const sweepInterval = 100 * time.Millisecond

// New returns a front for the clients of listener. [Front.Serve] accepts connections.
func New(listener net.Listener, settings *RequestSettings, handler RequestHandler, table *seats.Table, shutdown *leave.Shutdown, log *zap.Logger) *Front {
	f := &Front{listener: listener, settings: settings, handler: handler, seats: table, shutdown: shutdown, log: log, openIDs: map[uint64]struct{}{}, hashSeed: maphash.MakeSeed()}
	f.sweepTimer = time.AfterFunc(sweepInterval, f.sweep)
	f.reportCapacity()
	return f
}

// SetReady makes the health check succeed.
func (f *Front) SetReady() { f.ready.Store(true) }

// Serve accepts connections until the listener is closed.
func (f *Front) Serve() error {
	for {
		raw, err := f.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// Out of file descriptors, or the connection broke before it was accepted.
			f.log.Warn("accept failed", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		raw.(*net.TCPConn).SetWriteBuffer(sendBufferSize)
		conn, err := sock.New(raw.(*net.TCPConn))
		if err != nil {
			raw.Close()
			continue
		}
		c := &client{front: f, conn: conn}
		// Bytes are read from the socket only under the lock, so that code that closes a connection knows whether any
		// were read.
		conn.GuardReads(&f.mu, c.noteRead)
		now := f.handler.Now()
		f.mu.Lock()
		seat, evicted := f.seats.Accept(now, c)
		if evicted != nil {
			evicted.Owner.(*client).conn.Shutdown()
		}
		if c.seat = seat; seat == nil || f.closed {
			if seat != nil {
				f.seats.Release(seat)
			}
			f.mu.Unlock()
			conn.Close()
			continue
		}
		f.goroutines.Go(c.serve)
		f.mu.Unlock()
	}
}

// Drain begins the shutdown. The front goes on serving until [Front.Drained] reports true.
func (f *Front) Drain() {
	f.mu.Lock()
	f.shutdown.Start(f.handler.Now())
	f.seats.BeginShutdown()
	connections, deadline := f.seats.Taken(), f.shutdown.Deadline()
	f.mu.Unlock()
	f.handler.End(deadline)
	f.reportCapacity()
	f.log.Info("told to end", zap.Int("connections", connections))
}

// Drained reports whether the front may be closed after Drain. Once it has reported true, no further requests are
// accepted.
func (f *Front) Drained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closing = f.closing || f.shutdown.Done(f.handler.Now(), f.seats.Taken(), f.seats.Busy())
	return f.closing
}

// Close closes the listener and all connections; all requests must have been answered. Before it closes them it waits
// for the time that package leave sets, so that clients can read their last answers, and a client whose request crossed
// the close of its connection is refused with a 503 when it sends the request again. Closing a connection with unread
// input at once would reset it, which would lose both.
func (f *Front) Close() {
	now := f.handler.Now()
	f.mu.Lock()
	f.closing = true
	f.sweepTimer.Stop()
	for _, s := range f.seats.All() {
		switch c := s.Owner.(*client); s.State() {
		case seats.ReadingFirst, seats.ReadingNext:
			c.conn.TryWrite(appendError(nil, &rejectError{503, "ending"}))
			c.linger(now)
		case seats.Idle:
			if !c.conn.HasUnread() {
				c.linger(now)
			}
		}
	}
	remaining := f.seats.Taken()
	f.mu.Unlock()
	if remaining > 0 {
		time.Sleep(time.Duration(leave.LingerTime) * time.Microsecond)
	}
	f.listener.Close()
	f.mu.Lock()
	f.closed = true
	for _, s := range f.seats.All() {
		f.seats.Release(s)
		s.Owner.(*client).conn.Shutdown()
	}
	f.mu.Unlock()
	f.goroutines.Wait()
}

func (f *Front) sweep() {
	f.mu.Lock()
	if f.closing {
		f.mu.Unlock()
		return
	}
	f.closeOverdue(f.handler.Now())
	f.sweepTimer.Reset(sweepInterval)
	f.mu.Unlock()
	f.reportCapacity()
}

// closeOverdue ends the connections whose time is up. The caller holds the lock.
func (f *Front) closeOverdue(now logic.Micros) {
	for s := f.seats.Overdue(now); s != nil; s = f.seats.Overdue(now) {
		switch c := s.Owner.(*client); s.State() {
		case seats.ReadingFirst, seats.ReadingNext:
			c.conn.TryWrite(appendError(nil, &rejectError{408, "the request does not end"}))
			c.linger(now)
		case seats.Idle:
			if c.conn.HasUnread() {
				f.seats.SetState(now, s, seats.ReadingNext) // a request has just arrived
			} else {
				c.linger(now)
			}
		default:
			f.seats.Release(s)
			c.conn.Shutdown()
		}
	}
}

// reportCapacity tells the handler how many requests it may hold, if that has changed.
func (f *Front) reportCapacity() {
	f.mu.Lock()
	capacity := f.seats.MaxHeld(f.handler.Now())
	changed := capacity != f.capacity
	f.capacity = capacity
	f.mu.Unlock()
	if changed {
		f.handler.Room(capacity)
	}
}

// client is one connection. Only its own goroutine closes it. Code that holds the lock calls [sock.Conn.Shutdown]
// instead, as Close waits for the reader, which may be waiting for the lock.
type client struct {
	front   *Front
	conn    *sock.Conn
	seat    *seats.Seat
	request core.Request

	// The fields below are guarded by the front's lock.
	held             bool // the handler has the request
	idHash           uint64
	targetHash       uint64
	closeAfterAnswer bool // the client asked for it, or sent data after its request
	disconnected     bool // the client has closed the connection, or it broke
	outBuf           []byte
	flushed          chan struct{} // closed once the pending rest of an answer was written; nil: none
}

// serve reads requests one at a time until the connection ends.
func (c *client) serve() {
	defer c.close()
	f := c.front
	r := http1.NewReader(c.conn)
	r.ReserveBody = c.reserveBody
	var m http1.Message
	for c.awaitRequest(r) {
		err := r.ReadRequest(&m)
		now := f.handler.Now()
		if err != nil {
			var protocolErr *http1.Error
			if errors.As(err, &protocolErr) {
				c.reject(now, &rejectError{protocolErr.Status, protocolErr.Reason})
			}
			return
		}
		if string(m.Method) == "GET" && string(m.Target) == f.settings.HealthPath {
			if !c.answerHealth(now) {
				return
			}
			continue
		}
		if rejection := f.settings.parseRequest(&m, &c.request); rejection != nil {
			c.reject(now, rejection)
			return
		}
		if r.Buffered() > 0 {
			c.reject(now, &rejectError{400, "more than one request at a time"})
			return
		}
		rejection, disconnected := c.register(now, m.Close)
		if disconnected {
			return
		}
		if rejection != nil {
			c.reject(now, rejection)
			return
		}
		f.handler.Take(&c.request)
		if !c.awaitAnswer(r) {
			return
		}
	}
}

// noteRead records that data or the end of the stream was read from the client. The caller holds the lock.
func (c *client) noteRead() {
	switch c.seat.State() {
	case seats.Silent:
		c.front.seats.SetState(c.front.handler.Now(), c.seat, seats.ReadingFirst)
	case seats.Idle:
		c.front.seats.SetState(c.front.handler.Now(), c.seat, seats.ReadingNext)
	}
}

// awaitRequest waits for the first byte of a request. It reports false when the connection has ended.
func (c *client) awaitRequest(r *http1.Reader) bool {
	if err := r.Wait(); err != nil {
		return false
	}
	f := c.front
	f.mu.Lock()
	c.noteRead() // the bytes may have been read together with earlier ones
	closed := c.seat.Closing()
	f.mu.Unlock()
	if closed {
		c.discardInput() // the request crossed the end of the connection: none of it is processed
	}
	return !closed
}

// reserveBody reserves memory for a body of n bytes and reports whether there is enough.
func (c *client) reserveBody(n int) bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.front.seats.ReserveBody(c.seat, n)
}

// register admits the current request. It fails with a rejection, or reports that the client has already disconnected,
// which may happen when the request is read late.
func (c *client) register(now logic.Micros, closeAfterAnswer bool) (rejection *rejectError, disconnected bool) {
	f := c.front
	idHash := maphash.Bytes(f.hashSeed, c.request.ID)
	targetHash := maphash.Bytes(f.hashSeed, c.request.Target)
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.conn.PeerClosed() {
		f.tally.Left++
		return nil, true
	}
	timeLeft, ok := f.shutdown.Admit(now, c.request.Timeout)
	if !ok || f.closing {
		return &rejectError{503, "ending"}, false
	}
	c.request.Timeout = timeLeft
	if _, duplicate := f.openIDs[idHash]; duplicate {
		return &rejectError{409, "a request with that id is open"}, false
	}
	if c.request.NotBefore, ok = f.seats.Admit(now, c.seat, targetHash, c.request.Timeout); !ok {
		return &rejectError{503, "no room for another request"}, false
	}
	f.openIDs[idHash] = struct{}{}
	c.idHash, c.targetHash, c.held, c.closeAfterAnswer = idHash, targetHash, true, closeAfterAnswer
	c.request.Front = c
	f.tally.Taken++
	return nil, false
}

// maxUnexpectedInput is the number of bytes that a client may send after a request that has not been answered, or after
// the last answer on its connection. They are read and discarded, because only reading shows that the client has
// disconnected. A client that sends more is treated as disconnected.
const maxUnexpectedInput = 256 << 10

// awaitAnswer waits until the request was answered and the next one begins, or the client disconnects. It reports false
// when the calling goroutine has nothing more to do.
func (c *client) awaitAnswer(r *http1.Reader) bool {
	f := c.front
	err := r.Wait()
	var discard []byte
	for n := r.Buffered(); ; {
		f.mu.Lock()
		if !c.held {
			break
		}
		// The client has disconnected, or sent data before its answer. Its connection ends with the answer, which tells
		// the client that what it sent after the request was not processed.
		c.closeAfterAnswer = true
		if err != nil || n > maxUnexpectedInput {
			c.disconnected = err != nil
			f.tally.Left++
			f.mu.Unlock()
			f.handler.Gone(&c.request)
			if err == nil {
				c.discardInput()
			}
			return false
		}
		f.mu.Unlock()
		if discard == nil {
			discard = make([]byte, 4<<10)
		}
		var k int
		k, err = c.conn.Read(discard)
		n += k
	}
	flushed := c.flushed
	f.mu.Unlock()
	if flushed != nil {
		// Until the answer was written, nothing else may be written, and the core must not wait for it.
		<-flushed
	}
	if err != nil {
		return false
	}
	if discard != nil {
		c.discardInput()
		return false
	}
	return true
}

// linger closes the connection for writing, so that the client can read all answers, while [client.discardInput] reads
// what still arrives. The caller holds the lock.
func (c *client) linger(now logic.Micros) {
	c.conn.CloseWrite()
	c.front.seats.SetState(now, c.seat, seats.Lingering)
}

// discardInput discards what arrives on a lingering connection until the client closes it, sends too much, or its time
// is up. A request that arrives after the close for writing was not processed, so the client sends it again.
func (c *client) discardInput() {
	b := make([]byte, 4<<10)
	for n := 0; n < maxUnexpectedInput; {
		k, err := c.conn.Read(b)
		if err != nil {
			break
		}
		n += k
	}
}

// Answer implements [core.Front].
func (c *client) Answer(now logic.Micros, r *core.Request, a core.Answer) {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c.held = false
	delete(f.openIDs, c.idHash)
	f.seats.FreeBody(c.seat)
	if a.Verdict == core.Refused {
		f.seats.Refused(now, c.seat, c.targetHash)
	}
	closeAfter := c.closeAfterAnswer || f.shutdown.Last(now) || f.seats.ClosesAfterAnswer(c.seat)
	c.outBuf = appendHead(c.outBuf[:0], a, closeAfter)
	var unsent []byte
	n, err := 0, error(nil)
	if !a.BodyStable {
		c.outBuf = append(c.outBuf, a.Body...)
	}
	if n, err = c.conn.TryWrite(c.outBuf); err == nil && n == len(c.outBuf) && a.BodyStable {
		n, err = c.conn.TryWrite(a.Body)
		unsent = a.Body[n:]
	} else if a.BodyStable {
		unsent = append(append(unsent, c.outBuf[n:]...), a.Body...)
	} else {
		unsent = append(unsent, c.outBuf[n:]...)
	}
	if cap(c.outBuf) > maxKeptBuffer {
		c.outBuf = nil
	}
	if err == nil && len(unsent) > 0 {
		// The unsent part of an answer counts against the memory for bodies. Without enough memory the answer is cut
		// short, which the client can detect.
		if f.seats.ReserveBody(c.seat, len(unsent)) {
			f.seats.SetState(now, c.seat, seats.Sending)
			c.flushed = make(chan struct{})
			f.goroutines.Go(func() { c.flushAnswer(unsent, closeAfter) })
			return
		}
		closeAfter = true
	}
	c.disconnected = c.disconnected || err != nil
	c.answerSent(now, closeAfter)
}

// maxKeptBuffer is the size of the largest answer buffer that a connection keeps for its next answer.
const maxKeptBuffer = 2 << 10

// answerSent closes the connection or prepares it for the next request after an answer was written. The caller holds
// the lock.
func (c *client) answerSent(now logic.Micros, closeAfter bool) {
	switch {
	case c.disconnected:
		c.front.seats.Release(c.seat)
		c.conn.Shutdown()
	case closeAfter:
		c.linger(now)
	default:
		c.front.seats.SetState(now, c.seat, seats.Idle)
	}
}

// flushAnswer writes the part of an answer that the socket did not take at once.
func (c *client) flushAnswer(unsent []byte, closeAfter bool) {
	f := c.front
	_, err := c.conn.Write(unsent) // package seats ends the connection if this takes too long
	f.mu.Lock()
	defer f.mu.Unlock()
	c.disconnected = c.disconnected || err != nil
	c.answerSent(f.handler.Now(), closeAfter)
	close(c.flushed)
	c.flushed = nil
}

// answerHealth answers a health check: whether the front is ready for requests. It reports false when the connection
// has ended.
func (c *client) answerHealth(now logic.Micros) bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := healthyAnswer
	if !f.ready.Load() || f.shutdown.Last(now) {
		answer = unhealthyAnswer
	}
	n, err := c.conn.TryWrite(answer)
	c.disconnected = err != nil || n < len(answer)
	c.answerSent(now, false)
	return !c.disconnected
}

// reject answers a request that cannot be processed and ends the connection. The connection lingers, so that the client
// can read the answer.
func (c *client) reject(now logic.Micros, rejection *rejectError) {
	f := c.front
	f.mu.Lock()
	f.tally.Rejected++
	f.log.Debug("rejected", zap.String("why", rejection.reason))
	if !c.seat.Closing() { // otherwise the connection is being closed already
		c.conn.TryWrite(appendError(c.outBuf[:0], rejection))
		c.linger(now)
	}
	f.mu.Unlock()
	c.discardInput()
}

// close frees the seat and closes the connection.
func (c *client) close() {
	c.front.mu.Lock()
	c.front.seats.Release(c.seat)
	c.front.mu.Unlock()
	c.conn.Close()
}

var (
	healthyAnswer   = []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	unhealthyAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
)

func appendHead(b []byte, a core.Answer, closeAfter bool) []byte {
	switch {
	case a.Verdict == core.Served:
		b = append(b, "HTTP/1.1 200 OK\r\n"...)
	case a.Verdict == core.Failed:
		b = append(b, "HTTP/1.1 504 Gateway Timeout\r\n"...)
	case a.Limited:
		b = append(b, "HTTP/1.1 429 Too Many Requests\r\n"...)
	default:
		b = append(b, "HTTP/1.1 503 Service Unavailable\r\n"...)
	}
	if a.Verdict == core.Refused && a.CoolDown > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, float64(a.CoolDown)/1e6, 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	return append(b, "\r\n\r\n"...)
}

func appendError(b []byte, r *rejectError) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.status), 10)
	b = append(b, " Rejected\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.reason)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.reason...)
}

// Tally returns the current counts.
func (f *Front) Tally() Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tally
	t.Seats = f.seats.Tally
	return t
}

// Connections returns the number of open client connections.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seats.Taken()
}
