package ring

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"appleplank/internal/engine"
	"appleplank/internal/settings"
	"appleplank/logic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// mostSessions bounds the clients of one volume at a time; further ones wait in the socket's backlog.
const mostSessions = 8

// Server listens for the clients of all volumes.
type Server struct {
	cfg        *settings.Config
	engine     *engine.Engine
	log        *zap.Logger
	mostMemory int64
	volumes    []*listener
	ctx        context.Context // ends all sessions
	frozen     atomic.Bool     // nobody is let in, for now
	handed     atomic.Bool     // another process has it all
	owed       atomic.Int64    // requests taken whose answers are not on their rings
	Sessions   atomic.Int64    // now
	Ended      atomic.Int64    // with an error, since the start
}

type listener struct {
	dev   device
	l     *net.UnixListener
	mu    sync.Mutex
	live  map[*session]bool
	drain bool

	adopted []*session // taken over, not begun
}

// close lets no client in any more.
func (v *listener) close() {
	v.mu.Lock()
	v.l.Close()
	v.mu.Unlock()
}

// keepPath says whether the socket's path stays when the listener is closed.
func (v *listener) keepPath(keep bool) {
	v.mu.Lock()
	v.l.SetUnlinkOnClose(!keep)
	v.mu.Unlock()
}

// New makes a server without sockets; its sessions end with ctx.
func New(ctx context.Context, cfg *settings.Config, e *engine.Engine, log *zap.Logger) *Server {
	return &Server{ctx: ctx, cfg: cfg, engine: e, log: log, mostMemory: cfg.Bounds.MostMemory}
}

// Listen opens the sockets of all volumes that have one.
func Listen(ctx context.Context, cfg *settings.Config, e *engine.Engine, log *zap.Logger) (*Server, error) {
	s := New(ctx, cfg, e, log)
	for i := range cfg.Volumes {
		v := &cfg.Volumes[i]
		if v.Socket == "" {
			continue
		}
		l, err := listen(v.Socket)
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("volume %q: %w", v.Name, err)
		}
		s.volumes = append(s.volumes, &listener{dev: device{v, i, cfg.Bounds.MostBytes}, l: l, live: map[*session]bool{}})
	}
	return s, nil
}

// listen takes over a path that a killed gateway has left, not one that somebody listens on.
func listen(path string) (*net.UnixListener, error) {
	addr := &net.UnixAddr{Name: path, Net: "unix"}
	if c, err := net.DialUnix("unix", nil, addr); err == nil {
		c.Close()
		return nil, fmt.Errorf("socket %s: another process listens on it", path)
	}
	if st, err := os.Lstat(path); err == nil {
		if st.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("socket %s: a file that is no socket is there", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("socket %s: %w", path, err)
		}
	}
	l, err := net.ListenUnix("unix", addr)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o660); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Serve takes clients until ctx ends, and returns when the last session is gone.
func (s *Server) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, v := range s.volumes {
		g.Go(func() error { return s.accept(ctx, v) })
	}
	return g.Wait()
}

func (s *Server) accept(ctx context.Context, v *listener) error {
	var clients errgroup.Group
	clients.SetLimit(mostSessions)
	stop := context.AfterFunc(ctx, v.close)
	defer stop()
	defer clients.Wait()
	log := s.log.With(zap.String("volume", v.dev.Name))
	for _, ss := range v.adopted {
		clients.Go(func() error { s.serveOne(v, ss, ss.begin()); return nil })
	}
	v.adopted = nil
	for n := 1; ; n++ {
		c, err := v.l.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if s.frozen.Load() {
				if pause(ctx, 5*time.Millisecond); s.handed.Load() {
					return nil
				}
				continue
			}
			log.Warn("accept", zap.Error(err)) // out of descriptors, say: what is open goes on
			if !pause(ctx, 100*time.Millisecond) {
				return nil
			}
			continue
		}
		ss := newSession(ctx, s, &v.dev, c, log.With(zap.Int("client", n)))
		clients.Go(func() error { s.serveOne(v, ss, nil); return nil })
	}
}

// serveOne serves a client until it leaves.
func (s *Server) serveOne(v *listener, ss *session, err error) {
	v.mu.Lock()
	v.live[ss] = true
	if v.drain {
		ss.conn.Close()
	}
	v.mu.Unlock()
	s.Sessions.Add(1)
	ss.log.Info("client came")
	if err != nil {
		ss.fail(err)
	}
	err = ss.serve()
	s.Sessions.Add(-1)
	v.mu.Lock()
	delete(v.live, ss)
	v.mu.Unlock()
	if err != nil {
		s.Ended.Add(1)
		ss.log.Warn("client closed", zap.Error(err))
	} else {
		ss.log.Info("client left")
	}
}

// StopTaking lets no client in and takes nothing more off the rings; what was taken is still answered.
func (s *Server) StopTaking() {
	for _, v := range s.volumes {
		v.close()
		v.mu.Lock()
		v.drain = true
		for ss := range v.live {
			ss.stopTaking()
		}
		v.mu.Unlock()
	}
}

// Owed is how many requests were taken whose answers are not on their clients' rings yet.
func (s *Server) Owed() int64 { return s.owed.Load() }

// Close lets go of sockets that were never served.
func (s *Server) Close() {
	for _, v := range s.volumes {
		v.close()
	}
}

// sameGroup tells whether all nodes that may hold a request's data belong to the group of its class that has seen its
// first attempt, at the given node.
func (s *Server) sameGroup(class int, d *device, p *parsed, first logic.NodeID) bool {
	group := s.cfg.Logic.Classes[class].Group
	if group != logic.GroupZone {
		return true // all nodes, or those of a cell, which an extent is tied to
	}
	zone, known := 0, false
	for _, n := range s.cfg.Nodes {
		if n.ID == first {
			zone, known = n.Zone, true
		}
	}
	for i := range d.Extents {
		x := &d.Extents[i]
		if x.Start >= p.offset+p.len || x.Start+x.Len <= p.offset {
			continue
		}
		for _, n := range s.cfg.Nodes {
			held := slices.ContainsFunc(x.Copies, func(p settings.Place) bool { return p.Cell == n.Cell })
			known = known && (!held || n.Zone == zone)
		}
	}
	return known
}
