// Package initiator implements the host side of NVMe over TCP. For each storage node it keeps up an admin queue and
// some I/O queues, each on a separate connection; package links decides when to connect and when to give up a
// connection. It carries out attempts and reports their ends; it never retries one.
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

// Config holds the settings of a [Node].
type Config struct {
	ID             logic.NodeID
	NQN            string
	HostNQN        string
	HostID         [16]byte
	Namespaces     []uint32 // those that hold extents
	MaxOutstanding int      // maximum number of outstanding commands over all I/O queues
	Queues         int
	Digests        bool
	Timeout        time.Duration // time limit for setting up the connections, and for the reads after an event
	KeepAlive      time.Duration // 0: none is requested
	Seed           uint64
	Now            func() logic.Micros
	Log            *zap.Logger
	Address        func() string // current address of the node; empty if it is unknown
}

// Watcher is notified of changes in the state of a node. Its methods are called from the node's goroutines and must not
// block.
type Watcher interface {
	Reached(id logic.NodeID, age logic.Micros) // connected; age is that of the node's process, negative if unknown
	Refused(id logic.NodeID)                   // its address refuses connections
	Draining(id logic.NodeID, is bool)
	Lost(id logic.NodeID, err error)
}

// Counts holds totals since the start.
type Counts struct {
	Dials, Connections, Resets, UnexpectedAnswers, Aborts atomic.Uint64
	BytesOut, BytesIn                                     atomic.Uint64 // over all sockets
}

// Node maintains the connections to one storage node. It implements [block.Back] for attempts at that node.
type Node struct {
	cfg    Config
	sink   block.Sink
	watch  Watcher
	Counts Counts

	link   *links.Link // used by Run's goroutines, guarded by linkMu
	linkMu sync.Mutex

	session        atomic.Pointer[session] // nil while not connected
	firstTry       chan struct{}           // closed when the first try to connect has succeeded or failed
	firstTryOnce   sync.Once
	aborts         chan [2]uint16
	addressChanged chan struct{} // wakes Run to look up the address
}

// session is the state of the connections between one setup and the next failure.
type session struct {
	queues      []*queue // I/O queues
	depth       int      // of each I/O queue
	maxTransfer int64    // maximum data length of one command, in bytes
	writeZeroes bool     // the node supports Write Zeroes
	dsm         bool
	reports     bool
	ctl         nvme.Controller
	namespaces  atomic.Pointer[map[uint32]nvme.Namespace]
}

// NewNode returns a node that is not connected; [Node.Run] connects it.
func NewNode(cfg Config, sink block.Sink, watch Watcher) *Node {
	return &Node{
		cfg: cfg, sink: sink, watch: watch, link: links.New(logic.Micros(cfg.KeepAlive.Microseconds()), cfg.Seed),
		aborts: make(chan [2]uint16, 256), addressChanged: make(chan struct{}, 1), firstTry: make(chan struct{}),
	}
}

// FirstTryDone returns a channel that is closed when the first try to connect has succeeded or failed.
func (n *Node) FirstTryDone() <-chan struct{} { return n.firstTry }

func (n *Node) markTried() { n.firstTryOnce.Do(func() { close(n.firstTry) }) }

// Up reports whether the node is connected.
func (n *Node) Up() bool { return n.session.Load() != nil }

// RefreshAddress makes Run look up the address again at once while the address is unknown.
func (n *Node) RefreshAddress() {
	select {
	case n.addressChanged <- struct{}{}:
	default:
	}
}

// Run maintains the connections until ctx is done. When it returns, its goroutines have ended and every attempt that
// was started has been reported as ended.
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
			if !sleep(ctx, time.Second, n.addressChanged) {
				return nil
			}
			continue
		}
		err := n.runSession(ctx, address)
		n.markTried()
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

// sleep waits for d or until wake is signaled. It returns false if ctx is done.
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

