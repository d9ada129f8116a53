package front

import (
	"errors"
	"hash/maphash"

	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/internal/sock"
	"appleplank/logic"
	"appleplank/seats"

	"go.uber.org/zap"
)

// client is one connection. Only its own coroutine closes it; other code calls [sock.Conn.Shutdown] instead.
type client struct {
	front   *Front
	conn    *sock.Conn
	seat    *seats.Seat
	reader  *http1.Reader
	message http1.Message // that is being read; its slices are the reader's
	request core.Request  // while the handler has it, it holds the slices of the message
	turns   turns

	discarding bool // what arrives is discarded; guarded by the lock of arrivals

	// The fields below are guarded by the front's lock.
	held             bool // the handler has the request
	requestID        []byte
	idHash           uint64
	targetHash       uint64
	closeAfterAnswer bool // the client asked for it, or sent data after its request
	disconnected     bool // the client has closed the connection, or it broke
	flushing         bool // the rest of an answer is being written
}

// serve reads requests one at a time until the connection ends. It is a coroutine: see [arrivals].
func (c *client) serve() {
	defer c.close()
	f, m := c.front, &c.message
	c.reader = http1.NewReader(c)
	c.reader.Reserve = c.reserveBody
	for c.awaitRequest() {
		err := c.reader.ReadRequest(m)
		now := f.handler.Now()
		if err != nil {
			c.endReading(now, err)
			return
		}
		if string(m.Method) == "GET" && string(m.Target) == f.settings.HealthPath {
			if !c.answerHealth(now) {
				return
			}
			c.turns.quota.CountAnswer(f.arrivals.throttle.now())
			c.awaitQuota()
			continue
		}
		if rejection := f.settings.parseRequest(m, &c.request); rejection != nil {
			c.reject(now, rejection)
			return
		}
		if c.reader.Buffered() > 0 {
			c.reject(now, &rejectError{400, "more than one request at a time"})
			return
		}
		c.awaitOrder(now)
		now = f.handler.Now()
		rejection, disconnected := c.register(now, m.Close)
		if disconnected {
			return
		}
		if rejection != nil {
			c.reject(now, rejection)
			return
		}
		m.Reset() // the request keeps what is needed of it
		c.turns.quota.RequestPassedOn(f.arrivals.throttle.now())
		f.handler.Take(&c.request)
		if !c.awaitAnswer() {
			return
		}
	}
}

// awaitOrder waits until the requests that arrived before the current one were passed on.
func (c *client) awaitOrder(now logic.Micros) {
	c.front.mu.Lock()
	c.front.seats.SetState(now, c.seat, seats.Complete)
	c.front.mu.Unlock()
	c.turns.await(untilInOrder)
}

// endReading ends a connection whose request could not be read.
func (c *client) endReading(now logic.Micros, err error) {
	var protocolErr *http1.Error
	switch {
	case errors.As(err, &protocolErr):
		c.reject(now, &rejectError{protocolErr.Status, protocolErr.Reason})
	case err == errClosing:
		c.discardInput()
	}
}

// errClosing reports that the connection is being closed, so that nothing more is to be read of a request.
var errClosing = errors.New("the connection is being closed")

// Read implements [io.Reader]. It waits until data has arrived that is due to be read.
func (c *client) Read(p []byte) (int, error) {
	for {
		c.awaitQuota()
		n, err := c.tryRead(p)
		if err != sock.ErrNoData {
			return n, err
		}
		c.turns.await(untilData)
	}
}

// tryRead reads what has arrived. Code that holds the front's lock can therefore tell whether data has arrived:
// [sock.Conn.HasUnread] reports unread data, and the seat's state that data was read.
func (c *client) tryRead(p []byte) (int, error) {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.seat.Closing() && !c.discarding {
		return 0, errClosing
	}
	if !c.turns.readable {
		return 0, sock.ErrNoData
	}
	n, arrived, err := f.arrivals.stamps.Read(c.conn, p)
	if err == sock.ErrNoData || n > 0 && n < len(p) && !c.turns.ended {
		c.turns.readable = false // all that was there is read; the poller reports what comes next
	}
	if err != sock.ErrNoData {
		c.turns.arrived = arrived
		c.countRead(n)
		c.noteRead()
	}
	return n, err
}

// countRead counts a read against the connection's quota. The caller holds the lock.
func (c *client) countRead(bytes int) {
	now := c.front.arrivals.throttle.now()
	if c.seat.Closing() {
		c.turns.quota.CountDiscarded(now, bytes)
	} else {
		c.turns.quota.CountRead(now, bytes)
	}
}

// noteRead records that data or the end of the stream was read from the client. The caller holds the lock.
func (c *client) noteRead() { c.front.seats.DataRead(c.front.handler.Now(), c.seat) }

