package ring

import (
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sys/unix"
)

// region is a run of a client's memory.
type region struct {
	gpa, size, uva uint64
	mem            []byte // size bytes at gpa
	mapped         []byte // what was mapped, from the file's start
	offset         uint64
	fd             int // ours, for a process that takes over
}

func (r *region) close() {
	unix.Munmap(r.mapped)
	unix.Close(r.fd)
}

// memory is all that a client has shared. It is read and written only by copying, by goroutines in which a fault
// is an error and not the end of the process: the client may cut its file short at any time.
type memory struct {
	regions []region // by gpa
	total   uint64
	most    uint64
}

// add maps one region; the descriptor stays the caller's.
func (m *memory) add(gpa, size, uva, offset uint64, fd int) error {
	if size == 0 || gpa+size < gpa || uva+size < uva || offset+size < offset || offset+size > 1<<62 {
		return fmt.Errorf("memory region of %d bytes at %#x cannot be", size, gpa)
	}
	if m.total+size > m.most || size > m.most {
		return fmt.Errorf("memory region of %d bytes at %#x passes the bound of %d bytes for a client", size, gpa, m.most)
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
		return fmt.Errorf("memory region of %d bytes at %#x: its file has %d bytes and it lies at %d", size, gpa, st.Size, offset)
	}
	// From the file's start, as an offset need not lie on a boundary that mmap takes.
	b, err := unix.Mmap(fd, 0, int(offset+size), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED|unix.MAP_NORESERVE)
	if err != nil {
		return fmt.Errorf("memory region of %d bytes at %#x: mmap: %w", size, gpa, err)
	}
	own, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		unix.Munmap(b)
		return fmt.Errorf("memory region of %d bytes at %#x: %w", size, gpa, err)
	}
	m.regions = append(m.regions, region{gpa, size, uva, b[offset:], b, offset, own})
	m.total += size
	slices.SortFunc(m.regions, func(a, b region) int {
		if a.gpa < b.gpa {
			return -1
		}
		return 1
	})
	return nil
}

// remove unmaps the region that is exactly this one.
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

// guest is as much of [gpa, gpa+n) as lies in one region.
func (m *memory) guest(gpa, n uint64) ([]byte, error) {
	for i := range m.regions {
		if r := &m.regions[i]; gpa >= r.gpa && gpa-r.gpa < r.size {
			at := gpa - r.gpa
			return r.mem[at:min(r.size, at+n)], nil
		}
	}
	return nil, fmt.Errorf("%#x: %w", gpa, errNotMapped)
}

// user is [uva, uva+n), which must lie in one region: rings are told by the front-end's own addresses.
func (m *memory) user(uva, n uint64) ([]byte, error) {
	for i := range m.regions {
		if r := &m.regions[i]; uva >= r.uva && uva-r.uva < r.size && n <= r.size-(uva-r.uva) {
			at := uva - r.uva
			return r.mem[at : at+n : at+n], nil
		}
	}
	return nil, fmt.Errorf("ring of %d bytes at %#x: %w", n, uva, errNotMapped)
}

// has tells whether all of [gpa, gpa+n) is mapped.
func (m *memory) has(gpa, n uint64) error {
	if gpa+n < gpa {
		return fmt.Errorf("%d bytes at %#x wrap around", n, gpa)
	}
	for n > 0 {
		b, err := m.guest(gpa, n)
		if err != nil {
			return err
		}
		gpa, n = gpa+uint64(len(b)), n-uint64(len(b))
	}
	return nil
}

// seg is a run of guest memory that a descriptor names.
type seg struct {
	gpa uint64
	len uint32
}

// copyOut copies from the guest the bytes [from, from+len(dst)) of the segments.
func (m *memory) copyOut(dst []byte, segs []seg, from uint64) error {
	return m.each(segs, from, uint64(len(dst)), func(b []byte) { dst = dst[copy(dst, b):] })
}

// copyIn copies src to the guest at byte from of the segments.
func (m *memory) copyIn(segs []seg, from uint64, src []byte) error {
	return m.each(segs, from, uint64(len(src)), func(b []byte) { src = src[copy(b, src):] })
}

// zero clears n bytes of the guest's.
func (m *memory) zero(segs []seg, from, n uint64) error {
	return m.each(segs, from, n, func(b []byte) { clear(b) })
}

func (m *memory) each(segs []seg, from, n uint64, f func(b []byte)) error {
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
			b, err := m.guest(gpa, left)
			if err != nil {
				return err
			}
			f(b)
			gpa, left = gpa+uint64(len(b)), left-uint64(len(b))
		}
	}
	if n > 0 {
		return fmt.Errorf("a request's buffers are %d bytes short", n)
	}
	return nil
}

// fault turns a fault on mapped memory into an error; any other panic goes on. For use in a deferred call, in a
// goroutine with debug.SetPanicOnFault.
func fault(err *error) {
	switch r := recover().(type) {
	case nil:
	case interface {
		runtime.Error
		Addr() uintptr
	}:
		*err = fmt.Errorf("the client's memory went away: %w", r)
	default:
		panic(r)
	}
}
