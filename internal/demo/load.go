package demo

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"appleplank/internal/audit"
	"appleplank/internal/block"
	"appleplank/internal/settings"
	"appleplank/internal/standin"
)

// book is what all clients write down.
type book struct {
	mu       sync.Mutex
	requests []*audit.Request
	wants    []*want
	strange  int
	counts   [4]atomic.Uint64 // served, refused, failed, left
	asked    atomic.Uint64
	token    atomic.Uint64
}

// want is what a client wanted, over all its tries.
type want struct {
	class  int
	start  time.Time
	end    time.Time
	served bool
	over   bool
}

func (b *book) add(r *audit.Request, w *want) {
	b.mu.Lock()
	b.requests = append(b.requests, r)
	if w != nil {
		b.wants = append(b.wants, w)
	}
	b.mu.Unlock()
	b.asked.Add(1)
}

// program is the programs of one volume at one gateway: it asks for reads and writes of its own part of the volume, at
// random times, and repeats at most once what was not served.
type program struct {
	s       *stage
	cfg     *settings.Config
	book    *book
	volume  int
	gateway int
	from    int64 // its part of the volume
	size    int64
	rate    func() float64 // requests a second now
	eager   *atomic.Bool
	rng     *rand.Rand

	mu     sync.Mutex
	client *standin.Client
	out    map[*audit.Request]bool
	busy   map[int64]int // sectors of reads and writes that are out, by their start
	late   sync.WaitGroup
	over   chan struct{}
}

const mostAsk = 512 << 10

// run asks until the day is over.
func (p *program) run() {
	for {
		rate := p.rate()
		wait := time.Duration(p.rng.ExpFloat64() / max(rate, 0.1) * float64(time.Second))
		select {
		case <-p.over:
			return
		case <-time.After(min(wait, 200*time.Millisecond)):
			if wait > 200*time.Millisecond {
				continue // the rate may have changed meanwhile, and waiting has no memory
			}
		}
		if c := p.connected(); c != nil {
			p.ask(c)
		}
	}
}

// connected is the client, connecting it where its gateway has come back.
func (p *program) connected() *standin.Client {
	p.mu.Lock()
	c := p.client
	p.mu.Unlock()
	if c != nil {
		return c
	}
	v := p.s.Shape.Volumes[p.volume].Name
	c, err := standin.Dial(p.s.Socket(p.gateway, v), standin.ClientConfig{Queues: 2, Depth: 48, MostData: mostAsk,
		EventIdx: true, Indirect: p.volume%2 == 0, Advice: true, Inflight: p.volume%3 != 2})
	if err != nil {
		select {
		case <-p.over:
		case <-time.After(50 * time.Millisecond):
		}
		return nil
	}
	p.mu.Lock()
	p.client = c
	p.mu.Unlock()
	c.Watch(func() { go p.back(c) })
	return c
}

