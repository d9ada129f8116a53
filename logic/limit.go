package logic

// The rate limit of a plan. The interface of this module is in logic/api.go.
//
// A limit is one token bucket for all hosts of a volume. Each host keeps an even slice of it: rate, burst and
// slack divided by the hosts of the volume. The slices of all hosts together never hold more than the bucket
// if each holds no more than it may at every moment, so a slice is settled before anything that bounds it
// changes.

// limitAllows tells whether the slice holds the units of a request.
func (h *Host) limitAllows(r *request) bool {
	return r.vol.plan.Limit <= 0 || h.fill(r.vol)-r.units >= -r.vol.plan.LimitSlack/r.vol.attached
}

// fill is what the slice holds now.
func (h *Host) fill(v *volume) float64 {
	return min(v.store+v.plan.Limit/v.attached*seconds(h.now-v.stored), v.most())
}

// most is what the slice may hold now. Where nodes count, the bucket may stay full until a request reaches
// its node: units that are charged and may still be on their way keep their place in the slice.
func (v *volume) most() float64 { return v.plan.LimitBurst/v.attached - v.pending }

// settle brings what the slice holds up to now, by the bounds that held so far.
func (h *Host) settle(v *volume) { v.store, v.stored = h.fill(v), h.now }

// sliceFull tells whether the slice holds all it can; units drawn now would else be lost.
func (h *Host) sliceFull(v *volume) bool { return h.fill(v) >= v.most() }

// Limited tells whether it is the volume's slice of its limit that stands in the way of so many units now,
// for callers that tell their clients why.
func (h *Host) Limited(id VolumeID, units float64) bool {
	v := h.volumes[id]
	return v != nil && v.plan.Limit > 0 && h.fill(v)-units < -v.plan.LimitSlack/v.attached
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
	h.settle(v)
	v.store -= r.units
	if h.set.DrawnAtNode {
		r.pending = true
		v.pending += r.units
	}
}

// release says that a request's units are not on their way any more: a node has seen them, or none will.
func (h *Host) release(r *request) {
	if !r.pending {
		return
	}
	h.settle(r.vol)
	r.pending = false
	r.vol.pending -= r.units
}

// discharge ends the account of a request that is over; units that no node has seen go back into the slice.
func (h *Host) discharge(r *request) {
	back := r.pending && !r.unsure
	h.release(r)
	if back {
		r.vol.store += r.units
	}
}
