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

	maxQueueSize = 32768
	maxChainLen  = 1024 // descriptors of one request, including those of an indirect table
)

// virtqueue is a split virtqueue in client memory. Its indexes are kept on the device side; values in client memory are
// used only after they were copied once and checked.
type virtqueue struct {
	num           uint16
	desc          []byte
	avail         []byte // flags, idx, ring, used_event
	used          []byte // flags, idx, ring, avail_event
	eventIdx      bool
	indirect      bool
	lastAvail     uint16 // next entry of the avail ring to take
	usedIdx       uint16
	signalledIdx  uint16 // usedIdx when the client was last signalled
	everSignalled bool
}

// sizes returns the lengths in bytes of the three areas of a queue of num entries.
func (q *virtqueue) sizes(num uint16) (desc, avail, used uint64) {
	return descLen * uint64(num), 6 + 2*uint64(num), 6 + 8*uint64(num)
}

// Loads and stores of the shared 16-bit indexes. Rings are at even addresses, the avail ring possibly at an odd
// multiple of two, but Go has atomics of 32 bits only. So the aligned word around the index is loaded and, on the used
// ring, which only the device writes, stored. Virtio is little-endian, as this machine must be (checked in session.go).

// availIdx loads the avail index of the client. Entries up to it may be read afterwards.
func (q *virtqueue) availIdx() uint16 {
	p := uintptr(unsafe.Pointer(&q.avail[0]))
	if p%4 == 0 {
		return uint16(atomic.LoadUint32((*uint32)(unsafe.Pointer(&q.avail[0]))) >> 16)
	}
	return uint16(atomic.LoadUint32((*uint32)(unsafe.Pointer(&q.avail[2]))))
}

// storeUsed publishes the flags and the index of the used ring. It is a full memory barrier.
func (q *virtqueue) storeUsed(flags uint16) {
	atomic.StoreUint32((*uint32)(unsafe.Pointer(&q.used[0])), uint32(flags)|uint32(q.usedIdx)<<16)
}

func load16(b []byte) uint16 { return binary.LittleEndian.Uint16(b) }

// pending returns the number of entries that the client has published and that were not taken yet.
func (q *virtqueue) pending() (uint16, error) {
	n := q.availIdx() - q.lastAvail
	if n > q.num {
		return 0, fmt.Errorf("avail index is %d entries ahead in a ring of %d", n, q.num)
	}
	return n, nil
}

// nextHead returns the next entry of the avail ring without taking it.
func (q *virtqueue) nextHead() (uint16, error) {
	h := load16(q.avail[4+2*int(q.lastAvail%q.num):])
	if h >= q.num {
		return 0, fmt.Errorf("avail ring refers to descriptor %d of %d", h, q.num)
	}
	return h, nil
}

// chain holds the buffers of a request: out is read by the device, in is written by it.
type chain struct {
	out, in       []seg
	outLen, inLen uint64
	table         []byte // a copy of the indirect descriptor table
}

// readChain follows the chain that starts at head into c, whose slices are reused. Each descriptor is copied once.
func (q *virtqueue) readChain(m *memory, head uint16, c *chain) error {
	c.out, c.in, c.outLen, c.inLen = c.out[:0], c.in[:0], 0, 0
	table, size := q.desc, uint32(q.num)
	indirect := false
	at, steps := uint32(head), 0
	var raw [descLen]byte
	for {
		if at >= size {
			return fmt.Errorf("chain refers to descriptor %d of %d", at, size)
		}
		if steps++; steps > maxChainLen || uint32(steps) > size {
			return fmt.Errorf("chain has more than %d descriptors, or loops", steps-1)
		}
		copy(raw[:], table[descLen*at:])
		gpa, n := binary.LittleEndian.Uint64(raw[:]), binary.LittleEndian.Uint32(raw[8:])
		flags, next := load16(raw[12:]), load16(raw[14:])
		if flags&descIndirect != 0 {
			switch {
			case !q.indirect:
				return fmt.Errorf("indirect descriptor, but the feature was not negotiated")
			case indirect:
				return fmt.Errorf("indirect table contains an indirect descriptor")
			case flags&descNext != 0:
				return fmt.Errorf("indirect descriptor has the NEXT flag")
			case flags&descWrite != 0:
				return fmt.Errorf("indirect descriptor has the WRITE flag")
			case n == 0 || n%descLen != 0 || n > maxChainLen*descLen:
				return fmt.Errorf("indirect table has an invalid size of %d bytes", n)
			}
			if cap(c.table) < int(n) {
				c.table = make([]byte, maxChainLen*descLen)
			}
			c.table = c.table[:n]
			if err := m.checkMapped(gpa, uint64(n)); err != nil {
				return fmt.Errorf("indirect table: %w", err)
			}
			one := [1]seg{{gpa, n}}
			if err := m.copyOut(c.table, one[:], 0); err != nil {
				return fmt.Errorf("indirect table: %w", err)
			}
			table, size, indirect, at, steps = c.table, n/descLen, true, 0, 0
			continue
		}
		if err := m.checkMapped(gpa, uint64(n)); err != nil {
			return fmt.Errorf("descriptor %d: %w", at, err)
		}
		if flags&descWrite != 0 {
			c.in, c.inLen = append(c.in, seg{gpa, n}), c.inLen+uint64(n)
		} else {
			if len(c.in) > 0 {
				return fmt.Errorf("descriptor %d is readable but follows a writable one", at)
			}
			c.out, c.outLen = append(c.out, seg{gpa, n}), c.outLen+uint64(n)
		}
		if flags&descNext == 0 {
			return nil
		}
		at = uint32(next)
	}
}

// putUsed writes a used element; publishUsed makes it visible.
func (q *virtqueue) putUsed(head uint16, written uint32) {
	e := q.used[4+8*int(q.usedIdx%q.num):]
	binary.LittleEndian.PutUint32(e, uint32(head))
	binary.LittleEndian.PutUint32(e[4:], written)
	q.usedIdx++
}

// publishUsed makes the elements written by putUsed visible to the client and reports whether the client wants to be
// signalled (virtio 1.2, section 2.7.7).
func (q *virtqueue) publishUsed() (call bool) {
	q.storeUsed(0)
	if !q.eventIdx {
		return load16(q.avail)&availNoInterrupt == 0
	}
	event := load16(q.avail[4+2*int(q.num):])
	old := q.signalledIdx
	call = !q.everSignalled || q.usedIdx-event-1 < q.usedIdx-old
	q.signalledIdx, q.everSignalled = q.usedIdx, true
	return call
}

// enableKicks asks the client to kick when it publishes more entries, and reports whether it has published some in the
// meantime.
func (q *virtqueue) enableKicks() (more bool, err error) {
	if q.eventIdx {
		// avail_event is at an even address behind the used ring. A full barrier could be had by storing the word that
		// holds flags and index, but that word belongs to the goroutine that writes answers. An atomic add on a private
		// word gives the same barrier.
		binary.LittleEndian.PutUint16(q.used[4+8*int(q.num):], q.lastAvail)
		atomic.AddUint32(&fence, 1)
	}
	n, err := q.pending()
	return n > 0, err
}

// fence is written only for the memory barrier of the atomic add.
var fence uint32
