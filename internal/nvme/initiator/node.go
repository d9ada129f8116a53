// Package initiator is the host side of NVMe over TCP: for each storage node an admin queue and some I/O queues,
// each a connection of its own, kept up as package links decides. It carries attempts out and tells their ends;
// it never tries one again.
package initiator

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/nvme"
	"appleplank/links"
	"appleplank/logic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Config is what the initiator is told of a node and of itself.
type Config struct {
	ID         logic.NodeID
	NQN        string
	HostNQN    string
	HostID     [16]byte
	Namespaces []uint32 // those that extents lie on
	Depth      int      // commands out over all I/O queues
	Queues     int
	Digests    bool
	Connect    time.Duration // to set everything up
	KeepAlive  time.Duration // 0: none is asked for
	Seed       uint64
	Now        func() logic.Micros
	Log        *zap.Logger
	Address    func() string // where the node is now; empty: nobody knows
}

// Watcher hears of a node's life. Its methods are called from the node's own goroutine and must not wait.
type Watcher interface {
	Reached(id logic.NodeID, age logic.Micros) // connected; age of its process, below zero: not told
	Refused(id logic.NodeID)                   // its address takes no connections
	Draining(id logic.NodeID, is bool)
	Lost(id logic.NodeID, err error)
}

// Counts are totals since the start.
type Counts struct {
	Dials, Connections, Resets, Strays, Aborts atomic.Uint64
	BytesOut, BytesIn                          atomic.Uint64 // on the sockets, all of them
}

// Node keeps up the connections to one node. It implements [block.Back] for attempts at that node.
type Node struct {
	cfg    Config
	sink   block.Sink
	watch  Watcher
	Counts Counts

	link   *links.Link // used by Run's goroutines under linkMu
	linkMu sync.Mutex

	session atomic.Pointer[session] // nil: no connection stands
	tried   chan struct{}           // closed once it was connected to, or could not be, for the first time
	once    sync.Once
	aborts  chan [2]uint16
	kick    chan struct{} // dial now: the address may have changed
}

// session is one life of the connections.
type session struct {
	queues     []*queue // I/O
	depth      int      // of each
	most       int64    // bytes of one command
	zeroes     bool     // the node takes Write Zeroes
	dsm        bool
	reports    bool
	ctl        nvme.Controller
	namespaces atomic.Pointer[map[uint32]nvme.Namespace]
}

// NewNode makes a node that is not connected; [Node.Run] connects it.
func NewNode(cfg Config, sink block.Sink, watch Watcher) *Node {
	return &Node{
		cfg: cfg, sink: sink, watch: watch, link: links.New(logic.Micros(cfg.KeepAlive.Microseconds()), cfg.Seed),
		aborts: make(chan [2]uint16, 256), kick: make(chan struct{}, 1), tried: make(chan struct{}),
	}
}

// Tried is closed once the node was connected to, or could not be, for the first time.
func (n *Node) Tried() <-chan struct{} { return n.tried }

func (n *Node) hasTried() { n.once.Do(func() { close(n.tried) }) }

// Up tells whether connections stand.
func (n *Node) Up() bool { return n.session.Load() != nil }

// Kick asks for a look at the address without waiting for the next time to dial.
func (n *Node) Kick() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// Run keeps the connections up until ctx ends. When it returns nothing of it is left, and every attempt that was
// started has been told as ended.
func (n *Node) Run(ctx context.Context) error {
	for {
		n.linkMu.Lock()
		wait := n.link.DialAt() - n.cfg.Now()
		n.linkMu.Unlock()
		if !sleep(ctx, time.Duration(wait)*time.Microsecond, nil) {
			return nil
		}
		address := n.cfg.Address()
		if address == "" {
			if !sleep(ctx, time.Second, n.kick) {
				return nil
			}
			continue
		}
		err := n.serve(ctx, address)
		n.hasTried()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.watch.Refused(n.cfg.ID)
		}
		n.watch.Lost(n.cfg.ID, err)
		n.linkMu.Lock()
		n.link.Disconnected(n.cfg.Now())
		n.linkMu.Unlock()
	}
}

// sleep waits; false once ctx has ended.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-wake:
	}
	return ctx.Err() == nil
}

