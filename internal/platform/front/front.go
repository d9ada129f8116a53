// Package front takes the platform's clients: it reads their requests, hands them to the core and writes the answers.
// Which connections are kept, closed or turned away is decided by package seats.
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

// Taker is who takes requests.
type Taker interface {
	Now() logic.Micros
	Take(r *core.Request)
	Gone(r *core.Request)
	Room(requests int)
	End(by logic.Micros)
}

// Front serves the clients of one listener.
type Front struct {
	listener net.Listener
	service  *Service
	taker    Taker
	log      *zap.Logger
	ready    atomic.Bool
	seed     maphash.Seed

	mu    sync.Mutex // never held while the taker is called
	seats *seats.Table
	leave *leave.Leave
	open  map[uint64]struct{} // ids of requests that are held, hashed
	tally Tally
	swept *time.Timer
	last  bool          // nothing more is taken
	ended bool          // no more connections are
	woken chan struct{} // closed when connections that rest are listened to again
	room  int           // as the taker was told
	wait  sync.WaitGroup
}

// Tally counts what the front has seen.
type Tally struct {
	Taken, Rejected, Left uint64
	Seats                 seats.Tally
}

// sendBuffer is what the kernel holds of answers for a client that does not read; left alone that grows to megabytes
// each, which count as the initiator's memory.
const sendBuffer = 16 << 10

// sweep is how often connections are looked through.
const sweep = 100 * time.Millisecond

// New serves the clients of a listener.
func New(l net.Listener, s *Service, t Taker, table *seats.Table, end *leave.Leave, log *zap.Logger) *Front {
	f := &Front{listener: l, service: s, taker: t, seats: table, leave: end, log: log, open: map[uint64]struct{}{}, seed: maphash.MakeSeed(), woken: make(chan struct{})}
	f.swept = time.AfterFunc(sweep, f.sweep)
	f.tellRoom()
	return f
}

// Ready makes the front answer that it may be put in use.
func (f *Front) Ready() { f.ready.Store(true) }

// Serve takes connections until the listener is closed.
func (f *Front) Serve() error {
	for {
		raw, err := f.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// Out of descriptors, or a connection that broke before it was taken.
			f.log.Warn("no connection taken", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		raw.(*net.TCPConn).SetWriteBuffer(sendBuffer)
		conn, err := sock.New(raw.(*net.TCPConn))
		if err != nil {
			raw.Close()
			continue
		}
		c := &client{f: f, conn: conn}
		// Bytes leave its socket only under the lock, so that whoever ends a connection knows whether something was read.
		conn.Guard(&f.mu, c.spoke)
		now := f.taker.Now()
		f.mu.Lock()
		seat, out := f.seats.Take(now, c)
		if out != nil {
			out.Owner.(*client).conn.Shut()
		}
		if c.seat = seat; seat == nil || f.ended {
			if seat != nil {
				f.seats.Leave(seat)
			}
			f.mu.Unlock()
			conn.Close()
			continue
		}
		f.wait.Go(c.serve)
		f.mu.Unlock()
	}
}

// Drain says that the front is to end; it goes on serving until [Front.Over].
func (f *Front) Drain() {
	f.mu.Lock()
	f.leave.Told(f.taker.Now())
	f.seats.Ending()
	close(f.woken)
	f.woken = make(chan struct{})
	taken, by := f.seats.Taken(), f.leave.Till()
	f.mu.Unlock()
	f.taker.End(by)
	f.tellRoom()
	f.log.Info("told to end", zap.Int("connections", taken))
}

// Over tells whether the front may be closed after Drain; from then on it takes nothing more.
func (f *Front) Over() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = f.last || f.leave.Over(f.taker.Now(), f.seats.Taken(), f.seats.Busy())
	return f.last
}

