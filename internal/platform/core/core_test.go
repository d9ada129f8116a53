package core

import (
	"math/rand/v2"
	"testing"

	"appleplank/logic"
)

func settings() logic.Settings {
	return logic.Settings{
		Hosts: 1, Tick: 2000, MaxAttempts: 4, SecondCopies: true, CoolDowns: true, MaxCoolDown: 500_000, UnitMean: 2, UnitTop: 6,
		Classes: []logic.Class{
			{Aim: 100_000, Deadline: 1_000_000, Worth: 3, LateShare: 0.1},
			{Aim: 200_000, Deadline: 1_500_000, Worth: 2, LateShare: 0.1, Repeat: logic.Dedup, Group: logic.GroupCell, RepeatWindow: 2_000_000, Writes: true},
			{Aim: 200_000, Deadline: 1_500_000, Worth: 2, Repeat: logic.Fragile, Writes: true},
		},
		Plans: []logic.Plan{{Rate: 5, Reserve: 2, Weight: 1, Price: 1, Limit: 30, LimitBurst: 60, LimitSlack: 6}, {Rate: 10, Reserve: 10, Weight: 2, Price: 1}},
		Rules: logic.Rules{AnswerSlack: 50_000, StopSending: 500_000, ColdFrom: 0.2, ColdUnits: 10, ColdTime: 5_000_000, OverloadTime: 1_000_000, TipMultiple: 4},
	}
}

// recorder is a front that counts answers.
type recorder struct {
	t       *testing.T
	answers int
	verdict [3]int
	body    string
}

func (f *recorder) Answer(_ logic.Micros, r *Request, a Answer) {
	f.answers++
	f.verdict[a.Verdict]++
	f.body = string(a.Body)
}

// carried is an attempt in the back's hands.
type carried struct {
	r        *Request
	left     bool // its last byte
	recalled bool
}

// run carries the actions of a step out, as the shell does, with attempts into out.
func run(c *Core, now logic.Micros, out map[*Attempt]*carried) {
	for {
		for _, a := range c.step(now) {
			switch a.kind {
			case start:
				if out[a.attempt] != nil {
					panic("an attempt that is out was started")
				}
				out[a.attempt] = &carried{r: a.request}
			case drop, recall:
				x := out[a.attempt]
				if x == nil && a.kind == drop {
					panic("an attempt that is not out was dropped")
				}
				if x != nil {
					x.recalled = x.recalled || !x.left
				}
			case answer:
				a.request.Front.Answer(now, a.request, a.answer)
			case done:
				c.recycle(a.attempt)
			}
		}
		if next := c.Next(); next == 0 || next > now {
			return
		}
	}
}