// serve sets the connections up, lets them work, and ends when one breaks.
func (n *Node) serve(parent context.Context, address string) error {
	g, ctx := errgroup.WithContext(parent)
	var all []*queue
	var conns []net.Conn
	setup, cancel := context.WithTimeoutCause(ctx, n.cfg.Connect, fmt.Errorf("not set up within %v", n.cfg.Connect))
	defer cancel()
	// Whatever ends the session closes its connections, which ends their goroutines.
	closed := make(chan struct{})
	var mu sync.Mutex
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	})
	open := func(id uint16, depth int) (*queue, error) {
		n.Counts.Dials.Add(1)
		c, err := (&net.Dialer{}).DialContext(setup, "tcp", address)
		if err != nil {
			return nil, err
		}
		mu.Lock()
		conns = append(conns, c)
		ended := ctx.Err()
		mu.Unlock()
		if ended != nil {
			c.Close()
			return nil, ended
		}
		q := newQueue(id, &counted{c, &n.Counts}, depth, n.cfg.Now)
		q.heard, q.stray, q.finished = n.heard, n.stray, n.finished
		all = append(all, q)
		limit, _ := setup.Deadline()
		c.SetDeadline(limit)
		if err := q.handshake(n.cfg.Digests); err != nil {
			return nil, fmt.Errorf("queue %d: %w", id, err)
		}
		c.SetDeadline(time.Time{})
		q.run(ctx, g)
		return q, nil
	}
	s, admin, err := n.setUp(setup, open)
	if err == nil {
		cancel()
		n.Counts.Connections.Add(1)
		n.linkMu.Lock()
		n.link.Connected(n.cfg.Now())
		n.linkMu.Unlock()
		n.session.Store(s)
		n.hasTried()
		g.Go(func() error { return n.tend(ctx, s, admin) })
		<-ctx.Done()
		n.session.Store(nil)
		n.Counts.Resets.Add(1)
	}
	g.Go(func() error { return errors.Join(err, errOver) }) // ends the group's context, also where setting up failed
	werr := g.Wait()
	if !stop() {
		<-closed
	}
	for _, q := range all {
		q.conn.Close()
		q.sweep()
	}
	if err != nil {
		return err
	}
	return werr
}

var errOver = errors.New("session over")

