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
The region of INFLIGHT_SHMFD (vhost-user protocol, "Inflight I/O tracking", split virtqueues) is kept by the client
and outlives this process. For each queue, aligned to 64 bytes:

	u64 features, u16 version (1), u16 desc_num, u16 last_batch_head, u16 used_idx, then for each descriptor
	u8 inflight, u8 padding[5], u16 next, u64 counter

Behind the queues follows a trailer in a format of this project, which the protocol leaves to the back-end. A header of
64 bytes:

	u64 magic, u32 version, u16 queues, u16 entries, u64 nonce, u32 CRC32C of the 24 bytes before it

and for each descriptor of each queue 32 bytes:

	u64 taken and u64 first sent (microseconds since boot), u64 repeat key, u32 first node, u32 sent

"Sent" is set before an attempt is passed to a connection, so if it is not set, no attempt was made, at whatever
instruction the process was killed. A kill between setting it and sending makes a request count as one that may have run.
The file is sealed against shrinking, so that a client cannot truncate it while the engine uses it. Of a region without
this trailer, or with a changed header, only the protocol's part is used: every request taken may have run.
*/
const (
	inflightHeader = 16
	inflightDesc   = 16
	inflightAlign  = 64
	trailerHeader  = 64
	trailerRecord  = 32
	trailerMagic   = 0x31736e6172747061 // "aptrans1"
	trailerVersion = 1
	maxInflight    = 256 << 20
)

// queueRegionSize is the size of the protocol's part for one queue, including the padding.
func queueRegionSize(entries int) int {
	return (inflightHeader + inflightDesc*entries + inflightAlign - 1) / inflightAlign * inflightAlign
}

// inflight is a mapped inflight region.
type inflight struct {
	mem         []byte
	queues      int
	entries     int
	trusted     bool // the trailer is present and valid
	clientOwned bool // the client keeps it; otherwise the session created it for a process that takes over
	offset      uint64
	fd          int
}

// trailerOffset is the offset of the trailer in the region.
func (f *inflight) trailerOffset() int { return f.queues * queueRegionSize(f.entries) }

var errInflight = errors.New("the inflight region cannot be used")

