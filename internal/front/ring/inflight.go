package ring

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"unsafe"

	"appleplank/logic"
	"appleplank/recall"

	"golang.org/x/sys/unix"
)

/*
The region of INFLIGHT_SHMFD (vhost-user protocol, "Inflight I/O tracking", split virtqueues) outlasts this process at
the client. For each queue, aligned to 64 bytes:

	u64 features, u16 version (1), u16 desc_num, u16 last_batch_head, u16 used_idx, then for each descriptor
	u8 inflight, u8 padding[5], u16 next, u64 counter

Behind the queues lies what is ours, which the protocol leaves to the back-end. A header of 64 bytes:

	u64 magic, u32 version, u16 queues, u16 entries, u64 nonce, u32 CRC32C of the 24 bytes before it

and for each descriptor of each queue 32 bytes:

	u64 taken and u64 first sent (by the boot's clock, microseconds), u64 repeat key, u32 first node, u32 sent

"Sent" is set before an attempt is given to a connection, so where it is not set none ever was, whatever instruction
the process was killed at. A kill between the mark and the sending makes a request count as one that may have run.
The file is sealed against shrinking, so that a client cannot take it from under the engine. A region that is not ours,
or whose header has been changed, serves by the protocol alone: all that was taken may have run.
*/
const (
	inflightHeader = 16
	inflightDesc   = 16
	inflightAlign  = 64
	trailerHeader  = 64
	trailerRecord  = 32
	trailerMagic   = 0x31736e6172747061 // "aptrans1"
	trailerVersion = 1
	mostInflight   = 256 << 20
)

func queueRegion(entries int) int {
	return (inflightHeader + inflightDesc*entries + inflightAlign - 1) / inflightAlign * inflightAlign
}

// inflight is a mapped region.
type inflight struct {
	mem     []byte
	queues  int
	entries int
	ours    bool // the trailer is there and can be relied on
	client  bool // the client keeps it; otherwise it is for a process that takes over
	offset  uint64
	fd      int
}

func (f *inflight) trailer() int { return f.queues * queueRegion(f.entries) }

var errInflight = errors.New("the inflight region cannot be used")

// newInflight makes a region. Its nonce is for older versions that may take it up, which draw their repeat keys by it.
func newInflight(queues, entries int) (f *inflight, err error) {
	if queues < 1 || entries < 1 || entries > mostQueue {
		return nil, fmt.Errorf("%w: %d queues of %d entries", errInflight, queues, entries)
	}
	f = &inflight{queues: queues, entries: entries, ours: true}
	size := f.trailer() + trailerHeader + trailerRecord*queues*entries
	if size > mostInflight {
		return nil, fmt.Errorf("%w: %d bytes", errInflight, size)
	}
	fd, err := unix.MemfdCreate("inflight", unix.MFD_CLOEXEC|unix.MFD_ALLOW_SEALING)
	if err != nil {
		return nil, err
	}
	f.fd = fd
	if err = unix.Ftruncate(fd, int64(size)); err == nil {
		_, err = unix.FcntlInt(uintptr(fd), unix.F_ADD_SEALS, unix.F_SEAL_SHRINK|unix.F_SEAL_GROW|unix.F_SEAL_SEAL)
	}
	if err == nil {
		f.mem, err = unix.Mmap(fd, 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	}
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	le := binary.LittleEndian
	h := f.mem[f.trailer():]
	le.PutUint64(h, trailerMagic)
	le.PutUint32(h[8:], trailerVersion)
	le.PutUint16(h[12:], uint16(queues))
	le.PutUint16(h[14:], uint16(entries))
	le.PutUint64(h[16:], rand.Uint64())
	le.PutUint32(h[24:], crc32.Checksum(h[:24], crc32.MakeTable(crc32.Castagnoli)))
	return f, nil
}

// openInflight maps a region that a client or an earlier process hands over; the descriptor stays the caller's.
func openInflight(fd int, size, offset uint64, queues, entries int) (*inflight, error) {
	f := &inflight{queues: queues, entries: entries}
	if queues < 1 || entries < 1 || entries > mostQueue || size > mostInflight || offset > 1<<40 || uint64(f.trailer()) > size {
		return nil, fmt.Errorf("%w: %d bytes for %d queues of %d entries", errInflight, size, queues, entries)
	}
	var st unix.Stat_t
	if err := unix.Fstat(fd, &st); err != nil {
		return nil, err
	}
	if uint64(st.Size) < offset+size {
		return nil, fmt.Errorf("%w: its file has %d bytes, it says %d at %d", errInflight, st.Size, size, offset)
	}
	if offset%4096 != 0 {
		return nil, fmt.Errorf("%w: it begins at %d", errInflight, offset)
	}
	mem, err := unix.Mmap(fd, int64(offset), int(size), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errInflight, err)
	}
	f.mem, f.offset = mem, offset
	if f.fd, err = unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0); err != nil {
		unix.Munmap(mem)
		return nil, err
	}
	seals, err := unix.FcntlInt(uintptr(fd), unix.F_GET_SEALS, 0)
	at := f.trailer()
	if err == nil && seals&unix.F_SEAL_SHRINK != 0 && len(mem) == at+trailerHeader+trailerRecord*queues*entries {
		h, le := mem[at:], binary.LittleEndian
		f.ours = le.Uint64(h) == trailerMagic && le.Uint32(h[8:]) == trailerVersion && int(le.Uint16(h[12:])) == queues &&
			int(le.Uint16(h[14:])) == entries && le.Uint32(h[24:]) == crc32.Checksum(h[:24], crc32.MakeTable(crc32.Castagnoli))
	}
	return f, nil
}

