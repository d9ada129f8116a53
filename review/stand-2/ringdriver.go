// The driver of try-notify: internal/standin/client.go, with a notification of the device at every request.

package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"appleplank/internal/block"

	"golang.org/x/sys/unix"
)

// ringDriver is a vhost-user front-end with a virtio-blk driver on it, written from the protocol text and virtio 1.2.
// Its memory is one memfd; each queue has as many places as its depth, each with room for a header, data and status.
type ringDriver struct {
	conn   *net.UnixConn
	queues []*driverQueue
	mem    []byte
	memFD  int
	Config driverConfig
	Disk   Disk
	wg     sync.WaitGroup
	left   atomic.Bool

	region  int // descriptor of the inflight region; below zero: none
	payload []byte
	num     int
}

// driverConfig is what a client negotiates.
type driverConfig struct {
	Queues   int
	Depth    int  // requests out in a queue
	MostData int  // bytes of a request
	EventIdx bool // features beyond VERSION_1
	Indirect bool
	Advice   bool // leave room for the advice record
	Slots    bool // memory by ADD_MEM_REG
	NoFlush  bool // do not negotiate FLUSH
	Inflight bool // keep a region of what is in flight, so that [ringDriver.Reconnect] can take up where the gateway left
}

// Disk is what the device's configuration says.
type Disk struct {
	Sectors          uint64
	SizeMax, SegMax  uint32
	BlkSize          uint32
	Queues           uint16
	MaxDiscard       uint32
	Features, Protos uint64
}

// driverReply is an answer as the ring gave it.
type driverReply struct {
	Status  uint8 // virtio's
	Verdict block.Verdict
	Wait    time.Duration // advice
	Advised bool
	Data    []byte // reads; valid until the callback returns
}

const (
	placeHead   = 64 // header, status and advice of a place
	descsAPlace = 3
)

type driverQueue struct {
	c       *ringDriver
	index   int
	num     int
	desc    []byte
	avail   []byte
	used    []byte
	places  int // offset in memory
	kick    *os.File
	call    *os.File
	mu      sync.Mutex
	free    []int
	cond    *sync.Cond
	done    []func(driverReply)
	size    []int
	kind    []uint32
	seen    uint16
	next    uint16
	strange int // answers to nothing, and answers given twice
	broken  bool
}

// dialDriver connects to a volume's socket and starts all queues.
func dialDriver(path string, cfg driverConfig) (*ringDriver, error) {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	c := &ringDriver{conn: conn, Config: cfg, memFD: -1, region: -1}
	if err := c.setUp(); err != nil {
		c.Vanish()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *ringDriver) message(request uint32, payload []byte, fds ...int) error {
	b := make([]byte, 12, 12+len(payload))
	le := binary.LittleEndian
	le.PutUint32(b, request)
	le.PutUint32(b[4:], 1)
	le.PutUint32(b[8:], uint32(len(payload)))
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	_, _, err := c.conn.WriteMsgUnix(append(b, payload...), oob, nil)
	return err
}

func (c *ringDriver) ask(request uint32, payload []byte) ([]byte, error) {
	if err := c.message(request, payload); err != nil {
		return nil, err
	}
	var h [12]byte
	if _, err := io.ReadFull(c.conn, h[:]); err != nil {
		return nil, err
	}
	le := binary.LittleEndian
	if got := le.Uint32(h[:]); got != request || le.Uint32(h[4:])&7 != 5 {
		return nil, fmt.Errorf("message %d was answered by %d with flags %#x", request, got, le.Uint32(h[4:]))
	}
	b := make([]byte, le.Uint32(h[8:]))
	_, err := io.ReadFull(c.conn, b)
	return b, err
}

func words(v ...uint32) (b []byte) {
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, x)
	}
	return b
}

