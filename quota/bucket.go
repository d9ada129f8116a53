package quota

import "appleplank/logic"

const second = 1000 * ms

// Bucket is a token bucket. Work may begin while it holds anything, and may take more than it holds.
type Bucket struct {
	perSecond, burst float64
	tokens           float64
	updatedAt        logic.Micros
}

// Take removes tokens.
func (b *Bucket) Take(tokens float64) { b.tokens -= tokens }

// BlockedUntil returns when work may begin; 0: at once.
func (b *Bucket) BlockedUntil(now logic.Micros) logic.Micros {
	b.tokens = min(b.tokens+b.perSecond*float64(now-b.updatedAt)/float64(second), b.burst)
	b.updatedAt = now
	if b.tokens > 0 {
		return 0
	}
	return now + logic.Micros(-b.tokens/b.perSecond*float64(second)) + 1
}
