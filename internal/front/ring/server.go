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

// maxSessions bounds the concurrent clients of one volume; further clients wait in the backlog of the socket.
const maxSessions = 8

// Server listens for the clients of all volumes.
type Server struct {
	cfg            *settings.Config
	engine         *engine.Engine
	log            *zap.Logger
	maxMemory      int64
	volumes        []*listener
	ctx            context.Context // cancelling it ends all sessions
	frozen         atomic.Bool     // set while accepting is suspended
	handedOver     atomic.Bool     // another process has taken over
	unanswered     atomic.Int64    // requests taken whose answers are not yet on their rings
	Sessions       atomic.Int64    // open now
	FailedSessions atomic.Int64    // sessions that ended with an error, since the start
}

type listener struct {
	dev      device
	socket   *net.UnixListener
	mu       sync.Mutex
	sessions map[*session]bool
	draining bool

	adopted []*session // taken over from another process, not yet started
}

// close stops accepting clients.
func (v *listener) close() {
	v.mu.Lock()
	v.socket.Close()
	v.mu.Unlock()
}

// keepPath sets whether the path of the socket stays when the listener is closed.
func (v *listener) keepPath(keep bool) {
	v.mu.Lock()
	v.socket.SetUnlinkOnClose(!keep)
	v.mu.Unlock()
}

// New returns a server without sockets. Its sessions end when ctx is cancelled.
func New(ctx context.Context, cfg *settings.Config, e *engine.Engine, log *zap.Logger) *Server {
	return &Server{ctx: ctx, cfg: cfg, engine: e, log: log, maxMemory: cfg.Bounds.MaxClientMemory}
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
		s.volumes = append(s.volumes, &listener{dev: device{v, i, cfg.Bounds.MaxRequestBytes}, socket: l, sessions: map[*session]bool{}})
	}
	return s, nil
}

// listen opens a socket at path. It replaces a socket that a killed gateway has left behind, but not one that a process
// listens on.
func listen(path string) (*net.UnixListener, error) {
	addr := &net.UnixAddr{Name: path, Net: "unix"}
	if c, err := net.DialUnix("unix", nil, addr); err == nil {
		c.Close()
		return nil, fmt.Errorf("socket %s: another process is listening on it", path)
	}
	if st, err := os.Lstat(path); err == nil {
		if st.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("socket %s: path exists and is not a socket", path)
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

// Serve accepts clients until ctx is cancelled, and returns when the last session has ended.
func (s *Server) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, v := range s.volumes {
		g.Go(func() error { return s.accept(ctx, v) })
	}
	return g.Wait()
}

func (s *Server) accept(ctx context.Context, v *listener) error {
	var clients errgroup.Group
	clients.SetLimit(maxSessions)
	stop := context.AfterFunc(ctx, v.close)
	defer stop()
	defer clients.Wait()
	log := s.log.With(zap.String("volume", v.dev.Name))
	for _, ss := range v.adopted {
		clients.Go(func() error { s.serveSession(v, ss, ss.startRings()); return nil })
	}
	v.adopted = nil
	for n := 1; ; n++ {
		c, err := v.socket.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if s.frozen.Load() {
				if sleep(ctx, 5*time.Millisecond); s.handedOver.Load() {
					return nil
				}
				continue
			}
			log.Warn("accept", zap.Error(err)) // for example out of file descriptors: open sessions go on
			if !sleep(ctx, 100*time.Millisecond) {
				return nil
			}
			continue
		}
		ss := newSession(ctx, s, &v.dev, c, log.With(zap.Int("client", n)))
		clients.Go(func() error { s.serveSession(v, ss, nil); return nil })
	}
}

// serveSession serves a client until it disconnects. An err that is not nil ends the session at once.
func (s *Server) serveSession(v *listener, ss *session, err error) {
	v.mu.Lock()
	v.sessions[ss] = true
	if v.draining {
		ss.conn.Close()
	}
	v.mu.Unlock()
	s.Sessions.Add(1)
	ss.log.Info("client connected")
	if err != nil {
		ss.fail(err)
	}
	err = ss.serve()
	s.Sessions.Add(-1)
	v.mu.Lock()
	delete(v.sessions, ss)
	v.mu.Unlock()
	if err != nil {
		s.FailedSessions.Add(1)
		ss.log.Warn("client closed", zap.Error(err))
	} else {
		ss.log.Info("client disconnected")
	}
}

// StartDraining stops accepting clients and taking requests off the rings. Requests already taken are still answered.
func (s *Server) StartDraining() {
	for _, v := range s.volumes {
		v.close()
		v.mu.Lock()
		v.draining = true
		for ss := range v.sessions {
			ss.startDraining()
		}
		v.mu.Unlock()
	}
}

// Unanswered returns the number of requests taken whose answers are not yet on the rings of their clients.
func (s *Server) Unanswered() int64 { return s.unanswered.Load() }

// Close closes sockets that were never served.
func (s *Server) Close() {
	for _, v := range s.volumes {
		v.close()
	}
}

// sameGroup reports whether all nodes that may hold the data of a request belong to the same group of its class as the
// node of its first attempt.
func (s *Server) sameGroup(class int, d *device, p *parsedRequest, first logic.NodeID) bool {
	group := s.cfg.Logic.Classes[class].Group
	if group != logic.GroupZone {
		return true // the group is all nodes, or the nodes of one cell, and an extent belongs to one cell
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
