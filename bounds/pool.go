package bounds

// Pool is memory that several owners share. Who reserves a part returns it when the buffer is dropped, not before. It is not
// safe for concurrent use.
type Pool struct {
	limit, used int // bytes
	Tally       PoolTally
}

// PoolTally counts what became of a pool.
type PoolTally struct {
	Most    int // bytes that were reserved at once
	Refused uint64
}

// NewPool returns a pool of the given number of bytes.
func NewPool(bytes int) *Pool { return &Pool{limit: bytes} }

// Reserve reserves bytes and reports whether there were enough.
func (p *Pool) Reserve(bytes int) bool {
	if p.used+bytes > p.limit {
		p.Tally.Refused++
		return false
	}
	p.used += bytes
	p.Tally.Most = max(p.Tally.Most, p.used)
	return true
}

// Return returns reserved bytes.
func (p *Pool) Return(bytes int) { p.used -= bytes }

// Used returns the number of reserved bytes.
func (p *Pool) Used() int { return p.used }
