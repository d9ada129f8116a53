package standin

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"appleplank/internal/nvme"
)

// NodeConfig is what a stand-in node is.
type NodeConfig struct {
	NQN        string
	Address    string           // host:port; port 0 picks one, kept over restarts
	Namespaces map[uint32]int64 // bytes
	BlockSize  uint32
	Cores      int
	Base       time.Duration // work of a command; with PerKiB both 0 it is answered at once
	PerKiB     time.Duration
	QueueMost  int           // commands that wait; more are turned away
	ColdFrom   float64       // part of its speed a fresh process has; 0: all of it
	ColdTime   time.Duration // until it has all
	TipOver    float64       // cold: more than so many times its capacity within TipTime pushes it over; 0: never
	TipTime    time.Duration
	PutOff     float64       // part of a write's work that is put off, done in one go every PutOffEvery
	PutOffGo   time.Duration // how often
	PauseEvery time.Duration // the whole node stands still so often, at times of its own
	PauseFor   time.Duration
	Remember   time.Duration // repeats of a key are dropped for so long
	Plain      bool          // no vendor features
	Digests    bool
	MDTS       uint8
	InCapsule  int // bytes of data a command's capsule may carry
	NoZeroes   bool
	WriteCache bool
	Volatile   bool // a crash takes back what was written without FUA since the last flush
	Align      int
	Seed       uint64
	Record     bool // keep records for the audit
}

// Trouble is what a node does wrong, until it is told otherwise. The zero value is none.
type Trouble struct {
	Slow    float64 // times its work; 0 or 1: none
	Hang    bool    // takes commands and works on none
	Lose    float64 // part of the answers that never leave
	Twice   float64 // part of the answers that leave twice
	Wrong   float64 // part of the answers that leave under an id that is not out
	Fail    float64 // part of the commands that fail at once
	Full    bool    // turns everything away
	Late    time.Duration
	Deaf    bool // takes connections and never answers
	Drip    int  // bytes a second it sends; 0: no bound
	Blind   bool // reads nothing more
	FlipBit float64
}

// Node is a stand-in storage node. Its data outlasts crashes.
type Node struct {
	cfg NodeConfig
	t   target

	mu       sync.Mutex
	cond     *sync.Cond
	queue    []*job
	working  int
	trouble  Trouble
	started  time.Time
	down     bool
	fell     bool // it was pushed over and stays down
	draining bool
	changes  uint64
	rng      *rand.Rand
	putOff   time.Duration
	received []work // within TipTime
	seen     map[repeatKey]time.Time
	meter    map[uint32]*meter
	records  []Command
	tellings []Telling
	reportAt time.Time
	report   nvme.Report
	workers  sync.WaitGroup
	stop     bool

	storeMu sync.RWMutex
	store   map[uint32][]byte
	cached  []undo // Volatile: what the write cache holds, by what was there before

	Served atomic.Uint64 // commands answered with success
	Taken  atomic.Uint64 // I/O commands that came
}

// undo is what a cached write has overwritten.
type undo struct {
	ns  uint32
	off int64
	b   []byte
}

// mostCached bounds the write cache, in writes; a full one is stored.
const mostCached = 4096

// change overwrites bytes of a namespace; nil zeroes them.
func (n *Node) change(ns uint32, off, size int64, data []byte, stored bool) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	at := n.store[ns][off : off+size]
	if n.cfg.Volatile && !stored {
		if len(n.cached) >= mostCached {
			n.cached = nil
		}
		n.cached = append(n.cached, undo{ns, off, slices.Clone(at)})
	}
	if data == nil {
		clear(at)
	} else {
		copy(at, data)
	}
}

// forgetCached takes back what was not stored.
func (n *Node) forgetCached() {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	for _, u := range slices.Backward(n.cached) {
		copy(n.store[u.ns][u.off:], u.b)
	}
	n.cached = nil
}

type work struct {
	at time.Time
	d  time.Duration
}

type repeatKey struct {
	key, first uint64
	op         uint8
}

