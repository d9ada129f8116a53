package ring_test

import (
	"encoding/binary"
	"io"
	"testing"
	"time"

	"appleplank/internal/standin"
	"appleplank/logic"

	"golang.org/x/sys/unix"
)

// Each error of a front-end on its rings closes its connection and leaves other clients untouched. Errors that a status
// byte can report are answered with one.
func TestBadRings(t *testing.T) {
	for name, c := range map[string]struct {
		do     func(r *client)
		status int // -1: the connection is closed
	}{
		"a plain read":         {func(r *client) { r.putRead(0); r.publish(0) }, 0},
		"index jumps":          {func(r *client) { r.putRead(0); r.setAvailIdx(num + 1) }, -1},
		"head outside":         {func(r *client) { r.publish(num) }, -1},
		"next outside":         {func(r *client) { r.putRead(0); r.put(descAt, 0, desc{dataAt, 16, 1, num}); r.publish(0) }, -1},
		"loop":                 {func(r *client) { r.putRead(0); r.put(descAt, 1, desc{dataAt, 16, 1, 0}); r.publish(0) }, -1},
		"loop on itself":       {func(r *client) { r.put(descAt, 0, desc{dataAt, 16, 1, 0}); r.publish(0) }, -1},
		"both ways":            {func(r *client) { r.putRead(0); r.put(descAt, 2, desc{dataAt + 1024, 1, 0, 0}); r.publish(0) }, -1},
		"no status byte":       {func(r *client) { r.put(descAt, 0, desc{dataAt, 16, 0, 0}); r.publish(0) }, -1},
		"short header":         {func(r *client) { r.putRead(0); r.put(descAt, 0, desc{dataAt, 15, 1, 1}); r.publish(0) }, -1},
		"buffer outside":       {func(r *client) { r.putRead(0); r.put(descAt, 1, desc{memSize - 100, 512, 3, 2}); r.publish(0) }, -1},
		"buffer wraps":         {func(r *client) { r.putRead(0); r.put(descAt, 1, desc{^uint64(0) - base - 10, 512, 3, 2}); r.publish(0) }, -1},
		"indirect in indirect": {func(r *client) { indirect(r, 4); r.publish(0) }, -1},
		"indirect and next":    {func(r *client) { indirect(r, 0); r.put(descAt, 0, desc{dataAt + 4096, 48, 5, 1}); r.publish(0) }, -1},
		"indirect, odd length": {func(r *client) { indirect(r, 0); r.put(descAt, 0, desc{dataAt + 4096, 47, 4, 0}); r.publish(0) }, -1},
		"indirect outside":     {func(r *client) { indirect(r, 0); r.put(descAt, 0, desc{memSize - 16, 48, 4, 0}); r.publish(0) }, -1},
		"indirect":             {func(r *client) { indirect(r, 0); r.publish(0) }, 0},
		"published twice":      {func(r *client) { r.putRead(0); holdRequests(r); r.publish(0); r.publish(0) }, -1},
		"memory cut short":     {func(r *client) { r.putRead(0); r.publish(0); unix.Ftruncate(r.fd, 0); r.sendKick() }, -1},
		"odd length":           {func(r *client) { r.putRead(0); r.put(descAt, 1, desc{dataAt + 512, 511, 3, 2}); r.publish(0) }, 1},
		"past the end":         {func(r *client) { r.putRead(0); r.putHeader(dataAt, 0, 8<<20/512); r.publish(0) }, 1},
		"far past the end":     {func(r *client) { r.putRead(0); r.putHeader(dataAt, 0, 1<<63); r.publish(0) }, 1},
		"unknown type":         {func(r *client) { r.putRead(0); r.putHeader(dataAt, 77, 0); r.publish(0) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := open(t, name != "published twice")
			other, err := standin.Dial(h.path, standin.ClientConfig{Queues: 2, Depth: 4})
			if err != nil {
				t.Fatal(err)
			}
			defer other.Vanish()
			r := h.dial()
			r.setUp()
			c.do(r)
			if c.status >= 0 {
				waitFor(t, "an answer", func() bool { return r.usedIdx() == 1 })
				if got := r.mem[dataAt+1024]; int(got) != c.status {
					t.Errorf("status %d, want %d", got, c.status)
				}
			} else {
				if !r.awaitClose() {
					t.Error("the client was not closed")
				}
				r.close()
			}
			h.b.mu.Lock()
			h.b.auto = true
			h.b.mu.Unlock()
			if a, err := other.Do(0, 0, 8, nil, 4096); err != nil || a.Status != 0 {
				t.Errorf("another client: status %d, %v", a.Status, err)
			}
			again := h.dial()
			again.setUp()
			again.putRead(3)
			again.publish(3)
			waitFor(t, "an answer to the next client", func() bool { return again.usedIdx() == 1 })
		})
	}
}

