package seats

import (
	"math/rand/v2"
	"testing"

	"appleplank/logic"
)

func TestWhoLosesItsSeat(t *testing.T) {
	table := New(Limits{Seats: 4, Bodies: 100})
	take := func(now logic.Micros, name string) (*Seat, *Seat) { return table.Take(now, name) }
	open, _ := take(1, "open")
	idle, _ := take(2, "idle")
	slow, _ := take(3, "slow")
	silent, _ := take(4, "silent")
	table.Move(5, open, Open)
	table.Move(6, idle, Idle)
	table.Move(7, slow, Speaking)
	for _, want := range []*Seat{silent, slow, idle} {
		s, out := take(10+sec, "usual")
		if s == nil || out != want {
			t.Fatalf("out is %v, want %v", out, want)
		}
		table.Move(10+sec, s, Open)
	}
	if s, out := take(11+sec, "late"); s != nil || out != nil {
		t.Fatal("all others are in service, yet one was taken")
	}
	if table.Taken() != 4 || table.Tally.Turned != 1 || table.Tally.Displaced != 3 {
		t.Fatalf("%d taken, %+v", table.Taken(), table.Tally)
	}
}

// One that came a moment ago may have asked already: those idle for long go before it, not the other way round.
func TestUnreadIsNotSpeechless(t *testing.T) {
	table := New(Limits{Seats: 2, Bodies: 100})
	idle, _ := table.Take(0, "idle")
	table.Move(0, idle, Idle)
	fresh, _ := table.Take(3*sec, "fresh")
	if _, out := table.Take(3*sec+ms, "next"); out != idle {
		t.Fatal("an unread one lost its seat to save one idle for long")
	}
	if _, out := table.Take(3*sec+2*ms, "more"); out != fresh {
		t.Fatal("with none idle the oldest speechless goes")
	}
}

// Clients that ask once and stay, ten a second, never fill a third of the descriptors (the seats are half of them).
func TestThoseWhoAskOnceAndStay(t *testing.T) {
	table := New(Limits{Seats: 128, Bodies: 100})
	for now := logic.Micros(0); now < 60*sec; now += 90 * ms {
		s, _ := table.Take(now, nil)
		table.Move(now, s, Open)
		table.Move(now+ms, s, Idle)
		for s := table.Overdue(now); s != nil; s = table.Overdue(now) {
			table.Leave(s)
		}
		if table.Taken() > 64 {
			t.Fatalf("%d seats taken", table.Taken())
		}
	}
}

// No more requests are held than the settings allow, however many seats there are.
func TestOpenLimit(t *testing.T) {
	table := New(Limits{Seats: 10, Open: 2})
	var all []*Seat
	for i := range 4 {
		s, _ := table.Take(0, nil)
		if _, ok := table.Ask(0, s, 1); ok != (i < 2) {
			t.Fatalf("request %d: %v", i, ok)
		}
		all = append(all, s)
	}
	table.Move(0, all[0], Idle)
	if _, ok := table.Ask(0, all[2], 1); !ok {
		t.Fatal("one was answered")
	}
	table.Leave(all[3])
	if _, ok := table.Ask(0, all[3], 1); ok {
		t.Fatal("its seat is gone")
	}
}

// Who takes an answer too slowly is cut; while it is on its way nobody takes the seat.
func TestSlowReaders(t *testing.T) {
	table := New(Limits{Seats: 1})
	s, _ := table.Take(0, nil)
	table.Ask(0, s, 1)
	table.Move(sec, s, Sending)
	if got, _ := table.Take(2*sec, nil); got != nil || table.Busy() != 1 || table.Overdue(sec+takeBy-1) != nil {
		t.Fatal("it still takes its answer")
	}
	if table.Overdue(sec+takeBy) != s {
		t.Fatal("it is too slow")
	}
}

// In a rush only those who have asked before keep their connections.
func TestFirstAnswerIsTheLastInARush(t *testing.T) {
	table := New(Limits{Seats: 10, Bodies: 100})
	var all []*Seat
	for range 6 {
		s, _ := table.Take(0, nil)
		table.Move(0, s, Open)
		if all = append(all, s); table.Last(s) != (len(all) > 4) {
			t.Fatalf("%d taken: %v", len(all), table.Last(s))
		}
	}
	table.Move(1, all[0], Idle)
	table.Move(2, all[0], Open)
	if table.Last(all[0]) {
		t.Fatal("one that has asked before")
	}
	table.Leave(all[5])
	table.Leave(all[4])
	if table.Last(all[1]) {
		t.Fatal("the rush is over")
	}
}

// Told to end, it keeps every connection that a client can still use.
func TestEndingKeepsConnections(t *testing.T) {
	table := New(Limits{Seats: 4, Bodies: 100})
	var s *Seat
	for range 4 {
		s, _ = table.Take(0, nil)
		table.Move(0, s, Open)
	}
	if !table.Last(s) {
		t.Fatal("a rush")
	}
	if table.Ending(); table.Last(s) {
		t.Fatal("its client cannot get another")
	}
	table.Move(0, s, Idle)
	if table.Overdue(100*sec) != nil {
		t.Fatal("an idle one was closed")
	}
}