type meter struct {
	total int64
	hosts map[string]*[2]int64 // own, and total - own at the last answer
}

type job struct {
	c    *conn
	cmd  nvme.Command
	data []byte
	at   time.Time
	d    time.Duration
	rec  int // below zero: none
}

// Command is a node's record of one I/O command.
type Command struct {
	Received  time.Time
	Executed  time.Time // when its effect took place; zero: never
	Answered  time.Time // when its first answer left; zero: never
	Host      string
	Conn      uint64
	CID       uint16
	Opcode    uint8
	Namespace uint32
	Offset    int64
	Len       int64
	Key       uint64
	Token     uint64 // the first 8 bytes of what a write carries: the client's own mark
	Repeat    bool   // dropped as a repeat
	Status    nvme.Status
	Cold      bool // at a node that was not warm
	Draining  bool
	Work      time.Duration
	Capacity  float64 // of the node at that moment, in cores
}

// NewNode makes a node that is not up yet.
func NewNode(cfg NodeConfig) *Node {
	if cfg.BlockSize == 0 {
		cfg.BlockSize = 512
	}
	if cfg.Cores == 0 {
		cfg.Cores = 2
	}
	if cfg.QueueMost == 0 {
		cfg.QueueMost = 256
	}
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	n := &Node{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), store: map[uint32][]byte{}, seen: map[repeatKey]time.Time{},
		meter: map[uint32]*meter{}}
	n.cond = sync.NewCond(&n.mu)
	for id, size := range cfg.Namespaces {
		n.store[id] = make([]byte, size)
	}
	n.t = target{nqn: cfg.NQN, digests: cfg.Digests, align: cfg.Align, identify: n.identify, log: n.logPage, admin: n.admin, io: n.take}
	return n
}

// Up starts the process: it listens, cold where the configuration says so unless warm is set.
func (n *Node) Up(warm bool) error {
	if err := n.t.listen(n.cfg.Address); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Address = n.t.ln.Addr().String()
	n.down, n.stop, n.started, n.draining = false, false, time.Now(), false
	if warm {
		n.started = time.Now().Add(-n.cfg.ColdTime - time.Hour)
	}
	for range n.cfg.Cores {
		n.workers.Add(1)
		go n.work()
	}
	if n.cfg.PutOffGo > 0 {
		n.workers.Add(1)
		go n.flushPutOff()
	}
	return nil
}

// Crash ends the process at once: connections break, what waits is lost, what runs ends without effect.
func (n *Node) Crash() {
	n.mu.Lock()
	n.down, n.stop = true, true
	n.trouble.Hang = false
	n.queue = nil
	clear(n.seen)
	n.cond.Broadcast()
	n.mu.Unlock()
	n.t.close()
	n.workers.Wait()
	n.forgetCached()
}

// Reset breaks all connections; the process goes on.
func (n *Node) Reset() { n.t.reset() }

// Address is where it listens; valid once it was up.
func (n *Node) Address() string { n.mu.Lock(); defer n.mu.Unlock(); return n.cfg.Address }

// NQN is its name.
func (n *Node) NQN() string { return n.cfg.NQN }

// Fell tells whether it was pushed over.
func (n *Node) Fell() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.fell }

// Set makes the node's troubles what they are.
func (n *Node) Set(change func(t *Trouble)) {
	n.mu.Lock()
	change(&n.trouble)
	n.t.deaf.Store(n.trouble.Deaf)
	n.t.slow.Store(int64(n.trouble.Drip))
	n.t.blind.Store(n.trouble.Blind)
	n.cond.Broadcast()
	n.mu.Unlock()
}

// Drain tells hosts by its ANA log page that it takes nothing new, or that it does again.
func (n *Node) Drain(on bool) {
	n.mu.Lock()
	n.draining = on
	n.changes++
	n.mu.Unlock()
	n.t.each(func(c *conn) {
		if c.qid == 0 {
			go c.notify(notice(0x03, nvme.LogANA))
		}
	})
}

