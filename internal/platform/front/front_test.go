package front

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/leave"
	"appleplank/logic"
	"appleplank/seats"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

const sec logic.Micros = 1000 * 1000

// hand is a taker that leaves every choice, and the clock, to the test.
type hand struct {
	clock atomic.Int64
	took  chan *core.Request
	gone  chan *core.Request
	end   chan logic.Micros
}

func (h *hand) Now() logic.Micros    { return logic.Micros(h.clock.Load()) }
func (h *hand) Take(r *core.Request) { h.took <- r }
func (h *hand) Gone(r *core.Request) { h.gone <- r }
func (h *hand) Room(int)             {}
func (h *hand) End(by logic.Micros)  { h.end <- by }
func (h *hand) pass(d logic.Micros)  { h.clock.Add(int64(d)) }

// bed is a front on a real listener.
type bed struct {
	*testing.T
	*hand
	f    *Front
	addr string
}

func newBed(t *testing.T) *bed {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newBedOn(t, l)
}

func newBedOn(t *testing.T, l net.Listener) *bed {
	h := &hand{took: make(chan *core.Request, 100), gone: make(chan *core.Request, 100), end: make(chan logic.Micros, 1)}
	h.pass(1000 * sec)
	s := &Service{Classes: map[string]int{"look": 0, "save": 1}, Plans: map[string]int{"gold": 0, "thin": 1},
		Repeat: []logic.Repeat{logic.Retryable, logic.Dedup}, Cells: 4, Health: "/_health"}
	b := &bed{T: t, hand: h, f: New(l, s, h, seats.New(seats.Limits{Seats: 20, Bodies: 1 << 20}), leave.New(3*sec), zap.NewNop()), addr: l.Addr().String()}
	served := make(chan error, 1)
	go func() { served <- b.f.Serve() }()
	t.Cleanup(func() {
		b.f.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		if n := len(b.f.open); n != 0 || b.f.seats.Taken() != 0 {
			t.Errorf("%d ids, %d seats are held after the end", n, b.f.seats.Taken())
		}
	})
	return b
}

// user is a client's connection.
type user struct {
	*net.TCPConn
	t *testing.T
	r *http1.Reader
}

func (b *bed) dial() *user {
	b.Helper()
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return &user{c.(*net.TCPConn), b.T, http1.NewReader(c)}
}

func (u *user) send(text string) {
	u.t.Helper()
	if _, err := io.WriteString(u, text); err != nil {
		u.t.Fatal(err)
	}
}

// answer wants an answer of that status, and gives its body.
func (u *user) answer(status int) (string, *http1.Message) {
	u.t.Helper()
	m := new(http1.Message)
	if err := u.r.Answer(m); err != nil || m.Status != status {
		u.t.Fatalf("status %d, %v; want %d", m.Status, err, status)
	}
	return string(m.Body), m
}

// ended wants the end of the connection without a reset.
func (u *user) ended() {
	u.t.Helper()
	if err := u.r.Wait(); err != io.EOF {
		u.t.Fatalf("the connection ends with %v", err)
	}
}

func ask(id, body string) string {
	return fmt.Sprintf("PUT /look/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: look\r\nX-Storage-Class: gold\r\n"+
		"Request-Timeout: 2000m\r\nX-Extent: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (b *bed) taken() *core.Request {
	b.Helper()
	select {
	case r := <-b.took:
		return r
	case <-time.After(20 * time.Second):
		b.Fatal("never taken")
		return nil
	}
}

func (b *bed) left() *core.Request {
	b.Helper()
	select {
	case r := <-b.gone:
		return r
	case <-time.After(20 * time.Second):
		b.Fatal("its client has left, and nobody noticed")
		return nil
	}
}

// none wants that nothing was taken.
func (b *bed) none() {
	b.Helper()
	select {
	case r := <-b.took:
		b.Fatalf("%s was taken", r.ID)
	default:
	}
}

func (b *bed) serve(r *core.Request, body string) {
	r.Front.Answer(b.Now(), r, core.Answer{Verdict: core.Served, Body: []byte(body)})
}

func (b *bed) until(what string, f func() bool) {
	b.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		b.f.mu.Lock()
		ok := f()
		b.f.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(end) {
			b.Fatal("never: " + what)
		}
	}
}

// only gives the one client that is connected.
func (b *bed) only() *client {
	b.f.mu.Lock()
	defer b.f.mu.Unlock()
	all := b.f.seats.All()
	if len(all) != 1 {
		b.Fatalf("%d connections", len(all))
	}
	return all[0].Owner.(*client)
}

