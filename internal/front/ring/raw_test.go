package ring_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/engine"
	"appleplank/internal/front/ring"
	"appleplank/internal/settings"
	"appleplank/logic"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const script = `
class_(name = "read", aim = ms(200), deadline = ms(900))
class_(name = "write", aim = ms(200), deadline = ms(900), in_order = True, writes = True)
class_(name = "keyed", aim = ms(200), deadline = ms(2900), in_order = True, writes = True, repeat = "keyed", group = "cell", remembers = ms(600))
class_(name = "unsafe", aim = ms(200), deadline = ms(2900), in_order = True, writes = True, repeat = "unsafe")
plan(name = "p", rate = 1000, reserve = 1000)
gateway(name = "gw0", hosts = 4, number = 0)
node(id = 1, cell = 0, address = "127.0.0.1:1", nqn = "a")
volume(id = 1, name = "disk", plan = "p", socket = "disk.sock", queues = 2, extents = [dict(size = MiB(8), cell = 0, namespace = 1)],
    table = [dict(kind = "read", class_ = "read")] + [dict(kind = k, class_ = "write") for k in ["flush", "write_zeroes"]] +
        [dict(kind = "write", class_ = "keyed"), dict(kind = "discard", class_ = "unsafe")])
`

// fakeNodes stands for the nodes: it holds each attempt until the test completes it, or answers at once.
type fakeNodes struct {
	e    *engine.Engine
	auto bool
	mu   sync.Mutex
	held []*block.Attempt
}

func (b *fakeNodes) Start(a *block.Attempt) {
	b.mu.Lock()
	auto := b.auto
	if !auto {
		b.held = append(b.held, a)
	}
	b.mu.Unlock()
	if auto {
		b.e.AttemptEnded(a, block.Result{Outcome: logic.OK, Load: logic.NoLoad})
	}
}

func (b *fakeNodes) Drop(*block.Attempt) {}

// complete ends all held attempts and returns their number.
func (b *fakeNodes) complete(o logic.Outcome) int {
	b.mu.Lock()
	held := b.held
	b.held = nil
	b.mu.Unlock()
	for _, a := range held {
		b.e.AttemptEnded(a, block.Result{Outcome: o, Load: logic.NoLoad})
	}
	return len(held)
}

func (b *fakeNodes) heldCount() int { b.mu.Lock(); defer b.mu.Unlock(); return len(b.held) }

// harness is a ring server with an engine and fake nodes.
type harness struct {
	t    *testing.T
	b    *fakeNodes
	path string
	srv  *ring.Server
}

func open(t *testing.T, auto bool) *harness {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "x.star")
	os.WriteFile(file, []byte(script), 0o644)
	cfg, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	e, err := engine.New(cfg, 1, 1, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeNodes{e: e, auto: auto}
	e.SetBack(b)
	e.Nodes([]logic.Node{{ID: 1, State: logic.Ready}})
	ctx, cancel := context.WithCancel(context.Background())
	srv, err := ring.Listen(ctx, cfg, e, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		b.complete(logic.Reset)
		if n := srv.Unanswered(); n != 0 {
			t.Errorf("%d requests counted as unanswered after all sessions ended", n)
		}
		if x := e.Tally(); x.Attempts != 0 || x.Ops != 0 {
			t.Errorf("attempts or ops left: %+v", x)
		}
		e.Close()
	})
	return &harness{t: t, b: b, path: cfg.Volumes[0].Socket, srv: srv}
}

// client is a front-end that can violate the protocol in any way. It has one queue of 8 entries, whose areas take
// one page each, and data from dataAt on.
type client struct {
	t          *testing.T
	conn       *net.UnixConn
	fd         int
	mem        []byte
	kick, call int
	avail      uint16
}

const (
	num     = 8
	descAt  = 0
	availAt = 4096
	usedAt  = 8192
	dataAt  = 12288
	memSize = 1 << 20
	base    = 0x1000_0000 // guest address of the memory
	user    = 0x7000_0000 // address of the memory in the address space of the front-end
)