func (f *inflight) close() {
	unix.Munmap(f.mem)
	unix.Close(f.fd)
}

// tracker is one queue's part of a region. Its methods but sending are for the queue's own goroutines.
type tracker struct {
	f       *inflight
	q       []byte // the protocol's part
	rec     []byte // ours; empty where the region is not
	entries int
	nonce   uint64
	index   int
	counter uint64
	batch   []uint16
}

// track begins to use a queue's part. It fits only a ring that has as many entries at most.
func (f *inflight) track(index int, num uint16) (*tracker, error) {
	if index >= f.queues || int(num) > f.entries {
		return nil, fmt.Errorf("%w: queue %d of %d entries in a region for %d of %d", errInflight, index, num, f.queues, f.entries)
	}
	at := index * queueRegion(f.entries)
	t := &tracker{f: f, q: f.mem[at : at+queueRegion(f.entries)], entries: f.entries, index: index}
	if f.ours {
		r := f.trailer() + trailerHeader + trailerRecord*index*f.entries
		t.rec = f.mem[r : r+trailerRecord*f.entries]
		// Fresh for each process that takes the region up: with the region's own and a counter that begins anew, a new
		// write could have an older one's key, and a node that remembers that would drop it. Found by a takeover under load.
		t.nonce = rand.Uint64()
	}
	return t, nil
}

func (t *tracker) desc(head uint16) []byte { return t.q[inflightHeader+inflightDesc*int(head):] }
func (t *tracker) record(head uint16) []byte {
	if len(t.rec) == 0 {
		return nil
	}
	return t.rec[trailerRecord*int(head):]
}

// found is a descriptor that was taken and not answered.
type found struct {
	head    uint16
	counter uint64
	taken   recall.Unanswered
	key     uint64
	node    uint32
}