// Every request that is taken is answered once, in time, whatever becomes of its attempts and its client, in
// whatever order; and in the end nothing is held.
func TestEachRequestEndsOnce(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 5))
		c, err := New(settings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		now := logic.Micros(1_000_000_000)
		nodes := []logic.Node{{ID: 1, Cell: 0, State: logic.Ready}, {ID: 2, Cell: 1, State: logic.Ready}, {ID: 3, Cell: 1, State: logic.Ready}}
		c.Nodes(listKind, nodes)
		type one struct {
			Request
			recorder
			by   logic.Micros
			gone bool
		}
		var all, open []*one
		out, over := map[*Attempt]*carried{}, map[*Request]bool{}
		for range 3000 {
			now += logic.Micros(rng.Int64N(3000))
			if rng.IntN(3) == 0 && len(all) < 700 {
				x := &one{recorder: recorder{t: t}}
				x.Request = Request{Class: rng.IntN(3), Plan: rng.IntN(2), Cell: rng.IntN(3) - 1, Block: rng.Uint64N(50), Volume: logic.VolumeID(rng.Uint64N(20)),
					Attached: 1, Units: float64(1 + rng.IntN(6)), Left: logic.Micros(1 + rng.Int64N(1_500_000)), Front: &x.recorder}
				x.by = now + x.Left
				all, open = append(all, x), append(open, x)
				c.Take(now, &x.Request)
			}
			if len(open) > 0 && rng.IntN(20) == 0 {
				i := rng.IntN(len(open))
				if x := open[i]; x.answers == 0 && c.Gone(now, &x.Request) {
					x.gone = true
				}
			}
			for a, x := range out {
				if !x.left && !x.recalled && rng.IntN(4) == 0 {
					if x.left = true; over[x.r] {
						t.Fatalf("seed %d: an attempt leaves when its request is over", seed)
					}
				}
				if rng.IntN(8) == 0 {
					delete(out, a)
					c.Ended(now, a, Result{Outcome: logic.Outcome(rng.IntN(8)), Load: logic.NoLoad})
				}
				if rng.IntN(3) == 0 {
					break
				}
			}
			if rng.IntN(300) == 0 {
				c.Room(rng.IntN(10))
			}
			if rng.IntN(300) == 0 {
				n := nodes[rng.IntN(3)]
				n.State = logic.NodeState(rng.IntN(3))
				c.Nodes(listKind, []logic.Node{n})
			}
			run(c, now, out)
			keep := open[:0]
			for _, x := range open {
				if x.answers > 0 || x.gone {
					over[&x.Request] = true
					continue
				}
				keep = append(keep, x)
				if now > x.by+20_000 {
					t.Fatalf("seed %d: no answer %d us after its time", seed, now-x.by)
				}
			}
			open = keep
		}
		for range 1000 { // every attempt's end comes at last
			now += 10_000
			for a := range out {
				delete(out, a)
				c.Ended(now, a, Result{Outcome: logic.Reset, Load: logic.NoLoad})
			}
			run(c, now, out)
		}
		for i, x := range all {
			if want := 1; x.answers != want && !x.gone || x.gone && x.answers != 0 {
				t.Fatalf("seed %d, request %d: %d answers, gone %v", seed, i, x.answers, x.gone)
			}
		}
		ta := c.Tally()
		attempts, _ := c.host.Held()
		if ta.Held != 0 || ta.Entries != 0 || ta.Out != 0 || attempts != 0 {
			t.Fatalf("seed %d: held at the end: %+v, %d attempts", seed, ta, attempts)
		}
		if ta.Answers[Served] == 0 || ta.Answers[Refused] == 0 {
			t.Fatalf("seed %d: the day was no test: %+v", seed, ta)
		}
	}
}

// Told that the process ends, it answers all that is held, and what still comes, by then.
func TestEndBoundsAll(t *testing.T) {
	c, _ := New(settings(), 1)
	now := logic.Micros(1_000_000_000)
	c.Nodes(listKind, []logic.Node{{ID: 1, State: logic.Ready}})
	fronts := make([]*recorder, 12)
	out := map[*Attempt]*carried{}
	ask := func(i int) {
		fronts[i] = &recorder{t: t}
		c.Take(now, &Request{Class: 1, Plan: 1, Attached: 1, Units: 1, Left: 25_000_000, Volume: logic.VolumeID(i), Front: fronts[i]})
		run(c, now, out)
	}
	for i := range 8 { // some go to a target that hangs, others wait
		ask(i)
	}
	by := now + 2_000_000
	c.End(by)
	run(c, now, out)
	now += 1_000_000
	for i := 8; i < 12; i++ {
		ask(i)
	}
	for now < by+2*settings().Tick {
		now += settings().Tick
		run(c, now, out)
	}
	for i, f := range fronts {
		if f.answers != 1 {
			t.Errorf("request %d: %d answers by the end", i, f.answers)
		}
	}
	if ta := c.Tally(); ta.Held != 0 || ta.Sends == 0 {
		t.Errorf("%+v", ta)
	}
}

// A late answer to an attempt that was given up reaches nobody.
func TestLateAnswer(t *testing.T) {
	c, _ := New(settings(), 1)
	now := logic.Micros(1_000_000_000)
	c.Nodes(listKind, []logic.Node{{ID: 1, State: logic.Ready}})
	f := &recorder{t: t}
	r := &Request{Class: 0, Plan: 1, Attached: 1, Units: 1, Left: 50_000, Front: f}
	c.Take(now, r)
	out := map[*Attempt]*carried{}
	run(c, now, out)
	if len(out) != 1 {
		t.Fatal("not sent")
	}
	run(c, now+60_000, out)
	if f.answers != 1 || f.verdict[Served] != 0 {
		t.Fatalf("%+v", f)
	}
	for a := range out {
		c.Ended(now+70_000, a, Result{Outcome: logic.OK, Body: []byte("late"), Load: logic.NoLoad})
	}
	run(c, now+70_000, out)
	if f.answers != 1 || c.Tally().LateEnds != 1 {
		t.Fatalf("%+v %+v", f, c.Tally())
	}
}