func quads(v ...uint64) (b []byte) {
	for _, x := range v {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	return b
}

func (c *ringDriver) setUp() error {
	le := binary.LittleEndian
	number := func(request uint32) (uint64, error) {
		b, err := c.ask(request, nil)
		if err != nil || len(b) != 8 {
			return 0, fmt.Errorf("message %d: %d bytes, %w", request, len(b), err)
		}
		return le.Uint64(b), nil
	}
	if err := c.message(3, nil); err != nil { // SET_OWNER
		return err
	}
	var err error
	if c.Disk.Features, err = number(1); err != nil {
		return err
	}
	if c.Disk.Protos, err = number(15); err != nil {
		return err
	}
	c.message(16, quads(c.Disk.Protos&(1|1<<3|1<<9|1<<12|1<<13|1<<15)))
	queues, err := number(17)
	if err != nil {
		return err
	}
	c.Config.Queues = min(max(c.Config.Queues, 1), int(queues))
	cfg, err := c.ask(24, append(words(0, 60, 0), make([]byte, 60)...)) // GET_CONFIG
	if err != nil || len(cfg) != 72 {
		return fmt.Errorf("GET_CONFIG: %d bytes, %w", len(cfg), err)
	}
	f := cfg[12:]
	d := &c.Disk
	d.Sectors, d.SizeMax, d.SegMax, d.BlkSize = le.Uint64(f), le.Uint32(f[8:]), le.Uint32(f[12:]), le.Uint32(f[20:])
	d.Queues, d.MaxDiscard = le.Uint16(f[34:]), le.Uint32(f[36:])
	want := uint64(1<<32 | 1<<30 | 1<<12 | 1<<1 | 1<<2 | 1<<5 | 1<<6 | 1<<9 | 1<<13 | 1<<14)
	if c.Config.EventIdx {
		want |= 1 << 29
	}
	if c.Config.Indirect {
		want |= 1 << 28
	}
	if c.Config.NoFlush {
		want &^= 1 << 9
	}
	if err := c.message(2, quads(want&d.Features)); err != nil { // SET_FEATURES
		return err
	}
	if c.mem != nil {
		return c.showRings()
	}
	return c.share()
}

// share maps the memory and lays the rings out in it.
func (c *ringDriver) share() error {
	depth := max(c.Config.Depth, 1)
	if c.Config.MostData == 0 {
		c.Config.MostData = 128 << 10
	}
	num := 4
	for num < depth*descsAPlace+descsAPlace {
		num *= 2
	}
	page := func(n int) int { return (n + 4095) &^ 4095 }
	place := page(placeHead + c.Config.MostData + 16*descsAPlace + 64)
	each := page(16*num) + page(6+2*num) + page(6+8*num) + depth*place
	total := each * c.Config.Queues
	fd, err := unix.MemfdCreate("rings", unix.MFD_CLOEXEC)
	if err != nil {
		return err
	}
	c.memFD = fd
	if err := unix.Ftruncate(fd, int64(total)); err != nil {
		return err
	}
	if c.mem, err = unix.Mmap(fd, 0, total, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED); err != nil {
		return err
	}
	c.num = num
	for i := range c.Config.Queues {
		q := &driverQueue{c: c, index: i, num: num, done: make([]func(driverReply), depth), size: make([]int, depth), kind: make([]uint32, depth)}
		q.cond = sync.NewCond(&q.mu)
		at := i * each
		cut := func(n int) []byte { b := c.mem[at : at+n]; at += page(n); return b }
		q.desc, q.avail, q.used = cut(16*num), cut(6+2*num), cut(6+8*num)
		q.places = at
		for p := range depth {
			q.free = append(q.free, p)
		}
		if q.kick, err = eventFD(); err != nil {
			return err
		}
		if q.call, err = eventFD(); err != nil {
			return err
		}
		c.queues = append(c.queues, q)
		c.wg.Add(1)
		go q.collect()
	}
	return c.showRings()
}

// showRings tells the gateway of memory, region and rings, and kicks them.
func (c *ringDriver) showRings() (err error) {
	const gpa = 1 << 32 // the guest's addresses need not be ours
	uva, total := uint64(uintptr(unsafe.Pointer(&c.mem[0]))), uint64(len(c.mem))
	if c.Config.Slots {
		err = c.message(37, quads(0, gpa, total, uva, 0), c.memFD)
	} else {
		err = c.message(5, append(words(1, 0), quads(gpa, total, uva, 0)...), c.memFD)
	}
	if err != nil {
		return err
	}
	if c.Config.Inflight && c.region < 0 {
		if err := c.askRegion(); err != nil {
			return err
		}
	}
	if c.region >= 0 {
		if err := c.message(32, c.payload, c.region); err != nil {
			return err
		}
	}
	for i, q := range c.queues {
		user := func(b []byte) uint64 { return uint64(uintptr(unsafe.Pointer(&b[0]))) }
		n := uint32(i)
		c.message(8, words(n, uint32(c.num)))
		c.message(10, words(n, uint32(q.usedIdx())))
		c.message(9, append(words(n, 0), quads(user(q.desc), user(q.used), user(q.avail), 0)...))
		c.message(13, quads(uint64(i)), fdOf(q.call))
		c.message(12, quads(uint64(i)), fdOf(q.kick))
		if err := c.message(18, words(n, 1)); err != nil {
			return err
		}
		q.ring()
		q.call.Write(quads(1)) // answers may have been published without a call
	}
	return nil
}

// askRegion has the gateway make an inflight region.
func (c *ringDriver) askRegion() error {
	shape := append(quads(0, 0), byte(len(c.queues)), byte(len(c.queues)>>8), byte(c.num), byte(c.num>>8))
	if err := c.message(31, shape); err != nil {
		return err
	}
	var b [12 + 20]byte
	oob := make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := c.conn.ReadMsgUnix(b[:], oob)
	if err != nil || n != len(b) {
		return fmt.Errorf("GET_INFLIGHT_FD: %d bytes, %w", n, err)
	}
	cs, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil || len(cs) != 1 {
		return fmt.Errorf("GET_INFLIGHT_FD: no descriptor, %w", err)
	}
	fds, err := unix.ParseUnixRights(&cs[0])
	if err != nil || len(fds) != 1 {
		return fmt.Errorf("GET_INFLIGHT_FD: %d descriptors, %w", len(fds), err)
	}
	c.region, c.payload = fds[0], append([]byte(nil), b[12:]...)
	return nil
}

// Reconnect connects anew to a gateway that was started again, with memory, rings and region as they are. What was out
// is answered by the new process.
func (c *ringDriver) Reconnect(path string) error {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	if c.left.Load() {
		conn.Close()
		return ErrLeft
	}
	c.conn.Close()
	c.conn = conn
	return c.setUp()
}

// fdOf reads a file's descriptor without making it wait, as File.Fd would.
func fdOf(f *os.File) (fd int) {
	rc, err := f.SyscallConn()
	if err == nil {
		rc.Control(func(x uintptr) { fd = int(x) })
	}
	return fd
}

func eventFD() (*os.File, error) {
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), "eventfd"), nil
}