func (h *harness) dial() *client {
	h.t.Helper()
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: h.path, Net: "unix"})
	if err != nil {
		h.t.Fatal(err)
	}
	r := &client{t: h.t, conn: c}
	if r.fd, err = unix.MemfdCreate("raw", unix.MFD_CLOEXEC); err != nil {
		h.t.Fatal(err)
	}
	unix.Ftruncate(r.fd, memSize)
	if r.mem, err = unix.Mmap(r.fd, 0, memSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED); err != nil {
		h.t.Fatal(err)
	}
	r.kick, _ = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	r.call, _ = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	h.t.Cleanup(r.close)
	return r
}

func (r *client) close() {
	r.conn.Close()
	if r.mem != nil {
		unix.Munmap(r.mem)
		unix.Close(r.fd)
		unix.Close(r.kick)
		unix.Close(r.call)
		r.mem = nil
	}
}

func message(request uint32, payload []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, request)
	b = binary.LittleEndian.AppendUint32(b, 1)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	return append(b, payload...)
}

func u64s(v ...uint64) (b []byte) {
	for _, x := range v {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	return b
}

func u32s(v ...uint32) (b []byte) {
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, x)
	}
	return b
}

func (r *client) send(request uint32, payload []byte, fds ...int) {
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	r.conn.WriteMsgUnix(message(request, payload), oob, nil)
}

const features = 1<<32 | 1<<30 | 1<<28

// setUp configures features, memory and the ring in the order of a usual driver.
func (r *client) setUp() {
	r.send(2, u64s(features))
	r.send(16, u64s(1<<3))
	r.send(5, append(u32s(1, 0), u64s(base, memSize, user, 0)...), r.fd)
	r.setUpRing(0)
}

func (r *client) setUpRing(last uint32) {
	r.send(8, u32s(0, num))
	r.send(10, u32s(0, last))
	r.send(9, append(u32s(0, 0), u64s(user+descAt, user+usedAt, user+availAt, 0)...))
	r.send(13, u64s(0), r.call)
	r.send(12, u64s(0), r.kick)
	r.send(18, u32s(0, 1))
}

type desc struct {
	at    uint64 // offset in memory
	n     uint32
	flags uint16
	next  uint16
}

func (r *client) put(table, i int, d desc) {
	b := r.mem[table+16*i:]
	binary.LittleEndian.PutUint64(b, base+d.at)
	binary.LittleEndian.PutUint32(b[8:], d.n)
	binary.LittleEndian.PutUint16(b[12:], d.flags)
	binary.LittleEndian.PutUint16(b[14:], d.next)
}

func (r *client) publish(head uint16) {
	binary.LittleEndian.PutUint16(r.mem[availAt+4+2*int(r.avail%num):], head)
	r.avail++
	r.setAvailIdx(r.avail)
}

func (r *client) setAvailIdx(idx uint16) {
	binary.LittleEndian.PutUint16(r.mem[availAt+2:], idx)
	r.sendKick()
}

func (r *client) sendKick() { unix.Write(r.kick, u64s(1)) }

// putHeader writes a request header.
func (r *client) putHeader(at int, kind uint32, sector uint64) {
	binary.LittleEndian.PutUint32(r.mem[at:], kind)
	binary.LittleEndian.PutUint64(r.mem[at+8:], sector)
}

// putRead writes a read of 512 bytes in descriptors i to i+2.
func (r *client) putRead(i int) {
	at := dataAt + i*2048
	r.putHeader(at, 0, uint64(i))
	r.mem[at+1024] = 0xff
	r.put(descAt, i, desc{uint64(at), 16, 1, uint16(i + 1)})
	r.put(descAt, i+1, desc{uint64(at + 512), 512, 3, uint16(i + 2)})
	r.put(descAt, i+2, desc{uint64(at + 1024), 1, 2, 0})
}

func (r *client) usedIdx() uint16 { return binary.LittleEndian.Uint16(r.mem[usedAt+2:]) }

// awaitClose waits for the gateway to close the connection and reports whether it did.
func (r *client) awaitClose() bool {
	r.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, err := io.Copy(io.Discard, r.conn)
	var ne net.Error
	return err == nil || !(errors.As(err, &ne) && ne.Timeout())
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
