package ring

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"unsafe"
)

// Flags of a descriptor (virtio 1.2, section 2.7.5).
const (
	descNext     = 1
	descWrite    = 2
	descIndirect = 4
	descLen      = 16

	availNoInterrupt = 1

	mostQueue = 32768
	mostChain = 1024 // descriptors of one request, those of an indirect table included
)

// virtqueue is a split virtqueue in a client's memory. Its indexes are ours; what lies in memory is believed only
// after it was copied once and checked.
type virtqueue struct {
	num       uint16
	desc      []byte
	avail     []byte // flags, idx, ring, used_event
	used      []byte // flags, idx, ring, avail_event
	eventIdx  bool
	indirect  bool
	lastAvail uint16 // next entry of the avail ring to take
	usedIdx   uint16
	signalled uint16 // usedIdx when the client was last called
	everCalls bool
}

func (q *virtqueue) sizes(num uint16) (desc, avail, used uint64) {
	return descLen * uint64(num), 6 + 2*uint64(num), 6 + 8*uint64(num)
}

// Loads and stores of the shared 16-bit indexes. Rings lie at even addresses, avail even at odd multiples of two,
// while Go has atomics of 32 bits: the aligned word around the index is loaded, and on the used ring, where all of
// it is the device's, stored. Virtio is little-endian, as are the machines this runs on (checked in session.go).

// availIdx loads the client's index, after which what it published may be read.
func (q *virtqueue) availIdx() uint16 {
	p := uintptr(unsafe.Pointer(&q.avail[0]))
	if p%4 == 0 {
		return uint16(atomic.LoadUint32((*uint32)(unsafe.Pointer(&q.avail[0]))) >> 16)
	}
	return uint16(atomic.LoadUint32((*uint32)(unsafe.Pointer(&q.avail[2]))))
}

// storeUsed publishes the used ring's flags and index. It is a full barrier.
func (q *virtqueue) storeUsed(flags uint16) {
	atomic.StoreUint32((*uint32)(unsafe.Pointer(&q.used[0])), uint32(flags)|uint32(q.usedIdx)<<16)
}

func load16(b []byte) uint16 { return binary.LittleEndian.Uint16(b) }

// waiting is how many entries the client has published and we have not taken.
func (q *virtqueue) waiting() (uint16, error) {
	n := q.availIdx() - q.lastAvail
	if n > q.num {
		return 0, fmt.Errorf("the avail index jumps %d entries ahead in a ring of %d", n, q.num)
	}
	return n, nil
}

// head is the next entry of the avail ring, not yet taken.
func (q *virtqueue) head() (uint16, error) {
	h := load16(q.avail[4+2*int(q.lastAvail%q.num):])
	if h >= q.num {
		return 0, fmt.Errorf("the avail ring names descriptor %d of %d", h, q.num)
	}
	return h, nil
}

// chain is what a request's descriptors name: first what the device reads, then what it writes.
type chain struct {
	out, in       []seg
	outLen, inLen uint64
	table         []byte // of indirect descriptors, copied
}

// read follows the chain that begins at head into c, whose segments are used again. Every descriptor is copied once.
func (q *virtqueue) read(m *memory, head uint16, c *chain) error {
	c.out, c.in, c.outLen, c.inLen = c.out[:0], c.in[:0], 0, 0
	table, size := q.desc, uint32(q.num)
	indirect := false
	at, steps := uint32(head), 0
	var raw [descLen]byte
	for {
		if at >= size {
			return fmt.Errorf("a chain names descriptor %d of %d", at, size)
		}
		if steps++; steps > mostChain || uint32(steps) > size {
			return fmt.Errorf("a chain has more than %d descriptors: it loops", steps-1)
		}
		copy(raw[:], table[descLen*at:])
		gpa, n := binary.LittleEndian.Uint64(raw[:]), binary.LittleEndian.Uint32(raw[8:])
		flags, next := load16(raw[12:]), load16(raw[14:])
		if flags&descIndirect != 0 {
			switch {
			case !q.indirect:
				return fmt.Errorf("an indirect descriptor was not negotiated")
			case indirect:
				return fmt.Errorf("an indirect table names an indirect table")
			case flags&descNext != 0:
				return fmt.Errorf("an indirect descriptor has a next one")
			case flags&descWrite != 0:
				return fmt.Errorf("an indirect descriptor is marked as writable")
			case n == 0 || n%descLen != 0 || n > mostChain*descLen:
				return fmt.Errorf("an indirect table of %d bytes", n)
			}
			if cap(c.table) < int(n) {
				c.table = make([]byte, mostChain*descLen)
			}
			c.table = c.table[:n]
			if err := m.has(gpa, uint64(n)); err != nil {
				return fmt.Errorf("indirect table: %w", err)
			}
			one := [1]seg{{gpa, n}}
			if err := m.copyOut(c.table, one[:], 0); err != nil {
				return fmt.Errorf("indirect table: %w", err)
			}
			table, size, indirect, at, steps = c.table, n/descLen, true, 0, 0
			continue
		}
		if err := m.has(gpa, uint64(n)); err != nil {
			return fmt.Errorf("descriptor %d: %w", at, err)
		}
		if flags&descWrite != 0 {
			c.in, c.inLen = append(c.in, seg{gpa, n}), c.inLen+uint64(n)
		} else {
			if len(c.in) > 0 {
				return fmt.Errorf("descriptor %d is to be read, after some that are to be written", at)
			}
			c.out, c.outLen = append(c.out, seg{gpa, n}), c.outLen+uint64(n)
		}
		if flags&descNext == 0 {
			return nil
		}
		at = uint32(next)
	}
}

// put writes a used element; publish makes it visible.
func (q *virtqueue) put(head uint16, written uint32) {
	e := q.used[4+8*int(q.usedIdx%q.num):]
	binary.LittleEndian.PutUint32(e, uint32(head))
	binary.LittleEndian.PutUint32(e[4:], written)
	q.usedIdx++
}

// publish shows the client what was put, and tells whether it wants to be called (virtio 1.2, section 2.7.7).
func (q *virtqueue) publish() (call bool) {
	q.storeUsed(0)
	if !q.eventIdx {
		return load16(q.avail)&availNoInterrupt == 0
	}
	event := load16(q.avail[4+2*int(q.num):])
	old := q.signalled
	call = !q.everCalls || q.usedIdx-event-1 < q.usedIdx-old
	q.signalled, q.everCalls = q.usedIdx, true
	return call
}

// askForKick tells the client to kick when it publishes more, and looks whether it has done so meanwhile.
func (q *virtqueue) askForKick() (more bool, err error) {
	if q.eventIdx {
		// The event lies on an even address behind the used ring; the full barrier is a store of the word that
		// holds flags and index, which is the completing goroutine's: an exchange on a word of our own serves.
		binary.LittleEndian.PutUint16(q.used[4+8*int(q.num):], q.lastAvail)
		atomic.AddUint32(&fence, 1)
	}
	n, err := q.waiting()
	return n > 0, err
}

var fence uint32