// counted counts what passes a connection, which is what crosses the network.
type counted struct {
	net.Conn
	c *Counts
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.BytesIn.Add(uint64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.BytesOut.Add(uint64(n))
	return n, err
}

// setUp is the way of a controller to ready (Base, section 3.5.1; Fabrics Connect, section 6.3).
func (n *Node) setUp(ctx context.Context, open func(id uint16, depth int) (*queue, error)) (*session, *queue, error) {
	const adminDepth = 32
	admin, err := open(0, adminDepth)
	if err != nil {
		return nil, nil, err
	}
	cntlid, err := n.connect(ctx, admin, adminDepth, nvme.CNTLIDAny)
	if err != nil {
		return nil, nil, err
	}
	cap, err := enable(ctx, admin)
	if err != nil {
		return nil, nil, err
	}
	page := make([]byte, nvme.IdentifyLen)
	if err := identify(ctx, admin, nvme.CNSController, 0, page); err != nil {
		return nil, nil, err
	}
	s := &session{most: mostTransfer}
	if s.ctl, err = nvme.ParseController(page); err != nil {
		return nil, nil, err
	}
	if s.ctl.MDTS > 0 && s.ctl.MDTS < 20 {
		unit := int64(4096) << (cap >> 48 & 0xf) // CAP.MPSMIN
		s.most = min(s.most, unit<<s.ctl.MDTS)
	}
	s.zeroes, s.dsm = s.ctl.ONCS&nvme.ONCSWriteZeroes != 0, s.ctl.ONCS&nvme.ONCSDSM != 0

	c := nvme.New(nvme.OpSetFeatures, 0)
	c.Set(10, nvme.FeatNumQueues)
	c.Set(11, uint32(n.cfg.Queues-1)|uint32(n.cfg.Queues-1)<<16)
	cqe, err := admin.call(ctx, "Set Features Number of Queues", c, nil, nil)
	if err != nil {
		return nil, nil, err
	}
	queues := min(n.cfg.Queues, int(cqe.DW0()&0xffff)+1)
	// A queue holds one command less than it has entries; CAP.MQES is the most entries, from zero.
	s.depth = max(min((n.cfg.Depth+queues-1)/queues, int(cap&0xffff)), 1)
	if s.ctl.MaxCmd > 0 {
		s.depth = min(s.depth, int(s.ctl.MaxCmd))
	}
	for i := range queues {
		q, err := open(uint16(i+1), s.depth)
		if err != nil {
			return nil, nil, err
		}
		q.inCapsule = max(s.ctl.InCapsule-64, 0)
		if _, err := n.connect(ctx, q, s.depth+1, cntlid); err != nil {
			return nil, nil, err
		}
		s.queues = append(s.queues, q)
	}
	// Vendor features: a plain node answers with an error and works without them.
	c = nvme.New(nvme.OpSetFeatures, 0)
	c.Set(10, nvme.FeatReports)
	c.Set(11, 1)
	_, err = admin.call(ctx, "Set Features reports", c, nil, nil)
	if s.reports = err == nil; !s.reports && !isStatus(err) {
		return nil, nil, err
	}
	age := logic.Micros(-1)
	if s.reports {
		b := make([]byte, nvme.ProcessLen)
		if _, err := admin.call(ctx, "Get Log Page process", nvme.LogPage(nvme.LogProcess, 0, 0, nvme.ProcessLen, false), nil, b); err == nil {
			if p, err := nvme.ParseProcess(b); err == nil {
				age = logic.Micros(p.Age)
			}
		}
	}
	if err := n.readNamespaces(ctx, s, admin); err != nil {
		return nil, nil, err
	}
	if events := s.ctl.OAES & (nvme.EventANA | nvme.EventNamespace); events != 0 {
		c = nvme.New(nvme.OpSetFeatures, 0)
		c.Set(10, nvme.FeatAsyncEvent)
		c.Set(11, events)
		if _, err := admin.call(ctx, "Set Features Async Event", c, nil, nil); err != nil && !isStatus(err) {
			return nil, nil, err
		}
	}
	n.watch.Reached(n.cfg.ID, age)
	if s.ctl.ANA {
		if err := n.readANA(ctx, s, admin); err != nil {
			return nil, nil, err
		}
	}
	return s, admin, nil
}

func isStatus(err error) bool {
	var s *nvme.StatusError
	return errors.As(err, &s)
}

func (n *Node) connect(ctx context.Context, q *queue, size int, cntlid uint16) (uint16, error) {
	kato := uint32(0)
	if q.id == 0 {
		kato = uint32(n.cfg.KeepAlive.Milliseconds())
	}
	d := nvme.ConnectData{HostID: n.cfg.HostID, CNTLID: cntlid, SubNQN: n.cfg.NQN, HostNQN: n.cfg.HostNQN}
	c := nvme.Connect(q.id, size, kato)
	cqe, err := q.call(ctx, fmt.Sprintf("Connect queue %d to %s", q.id, n.cfg.NQN), c, d.Marshal(), nil)
	return uint16(cqe.DW0()), err
}

// enable sets CC.EN and waits for CSTS.RDY.
func enable(ctx context.Context, admin *queue) (capabilities uint64, err error) {
	cqe, err := admin.call(ctx, "Property Get CAP", nvme.PropertyGet(nvme.PropCAP, true), nil, nil)
	if err != nil {
		return 0, err
	}
	capabilities = binary.LittleEndian.Uint64(cqe[:8])
	const cc = 1 | 6<<16 | 4<<20 // enabled, NVM command set, entries of 64 and 16 bytes
	if _, err = admin.call(ctx, "Property Set CC", nvme.PropertySet(nvme.PropCC, cc), nil, nil); err != nil {
		return 0, err
	}
	for pause := time.Millisecond; ; pause = min(2*pause, 100*time.Millisecond) {
		if cqe, err = admin.call(ctx, "Property Get CSTS", nvme.PropertyGet(nvme.PropCSTS, false), nil, nil); err != nil {
			return 0, err
		}
		if csts := cqe.DW0(); csts&2 != 0 {
			return 0, errors.New("nvme: the controller reports a fatal status")
		} else if csts&1 != 0 {
			return capabilities, nil
		}
		if !sleep(ctx, pause, nil) {
			return 0, fmt.Errorf("nvme: the controller does not become ready: %w", context.Cause(ctx))
		}
	}
}

// readNamespaces identifies the namespaces that extents lie on, some at a time.
func (n *Node) readNamespaces(ctx context.Context, s *session, admin *queue) error {
	found := make([]*nvme.Namespace, len(n.cfg.Namespaces))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(16) // of the admin queue's 32 places
	for i, id := range n.cfg.Namespaces {
		g.Go(func() error {
			page := make([]byte, nvme.IdentifyLen)
			err := identify(ctx, admin, nvme.CNSNamespace, id, page)
			if err != nil && !isStatus(err) {
				return err
			}
			var ns nvme.Namespace
			if err == nil {
				ns, err = nvme.ParseNamespace(page)
			}
			if err == nil && ns.Metadata {
				err = errors.New("nvme: its blocks carry metadata")
			}
			if err == nil && ns.Blocks == 0 {
				err = errors.New("nvme: it is not active")
			}
			if err != nil {
				n.cfg.Log.Warn("namespace cannot be used", zap.Uint32("namespace", id), zap.Error(err))
				return nil
			}
			found[i] = &ns
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	m := map[uint32]nvme.Namespace{}
	for i, id := range n.cfg.Namespaces {
		if found[i] != nil {
			m[id] = *found[i]
		}
	}
	s.namespaces.Store(&m)
	return nil
}

func identify(ctx context.Context, admin *queue, cns uint8, nsid uint32, page []byte) error {
	c := nvme.New(nvme.OpIdentify, nsid)
	c.Set(10, uint32(cns))
	c.Data(nvme.IdentifyLen, false)
	_, err := admin.call(ctx, "Identify", c, nil, page)
	return err
}

// readANA reads the page and tells whether a group that extents lie on takes no new work.
func (n *Node) readANA(ctx context.Context, s *session, admin *queue) error {
	size := 16 + 32*uint64(s.ctl.ANAGroups) + 4*uint64(s.ctl.Namespaces)
	b := make([]byte, min(max(size, 4096)+3&^3, 1<<20))
	if _, err := admin.call(ctx, "Get Log Page ANA", nvme.LogPage(nvme.LogANA, 0xffffffff, 0, uint32(len(b)), false), nil, b); err != nil {
		return err
	}
	l, err := nvme.ParseANA(b)
	if err != nil {
		return err
	}
	draining := false
	for _, g := range l.Groups {
		if g.State == nvme.ANAOptimized || g.State == nvme.ANANonOptimized {
			continue
		}
		for _, id := range g.Namespaces {
			draining = draining || slices.Contains(n.cfg.Namespaces, id)
		}
	}
	n.watch.Draining(n.cfg.ID, draining)
	return nil
}

// tend looks after a session that is up: keep-alives, events, aborts, and whether it is still alive.
func (n *Node) tend(ctx context.Context, s *session, admin *queue) error {
	events := make(chan reply, 4)
	listen := func() bool {
		c := nvme.New(nvme.OpAsyncEvent, 0)
		return admin.submit(&task{reply: events, parts: []part{{cmd: c}}})
	}
	if s.ctl.OAES&(nvme.EventANA|nvme.EventNamespace) != 0 {
		listen()
	}
	keep := logic.Micros(0)
	last := n.cfg.Now()
	var alive chan reply // of a keep-alive that is out
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-events:
			if r.err != nil || r.cqe.Status().Code() != nvme.Success {
				break // without events the state of the node is read when it is connected to again
			}
			if kind, info := r.cqe.DW0()&7, r.cqe.DW0()>>8&0xff; kind == 2 {
				if err := n.changed(ctx, s, admin, info); err != nil {
					return err
				}
			}
			listen()
			continue
		case a := <-n.aborts:
			n.Counts.Aborts.Add(1)
			c := nvme.New(nvme.OpAbort, 0)
			c.Set(10, uint32(a[0])|uint32(a[1])<<16)
			admin.submit(&task{reply: make(chan reply, 1), parts: []part{{cmd: c}}}) // its answer tells nothing we act on
			continue
		case r := <-alive:
			if alive = nil; r.err != nil {
				return r.err
			}
			continue
		case <-timer.C:
		}
		now := n.cfg.Now()
		if n.cfg.KeepAlive > 0 && now >= keep && alive == nil {
			last = now
			t := &task{reply: make(chan reply, 1), parts: []part{{cmd: nvme.New(nvme.OpKeepAlive, 0)}}}
			if admin.submit(t) {
				alive = t.reply
			}
		}
		lost := links.LostIDs{}
		for _, q := range s.queues {
			l, places, oldest := q.lostNow()
			lost.Count, lost.Capacity = lost.Count+l, lost.Capacity+places
			if oldest > 0 && (lost.Oldest == 0 || oldest < lost.Oldest) {
				lost.Oldest = oldest
			}
		}
		n.linkMu.Lock()
		verdict, next := n.link.Check(now, lost)
		keep = n.link.NextKeepAlive(last)
		n.linkMu.Unlock()
		if verdict != "" {
			return fmt.Errorf("nvme: given up: %s", verdict)
		}
		if n.cfg.KeepAlive > 0 {
			next = min(next, max(keep, now+1000))
		}
		timer.Reset(time.Duration(next-now) * time.Microsecond)
	}
}

// changed takes a notice (Base, figure on asynchronous event information, notices).
func (n *Node) changed(ctx context.Context, s *session, admin *queue, info uint32) error {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Connect)
	defer cancel()
	switch info {
	case 0x00: // namespace attributes
		return n.readNamespaces(ctx, s, admin)
	case 0x03: // asymmetric namespace access
		return n.readANA(ctx, s, admin)
	}
	return nil
}

func (n *Node) heard() {
	n.linkMu.Lock()
	n.link.Received(n.cfg.Now())
	n.linkMu.Unlock()
}

func (n *Node) stray() error {
	n.Counts.Strays.Add(1)
	n.linkMu.Lock()
	giveUp := n.link.Stray(n.cfg.Now())
	n.linkMu.Unlock()
	if giveUp {
		return errors.New("nvme: too many answers that belong to nothing")
	}
	return nil
}

// ---- attempts ----

// Start carries an attempt out.
func (n *Node) Start(a *block.Attempt) {
	s := n.session.Load()
	if t, _ := a.Handle.(*task); s == nil {
		if t != nil {
			t.q = nil
		}
		n.end(a, logic.ConnectFailed)
		return
	}
	// The task stays with the attempt over its lives, so that Drop can never meet another's.
	t, _ := a.Handle.(*task)
	if t == nil {
		t = &task{}
		a.Handle = t
	}
	clear(t.parts)
	*t = task{attempt: a, buffer: a.Buffer, parts: t.parts[:0]}
	if o, ok := n.plan(s, t); !ok {
		n.end(a, o)
		return
	}
	var out [16]int
	for i, q := range s.queues {
		out[i] = q.out()
	}
	// A place may be taken between the look and the choice; then the next fullest is tried.
	for range s.queues {
		i := links.Pick(out[:len(s.queues)], s.depth)
		if i < 0 {
			break
		}
		q := s.queues[i]
		for j := range t.parts {
			p := &t.parts[j]
			if len(p.out) > 0 {
				p.cmd.Data(uint32(len(p.out)), len(p.out) <= q.inCapsule)
			}
		}
		if q.submit(t) {
			return
		}
		out[i] = s.depth
	}
	if n.session.Load() != s {
		n.end(a, logic.ConnectFailed)
		return
	}
	n.end(a, logic.Full)
}

// plan makes the commands of an attempt; false with an outcome where none can be made.
func (n *Node) plan(s *session, t *task) (logic.Outcome, bool) {
	a := t.attempt
	ns, ok := (*s.namespaces.Load())[a.Namespace]
	if !ok {
		return logic.Moot, false
	}
	if a.Kind == block.Flush {
		if !s.ctl.WriteCache {
			return logic.OK, false // what was answered is stored already
		}
		t.parts = append(t.parts, part{cmd: nvme.New(nvme.OpFlush, a.Namespace)})
		return 0, true
	}
	bs := int64(ns.BlockSize)
	if a.Offset%bs != 0 || a.Len%bs != 0 || a.Len == 0 || uint64(a.Offset+a.Len) > ns.Blocks*uint64(bs) ||
		ns.ReadOnly && a.Kind.Changes() {
		n.cfg.Log.Warn("extent does not fit its namespace", zap.Uint32("namespace", a.Namespace),
			zap.Int64("offset", a.Offset), zap.Int64("bytes", a.Len), zap.Int64("block", bs))
		return logic.Moot, false
	}
	opcode, step := uint8(nvme.OpRead), s.most/bs*bs
	switch a.Kind {
	case block.Write:
		opcode = nvme.OpWrite
	case block.WriteZeroes:
		opcode = nvme.OpWriteZeroes
		if step = 65536 * bs; !s.zeroes {
			opcode, step = nvme.OpWrite, s.most/bs*bs
		}
	case block.Discard:
		if !s.dsm {
			return logic.OK, false // a hint that this node has no use for
		}
		c := nvme.New(nvme.OpDSM, a.Namespace)
		c.Set(11, 1<<2) // deallocate
		list := nvme.DSMRange(uint64(a.Offset/bs), uint32(a.Len/bs))
		t.parts = append(t.parts, part{cmd: c, out: list})
		return 0, true
	}
	step = min(step, 65536*bs)
	data := a.Bytes()
	for off := int64(0); off < a.Len; off += step {
		size := min(step, a.Len-off)
		p := part{cmd: nvme.New(opcode, a.Namespace)}
		p.cmd.Blocks(uint64((a.Offset+off)/bs), uint32(size/bs))
		if a.Durable {
			p.cmd.Set(12, p.cmd.Dword(12)|nvme.FUA)
		}
		switch {
		case a.Kind == block.Read:
			p.in = data[off : off+size]
			p.cmd.Data(uint32(size), false)
		case a.Kind == block.Write:
			p.out = data[off : off+size]
		case opcode == nvme.OpWrite:
			p.out = zeroes(size)
		}
		if s.reports && a.Key != 0 {
			p.cmd.SetKey(a.Key)
		}
		t.parts = append(t.parts, p)
	}
	return 0, true
}

var (
	zeroOnce  sync.Once
	zeroBytes []byte
)

func zeroes(n int64) []byte {
	zeroOnce.Do(func() { zeroBytes = make([]byte, mostTransfer) })
	return zeroBytes[:n]
}

// Drop lets go of an attempt; the node is asked to abort what it was sent.
func (n *Node) Drop(a *block.Attempt) {
	t, _ := a.Handle.(*task)
	if t == nil || t.q == nil {
		return
	}
	t.q.drop(t, func(qid, cid uint16) {
		select {
		case n.aborts <- [2]uint16{qid, cid}:
		default: // the bound on aborts; the answer is not waited for either way
		}
	})
}

// end tells the end of an attempt that never came to a queue.
func (n *Node) end(a *block.Attempt, o logic.Outcome) {
	n.sink.AttemptEnded(a, block.Result{Outcome: o, Load: logic.NoLoad})
}

// answerBroken ends an admin call whose connection is gone; one that was completed has its reply.
func answerBroken(t *task) {
	select {
	case t.reply <- reply{err: errors.New("the connection broke")}:
	default:
	}
}

// finished tells the end of a task.
func (n *Node) finished(t *task) {
	if t.attempt == nil {
		answerBroken(t)
		return
	}
	r := block.Result{Outcome: t.outcome, Load: logic.NoLoad, Out: t.wireOut, In: t.wireIn}
	if t.told {
		r.Load.Holds, r.Load.Waits = float64(t.report.Holds), float64(t.report.Waits)
		if t.report.Busy <= 100 {
			r.Load.Busy = float64(t.report.Busy) / 100
		}
		r.Elsewhere = int64(t.report.Elsewhere) << 10
	}
	n.sink.AttemptEnded(t.attempt, r)
}