func (q *driverQueue) placeSize() int {
	return (placeHead + q.c.Config.MostData + 16*descsAPlace + 64 + 4095) &^ 4095
}

// ErrLeft says that the client has left or was closed.
var ErrLeft = errors.New("ring driver: the client's connection is gone")

// Submit publishes a request in a queue, waiting for a place; done is called from the queue's own goroutine.
func (c *ringDriver) Submit(queue int, kind uint32, sector uint64, data []byte, size int, done func(driverReply)) error {
	q := c.queues[queue]
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.free) == 0 && !q.broken && !c.left.Load() {
		q.cond.Wait()
	}
	if q.broken || c.left.Load() {
		return ErrLeft
	}
	p := q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	q.done[p], q.size[p], q.kind[p] = done, size, kind
	le := binary.LittleEndian
	base := q.places + p*q.placeSize()
	head := c.mem[base : base+placeHead]
	le.PutUint32(head, kind)
	le.PutUint32(head[4:], 0)
	le.PutUint64(head[8:], sector)
	clear(head[16:])
	head[48] = 0xff
	body := c.mem[base+placeHead:]
	copy(body, data)
	tail, tailLen := base+48, 1
	if c.Config.Advice {
		tail, tailLen = base+32, 17
	}
	type d struct{ at, n, flags int }
	ds := []d{{base, 16, 0}}
	if size > 0 {
		flags := 0
		if kind == 0 || kind == 8 {
			flags = 2
		}
		ds = append(ds, d{base + placeHead, size, flags})
	}
	ds = append(ds, d{tail, tailLen, 2})
	const gpa = 1 << 32
	put := func(b []byte, i int, x d, next, flags int) {
		le.PutUint64(b[16*i:], uint64(gpa+x.at))
		le.PutUint32(b[16*i+8:], uint32(x.n))
		le.PutUint16(b[16*i+12:], uint16(x.flags|flags))
		le.PutUint16(b[16*i+14:], uint16(next))
	}
	first := p * descsAPlace
	if c.Config.Indirect {
		table := base + placeHead + c.Config.MostData + 16
		for i, x := range ds {
			if i+1 < len(ds) {
				put(c.mem[table:], i, x, i+1, 1)
			} else {
				put(c.mem[table:], i, x, 0, 0)
			}
		}
		put(q.desc, first, d{table, 16 * len(ds), 4}, 0, 0)
	} else {
		for i, x := range ds {
			if i+1 < len(ds) {
				put(q.desc, first+i, x, first+i+1, 1)
			} else {
				put(q.desc, first+i, x, 0, 0)
			}
		}
	}
	le.PutUint16(q.avail[4+2*(int(q.next)%q.num):], uint16(first))
	old := q.next
	q.next++
	atomic.StoreUint32((*uint32)(unsafe.Pointer(&q.avail[0])), uint32(q.next)<<16)
	_ = old
	return q.ring() // always: a driver may notify more often than the device asks for
}

