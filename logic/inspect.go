package logic

// What a host tells of its state to traces and tests. Nothing is decided here.

// Slice is this host's part of a volume's limit at one moment, in units.
type Slice struct {
	Hosts   float64 // hosts among which the limit is divided
	Store   float64 // what may still be sent, down to the slack below zero
	Pending float64 // charged, and not known to have reached a node
}

// Slice gives this host's part of a volume's limit; ok is false for a volume that is not known or has no
// limit.
func (h *Host) Slice(id VolumeID) (s Slice, ok bool) {
	v := h.volumes[id]
	if v == nil || v.plan.Limit <= 0 {
		return Slice{}, false
	}
	return Slice{Hosts: v.attached, Store: h.availableTokens(v), Pending: v.pending + v.abandoned}, true
}