// newInflight creates a region. Its nonce is for older versions that may adopt the region and derive their repeat keys
// from it.
func newInflight(queues, entries int) (f *inflight, err error) {
	if queues < 1 || entries < 1 || entries > maxQueueSize {
		return nil, fmt.Errorf("%w: %d queues of %d entries", errInflight, queues, entries)
	}
	f = &inflight{queues: queues, entries: entries, trusted: true}
	size := f.trailerOffset() + trailerHeader + trailerRecord*queues*entries
	if size > maxInflight {
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
	h := f.mem[f.trailerOffset():]
	le.PutUint64(h, trailerMagic)
	le.PutUint32(h[8:], trailerVersion)
	le.PutUint16(h[12:], uint16(queues))
	le.PutUint16(h[14:], uint16(entries))
	le.PutUint64(h[16:], rand.Uint64())
	le.PutUint32(h[24:], crc32.Checksum(h[:24], crc32.MakeTable(crc32.Castagnoli)))
	return f, nil
}

// openInflight maps a region that a client or an earlier process has passed. The caller keeps ownership of the
// descriptor.
func openInflight(fd int, size, offset uint64, queues, entries int) (*inflight, error) {
	f := &inflight{queues: queues, entries: entries}
	if queues < 1 || entries < 1 || entries > maxQueueSize || size > maxInflight || offset > 1<<40 || uint64(f.trailerOffset()) > size {
		return nil, fmt.Errorf("%w: %d bytes for %d queues of %d entries", errInflight, size, queues, entries)
	}
	var st unix.Stat_t
	if err := unix.Fstat(fd, &st); err != nil {
		return nil, err
	}
	if uint64(st.Size) < offset+size {
		return nil, fmt.Errorf("%w: file has %d bytes, region has %d at offset %d", errInflight, st.Size, size, offset)
	}
	if offset%4096 != 0 {
		return nil, fmt.Errorf("%w: offset %d is not page-aligned", errInflight, offset)
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
	at := f.trailerOffset()
	if err == nil && seals&unix.F_SEAL_SHRINK != 0 && len(mem) == at+trailerHeader+trailerRecord*queues*entries {
		h, le := mem[at:], binary.LittleEndian
		f.trusted = le.Uint64(h) == trailerMagic && le.Uint32(h[8:]) == trailerVersion && int(le.Uint16(h[12:])) == queues &&
			int(le.Uint16(h[14:])) == entries && le.Uint32(h[24:]) == crc32.Checksum(h[:24], crc32.MakeTable(crc32.Castagnoli))
	}
	return f, nil
}

func (f *inflight) close() {
	unix.Munmap(f.mem)
	unix.Close(f.fd)
}

// tracker is the part of a region for one queue. All methods except markSent are called by the goroutines of the queue
// only.
type tracker struct {
	region  *inflight
	queue   []byte // the protocol's part
	records []byte // the trailer's part; empty if the trailer is not trusted
	entries int
	nonce   uint64
	index   int
	counter uint64
	batch   []uint16
}

// trackQueue returns the tracker of a queue. The ring must have at most as many entries as the region.
func (f *inflight) trackQueue(index int, num uint16) (*tracker, error) {
	if index >= f.queues || int(num) > f.entries {
		return nil, fmt.Errorf("%w: queue %d of %d entries in a region for %d queues of %d", errInflight, index, num, f.queues, f.entries)
	}
	at := index * queueRegionSize(f.entries)
	t := &tracker{region: f, queue: f.mem[at : at+queueRegionSize(f.entries)], entries: f.entries, index: index}
	if f.trusted {
		r := f.trailerOffset() + trailerHeader + trailerRecord*index*f.entries
		t.records = f.mem[r : r+trailerRecord*f.entries]
		// A new nonce for each process that opens the region: with the nonce of the region and a counter that restarts,
		// a new write could get the key of an older one, and a node that remembers that key would drop the write. This
		// happened in a takeover under load.
		t.nonce = rand.Uint64()
	}
	return t, nil
}

func (t *tracker) desc(head uint16) []byte { return t.queue[inflightHeader+inflightDesc*int(head):] }
func (t *tracker) record(head uint16) []byte {
	if len(t.records) == 0 {
		return nil
	}
	return t.records[trailerRecord*int(head):]
}

// recoveredRequest is a descriptor that was taken and not answered.
type recoveredRequest struct {
	head    uint16
	counter uint64
	taken   recall.Unanswered
	key     uint64
	node    uint32
}

// recoverTaken completes what an earlier process has left unfinished in the region, and returns the requests taken and
// not answered, in the order in which they were taken.
func (t *tracker) recoverTaken(num, usedIdx uint16, now logic.Micros) (list []recoveredRequest, err error) {
	le := binary.LittleEndian
	if le.Uint16(t.queue[8:]) == 0 { // never used
		clear(t.queue)
		le.PutUint16(t.queue[10:], uint16(t.entries))
		le.PutUint16(t.queue[14:], usedIdx)
		le.PutUint16(t.queue[8:], 1)
		return nil, nil
	}
	if v, n := le.Uint16(t.queue[8:]), le.Uint16(t.queue[10:]); v != 1 || int(n) != t.entries {
		return nil, fmt.Errorf("%w: queue %d has version %d and %d entries", errInflight, t.index, v, n)
	}
	// The process was killed between publishing used entries and clearing their inflight marks: the last batch is done.
	if last := usedIdx - le.Uint16(t.queue[14:]); last > 0 {
		if last > num {
			return nil, fmt.Errorf("%w: used index of queue %d is %d entries ahead of the region", errInflight, t.index, last)
		}
		head := le.Uint16(t.queue[12:])
		for range last {
			if head >= num {
				return nil, fmt.Errorf("%w: queue %d refers to descriptor %d of %d", errInflight, t.index, head, num)
			}
			t.desc(head)[0] = 0
			head = le.Uint16(t.desc(head)[6:])
		}
		le.PutUint16(t.queue[14:], usedIdx)
	}
	for head := range num {
		d := t.desc(head)
		x := recoveredRequest{head: head, counter: le.Uint64(d[8:])}
		t.counter = max(t.counter, x.counter) // also of answered ones, so that the order continues
		if d[0] == 0 {
			continue
		}
		if r := t.record(head); r != nil {
			x.taken = recall.Unanswered{Known: true, Sent: le.Uint32(r[28:]) != 0, Age: now - logic.Micros(le.Uint64(r)), First: now - logic.Micros(le.Uint64(r[8:]))}
			x.key, x.node = le.Uint64(r[16:]), le.Uint32(r[24:])
		}
		list = append(list, x)
	}
	slices.SortStableFunc(list, func(a, b recoveredRequest) int {
		if a.counter < b.counter {
			return -1
		}
		return 1
	})
	return list, nil
}

// markTaken marks a descriptor as taken. It returns the key by which nodes drop repeats of the request, 0 if there is
// none.
func (t *tracker) markTaken(head uint16, now logic.Micros) (key uint64) {
	le := binary.LittleEndian
	d := t.desc(head)
	t.counter++
	le.PutUint64(d[8:], t.counter)
	if r := t.record(head); r != nil {
		key = mix64(t.nonce+mix64(uint64(t.index)<<56^t.counter)) | 1
		le.PutUint64(r, uint64(now))
		le.PutUint64(r[8:], uint64(now))
		le.PutUint64(r[16:], key)
		le.PutUint64(r[24:], 0)
	}
	t.setInflight(head, 1)
	return key
}

// setInflight stores the inflight byte, together with the word around it, after all earlier stores.
func (t *tracker) setInflight(head uint16, v byte) {
	p := (*uint32)(unsafe.Pointer(&t.desc(head)[0]))
	atomic.StoreUint32(p, atomic.LoadUint32(p)&^0xff|uint32(v))
}

// markSent records that an attempt is about to be started. It is called with the lock of the engine held: the trailer
// is trusted and the file sealed, so it neither blocks nor faults.
func (t *tracker) markSent(head uint16, now logic.Micros, node logic.NodeID) {
	r := t.record(head)
	if r == nil || binary.LittleEndian.Uint32(r[28:]) != 0 {
		return
	}
	binary.LittleEndian.PutUint64(r[8:], uint64(now))
	binary.LittleEndian.PutUint32(r[24:], uint32(node))
	atomic.StoreUint32((*uint32)(unsafe.Pointer(&r[28])), 1)
}

// addAnswered records that the answer of a descriptor is in the used ring, before it is published. commitAnswered
// follows after that.
func (t *tracker) addAnswered(head uint16) {
	le := binary.LittleEndian
	le.PutUint16(t.desc(head)[6:], le.Uint16(t.queue[12:]))
	le.PutUint16(t.queue[12:], head)
	t.batch = append(t.batch, head)
}

// commitAnswered clears the inflight marks of the published batch and records the used index.
func (t *tracker) commitAnswered(usedIdx uint16) {
	for _, head := range t.batch {
		t.setInflight(head, 0)
	}
	t.batch = t.batch[:0]
	p := (*uint32)(unsafe.Pointer(&t.queue[12]))
	atomic.StoreUint32(p, atomic.LoadUint32(p)&0xffff|uint32(usedIdx)<<16)
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