func (q *driverQueue) ring() error {
	_, err := q.kick.Write(quads(1))
	return err
}

// collect takes answers until the connection is gone.
func (q *driverQueue) collect() {
	defer q.c.wg.Done()
	var b [8]byte
	for {
		if _, err := q.call.Read(b[:]); err != nil {
			break
		}
		for q.drain() {
		}
	}
	q.mu.Lock()
	q.broken = true
	q.cond.Broadcast()
	q.mu.Unlock()
}

func (q *driverQueue) usedIdx() uint16 {
	return uint16(atomic.LoadUint32((*uint32)(unsafe.Pointer(&q.used[0]))) >> 16)
}

// drain takes what is in the used ring; true where more came while it asked to be called.
func (q *driverQueue) drain() bool {
	le := binary.LittleEndian
	for q.seen != q.usedIdx() {
		e := q.used[4+8*(int(q.seen)%q.num):]
		first := int(le.Uint32(e))
		q.seen++
		p := first / descsAPlace
		q.mu.Lock()
		if first%descsAPlace != 0 || p >= len(q.done) || q.done[p] == nil {
			q.strange++
			q.mu.Unlock()
			continue
		}
		done, size := q.done[p], q.size[p]
		q.done[p] = nil
		q.mu.Unlock()
		base := q.places + p*q.placeSize()
		head := q.c.mem[base : base+placeHead]
		r := driverReply{Status: head[48]}
		if q.c.Config.Advice && le.Uint32(head[32:]) == 0x316c7061 {
			r.Advised, r.Verdict = true, block.Verdict(le.Uint32(head[36:]))
			r.Wait = time.Duration(le.Uint64(head[40:])) * time.Microsecond
		} else if r.Status != 0 {
			r.Verdict = block.Failed
		}
		if r.Status == 0 && (q.kind[p] == 0 || q.kind[p] == 8) {
			r.Data = q.c.mem[base+placeHead : base+placeHead+size]
		}
		done(r)
		q.mu.Lock()
		q.free = append(q.free, p)
		q.cond.Signal()
		q.mu.Unlock()
	}
	if q.c.Config.EventIdx {
		le.PutUint16(q.avail[4+2*q.num:], q.seen)
		atomic.AddUint32(&clientFence, 1)
	}
	return q.seen != q.usedIdx()
}

var clientFence uint32

// Do submits one request and waits for its answer.
func (c *ringDriver) Do(queue int, kind uint32, sector uint64, data []byte, size int) (driverReply, error) {
	ch := make(chan driverReply, 1)
	err := c.Submit(queue, kind, sector, data, size, func(r driverReply) {
		r.Data = append([]byte(nil), r.Data...)
		ch <- r
	})
	if err != nil {
		return driverReply{}, err
	}
	gone := time.NewTicker(50 * time.Millisecond)
	defer gone.Stop()
	for {
		select {
		case r := <-ch:
			return r, nil
		case <-gone.C:
			if c.left.Load() {
				return driverReply{}, ErrLeft
			}
		}
	}
}

// Stop has all rings stopped in the way a driver does, which waits for what is out, and gives their bases.
func (c *ringDriver) Stop() (bases []uint16, err error) {
	for i := range c.queues {
		b, err := c.ask(11, words(uint32(i), 0)) // GET_VRING_BASE
		if err != nil || len(b) != 8 {
			return nil, fmt.Errorf("GET_VRING_BASE: %d bytes, %w", len(b), err)
		}
		bases = append(bases, uint16(binary.LittleEndian.Uint32(b[4:])))
	}
	return bases, nil
}

// Strange counts answers that belong to no request.
func (c *ringDriver) Strange() (n int) {
	for _, q := range c.queues {
		q.mu.Lock()
		n += q.strange
		q.mu.Unlock()
	}
	return n
}

// Watch calls gone once the gateway has closed the connection.
func (c *ringDriver) Watch(gone func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		var b [1]byte
		c.conn.Read(b[:])
		if !c.left.Load() {
			gone()
		}
	}()
}

// Vanish closes everything at once, as a killed client does. Callbacks that have not run will not.
func (c *ringDriver) Vanish() {
	if c.left.Swap(true) {
		return
	}
	c.conn.Close()
	for _, q := range c.queues {
		q.call.Close()
		q.kick.Close()
		q.mu.Lock()
		q.cond.Broadcast()
		q.mu.Unlock()
	}
	c.wg.Wait()
	if c.memFD >= 0 {
		unix.Close(c.memFD)
	}
	if c.region >= 0 {
		unix.Close(c.region)
	}
	if c.mem != nil {
		unix.Munmap(c.mem)
	}
}