// Records are what came, in the order it came.
func (n *Node) Records() []Command { n.mu.Lock(); defer n.mu.Unlock(); return slices.Clone(n.records) }

// Read copies stored bytes, for tests that look behind the gateway's back.
func (n *Node) Read(ns uint32, off int64, b []byte) {
	n.storeMu.RLock()
	defer n.storeMu.RUnlock()
	copy(b, n.store[ns][off:])
}

func (n *Node) identify(cntlid uint16) nvme.Controller {
	ctl := nvme.Controller{Serial: "standin", Model: "appleplank stand-in node", Firmware: "1", MDTS: n.cfg.MDTS, CNTLID: cntlid,
		Version: 0x20000, OAES: nvme.EventANA | nvme.EventNamespace, ANA: true, ANAGroups: 1, KAS: 10, Namespaces: 1024,
		ONCS: nvme.ONCSDSM | nvme.ONCSWriteZeroes, WriteCache: n.cfg.WriteCache, SGLs: 1<<20 | 1, SubNQN: n.cfg.NQN,
		CapsuleSize: 64 + n.cfg.InCapsule&^15, MaxCmd: 1024}
	if n.cfg.NoZeroes {
		ctl.ONCS = 0
	}
	return ctl
}

// Telling is what a host was told of a node, by the node or by the directory.
type Telling struct {
	Host  string
	NQN   string
	At    time.Time
	Ready bool // it takes new work
}

// Tellings are what the node's ANA log page has told.
func (n *Node) Tellings() []Telling {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.tellings)
}

func (n *Node) logPage(id uint8, host string) ([]byte, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case id == nvme.LogANA:
		n.tellings = append(n.tellings, Telling{host, n.cfg.NQN, time.Now(), !n.draining})
		g := nvme.ANAGroup{ID: 1, State: nvme.ANAStateOptimized}
		if n.draining {
			g.State = nvme.ANAStateInaccessible
		}
		for id := range n.cfg.Namespaces {
			g.Namespaces = append(g.Namespaces, id)
		}
		slices.Sort(g.Namespaces)
		return (&nvme.ANALog{Changes: n.changes, Groups: []nvme.ANAGroup{g}}).Marshal(), true
	case id == nvme.LogProcess && !n.cfg.Plain:
		return nvme.Process{Age: uint64(time.Since(n.started).Microseconds())}.Marshal(), true
	}
	return nil, false
}

func (n *Node) admin(c *conn, cmd *nvme.Command) (nvme.Status, uint32, bool) {
	switch cmd.Opcode() {
	case nvme.OpIdentify:
		size, ok := n.cfg.Namespaces[cmd.NSID()]
		if uint8(cmd.Dword(10)) != nvme.CNSNamespace || !ok {
			return nvme.InvalidNamespace | nvme.DoNotRetry, 0, true
		}
		c.send(cmd.CID(), (&nvme.Namespace{Blocks: uint64(size) / uint64(n.cfg.BlockSize), BlockSize: n.cfg.BlockSize, ANAGroup: 1}).Marshal())
		return pending, 0, true
	case nvme.OpSetFeatures:
		if uint8(cmd.Dword(10)) == nvme.FeatReports && !n.cfg.Plain {
			n.t.each(func(q *conn) { // of the whole controller, whichever of its queues came first
				if q.cntlid == c.cntlid {
					q.reports.Store(cmd.Dword(11)&1 != 0)
				}
			})
			return nvme.Success, 0, true
		}
	case nvme.OpAbort:
		return nvme.Success, n.abort(c, uint16(cmd.Dword(10)), uint16(cmd.Dword(10)>>16)), true
	}
	return 0, 0, false
}

// abort drops a command that waits; bit 0 of the result says that it was not.
func (n *Node) abort(c *conn, qid, cid uint16) uint32 {
	n.mu.Lock()
	for i, j := range n.queue {
		if j.c != nil && j.c.cntlid == c.cntlid && j.c.qid == qid && j.cmd.CID() == cid {
			n.queue = slices.Delete(n.queue, i, i+1)
			n.mu.Unlock()
			n.answer(j, nvme.AbortRequested, nil)
			return 0
		}
	}
	n.mu.Unlock()
	return 1
}

