package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"appleplank/internal/drive"
	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/logic"

	"go.uber.org/goleak"
)

const sec logic.Micros = 1000 * 1000

// end is how an attempt ended.
type end struct {
	a    *core.Attempt
	res  core.Result
	body string
}

// hand is a sink that leaves the clock to the test, and uses an attempt's end when the test says so.
type hand struct {
	clock atomic.Int64
	ended chan end
}

func (h *hand) Now() logic.Micros { return logic.Micros(h.clock.Load()) }
func (h *hand) Ended(a *core.Attempt, res core.Result) {
	h.ended <- end{a, res, string(res.Body)}
}

// bed is a back with one target whose connections the test holds, and that come up when it says so.
type bed struct {
	*testing.T
	*hand
	b     *Back
	place core.Place
	l     net.Listener
	conns chan *net.TCPConn // as they come up
	dials chan chan struct{}
}

func newBed(t *testing.T, late bool) *bed {
	t.Helper()
	return newBedAt(t, late, net.ListenConfig{})
}

func newBedAt(t *testing.T, late bool, listen net.ListenConfig) *bed {
	t.Helper()
	before := goleak.IgnoreCurrent()
	l, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &hand{ended: make(chan end, 100)}
	h.clock.Store(int64(1000 * sec))
	d := &bed{T: t, hand: h, l: l, conns: make(chan *net.TCPConn, 100), dials: make(chan chan struct{}, 100)}
	set := Settings{Most: 10, Room: 1 << 20, Idle: 30 * sec, Connect: 20 * time.Second, Fields: NewFields([]string{"waiting"})}
	if late {
		set.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			up := make(chan struct{})
			d.dials <- up
			<-up // also where the dial was given up meanwhile: it may have come up in that very moment
			return new(net.Dialer).DialContext(context.WithoutCancel(ctx), network, address)
		}
	}
	d.b = New(set, h)
	d.place = core.Place{Node: 1, Address: l.Addr().String(), Started: 5, Takes: true}
	d.b.Targets(h.Now(), []core.Place{d.place})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.SetDeadline(time.Now().Add(30 * time.Second))
			d.conns <- c.(*net.TCPConn)
		}
	}()
	t.Cleanup(func() {
		d.b.Close()
		l.Close()
		if open, idle := d.b.Open(); open != 0 || idle != 0 || len(d.b.lines) != 0 {
			t.Errorf("%d connections held at the end, %d idle", open, idle)
		}
		goleak.VerifyNone(t, before)
	})
	return d
}

func (d *bed) start(by logic.Micros) *core.Attempt { return d.startBody(by, "data") }

func (d *bed) startBody(by logic.Micros, body string) *core.Attempt {
	a := &core.Attempt{Attempt: drive.Attempt{Node: 1, Sent: d.Now(), StopAt: d.Now() + 2*sec}, By: by}
	r := &core.Request{Method: []byte("PUT"), Target: []byte("/save/7f3a9c21e0b4d655"), ID: []byte("id-1"), Once: []byte("k-1"), Body: []byte(body)}
	d.b.Start(d.Now(), a, r)
	for _, b := range [][]byte{r.Method, r.Target, r.ID, r.Once, r.Body} {
		copy(b, "################################") // it stands only for the call
	}
	return a
}

// dialled is the end of a pending dial's wait.
func (d *bed) dialled() chan struct{} {
	d.Helper()
	select {
	case up := <-d.dials:
		return up
	case <-time.After(20 * time.Second):
		d.Fatal("no connection was asked for")
		return nil
	}
}

func (d *bed) conn() *net.TCPConn {
	d.Helper()
	select {
	case c := <-d.conns:
		d.Cleanup(func() { c.Close() })
		return c
	case <-time.After(20 * time.Second):
		d.Fatal("no connection came up")
		return nil
	}
}

// read gives the next request that came on a connection.
func (d *bed) read(c net.Conn) *http1.Message {
	d.Helper()
	m := new(http1.Message)
	if err := http1.NewReader(c).Request(m); err != nil {
		d.Fatal(err)
	}
	return m
}

