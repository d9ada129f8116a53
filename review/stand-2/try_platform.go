package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"appleplank/internal/http1"
)

// tryPlatform plays requests of all three kinds against one initiator whose targets hang, reset, fail and turn away some of
// them, while clients leave. With CHAOS=stall the initiator stands still for 0.86 to 1.8 s every 2.3 to 3.8 s, with drain
// targets are replaced, also while it stands still. It checks the rules on answers, duplicates, order, drains and limits
// and the deadline that targets are told, by what targets and clients see. It found no fault.

const stallSettings = `{"balancers":1,"slotNo":0,"granularityUs":2000,"membershipMode":"automatic","zones":["hall-a"],"tiers":["f"],"serviceType":"stores",
"classes":[{"name":"look","aimUs":400000,"deadlineUs":2500000,"importance":3,"lateShare":0.2,"semantics":"retryable"},
{"name":"save","aimUs":750000,"deadlineUs":4000000,"importance":2,"lateShare":0.2,"semantics":"dedup","group":"cell","repeatWindowUs":1500000,"oneAtATime":true},
{"name":"pay","aimUs":750000,"deadlineUs":4000000,"importance":2,"lateShare":0.2,"semantics":"fragile"}],
"serviceLevels":[{"name":"pro","baseRate":40,"floorRate":40,"price":1,"shares":2,"neverOver":0,"limitBurst":0,"capSlack":0},
{"name":"thin","baseRate":4,"floorRate":1,"price":1,"shares":1,"neverOver":10,"limitBurst":20,"capSlack":6}],
"familyInfo":{"coldBears":10,"slotsTotal":4,"unitMean":2,"unitsTop":6,"usePeriodUs":0,"tellsElsewhere":false,"writes":[false,true,true]},
"invariants":{"answerSlackUs":50000,"stopSendingWithinUs":250000,"coldFrom":0.16,"coldUs":18000000,"overloadForUs":1000000,"tipMultiple":4,"orderPauseUs":300000,"budgetFree":3,"resendRatio":0.2,"extraWindowUs":5000000},
"limits":{"connIdleUs":15000000,"connectTimeoutUs":250000,"maxRetryAfterUs":500000,"retryAfter":true,"secondCopies":true,"sendCap":4,"mayCancel":true,"openCap":5000},
"report":{"fields":["waiting"]}}`

// att is an attempt as its target saw it.
type att struct {
	target string
	at     time.Time
	result string // ok, never, maybe, hang
	ended  time.Time
}

// sreq is a request as its client saw it.
type sreq struct {
	id, class, key string
	plan           string
	units          int
	sent           time.Time // last byte
	timeout        time.Duration
	seq            int // order within key
	answered       time.Time
	status         int
	closed         time.Time
	atts           []*att
}

// stallRun is the state of tryPlatform.
type stallRun struct {
	*run
	mu       sync.Mutex
	reqs     map[string]*sreq
	byKey    map[string][]*sreq
	arrivals []time.Time
	told     map[string]time.Time // drained target: when told
	stalls   [][2]time.Time
	bad      int
	counts   map[string]int
}

func (s *stallRun) complain(format string, a ...any) {
	s.bad++
	s.say("BAD: "+format, a...)
}

// starget is a target that gets its answers by chance.
type starget struct {
	s    *stallRun
	id   string
	cell int
	l    net.Listener
}

