package seats

const (
	// Answers that newcomers have not read may take newcomerShare of the memory of answers. While they take
	// newcomerMemory of it, or newcomerSeats of the seats where more than shortShare of these are in use, further newcomers
	// are refused.
	newcomerShare, newcomerMemory = 0.5, 0.4
	newcomerSeats, shortShare     = 0.25, 0.6
)

// newcomer reports whether the connection has carried no request before the current one.
func (s *Seat) newcomer() bool { return s.requests <= 1 }

// newcomersAnswers returns the number and the bytes of the answers that newcomers are slow to read, but for those that make
// room.
func (t *Table) newcomersAnswers() (answers, bytes int) {
	for s := t.lists[Sending].first; s != nil; s = s.next {
		if s.newcomer() && !t.waitsTooLong(s) {
			answers++
			bytes += s.memory.unsent
		}
	}
	return answers, bytes
}

// refusesNewcomers reports whether a first request on s is refused, because other newcomers leave their answers unread. It
// keeps a crowd of them from taking the seats and the memory of clients that go on using their connections. Who can leave no
// answer unread, as its system takes the longest one, is not refused.
func (t *Table) refusesNewcomers(s *Seat) bool {
	if t.lists[Sending].length == 0 || t.takesLongestAnswer(s) {
		return false
	}
	answers, bytes := t.newcomersAnswers()
	seatsShort := t.fuller(shortShare) && float64(answers) >= newcomerSeats*float64(t.limits.Seats)
	memoryShort := bytes > 0 && float64(bytes) >= newcomerMemory*float64(t.limits.Unsent)
	return seatsShort || memoryShort
}

// takesLongestAnswer reports whether the client's system takes any answer.
func (t *Table) takesLongestAnswer(s *Seat) bool {
	return t.limits.LongestAnswer > 0 && s.peerRoom >= t.limits.LongestAnswer
}