// outcome wants the attempt's one end.
func (d *bed) outcome(a *core.Attempt, want logic.Outcome) end {
	d.Helper()
	select {
	case e := <-d.ended:
		if e.a != a || e.res.Outcome != want {
			d.Fatalf("outcome %d, want %d", e.res.Outcome, want)
		}
		d.b.Done(d.Now(), a)
		return e
	case <-time.After(20 * time.Second):
		d.Fatal("its end never came")
		return end{}
	}
}

func served(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A connection that comes up late: its attempt tells the time that is left then, not what was left when the dial began.
func TestLateConnectionTellsWhatIsLeft(t *testing.T) {
	d := newBed(t, true)
	a := d.start(0)
	up := d.dialled()
	d.clock.Add(int64(1500 * 1000))
	close(up)
	c := d.conn()
	m := d.read(c)
	if got := string(m.Get("request-timeout")); got != "500000u" {
		t.Fatalf("it tells %s of the 500 ms that are left", got)
	}
	if string(m.Method) != "PUT" || string(m.Target) != "/save/7f3a9c21e0b4d655" || string(m.Get("request-id")) != "id-1" ||
		string(m.Get("idempotency-key")) != "k-1" || string(m.Body) != "data" {
		t.Fatalf("%s %s %q", m.Method, m.Target, m.Body)
	}
	io.WriteString(c, served("yes"))
	if e := d.outcome(a, logic.OK); e.body != "yes" {
		t.Fatal(e.body)
	}
}

// One that comes up when its attempt has nothing to do there any more sends nothing, and says nothing of its target.
func TestLateConnectionSendsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(d *bed, a *core.Attempt)
		want      logic.Outcome
	}{
		"client left":  {func(d *bed, a *core.Attempt) { d.b.Recall(a) }, logic.Moot},
		"timed out":    {func(d *bed, a *core.Attempt) { d.b.Drop(a) }, logic.ConnectFailed},
		"its time up":  {func(d *bed, a *core.Attempt) { d.clock.Add(int64(2 * sec)) }, logic.Moot},
		"forgotten":    {func(d *bed, a *core.Attempt) { d.clock.Add(int64(sec)) }, logic.Moot},
		"drains":       {func(d *bed, a *core.Attempt) { d.move(func(p *core.Place) { p.Takes = false }) }, logic.Moot},
		"moved":        {func(d *bed, a *core.Attempt) { d.move(func(p *core.Place) { p.Address = "127.0.0.1:9" }) }, logic.Moot},
		"new start":    {func(d *bed, a *core.Attempt) { d.move(func(p *core.Place) { p.Started++ }) }, logic.Moot},
		"other shard":  {func(d *bed, a *core.Attempt) { d.move(func(p *core.Place) { p.Cell++ }) }, logic.Moot},
		"gone":         {func(d *bed, a *core.Attempt) { d.b.Targets(d.Now(), nil) }, logic.Moot},
		"back in time": {func(d *bed, a *core.Attempt) { d.b.Targets(d.Now(), nil); d.move(func(*core.Place) {}) }, logic.OK},
	} {
		t.Run(name, func(t *testing.T) {
			d := newBed(t, true)
			a := d.start(d.Now() + sec)
			up := d.dialled()
			c.meanwhile(d, a)
			close(up)
			conn := d.conn()
			if c.want == logic.OK {
				d.read(conn)
				io.WriteString(conn, served("yes"))
				d.outcome(a, logic.OK)
				return
			}
			if b, err := io.ReadAll(conn); len(b) > 0 {
				t.Fatalf("it sent %q, %v", b, err)
			}
			d.outcome(a, c.want)
		})
	}
}

func (d *bed) move(change func(*core.Place)) {
	p := d.place
	change(&p)
	d.b.Targets(d.Now(), []core.Place{p})
}

// An attempt that has left whole is not called back: its target works on it anyway, and the connection can be kept.
func TestRecallLeavesWhatWasSent(t *testing.T) {
	d := newBed(t, false)
	a := d.start(0)
	c := d.conn()
	d.read(c)
	d.b.Recall(a)
	io.WriteString(c, served("yes"))
	d.outcome(a, logic.OK)
	if _, idle := d.b.Open(); idle != 1 {
		t.Fatal("its connection is not kept")
	}
}

