package gateway_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/fleet"
	"appleplank/internal/gateway"
	"appleplank/internal/standin"

	"go.uber.org/zap"
)

// asker keeps some requests out at all times, and notes what became of them and the longest time without an answer.
type asker struct {
	cl   *standin.Client
	mu   sync.Mutex
	last time.Time
	gap  time.Duration
	got  [3]int
	why  string
	bad  int // reads with another's data
	out  int
	stop chan struct{}
	wg   sync.WaitGroup
}

func ask(t *testing.T, f *fleet.Fleet, cfg standin.ClientConfig, depth int) *asker {
	t.Helper()
	cl, err := f.Dial(0, "orders", cfg, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	a := &asker{cl: cl, stop: make(chan struct{})}
	for w := range depth {
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			ch := make(chan standin.Reply, 1)
			for i := 0; ; i++ {
				select {
				case <-a.stop:
					return
				default:
				}
				b := uint64(w*64 + i%64) // blocks of its own
				kind, data := uint32(i/64%2), []byte(nil)
				if kind = 1 - kind; kind == 1 {
					data = make([]byte, 4096)
					binary.LittleEndian.PutUint64(data, b+1)
				}
				a.mu.Lock()
				a.out++
				a.mu.Unlock()
				sent := time.Now()
				err := cl.Submit(w%cl.Config.Queues, kind, b*8, data, 4096, func(r standin.Reply) {
					if kind == 0 && r.Status == 0 && binary.LittleEndian.Uint64(r.Data) != b+1 {
						r.Verdict, r.Status = block.Failed, 99
					}
					r.Data = nil
					ch <- r
				})
				if err != nil {
					return
				}
				r := <-ch
				a.mu.Lock()
				now := time.Now()
				if !a.last.IsZero() {
					a.gap = max(a.gap, now.Sub(a.last))
				}
				a.last = now
				a.out--
				a.got[r.Verdict]++
				if r.Status != 0 && a.why == "" {
					a.why = fmt.Sprintf("request %d of worker %d, kind %d: status %d after %v, %d served before", i, w, kind, r.Status, now.Sub(sent), a.got[0])
				}
				if r.Status == 99 {
					a.bad++
				}
				a.mu.Unlock()
			}
		}()
	}
	return a
}

func (a *asker) end(t *testing.T) {
	t.Helper()
	close(a.stop)
	done := make(chan struct{})
	go func() { a.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatalf("%d requests were never answered", a.out)
	}
	a.cl.Vanish()
	if a.got[1]+a.got[2]+a.bad+a.cl.Strange() > 0 {
		t.Errorf("%d served, %d refused, %d failed, %d wrong, %d strange; first %s", a.got[0], a.got[1], a.got[2], a.bad, a.cl.Strange(), a.why)
	}
}

func kept() fleet.Shape {
	s := one()
	s.Node = standin.NodeConfig{Base: 500 * time.Microsecond, WriteCache: true, InCapsule: 8192, Remember: 4 * time.Second}
	// Room for a new process that hangs for a second: what a request wants within is not what is tested here.
	s.Head = strings.NewReplacer("aim = ms(250)", "aim = s(1.5)", "aim = ms(300)", "aim = s(1.5)").Replace(s.Head)
	s.More = "state(dir = \"kept\", every = ms(20))\nrules(order_pause = ms(50))\n"
	return s
}

