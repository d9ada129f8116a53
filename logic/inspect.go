package logic

// Access to a host's state for traces and tests. This file takes no decisions.

// LimitShare is this host's share of a volume's limit at one moment, in units.
type LimitShare struct {
	Hosts   float64 // number of hosts that share the limit
	Store   float64 // what the share holds; it may go below zero by the slack
	Pending float64 // charged, and not known to have reached a node
}

// LimitShare returns this host's share of a volume's limit; ok is false if the volume is not known or has no limit.
func (h *Host) LimitShare(id VolumeID) (s LimitShare, ok bool) {
	v := h.volumes[id]
	if v == nil || v.plan.Limit <= 0 {
		return LimitShare{}, false
	}
	return LimitShare{Hosts: v.attached, Store: h.availableTokens(v), Pending: v.pending + v.abandoned}, true
}