// A client that closes or resets while its request waits is noticed, also one that has sent more by then: its next
// request, many, or a part of one. Reading stopped at the first byte behind the request, so that a close behind it
// was never seen.
func TestLeavesWhileItWaits(t *testing.T) {
	for name, more := range map[string]string{"alone": "", "a byte": "P", "half a request": ask("2", "x")[:60], "the next": ask("2", "x"),
		"many": strings.Repeat(ask("3", "data"), 500), "a flood": strings.Repeat("x", mostEarly+1)} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset ", reset), func(t *testing.T) {
				b := newBed(t)
				u := b.dial()
				u.send(ask("1", "x"))
				r := b.taken()
				c := b.only()
				if more != "" {
					u.send(more)
					b.until("the bytes behind it were noticed", func() bool { return c.ending })
				}
				if reset {
					u.SetLinger(0)
				}
				u.Close()
				if g := b.left(); g != r {
					t.Fatal("another one is said to have left")
				}
				b.none()
				r.Front.Answer(b.Now(), r, core.Answer{Verdict: core.Failed})
				b.until("its seat is free", func() bool { return b.f.seats.Taken() == 0 })
			})
		}
	}
}

// A request whose client has closed before it is read whole, as one may that rests, is not taken at all.
func TestLeftBeforeItIsRead(t *testing.T) {
	b := newBed(t)
	u := b.dial()
	u.send(ask("0", "x"))
	b.serve(b.taken(), "")
	u.answer(200)
	b.f.mu.Lock() // it reads nothing while both come
	u.send(ask("1", "x"))
	u.Close()
	b.f.mu.Unlock()
	b.until("its seat is free", func() bool { return b.f.seats.Taken() == 0 })
	b.none()
}

// A final answer is read whole whatever its client has sent behind the request, and the end of the connection says that
// this was not taken: a close over unread bytes would reset it, and the answer with it.
func TestAnswerOverUnreadBytes(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 4<<10)
	for name, more := range map[string]string{"a byte": "x", "a request": ask("2", "x"), "a lot": strings.Repeat("x", 40<<10)} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			u := b.dial()
			u.send(ask("1", "x"))
			r := b.taken()
			c := b.only()
			u.send(more)
			b.until("the bytes behind it were noticed", func() bool { return c.ending })
			b.serve(r, body)
			u.send(more) // and still more as it is answered
			if got, m := u.answer(200); got != body || !m.Close {
				t.Fatalf("%d bytes, close %v", len(got), m.Close)
			}
			u.ended()
			b.none()
		})
	}
}

// What is told to end, by its own wish or a rejection, is drained too.
func TestRejectionIsRead(t *testing.T) {
	for name, text := range map[string]string{
		"body behind":   strings.Replace(ask("1", "x"), "/look/", "/none/", 1) + strings.Repeat("x", 60<<10),
		"long body":     strings.Replace(ask("1", strings.Repeat("x", 70<<10)), "x", "x", 1),
		"noise, a lot":  strings.Repeat("\x01", 60<<10),
		"pipelined":     ask("1", "x") + ask("2", "x"),
		"both lengths":  strings.Replace(ask("1", "x"), "Host", "Transfer-Encoding: chunked\r\nHost", 1),
		"wants to know": strings.Replace(ask("1", "x"), "Host", "Expect: 100-continue\r\nHost", 1),
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			u := b.dial()
			u.send(text)
			m := new(http1.Message)
			if err := u.r.Answer(m); err != nil || m.Status < 400 || m.Status > 499 {
				t.Fatalf("status %d, %v", m.Status, err)
			}
			u.ended()
			b.none()
		})
	}
}

// idle gives a client that has been answered and rests, with its connection overdue.
func (b *bed) idle() (*user, *client) {
	u := b.dial()
	u.send(ask("0", "x"))
	b.serve(b.taken(), "")
	u.answer(200)
	c := b.only()
	b.pass(11 * sec)
	return u, c
}

