package sock

import (
	"errors"
	"io"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ErrNoData reports that nothing has arrived that was not read.
var ErrNoData = errors.New("no data from the peer")

// StampArrivals makes the kernel note when data arrives on the connections that a listener accepts from now on.
func StampArrivals(listener syscall.RawConn) error {
	var err error
	controlErr := listener.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	return errors.Join(controlErr, err)
}

// controlSize is the space for the control messages of a read, in bytes; more than a time stamp takes.
const controlSize = 64

// StampReader reads data with the time of its arrival. It must not be used concurrently.
type StampReader struct {
	header   unix.Msghdr
	vector   unix.Iovec
	control  [controlSize]byte
	count    int
	errno    syscall.Errno
	readFunc func(fd uintptr)
}

// NewStampReader returns a reader that may be used for any number of connections.
func NewStampReader() *StampReader {
	r := &StampReader{}
	r.readFunc = func(fd uintptr) {
		for r.receive(fd); r.errno == unix.EINTR; {
			r.receive(fd)
		}
	}
	return r
}

func (r *StampReader) receive(fd uintptr) {
	r.header = unix.Msghdr{Iov: &r.vector, Iovlen: 1, Control: &r.control[0]}
	r.header.SetControllen(len(r.control))
	n, _, errno := unix.Syscall(unix.SYS_RECVMSG, fd, uintptr(unsafe.Pointer(&r.header)), unix.MSG_DONTWAIT)
	r.count, r.errno = int(n), errno
}

// Read reads what has arrived on a connection, without blocking; [ErrNoData] means nothing. It returns the time, on the
// kernel's wall clock, at which the last of the bytes that were read arrived, or a later one if more bytes have arrived
// behind them; zero: unknown.
func (r *StampReader) Read(c *Conn, p []byte) (n int, arrived time.Time, err error) {
	r.vector.Base = unsafe.SliceData(p)
	r.vector.SetLen(len(p))
	err = c.raw.Control(r.readFunc)
	r.vector.Base = nil
	switch {
	case err != nil:
		return 0, time.Time{}, err
	case r.errno == unix.EAGAIN:
		return 0, time.Time{}, ErrNoData
	case r.errno != 0:
		return 0, time.Time{}, r.errno
	case r.count == 0:
		return 0, time.Time{}, io.EOF
	}
	return r.count, r.stamp(), nil
}

// stamp returns the time stamp in the control messages of the last read.
func (r *StampReader) stamp() time.Time {
	header := (*unix.Cmsghdr)(unsafe.Pointer(&r.control[0]))
	if int(r.header.Controllen) < unix.CmsgLen(int(unsafe.Sizeof(unix.Timespec{}))) ||
		header.Level != unix.SOL_SOCKET || header.Type != unix.SCM_TIMESTAMPNS {
		return time.Time{}
	}
	stamp := (*unix.Timespec)(unsafe.Pointer(&r.control[unix.CmsgLen(0)]))
	return time.Unix(stamp.Unix())
}
