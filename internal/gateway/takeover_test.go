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

// requester keeps a number of requests in flight and records their verdicts and the longest time without an answer.
type requester struct {
	cl           *standin.Client
	mu           sync.Mutex
	lastAnswer   time.Time
	maxGap       time.Duration
	verdicts     [3]int
	firstFailure string
	wrongData    int // reads that returned another block's data
	outstanding  int
	stop         chan struct{}
	wg           sync.WaitGroup
}

func startRequester(t *testing.T, f *fleet.Fleet, cfg standin.ClientConfig, depth int) *requester {
	t.Helper()
	cl, err := f.Dial(0, "orders", cfg, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	a := &requester{cl: cl, stop: make(chan struct{})}
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
				b := uint64(w*64 + i%64) // each worker has its own blocks
				kind, data := uint32(i/64%2), []byte(nil)
				if kind = 1 - kind; kind == 1 {
					data = make([]byte, 4096)
					binary.LittleEndian.PutUint64(data, b+1)
				}
				a.mu.Lock()
				a.outstanding++
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
				if !a.lastAnswer.IsZero() {
					a.maxGap = max(a.maxGap, now.Sub(a.lastAnswer))
				}
				a.lastAnswer = now
				a.outstanding--
				a.verdicts[r.Verdict]++
				if r.Status != 0 && a.firstFailure == "" {
					a.firstFailure = fmt.Sprintf("request %d of worker %d, kind %d: status %d after %v, %d served before", i, w, kind, r.Status, now.Sub(sent), a.verdicts[0])
				}
				if r.Status == 99 {
					a.wrongData++
				}
				a.mu.Unlock()
			}
		}()
	}
	return a
}

func (a *requester) finish(t *testing.T) {
	t.Helper()
	close(a.stop)
	done := make(chan struct{})
	go func() { a.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatalf("%d requests were never answered", a.outstanding)
	}
	a.cl.Vanish()
	if a.verdicts[1]+a.verdicts[2]+a.wrongData+a.cl.Strange() > 0 {
		t.Errorf("%d served, %d refused, %d failed, %d wrong, %d strange; first %s", a.verdicts[0], a.verdicts[1], a.verdicts[2], a.wrongData, a.cl.Strange(), a.firstFailure)
	}
}

func takeoverShape() fleet.Shape {
	s := singleVolume()
	s.Node = standin.NodeConfig{Base: 500 * time.Microsecond, WriteCache: true, InCapsule: 8192, Remember: 4 * time.Second}
	// Aims above the second for which a new process hangs: response times are not tested here.
	s.Head = strings.NewReplacer("aim = ms(250)", "aim = s(1.5)", "aim = ms(300)", "aim = s(1.5)").Replace(s.Head)
	s.More = "state(dir = \"kept\", every = ms(20))\nrules(order_pause = ms(50))\n"
	return s
}