// runSession sets up the connections and returns when one of them breaks or ctx is done.
func (n *Node) runSession(parent context.Context, address string) error {
	g, ctx := errgroup.WithContext(parent)
	var queues []*queue
	var conns []net.Conn
	setup, cancel := context.WithTimeoutCause(ctx, n.cfg.Timeout, fmt.Errorf("not set up within %v", n.cfg.Timeout))
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
		q := newQueue(id, &countingConn{c, &n.Counts}, depth, n.cfg.Now)
		q.onReceive, q.onUnexpected, q.onTaskDone = n.noteReceived, n.noteUnexpected, n.endTask
		queues = append(queues, q)
		deadline, _ := setup.Deadline()
		c.SetDeadline(deadline)
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
		n.markTried()
		g.Go(func() error { return n.maintain(ctx, s, admin) })
		<-ctx.Done()
		n.session.Store(nil)
		n.Counts.Resets.Add(1)
	}
	g.Go(func() error { return errors.Join(err, errSessionEnded) }) // cancels the context, also after a failed setup
	werr := g.Wait()
	if !stop() {
		<-closed
	}
	for _, q := range queues {
		q.conn.Close()
		q.failOutstanding()
	}
	if err != nil {
		return err
	}
	return werr
}

var errSessionEnded = errors.New("session ended")

// countingConn counts the bytes that pass a connection, which are those that cross the network.
type countingConn struct {
	net.Conn
	counts *Counts
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.BytesIn.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.BytesOut.Add(uint64(n))
	return n, err
}

// setUp connects the queues and brings the controller to the ready state (Base, section 3.5.1; Fabrics Connect, section
// 6.3).
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
	capabilities, err := enable(ctx, admin)
	if err != nil {
		return nil, nil, err
	}
	page := make([]byte, nvme.IdentifyLen)
	if err := identify(ctx, admin, nvme.CNSController, 0, page); err != nil {
		return nil, nil, err
	}
	s := &session{maxTransfer: maxTransfer}
	if s.ctl, err = nvme.ParseController(page); err != nil {
		return nil, nil, err
	}
	if s.ctl.MDTS > 0 && s.ctl.MDTS < 20 {
		unit := int64(4096) << (capabilities >> 48 & 0xf) // CAP.MPSMIN
		s.maxTransfer = min(s.maxTransfer, unit<<s.ctl.MDTS)
	}
	s.writeZeroes, s.dsm = s.ctl.ONCS&nvme.ONCSWriteZeroes != 0, s.ctl.ONCS&nvme.ONCSDSM != 0

	c := nvme.NewCommand(nvme.OpSetFeatures, 0)
	c.SetDword(10, nvme.FeatNumQueues)
	c.SetDword(11, uint32(n.cfg.Queues-1)|uint32(n.cfg.Queues-1)<<16)
	cqe, err := admin.call(ctx, "Set Features Number of Queues", c, nil, nil)
	if err != nil {
		return nil, nil, err
	}
	queues := min(n.cfg.Queues, int(cqe.DW0()&0xffff)+1)
	// A queue holds one command fewer than it has entries; CAP.MQES is the maximum number of entries, zero-based.
	s.depth = max(min((n.cfg.MaxOutstanding+queues-1)/queues, int(capabilities&0xffff)), 1)
	if s.ctl.MaxCmd > 0 {
		s.depth = min(s.depth, int(s.ctl.MaxCmd))
	}
	for i := range queues {
		q, err := open(uint16(i+1), s.depth)
		if err != nil {
			return nil, nil, err
		}
		q.inCapsule = max(s.ctl.CapsuleSize-64, 0)
		if _, err := n.connect(ctx, q, s.depth+1, cntlid); err != nil {
			return nil, nil, err
		}
		s.queues = append(s.queues, q)
	}
	// Vendor-specific features: a standard node answers with an error and works without them.
	c = nvme.NewCommand(nvme.OpSetFeatures, 0)
	c.SetDword(10, nvme.FeatReports)
	c.SetDword(11, 1)
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
		c = nvme.NewCommand(nvme.OpSetFeatures, 0)
		c.SetDword(10, nvme.FeatAsyncEvent)
		c.SetDword(11, events)
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
			return 0, errors.New("nvme: the controller reports a fatal status (CSTS.CFS)")
		} else if csts&1 != 0 {
			return capabilities, nil
		}
		if !sleep(ctx, pause, nil) {
			return 0, fmt.Errorf("nvme: the controller did not become ready: %w", context.Cause(ctx))
		}
	}
}

