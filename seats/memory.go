package seats

import "appleplank/logic"

const (
	// A request whose body comes slowly gives its memory up to one that needs it: first one of which nothing has arrived
	// for stallTime, then one that has taken slowTime.
	stallTime, slowTime = 100 * ms, 250 * ms
	// Requests that are still arriving get arrivingShare of the memory of requests; the rest is for those that have arrived.
	arrivingShare = 0.5
	// Answers that were cut off and whose memory is not returned yet may occupy cutShare of the memory of answers besides.
	cutShare = 0.25
	// An answer of which nothing was read for unreadTime counts as left unread.
	unreadTime = 250 * ms
	// SmallAnswer is the length of an answer, in bytes, up to which it takes no more memory than its connection has.
	SmallAnswer = 8 << 10
)

// reservation is the memory of one connection. It counts until the owner of the buffer returns it, also after the seat was
// released.
type reservation struct {
	body       int          // bytes of the buffer that its request is read into
	arriving   int          // bytes of body, while a part of the request is missing
	returning  bool         // the caller was told to drop the body
	unsent     int          // bytes
	cut        bool         // the caller was told to cut the answer off
	progressAt logic.Micros // when data was last read from the client or written to it
}

// Grant is the answer to a request for memory.
type Grant uint8

const (
	Refused Grant = iota
	Granted
	Pending // it can be granted once the evicted connections have returned their memory
)

// Progress records that data was read from the client or written to it.
func (t *Table) Progress(now logic.Micros, s *Seat) { s.memory.progressAt = now }

// ReserveBody reserves a buffer of the given size for a request that is being read, in place of the connection's present
// one; arrived tells whether all of the request has arrived. Requests of which a part is missing get arrivingShare of the
// memory. If there is not enough, requests that come slowly give up theirs: the caller must refuse them, and call FreeBody
// when their buffers are dropped. A request whose data lies unread, as unread reports, is not slow.
func (t *Table) ReserveBody(now logic.Micros, s *Seat, bytes int, arrived bool, unread func(*Seat) bool) (evicted []*Seat, grant Grant) {
	if s.Closing() {
		return nil, Refused
	}
	more := max(bytes-s.memory.body, 0)
	if t.bodyFits(more, arrived, 0) {
		t.takeBody(s, more, arrived)
		return nil, Granted
	}
	for !t.bodyFits(more, arrived, t.returningBytes) {
		slowest := t.slowestReader(now, s, unread)
		if slowest == nil {
			t.Tally.NoBody++
			return evicted, Refused
		}
		t.awaitBody(slowest)
		t.Tally.Evicted++
		evicted = append(evicted, slowest)
	}
	return evicted, Pending
}

// bodyFits reports whether there is memory for a body, if those that are being returned free some.
func (t *Table) bodyFits(bytes int, arrived bool, returning int) bool {
	if t.bodyBytes-returning+bytes > t.limits.Bodies {
		return false
	}
	return arrived || t.arrivingBytes-returning+bytes <= int(arrivingShare*float64(t.limits.Bodies))
}

// takeBody adds bytes to the body of a connection.
func (t *Table) takeBody(s *Seat, bytes int, arrived bool) {
	s.memory.body += bytes
	t.bodyBytes += bytes
	if !arrived {
		s.memory.arriving += bytes
		t.arrivingBytes += bytes
	}
	t.Tally.MostBody = max(t.Tally.MostBody, t.bodyBytes)
}

// awaitBody notes that a body that is arriving is about to be returned.
func (t *Table) awaitBody(s *Seat) {
	if !s.memory.returning {
		s.memory.returning = true
		t.returningBytes += s.memory.arriving
	}
}

// bodyArrived counts the body of a request that is complete.
func (t *Table) bodyArrived(s *Seat) {
	if s.memory.returning {
		t.returningBytes -= s.memory.arriving
		s.memory.returning = false
	}
	t.arrivingBytes -= s.memory.arriving
	s.memory.arriving = 0
}

// slowestReader returns the connection, other than s, whose request has stalled for longest, else the one that has been
// receiving its request for longest; nil if none is slow.
func (t *Table) slowestReader(now logic.Micros, s *Seat, unread func(*Seat) bool) *Seat {
	stalled, slow := t.slowReaders(now, s)
	for stalled != nil && unread(stalled) {
		t.Progress(now, stalled)
		stalled, slow = t.slowReaders(now, s)
	}
	if stalled != nil {
		return stalled
	}
	return slow
}

// slowReaders returns the connections, other than s, that have stalled and been receiving their request for longest, or nil.
func (t *Table) slowReaders(now logic.Micros, s *Seat) (stalled, slow *Seat) {
	for _, state := range [...]State{ReadingFirst, ReadingNext} {
		for x := t.lists[state].first; x != nil; x = x.next {
			if x == s || x.memory.arriving == 0 || x.memory.returning {
				continue
			}
			if now-x.memory.progressAt >= stallTime && (stalled == nil || x.memory.progressAt < stalled.memory.progressAt) {
				stalled = x
			}
			if now-x.stateSince >= slowTime && (slow == nil || x.stateSince < slow.stateSince) {
				slow = x
			}
		}
	}
	return stalled, slow
}

