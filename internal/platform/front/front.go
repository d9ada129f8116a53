// Package front serves the platform's HTTP clients: it reads their requests, passes them to the core in the order in
// which they arrived, and writes the answers. Package seats decides which connections are kept, closed or rejected.
package front

import (
	"hash/maphash"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"appleplank/internal/platform/core"
	"appleplank/leave"
	"appleplank/logic"
	"appleplank/quota"
	"appleplank/replay"
	"appleplank/seats"

	"go.uber.org/zap"
)

// RequestHandler processes the requests that a [Front] has read.
type RequestHandler interface {
	Now() logic.Micros
	// Take and Gone only queue what they are told, in this order; Process processes it.
	Take(r *core.Request)
	Gone(r *core.Request)
	Process()
	Room(requests int)
	End(by logic.Micros)
}

// Listener is a TCP listener.
type Listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Front serves the clients of one listener.
type Front struct {
	listener Listener
	settings *RequestSettings
	handler  RequestHandler
	log      *zap.Logger
	ready    atomic.Bool
	hashSeed maphash.Seed

	throttled, skipped atomic.Uint64 // see Tally
	arrivals           *arrivals

	mu         sync.Mutex // never held during a call of the handler
	seats      *seats.Table
	shutdown   *leave.Shutdown
	openIDs    map[uint64]struct{} // hashes of the ids of requests that the handler has not answered
	replays    *replay.Guard       // of requests that were sent to a target and are over
	tally      Tally
	sweepTimer *time.Timer
	closing    bool           // no further requests are accepted
	closed     bool           // no further connections are accepted
	capacity   int            // number of requests last reported to the handler
	outBuf     []byte         // an answer that is being written
	goroutines sync.WaitGroup // connections, and writers of long answers
}

// Tally counts the requests that were taken, those that were rejected, the clients that left before their answer, and
// the answers that were cut off.
type Tally struct {
	Taken, Rejected, Left, Cut uint64
	NoMemory                   uint64        // answers that were replaced for want of memory
	Skipped                    uint64        // new connections that were closed unread, as their clients had left
	Throttled                  uint64        // times that a connection had used up its quota
	LongestRound               time.Duration // of reading connections
	Seats                      seats.Tally
}

// sendBufferSize limits the unread answers that the kernel buffers per client, in bytes. Without it, the kernel grows
// the buffer of a client that does not read to megabytes, which count as the initiator's memory.
const sendBufferSize = 16 << 10

// sweepInterval is the interval at which connections are checked for timeouts.
const sweepInterval = 100 * time.Millisecond

// maxSweepRounds is the number of rounds after which connections are checked although data may be unread.
const maxSweepRounds = 8

// Policies are the decisions that a front asks for: which connections are kept, how fast new ones are accepted, which
// requests came before, and how long it serves after it was told to end.
type Policies struct {
	Seats     *seats.Table
	Accepting *quota.Accepting
	Replays   *replay.Guard
	Shutdown  *leave.Shutdown
}

// New returns a front for the clients of listener. [Front.Serve] accepts connections.
func New(listener Listener, settings *RequestSettings, handler RequestHandler, p Policies, log *zap.Logger) (*Front, error) {
	f := &Front{listener: listener, settings: settings, handler: handler, seats: p.Seats, replays: p.Replays, shutdown: p.Shutdown, log: log, openIDs: map[uint64]struct{}{}, hashSeed: maphash.MakeSeed()}
	arrivals, err := newArrivals(f, p.Accepting)
	if err != nil {
		return nil, err
	}
	f.arrivals = arrivals
	f.sweepTimer = time.AfterFunc(sweepInterval, f.sweep)
	f.reportCapacity()
	return f, nil
}

// SetReady makes the health check succeed.
func (f *Front) SetReady() { f.ready.Store(true) }

func (f *Front) sweep() {
	for rounds := 0; rounds < maxSweepRounds && !f.ReadArrived(); rounds++ { // whose time is up depends on what has arrived
		f.handler.Process()
	}
	f.handler.Process()
	if f.sweepOverdue() {
		f.reportCapacity()
	}
}

// sweepOverdue ends the connections whose time is up, and sets the timer for the next time. It reports false if the front is
// being closed.
func (f *Front) sweepOverdue() bool {
	f.arrivals.mu.Lock()
	defer f.arrivals.mu.Unlock()
	f.mu.Lock()
	if f.closing {
		f.mu.Unlock()
		return false
	}
	f.closeOverdue(f.handler.Now())
	f.sweepTimer.Reset(sweepInterval)
	f.mu.Unlock()
	f.arrivals.resumeInterrupted()
	return true
}

// closeOverdue ends the connections whose time is up. The caller holds the lock, and that of the arrivals.
func (f *Front) closeOverdue(now logic.Micros) {
	for s := f.seats.Overdue(now); s != nil; s = f.seats.Overdue(now) {
		switch c := s.Owner.(*client); s.State() {
		case seats.ReadingFirst, seats.ReadingNext:
			c.conn.TryWrite(appendError(nil, &rejectError{408, "the request does not end"}))
			c.linger(now)
			f.arrivals.interrupt(c)
		case seats.Idle, seats.Checked:
			if c.conn.HasUnread() {
				f.seats.DataRead(now, s) // a request has just arrived
			} else {
				c.linger(now)
			}
		case seats.Sending:
			c.cutAnswer("it was not read in time")
		default:
			f.seats.Release(s)
			c.conn.Shutdown()
		}
	}
}

func micros(d logic.Micros) time.Duration { return time.Duration(d) * time.Microsecond }

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

// Tally returns the current counts.
func (f *Front) Tally() Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tally
	t.Throttled, t.Skipped = f.throttled.Load(), f.skipped.Load()
	t.Seats = f.seats.Tally
	return t
}

// Connections returns the number of open client connections.
func (f *Front) Connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seats.Taken()
}
