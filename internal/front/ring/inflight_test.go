package ring_test

import (
	"encoding/binary"
	"testing"
	"time"

	"appleplank/internal/block"
	"appleplank/logic"

	"golang.org/x/sys/unix"
)

// getInflight requests an inflight region, as a front-end does once.
func (r *client) getInflight() (fd int, payload []byte) {
	r.t.Helper()
	r.send(31, append(u64s(0, 0), 1, 0, num, 0))
	var b [32]byte
	oob := make([]byte, unix.CmsgSpace(4))
	r.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	n, oobn, _, _, err := r.conn.ReadMsgUnix(b[:], oob)
	if err != nil || n != 32 || b[0] != 31 {
		r.t.Fatalf("GET_INFLIGHT_FD: % x, %v", b[:n], err)
	}
	cs, _ := unix.ParseSocketControlMessage(oob[:oobn])
	fds, err := unix.ParseUnixRights(&cs[0])
	if err != nil || len(fds) != 1 {
		r.t.Fatal("GET_INFLIGHT_FD: no descriptor")
	}
	r.t.Cleanup(func() { unix.Close(fds[0]) })
	return fds[0], b[12:]
}

// putRequest puts a request with one indirect descriptor at a head. Each head has its own pages for the table, header,
// data and status.
func (r *client) putRequest(head int, kind uint32, sector uint64) {
	at := dataAt + head*8192
	r.putHeader(at+64, kind, sector)
	r.mem[at+4096] = 0xff
	flags, size := uint16(0), uint32(512)
	switch kind {
	case 0:
		flags = 2
	case 11:
		size = 16
		binary.LittleEndian.PutUint64(r.mem[at+512:], sector)
		binary.LittleEndian.PutUint32(r.mem[at+520:], 1)
	}
	r.put(at, 0, desc{uint64(at + 64), 16, 1, 1})
	r.put(at, 1, desc{uint64(at + 512), size, flags | 1, 2})
	r.put(at, 2, desc{uint64(at + 4096), 1, 2, 0})
	r.put(descAt, head, desc{uint64(at), 48, 4, 0})
}

func (r *client) status(head int) byte { return r.mem[dataAt+head*8192+4096] }

// reconnect returns the same client after its gateway was killed: a new connection with the same memory, rings and
// region.
func (r *client) reconnect(h *harness, fd int, payload []byte) *client {
	n := h.dial()
	unix.Munmap(n.mem)
	unix.Close(n.fd)
	n.mem, n.fd, n.avail = r.mem, r.fd, r.avail
	r.mem = nil
	r.conn.Close()
	unix.Close(r.kick)
	unix.Close(r.call)
	n.send(2, u64s(features))
	n.send(16, u64s(1<<12))
	n.send(5, append(u32s(1, 0), u64s(base, memSize, user, 0)...), n.fd)
	n.send(32, payload, fd)
	n.setUpRing(uint32(n.usedIdx()))
	n.sendKick()
	return n
}

// checkUsed checks that each head has exactly one entry in the used ring.
func (r *client) checkUsed(heads ...int) {
	r.t.Helper()
	waitFor(r.t, "all answers", func() bool { return int(r.usedIdx()) >= len(heads) })
	time.Sleep(20 * time.Millisecond)
	seen := map[uint32]int{}
	for i := range int(r.usedIdx()) {
		seen[binary.LittleEndian.Uint32(r.mem[usedAt+4+8*i:])]++
	}
	for _, h := range heads {
		if seen[uint32(h)] != 1 {
			r.t.Errorf("head %d was answered %d times", h, seen[uint32(h)])
		}
	}
	if int(r.usedIdx()) != len(heads) {
		r.t.Errorf("%d answers to %d requests", r.usedIdx(), len(heads))
	}
}

func (b *fakeNodes) kinds() (k []block.Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.held {
		k = append(k, a.Kind)
	}
	return k
}