// capacity is how many warm cores the node is worth now. The caller holds mu.
func (n *Node) capacity(now time.Time) (cores float64, cold bool) {
	cores = float64(n.cfg.Cores)
	if age := now.Sub(n.started); n.cfg.ColdFrom > 0 && age < n.cfg.ColdTime {
		return cores * (n.cfg.ColdFrom + (1-n.cfg.ColdFrom)*float64(age)/float64(n.cfg.ColdTime)), true
	}
	return cores, false
}

// take accepts an I/O command.
func (n *Node) take(c *conn, cmd nvme.Command, data []byte) {
	now := time.Now()
	n.Taken.Add(1)
	bytes := int64(0)
	first, blocks := cmd.BlockRange()
	switch cmd.Opcode() {
	case nvme.OpRead, nvme.OpWrite, nvme.OpWriteZeroes:
		bytes = int64(blocks) * int64(n.cfg.BlockSize)
	}
	d := n.cfg.Base + time.Duration(bytes>>10)*n.cfg.PerKiB
	j := &job{c: c, cmd: cmd, data: data, at: now, d: d, rec: -1}
	n.mu.Lock()
	cores, cold := n.capacity(now)
	if n.cfg.Record {
		j.rec = len(n.records)
		r := Command{Received: now, Host: c.host, Conn: c.id<<16 | uint64(c.qid), CID: cmd.CID(), Opcode: cmd.Opcode(), Namespace: cmd.NSID(),
			Offset: int64(first) * int64(n.cfg.BlockSize), Len: bytes, Key: cmd.Key(), Cold: cold, Draining: n.draining, Work: d, Capacity: cores}
		if len(data) >= 8 && cmd.Opcode() == nvme.OpWrite {
			r.Token = binary.LittleEndian.Uint64(data)
		}
		n.records = append(n.records, r)
	}
	status := n.refuse(&cmd, data, bytes)
	if status == nvme.Success && cold && n.cfg.TipOver > 0 {
		n.received = append(n.received, work{now, d})
		for len(n.received) > 0 && now.Sub(n.received[0].at) > n.cfg.TipTime {
			n.received = n.received[1:]
		}
		sum := time.Duration(0)
		for _, w := range n.received {
			sum += w.d
		}
		if float64(sum) > n.cfg.TipOver*cores*float64(n.cfg.TipTime) {
			n.fell = true
			n.mu.Unlock()
			go n.Crash()
			return
		}
	}
	if status != nvme.Success {
		n.mu.Unlock()
		n.answer(j, status, nil)
		return
	}
	if d == 0 && !n.trouble.Hang {
		n.mu.Unlock()
		n.execute(j)
		return
	}
	n.queue = append(n.queue, j)
	n.cond.Signal()
	n.mu.Unlock()
}

// refuse checks a command, and turns it away where a trouble says so. The caller holds mu.
func (n *Node) refuse(cmd *nvme.Command, data []byte, bytes int64) nvme.Status {
	size, ok := n.cfg.Namespaces[cmd.NSID()]
	first, _ := cmd.BlockRange()
	switch {
	case !ok:
		return nvme.InvalidNamespace | nvme.DoNotRetry
	case n.draining:
		return nvme.ANAInaccessible
	case n.trouble.Full || len(n.queue) >= n.cfg.QueueMost:
		return nvme.NamespaceNotReady
	case n.trouble.Fail > 0 && n.rng.Float64() < n.trouble.Fail:
		return nvme.InternalError
	case bytes > 0 && int64(first)*int64(n.cfg.BlockSize)+bytes > size:
		return nvme.LBAOutOfRange | nvme.DoNotRetry
	case cmd.Opcode() == nvme.OpWrite && int64(len(data)) != bytes:
		return nvme.SGLLengthInvalid | nvme.DoNotRetry
	case n.cfg.MDTS > 0 && cmd.Opcode() <= nvme.OpRead && bytes > 4096<<n.cfg.MDTS:
		return nvme.InvalidField | nvme.DoNotRetry
	}
	switch cmd.Opcode() {
	case nvme.OpRead, nvme.OpWrite, nvme.OpFlush:
		return nvme.Success
	case nvme.OpWriteZeroes, nvme.OpDSM:
		if !n.cfg.NoZeroes {
			return nvme.Success
		}
	}
	return nvme.InvalidOpcode | nvme.DoNotRetry
}

