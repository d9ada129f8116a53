package logic

// The rate limit of a plan. The interface of this module is in logic/api.go.
//
// A limit is one token bucket for all hosts of a volume. Each host keeps an even slice of it: rate, burst and
// slack divided by the hosts of the volume. The slices of all hosts together never hold more than the bucket
// if each holds no more than it may at every moment, so a slice is settled before anything that bounds it
// changes.

// maxArrivalDelay is how long an attempt that was given up may still be on its way: a link that was cut for some
// seconds hands on then what it held.
const maxArrivalDelay = 5 * sec

// limitAllows tells whether the slice holds the units of a request.
func (h *Host) limitAllows(r *request) bool {
	return r.vol.plan.Limit <= 0 || h.availableTokens(r.vol)-r.units >= -r.vol.plan.LimitSlack/r.vol.attached
}

// availableTokens is what the slice holds now.
func (h *Host) availableTokens(v *volume) float64 {
	return min(v.tokens+v.plan.Limit/v.attached*seconds(h.now-v.tokensAt), v.maxTokens())
}

// maxTokens is what the slice may hold now. Where nodes count, the bucket may stay full until a request reaches
// its node: units that are charged and may still be on their way keep their place in the slice. Those of
// attempts that were given up leave the volume its rate and its slack, or a node that hangs would shut it.
func (v *volume) maxTokens() float64 {
	room := v.plan.LimitBurst/v.attached - v.pending
	return room - min(v.abandoned, max(room, 0))
}

// updateTokens brings what the slice holds up to now, by the bounds that held so far.
func (h *Host) updateTokens(v *volume) { v.tokens, v.tokensAt = h.availableTokens(v), h.now }

// bucketFull tells whether the slice holds all it can; units drawn now would else be lost.
func (h *Host) bucketFull(v *volume) bool { return h.availableTokens(v) >= v.maxTokens() }

// Limited tells whether it is the volume's slice of its limit that stands in the way of so many units now,
// for callers that tell their clients why.
func (h *Host) Limited(id VolumeID, units float64) bool {
	v := h.volumes[id]
	return v != nil && v.plan.Limit > 0 && h.availableTokens(v)-units < -v.plan.LimitSlack/v.attached
}

// charge takes a request's units from its slice with its first send.
func (h *Host) charge(r *request) {
	if r.charged {
		return
	}
	r.charged = true
	v := r.vol
	if v.plan.Limit <= 0 {
		return
	}
	h.updateTokens(v)
	v.tokens -= r.units
	if h.settings.DrawnAtNode {
		r.pending = true
		v.pending += r.units
	}
}

// clearPending says that a request's units are not on their way any more: a node has seen them, or none will.
func (h *Host) clearPending(r *request) {
	if !r.pending {
		return
	}
	h.updateTokens(r.vol)
	r.pending = false
	r.vol.pending -= r.units
}

// settleCharge ends the account of a request that is over. Units that no node has seen go back into the slice;
// those of an attempt that was given up stay on their way for a while.
func (h *Host) settleCharge(r *request) {
	v, pending := r.vol, r.pending
	h.clearPending(r)
	switch {
	case !pending:
	case r.mayStillArrive:
		h.abandon(v, r.units, h.now)
	case !r.maybeSeen:
		v.tokens += r.units
	}
}

// abandon keeps units on their way that nothing more will be heard of.
func (h *Host) abandon(v *volume, units float64, now Micros) {
	v.abandoned += units
	h.abandoned = append(h.abandoned, abandonedUnits{v, units, now + maxArrivalDelay})
}

// expireAbandoned forgets units that can be on their way no longer.
func (h *Host) expireAbandoned() {
	for len(h.abandoned) > 0 && h.abandoned[0].until <= h.now {
		s := h.abandoned[0]
		h.updateTokens(s.vol)
		s.vol.abandoned -= s.units
		h.abandoned = h.abandoned[1:]
	}
}