// An idle connection is ended in the moment its next request comes. Either it was read before, then it is served, or
// nothing of it is taken and the connection ends with no answer.
func TestIdleCloseCrossesARequest(t *testing.T) {
	t.Run("bytes wait", func(t *testing.T) {
		b := newBed(t)
		u := b.dial()
		for i, met := 0, false; !met; i++ { // a client that comes back at once is not listened to for a while
			u.send(ask(fmt.Sprint(i), "x"))
			r := b.taken()
			r.Front.Answer(b.Now(), r, core.Answer{Verdict: core.Refused})
			u.answer(503)
			c := b.only()
			b.f.mu.Lock()
			u.send(ask("next", "x"))
			if met = c.conn.Waiting(); met {
				b.pass(11 * sec)
				b.f.endOverdue(b.Now())
			}
			b.f.mu.Unlock()
			b.serve(b.taken(), "yes")
			if got, m := u.answer(200); got != "yes" || m.Close {
				t.Fatal(got, m.Close)
			}
		}
	})
	t.Run("its reader is about to read", func(t *testing.T) {
		// Bytes that were read before the end are owed an answer. A reader that had them in hand and waited for the
		// lock while the connection was ended threw them away: found by a trace of a short day.
		for range 50 {
			b := newBed(t)
			u, _ := b.idle()
			b.f.mu.Lock()
			u.send(ask("9", "x"))
			b.f.endOverdue(b.Now())
			b.f.mu.Unlock()
			b.serve(b.taken(), "yes")
			u.answer(200)
		}
	})
	t.Run("at the end of the process", func(t *testing.T) {
		for range 20 {
			b := newBed(t)
			u, _ := b.idle()
			b.f.mu.Lock()
			b.f.last = true // as Over has found
			u.send(ask("9", "x"))
			closed := make(chan struct{})
			go func() { b.f.Close(); close(closed) }() // waits for the lock, as its reader does
			b.f.mu.Unlock()
			u.answer(503)
			<-closed
		}
	})
	t.Run("comes after it", func(t *testing.T) {
		b := newBed(t)
		u, _ := b.idle()
		b.f.sweep()
		u.send(ask("9", "x"))
		u.ended()
		u.Close()
		b.until("its seat is free", func() bool { return b.f.seats.Taken() == 0 })
		b.none()
	})
	t.Run("half of it before", func(t *testing.T) {
		b := newBed(t)
		u, c := b.idle()
		u.send(ask("9", "x")[:50])
		b.until("it speaks", func() bool { return c.seat.State() == seats.Resuming })
		b.f.sweep()
		u.send(ask("9", "x")[50:])
		b.serve(b.taken(), "yes")
		u.answer(200)
	})
}

// A request in pieces of any size, each behind the other, is served; a close at any byte of it is none.
func TestPieces(t *testing.T) {
	b := newBed(t)
	text := ask("1", "some data")
	u := b.dial()
	for i := range text {
		u.send(text[i : i+1])
	}
	r := b.taken()
	if string(r.Body) != "some data" {
		t.Fatalf("%q", r.Body)
	}
	b.serve(r, "yes")
	u.answer(200)
	for at := range text {
		u := b.dial()
		u.send(text[:at])
		u.Close()
	}
	b.until("all others are gone", func() bool { return b.f.seats.Taken() == 1 })
	b.none()
}

// While the process ends: what comes before is served, in its last moments refused, and nothing is cut unanswered that
// was read or could be. Each stage is set by the clock, not by waiting.
func TestStagesOfTheEnd(t *testing.T) {
	b := newBed(t)
	users := map[string]*user{}
	for _, name := range []string{"early", "late", "held", "rests", "half", "idle", "crosses"} {
		u := b.dial()
		u.send(ask(name+"0", "x"))
		b.serve(b.taken(), "")
		u.answer(200)
		users[name] = u
	}
	// One that was refused again and again rests, with its next request unread.
	u := users["rests"]
	for i := range 7 {
		u.send(ask(fmt.Sprint("rests", i), "x"))
		r := b.taken()
		r.Front.Answer(b.Now(), r, core.Answer{Verdict: core.Refused})
		u.answer(503)
	}
	users["held"].send(ask("held1", "x"))
	held := b.taken()
	b.f.Drain()
	by := <-b.end
	if by <= b.Now()+3*sec || by >= b.Now()+3*sec+700_000 {
		t.Fatalf("answers must have left %d us after it was told", by-b.Now())
	}
	u.send(ask("rests9", "x")) // it is read at once now
	b.serve(b.taken(), "woken")
	u.answer(200)
	users["early"].send(ask("early1", "x"))
	r := b.taken()
	if r.Left > by-b.Now() {
		t.Fatal("it may take longer than there is time")
	}
	b.serve(r, "still")
	if _, m := users["early"].answer(200); m.Close {
		t.Fatal("its connection ends before its time")
	}
	if b.f.Over() {
		t.Fatal("over with a request held")
	}
	b.pass(by - b.Now() - 10_000) // shortly before
	b.serve(held, "held")
	if _, m := users["held"].answer(200); !m.Close {
		t.Fatal("it is not told that the connection ends")
	}
	users["late"].send(ask("late1", "x"))
	users["late"].answer(503)
	users["half"].send(ask("half1", "x")[:70])
	b.until("it speaks", func() bool { return b.f.seats.Busy() == 1 })
	b.pass(20_000)
	if b.f.Over() {
		t.Fatal("over in the middle of a request")
	}
	b.pass(100_000)
	if !b.f.Over() {
		t.Fatal("not over when it must be")
	}
	done := make(chan struct{})
	go func() { b.f.Close(); close(done) }()
	users["idle"].ended()
	users["half"].answer(503)
	// Its next request crosses the end of its connection, so it is sent again on a new one.
	users["crosses"].ended()
	if c, err := net.Dial("tcp", b.addr); err == nil {
		again := &user{c.(*net.TCPConn), t, http1.NewReader(c)}
		defer c.Close()
		if _, err := io.WriteString(c, ask("crosses1", "x")); err == nil {
			if m := new(http1.Message); again.r.Answer(m) == nil && m.Status != 503 {
				t.Errorf("status %d", m.Status)
			}
		}
	}
	<-done
	b.none()
}