// Close ends the listener and all connections; requests must have been answered. Clients have a moment to read what
// was answered last, and those whose request crossed the end of their connection are told so when they send it again:
// a close over what they have just sent would reset the connection under both.
func (f *Front) Close() {
	now := f.taker.Now()
	f.mu.Lock()
	f.last = true
	f.swept.Stop()
	close(f.woken)
	f.woken = make(chan struct{})
	for _, s := range f.seats.All() {
		switch c := s.Owner.(*client); s.State() {
		case seats.Speaking, seats.Resuming:
			c.conn.TryWrite(appendError(nil, &reject{503, "ending"}))
			c.linger(now)
		case seats.Idle:
			if !c.conn.Waiting() {
				c.linger(now)
			}
		}
	}
	left := f.seats.Taken()
	f.mu.Unlock()
	if left > 0 {
		time.Sleep(time.Duration(leave.LastLook) * time.Microsecond)
	}
	f.listener.Close()
	f.mu.Lock()
	f.ended = true
	for _, s := range f.seats.All() {
		f.seats.Leave(s)
		s.Owner.(*client).conn.Shut()
	}
	f.mu.Unlock()
	f.wait.Wait()
}

func (f *Front) sweep() {
	f.mu.Lock()
	if f.last {
		f.mu.Unlock()
		return
	}
	f.endOverdue(f.taker.Now())
	f.swept.Reset(sweep)
	f.mu.Unlock()
	f.tellRoom()
}

// endOverdue ends the connections that have taken too long. Under the lock.
func (f *Front) endOverdue(now logic.Micros) {
	for s := f.seats.Overdue(now); s != nil; s = f.seats.Overdue(now) {
		switch c := s.Owner.(*client); s.State() {
		case seats.Speaking, seats.Resuming:
			c.conn.TryWrite(appendError(nil, &reject{408, "the request does not end"}))
			c.linger(now)
		case seats.Idle:
			if c.conn.Waiting() {
				f.seats.Move(now, s, seats.Resuming) // a request has come in this moment
			} else {
				c.linger(now)
			}
		default:
			f.seats.Leave(s)
			c.conn.Shut()
		}
	}
}

// tellRoom tells the taker how many requests it may hold, when that has changed.
func (f *Front) tellRoom() {
	f.mu.Lock()
	room := f.seats.Room(f.taker.Now())
	changed := room != f.room
	f.room = room
	f.mu.Unlock()
	if changed {
		f.taker.Room(room)
	}
}

// client is one connection. Its goroutine closes it; whoever holds the lock only shuts it, as closing waits for a reader
// that may wait for the lock.
type client struct {
	f    *Front
	conn *sock.Conn
	seat *seats.Seat
	req  core.Request

	// Under the front's lock.
	held   bool // the taker has the request
	id     uint64
	what   uint64
	rest   logic.Micros
	rested logic.Micros // for how long the request at hand has waited to be read
	ending bool         // closes after its answer: asked for, or more was sent than may be
	left   bool         // the client has closed
	out    []byte
	sent   chan struct{} // closed when an answer that the client is slow to take has left; nil: there is none
}

// serve reads requests one after the other.
func (c *client) serve() {
	defer c.end()
	f := c.f
	r := http1.NewReader(c.conn)
	r.Grant = c.hold
	var m http1.Message
	for c.next(r) {
		err := r.Request(&m)
		now := f.taker.Now()
		if err != nil {
			var odd *http1.Error
			if errors.As(err, &odd) {
				c.reject(now, &reject{odd.Status, odd.What})
			}
			return
		}
		if string(m.Method) == "GET" && string(m.Target) == f.service.Health {
			if !c.health(now) {
				return
			}
			continue
		}
		if why := f.service.read(&m, &c.req); why != nil {
			c.reject(now, why)
			return
		}
		if r.Buffered() > 0 {
			c.reject(now, &reject{400, "more than one request at a time"})
			return
		}
		why, gone := c.take(now, m.Close)
		if gone {
			return
		}
		if why != nil {
			c.reject(now, why)
			return
		}
		f.taker.Take(&c.req)
		if !c.watch(r) {
			return
		}
	}
}

