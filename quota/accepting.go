package quota

// endedDivisor tells how many connections that have already ended cost as much as one that is served.
const endedDivisor = 12

// Accepting is the quota of a listener.
type Accepting struct{ Bucket }

// NewAccepting returns the quota of a listener that accepts the given number of connections a second, and burst at once
// after a quiet time.
func NewAccepting(perSecond, burst float64) *Accepting {
	return &Accepting{Bucket{perSecond: perSecond, burst: burst, tokens: burst}}
}

// Short reports whether new connections have used up half of the burst.
func (a *Accepting) Short() bool { return a.tokens < a.burst/2 }

// Accepted counts a connection that was accepted.
func (a *Accepting) Accepted() { a.Take(1) }

// AcceptedEnded counts a connection that had already ended when it was accepted.
func (a *Accepting) AcceptedEnded() { a.Take(1.0 / endedDivisor) }