// work is one core.
func (n *Node) work() {
	defer n.workers.Done()
	n.mu.Lock()
	for {
		for !n.stop && (len(n.queue) == 0 || n.trouble.Hang) {
			n.cond.Wait()
		}
		if n.stop {
			n.mu.Unlock()
			return
		}
		j := n.queue[0]
		n.queue = n.queue[1:]
		n.working++
		cores, _ := n.capacity(time.Now())
		d := float64(j.d) * float64(n.cfg.Cores) / cores * max(n.trouble.Slow, 1)
		if j.c != nil && j.cmd.Opcode() == nvme.OpWrite && n.cfg.PutOff > 0 {
			n.putOff += time.Duration(d * n.cfg.PutOff)
			d *= 1 - n.cfg.PutOff
		}
		n.mu.Unlock()
		n.standStill()
		time.Sleep(time.Duration(d))
		n.mu.Lock()
		n.working--
		if n.stop {
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		if j.c != nil {
			n.execute(j)
		}
		n.mu.Lock()
	}
}

// standStill waits while the node pauses, as it does at the same moments on all its cores.
func (n *Node) standStill() {
	if n.cfg.PauseEvery > 0 {
		if at := (time.Since(n.begun()) + time.Duration(n.cfg.Seed)*time.Second/3) % n.cfg.PauseEvery; at < n.cfg.PauseFor {
			time.Sleep(n.cfg.PauseFor - at)
		}
	}
}

// flushPutOff has a core do what writes have put off, in one go.
func (n *Node) flushPutOff() {
	defer n.workers.Done()
	for last := time.Now(); ; {
		time.Sleep(min(n.cfg.PutOffGo, 20*time.Millisecond))
		n.mu.Lock()
		if n.stop {
			n.mu.Unlock()
			return
		}
		if time.Since(last) >= n.cfg.PutOffGo && n.putOff > 0 {
			last = time.Now()
			n.queue = slices.Insert(n.queue, 0, &job{d: n.putOff, rec: -1})
			n.putOff = 0
			n.cond.Signal()
		}
		n.mu.Unlock()
	}
}

// execute lets a command take its effect, and answers it.
func (n *Node) execute(j *job) {
	cmd := &j.cmd
	first, blocks := cmd.BlockRange()
	off, size := int64(first)*int64(n.cfg.BlockSize), int64(blocks)*int64(n.cfg.BlockSize)
	now := time.Now()
	n.mu.Lock()
	if key := cmd.Key(); key != 0 && j.c.reports.Load() && cmd.Opcode() != nvme.OpRead && n.cfg.Remember > 0 {
		k := repeatKey{key, first, cmd.Opcode()}
		if at, ok := n.seen[k]; ok && now.Sub(at) < n.cfg.Remember {
			if j.rec >= 0 {
				n.records[j.rec].Repeat = true
			}
			n.mu.Unlock()
			n.answer(j, nvme.Success, nil)
			return
		}
		n.seen[k] = now
	}
	if j.rec >= 0 {
		n.records[j.rec].Executed = now
	}
	n.mu.Unlock()
	var data []byte
	switch cmd.Opcode() {
	case nvme.OpWrite:
		n.change(cmd.NSID(), off, int64(len(j.data)), j.data, cmd.Dword(12)&nvme.FUA != 0)
	case nvme.OpWriteZeroes:
		n.change(cmd.NSID(), off, size, nil, cmd.Dword(12)&nvme.FUA != 0)
	case nvme.OpFlush:
		n.storeMu.Lock()
		n.cached = nil
		n.storeMu.Unlock()
	case nvme.OpRead:
		data = make([]byte, size)
		n.storeMu.RLock()
		copy(data, n.store[cmd.NSID()][off:])
		n.storeMu.RUnlock()
	}
	n.answer(j, nvme.Success, data)
}

// answer sends a completion, with what troubles make of it.
func (n *Node) answer(j *job, s nvme.Status, data []byte) {
	n.mu.Lock()
	tr := &n.trouble
	lose := tr.Lose > 0 && n.rng.Float64() < tr.Lose
	twice := tr.Twice > 0 && n.rng.Float64() < tr.Twice
	wrong := tr.Wrong > 0 && n.rng.Float64() < tr.Wrong
	if tr.FlipBit > 0 && len(data) > 0 && n.rng.Float64() < tr.FlipBit {
		data[n.rng.IntN(len(data))] ^= 1 << n.rng.IntN(8)
	}
	dw0, dw1 := uint32(0), uint32(0)
	if j.c.reports.Load() && s == nvme.Success {
		dw0, dw1 = n.measure(j, int64(len(data)+len(j.data))).Dwords()
	}
	if j.rec >= 0 {
		r := &n.records[j.rec]
		if r.Status = s; !lose {
			r.Answered = time.Now()
		}
	}
	n.mu.Unlock()
	if s == nvme.Success {
		n.Served.Add(1)
	}
	if lose {
		return
	}
	cid := j.cmd.CID()
	if wrong {
		cid ^= 0x4000
	}
	for again := true; again; again, twice = twice, false {
		q := nvme.NewCompletion(cid, 0, s, dw0, dw1)
		j.c.sendWith(cid, data, q)
	}
}

// measure makes the load report, refreshed as late as the trouble says. The caller holds mu.
func (n *Node) measure(j *job, bytes int64) nvme.Report {
	m := n.meter[j.cmd.NSID()]
	if m == nil {
		m = &meter{hosts: map[string]*[2]int64{}}
		n.meter[j.cmd.NSID()] = m
	}
	h := m.hosts[j.c.host]
	if h == nil {
		h = &[2]int64{}
		m.hosts[j.c.host] = h
	}
	m.total += bytes
	h[0] += bytes
	elsewhere := m.total - h[0] - h[1]
	h[1] = m.total - h[0]
	if now := time.Now(); now.Sub(n.reportAt) >= n.trouble.Late {
		n.reportAt = now
		n.report = nvme.Report{Busy: uint8(100 * n.working / n.cfg.Cores), Requests: uint16(len(n.queue) + n.working), Waiting: uint16(len(n.queue))}
	}
	r := n.report
	r.ElsewhereKiB = uint32(elsewhere >> 10)
	return r
}

// throttled sends no faster than told.
type throttled struct {
	net.Conn
	rate *atomic.Int64
}

func (t *throttled) Write(b []byte) (n int, err error) {
	for n < len(b) {
		rate := t.rate.Load()
		if rate <= 0 {
			m, err := t.Conn.Write(b[n:])
			return n + m, err
		}
		step := min(len(b)-n, max(int(rate)/4, 1))
		m, err := t.Conn.Write(b[n : n+step])
		if n += m; err != nil {
			return n, err
		}
		time.Sleep(time.Duration(step) * time.Second / time.Duration(rate))
	}
	return n, nil
}

// Hosts is how many hosts have an admin queue and have read the node's ANA page since it came up.
func (n *Node) Hosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts := map[string]bool{}
	for _, t := range n.tellings {
		if t.At.After(n.started) {
			hosts[t.Host] = true
		}
	}
	return len(hosts)
}

func (n *Node) begun() time.Time { n.mu.Lock(); defer n.mu.Unlock(); return n.started }

// Bytes is what has crossed the node's connections, in and out.
func (n *Node) Bytes() (in, out int64) { return n.t.BytesIn.Load(), n.t.BytesOut.Load() }
