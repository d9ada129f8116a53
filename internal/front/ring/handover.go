package ring

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"appleplank/internal/settings"
	"appleplank/recall"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// A process that takes over receives every listener and every session (connection, features, memory, rings and the
// inflight region) as plain data and descriptors. Its rings then start as after a crash, from the inflight regions.

// Handed is everything that a front hands over.
type Handed struct {
	Listeners []HandedListener
	Sessions  []HandedSession
}

// HandedListener is the listening socket of a volume.
type HandedListener struct {
	Volume string
	FD     int
}

// HandedSession is one client. The receiver owns the descriptors.
type HandedSession struct {
	Volume   string
	Conn     int
	Features uint64
	Protocol uint64
	Regions  []HandedRegion
	Rings    []HandedRing
	Inflight *HandedInflight
}

// HandedRegion is a contiguous range of client memory.
type HandedRegion struct {
	GPA, Size, UVA, Offset uint64
	FD                     int
}

// HandedRing is a ring. Negative descriptors are absent.
type HandedRing struct {
	Num               uint16
	Desc, Avail, Used uint64
	Placed, Enabled   bool
	Started, Polled   bool
	Base              uint16
	Kick, Call, Err   int
}

// HandedInflight is an inflight region.
type HandedInflight struct {
	Size, Offset    uint64
	Queues, Entries int
	Client          bool
	FD              int
}

// FDs calls f for each descriptor, in a fixed order, so that they can be sent beside the data.
func (h *Handed) FDs(f func(fd *int)) {
	for i := range h.Listeners {
		f(&h.Listeners[i].FD)
	}
	for i := range h.Sessions {
		s := &h.Sessions[i]
		f(&s.Conn)
		for j := range s.Regions {
			f(&s.Regions[j].FD)
		}
		for j := range s.Rings {
			for _, fd := range []*int{&s.Rings[j].Kick, &s.Rings[j].Call, &s.Rings[j].Err} {
				if *fd >= 0 {
					f(fd)
				}
			}
		}
		if s.Inflight != nil {
			f(&s.Inflight.FD)
		}
	}
}

// Close closes all descriptors that were not taken.
func (h *Handed) Close() {
	h.FDs(func(fd *int) {
		if *fd >= 0 {
			unix.Close(*fd)
			*fd = -1
		}
	})
}

// freezeReply is the answer of a session to a request to freeze.
type freezeReply struct {
	s       *session
	handed  HandedSession
	resumed chan bool // true: the session continues; false: another process serves it
	err     error
}

// Freeze suspends every listener and session and returns their state. Thaw resumes them or, if another process serves
// the clients, ends them without notifying the clients.
func (srv *Server) Freeze() (h *Handed, thaw func(goOn bool), err error) {
	h = &Handed{}
	var waiting []*freezeReply
	srv.frozen.Store(true)
	thaw = func(goOn bool) {
		if goOn {
			srv.frozen.Store(false)
		} else {
			srv.handedOver.Store(true)
		}
		for _, f := range waiting {
			f.resumed <- goOn
		}
		for _, v := range srv.volumes {
			if goOn {
				v.keepPath(false)
				v.socket.SetDeadline(time.Time{})
			} else {
				v.close()
			}
		}
		h.Close()
	}
	for _, v := range srv.volumes {
		v.socket.SetDeadline(time.Unix(1, 0))
		v.keepPath(true) // once the descriptor is copied, the path may be the next process's, however this one ends
		fd, ferr := dupDescriptor(v.socket)
		if ferr != nil {
			thaw(true)
			return nil, nil, ferr
		}
		h.Listeners = append(h.Listeners, HandedListener{v.dev.Name, fd})
	}
	ch := make(chan *freezeReply)
	n := 0
	for _, v := range srv.volumes {
		v.mu.Lock()
		for s := range v.sessions {
			n++
			go s.requestFreeze(ch) // returns when the session has answered or ended
		}
		v.mu.Unlock()
	}
	for range n {
		f := <-ch
		if f == nil { // the session ended in the meantime
			continue
		}
		waiting = append(waiting, f)
		if f.err != nil {
			err = errors.Join(err, f.err)
			continue
		}
		h.Sessions = append(h.Sessions, f.handed)
	}
	if err != nil {
		thaw(true)
		return nil, nil, err
	}
	return h, thaw, nil
}

