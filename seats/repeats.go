package seats

import "appleplank/logic"

const (
	// A request equal to one that was refused on the same connection less than instantRepeatWindow ago is an instant
	// repeat. If it is refused as well, the next repeat is not decided on before a pause is over, which doubles with each
	// repeat from minRepeatPause to maxRepeatPause. Other requests on the connection do not wait.
	instantRepeatWindow            = 20 * ms
	minRepeatPause, maxRepeatPause = 20 * ms, 640 * ms
	// A repeat waits for at most maxPauseShare of the time that its client waits, but never for less than minRepeatPause:
	// the platform rates a refusal after half of a request's time as worse than one before.
	maxPauseShare = 0.35
	// maxDoublings keeps the doubled pause within its type.
	maxDoublings = 10
)

// repeats is what a connection has been refused.
type repeats struct {
	pausedUntil logic.Micros // end of the pause after the last refusal; 0: no refusal yet
	refusedKey  uint64       // key of the request last refused
	repeating   bool         // the current request is an instant repeat
	refusals    int          // instant repeats that were refused in a row
}

// Refused records that the current request of a connection was refused; key identifies equal requests.
func (t *Table) Refused(now logic.Micros, s *Seat, key uint64) {
	s.repeats.refusedKey = key
	switch {
	case s.repeats.repeating:
		s.repeats.pausedUntil = now + t.repeatPause(s)
		s.repeats.refusals++
	case now >= s.repeats.pausedUntil: // otherwise the pause goes on, for this request
		s.repeats.pausedUntil, s.repeats.refusals = now, 0
	}
}

// repeatPause returns the pause after the refusal of an instant repeat.
func (t *Table) repeatPause(s *Seat) logic.Micros {
	if t.shuttingDown {
		return minRepeatPause // little time is left for an answer
	}
	return min(minRepeatPause<<min(s.repeats.refusals, maxDoublings), maxRepeatPause)
}

// postponement returns the time before which nothing is to be decided on a request; 0: it does not wait.
func (t *Table) postponement(now logic.Micros, s *Seat, key uint64, timeout logic.Micros) logic.Micros {
	s.repeats.repeating = s.repeats.pausedUntil > 0 && s.repeats.refusedKey == key && now-s.repeats.pausedUntil <= instantRepeatWindow
	if !s.repeats.repeating || now >= s.repeats.pausedUntil {
		return 0
	}
	t.Tally.Postponed++
	longest := max(logic.Micros(maxPauseShare*float64(timeout)), minRepeatPause)
	return min(s.repeats.pausedUntil, now+longest)
}
