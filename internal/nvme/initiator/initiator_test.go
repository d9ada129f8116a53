package initiator_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/nvme/initiator"
	"appleplank/internal/standin"
	"appleplank/logic"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sink records the ends of attempts: each must end exactly once.
type sink struct {
	t      *testing.T
	mu     sync.Mutex
	ended  map[*block.Attempt]block.Result
	drains []bool // as reported
	ages   []logic.Micros
	lost   int
}

func (s *sink) AttemptEnded(a *block.Attempt, r block.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, twice := s.ended[a]; twice {
		s.t.Errorf("an attempt ended twice, now %v", r.Outcome)
	}
	s.ended[a] = r
}

func (s *sink) Reached(_ logic.NodeID, age logic.Micros) {
	s.mu.Lock()
	s.ages = append(s.ages, age)
	s.mu.Unlock()
}
func (s *sink) Refused(logic.NodeID) {}
func (s *sink) Draining(_ logic.NodeID, is bool) {
	s.mu.Lock()
	s.drains = append(s.drains, is)
	s.mu.Unlock()
}
func (s *sink) Lost(logic.NodeID, error) { s.mu.Lock(); s.lost++; s.mu.Unlock() }

func (s *sink) count() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.ended) }

func (s *sink) result(a *block.Attempt) (block.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.ended[a]
	return r, ok
}

const namespaceSize = 32 << 20

// connectNode starts a stand-in node and an initiator that is connected to it.
func connectNode(t *testing.T, cfg standin.NodeConfig, change func(*initiator.Config)) (*standin.Node, *initiator.Node, *sink) {
	t.Helper()
	cfg.NQN, cfg.Namespaces = "nqn.test", map[uint32]int64{1: namespaceSize}
	peer := standin.NewNode(cfg)
	if err := peer.Up(true); err != nil {
		t.Fatal(err)
	}
	s := &sink{t: t, ended: map[*block.Attempt]block.Result{}}
	start := time.Now()
	c := initiator.Config{ID: 1, NQN: "nqn.test", HostNQN: "nqn.host", Namespaces: []uint32{1}, MaxOutstanding: 64, Queues: 1,
		Timeout: time.Second, KeepAlive: time.Second, Now: func() logic.Micros { return logic.Micros(time.Since(start).Microseconds()) + 1 },
		Log: zap.NewNop(), Address: peer.Address}
	if change != nil {
		change(&c)
	}
	n := initiator.NewNode(c, s, s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; peer.Crash() })
	waitFor(t, "the connection", n.Up)
	return peer, n, s
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func newAttempt(k block.Kind, off, n int64, fill byte) *block.Attempt {
	a := &block.Attempt{Kind: k, Namespace: 1, Offset: off, Len: n}
	if k == block.Read || k == block.Write {
		a.Buffer = block.NewBuffer(n, nil)
		for i := range a.Buffer.B {
			a.Buffer.B[i] = fill
		}
	}
	return a
}