// readNamespaces identifies the namespaces that hold extents, up to 16 at a time.
func (n *Node) readNamespaces(ctx context.Context, s *session, admin *queue) error {
	found := make([]*nvme.Namespace, len(n.cfg.Namespaces))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(16) // of the admin queue's 32 slots
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
				err = errors.New("nvme: blocks with metadata are not supported")
			}
			if err == nil && ns.Blocks == 0 {
				err = errors.New("nvme: the namespace is not active")
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
	c := nvme.NewCommand(nvme.OpIdentify, nsid)
	c.SetDword(10, uint32(cns))
	c.SetData(nvme.IdentifyLen, false)
	_, err := admin.call(ctx, "Identify", c, nil, page)
	return err
}

// readANA reads the ANA log page and notifies the watcher whether a group that holds extents takes no new work.
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
		if g.State == nvme.ANAStateOptimized || g.State == nvme.ANAStateNonOptimized {
			continue
		}
		for _, id := range g.Namespaces {
			draining = draining || slices.Contains(n.cfg.Namespaces, id)
		}
	}
	n.watch.Draining(n.cfg.ID, draining)
	return nil
}

// maintain runs while a session is up: it sends keep-alives and aborts, handles events, and checks whether the
// connections are still alive.
func (n *Node) maintain(ctx context.Context, s *session, admin *queue) error {
	events := make(chan reply, 4)
	requestEvent := func() bool {
		c := nvme.NewCommand(nvme.OpAsyncEvent, 0)
		return admin.submit(&task{reply: events, commands: []command{{sqe: c}}})
	}
	if s.ctl.OAES&(nvme.EventANA|nvme.EventNamespace) != 0 {
		requestEvent()
	}
	nextKeepAlive := logic.Micros(0)
	lastKeepAlive := n.cfg.Now()
	var pendingKeepAlive chan reply // of an outstanding keep-alive
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-events:
			if r.err != nil || r.cqe.Status().Code() != nvme.Success {
				break // without events the state of the node is read at the next connect
			}
			if kind, info := r.cqe.DW0()&7, r.cqe.DW0()>>8&0xff; kind == 2 {
				if err := n.handleNotice(ctx, s, admin, info); err != nil {
					return err
				}
			}
			requestEvent()
			continue
		case a := <-n.aborts:
			n.Counts.Aborts.Add(1)
			c := nvme.NewCommand(nvme.OpAbort, 0)
			c.SetDword(10, uint32(a[0])|uint32(a[1])<<16)
			admin.submit(&task{reply: make(chan reply, 1), commands: []command{{sqe: c}}}) // its answer is not used
			continue
		case r := <-pendingKeepAlive:
			if pendingKeepAlive = nil; r.err != nil {
				return r.err
			}
			continue
		case <-timer.C:
		}
		now := n.cfg.Now()
		if n.cfg.KeepAlive > 0 && now >= nextKeepAlive && pendingKeepAlive == nil {
			lastKeepAlive = now
			t := &task{reply: make(chan reply, 1), commands: []command{{sqe: nvme.NewCommand(nvme.OpKeepAlive, 0)}}}
			if admin.submit(t) {
				pendingKeepAlive = t.reply
			}
		}
		lost := links.LostIDs{}
		for _, q := range s.queues {
			l, capacity, oldest := q.droppedUsage()
			lost.Count, lost.Capacity = lost.Count+l, lost.Capacity+capacity
			if oldest > 0 && (lost.Oldest == 0 || oldest < lost.Oldest) {
				lost.Oldest = oldest
			}
		}
		n.linkMu.Lock()
		verdict, next := n.link.Check(now, lost)
		nextKeepAlive = n.link.NextKeepAlive(lastKeepAlive)
		n.linkMu.Unlock()
		if verdict != "" {
			return fmt.Errorf("nvme: connection given up: %s", verdict)
		}
		if n.cfg.KeepAlive > 0 {
			next = min(next, max(nextKeepAlive, now+1000))
		}
		timer.Reset(time.Duration(next-now) * time.Microsecond)
	}
}