// spoke notes that something of the client was read, or its end. Under the lock.
func (c *client) spoke() {
	switch c.seat.State() {
	case seats.Silent:
		c.f.seats.Move(c.f.taker.Now(), c.seat, seats.Speaking)
	case seats.Idle:
		c.f.seats.Move(c.f.taker.Now(), c.seat, seats.Resuming)
	}
}

// next waits for the first byte of a request; false: the connection is over.
func (c *client) next(r *http1.Reader) bool {
	f := c.f
	f.mu.Lock()
	rest, woken := c.rest, f.woken
	c.rest, c.rested = 0, 0
	f.mu.Unlock()
	if rest > 0 {
		begun := f.taker.Now()
		pause := time.NewTimer(time.Duration(rest) * time.Microsecond)
		select {
		case <-pause.C:
		case <-woken:
			pause.Stop()
		}
		f.mu.Lock()
		if r.Buffered() > 0 || c.conn.Waiting() {
			c.rested = f.taker.Now() - begun // who comes back at once has waited since
		}
		f.mu.Unlock()
	}
	if err := r.Wait(); err != nil {
		return false
	}
	f.mu.Lock()
	c.spoke() // also where its bytes came with those before
	over := c.seat.Over()
	f.mu.Unlock()
	if over {
		c.drain() // it crossed the end of the connection: nothing of it is taken
	}
	return !over
}

// hold takes room for a body.
func (c *client) hold(n int) bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return c.f.seats.Hold(c.seat, n)
}

// take books a request in, unless its client has left already: one that rested, or is read late, may have.
func (c *client) take(now logic.Micros, last bool) (why *reject, gone bool) {
	f := c.f
	id := maphash.Bytes(f.seed, c.req.ID)
	what := maphash.Bytes(f.seed, c.req.Target)
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.conn.Ended() {
		f.tally.Left++
		return nil, true
	}
	room, ok := f.leave.Room(now, c.req.Left)
	if !ok || f.last {
		return &reject{503, "ending"}, false
	}
	c.req.Left = max(min(room, c.req.Left-c.rested), 1)
	if _, open := f.open[id]; open {
		return &reject{409, "a request with that id is open"}, false
	}
	if c.rest, ok = f.seats.Ask(now, c.seat, what); !ok {
		return &reject{503, "no room for another request"}, false
	}
	f.open[id] = struct{}{}
	c.id, c.what, c.held, c.ending = id, what, true, last
	c.req.Front = c
	f.tally.Taken++
	return nil, false
}

// mostEarly bounds what a client may send behind a request that is held, or behind its last answer; it is read, as
// nothing else shows that the client has left, and thrown away. Who sends more is taken for gone.
const mostEarly = 256 << 10

// watch waits until the request was answered and the next one begins, or the client leaves; false: this goroutine
// has no more to do.
func (c *client) watch(r *http1.Reader) bool {
	f := c.f
	err := r.Wait()
	var early []byte
	for n := r.Buffered(); ; {
		f.mu.Lock()
		if !c.held {
			break
		}
		// It has left, or speaks out of turn: its connection ends with its answer, which says that what is behind the
		// request was not taken.
		c.ending = true
		if err != nil || n > mostEarly {
			c.left = err != nil
			f.tally.Left++
			f.mu.Unlock()
			f.taker.Gone(&c.req)
			if err == nil {
				c.drain()
			}
			return false
		}
		f.mu.Unlock()
		if early == nil {
			early = make([]byte, 4<<10)
		}
		var k int
		k, err = c.conn.Read(early)
		n += k
	}
	sent := c.sent
	f.mu.Unlock()
	if sent != nil {
		// Nothing else may be written, nor the core wait for it, before the answer has left.
		<-sent
	}
	if err != nil {
		return false
	}
	if early != nil {
		c.drain()
		return false
	}
	return true
}

// linger ends the connection for writing, so that the client reads all that was answered, and has [client.drain] take
// what still comes. Under the lock.
func (c *client) linger(now logic.Micros) {
	c.conn.CloseWrite()
	c.f.seats.Move(now, c.seat, seats.Lingering)
}

