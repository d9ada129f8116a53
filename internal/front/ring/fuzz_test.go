package ring

import (
	"context"
	"encoding/binary"
	"net"
	"os"
	"testing"

	"appleplank/internal/settings"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Whatever a client writes to its socket, the session ends when the client disconnects, without a panic.
func FuzzMessages(f *testing.F) {
	msg := func(request uint32, payload ...byte) []byte {
		b := binary.LittleEndian.AppendUint32(nil, request)
		b = binary.LittleEndian.AppendUint32(b, 1)
		b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
		return append(b, payload...)
	}
	f.Add(append(msg(2, make([]byte, 8)...), msg(1)...))
	f.Add(append(msg(5, make([]byte, 40)...), msg(24, make([]byte, 72)...)...))
	f.Add(append(msg(8, 0, 0, 0, 0, 8, 0, 0, 0), msg(9, make([]byte, 40)...)...))
	f.Add(append(msg(12, 0, 1, 0, 0, 0, 0, 0, 0), msg(18, 0, 0, 0, 0, 1, 0, 0, 0)...))
	f.Add(append(msg(11, make([]byte, 8)...), msg(34)...))
	dev := &device{&settings.Volume{Name: "x", Size: 1 << 20, BlockSize: 512, Queues: 2, Serial: "x"}, 0, 4 << 20}
	srv := &Server{log: zap.NewNop(), maxMemory: 1 << 30}
	f.Fuzz(func(t *testing.T, b []byte) {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Skip(err)
		}
		ours := conn(t, fds[0])
		theirs := conn(t, fds[1])
		s := newSession(context.Background(), srv, dev, ours, zap.NewNop())
		done := make(chan struct{})
		go func() { defer close(done); s.serve() }()
		theirs.Write(b)
		theirs.Close()
		<-done
	})
}

func conn(t *testing.T, fd int) *net.UnixConn {
	f := os.NewFile(uintptr(fd), "socket")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		t.Skip(err)
	}
	return c.(*net.UnixConn)
}

// Whatever client memory contains, following a chain and parsing its request terminates within the limits, and refers
// to client memory only.
func FuzzChain(f *testing.F) {
	seed := make([]byte, 512)
	for i, d := range [][4]uint64{{256, 16, 1, 1}, {300, 100, 3, 2}, {400, 1, 2, 0}} {
		binary.LittleEndian.PutUint64(seed[16*i:], d[0])
		binary.LittleEndian.PutUint32(seed[16*i+8:], uint32(d[1]))
		binary.LittleEndian.PutUint16(seed[16*i+12:], uint16(d[2]))
		binary.LittleEndian.PutUint16(seed[16*i+14:], uint16(d[3]))
	}
	f.Add(seed, uint16(0), true)
	loop := append([]byte(nil), seed...)
	binary.LittleEndian.PutUint16(loop[30:], 0)
	f.Add(loop, uint16(0), false)
	dev := &device{&settings.Volume{Name: "x", Size: 1 << 20, BlockSize: 512, Queues: 2, Serial: "x"}, 0, 4 << 20}
	f.Fuzz(func(t *testing.T, b []byte, head uint16, indirect bool) {
		const num = 8
		if len(b) < num*descLen {
			return
		}
		m := &memory{regions: []region{{gpa: 0, size: uint64(len(b)), mem: b}}}
		q := &virtqueue{num: num, desc: b[:num*descLen], indirect: indirect}
		var c chain
		if q.readChain(m, head%num, &c) != nil {
			return
		}
		if len(c.in)+len(c.out) > maxChainLen+num {
			t.Fatalf("a chain of %d descriptors", len(c.in)+len(c.out))
		}
		for _, s := range append(c.in, c.out...) {
			// An empty segment accesses no memory.
			if s.len > 0 && (s.gpa+uint64(s.len) > uint64(len(b)) || s.gpa+uint64(s.len) < s.gpa) {
				t.Fatalf("%d bytes at %#x are outside client memory", s.len, s.gpa)
			}
		}
		p, err := dev.parse(m, &c)
		if err == nil && !p.answered && !p.isGetID && (p.offset < 0 || p.len < 0 || p.offset+p.len > dev.Size) {
			t.Fatalf("accepted %d bytes at %d, outside the volume", p.len, p.offset)
		}
	})
}
