// Package sock is a TCP connection that can be written to and looked at without waiting, which the one who runs a
// core must never do.
package sock

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a connection. TryWrite and Quiet are not safe to be called at the same time.
type Conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	b     []byte
	n     int
	err   error
	write func(fd uintptr) bool
	peek  func(fd uintptr) bool

	guard sync.Locker
	saw   func()
	in    []byte
	got   int
	fault error
	read  func(fd uintptr) bool
}

// Guard makes each read take mu while bytes leave the socket, and call saw before it is let go, so that whoever holds
// mu knows whether something has come: by [Conn.Quiet], or by what saw has noted. It is called before the first read.
func (s *Conn) Guard(mu sync.Locker, saw func()) {
	s.guard, s.saw = mu, saw
	s.read = func(fd uintptr) bool {
		s.guard.Lock()
		defer s.guard.Unlock()
		n, err := syscall.Read(int(fd), s.in)
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), s.in)
		}
		if err == syscall.EAGAIN {
			return false
		}
		s.got, s.fault = max(n, 0), err
		s.saw()
		return true
	}
}

// Read implements [io.Reader].
func (s *Conn) Read(p []byte) (int, error) {
	if s.guard == nil {
		return s.TCPConn.Read(p)
	}
	s.in = p
	err := s.raw.Read(s.read)
	s.in = nil
	switch {
	case err != nil:
		return 0, err
	case s.fault != nil:
		return 0, s.fault
	case s.got == 0:
		return 0, io.EOF
	}
	return s.got, nil
}

// New wraps a connection.
func New(c *net.TCPConn) (*Conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	s := &Conn{TCPConn: c, raw: raw}
	s.write = func(fd uintptr) bool {
		for s.n < len(s.b) {
			n, err := syscall.SendmsgN(int(fd), s.b[s.n:], nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
			switch {
			case err == syscall.EINTR:
				continue
			case err == syscall.EAGAIN:
				return true
			case err != nil:
				s.err = err
				return true
			}
			s.n += n
		}
		return true
	}
	var one [1]byte
	s.peek = func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil:
			s.err = err
		case n == 0:
			s.err = io.EOF
		default:
			s.err = errUnasked
		}
		return true
	}
	return s, nil
}

var errUnasked = errors.New("bytes that nobody asked for")

// Ended tells whether the peer has closed with nothing left to be read, or the connection broke.
func (s *Conn) Ended() bool {
	err := s.Quiet()
	return err != nil && err != errUnasked
}

// Waiting tells whether bytes of the peer wait to be read.
func (s *Conn) Waiting() bool { return s.Quiet() == errUnasked }

// TryWrite writes what the socket takes at once, which may be less than all without an error.
func (s *Conn) TryWrite(b []byte) (int, error) {
	s.b, s.n, s.err = b, 0, nil
	err := s.raw.Write(s.write)
	s.b = nil
	if err == nil {
		err = s.err
	}
	return s.n, err
}

// Quiet gives an error where the peer has sent something that was not read yet, or has closed.
func (s *Conn) Quiet() error {
	s.err = nil
	if err := s.raw.Control(func(fd uintptr) { s.peek(fd) }); err != nil {
		return err
	}
	return s.err
}

// Shut ends the connection both ways without waiting for anybody: reads and writes on it end. Its reader then closes
// it. Who holds the guard must not call Close, which waits for the reader.
func (s *Conn) Shut() {
	s.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// DropUnsent says what becomes of bytes that the peer has not taken yet when the connection is closed, also by the end
// of the process: they are dropped and the connection is reset, or the system goes on sending them, as it does by
// itself.
func (s *Conn) DropUnsent(drop bool) {
	seconds := -1
	if drop {
		seconds = 0
	}
	s.SetLinger(seconds)
}