// TestTakeover lets a second process take over under load several times, with clients with and without an inflight
// region. No request is refused, failed, lost or answered twice, and the learned state is handed over.
func TestTakeover(t *testing.T) {
	f, err := fleet.New(t.TempDir(), takeoverShape())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	g, stop := startGateway(t, f.Settings[0])
	plain := startRequester(t, f, standin.ClientConfig{Queues: 2, Depth: 4, MostData: 4096, EventIdx: true}, 2)
	inflight := startRequester(t, f, standin.ClientConfig{Queues: 1, Depth: 4, MostData: 4096, Indirect: true, Inflight: true, Advice: true}, 1)
	for i := range 5 {
		time.Sleep(150 * time.Millisecond)
		if i == 3 { // requests in flight when the rings stop are continued by the next process
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
		stop(false) // it has already ended after the handover
		if n := next.Rings.Unanswered(); n < 0 || n > 3 {
			t.Errorf("%d answers are owed to clients with 3 requests in flight", n)
		}
		if m, _ := next.Engine.Snapshot(); m.Unit == 0 {
			t.Error("the learned state was not handed over")
		}
		g, stop = next, func(bool) {
			cancel()
			if err := <-done; err != nil {
				t.Errorf("gateway: %v", err)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	plain.finish(t)
	inflight.finish(t)
	t.Logf("longest time without an answer: %v and %v, a node hung for 300 ms once; %d and %d served", plain.maxGap.Round(time.Millisecond),
		inflight.maxGap.Round(time.Millisecond), plain.verdicts[0], inflight.verdicts[0])
	third, err := f.Dial(0, "orders", standin.ClientConfig{}, time.Second)
	if err != nil {
		t.Errorf("the socket takes no new client: %v", err)
	} else {
		third.Vanish()
	}
	_ = g
	stop(false)
}

// TestTakeoverFails checks that the old process goes on, with no request refused or lost, when the new one belongs to
// another gateway, sends garbage, cannot adopt, crashes half way or hangs.
func TestTakeoverFails(t *testing.T) {
	f, err := fleet.New(t.TempDir(), takeoverShape())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	g, stop := startGateway(t, f.Settings[0])
	a := startRequester(t, f, standin.ClientConfig{Queues: 2, Depth: 4, MostData: 4096, Inflight: true}, 2)
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
			return "descriptors" // each comes with a byte "F", which is not a length
		}
		b := make([]byte, size)
		io.ReadFull(c, b)
		return string(b)
	}
	served := func() int { a.mu.Lock(); defer a.mu.Unlock(); return a.verdicts[0] }
	for name, runFault := range map[string]func(){
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
		runFault()
		before := served()
		if err := fleet.Eventually(5*time.Second, func() bool { return served() > before+20 }); err != nil {
			t.Errorf("%s: the old process does not go on", name)
		}
	}
	if n := g.Rings.Sessions.Load(); n != 1 {
		t.Errorf("%d sessions, want the one", n)
	}
	a.finish(t)
	stop(false)
	if _, err := gateway.Takeover(config(t, settingsWithoutState(t)), zap.NewNop()); err == nil {
		t.Error("a takeover without a state folder")
	}
}

// settingsWithoutState returns the path of settings without a state folder.
func settingsWithoutState(t *testing.T) string {
	f, err := fleet.New(t.TempDir(), singleVolume())
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	return f.Settings[0]
}

// TestTakeoverOfCopiesAndFiles takes over a gateway with mirrored extents and files. The marks of stale copies are
// handed over, every served write can be read before, during and after, the new process serves the files, and a new
// process that fails returns the marks.
func TestTakeoverOfCopiesAndFiles(t *testing.T) {
	s := mirroredShape(1, "")
	d := filesShape(t)
	s.Volumes = append(s.Volumes, d.Volumes[1])
	s.Last = d.Last
	f, err := fleet.New(t.TempDir(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	g, stop := startGateway(t, f.Settings[0])
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 4, MostData: 64 << 10, Inflight: true}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Vanish()
	w := newWriter(t, cl)
	const spread = 1 << 20
	files := newWebClient(t, g)
	files.want(201, "PUT", "/f/x", "before")
	files.close()
	f.Nodes[2].Crash() // copies are stale when the next process starts
	w.work(time.Now().Add(200*time.Millisecond), spread)
	// This process is cut off before it has adopted anything.
	failing, err := gateway.Takeover(config(t, f.Settings[0]), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	endedCtx, cut := context.WithCancel(context.Background())
	cut()
	if err := failing.Run(endedCtx, endedCtx); err == nil {
		t.Error("a takeover that was cut off returned no error")
	}
	w.work(time.Now().Add(100*time.Millisecond), spread)
	next, err := gateway.Takeover(config(t, f.Settings[0]), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	writesDone := make(chan struct{})
	go func() {
		defer close(writesDone)
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
	<-writesDone
	waitUntilWhole(t, next)
	if w.served < 50 {
		t.Errorf("%d writes were served, %d not", w.served, w.failed)
	}
	for at := range w.acked {
		if !w.read(at) {
			t.Errorf("block at %d cannot be read", at)
		}
	}
	checkCopiesEqual(t, f, 0)
	files = newWebClient(t, next)
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