// After a kill, requests that were never sent are sent, requests that may have run follow the rules of their class, and
// each request is answered once. Here two requests were in flight at the node, a safe read and an unsafe discard, and
// two had not been sent.
func TestInflight(t *testing.T) {
	h := open(t, false)
	r := h.dial()
	r.setUp()
	r.send(18, u32s(0, 0))
	fd, payload := r.getInflight()
	r.setUpRing(0)
	for i, kind := range []uint32{0, 11, 1, 0} {
		r.putRequest(i, kind, uint64(i)*8)
		r.publish(uint16(i))
		if i < 2 {
			waitFor(t, "the request at the node", func() bool { return h.b.heldCount() == i+1 })
		}
	}
	time.Sleep(20 * time.Millisecond) // taken, but held back by the window of the node
	if got := h.b.kinds(); len(got) != 2 {
		t.Fatalf("in flight at the node: %v", got)
	}
	next := open(t, false)
	n := r.reconnect(next, fd, payload)
	waitFor(t, "two at the new node", func() bool { return next.b.heldCount() == 2 })
	waitFor(t, "all answers", func() bool { next.b.complete(logic.OK); return n.usedIdx() == 4 })
	n.checkUsed(0, 1, 2, 3)
	for head, want := range map[int]byte{0: 0, 1: 1, 2: 0, 3: 0} {
		if got := n.status(head); got != want {
			t.Errorf("head %d: status %d, want %d", head, got, want)
		}
	}
	n.putRequest(5, 0, 0)
	n.publish(5)
	waitFor(t, "the ring goes on", func() bool { next.b.complete(logic.OK); return n.usedIdx() == 5 })
}

// A keyed write that may have run is sent again with the key of its first attempt while the nodes remember the key, and
// never afterwards.
func TestInflightKeyed(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := open(t, false)
		r := h.dial()
		r.setUp()
		r.send(18, u32s(0, 0))
		fd, payload := r.getInflight()
		r.setUpRing(0)
		r.putRequest(2, 1, 16)
		r.publish(2)
		waitFor(t, "the write at the node", func() bool { return h.b.heldCount() == 1 })
		h.b.mu.Lock()
		key := h.b.held[0].Key
		h.b.mu.Unlock()
		if late {
			time.Sleep(450 * time.Millisecond) // of 600, with a margin of 200
		}
		next := open(t, false)
		n := r.reconnect(next, fd, payload)
		if late {
			n.checkUsed(2)
			if n.status(2) != 1 || next.b.heldCount() != 0 {
				t.Errorf("key no longer remembered: status %d, %d sent", n.status(2), next.b.heldCount())
			}
			continue
		}
		waitFor(t, "the write at the new node", func() bool { return next.b.heldCount() == 1 })
		next.b.mu.Lock()
		again := next.b.held[0].Key
		next.b.mu.Unlock()
		if key == 0 || again != key {
			t.Errorf("key %#x, want %#x as in the first attempt", again, key)
		}
		next.b.complete(logic.OK)
		n.checkUsed(2)
	}
}

// A region that is too small or damaged is either rejected, which closes the client, or used as far as it can be
// trusted. Without a valid trailer every request taken counts as one that may have run.
func TestInflightDamaged(t *testing.T) {
	for name, c := range map[string]struct {
		harm    func(mem []byte, payload []byte)
		closed  bool
		discard byte // status of a discard that was never sent: 0 if the trailer is trusted, else 1
	}{
		"as it was":            {func([]byte, []byte) {}, false, 0},
		"trailer scribbled on": {func(mem, _ []byte) { mem[192+3] ^= 1 }, false, 1},
		"too small":            {func(_, p []byte) { binary.LittleEndian.PutUint64(p, 64) }, true, 0},
		"larger than its file": {func(_, p []byte) { binary.LittleEndian.PutUint64(p, 1<<20) }, true, 0},
		"other shape":          {func(_, p []byte) { p[18] = 4 }, true, 0},
		"version":              {func(mem, _ []byte) { mem[8] = 9 }, true, 0},
		"entries":              {func(mem, _ []byte) { mem[10] = 9 }, true, 0},
		"used index":           {func(mem, _ []byte) { mem[14] = 100 }, true, 0},
		"offset":               {func(_, p []byte) { p[8] = 1 }, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := open(t, false)
			r := h.dial()
			r.setUp()
			r.send(18, u32s(0, 0))
			fd, payload := r.getInflight()
			r.setUpRing(0)
			for i, kind := range []uint32{0, 0, 11} {
				r.putRequest(i, kind, uint64(i)*8)
				r.publish(uint16(i))
			}
			waitFor(t, "two at the node", func() bool { return h.b.heldCount() == 2 })
			time.Sleep(20 * time.Millisecond)
			mem, err := unix.Mmap(fd, 0, int(binary.LittleEndian.Uint64(payload)), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
			if err != nil {
				t.Fatal(err)
			}
			defer unix.Munmap(mem)
			if unix.Ftruncate(fd, 0) == nil {
				t.Error("the region can be truncated")
			}
			c.harm(mem, payload)
			next := open(t, true)
			n := r.reconnect(next, fd, payload)
			if c.closed {
				if !n.awaitClose() {
					t.Error("not closed")
				}
				return
			}
			n.checkUsed(0, 1, 2)
			if n.status(0) != 0 || n.status(2) != c.discard {
				t.Errorf("statuses %d and %d, want 0 and %d", n.status(0), n.status(2), c.discard)
			}
		})
	}
}