// drain throws away what comes on a connection that lingers, until the client closes it, sends too much, or its time
// is up. What came behind the end was not read before it, so its client sends it again.
func (c *client) drain() {
	b := make([]byte, 4<<10)
	for n := 0; n < mostEarly; {
		k, err := c.conn.Read(b)
		if err != nil {
			break
		}
		n += k
	}
}

// Answer implements [core.Front].
func (c *client) Answer(now logic.Micros, r *core.Request, a core.Answer) {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	c.held = false
	delete(f.open, c.id)
	f.seats.Free(c.seat)
	if a.Verdict == core.Refused {
		f.seats.Refused(now, c.seat, c.what)
	}
	last := c.ending || f.leave.Last(now) || f.seats.Last(c.seat)
	c.out = appendHead(c.out[:0], a, last)
	var rest []byte
	n, err := 0, error(nil)
	if !a.Kept {
		c.out = append(c.out, a.Body...)
	}
	if n, err = c.conn.TryWrite(c.out); err == nil && n == len(c.out) && a.Kept {
		n, err = c.conn.TryWrite(a.Body)
		rest = a.Body[n:]
	} else if a.Kept {
		rest = append(append(rest, c.out[n:]...), a.Body...)
	} else {
		rest = append(rest, c.out[n:]...)
	}
	if cap(c.out) > keepOut {
		c.out = nil
	}
	if err == nil && len(rest) > 0 {
		// What a client is slow to take is held within the room for bodies; else it is cut, so that it can tell.
		if f.seats.Hold(c.seat, len(rest)) {
			f.seats.Move(now, c.seat, seats.Sending)
			c.sent = make(chan struct{})
			f.wait.Go(func() { c.finish(rest, last) })
			return
		}
		last = true
	}
	c.left = c.left || err != nil
	c.answered(now, last)
}

// keepOut is the largest buffer that a connection keeps for its answers.
const keepOut = 2 << 10

// answered says that the answer has left. Under the lock.
func (c *client) answered(now logic.Micros, last bool) {
	switch {
	case c.left:
		c.f.seats.Leave(c.seat)
		c.conn.Shut()
	case last:
		c.linger(now)
	default:
		c.f.seats.Move(now, c.seat, seats.Idle)
	}
}

// finish writes what the socket did not take at once.
func (c *client) finish(b []byte, last bool) {
	f := c.f
	_, err := c.conn.Write(b) // seats ends the connection where it takes too long
	f.mu.Lock()
	defer f.mu.Unlock()
	c.left = c.left || err != nil
	c.answered(f.taker.Now(), last)
	close(c.sent)
	c.sent = nil
}

// health answers whether the front may be put in use; false: the connection is over.
func (c *client) health(now logic.Micros) bool {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	text := healthy
	if !f.ready.Load() || f.leave.Last(now) {
		text = unwell
	}
	n, err := c.conn.TryWrite(text)
	c.left = err != nil || n < len(text)
	c.answered(now, false)
	return !c.left
}

// reject answers what cannot be taken and ends the connection, with time for the client to read why.
func (c *client) reject(now logic.Micros, why *reject) {
	f := c.f
	f.mu.Lock()
	f.tally.Rejected++
	f.log.Debug("rejected", zap.String("why", why.why))
	if !c.seat.Over() { // else it was told so
		c.conn.TryWrite(appendError(c.out[:0], why))
		c.linger(now)
	}
	f.mu.Unlock()
	c.drain()
}

// end closes the connection.
func (c *client) end() {
	c.f.mu.Lock()
	c.f.seats.Leave(c.seat)
	c.f.mu.Unlock()
	c.conn.Close()
}

var (
	healthy = []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	unwell  = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
)

func appendHead(b []byte, a core.Answer, last bool) []byte {
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
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	return append(b, "\r\n\r\n"...)
}

func appendError(b []byte, r *reject) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.status), 10)
	b = append(b, " Rejected\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.why)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.why...)
}

// Tally tells the counts so far.
func (f *Front) Tally() Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tally
	t.Seats = f.seats.Tally
	return t
}

// Connections tells how many clients are connected.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seats.Taken()
}