// requestFreeze asks the goroutine of the session to freeze before its next message, and sends its reply to ch, or nil
// if the session has ended.
func (s *session) requestFreeze(ch chan<- *freezeReply) {
	ask := make(chan *freezeReply, 1)
	select {
	case s.freezeRequests <- ask:
	case <-s.done:
		ch <- nil
		return
	}
	s.conn.SetReadDeadline(time.Unix(1, 0))
	select {
	case f := <-ask:
		ch <- f
	case <-s.done:
		ch <- nil
	}
}

// pauseForHandover runs in the goroutine of the session: it stops the rings, replies with the state and waits. It
// returns false if another process has taken the session over.
func (s *session) pauseForHandover(ask chan<- *freezeReply) (resume bool) {
	f := &freezeReply{s: s, resumed: make(chan bool, 1)}
	wasRunning := make([]bool, len(s.rings))
	deadline := time.Now().Add(time.Duration(recall.HandoverWait) * time.Microsecond)
	for i, v := range s.rings {
		if v.run != nil {
			wasRunning[i] = true
			v.stopTaking()
		}
	}
	for _, v := range s.rings {
		if v.run != nil {
			v.drainUntil(deadline)
		}
	}
	f.handed, f.err = s.snapshot()
	ask <- f
	resume = <-f.resumed
	s.conn.SetReadDeadline(time.Time{})
	if !resume {
		return false
	}
	for i, v := range s.rings {
		if wasRunning[i] {
			if err := v.start(); err != nil {
				s.fail(err)
			}
		}
	}
	return true
}

// dupDescriptor duplicates the descriptor of a socket or file that the Go runtime polls, and leaves it non-blocking.
func dupDescriptor(c syscall.Conn) (fd int, err error) {
	rc, err := c.SyscallConn()
	if err != nil {
		return -1, err
	}
	var derr error
	if err := rc.Control(func(x uintptr) { fd, derr = dup(int(x)) }); err != nil {
		return -1, err
	}
	return fd, derr
}

func dup(fd int) (int, error) { return unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0) }

// snapshot copies the state of a frozen session.
func (s *session) snapshot() (h HandedSession, err error) {
	h = HandedSession{Volume: s.dev.Name, Conn: -1, Features: s.features, Protocol: s.protocol}
	all := Handed{Sessions: []HandedSession{h}}
	defer func() {
		if err != nil {
			all.Sessions[0] = h
			all.Close()
		}
	}()
	if h.Conn, err = dupDescriptor(s.conn); err != nil {
		return h, err
	}
	for i := range s.memory.regions {
		r := &s.memory.regions[i]
		fd, err := dup(r.fd)
		if err != nil {
			return h, err
		}
		h.Regions = append(h.Regions, HandedRegion{r.gpa, r.size, r.uva, r.offset, fd})
	}
	for _, v := range s.rings {
		x := HandedRing{Num: v.num, Desc: v.descAt, Avail: v.availAt, Used: v.usedAt, Placed: v.hasAddresses, Enabled: v.enabled, Started: v.kicked,
			Polled: v.polled, Base: v.base, Kick: -1, Call: -1, Err: -1}
		if v.kick != nil {
			if x.Kick, err = dupDescriptor(v.kick); err != nil {
				return h, err
			}
		}
		for _, p := range []struct{ from, to *int }{{&v.callFD, &x.Call}, {&v.errFD, &x.Err}} {
			if *p.from >= 0 {
				if *p.to, err = dup(*p.from); err != nil {
					return h, err
				}
			}
		}
		h.Rings = append(h.Rings, x)
	}
	if f := s.inflight; f != nil {
		fd, err := dup(f.fd)
		if err != nil {
			return h, err
		}
		h.Inflight = &HandedInflight{uint64(len(f.mem)), f.offset, f.queues, f.entries, f.clientOwned, fd}
	}
	return h, nil
}