// back deals with a gateway that went away: a client that keeps a region of what is in flight takes it to the next
// process, one that does not has lost what it had out.
func (p *program) back(c *standin.Client) {
	if !c.Config.Inflight {
		p.lose(c)
		return
	}
	for {
		p.mu.Lock()
		ours := p.client == c
		p.mu.Unlock()
		if !ours {
			return
		}
		if c.Reconnect(p.s.Socket(p.gateway, p.s.Shape.Volumes[p.volume].Name)) == nil {
			c.Watch(func() { go p.back(c) })
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// lose lets go of a client: what it had out will not be answered.
func (p *program) lose(c *standin.Client) {
	p.mu.Lock()
	if p.client != c {
		p.mu.Unlock()
		return
	}
	p.client = nil
	p.mu.Unlock()
	c.Vanish()
	p.book.mu.Lock()
	p.book.strange += c.Strange()
	p.book.mu.Unlock()
	p.mu.Lock()
	now := time.Now()
	for r := range p.out {
		if r.Answers == 0 {
			r.Abandoned, r.End = true, now
			p.book.counts[3].Add(1)
		}
		delete(p.out, r)
	}
	clear(p.busy)
	p.mu.Unlock()
}

// vanish makes the client leave in the middle of what it does.
func (p *program) vanish() {
	p.mu.Lock()
	c := p.client
	p.mu.Unlock()
	if c != nil {
		p.lose(c)
	}
}

// ask makes up a request and sends it.
func (p *program) ask(c *standin.Client) {
	r := &audit.Request{Gateway: p.gateway, Volume: p.volume, Kind: block.Read, Len: int64(1+p.rng.IntN(16)) * 4096}
	switch x := p.rng.Float64(); {
	case x < 0.12:
		r.Len = mostAsk / int64(1+p.rng.IntN(2)) // a report
	case x < 0.42:
		r.Kind = block.Write
		r.Len = int64(1+p.rng.IntN(4)) * 4096 // a save
		if p.rng.Float64() < 0.2 {
			r.Len = 32 << 10 // a journal
		}
	case x < 0.43:
		r.Kind, r.Len = block.Flush, 0
	}
	if r.Kind != block.Flush {
		r.Offset = p.from + p.rng.Int64N((p.size-r.Len)/4096)*4096
		if p.rng.Float64() < 0.15 { // a few blocks are wanted again and again
			r.Offset = p.from + p.rng.Int64N(4)*4096
		}
	}
	class, _ := p.cfg.Volumes[p.volume].Class(r.Kind, r.Len)
	w := &want{class: class, start: time.Now()}
	p.send(c, r, w, 0)
}

// send puts a request on the ring and deals with its answer.
func (p *program) send(c *standin.Client, r *audit.Request, w *want, try int) {
	kind, size := uint32(0), int(r.Len)
	var data []byte
	switch r.Kind {
	case block.Write:
		kind, r.Token = 1, p.book.token.Add(1)
		data = make([]byte, r.Len)
		for at := 0; at < len(data); at += block.Sector { // every sector bears the mark
			binary.LittleEndian.PutUint64(data[at:], r.Token)
		}
	case block.Flush:
		kind = 4
	}
	p.mu.Lock()
	// Two reads of the same bytes at a time could not be told apart at the nodes.
	if key := r.Offset<<8 | int64(r.Kind); r.Kind != block.Write && p.busy[key] > 0 || p.client != c {
		p.mu.Unlock()
		return
	} else {
		p.busy[key]++
	}
	r.Start = time.Now()
	p.out[r] = true
	p.mu.Unlock()
	if try == 0 {
		p.book.add(r, w)
	} else {
		p.book.add(r, nil)
	}
	err := c.Submit(p.rng0(r), kind, uint64(r.Offset/block.Sector), data, size, func(a standin.Reply) { p.answered(c, r, w, try, a) })
	if err != nil {
		go p.lose(c)
	}
}

// rng0 chooses a queue: by the bytes asked for, so that one queue sees what overlaps in the order it was asked for.
func (p *program) rng0(r *audit.Request) int { return int(r.Offset>>20) & 1 }

func (p *program) answered(c *standin.Client, r *audit.Request, w *want, try int, a standin.Reply) {
	now := time.Now()
	p.mu.Lock()
	r.Answers++
	r.End, r.Verdict = now, a.Verdict
	if p.out[r] {
		delete(p.out, r)
		if key := r.Offset<<8 | int64(r.Kind); p.busy[key] > 0 {
			p.busy[key]--
		}
	}
	p.mu.Unlock()
	p.book.counts[a.Verdict].Add(1)
	p.book.mu.Lock()
	w.end, w.served = now, a.Verdict == block.Served
	w.over = true
	p.book.mu.Unlock()
	cl := &p.cfg.Logic.Classes[w.class]
	if a.Verdict == block.Served || try > 0 {
		return
	}
	wait := max(a.Wait, 10*time.Millisecond)
	if p.eager.Load() {
		wait = 0
	}
	if now.Add(wait).After(w.start.Add(time.Duration(cl.Deadline) * time.Microsecond)) {
		return
	}
	// A failed change may have run: a client may only write it again as something new, which it is by its mark.
	p.late.Add(1)
	time.AfterFunc(wait, func() {
		defer p.late.Done()
		select {
		case <-p.over:
			return
		default:
		}
		again := &audit.Request{Gateway: r.Gateway, Volume: r.Volume, Kind: r.Kind, Offset: r.Offset, Len: r.Len}
		p.send(c, again, w, 1)
	})
}

// settle waits until everything asked was answered, up to a limit.
func (p *program) settle(limit time.Time) {
	p.late.Wait()
	for time.Now().Before(limit) {
		p.mu.Lock()
		n := len(p.out)
		p.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