func (t *starget) serve(c net.Conn) {
	defer c.Close()
	f := &firstByteReader{Conn: c, waiting: true}
	reader, m := http1.NewReader(f), new(http1.Message)
	for reader.ReadRequest(m) == nil {
		id := string(m.Get("request-id"))
		s := t.s
		x := rand.IntN(1000)
		s.mu.Lock()
		q := s.reqs[id]
		if q == nil {
			s.complain("%s got unknown id %s", t.id, id)
			s.mu.Unlock()
			return
		}
		a := &att{target: t.id, at: f.at}
		f.waiting = true
		if told, ok := s.told[t.id]; ok && f.at.Sub(told) > 450*time.Millisecond {
			s.complain("drain: %s got %s %v after told", t.id, id, f.at.Sub(told))
		}
		if !q.closed.IsZero() && f.at.Sub(q.closed) > 100*time.Millisecond {
			s.complain("lost: attempt of %s begins %v after its client closed", id, f.at.Sub(q.closed))
		}
		if !q.answered.IsZero() && f.at.Sub(q.answered) > 20*time.Millisecond {
			s.complain("lost: attempt of %s begins %v after its answer %d", id, f.at.Sub(q.answered), q.status)
		}
		// duplicates
		for _, e := range q.atts {
			if e.result == "never" {
				continue
			}
			switch q.class {
			case "pay":
				s.complain("duplicate: unsafe %s again, earlier %s", id, e.result)
			case "save":
				if d := f.at.Sub(e.at); d > 1500*time.Millisecond+250*time.Millisecond {
					s.complain("duplicate: keyed %s again %v after", id, d)
				}
			}
		}
		left := q.timeout - f.at.Sub(q.sent)
		if d, err := time.ParseDuration(strings.Replace(string(m.Get("request-timeout")), "u", "us", 1)); err != nil || d > left+150*time.Millisecond+10*time.Millisecond {
			s.complain("deadline: %s told %s, left %v", id, m.Get("request-timeout"), left)
		}
		q.atts = append(q.atts, a)
		if len(q.atts) > 1 {
			s.counts["retries"]++
		}
		s.counts["attempts"]++
		s.mu.Unlock()
		set := func(r string) {
			s.mu.Lock()
			a.result, a.ended = r, time.Now()
			s.mu.Unlock()
		}
		switch {
		case x < 30: // hang until the connection ends
			io.Copy(io.Discard, c)
			set("hang")
			return
		case x < 70:
			time.Sleep(10 * time.Millisecond)
			set("hang")
			c.(*net.TCPConn).SetLinger(0)
			return
		case x < 100:
			set("maybe")
			fmt.Fprintf(c, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
		case x < 150:
			set("never")
			fmt.Fprintf(c, "HTTP/1.1 503 E\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			time.Sleep(time.Duration(5+rand.IntN(60)) * time.Millisecond)
			set("ok")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nServer-Load: queue=0\r\nContent-Length: %d\r\n\r\n%s", len(id)+4, "for "+id)
		}
	}
}

func (s *stallRun) newTarget(id string, cell int) (*starget, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &starget{s, id, cell, l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t, nil
}

func tryPlatform(r *run) error {
	s := &stallRun{run: r, reqs: map[string]*sreq{}, byKey: map[string][]*sreq{}, told: map[string]time.Time{}, counts: map[string]int{}}
	kinds := os.Getenv("CHAOS")
	var entries []entry
	var cur [4]*starget
	for i := range 4 {
		t, err := s.newTarget(fmt.Sprintf("s-%08x", i), i)
		if err != nil {
			return err
		}
		cur[i] = t
		entries = append(entries, entry{t.id, t.l.Addr().String(), i, "in_service"})
	}
	d, err := r.newDiscovery(list(41, true, "", entries...), 41, 0)
	if err != nil {
		return err
	}
	d.onTold = func(i int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if id := d.drains[i]; id != "" && s.told[id].IsZero() {
			s.told[id] = time.Now()
		}
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		listen, d.listener.Addr().String(), list(41, true, "", entries...), stallSettings)
	path := filepath.Join(r.dir, "config.json")
	os.WriteFile(path, []byte(text), 0o600)
	in, err := r.start("initiator", []string{"ROUTER_CONFIG=" + path}, "exec bin/appleplank initiator")
	if err != nil {
		return err
	}
	if err := r.waitFor("ready", 10*time.Second, func() bool { return listening(listen) }); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	one := func(w, n int, class, key, plan string, cell int, seq int) {
		id := fmt.Sprintf("%04x%012x", w, n)
		q := &sreq{id: id, class: class, key: key, plan: plan, units: 1 + rand.IntN(3), seq: seq, timeout: time.Duration(1500+rand.IntN(2500)) * time.Millisecond}
		c, err := net.Dial("tcp", listen)
		if err != nil {
			s.mu.Lock()
			s.counts["nodial"]++
			s.mu.Unlock()
			return
		}
		defer c.Close()
		method, extra := "GET", ""
		if class != "look" {
			method = "PUT"
			extra = "Content-Length: 3\r\n"
			if class == "save" {
				extra += "Idempotency-Key: k" + id + "\r\n"
			}
		}
		text := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Storage-Class: %s\r\nRequest-Timeout: %dm\r\n%sX-Extent: volume=%016x,units=%d,shard=%d,hosts=1\r\n\r\n",
			method, class, key, id, class, plan, q.timeout.Milliseconds(), extra, 7+len(plan), q.units, cell)
		if class != "look" {
			text += "abc"
		}
		s.mu.Lock()
		s.reqs[id] = q
		s.byKey[key] = append(s.byKey[key], q)
		q.sent = time.Now()
		s.mu.Unlock()
		io.WriteString(c, text)
		leave := time.Duration(0)
		if rand.IntN(10) == 0 {
			leave = time.Duration(rand.IntN(1500)) * time.Millisecond
		}
		limit := q.timeout + 3*time.Second
		if leave > 0 {
			limit = leave
		}
		c.SetReadDeadline(time.Now().Add(limit))
		var m http1.Message
		err = http1.NewReader(c).ReadAnswer(&m)
		now := time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil {
			q.closed = now
			var ne net.Error
			if leave == 0 {
				stalled := false
				for _, x := range s.stalls {
					dl := q.sent.Add(q.timeout)
					stalled = stalled || dl.After(x[0].Add(-100*time.Millisecond)) && (x[1].IsZero() || dl.Before(x[1].Add(300*time.Millisecond)))
				}
				if !stalled || errors.As(err, &ne) && ne.Timeout() {
					s.complain("lost: %s %s: no answer: %v after %v (timeout %v)", class, id, err, now.Sub(q.sent), q.timeout)
				}
			}
			return
		}
		q.answered, q.status = now, m.Status
		s.counts[fmt.Sprint(class, m.Status)]++
		if m.Status == 200 && string(m.Body) != "for "+id {
			s.complain("foreign answer for %s: %q", id, m.Body)
		}
		if (m.Status == 503 || m.Status == 429) && class != "look" {
			for _, a := range q.atts {
				if a.result != "never" {
					s.complain("refused %s though an attempt may have run (%s)", id, a.result)
				}
			}
		}
		if late := now.Sub(q.sent) - q.timeout; late > 550*time.Millisecond {
			stalled := false
			for _, x := range s.stalls {
				dl := q.sent.Add(q.timeout)
				stalled = stalled || dl.After(x[0].Add(-100*time.Millisecond)) && (x[1].IsZero() || dl.Before(x[1].Add(100*time.Millisecond)))
			}
			if !stalled {
				s.complain("late: %s %v after its time", id, late)
			}
		}
	}
	for w := range 24 {
		wg.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(20+rand.IntN(200)) * time.Millisecond):
				}
				class := []string{"look", "pay"}[rand.IntN(2)]
				plan := []string{"pro", "pro", "thin"}[rand.IntN(3)]
				one(w, n, class, fmt.Sprintf("%016x", 1000*w+n%7+1), plan, rand.IntN(4), 0)
			}
		})
	}
	for k := range 6 { // keys with writes in sequence, 60 ms apart
		wg.Go(func() {
			var inner sync.WaitGroup
			for n := 1; ; n++ {
				select {
				case <-stop:
					inner.Wait()
					return
				case <-time.After(time.Duration(60+rand.IntN(300)) * time.Millisecond):
				}
				inner.Go(func() { one(100+k, n, "save", fmt.Sprintf("%016x", 0xabc000+k), "pro", k%4, n) })
			}
		})
	}
	next, revision := 4, 41
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(2300+rand.IntN(1500)) * time.Millisecond)
		drainNow := strings.Contains(kinds, "drain")
		change := func() {
			i := rand.IntN(4)
			old := cur[i]
			t, _ := s.newTarget(fmt.Sprintf("s-%08x", next), i)
			next++
			cur[i] = t
			revision++
			d.mu.Lock()
			d.drains = append(d.drains, old.id)
			d.mu.Unlock()
			d.change(list(revision, false, "", entry{old.id, old.l.Addr().String(), i, "terminating"}, entry{t.id, t.l.Addr().String(), i, "in_service"}))
		}
		if strings.Contains(kinds, "stall") {
			length := time.Duration(860+rand.IntN(940)) * time.Millisecond
			s.mu.Lock()
			s.stalls = append(s.stalls, [2]time.Time{time.Now()})
			s.mu.Unlock()
			in.signal(syscall.SIGSTOP)
			if drainNow {
				time.Sleep(length / 3)
				change()
				time.Sleep(length * 2 / 3)
			} else {
				time.Sleep(length)
			}
			s.mu.Lock()
			s.stalls[len(s.stalls)-1][1] = time.Now()
			s.mu.Unlock()
			in.signal(syscall.SIGCONT)
		} else if drainNow {
			change()
		}
	}
	close(stop)
	wg.Wait()
	// order
	s.mu.Lock()
	const tol = 8 * time.Millisecond
	for _, list := range s.byKey {
		for _, q := range list {
			for _, a := range q.atts {
				for _, e := range list {
					if q.class != "save" || e.seq >= q.seq || !e.sent.Before(q.sent.Add(-30*time.Millisecond)) {
						continue
					}
					if e.answered.IsZero() && e.closed.IsZero() || !e.answered.IsZero() && e.answered.After(a.at.Add(tol)) || !e.closed.IsZero() && e.closed.After(a.at.Add(tol)) {
						s.complain("order: %s (seq %d) at %.3f while %s (seq %d, status %d) not over until %.3f/%.3f", q.id, q.seq, a.at.Sub(s.begun).Seconds(), e.id, e.seq, e.status, e.answered.Sub(s.begun).Seconds(), e.closed.Sub(s.begun).Seconds())
					}
					for _, ea := range e.atts {
						if ea.at.After(a.at) {
							s.complain("order: earlier %s sent at %.3f after later %s at %.3f", e.id, ea.at.Sub(s.begun).Seconds(), q.id, a.at.Sub(s.begun).Seconds())
						} else if ea.ended.IsZero() || ea.ended.After(a.at.Add(tol)) || ea.result == "hang" && a.at.Sub(ea.ended) < 300*time.Millisecond-tol {
							s.complain("order: %s (seq %d) at %.3f while attempt of %s (seq %d, %s) ended %.3f", q.id, q.seq, a.at.Sub(s.begun).Seconds(), e.id, e.seq, ea.result, ea.ended.Sub(s.begun).Seconds())
						}
					}
				}
			}
		}
	}
	s.mu.Unlock()
	// the limit of the plan "thin": one volume
	type draw struct {
		at    time.Time
		units int
	}
	var draws []draw
	s.mu.Lock()
	for _, q := range s.reqs {
		if q.plan == "thin" && len(q.atts) > 0 {
			draws = append(draws, draw{q.atts[0].at, q.units})
		}
	}
	slices.SortFunc(draws, func(a, b draw) int { return a.at.Compare(b.at) })
	store, least := 20.0, 20.0
	for i, x := range draws {
		if i > 0 {
			store = min(20, store+10*x.at.Sub(draws[i-1].at).Seconds())
		}
		store -= float64(x.units)
		least = min(least, store)
	}
	if least < -6-1.5 {
		s.complain("limit: the store fell to %.2f", least)
	}
	s.say("%v, limit draws %d least %.2f, bad %d", s.counts, len(draws), least, s.bad)
	s.mu.Unlock()
	if s.bad > 0 {
		return errBroken
	}
	return nil
}
