package logic

// The rate limit of a plan. The interface of this module is in logic/api.go.
//
// A limit is one token bucket for all hosts of a volume. Each host keeps an even share of it: rate, burst and
// slack divided by the hosts of the volume. The shares of all hosts together never exceed the bucket if each
// keeps its own bounds at every moment, so a share is brought up to date before anything that bounds it
// changes.

// maxArrivalDelay is how long after it was given up an attempt may still reach its node: a link that was cut
// for some seconds then delivers what it had queued.
const maxArrivalDelay = 5 * sec

// limitAllows reports whether this host's share of the limit admits the units of a request.
func (h *Host) limitAllows(r *request) bool {
	return r.vol.plan.Limit <= 0 || h.availableTokens(r.vol)-r.units >= -r.vol.plan.LimitSlack/r.vol.attached
}

// availableTokens returns what this host's share of the limit holds now, in units.
func (h *Host) availableTokens(v *volume) float64 {
	return min(v.tokens+v.plan.Limit/v.attached*seconds(h.now-v.tokensAt), v.maxTokens())
}

// maxTokens returns what the share may hold now. If a request draws on the limit when it reaches its node,
// the bucket may stay full until then, so units that are charged and may still arrive reduce the capacity of
// the share. Units of attempts that were given up never take it below zero: the volume keeps its rate and its
// slack, or a node that hangs would block it.
func (v *volume) maxTokens() float64 {
	capacity := v.plan.LimitBurst/v.attached - v.pending
	return capacity - min(v.abandoned, max(capacity, 0))
}

// updateTokens brings the share up to the present time under the bounds that held until now.
func (h *Host) updateTokens(v *volume) { v.tokens, v.tokensAt = h.availableTokens(v), h.now }

// bucketFull reports whether the share holds all it can, so that what accrues is lost unless units are drawn.
func (h *Host) bucketFull(v *volume) bool { return h.availableTokens(v) >= v.maxTokens() }

// Limited reports whether this host's share of the volume's limit prevents a send of the given units now, for
// callers that tell their clients the reason.
func (h *Host) Limited(id VolumeID, units float64) bool {
	v := h.volumes[id]
	return v != nil && v.plan.Limit > 0 && h.availableTokens(v)-units < -v.plan.LimitSlack/v.attached
}

// charge takes a request's units from the share at its first send.
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

// clearPending ends the pending state of a request's units: a node has seen them, or none will.
func (h *Host) clearPending(r *request) {
	if !r.pending {
		return
	}
	h.updateTokens(r.vol)
	r.pending = false
	r.vol.pending -= r.units
}

// settleCharge settles the units of a finished request. Units that no node has seen are returned to the
// share; those of an attempt that was given up count as able to arrive for maxArrivalDelay.
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

// abandon records units of a finished request that may still reach a node.
func (h *Host) abandon(v *volume, units float64, now Micros) {
	v.abandoned += units
	h.abandoned = append(h.abandoned, abandonedUnits{v, units, now + maxArrivalDelay})
}

// expireAbandoned drops units that can no longer reach a node.
func (h *Host) expireAbandoned() {
	for len(h.abandoned) > 0 && h.abandoned[0].until <= h.now {
		s := h.abandoned[0]
		h.updateTokens(s.vol)
		s.vol.abandoned -= s.units
		h.abandoned = h.abandoned[1:]
	}
}
