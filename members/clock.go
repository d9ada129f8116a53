package members

import "appleplank/logic"

// startNewsDelay is the longest delay, outages included, with which discovery may report a start. Harm: a target that
// appears in the list after a longer delay counts as cold once more.
const startNewsDelay = 60 * sec

// localStart converts the reported start of a target to this machine's clock. This clock may be set wrong, and so may
// the clock by which the start was reported. A start is never in the future, and one that is reported while the list is
// followed happened a moment ago; any other value counts as started now, which protects the target as a cold one. isNew
// is true if the start was not known before and the list has been followed since before that start. 0 means long
// ago and stays 0.
func localStart(now, reported logic.Micros, isNew bool) logic.Micros {
	if reported <= 0 {
		return 0
	}
	if reported > now || isNew && now-reported > startNewsDelay {
		return max(now, 1)
	}
	return reported
}