// A second process takes over under load, again and again, from clients with and without an inflight region: no request
// is refused, failed, lost or doubled, and what was learned goes along.
func TestTakeover(t *testing.T) {
	f, err := fleet.New(t.TempDir(), kept())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	g, stop := start(t, f.Settings[0])
	plain := ask(t, f, standin.ClientConfig{Queues: 2, Depth: 4, MostData: 4096, EventIdx: true}, 2)
	with := ask(t, f, standin.ClientConfig{Queues: 1, Depth: 4, MostData: 4096, Indirect: true, Inflight: true, Advice: true}, 1)
	for i := range 5 {
		time.Sleep(150 * time.Millisecond)
		if i == 3 { // what is out when the rings stand still is taken up by the next process
			f.Nodes[0].Set(func(t *standin.Trouble) { t.Hang = true })
			time.AfterFunc(300*time.Millisecond, func() { f.Nodes[0].Set(func(t *standin.Trouble) { t.Hang = false }) })
			time.Sleep(20 * time.Millisecond)
		}
		next, err := gateway.Takeover(config(t, f.Settings[0]), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- next.Run(ctx, context.Background()) }()
		if err := fleet.Eventually(10*time.Second, func() bool { return next.Rings.Sessions.Load() == 2 }); err != nil {
			t.Fatal("nobody took over")
		}
		stop(false) // it has ended by itself
		if n := next.Rings.Unanswered(); n < 0 || n > 3 {
			t.Errorf("%d answers are owed to clients that ask 3 at a time", n)
		}
		if m, _ := next.Engine.Snapshot(); m.Unit == 0 {
			t.Error("what was learned did not go along")
		}
		g, stop = next, func(bool) {
			cancel()
			if err := <-done; err != nil {
				t.Errorf("gateway: %v", err)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	plain.end(t)
	with.end(t)
	t.Logf("longest time without an answer: %v and %v, a node hung for 300 ms once; %d and %d served", plain.gap.Round(time.Millisecond),
		with.gap.Round(time.Millisecond), plain.got[0], with.got[0])
	third, err := f.Dial(0, "orders", standin.ClientConfig{}, time.Second)
	if err != nil {
		t.Errorf("the socket takes no new client: %v", err)
	} else {
		third.Vanish()
	}
	_ = g
	stop(false)
}

// The new process is of another gateway, cannot adopt, crashes half way, or hangs: the old one goes on, and nobody's
// request is refused or lost.
func TestTakeoverFails(t *testing.T) {
	f, err := fleet.New(t.TempDir(), kept())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	g, stop := start(t, f.Settings[0])
	a := ask(t, f, standin.ClientConfig{Queues: 2, Depth: 4, MostData: 4096, Inflight: true}, 2)
	control := filepath.Join(f.Dir, "kept", "control")
	dial := func() net.Conn {
		t.Helper()
		var c net.Conn
		if err := fleet.Eventually(5*time.Second, func() bool { var err error; c, err = net.Dial("unix", control); return err == nil }); err != nil {
			t.Fatal(err)
		}
		return c
	}
	say := func(c net.Conn, word string, more ...string) {
		m := map[string]string{"Word": word, "Gateway": "gw0"}
		if len(more) > 0 {
			m["Gateway"] = more[0]
		}
		b, _ := json.Marshal(m)
		c.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(b))), b...))
	}
	hear := func(c net.Conn) string {
		t.Helper()
		var n [4]byte
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(c, n[:]); err != nil {
			return err.Error()
		}
		size := binary.LittleEndian.Uint32(n[:])
		if size > 1<<20 {
			return "descriptors" // each comes with a byte "F"
		}
		b := make([]byte, size)
		io.ReadFull(c, b)
		return string(b)
	}
	served := func() int { a.mu.Lock(); defer a.mu.Unlock(); return a.got[0] }
	for name, harm := range map[string]func(){
		"another gateway": func() {
			c := dial()
			defer c.Close()
			say(c, "hello", "gw7")
			if got := hear(c); !strings.Contains(got, "this is gateway") {
				t.Errorf("another gateway: %s", got)
			}
		},
		"talks nonsense": func() {
			c := dial()
			defer c.Close()
			c.Write([]byte{255, 255, 255, 255, 1})
		},
		"crashes half way": func() {
			c := dial()
			say(c, "hello")
			hear(c)
			say(c, "ready")
			hear(c)
			c.Close()
		},
		"cannot adopt": func() {
			c := dial()
			defer c.Close()
			say(c, "hello")
			hear(c)
			say(c, "ready")
			hear(c)
			say(c, "no")
		},
		"hangs": func() {
			c := dial()
			defer c.Close()
			say(c, "hello")
			hear(c)
			say(c, "ready")
			hear(c)
			time.Sleep(1300 * time.Millisecond)
			if got := hear(c); strings.Contains(got, "go") {
				t.Errorf("one that hangs is told %s", got)
			}
		},
	} {
		harm()
		before := served()
		if err := fleet.Eventually(5*time.Second, func() bool { return served() > before+20 }); err != nil {
			t.Errorf("%s: the old process does not go on", name)
		}
	}
	if n := g.Rings.Sessions.Load(); n != 1 {
		t.Errorf("%d sessions, want the one", n)
	}
	a.end(t)
	stop(false)
	if _, err := gateway.Takeover(config(t, one1(t)), zap.NewNop()); err == nil {
		t.Error("a takeover without a state folder")
	}
}

// one1 is settings without a state folder.
func one1(t *testing.T) string {
	f, err := fleet.New(t.TempDir(), one())
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	return f.Settings[0]
}

// A takeover of mirrored extents and of files: what a copy has missed goes along, nothing served is unread before, between
// and after, the new process serves the files, and one that fails gives the marks back.
func TestTakeoverOfCopiesAndFiles(t *testing.T) {
	s := mirrored(1, "")
	d := filed(t)
	s.Volumes = append(s.Volumes, d.Volumes[1])
	s.Last = d.Last
	f, err := fleet.New(t.TempDir(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	g, stop := start(t, f.Settings[0])
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 4, MostData: 64 << 10, Inflight: true}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Vanish()
	w := newWriter(t, cl)
	const spread = 1 << 20
	files := newWeb(t, g)
	files.want(201, "PUT", "/f/x", "before")
	files.close()
	f.Nodes[2].Crash() // copies are stale when the next one begins
	w.work(time.Now().Add(200*time.Millisecond), spread)
	// One that is cut off before it has adopted anything.
	lost, err := gateway.Takeover(config(t, f.Settings[0]), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	gone, cut := context.WithCancel(context.Background())
	cut()
	if err := lost.Run(gone, gone); err == nil {
		t.Error("a takeover that was cut off has no error")
	}
	w.work(time.Now().Add(100*time.Millisecond), spread)
	next, err := gateway.Takeover(config(t, f.Settings[0]), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	over := make(chan struct{})
	go func() {
		defer close(over)
		w.work(time.Now().Add(1500*time.Millisecond), spread)
	}()
	go func() { done <- next.Run(ctx, context.Background()) }()
	if err := fleet.Eventually(10*time.Second, func() bool { return next.Rings.Sessions.Load() == 1 }); err != nil {
		t.Fatal("nobody took over")
	}
	stop(false)
	if err := f.Nodes[2].Up(false); err != nil {
		t.Fatal(err)
	}
	<-over
	whole(t, next)
	if w.served < 50 {
		t.Errorf("%d writes were served, %d not", w.served, w.failed)
	}
	for at := range w.acked {
		if !w.read(at) {
			t.Errorf("block at %d cannot be read", at)
		}
	}
	alike(t, f, 0)
	files = newWeb(t, next)
	if got, _ := files.want(200, "GET", "/f/x", ""); got != "before" {
		t.Errorf("%q", got)
	}
	files.want(204, "PUT", "/f/x", "after")
	files.close()
	cancel()
	if err := <-done; err != nil {
		t.Errorf("gateway: %v", err)
	}
}