// indirect moves the three descriptors of a read to an indirect table and adds flags to the last one.
func indirect(r *client, flags uint16) {
	r.putRead(0)
	const table = dataAt + 4096
	copy(r.mem[table:table+48], r.mem[descAt:])
	last := r.mem[table+32:]
	binary.LittleEndian.PutUint16(last[12:], 2|flags)
	r.put(descAt, 0, desc{table, 48, 4, 0})
}

// holdRequests does nothing. It marks a case in which the fake nodes hold the requests.
func holdRequests(*client) {}

// A message truncated at any byte, followed by the end of the stream, ends the session of that client and no other.
func TestCutMessages(t *testing.T) {
	h := open(t, true)
	whole := append(message(2, u64s(features)), message(24, append(u32s(0, 60, 0), make([]byte, 60)...))...)
	for cut := 0; cut <= len(whole); cut++ {
		r := h.dial()
		r.conn.Write(whole[:cut])
		r.conn.CloseWrite()
		if !r.awaitClose() {
			t.Fatalf("cut at byte %d: not closed", cut)
		}
		r.close()
	}
	waitFor(t, "all sessions to end", func() bool { return h.srv.Sessions.Load() == 0 })
}

// Invalid messages are errors that close the connection; with REPLY_ACK the client gets an error reply first.
func TestBadMessages(t *testing.T) {
	h := open(t, true)
	mem := func(gpa, size, uva, off uint64) []byte { return append(u32s(1, 0), u64s(gpa, size, uva, off)...) }
	for name, do := range map[string]func(r *client){
		"version":              func(r *client) { b := message(3, nil); b[4] = 2; r.conn.Write(b) },
		"a reply":              func(r *client) { b := message(3, nil); b[4] = 5; r.conn.Write(b) },
		"huge payload":         func(r *client) { b := message(3, nil); b[11] = 0x40; r.conn.Write(b) },
		"unknown request":      func(r *client) { r.send(999, nil) },
		"not negotiated":       func(r *client) { r.send(31, make([]byte, 20)) },
		"features not offered": func(r *client) { r.send(2, u64s(1<<33)) },
		"payload too short":    func(r *client) { r.send(8, u32s(0)) },
		"queue outside":        func(r *client) { r.send(8, u32s(2, 8)) },
		"size not a power":     func(r *client) { r.send(8, u32s(0, 7)) },
		"size zero":            func(r *client) { r.send(8, u32s(0, 0)) },
		"no descriptor":        func(r *client) { r.send(5, mem(0, 4096, 0, 0)) },
		"too many descriptors": func(r *client) { r.send(3, nil, r.fd, r.fd, r.fd, r.fd, r.fd, r.fd, r.fd, r.fd, r.fd) },
		"descriptor for none":  func(r *client) { r.send(8, u32s(0, 8), r.fd) },
		"nine regions":         func(r *client) { r.send(5, append(u32s(9, 0), make([]byte, 9*32)...)) },
		"region past its file": func(r *client) { r.send(5, mem(0, memSize+1, 0, 0), r.fd) },
		"region wraps":         func(r *client) { r.send(5, mem(^uint64(0)-100, 4096, 0, 0), r.fd) },
		"region of nothing":    func(r *client) { r.send(5, mem(0, 0, 0, 0), r.fd) },
		"regions overlap": func(r *client) {
			r.send(37, append(u64s(0), u64s(0, 8192, 0, 0)...), r.fd)
			r.send(37, append(u64s(0), u64s(4096, 8192, 1<<20, 0)...), r.fd)
		},
		"no such region": func(r *client) { r.send(38, append(u64s(0), u64s(0, 8192, 0, 0)...)) },
		"ring not mapped": func(r *client) {
			r.setUp()
			r.send(9, append(u32s(0, 0), u64s(user+memSize, user+usedAt, user+availAt, 0)...))
		},
		"ring not aligned": func(r *client) {
			r.setUp()
			r.send(9, append(u32s(0, 0), u64s(user+descAt, user+usedAt+1, user+availAt, 0)...))
		},
		"memory taken away": func(r *client) { r.setUp(); r.send(5, u32s(0, 0)) },
		"kick cannot wait": func(r *client) {
			fd, _ := unix.Open("/dev/null", unix.O_RDONLY, 0)
			r.send(12, u64s(0), fd)
			unix.Close(fd)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := h.dial()
			do(r)
			if !r.awaitClose() {
				t.Error("not closed")
			}
			r.close()
		})
	}
	r := h.dial()
	r.send(2, u64s(features))
	r.send(16, u64s(1<<3))
	b := message(8, u32s(0, 7))
	b[4] |= 8
	r.conn.Write(b)
	var reply [20]byte
	r.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.ReadFull(r.conn, reply[:]); err != nil || reply[0] != 8 || reply[4] != 5 || reply[12] == 0 {
		t.Errorf("REPLY_ACK: % x, %v", reply, err)
	}
}