// Nodes with different options, from a plain conforming one to one with all of them: data of several sizes is written
// and read back, split as the node requires.
func TestKindsOfNodes(t *testing.T) {
	for name, cfg := range map[string]standin.NodeConfig{
		"plain":      {Plain: true},
		"in capsule": {InCapsule: 16 << 10, WriteCache: true},
		"digests":    {Digests: true, InCapsule: 4096, Align: 64, WriteCache: true},
		"small mdts": {MDTS: 1, NoZeroes: true},
		"4 KiB":      {BlockSize: 4096, Plain: true},
	} {
		t.Run(name, func(t *testing.T) {
			peer, n, s := connectNode(t, cfg, func(c *initiator.Config) { c.Digests = cfg.Digests; c.Queues = 2 })
			do := func(a *block.Attempt) block.Result {
				t.Helper()
				n.Start(a)
				waitFor(t, "an end", func() bool { _, ok := s.result(a); return ok })
				r, _ := s.result(a)
				if r.Outcome != logic.OK {
					t.Fatalf("%v of %d bytes: outcome %v", a.Kind, a.Len, r.Outcome)
				}
				return r
			}
			for i, size := range []int64{4096, 12288, 100 << 12} {
				off, fill := int64(i)<<20, byte(i+1)
				do(newAttempt(block.Write, off, size, fill))
				r := newAttempt(block.Read, off, size, 0)
				res := do(r)
				if !bytes.Equal(r.Buffer.B, bytes.Repeat([]byte{fill}, int(size))) {
					t.Errorf("%d bytes read back differ", size)
				}
				if reported := res.Load != logic.NoLoad; reported == cfg.Plain {
					t.Errorf("a load report came: %v, a plain node: %v", reported, cfg.Plain)
				}
			}
			do(newAttempt(block.WriteZeroes, 4096, 4096, 0))
			do(newAttempt(block.Discard, 0, 4096, 0))
			do(newAttempt(block.Flush, 0, 0, 0))
			b := make([]byte, 4096)
			if peer.Read(1, 4096, b); !bytes.Equal(b, make([]byte, 4096)) {
				t.Error("write zeroes left nonzero bytes")
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if (s.ages[0] < 0) != cfg.Plain {
				t.Errorf("age %d of a node that is plain: %v", s.ages[0], cfg.Plain)
			}
			if len(s.drains) == 0 || s.drains[0] {
				t.Errorf("draining is reported as %v", s.drains)
			}
		})
	}
}

// After a reset with many outstanding attempts, those whose sending had started may have been executed and the others
// never were. No buffer is released before the goroutines of its connection have ended.
func TestResetSomeWritten(t *testing.T) {
	peer, n, s := connectNode(t, standin.NodeConfig{InCapsule: 256 << 10, Plain: true}, nil)
	peer.Set(func(t *standin.Trouble) { t.Blind = true })
	first := newAttempt(block.Read, 0, 512, 0) // taken by the readers that are already waiting
	n.Start(first)
	waitFor(t, "the first end", func() bool { return s.count() == 1 })
	delete(s.ended, first)
	var all []*block.Attempt
	for i := range 60 {
		a := newAttempt(block.Write, int64(i)*256<<10, 256<<10, 1)
		all = append(all, a)
		n.Start(a)
	}
	time.Sleep(50 * time.Millisecond) // until the socket buffers are full
	if s.count() != 0 {
		t.Fatalf("%d ended before the reset", s.count())
	}
	peer.Reset()
	waitFor(t, "all ends", func() bool { return s.count() == len(all) })
	got := map[logic.Outcome]int{}
	seenMoot := false
	for i, a := range all {
		r, _ := s.result(a)
		got[r.Outcome]++
		if r.Outcome == logic.NotSent {
			seenMoot = true
		} else if seenMoot {
			t.Errorf("attempt %d was sent, an earlier one was not", i)
		}
	}
	if got[logic.Reset] == 0 || got[logic.NotSent] == 0 || got[logic.Reset]+got[logic.NotSent] != len(all) {
		t.Errorf("outcomes %v, want some that may have run and some that never did", got)
	}
	peer.Set(func(t *standin.Trouble) { t.Blind = false })
}

// An answer that arrives after its attempt was dropped, arrives twice or has a wrong command identifier must not match
// another command.
func TestLateTwiceAndWrong(t *testing.T) {
	peer, n, s := connectNode(t, standin.NodeConfig{Base: time.Millisecond}, nil)
	peer.Set(func(t *standin.Trouble) { t.Hang = true })
	late := newAttempt(block.Read, 0, 4096, 0xaa)
	n.Start(late)
	time.Sleep(10 * time.Millisecond)
	n.Drop(late)
	peer.Set(func(t *standin.Trouble) { t.Hang = false; t.Twice = 1 })
	waitFor(t, "the late end", func() bool { _, ok := s.result(late); return ok })
	for i := range 40 {
		w := newAttempt(block.Write, int64(i)*4096, 4096, byte(i))
		n.Start(w)
		waitFor(t, "a write's end", func() bool { _, ok := s.result(w); return ok })
		r := newAttempt(block.Read, int64(i)*4096, 4096, 0)
		n.Start(r)
		waitFor(t, "a read's end", func() bool { _, ok := s.result(r); return ok })
		if res, _ := s.result(r); res.Outcome == logic.OK && r.Buffer.B[0] != byte(i) {
			t.Fatalf("read %d returned the data of another command", i)
		}
	}
	if n.Counts.UnexpectedAnswers.Load() == 0 {
		t.Error("no stray answer was counted")
	}
	peer.Set(func(t *standin.Trouble) { *t = standin.Trouble{Wrong: 1} })
	w := newAttempt(block.Read, 0, 4096, 0)
	n.Start(w)
	waitFor(t, "the stray", func() bool {
		return n.Counts.UnexpectedAnswers.Load() > 80 || n.Counts.Resets.Load() > 0 || s.count() > 82 || hasManyStrays(n)
	})
	if _, ended := s.result(w); ended && n.Counts.Resets.Load() == 0 {
		t.Error("an answer under another id ended the command")
	}
	n.Drop(w)
}

func hasManyStrays(n *initiator.Node) bool { return n.Counts.UnexpectedAnswers.Load() > 40 }

// A write that is dropped before its data was requested never gets the data: it could overwrite later writes.
func TestDroppedWriteGetsNoData(t *testing.T) {
	peer, n, s := connectNode(t, standin.NodeConfig{Plain: true}, nil) // no in-capsule data: all data goes by R2T
	peer.Set(func(t *standin.Trouble) { t.Blind = true })
	time.Sleep(20 * time.Millisecond)
	first := newAttempt(block.Read, 0, 512, 0) // taken by the reader that waits for the next PDU
	n.Start(first)
	w := newAttempt(block.Write, 0, 64<<10, 7)
	n.Start(w)
	time.Sleep(20 * time.Millisecond)
	n.Drop(w)
	peer.Set(func(t *standin.Trouble) { t.Blind = false })
	waitFor(t, "the read's end", func() bool { _, ok := s.result(first); return ok })
	time.Sleep(50 * time.Millisecond)
	b := make([]byte, 64<<10)
	if peer.Read(1, 0, b); !bytes.Equal(b, make([]byte, 64<<10)) {
		t.Error("the dropped write was executed")
	}
}

// With a node that accepts connections and never answers, one that sends a byte a second, and one that is gone,
// attempts fail at once as not connected, and the node is connected again when it recovers.
func TestHardNodes(t *testing.T) {
	peer, n, s := connectNode(t, standin.NodeConfig{}, func(c *initiator.Config) { c.Timeout = 150 * time.Millisecond; c.KeepAlive = 300 * time.Millisecond })
	expectOutcome := func(what string, want logic.Outcome) {
		t.Helper()
		a := newAttempt(block.Read, 0, 4096, 0)
		n.Start(a)
		waitFor(t, what, func() bool { _, ok := s.result(a); return ok })
		if r, _ := s.result(a); r.Outcome != want {
			t.Errorf("%s: outcome %v, want %v", what, r.Outcome, want)
		}
	}
	for what, trouble := range map[string]standin.Trouble{"deaf": {Deaf: true}, "drip": {Drip: 1}} {
		peer.Set(func(t *standin.Trouble) { *t = trouble })
		peer.Reset()
		waitFor(t, what+": lost", func() bool { return !n.Up() })
		expectOutcome(what, logic.ConnectFailed)
		time.Sleep(200 * time.Millisecond)
		peer.Set(func(t *standin.Trouble) { *t = standin.Trouble{} })
		waitFor(t, what+": found again", n.Up)
		expectOutcome(what+": after", logic.OK)
	}
	peer.Set(func(t *standin.Trouble) { t.Blind = true }) // reads everything, answers nothing: detected by the keep-alive
	waitFor(t, "silence", func() bool { return !n.Up() })
	peer.Set(func(t *standin.Trouble) { t.Blind = false })
	peer.Crash()
	expectOutcome("crashed", logic.ConnectFailed)
	peer.Up(false)
	waitFor(t, "back", n.Up)
	expectOutcome("back", logic.OK)
}

// Attempts that exceed the depth of the node's queues are refused at once, and none is lost.
func TestDepth(t *testing.T) {
	peer, n, s := connectNode(t, standin.NodeConfig{Base: time.Millisecond}, func(c *initiator.Config) { c.MaxOutstanding = 8; c.Queues = 2 })
	peer.Set(func(t *standin.Trouble) { t.Hang = true })
	for range 11 {
		n.Start(newAttempt(block.Read, 0, 4096, 0))
	}
	if s.count() != 3 {
		t.Errorf("%d of 11 refused with a depth of 8, want 3", s.count())
	}
	peer.Set(func(t *standin.Trouble) { t.Hang = false })
	waitFor(t, "all ends", func() bool { return s.count() == 11 })
}

// A draining node is reported through its ANA log page, which an event announces.
func TestDrainEvent(t *testing.T) {
	peer, _, s := connectNode(t, standin.NodeConfig{}, nil)
	draining := func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.drains) > 0 && s.drains[len(s.drains)-1] }
	for range 3 {
		peer.Drain(true)
		waitFor(t, "draining", draining)
		peer.Drain(false)
		waitFor(t, "ready again", func() bool { return !draining() })
	}
}