// A crowd that says nothing costs those that ask nothing, however large it is.
func TestCrowdStarvesNoUsualClient(t *testing.T) {
	table := New(Limits{Seats: 20, Bodies: 100})
	var usual []*Seat
	for i := range 10 {
		s, _ := table.Take(logic.Micros(i), "usual")
		table.Move(logic.Micros(i), s, Open)
		usual = append(usual, s)
	}
	for i := range 1000 {
		if s, _ := table.Take(logic.Micros(100+i), "crowd"); s == nil {
			t.Fatal("turned away")
		}
		if i%100 == 0 {
			s, _ := table.Take(logic.Micros(100+i), "new")
			if s == nil {
				t.Fatal("a usual client was turned away")
			}
			table.Move(logic.Micros(100+i), s, Open)
			table.Leave(s)
		}
	}
	for _, s := range usual {
		if s.Gone() {
			t.Fatal("one in service lost its seat")
		}
	}
}

func TestOverdue(t *testing.T) {
	table := New(Limits{Seats: 100, Bodies: 100})
	silent, _ := table.Take(0, nil)
	speaking, _ := table.Take(1, nil)
	table.Move(2*sec, speaking, Speaking) // its time counts from when it came all the same
	open, _ := table.Take(0, nil)
	table.Move(0, open, Open)
	idle, _ := table.Take(0, nil)
	table.Move(0, idle, Idle)
	if s := table.Overdue(speakBy - 1); s != nil {
		t.Fatal("too early")
	}
	for _, c := range []struct {
		at   logic.Micros
		want *Seat
	}{{speakBy, silent}, {1 + speakBy, speaking}, {idleMost, idle}} {
		s := table.Overdue(c.at)
		if s != c.want {
			t.Fatalf("at %d: %+v", c.at, s)
		}
		table.Leave(s)
	}
	if s := table.Overdue(1000 * sec); s != nil {
		t.Fatal("a request that is held is never overdue")
	}
	// Where seats are scarce idle ones go sooner.
	table = New(Limits{Seats: 10, Bodies: 100})
	for range 3 {
		s, _ := table.Take(0, nil)
		table.Move(0, s, Idle)
	}
	if table.Overdue(idleLeast) == nil {
		t.Fatal("crowded, yet idle ones stay")
	}
}

func TestInstantRepeats(t *testing.T) {
	table := New(Limits{Seats: 10, Bodies: 100})
	s, _ := table.Take(0, nil)
	if table.rest(0, s, 7) != 0 {
		t.Fatal("the first one rests")
	}
	table.Refused(10, s, 7)
	now := logic.Micros(10 + ms)
	want := firstRest
	for range 20 {
		rest := table.rest(now, s, 7)
		if rest != want {
			t.Fatalf("rest %d, want %d", rest, want)
		}
		table.Refused(now, s, 7)
		now += rest + ms // it is listened to again, and is back at once
		want = min(2*want, mostRest)
	}
	if table.rest(now+atOnce, s, 7) != 0 {
		t.Fatal("one that waited rests")
	}
	table.Refused(now, s, 7)
	if table.rest(now, s, 8) != 0 {
		t.Fatal("another request rests")
	}
}

// Whatever happens in whatever order, seats and room for bodies add up.
func TestSeatsAddUp(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := New(Limits{Seats: 30, Bodies: 1000})
	var held []*Seat
	now := logic.Micros(0)
	for range 20000 {
		now += logic.Micros(rng.Int64N(int64(50 * ms)))
		if s, _ := table.Take(now, nil); s != nil && rng.IntN(2) == 0 {
			held = append(held, s)
		}
		if len(held) > 0 {
			i := rng.IntN(len(held))
			switch s := held[i]; rng.IntN(6) {
			case 0:
				table.Leave(s)
				held = append(held[:i], held[i+1:]...)
			case 1:
				table.Hold(s, rng.IntN(100))
			case 2:
				table.Free(s)
			default:
				table.Move(now, s, State(rng.IntN(int(states))))
			}
		}
		for s := table.Overdue(now); s != nil; s = table.Overdue(now) {
			table.Leave(s)
		}
		body := 0
		all := table.All()
		for _, s := range all {
			body += s.body
		}
		for _, s := range held {
			if s.Gone() {
				body += s.body
			}
		}
		if len(all) != table.Taken() || table.Taken() > table.limits.Seats || body > table.limits.Bodies || table.held > table.limits.Bodies {
			t.Fatalf("%d in lists, %d taken, %d bytes, %d held", len(all), table.Taken(), body, table.held)
		}
	}
	for _, s := range table.All() {
		table.Leave(s)
	}
	for _, s := range held {
		table.Free(s)
	}
	if table.Taken() != 0 || table.held != 0 {
		t.Fatal(table.Taken(), table.held)
	}
}

// While the process ends, held requests leave some of the connections free, and none of those that nobody will use
// again is counted on: the moment that all are in use is the last that is heard of the clients.
func TestRoomWhileEnding(t *testing.T) {
	table := New(Limits{Seats: 100, Held: 20})
	for i := range 40 {
		s, _ := table.Take(0, i)
		switch {
		case i < 8:
			table.Ask(0, s, 1) // open
		case i < 20: // have asked again and again
			table.Ask(0, s, 1)
			table.Move(0, s, Idle)
			table.Ask(0, s, 1)
			table.Move(0, s, Idle)
		case i < 30: // have asked once
			table.Ask(0, s, 1)
			table.Move(0, s, Idle)
		}
	}
	if n := table.Room(0); n != 20 {
		t.Fatalf("room %d while new connections may come", n)
	}
	table.Ending()
	if n := table.Room(staysAfter - 1); n != 20 { // 25 of 30 connections, and the bound
		t.Errorf("room %d", n)
	}
	if n := table.Room(staysAfter); n != 17 { // of 20
		t.Errorf("room %d where ten have asked once", n)
	}
	for _, s := range table.All() {
		table.Leave(s)
	}
	if n := table.Room(staysAfter); n != 1 {
		t.Errorf("room %d with no connection", n)
	}
}