// KeepBody keeps bytes of the memory of a connection's body, and returns the rest.
func (t *Table) KeepBody(s *Seat, bytes int) {
	if bytes >= s.memory.body {
		return
	}
	t.bodyArrived(s)
	t.bodyBytes -= s.memory.body - bytes
	s.memory.body = bytes
}

// FreeBody returns the memory of a connection's body, whose buffer was dropped.
func (t *Table) FreeBody(s *Seat) { t.KeepBody(s, 0) }

// SetPeerRoom notes how many bytes the client's system takes while the client reads nothing. It is to be called before
// Admit for a first request, and before ReserveAnswer for more than SmallAnswer bytes.
func (t *Table) SetPeerRoom(s *Seat, bytes int) { s.peerRoom = bytes }

// ReserveAnswer reserves bytes for an answer that is about to be sent; up to SmallAnswer need none. An answer that the
// client's system takes is not held back by those that are left unread, as it soon returns its memory. Of the others, those
// on connections that have carried no other request get newcomerShare of the memory. If there is not enough, answers are cut off that are
// left unread and whose clients wait for longer than [Limits.LongestWait], first those with the most time left: the caller
// must cut them off. It returns false if there are none.
func (t *Table) ReserveAnswer(now logic.Micros, s *Seat, bytes int) (evicted []*Seat, ok bool) {
	if s.Released() {
		return nil, false
	}
	if bytes <= SmallAnswer {
		return nil, true
	}
	for !t.transitFits(s, bytes) && !t.answerFits(s, bytes) {
		unread := t.unreadAnswer(now)
		if unread == nil || !t.cutFits(unread) {
			return evicted, false
		}
		t.awaitAnswer(unread)
		t.Tally.Evicted++
		evicted = append(evicted, unread)
	}
	t.takeUnsent(s, bytes)
	return evicted, true
}

// ReserveRest reserves bytes for the rest of a small answer, which the client's system has not taken because it has left
// earlier ones unread. It returns false if there is not enough: the caller must cut the answer off.
func (t *Table) ReserveRest(s *Seat, bytes int) bool {
	if t.unsentBytes+bytes > t.limits.Unsent {
		return false
	}
	t.takeUnsent(s, bytes)
	return true
}

// takeUnsent adds bytes to the answer of a connection.
func (t *Table) takeUnsent(s *Seat, bytes int) {
	s.memory.unsent += bytes
	t.unsentBytes += bytes
	t.Tally.MostUnsent = max(t.Tally.MostUnsent, t.unsentBytes+t.cutBytes)
}

// cutFits reports whether an answer may be cut off although those that were cut off before occupy memory yet. One always may.
func (t *Table) cutFits(s *Seat) bool {
	return t.cutBytes == 0 || t.cutBytes+s.memory.unsent <= int(cutShare*float64(t.limits.Unsent))
}

// awaitAnswer notes that the answer of a connection is cut off and about to return its memory.
func (t *Table) awaitAnswer(s *Seat) {
	if !s.memory.cut {
		s.memory.cut = true
		t.unsentBytes -= s.memory.unsent
		t.cutBytes += s.memory.unsent
	}
}

// transitFits reports whether there is memory for an answer that the client's system takes.
func (t *Table) transitFits(s *Seat, bytes int) bool {
	return bytes <= s.peerRoom && t.unsentBytes+bytes <= t.limits.Unsent+t.limits.Transit
}

// answerFits reports whether there is memory for an answer.
func (t *Table) answerFits(s *Seat, bytes int) bool {
	if t.unsentBytes+bytes > t.limits.Unsent {
		return false
	}
	if !s.newcomer() {
		return true
	}
	_, newcomers := t.newcomersAnswers()
	return newcomers+bytes <= int(newcomerShare*float64(t.limits.Unsent))
}

// unreadAnswer returns the connection that is to give up the memory of its answer, or nil.
func (t *Table) unreadAnswer(now logic.Micros) (unread *Seat) {
	for x := t.lists[Sending].first; x != nil; x = x.next {
		if x.memory.unsent > 0 && !x.memory.cut && t.makesRoom(now, x) && (unread == nil || x.waitsUntil > unread.waitsUntil) {
			unread = x
		}
	}
	return unread
}

// makesRoom reports whether an answer that is being sent may be cut off where its memory or connection is needed: it is left
// unread, and its client names a time that no client is taken to wait.
func (t *Table) makesRoom(now logic.Micros, s *Seat) bool {
	return t.waitsTooLong(s) && now-s.memory.progressAt >= unreadTime
}

// waitsTooLong reports whether the client names a time that no client is taken to wait.
func (t *Table) waitsTooLong(s *Seat) bool {
	return t.limits.LongestWait > 0 && s.waitsUntil-s.admittedAt > t.limits.LongestWait
}

// KeepAnswer keeps bytes of the memory that was reserved for the answer, and returns the rest.
func (t *Table) KeepAnswer(s *Seat, bytes int) {
	returned := max(s.memory.unsent-bytes, 0)
	s.memory.unsent -= returned
	if s.memory.cut {
		t.cutBytes -= returned
	} else {
		t.unsentBytes -= returned
	}
	s.memory.cut = s.memory.cut && s.memory.unsent > 0
}

// Bytes returns the number of bytes that are reserved.
func (t *Table) Bytes() int { return t.bodyBytes + t.unsentBytes + t.cutBytes }