// awaitRequest waits for the first byte of a request. It reports false when the connection has ended.
func (c *client) awaitRequest() bool {
	if err := c.reader.Wait(); err != nil {
		if err == errClosing {
			c.discardInput()
		}
		return false
	}
	f := c.front
	f.mu.Lock()
	c.noteRead() // the bytes may have been read together with earlier ones
	f.seats.KeepBody(c.seat, longBufferSize(c.reader))
	closed := c.seat.Closing()
	f.mu.Unlock()
	if closed {
		c.discardInput() // the request crossed the end of the connection: none of it is processed
	}
	return !closed
}

// register admits the current request. It fails with a rejection, or reports that the client has already disconnected,
// which may happen when the request is read late.
func (c *client) register(now logic.Micros, closeAfterAnswer bool) (rejection *rejectError, disconnected bool) {
	f := c.front
	idHash := maphash.Bytes(f.hashSeed, c.request.ID)
	targetHash := maphash.Bytes(f.hashSeed, c.request.Target)
	f.mu.Lock()
	defer f.mu.Unlock()
	unread, err := c.conn.Pending()
	if err != nil || unread && c.turns.ended {
		f.tally.Left++
		return nil, true
	}
	if unread {
		return &rejectError{400, "more than one request at a time"}, false
	}
	timeLeft, ok := f.shutdown.Admit(now, c.request.Timeout)
	if !ok || f.closing {
		return errEnding, false
	}
	c.request.Timeout, c.request.Waited = timeLeft, c.turns.waited
	if _, duplicate := f.openIDs[idHash]; duplicate {
		return &rejectError{409, "a request with that id is open"}, false
	}
	if f.replays.Known(now, idHash) {
		return &rejectError{409, "a request with that id was sent before"}, false
	}
	if c.seat.First() {
		c.notePeerRoom()
	}
	if c.request.NotBefore, ok = f.seats.Admit(now, c.seat, targetHash, c.request.Timeout); !ok {
		return &rejectError{503, "no room for another request"}, false
	}
	f.openIDs[idHash] = struct{}{}
	c.idHash, c.targetHash, c.held, c.closeAfterAnswer = idHash, targetHash, true, closeAfterAnswer
	c.request.Front = c
	c.requestID = append(c.requestID[:0], c.request.ID...)
	f.tally.Taken++
	return nil, false
}

// maxUnexpectedInput is the number of bytes that a client may send after a request that has not been answered, or after
// the last answer on its connection. They are read and discarded, because only reading shows that the client has
// disconnected. A client that sends more is treated as disconnected.
const maxUnexpectedInput = 256 << 10

// awaitAnswer waits until the request was answered and the next one begins, or the client disconnects. It reports false
// when the calling goroutine has nothing more to do.
func (c *client) awaitAnswer() bool {
	f := c.front
	err := c.reader.Wait()
	discarded := false
	for n := c.reader.Buffered(); ; {
		f.mu.Lock()
		if !c.held {
			break
		}
		// The client has disconnected, or sent data before its answer. Its connection ends with the answer, which tells
		// the client that what it sent after the request was not processed.
		c.closeAfterAnswer = true
		if err != nil || n > maxUnexpectedInput || c.turns.ended {
			c.disconnected = err != nil || c.turns.ended
			f.tally.Left++
			f.mu.Unlock()
			f.handler.Gone(&c.request)
			if err == nil {
				c.discardInput()
			}
			return false
		}
		f.mu.Unlock()
		discarded = true
		var k int
		k, err = c.Read(f.arrivals.discarded[:])
		n += k
	}
	flushing := c.flushing
	f.mu.Unlock()
	c.turns.quota.Answered()
	for flushing {
		// Until the answer was written, nothing else may be written, and the core must not wait for it.
		c.turns.await(untilFlushed)
		f.mu.Lock()
		flushing = c.flushing
		f.mu.Unlock()
	}
	if discarded || err == errClosing {
		c.discardInput()
		return false
	}
	return err == nil
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
	c.discarding, c.turns.interrupted = true, false
	c.dropMessage()
	for n := 0; n < maxUnexpectedInput; {
		k, err := c.Read(c.front.arrivals.discarded[:])
		if err != nil {
			break
		}
		n += k
	}
}

// reject answers a request that cannot be processed and ends the connection. The connection lingers, so that the client
// can read the answer.
func (c *client) reject(now logic.Micros, rejection *rejectError) {
	f := c.front
	f.mu.Lock()
	f.tally.Rejected++
	f.log.Debug("rejected", zap.Int("status", rejection.status), zap.String("why", rejection.reason), zap.Stringer("client", c.conn.RemoteAddr()))
	if !c.seat.Closing() { // otherwise the connection is being closed already
		c.conn.TryWrite(appendError(nil, rejection))
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
	c.dropMessage()
	c.conn.Close()
}
