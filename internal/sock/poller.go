package sock

import (
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Events of a [Poller].
const (
	// pollData reports new data, the end of the stream or an error once each time that one arrives.
	pollData = unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLET
	// pollEnd reports the end of the stream or an error only.
	pollEnd = unix.EPOLLRDHUP | unix.EPOLLET
	// pollAccept reports a listener for as long as a connection waits to be accepted.
	pollAccept = unix.EPOLLIN
)

// maxEvents is the number of events that one call of [Poller.Poll] returns at most.
const maxEvents = 128

// Event reports that a connection or a listener is ready.
type Event struct {
	Token int32
	Ended bool // the peer has closed the connection, or it is broken
}

// Poller reports which connections have become ready to be read, in the order in which they became so. The runtime's
// own poller does not keep this order: it resumes goroutines that have become ready together in any order.
type Poller struct {
	file     *os.File // the epoll set; the runtime waits for it
	raw      syscall.RawConn
	set      int
	mu       sync.Locker
	closed   bool
	kernel   [maxEvents]unix.EpollEvent
	events   []Event
	waitFunc func(fd uintptr) bool
}

// NewPoller returns a poller. Its methods are called with mu held, but for Wait and Close.
func NewPoller(mu sync.Locker) (*Poller, error) {
	set, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	unix.SetNonblock(set, true) // makes the runtime wait for it without a thread
	file := os.NewFile(uintptr(set), "epoll")
	raw, err := file.SyscallConn()
	if err != nil {
		file.Close()
		return nil, err
	}
	p := &Poller{file: file, raw: raw, set: set, mu: mu, events: make([]Event, 0, maxEvents)}
	p.waitFunc = func(uintptr) bool {
		mu.Lock()
		if len(p.Poll()) > 0 {
			return true
		}
		mu.Unlock()
		return false
	}
	return p, nil
}

// Wait blocks until there are events and returns them with the lock held. The events are valid until the next call of
// Wait or Poll. After [Poller.Close] it returns [os.ErrClosed], without the lock.
func (p *Poller) Wait() ([]Event, error) {
	err := p.raw.Read(p.waitFunc)
	if err == nil {
		return p.events, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, os.ErrClosed
	}
	return nil, err
}

// Poll returns the events that are there, without blocking.
func (p *Poller) Poll() []Event {
	if p.closed {
		return nil
	}
	n, err := unix.EpollWait(p.set, p.kernel[:], 0)
	for err == unix.EINTR {
		n, err = unix.EpollWait(p.set, p.kernel[:], 0)
	}
	p.events = p.events[:0]
	for _, e := range p.kernel[:max(n, 0)] {
		p.events = append(p.events, Event{Token: e.Fd, Ended: e.Events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0})
	}
	return p.events
}

// Add reports events of a connection with the given token. A connection leaves the poller when it is closed.
func (p *Poller) Add(c *Conn, token int32) error {
	return p.control(c.raw, unix.EPOLL_CTL_ADD, pollData, token)
}

// Mute stops the events of new data on a connection; its end is still reported. Unmute brings them back, and reports
// data that is there.
func (p *Poller) Mute(c *Conn, token int32) error {
	return p.control(c.raw, unix.EPOLL_CTL_MOD, pollEnd, token)
}

// Unmute ends the effect of [Poller.Mute].
func (p *Poller) Unmute(c *Conn, token int32) error {
	return p.control(c.raw, unix.EPOLL_CTL_MOD, pollData, token)
}

// AddListener reports events of a listener with the given token.
func (p *Poller) AddListener(l syscall.RawConn, token int32) error {
	return p.control(l, unix.EPOLL_CTL_ADD, pollAccept, token)
}

// PauseListener stops the events of a listener; ResumeListener brings them back.
func (p *Poller) PauseListener(l syscall.RawConn, token int32) error {
	return p.control(l, unix.EPOLL_CTL_MOD, 0, token)
}

// ResumeListener ends the effect of [Poller.PauseListener].
func (p *Poller) ResumeListener(l syscall.RawConn, token int32) error {
	return p.control(l, unix.EPOLL_CTL_MOD, pollAccept, token)
}

func (p *Poller) control(raw syscall.RawConn, operation int, events uint32, token int32) error {
	if p.closed {
		return os.ErrClosed
	}
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.EpollCtl(p.set, operation, int(fd), &unix.EpollEvent{Events: events, Fd: token})
	})
	if controlErr != nil {
		return controlErr
	}
	return os.NewSyscallError("epoll_ctl", err)
}

// Close ends the poller and a call of Wait.
func (p *Poller) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	return p.file.Close()
}