// Adopt builds a server from what an earlier process has handed over. Volumes without a listener there get a new one;
// listeners of volumes that are no longer in the settings are closed, and so are their clients. No request is taken off
// a ring before Serve.
func Adopt(srv *Server, cfg *settings.Config, h *Handed) error {
	byName := map[string]*listener{}
	for i := range cfg.Volumes {
		v := &cfg.Volumes[i]
		if v.Socket == "" {
			continue
		}
		l := &listener{dev: device{v, i, cfg.Bounds.MaxRequestBytes}, sessions: map[*session]bool{}}
		for j := range h.Listeners {
			if x := &h.Listeners[j]; x.Volume == v.Name && x.FD >= 0 {
				f := os.NewFile(uintptr(x.FD), "listener")
				x.FD = -1
				g, err := net.FileListener(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("volume %q: %w", v.Name, err)
				}
				l.socket = g.(*net.UnixListener)
				l.socket.SetUnlinkOnClose(true)
				l.socket.SetDeadline(time.Time{})
			}
		}
		if l.socket == nil {
			var err error
			if l.socket, err = listen(v.Socket); err != nil {
				return fmt.Errorf("volume %q: %w", v.Name, err)
			}
		}
		srv.volumes = append(srv.volumes, l)
		byName[v.Name] = l
	}
	for i := range h.Sessions {
		x := &h.Sessions[i]
		l := byName[x.Volume]
		if l == nil || len(x.Rings) > l.dev.Queues {
			continue // closed with the remaining descriptors
		}
		s, err := srv.adoptSession(l, x)
		if err != nil {
			return fmt.Errorf("volume %q: %w", x.Volume, err)
		}
		l.adopted = append(l.adopted, s)
	}
	return nil
}

// DropAdopted releases what was adopted but will not be served. Clients and paths are left untouched, as the process that
// handed them over still serves them.
func (srv *Server) DropAdopted() {
	for _, l := range srv.volumes {
		l.keepPath(true)
		l.close()
		for _, s := range l.adopted {
			for _, v := range s.rings {
				v.abandon()
				s.closeCallFDs(v)
			}
			s.memory.clear()
			s.closeInflight()
			s.conn.Close()
		}
		l.adopted = nil
	}
	srv.volumes = nil
}

// adoptSession creates a session whose rings are stopped.
func (srv *Server) adoptSession(l *listener, x *HandedSession) (*session, error) {
	f := os.NewFile(uintptr(x.Conn), "client")
	x.Conn = -1
	c, err := net.FileConn(f)
	f.Close()
	if err != nil {
		return nil, err
	}
	s := newSession(srv.ctx, srv, &l.dev, c.(*net.UnixConn), srv.log.With(zap.String("volume", l.dev.Name), zap.String("client", "taken over")))
	s.conn.SetReadDeadline(time.Time{})
	s.features, s.featuresSet, s.protocol = x.Features, true, x.Protocol
	for i := range x.Regions {
		r := &x.Regions[i]
		if err := s.memory.add(r.GPA, r.Size, r.UVA, r.Offset, r.FD); err != nil {
			return nil, err
		}
	}
	if i := x.Inflight; i != nil {
		if s.inflight, err = openInflight(i.FD, i.Size, i.Offset, i.Queues, i.Entries); err != nil {
			return nil, err
		}
		s.inflight.clientOwned = i.Client
	}
	for i := range x.Rings {
		r, v := &x.Rings[i], s.rings[i]
		v.num, v.descAt, v.availAt, v.usedAt, v.hasAddresses = r.Num, r.Desc, r.Avail, r.Used, r.Placed
		v.base, v.enabled, v.kicked, v.polled = r.Base, r.Enabled, r.Started, r.Polled
		if r.Kick >= 0 {
			if err := unix.SetNonblock(r.Kick, true); err != nil {
				return nil, err
			}
			v.kick, r.Kick = os.NewFile(uintptr(r.Kick), "kick"), -1
		}
		v.callFD, r.Call = r.Call, -1
		v.errFD, r.Err = r.Err, -1
	}
	return s, nil
}

// startRings starts the rings of a session that was taken over.
func (s *session) startRings() error {
	for _, v := range s.rings {
		if err := v.start(); err != nil {
			return err
		}
		if v.run != nil {
			s.signal(&v.callFD) // answers may have been published without a signal
		}
	}
	return nil
}
