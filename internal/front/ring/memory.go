package ring

import (
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sys/unix"
)

// region is a contiguous range of the client's memory.
type region struct {
	gpa, size, uva uint64
	mem            []byte // size bytes at gpa
	mapped         []byte // the whole mapping, from the start of the file
	offset         uint64
	fd             int // a duplicate, handed to a process that takes over
}

func (r *region) close() {
	unix.Munmap(r.mapped)
	unix.Close(r.fd)
}

// memory is all memory that a client has shared. It is accessed only by copying, in goroutines that turn a fault into
// an error instead of a crash: the client may truncate its file at any time.
type memory struct {
	regions  []region // sorted by gpa
	total    uint64
	maxTotal uint64
}

// add maps one region. The caller keeps ownership of the descriptor.
func (m *memory) add(gpa, size, uva, offset uint64, fd int) error {
	if size == 0 || gpa+size < gpa || uva+size < uva || offset+size < offset || offset+size > 1<<62 {
		return fmt.Errorf("memory region of %d bytes at %#x is empty or out of range", size, gpa)
	}
	if m.total+size > m.maxTotal || size > m.maxTotal {
		return fmt.Errorf("memory region of %d bytes at %#x exceeds the limit of %d bytes per client", size, gpa, m.maxTotal)
	}
	for _, r := range m.regions {
		if gpa < r.gpa+r.size && r.gpa < gpa+size {
			return fmt.Errorf("memory region of %d bytes at %#x overlaps one at %#x", size, gpa, r.gpa)
		}
	}
	var st unix.Stat_t
	if err := unix.Fstat(fd, &st); err != nil {
		return fmt.Errorf("memory region at %#x: %w", gpa, err)
	}
	if st.Mode&unix.S_IFMT == unix.S_IFREG && uint64(st.Size) < offset+size {
		return fmt.Errorf("memory region of %d bytes at %#x: file has %d bytes, region starts at offset %d", size, gpa, st.Size, offset)
	}
	// Mapped from the start of the file, because the offset need not be page-aligned as mmap requires.
	b, err := unix.Mmap(fd, 0, int(offset+size), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED|unix.MAP_NORESERVE)
	if err != nil {
		return fmt.Errorf("memory region of %d bytes at %#x: mmap: %w", size, gpa, err)
	}
	dupFD, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		unix.Munmap(b)
		return fmt.Errorf("memory region of %d bytes at %#x: %w", size, gpa, err)
	}
	m.regions = append(m.regions, region{gpa, size, uva, b[offset:], b, offset, dupFD})
	m.total += size
	slices.SortFunc(m.regions, func(a, b region) int {
		if a.gpa < b.gpa {
			return -1
		}
		return 1
	})
	return nil
}

// remove unmaps the region that has exactly this address, size and user address.
func (m *memory) remove(gpa, size, uva uint64) error {
	for i, r := range m.regions {
		if r.gpa == gpa && r.size == size && r.uva == uva {
			r.close()
			m.total -= size
			m.regions = slices.Delete(m.regions, i, i+1)
			return nil
		}
	}
	return fmt.Errorf("no memory region of %d bytes at %#x", size, gpa)
}

func (m *memory) clear() {
	for i := range m.regions {
		m.regions[i].close()
	}
	m.regions, m.total = nil, 0
}

// guestRange returns the longest prefix of [gpa, gpa+n) that lies in one region.
func (m *memory) guestRange(gpa, n uint64) ([]byte, error) {
	for i := range m.regions {
		if r := &m.regions[i]; gpa >= r.gpa && gpa-r.gpa < r.size {
			at := gpa - r.gpa
			return r.mem[at:min(r.size, at+n)], nil
		}
	}
	return nil, fmt.Errorf("%#x: %w", gpa, errNotMapped)
}

// userRange returns [uva, uva+n), which must lie in one region. The front-end gives ring addresses in its own address
// space.
func (m *memory) userRange(uva, n uint64) ([]byte, error) {
	for i := range m.regions {
		if r := &m.regions[i]; uva >= r.uva && uva-r.uva < r.size && n <= r.size-(uva-r.uva) {
			at := uva - r.uva
			return r.mem[at : at+n : at+n], nil
		}
	}
	return nil, fmt.Errorf("ring of %d bytes at %#x: %w", n, uva, errNotMapped)
}

// checkMapped returns an error unless all of [gpa, gpa+n) is mapped.
func (m *memory) checkMapped(gpa, n uint64) error {
	if gpa+n < gpa {
		return fmt.Errorf("%d bytes at %#x wrap around the address space", n, gpa)
	}
	for n > 0 {
		b, err := m.guestRange(gpa, n)
		if err != nil {
			return err
		}
		gpa, n = gpa+uint64(len(b)), n-uint64(len(b))
	}
	return nil
}

// seg is a range of guest memory that a descriptor refers to.
type seg struct {
	gpa uint64
	len uint32
}

// copyOut copies the bytes [from, from+len(dst)) of the segments from guest memory to dst.
func (m *memory) copyOut(dst []byte, segs []seg, from uint64) error {
	return m.eachChunk(segs, from, uint64(len(dst)), func(b []byte) { dst = dst[copy(dst, b):] })
}

// copyIn copies src to guest memory, starting at byte from of the segments.
func (m *memory) copyIn(segs []seg, from uint64, src []byte) error {
	return m.eachChunk(segs, from, uint64(len(src)), func(b []byte) { src = src[copy(b, src):] })
}

// zero clears n bytes of guest memory, starting at byte from of the segments.
func (m *memory) zero(segs []seg, from, n uint64) error {
	return m.eachChunk(segs, from, n, func(b []byte) { clear(b) })
}

// eachChunk calls f for each contiguous mapped piece of the bytes [from, from+n) of the segments.
func (m *memory) eachChunk(segs []seg, from, n uint64, f func(b []byte)) error {
	for _, s := range segs {
		if n == 0 {
			return nil
		}
		size := uint64(s.len)
		if from >= size {
			from -= size
			continue
		}
		gpa, left := s.gpa+from, min(size-from, n)
		from = 0
		n -= left
		for left > 0 {
			b, err := m.guestRange(gpa, left)
			if err != nil {
				return err
			}
			f(b)
			gpa, left = gpa+uint64(len(b)), left-uint64(len(b))
		}
	}
	if n > 0 {
		return fmt.Errorf("request buffers are %d bytes too short", n)
	}
	return nil
}

// recoverFault turns a fault on mapped memory into an error; any other panic is raised again. It must be deferred, in a
// goroutine that has called debug.SetPanicOnFault.
func recoverFault(err *error) {
	switch r := recover().(type) {
	case nil:
	case interface {
		runtime.Error
		Addr() uintptr
	}:
		*err = fmt.Errorf("client memory is no longer accessible: %w", r)
	default:
		panic(r)
	}
}