// rested gives a connection that has had an answer and waits for its next request for so long.
func (d *bed) rested(pause logic.Micros) *net.TCPConn {
	d.Helper()
	a := d.start(0)
	c := d.conn()
	d.read(c)
	io.WriteString(c, served("first"))
	d.outcome(a, logic.OK)
	d.clock.Add(int64(pause))
	return c
}

// What comes on a connection that rests, in the moment the next request is given to it or just before, is never taken
// for that request's answer: it goes over another connection.
func TestBytesAtTheWrongTime(t *testing.T) {
	for name, bytes := range map[string]string{"half a line": "HTTP/1.1 20", "a second answer": served("stray"), "an end": "", "noise": "\x00\xff"} {
		t.Run(name, func(t *testing.T) {
			for range 30 {
				d := newBed(t, false)
				c := d.rested(50_000)
				if bytes == "" {
					c.CloseWrite()
				} else {
					io.WriteString(c, bytes)
				}
				a := d.start(0) // its reader may have the bytes or not
				other := d.conn()
				d.read(other)
				io.WriteString(other, served("second"))
				if e := d.outcome(a, logic.OK); e.body != "second" {
					t.Fatalf("%q", e.body)
				}
			}
		})
	}
}

// A second answer that comes some milliseconds after the first: its connection has not been used again by then.
func TestLateSecondAnswer(t *testing.T) {
	d := newBed(t, false)
	c := d.rested(15_000)
	second := d.start(0)
	io.WriteString(c, served("first")) // once more
	other := d.conn()
	d.read(other)
	io.WriteString(other, served("second"))
	if e := d.outcome(second, logic.OK); e.body != "second" {
		t.Fatalf("%q", e.body)
	}
}

// A connection that breaks before, at or after the last byte of its request: what cannot have run is told from what may
// have, also inside an answer of no told length.
func TestWhereItBreaks(t *testing.T) {
	reset := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	for name, x := range map[string]struct {
		answer string
		break_ func(c *net.TCPConn)
		want   logic.Outcome
		body   string
	}{
		"reset with nothing said":   {"", reset, logic.Reset, ""},
		"ended with nothing said":   {"", func(c *net.TCPConn) { c.Close() }, logic.Reset, ""},
		"reset in the head":         {"HTTP/1.1 200 OK\r\nConte", reset, logic.Reset, ""},
		"reset in a told length":    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", reset, logic.Reset, ""},
		"ended in a told length":    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", func(c *net.TCPConn) { c.Close() }, logic.Reset, ""},
		"ended in chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", func(c *net.TCPConn) { c.Close() }, logic.Reset, ""},
		"reset with no told length": {"HTTP/1.1 200 OK\r\n\r\nhalf", reset, logic.Reset, ""},
		"ended with no told length": {"HTTP/1.1 200 OK\r\n\r\nwhole", func(c *net.TCPConn) { c.Close() }, logic.OK, "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newBed(t, false)
			a := d.start(0)
			c := d.conn()
			d.read(c)
			io.WriteString(c, x.answer)
			if x.answer != "" { // a reset throws away what was not read yet
				d.reading(a)
			}
			x.break_(c)
			if e := d.outcome(a, x.want); e.body != x.body {
				t.Fatalf("%q", e.body)
			}
		})
	}
	t.Run("in the middle of a long request", func(t *testing.T) {
		d := newBed(t, false)
		a := &core.Attempt{Attempt: drive.Attempt{Node: 1, StopAt: d.Now() + 2*sec}}
		body := make([]byte, 16<<20) // more than its socket takes
		d.b.Start(d.Now(), a, &core.Request{Method: []byte("PUT"), Target: []byte("/x"), ID: []byte("1"), Body: body})
		c := d.conn()
		io.ReadFull(c, make([]byte, 100))
		reset(c)
		d.outcome(a, logic.ConnectFailed)
	})
	t.Run("given up inside an answer of no told length", func(t *testing.T) {
		d := newBed(t, false)
		a := d.start(0)
		c := d.conn()
		d.read(c)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		d.reading(a)
		d.b.Drop(a) // shuts the connection, which reads like an end
		d.outcome(a, logic.Reset)
	})
	t.Run("refused", func(t *testing.T) {
		d := newBed(t, false)
		d.l.Close()
		d.outcome(d.start(0), logic.ConnectFailed)
	})
}

