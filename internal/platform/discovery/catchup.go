package discovery

import (
	"sync"
	"time"

	"appleplank/internal/sock"
	"appleplank/logic"
	"appleplank/quota"
)

// maxCatchUp bounds the time for which [Watch.ReadArrived] waits.
const maxCatchUp = 50 * time.Millisecond

// ReadArrived waits until what has arrived from discovery is queued at the sink. After the process stood still, decisions
// would otherwise be taken with a list that is out of date although the new one has arrived. The wait takes at most
// maxCatchUp.
func (w *Watch) ReadArrived() {
	if r := w.current.Load(); r != nil {
		r.awaitRead()
	}
}

// watchReader reads from the connection of a watch and tells whether all that has arrived was read and applied.
type watchReader struct {
	conn *sock.Conn

	quota *quota.Listing
	begun time.Time // from which the quota counts

	mu      sync.Mutex
	changed *sync.Cond
	waiting bool // the reader waits for data
	paused  bool // the reader waits for its quota
	ended   bool
}

func newWatchReader(conn *sock.Conn, allowed *quota.Listing) *watchReader {
	r := &watchReader{conn: conn, quota: allowed, begun: time.Now()}
	r.changed = sync.NewCond(&r.mu)
	// Data leaves the socket under the lock, so that it counts as unread or as being read, never as neither.
	conn.GuardReads(&r.mu, func() { r.waiting = false })
	return r
}

// Read implements [io.Reader].
func (r *watchReader) Read(p []byte) (int, error) {
	r.awaitQuota()
	r.set(&r.waiting, true)
	n, err := r.conn.Read(p)
	r.quota.CountRead(n)
	return n, err
}

// countLine counts a list or an empty line, and waits until the quota allows the next.
func (r *watchReader) countLine() {
	r.quota.CountLine()
	r.awaitQuota()
}

// awaitQuota waits until the quota allows the reader to go on. Meanwhile nobody waits for what it has not read.
func (r *watchReader) awaitQuota() {
	now := logic.Micros(time.Since(r.begun).Microseconds())
	until := r.quota.BlockedUntil(now)
	if until == 0 {
		return
	}
	r.set(&r.paused, true)
	time.Sleep(micros(until - now))
	r.set(&r.paused, false)
}

// end records that nothing more is read.
func (r *watchReader) end() { r.set(&r.ended, true) }

func (r *watchReader) set(field *bool, value bool) {
	r.mu.Lock()
	*field = value
	r.mu.Unlock()
	r.changed.Broadcast()
}

// awaitRead returns when all that had arrived was read and applied, the reader waits for its quota, or maxCatchUp has
// passed.
func (r *watchReader) awaitRead() {
	expired := false
	timer := time.AfterFunc(maxCatchUp, func() { r.set(&expired, true) })
	defer timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for !expired && !r.ended && !r.paused && !(r.waiting && !r.conn.HasUnread()) {
		r.changed.Wait()
	}
}
