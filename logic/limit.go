package logic

// The rate limit of a plan. The interface of this module is in logic/api.go.
//
// A limit is one token bucket for all hosts of a volume. Each host keeps an even slice of it: rate, burst and
// slack divided by the hosts of the volume. The slices of all hosts together never hold more than the bucket
// if each holds no more than it may at every moment, so a slice is settled before anything that bounds it
// changes.

// lateArrival is how long an attempt that was given up may still be on its way: a link that was cut for some
// seconds hands on then what it held.
const lateArrival = 5 * sec

// limitAllows tells whether the slice holds the units of a request.
func (h *Host) limitAllows(r *request) bool {
	return r.vol.plan.Limit <= 0 || h.fill(r.vol)-r.units >= -r.vol.plan.LimitSlack/r.vol.attached
}

// fill is what the slice holds now.
func (h *Host) fill(v *volume) float64 {
	return min(v.store+v.plan.Limit/v.attached*seconds(h.now-v.stored), v.most())
}

// most is what the slice may hold now. Where nodes count, the bucket may stay full until a request reaches
// its node: units that are charged and may still be on their way keep their place in the slice. Those of
// attempts that were given up leave the volume its rate and its slack, or a node that hangs would shut it.
func (v *volume) most() float64 {
	room := v.plan.LimitBurst/v.attached - v.pending
	return room - min(v.straying, max(room, 0))
}

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

// discharge ends the account of a request that is over. Units that no node has seen go back into the slice;
// those of an attempt that was given up stay on their way for a while.
func (h *Host) discharge(r *request) {
	v, pending := r.vol, r.pending
	h.release(r)
	switch {
	case !pending:
	case r.adrift:
		h.stray(v, r.units, h.now)
	case !r.unsure:
		v.store += r.units
	}
}

// stray keeps units on their way that nothing more will be heard of.
func (h *Host) stray(v *volume, units float64, now Micros) {
	v.straying += units
	h.strays = append(h.strays, stray{v, units, now + lateArrival})
}

// releaseStrays forgets units that can be on their way no longer.
func (h *Host) releaseStrays() {
	for len(h.strays) > 0 && h.strays[0].until <= h.now {
		s := h.strays[0]
		h.settle(s.vol)
		s.vol.straying -= s.units
		h.strays = h.strays[1:]
	}
}
