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

// A process that takes over is given every listener and every session: connection, features, memory, rings and the
// inflight region, as plain data and descriptors. Its rings then begin as after a crash, from their regions.

// Handed is all that a front hands over.
type Handed struct {
	Listeners []HandedListener
	Sessions  []HandedSession
}

// HandedListener is a volume's listening socket.
type HandedListener struct {
	Volume string
	FD     int
}

// HandedSession is one client. Descriptors are the taker's to close.
type HandedSession struct {
	Volume   string
	Conn     int
	Features uint64
	Protocol uint64
	Regions  []HandedRegion
	Rings    []HandedRing
	Inflight *HandedInflight
}

// HandedRegion is a run of a client's memory.
type HandedRegion struct {
	GPA, Size, UVA, Offset uint64
	FD                     int
}

// HandedRing is a ring; descriptors below zero are not there.
type HandedRing struct {
	Num               uint16
	Desc, Avail, Used uint64
	Placed, Enabled   bool
	Started, Polled   bool
	Base              uint16
	Kick, Call, Err   int
}

// HandedInflight is a region.
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

// frozen is what a session answers when it was asked to stand still.
type frozen struct {
	s       *session
	handed  HandedSession
	resumed chan bool // true: go on; false: another process has it
	err     error
}

// Freeze has every listener and session stand still and gives what there is of them. Thaw lets them go on, or ends
// them without a word to their clients, whom another process serves.
func (srv *Server) Freeze() (h *Handed, thaw func(goOn bool), err error) {
	h = &Handed{}
	var waiting []*frozen
	srv.frozen.Store(true)
	thaw = func(goOn bool) {
		if goOn {
			srv.frozen.Store(false)
		} else {
			srv.handed.Store(true)
		}
		for _, f := range waiting {
			f.resumed <- goOn
		}
		for _, v := range srv.volumes {
			if goOn {
				v.keepPath(false)
				v.l.SetDeadline(time.Time{})
			} else {
				v.close()
			}
		}
		h.Close()
	}
	for _, v := range srv.volumes {
		v.l.SetDeadline(time.Unix(1, 0))
		v.keepPath(true) // from its copy on it may be the next process's, whatever ends this one
		fd, ferr := dupOf(v.l)
		if ferr != nil {
			thaw(true)
			return nil, nil, ferr
		}
		h.Listeners = append(h.Listeners, HandedListener{v.dev.Name, fd})
	}
	ch := make(chan *frozen)
	n := 0
	for _, v := range srv.volumes {
		v.mu.Lock()
		for s := range v.live {
			n++
			go s.freeze(ch) // ends when the session has answered or ended
		}
		v.mu.Unlock()
	}
	for range n {
		f := <-ch
		if f == nil { // it ended meanwhile
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

// freeze asks the session's goroutine to stand still at the next end of a message.
func (s *session) freeze(ch chan<- *frozen) {
	ask := make(chan *frozen, 1)
	select {
	case s.freezes <- ask:
	case <-s.over:
		ch <- nil
		return
	}
	s.conn.SetReadDeadline(time.Unix(1, 0))
	select {
	case f := <-ask:
		ch <- f
	case <-s.over:
		ch <- nil
	}
}

// standStill is the session's goroutine's part: it stops the rings, tells what there is, and waits. False where another
// process has the session.
func (s *session) standStill(ask chan<- *frozen) (goOn bool) {
	f := &frozen{s: s, resumed: make(chan bool, 1)}
	was := make([]bool, len(s.rings))
	until := time.Now().Add(time.Duration(recall.HandoverWait) * time.Microsecond)
	for i, v := range s.rings {
		if v.run != nil {
			was[i] = true
			v.halt()
		}
	}
	for _, v := range s.rings {
		if v.run != nil {
			v.settle(until)
		}
	}
	f.handed, f.err = s.hand()
	ask <- f
	goOn = <-f.resumed
	s.conn.SetReadDeadline(time.Time{})
	if !goOn {
		return false
	}
	for i, v := range s.rings {
		if was[i] {
			if err := v.start(); err != nil {
				s.fail(err)
			}
		}
	}
	return true
}

// dupOf duplicates the descriptor of a socket or file that Go waits on, without making it wait in the kernel.
func dupOf(c syscall.Conn) (fd int, err error) {
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

// hand copies what there is of a session that stands still.
func (s *session) hand() (h HandedSession, err error) {
	h = HandedSession{Volume: s.dev.Name, Conn: -1, Features: s.features, Protocol: s.protocol}
	all := Handed{Sessions: []HandedSession{h}}
	defer func() {
		if err != nil {
			all.Sessions[0] = h
			all.Close()
		}
	}()
	if h.Conn, err = dupOf(s.conn); err != nil {
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
		x := HandedRing{Num: v.num, Desc: v.descAt, Avail: v.availAt, Used: v.usedAt, Placed: v.placed, Enabled: v.enabled, Started: v.started,
			Polled: v.polled, Base: v.base, Kick: -1, Call: -1, Err: -1}
		if v.kick != nil {
			if x.Kick, err = dupOf(v.kick); err != nil {
				return h, err
			}
		}
		for _, p := range []struct{ from, to *int }{{&v.call, &x.Call}, {&v.errFD, &x.Err}} {
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
		h.Inflight = &HandedInflight{uint64(len(f.mem)), f.offset, f.queues, f.entries, f.client, fd}
	}
	return h, nil
}

// Adopt makes a server of what an earlier process has handed over. Volumes that had no listener there are opened,
// listeners of volumes that are not in the settings any more are closed with their clients. Nothing is taken off a ring
// before Serve.
func Adopt(srv *Server, cfg *settings.Config, h *Handed) error {
	byName := map[string]*listener{}
	for i := range cfg.Volumes {
		v := &cfg.Volumes[i]
		if v.Socket == "" {
			continue
		}
		l := &listener{dev: device{v, i, cfg.Bounds.MostBytes}, live: map[*session]bool{}}
		for j := range h.Listeners {
			if x := &h.Listeners[j]; x.Volume == v.Name && x.FD >= 0 {
				f := os.NewFile(uintptr(x.FD), "listener")
				x.FD = -1
				g, err := net.FileListener(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("volume %q: %w", v.Name, err)
				}
				l.l = g.(*net.UnixListener)
				l.l.SetUnlinkOnClose(true)
				l.l.SetDeadline(time.Time{})
			}
		}
		if l.l == nil {
			var err error
			if l.l, err = listen(v.Socket); err != nil {
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
			continue // closed with what is left
		}
		s, err := srv.adoptSession(l, x)
		if err != nil {
			return fmt.Errorf("volume %q: %w", x.Volume, err)
		}
		l.adopted = append(l.adopted, s)
	}
	return nil
}

// Drop lets go of what was adopted and is not to be served after all, without a trace: the process that handed it over
// still has it.
func (srv *Server) Drop() {
	for _, l := range srv.volumes {
		l.keepPath(true)
		l.close()
		for _, s := range l.adopted {
			for _, v := range s.rings {
				v.leave()
				s.dropCalls(v)
			}
			s.memory.clear()
			s.dropInflight()
			s.conn.Close()
		}
		l.adopted = nil
	}
	srv.volumes = nil
}

// adoptSession makes a session whose rings stand still.
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
	s.features, s.acked, s.protocol = x.Features, true, x.Protocol
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
		s.inflight.client = i.Client
	}
	for i := range x.Rings {
		r, v := &x.Rings[i], s.rings[i]
		v.num, v.descAt, v.availAt, v.usedAt, v.placed = r.Num, r.Desc, r.Avail, r.Used, r.Placed
		v.base, v.enabled, v.started, v.polled = r.Base, r.Enabled, r.Started, r.Polled
		if r.Kick >= 0 {
			if err := unix.SetNonblock(r.Kick, true); err != nil {
				return nil, err
			}
			v.kick, r.Kick = os.NewFile(uintptr(r.Kick), "kick"), -1
		}
		v.call, r.Call = r.Call, -1
		v.errFD, r.Err = r.Err, -1
	}
	return s, nil
}

// begin starts the rings of a session that was taken over.
func (s *session) begin() error {
	for _, v := range s.rings {
		if err := v.start(); err != nil {
			return err
		}
		if v.run != nil {
			s.signal(&v.call) // answers may have been published without a call
		}
	}
	return nil
}
