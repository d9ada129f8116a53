package members

import "appleplank/logic"

// startToldWithin is how late discovery may tell of a start, outages included. Harm: a target that is new in the list
// after longer counts as cold once more.
const startToldWithin = 60 * sec

// ownStart gives when a target counts as started by this machine's clock, which may have been set wrong, as the clock by
// which the start was told may. A start is never in the future, and one that is told while the list is followed was a
// moment ago: what cannot be so counts as started now, which spares the target. fresh: the start was not known before,
// and the list has been followed since before it. 0, long ago, stays so.
func ownStart(now, told logic.Micros, fresh bool) logic.Micros {
	if told <= 0 {
		return 0
	}
	if told > now || fresh && now-told > startToldWithin {
		return max(now, 1)
	}
	return told
}