// A client disconnects in the middle of a request, in the middle of a chain, or between kick and read: its memory is
// unmapped at once, attempts in flight end in their own time, and the socket accepts the next client.
func TestVanish(t *testing.T) {
	h := open(t, false)
	for _, how := range []string{"mid request", "mid chain", "between kick and read"} {
		r := h.dial()
		r.setUp()
		switch how {
		case "mid request":
			r.putRead(0)
			r.publish(0)
			waitFor(t, "the request at the node", func() bool { return h.b.heldCount() == 1 })
		case "mid chain":
			r.put(descAt, 0, desc{dataAt, 16, 1, 1}) // the next descriptor was never written
			r.publish(0)
		case "between kick and read":
			r.putRead(0)
			r.publish(0)
		}
		r.close()
		waitFor(t, how+": the session's end", func() bool { return h.srv.Sessions.Load() == 0 })
		h.b.complete(logic.OK) // the node answers after the client has gone
	}
	next := h.dial()
	next.setUp()
	next.putRead(0)
	next.publish(0)
	waitFor(t, "the next client's request", func() bool { return h.b.complete(logic.OK) > 0 || next.usedIdx() == 1 })
	waitFor(t, "its answer", func() bool { return next.usedIdx() == 1 })
}

// GET_VRING_BASE with requests outstanding waits for their answers and returns the index after them; the ring continues
// from there.
func TestStopRing(t *testing.T) {
	h := open(t, false)
	r := h.dial()
	r.setUp()
	r.putRead(0)
	r.putRead(3)
	r.publish(0)
	r.publish(3)
	waitFor(t, "both at the node", func() bool { return h.b.heldCount() == 2 })
	r.send(11, u32s(0, 0))
	time.Sleep(20 * time.Millisecond)
	h.b.complete(logic.OK)
	var reply [20]byte
	r.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.ReadFull(r.conn, reply[:]); err != nil {
		t.Fatal(err)
	}
	if got := binary.LittleEndian.Uint32(reply[16:]); got != 2 || r.usedIdx() != 2 {
		t.Errorf("base %d with %d answers, want 2 and 2", got, r.usedIdx())
	}
	r.setUpRing(2)
	r.putRead(0)
	r.publish(0)
	waitFor(t, "an answer after the stop", func() bool { return h.b.complete(logic.OK) > 0 || r.usedIdx() == 3 })
	waitFor(t, "an answer after the stop", func() bool { return r.usedIdx() == 3 })
}

// A front-end may configure its ring in any order.
func TestSetUpInAnyOrder(t *testing.T) {
	h := open(t, true)
	r := h.dial()
	r.send(18, u32s(0, 1)) // before SET_FEATURES
	r.send(12, u64s(0), r.kick)
	r.send(13, u64s(0), r.call)
	r.send(2, u64s(features))
	r.send(5, append(u32s(1, 0), u64s(base, memSize, user, 0)...), r.fd)
	r.send(8, u32s(0, num*2))
	r.send(9, append(u32s(0, 0), u64s(user+descAt, user+usedAt, user+availAt, 0)...))
	r.send(10, u32s(0, 5)) // the ring can already start before this message
	r.send(8, u32s(0, num))
	r.send(10, u32s(0, 0))
	r.putRead(0)
	r.publish(0)
	waitFor(t, "an answer", func() bool { return r.usedIdx() == 1 })
}

// A descriptor that the client changes after it was read has no effect: the values used are those that were checked.
func TestDescriptorChanges(t *testing.T) {
	h := open(t, false)
	r := h.dial()
	r.setUp()
	r.putRead(0)
	r.publish(0)
	waitFor(t, "the request at the node", func() bool { return h.b.heldCount() == 1 })
	r.put(descAt, 1, desc{memSize * 2, 1 << 30, 3, 2})
	r.put(descAt, 2, desc{memSize * 2, 1, 2, 0})
	h.b.complete(logic.OK)
	waitFor(t, "its answer", func() bool { return r.usedIdx() == 1 })
	if r.mem[dataAt+1024] != 0 {
		t.Error("the status was not written to the address in the original descriptors")
	}
}