// reading waits until what came for an attempt has been taken from its socket.
func (d *bed) reading(a *core.Attempt) {
	d.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		d.b.mu.Lock()
		l, ok := a.Conn.(*line)
		read := ok && l.conn != nil && !l.conn.Waiting()
		d.b.mu.Unlock()
		if read {
			return
		}
	}
	d.Fatal("never read")
}

// Answers that never end, stall or hang cost their own attempt alone, and its connection.
func TestEndlessAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"a head":         "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 2*http1.MaxHead),
		"a body":         "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", http1.MaxBody+1),
		"interim":        strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 100),
		"a chunk's size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 100),
		"chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 17),
	} {
		t.Run(name, func(t *testing.T) {
			d := newBed(t, false)
			a := d.start(0)
			c := d.conn()
			d.read(c)
			io.WriteString(c, text)
			d.outcome(a, logic.Failed)
			b := d.start(0)
			other := d.conn()
			d.read(other)
			io.WriteString(other, served("fine"))
			d.outcome(b, logic.OK)
		})
	}
	for name, text := range map[string]string{"hangs": "", "in the head": "HTTP/1.1 200 O", "in the body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"} {
		t.Run(name, func(t *testing.T) {
			d := newBed(t, false)
			a := d.start(0)
			c := d.conn()
			d.read(c)
			io.WriteString(c, text)
			b := d.start(0)
			other := d.conn()
			d.read(other)
			io.WriteString(other, served("fine"))
			d.outcome(b, logic.OK)
			d.b.Drop(a)
			d.outcome(a, logic.Reset)
		})
	}
}

// Many attempts at once, with ends, drops, recalls and moves of the target in any order: each is brought one end.
func TestEachAttemptEndsOnce(t *testing.T) {
	d := newBed(t, false)
	done := make(chan struct{})
	go func() {
		for {
			var c *net.TCPConn
			select {
			case c = <-d.conns:
			case <-done:
				return
			}
			go func() {
				defer c.Close()
				r, m := http1.NewReader(c), new(http1.Message)
				for n := 0; r.Request(m) == nil; n++ {
					switch n % 5 {
					case 3:
						io.WriteString(c, "HTTP/1.1 200 OK\r\nConte") // hangs
					case 4:
						return
					default:
						io.WriteString(c, served("x"))
					}
				}
			}()
		}
	}()
	const all = 2000
	seen := map[*core.Attempt]int{}
	var mu sync.Mutex
	var open []*core.Attempt
	go func() {
		defer close(done)
		for range all {
			e := <-d.ended
			mu.Lock()
			seen[e.a]++
			mu.Unlock()
			d.b.Done(d.Now(), e.a)
		}
	}()
	for i := range all {
		a := d.start(0)
		mu.Lock()
		open = append(open, a)
		mu.Unlock()
		d.clock.Add(25_000)
		switch i % 7 {
		case 2:
			d.b.Recall(open[len(open)/2])
		case 3, 4, 5:
			d.b.Drop(open[len(open)*9/10])
		case 6:
			d.move(func(p *core.Place) { p.Started = logic.Micros(i / 50) })
		}
	}
	for _, a := range open { // nothing is waited for any more
		d.b.Drop(a)
	}
	<-done
	for _, a := range open {
		if seen[a] != 1 {
			t.Fatalf("an attempt with %d ends", seen[a])
		}
	}
}

// What an attempt that is given up has left in the system's buffers must not reach its target any more.
func TestGivenUpAttemptSendsNoMore(t *testing.T) {
	const receives = 4 << 10
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receives)
		})
		return err
	}}
	d := newBedAt(t, false, small)
	a := d.startBody(0, strings.Repeat("x", 60<<10))
	c := d.conn()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		d.b.mu.Lock()
		l, ok := a.Conn.(*line)
		written := ok && l.written
		d.b.mu.Unlock()
		if written {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the system never took it all")
		}
	}
	d.b.Drop(a)
	d.outcome(a, logic.Reset)
	if m := new(http1.Message); http1.NewReader(c).Request(m) == nil {
		t.Errorf("the target has the whole request, %d bytes, after it was given up", len(m.Body))
	}
}