// recover settles what an earlier process left, and lists what it had taken and not answered, in the order taken.
func (t *tracker) recover(num, usedIdx uint16, now logic.Micros) (list []found, err error) {
	le := binary.LittleEndian
	if le.Uint16(t.q[8:]) == 0 { // never used
		clear(t.q)
		le.PutUint16(t.q[10:], uint16(t.entries))
		le.PutUint16(t.q[14:], usedIdx)
		le.PutUint16(t.q[8:], 1)
		return nil, nil
	}
	if v, n := le.Uint16(t.q[8:]), le.Uint16(t.q[10:]); v != 1 || int(n) != t.entries {
		return nil, fmt.Errorf("%w: queue %d is of version %d with %d entries", errInflight, t.index, v, n)
	}
	// Killed between publishing used entries and taking their marks away: the last batch is over.
	if last := usedIdx - le.Uint16(t.q[14:]); last > 0 {
		if last > num {
			return nil, fmt.Errorf("%w: queue %d has %d answers that it does not know of", errInflight, t.index, last)
		}
		head := le.Uint16(t.q[12:])
		for range last {
			if head >= num {
				return nil, fmt.Errorf("%w: queue %d names descriptor %d of %d", errInflight, t.index, head, num)
			}
			t.desc(head)[0] = 0
			head = le.Uint16(t.desc(head)[6:])
		}
		le.PutUint16(t.q[14:], usedIdx)
	}
	for head := range num {
		d := t.desc(head)
		x := found{head: head, counter: le.Uint64(d[8:])}
		t.counter = max(t.counter, x.counter) // also of what is over, so that the order goes on
		if d[0] == 0 {
			continue
		}
		if r := t.record(head); r != nil {
			x.taken = recall.Unanswered{Known: true, Sent: le.Uint32(r[28:]) != 0, Age: now - logic.Micros(le.Uint64(r)), First: now - logic.Micros(le.Uint64(r[8:]))}
			x.key, x.node = le.Uint64(r[16:]), le.Uint32(r[24:])
		}
		list = append(list, x)
	}
	slices.SortStableFunc(list, func(a, b found) int {
		if a.counter < b.counter {
			return -1
		}
		return 1
	})
	return list, nil
}

// take marks a descriptor as taken; it gives the key by which nodes are to drop repeats of its request, 0: none.
func (t *tracker) take(head uint16, now logic.Micros) (key uint64) {
	le := binary.LittleEndian
	d := t.desc(head)
	t.counter++
	le.PutUint64(d[8:], t.counter)
	if r := t.record(head); r != nil {
		key = mix(t.nonce+mix(uint64(t.index)<<56^t.counter)) | 1
		le.PutUint64(r, uint64(now))
		le.PutUint64(r[8:], uint64(now))
		le.PutUint64(r[16:], key)
		le.PutUint64(r[24:], 0)
	}
	t.mark(head, 1)
	return key
}

// mark stores the inflight byte with the word around it, after everything that was stored before.
func (t *tracker) mark(head uint16, v byte) {
	p := (*uint32)(unsafe.Pointer(&t.desc(head)[0]))
	atomic.StoreUint32(p, atomic.LoadUint32(p)&^0xff|uint32(v))
}

// sending notes that an attempt is about to be begun. It is called while the engine's lock is held: the region is ours
// and sealed, so it neither waits nor faults.
func (t *tracker) sending(head uint16, now logic.Micros, node logic.NodeID) {
	r := t.record(head)
	if r == nil || binary.LittleEndian.Uint32(r[28:]) != 0 {
		return
	}
	binary.LittleEndian.PutUint64(r[8:], uint64(now))
	binary.LittleEndian.PutUint32(r[24:], uint32(node))
	atomic.StoreUint32((*uint32)(unsafe.Pointer(&r[28])), 1)
}

// answered notes that a descriptor's answer is in the used ring, before it is published; over follows when it is.
func (t *tracker) answered(head uint16) {
	le := binary.LittleEndian
	le.PutUint16(t.desc(head)[6:], le.Uint16(t.q[12:]))
	le.PutUint16(t.q[12:], head)
	t.batch = append(t.batch, head)
}

func (t *tracker) over(usedIdx uint16) {
	for _, head := range t.batch {
		t.mark(head, 0)
	}
	t.batch = t.batch[:0]
	p := (*uint32)(unsafe.Pointer(&t.q[12]))
	atomic.StoreUint32(p, atomic.LoadUint32(p)&0xffff|uint32(usedIdx)<<16)
}

// mix is splitmix64's finaliser.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
