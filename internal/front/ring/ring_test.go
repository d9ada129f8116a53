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

// Each thing that a front-end can do wrong on its rings closes that client, with the others untouched; what the
// status byte can answer is answered.
func TestBadRings(t *testing.T) {
	for name, c := range map[string]struct {
		do     func(r *raw)
		status int // below zero: the client is closed
	}{
		"a plain read":         {func(r *raw) { r.read(0); r.publish(0) }, 0},
		"index jumps":          {func(r *raw) { r.read(0); r.index(num + 1) }, -1},
		"head outside":         {func(r *raw) { r.publish(num) }, -1},
		"next outside":         {func(r *raw) { r.read(0); r.put(descAt, 0, desc{dataAt, 16, 1, num}); r.publish(0) }, -1},
		"loop":                 {func(r *raw) { r.read(0); r.put(descAt, 1, desc{dataAt, 16, 1, 0}); r.publish(0) }, -1},
		"loop on itself":       {func(r *raw) { r.put(descAt, 0, desc{dataAt, 16, 1, 0}); r.publish(0) }, -1},
		"both ways":            {func(r *raw) { r.read(0); r.put(descAt, 2, desc{dataAt + 1024, 1, 0, 0}); r.publish(0) }, -1},
		"no status byte":       {func(r *raw) { r.put(descAt, 0, desc{dataAt, 16, 0, 0}); r.publish(0) }, -1},
		"short header":         {func(r *raw) { r.read(0); r.put(descAt, 0, desc{dataAt, 15, 1, 1}); r.publish(0) }, -1},
		"buffer outside":       {func(r *raw) { r.read(0); r.put(descAt, 1, desc{memSize - 100, 512, 3, 2}); r.publish(0) }, -1},
		"buffer wraps":         {func(r *raw) { r.read(0); r.put(descAt, 1, desc{^uint64(0) - base - 10, 512, 3, 2}); r.publish(0) }, -1},
		"indirect in indirect": {func(r *raw) { indirect(r, 4); r.publish(0) }, -1},
		"indirect and next":    {func(r *raw) { indirect(r, 0); r.put(descAt, 0, desc{dataAt + 4096, 48, 5, 1}); r.publish(0) }, -1},
		"indirect, odd length": {func(r *raw) { indirect(r, 0); r.put(descAt, 0, desc{dataAt + 4096, 47, 4, 0}); r.publish(0) }, -1},
		"indirect outside":     {func(r *raw) { indirect(r, 0); r.put(descAt, 0, desc{memSize - 16, 48, 4, 0}); r.publish(0) }, -1},
		"indirect":             {func(r *raw) { indirect(r, 0); r.publish(0) }, 0},
		"published twice":      {func(r *raw) { r.read(0); hold(r); r.publish(0); r.publish(0) }, -1},
		"memory cut short":     {func(r *raw) { r.read(0); r.publish(0); unix.Ftruncate(r.fd, 0); r.kickIt() }, -1},
		"odd length":           {func(r *raw) { r.read(0); r.put(descAt, 1, desc{dataAt + 512, 511, 3, 2}); r.publish(0) }, 1},
		"past the end":         {func(r *raw) { r.read(0); r.header(dataAt, 0, 8<<20/512); r.publish(0) }, 1},
		"far past the end":     {func(r *raw) { r.read(0); r.header(dataAt, 0, 1<<63); r.publish(0) }, 1},
		"unknown type":         {func(r *raw) { r.read(0); r.header(dataAt, 77, 0); r.publish(0) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := open(t, name != "published twice")
			other, err := standin.Dial(h.path, standin.ClientConfig{Queues: 2, Depth: 4})
			if err != nil {
				t.Fatal(err)
			}
			defer other.Vanish()
			r := h.dial()
			r.ready()
			c.do(r)
			if c.status >= 0 {
				wait(t, "an answer", func() bool { return r.usedIdx() == 1 })
				if got := r.mem[dataAt+1024]; int(got) != c.status {
					t.Errorf("status %d, want %d", got, c.status)
				}
			} else {
				if !r.closed() {
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
			again.ready()
			again.read(3)
			again.publish(3)
			wait(t, "an answer to the next client", func() bool { return again.usedIdx() == 1 })
		})
	}
}

// indirect puts a read's three descriptors in a table; flags are added to its last.
func indirect(r *raw, flags uint16) {
	r.read(0)
	const table = dataAt + 4096
	copy(r.mem[table:table+48], r.mem[descAt:])
	last := r.mem[table+32:]
	binary.LittleEndian.PutUint16(last[12:], 2|flags)
	r.put(descAt, 0, desc{table, 48, 4, 0})
}

// hold does nothing: the house's nodes hold what they get.
func hold(*raw) {}

// A message cut at each byte, and then the end of the stream, ends that client and nothing else.
func TestCutMessages(t *testing.T) {
	h := open(t, true)
	whole := append(message(2, quads(features)), message(24, append(words(0, 60, 0), make([]byte, 60)...))...)
	for cut := 0; cut <= len(whole); cut++ {
		r := h.dial()
		r.conn.Write(whole[:cut])
		r.conn.CloseWrite()
		if !r.closed() {
			t.Fatalf("cut at byte %d: not closed", cut)
		}
		r.close()
	}
	wait(t, "all sessions to end", func() bool { return h.srv.Sessions.Load() == 0 })
}

// Messages that cannot be are errors that close the client; with REPLY_ACK the client is told first.
func TestBadMessages(t *testing.T) {
	h := open(t, true)
	mem := func(gpa, size, uva, off uint64) []byte { return append(words(1, 0), quads(gpa, size, uva, off)...) }
	for name, do := range map[string]func(r *raw){
		"version":              func(r *raw) { b := message(3, nil); b[4] = 2; r.conn.Write(b) },
		"a reply":              func(r *raw) { b := message(3, nil); b[4] = 5; r.conn.Write(b) },
		"huge payload":         func(r *raw) { b := message(3, nil); b[11] = 0x40; r.conn.Write(b) },
		"unknown request":      func(r *raw) { r.send(999, nil) },
		"not negotiated":       func(r *raw) { r.send(31, make([]byte, 20)) },
		"features not offered": func(r *raw) { r.send(2, quads(1<<33)) },
		"payload too short":    func(r *raw) { r.send(8, words(0)) },
		"queue outside":        func(r *raw) { r.send(8, words(2, 8)) },
		"size not a power":     func(r *raw) { r.send(8, words(0, 7)) },
		"size zero":            func(r *raw) { r.send(8, words(0, 0)) },
		"no descriptor":        func(r *raw) { r.send(5, mem(0, 4096, 0, 0)) },
		"too many descriptors": func(r *raw) { r.send(3, nil, r.fd, r.fd, r.fd, r.fd, r.fd, r.fd, r.fd, r.fd, r.fd) },
		"descriptor for none":  func(r *raw) { r.send(8, words(0, 8), r.fd) },
		"nine regions":         func(r *raw) { r.send(5, append(words(9, 0), make([]byte, 9*32)...)) },
		"region past its file": func(r *raw) { r.send(5, mem(0, memSize+1, 0, 0), r.fd) },
		"region wraps":         func(r *raw) { r.send(5, mem(^uint64(0)-100, 4096, 0, 0), r.fd) },
		"region of nothing":    func(r *raw) { r.send(5, mem(0, 0, 0, 0), r.fd) },
		"regions overlap": func(r *raw) {
			r.send(37, append(quads(0), quads(0, 8192, 0, 0)...), r.fd)
			r.send(37, append(quads(0), quads(4096, 8192, 1<<20, 0)...), r.fd)
		},
		"no such region": func(r *raw) { r.send(38, append(quads(0), quads(0, 8192, 0, 0)...)) },
		"ring not mapped": func(r *raw) {
			r.ready()
			r.send(9, append(words(0, 0), quads(user+memSize, user+usedAt, user+availAt, 0)...))
		},
		"ring not aligned": func(r *raw) {
			r.ready()
			r.send(9, append(words(0, 0), quads(user+descAt, user+usedAt+1, user+availAt, 0)...))
		},
		"memory taken away": func(r *raw) { r.ready(); r.send(5, words(0, 0)) },
		"kick cannot wait": func(r *raw) {
			fd, _ := unix.Open("/dev/null", unix.O_RDONLY, 0)
			r.send(12, quads(0), fd)
			unix.Close(fd)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := h.dial()
			do(r)
			if !r.closed() {
				t.Error("not closed")
			}
			r.close()
		})
	}
	r := h.dial()
	r.send(2, quads(features))
	r.send(16, quads(1<<3))
	b := message(8, words(0, 7))
	b[4] |= 8
	r.conn.Write(b)
	var reply [20]byte
	r.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.ReadFull(r.conn, reply[:]); err != nil || reply[0] != 8 || reply[4] != 5 || reply[12] == 0 {
		t.Errorf("REPLY_ACK: % x, %v", reply, err)
	}
}

// A client that vanishes in the middle of a request, of a chain, and between kick and read: its memory is let go of at
// once, what is out ends in its own time, and the socket takes the next client.
func TestVanish(t *testing.T) {
	h := open(t, false)
	for _, how := range []string{"mid request", "mid chain", "between kick and read"} {
		r := h.dial()
		r.ready()
		switch how {
		case "mid request":
			r.read(0)
			r.publish(0)
			wait(t, "the request at the node", func() bool { return h.b.waiting() == 1 })
		case "mid chain":
			r.put(descAt, 0, desc{dataAt, 16, 1, 1}) // the next one was never written
			r.publish(0)
		case "between kick and read":
			r.read(0)
			r.publish(0)
		}
		r.close()
		wait(t, how+": the session's end", func() bool { return h.srv.Sessions.Load() == 0 })
		h.b.end(logic.OK) // the node answers after all: to nobody
	}
	next := h.dial()
	next.ready()
	next.read(0)
	next.publish(0)
	wait(t, "the next client's request", func() bool { return h.b.end(logic.OK) > 0 || next.usedIdx() == 1 })
	wait(t, "its answer", func() bool { return next.usedIdx() == 1 })
}

// GET_VRING_BASE with requests out waits for their answers and gives the index after them; the ring goes on from there.
func TestStopRing(t *testing.T) {
	h := open(t, false)
	r := h.dial()
	r.ready()
	r.read(0)
	r.read(3)
	r.publish(0)
	r.publish(3)
	wait(t, "both at the node", func() bool { return h.b.waiting() == 2 })
	r.send(11, words(0, 0))
	time.Sleep(20 * time.Millisecond)
	h.b.end(logic.OK)
	var reply [20]byte
	r.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.ReadFull(r.conn, reply[:]); err != nil {
		t.Fatal(err)
	}
	if got := binary.LittleEndian.Uint32(reply[16:]); got != 2 || r.usedIdx() != 2 {
		t.Errorf("base %d with %d answers, want 2 and 2", got, r.usedIdx())
	}
	r.ring(2)
	r.read(0)
	r.publish(0)
	wait(t, "an answer after the stop", func() bool { return h.b.end(logic.OK) > 0 || r.usedIdx() == 3 })
	wait(t, "an answer after the stop", func() bool { return r.usedIdx() == 3 })
}

// A front-end may tell of its ring in any order.
func TestSetUpInAnyOrder(t *testing.T) {
	h := open(t, true)
	r := h.dial()
	r.send(18, words(0, 1)) // before SET_FEATURES
	r.send(12, quads(0), r.kick)
	r.send(13, quads(0), r.call)
	r.send(2, quads(features))
	r.send(5, append(words(1, 0), quads(base, memSize, user, 0)...), r.fd)
	r.send(8, words(0, num*2))
	r.send(9, append(words(0, 0), quads(user+descAt, user+usedAt, user+availAt, 0)...))
	r.send(10, words(0, 5)) // all that was needed is there since before this
	r.send(8, words(0, num))
	r.send(10, words(0, 0))
	r.read(0)
	r.publish(0)
	wait(t, "an answer", func() bool { return r.usedIdx() == 1 })
}

// A descriptor that changes after it was read changes nothing: what was checked is what is used.
func TestDescriptorChanges(t *testing.T) {
	h := open(t, false)
	r := h.dial()
	r.ready()
	r.read(0)
	r.publish(0)
	wait(t, "the request at the node", func() bool { return h.b.waiting() == 1 })
	r.put(descAt, 1, desc{memSize * 2, 1 << 30, 3, 2})
	r.put(descAt, 2, desc{memSize * 2, 1, 2, 0})
	h.b.end(logic.OK)
	wait(t, "its answer", func() bool { return r.usedIdx() == 1 })
	if r.mem[dataAt+1024] != 0 {
		t.Error("the status did not go where the first descriptors said")
	}
}