// handleNotice handles an asynchronous event of type notice (Base, figure on asynchronous event information, notices).
func (n *Node) handleNotice(ctx context.Context, s *session, admin *queue, info uint32) error {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	switch info {
	case 0x00: // namespace attributes
		return n.readNamespaces(ctx, s, admin)
	case 0x03: // asymmetric namespace access
		return n.readANA(ctx, s, admin)
	}
	return nil
}

// noteReceived records that a PDU was received from the node.
func (n *Node) noteReceived() {
	n.linkMu.Lock()
	n.link.Received(n.cfg.Now())
	n.linkMu.Unlock()
}

// noteUnexpected counts an answer that matches no command. It returns an error if the connection must be given up.
func (n *Node) noteUnexpected() error {
	n.Counts.UnexpectedAnswers.Add(1)
	n.linkMu.Lock()
	giveUp := n.link.Stray(n.cfg.Now())
	n.linkMu.Unlock()
	if giveUp {
		return errors.New("nvme: too many answers that belong to nothing")
	}
	return nil
}

// ---- attempts ----

// Start carries out an attempt and reports its end to the sink.
func (n *Node) Start(a *block.Attempt) {
	s := n.session.Load()
	if t, _ := a.Handle.(*task); s == nil {
		if t != nil {
			t.queue = nil
		}
		n.endAttempt(a, logic.ConnectFailed)
		return
	}
	// The task stays with the attempt when it is started again, so that Drop can never find the task of another
	// attempt.
	t, _ := a.Handle.(*task)
	if t == nil {
		t = &task{}
		a.Handle = t
	}
	clear(t.commands)
	*t = task{attempt: a, buffer: a.Buffer, commands: t.commands[:0]}
	if o, ok := n.buildCommands(s, t); !ok {
		n.endAttempt(a, o)
		return
	}
	var outstanding [16]int
	for i, q := range s.queues {
		outstanding[i] = q.outstanding()
	}
	// A slot may be taken between counting and choosing; then the next emptiest queue is tried.
	for range s.queues {
		i := links.Pick(outstanding[:len(s.queues)], s.depth)
		if i < 0 {
			break
		}
		q := s.queues[i]
		for j := range t.commands {
			p := &t.commands[j]
			if len(p.out) > 0 {
				p.sqe.SetData(uint32(len(p.out)), len(p.out) <= q.inCapsule)
			}
		}
		if q.submit(t) {
			return
		}
		outstanding[i] = s.depth
	}
	if n.session.Load() != s {
		n.endAttempt(a, logic.ConnectFailed)
		return
	}
	n.endAttempt(a, logic.Full)
}