// Many clients with classes, plans, keys and bodies of their own, on connections that are used again: each request has
// what its client wrote and nothing of another's, until it is answered.
func TestNothingOfAnother(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("all", func(t *testing.T) {
		b := newBed(t)
		const clients, each = 8, 60
		done := make(chan struct{}, clients)
		for n := range clients {
			u := b.dial()
			go func() {
				defer func() { done <- struct{}{} }()
				for i := range each {
					class, plan := [...]string{"look", "save"}[(n+i)%2], [...]string{"gold", "thin"}[(n/2+i)%2]
					id := fmt.Sprintf("id-%d-%d", n, i)
					body := strings.Repeat(id+".", 1+i*7%400)
					key := ""
					if class == "save" {
						key = "Idempotency-Key: key-" + id + "\r\n"
					}
					text := fmt.Sprintf("PUT /%s/%016x HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Storage-Class: %s\r\n%s"+
						"Request-Timeout: %dm\r\nX-Extent: volume=%016x,units=%d,shard=%d,hosts=%d\r\nContent-Length: %d\r\n\r\n%s",
						class, n*1000+i, id, class, plan, key, 1000+n, 7000+n, 1+i%5, i%4, 1+n%3, len(body), body)
					if _, err := io.WriteString(u, text); err != nil {
						t.Error(err)
						return
					}
					m := new(http1.Message)
					if err := u.r.Answer(m); err != nil || string(m.Body) != "for "+id {
						t.Errorf("%s: %v %q", id, err, m.Body)
						return
					}
				}
			}()
		}
		var open []*core.Request
		answer := func(r *core.Request) {
			var n, i int
			if _, err := fmt.Sscanf(string(r.ID), "id-%d-%d", &n, &i); err != nil {
				t.Fatalf("%q", r.ID)
			}
			id := string(r.ID)
			want := core.Request{Class: (n + i) % 2, Plan: (n/2 + i) % 2, Cell: i % 4, Block: uint64(n*1000 + i), Volume: logic.VolumeID(7000 + n),
				Attached: float64(1 + n%3), Units: float64(1 + i%5), Left: logic.Micros(1000+n) * 1000}
			key := ""
			if want.Class == 1 {
				key = "key-" + id
			}
			if r.Class != want.Class || r.Plan != want.Plan || r.Cell != want.Cell || r.Block != want.Block || r.Volume != want.Volume ||
				r.Attached != want.Attached || r.Units != want.Units || r.Left != want.Left || string(r.Once) != key ||
				!bytes.Equal(r.Body, []byte(strings.Repeat(id+".", 1+i*7%400))) {
				t.Errorf("%s: %+v", id, r)
			}
			b.serve(r, "for "+id)
		}
		for range clients * each { // answered in another order than they came
			open = append(open, b.taken())
			for len(b.took) > 0 {
				open = append(open, <-b.took)
			}
			for len(open) > 0 {
				answer(open[len(open)-1])
				open = open[:len(open)-1]
			}
			if len(done) == clients {
				break
			}
			if b.f.Tally().Taken == clients*each && len(b.took) == 0 {
				break
			}
		}
		for range clients {
			<-done
		}
	})
}

// short is a listener that has no descriptors left for a while.
type short struct {
	net.Listener
	left  atomic.Int64
	asked atomic.Int64
}

func (l *short) Accept() (net.Conn, error) {
	l.asked.Add(1)
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Out of descriptors, it goes on asking, with pauses, and serves who comes next.
func TestAcceptFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &short{Listener: l}
	s.left.Store(5)
	b := newBedOn(t, s)
	u := b.dial()
	u.send(ask("1", "x"))
	b.serve(b.taken(), "yes")
	u.answer(200)
	if n := s.asked.Load(); n < 6 || n > 8 {
		t.Fatalf("asked %d times for two connections and five failures", n)
	}
}
