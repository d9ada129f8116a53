// Package sock provides a TCP connection with non-blocking writes and checks. The goroutine that runs a core uses them,
// as it must never block.
package sock

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection. TryWrite, CheckIdle and the methods that call CheckIdle must not be called concurrently.
type Conn struct {
	*net.TCPConn
	raw          syscall.RawConn
	outBuf       []byte
	written      int
	opErr        error
	tryWriteFunc func(fd uintptr) bool
	peekFunc     func(fd uintptr)

	readMutex sync.Locker
	onRead    func()
	inBuf     []byte
	readCount int
	readErr   error
	readFunc  func(fd uintptr) bool
}

// GuardReads makes each Read hold mu while it reads from the socket, and call onRead before it releases mu. Code that
// holds mu can therefore tell whether data has arrived: [Conn.CheckIdle] reports unread data, and onRead has recorded
// data that was read. GuardReads must be called before the first Read.
func (s *Conn) GuardReads(mu sync.Locker, onRead func()) {
	s.readMutex, s.onRead = mu, onRead
	s.readFunc = func(fd uintptr) bool {
		s.readMutex.Lock()
		defer s.readMutex.Unlock()
		n, err := syscall.Read(int(fd), s.inBuf)
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), s.inBuf)
		}
		if err == syscall.EAGAIN {
			return false
		}
		s.readCount, s.readErr = max(n, 0), err
		s.onRead()
		return true
	}
}

// Read implements [io.Reader].
func (s *Conn) Read(p []byte) (int, error) {
	if s.readMutex == nil {
		return s.TCPConn.Read(p)
	}
	s.inBuf = p
	err := s.raw.Read(s.readFunc)
	s.inBuf = nil
	switch {
	case err != nil:
		return 0, err
	case s.readErr != nil:
		return 0, s.readErr
	case s.readCount == 0:
		return 0, io.EOF
	}
	return s.readCount, nil
}

// New returns a Conn for c.
func New(c *net.TCPConn) (*Conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &Conn{TCPConn: c, raw: raw}
	s.tryWriteFunc = func(fd uintptr) bool {
		for s.written < len(s.outBuf) {
			n, err := syscall.SendmsgN(int(fd), s.outBuf[s.written:], nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
			switch {
			case err == syscall.EINTR:
				continue
			case err == syscall.EAGAIN:
				return true
			case err != nil:
				s.opErr = err
				return true
			}
			s.written += n
		}
		return true
	}
	var peekBuf [1]byte
	s.peekFunc = func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil:
			s.opErr = err
		case n == 0:
			s.opErr = io.EOF
		default:
			s.opErr = errUnreadData
		}
	}
	return s, nil
}

var errUnreadData = errors.New("unread data from the peer")

// Pending reports whether unread data from the peer is available. The error tells that there is none and the peer has
// closed the connection, or that it is broken.
func (s *Conn) Pending() (unread bool, err error) {
	err = s.CheckIdle()
	if err == errUnreadData {
		return true, nil
	}
	return false, err
}

// HasUnread reports whether unread data from the peer is available.
func (s *Conn) HasUnread() bool { return s.CheckIdle() == errUnreadData }

// UnreadBytes returns how many bytes have arrived from the peer and were not read.
func (s *Conn) UnreadBytes() (n int, err error) {
	controlErr := s.raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return n, cmp.Or(controlErr, err)
}

// TryWrite writes the bytes that the socket takes without blocking. A short write is not an error.
func (s *Conn) TryWrite(b []byte) (int, error) {
	s.outBuf, s.written, s.opErr = b, 0, nil
	err := s.raw.Write(s.tryWriteFunc)
	s.outBuf = nil
	if err == nil {
		err = s.opErr
	}
	return s.written, err
}

// CheckIdle returns an error if there is unread data from the peer, or the peer has closed the connection, or it is
// broken.
func (s *Conn) CheckIdle() error {
	s.opErr = nil
	if err := s.raw.Control(s.peekFunc); err != nil {
		return err
	}
	return s.opErr
}

// Shutdown shuts the connection down in both directions without blocking, which ends reads and writes on it. Its reader
// then closes it. Code that holds the mutex of [Conn.GuardReads] must not call Close, which waits for the reader.
func (s *Conn) Shutdown() {
	s.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// SetDiscardUnsent sets whether data that the peer has not received yet is discarded when the connection is closed,
// also by the end of the process. If so, the connection is reset. By default the system goes on sending the data.
func (s *Conn) SetDiscardUnsent(drop bool) {
	seconds := -1
	if drop {
		seconds = 0
	}
	s.SetLinger(seconds)
}