// buildCommands builds the commands of an attempt. It returns false with an outcome if there is none to send.
func (n *Node) buildCommands(s *session, t *task) (logic.Outcome, bool) {
	a := t.attempt
	ns, ok := (*s.namespaces.Load())[a.Namespace]
	if !ok {
		return logic.NotSent, false
	}
	if a.Kind == block.Flush {
		if !s.ctl.WriteCache {
			return logic.OK, false // completed writes are already stored
		}
		t.commands = append(t.commands, command{sqe: nvme.NewCommand(nvme.OpFlush, a.Namespace)})
		return 0, true
	}
	blockSize := int64(ns.BlockSize)
	if a.Offset%blockSize != 0 || a.Len%blockSize != 0 || a.Len == 0 || uint64(a.Offset+a.Len) > ns.Blocks*uint64(blockSize) ||
		ns.ReadOnly && a.Kind.Changes() {
		n.cfg.Log.Warn("extent does not fit its namespace", zap.Uint32("namespace", a.Namespace),
			zap.Int64("offset", a.Offset), zap.Int64("bytes", a.Len), zap.Int64("block", blockSize))
		return logic.NotSent, false
	}
	opcode, maxLen := uint8(nvme.OpRead), s.maxTransfer/blockSize*blockSize
	switch a.Kind {
	case block.Write:
		opcode = nvme.OpWrite
	case block.WriteZeroes:
		opcode = nvme.OpWriteZeroes
		if maxLen = 65536 * blockSize; !s.writeZeroes {
			opcode, maxLen = nvme.OpWrite, s.maxTransfer/blockSize*blockSize
		}
	case block.Discard:
		if !s.dsm {
			return logic.OK, false // a hint that this node does not support
		}
		c := nvme.NewCommand(nvme.OpDSM, a.Namespace)
		c.SetDword(11, 1<<2) // deallocate
		list := nvme.DSMRange(uint64(a.Offset/blockSize), uint32(a.Len/blockSize))
		t.commands = append(t.commands, command{sqe: c, out: list})
		return 0, true
	}
	maxLen = min(maxLen, 65536*blockSize)
	data := a.Bytes()
	for off := int64(0); off < a.Len; off += maxLen {
		size := min(maxLen, a.Len-off)
		p := command{sqe: nvme.NewCommand(opcode, a.Namespace)}
		p.sqe.SetBlockRange(uint64((a.Offset+off)/blockSize), uint32(size/blockSize))
		if a.Durable {
			p.sqe.SetDword(12, p.sqe.Dword(12)|nvme.FUA)
		}
		switch {
		case a.Kind == block.Read:
			p.in = data[off : off+size]
			p.sqe.SetData(uint32(size), false)
		case a.Kind == block.Write:
			p.out = data[off : off+size]
		case opcode == nvme.OpWrite:
			p.out = zeroData(size)
		}
		if s.reports && a.Key != 0 {
			p.sqe.SetKey(a.Key)
		}
		t.commands = append(t.commands, p)
	}
	return 0, true
}

var (
	zeroOnce   sync.Once
	zeroBuffer []byte
)

// zeroData returns n zero bytes from a shared buffer; n is at most maxTransfer.
func zeroData(n int64) []byte {
	zeroOnce.Do(func() { zeroBuffer = make([]byte, maxTransfer) })
	return zeroBuffer[:n]
}

// Drop abandons an attempt; the node is asked to abort the commands that it was sent.
func (n *Node) Drop(a *block.Attempt) {
	t, _ := a.Handle.(*task)
	if t == nil || t.queue == nil {
		return
	}
	t.queue.drop(t, func(qid, cid uint16) {
		select {
		case n.aborts <- [2]uint16{qid, cid}:
		default: // too many aborts are queued; the answer is not waited for either way
		}
	})
}

// endAttempt reports the end of an attempt that was never submitted to a queue.
func (n *Node) endAttempt(a *block.Attempt, o logic.Outcome) {
	n.sink.AttemptEnded(a, block.Result{Outcome: o, Load: logic.NoLoad})
}

// failCall ends an admin call whose connection broke. A call that was completed has its reply already.
func failCall(t *task) {
	select {
	case t.reply <- reply{err: errors.New("the connection broke")}:
	default:
	}
}

// endTask reports the end of a task.
func (n *Node) endTask(t *task) {
	if t.attempt == nil {
		failCall(t)
		return
	}
	r := block.Result{Outcome: t.outcome, Load: logic.NoLoad, BytesOut: t.bytesSent, BytesIn: t.bytesReceived}
	if t.hasReport {
		r.Load.Holds, r.Load.Waits = float64(t.report.Requests), float64(t.report.Waiting)
		if t.report.Busy <= 100 {
			r.Load.Busy = float64(t.report.Busy) / 100
		}
		r.BytesElsewhere = int64(t.report.ElsewhereKiB) << 10
	}
	n.sink.AttemptEnded(t.attempt, r)
}
