// Package dav is the WebDAV front (RFC 4918, class 1 and 2): it serves files and folders to clients that have no ring.
// The bytes of a file are objects on the nodes, written and read by the same engine as block requests; its name,
// properties and locks are in the catalogue. Package locks decides which locks hold, and the engine decides where
// objects are placed.
package dav

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"appleplank/internal/catalogue"
	"appleplank/internal/engine"
	"appleplank/internal/settings"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"
)

const (
	// ioTimeout is the time that a client has to send each part of a body, or to receive each part of an answer.
	ioTimeout = 30 * time.Second
	// rejectedTimeout is the time that a client has to send the rest of a request that was rejected.
	rejectedTimeout = time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 64 << 10
)

// engineBackend adapts the engine to Backend.
type engineBackend struct{ *engine.Engine }

// Acquire implements [Backend].
func (b engineBackend) Acquire(ctx context.Context, volume int, n int64) (func(int64), error) {
	m := b.Memory(volume)
	if err := m.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return m.Release, nil
}

// Server runs all WebDAV listeners of a gateway.
type Server struct {
	log       *zap.Logger
	passwords *passwords
	trees     []*tree
	listeners []*listener
}

// listener serves the trees of one listen address.
type listener struct {
	server *Server
	cfg    *settings.Dav
	trees  []*tree // longest path first
	ln     net.Listener
	http   *http.Server
	certs  *certificates // nil without TLS
	conns  *connections
}

// CataloguePath returns the path of a volume's catalogue file.
func CataloguePath(cfg *settings.Config, volume int) string {
	return filepath.Join(cfg.State.Dir, "catalogue-"+cfg.Volumes[volume].Name)
}

// Listen opens the catalogues and the listeners, and reserves the space of all catalogued objects in the engine.
func Listen(cfg *settings.Config, e *engine.Engine, log *zap.Logger) (s *Server, err error) {
	s = &Server{log: log, passwords: newPasswords(cfg.Users)}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	for i := range cfg.Dav {
		l := &listener{server: s, cfg: &cfg.Dav[i]}
		for _, x := range l.cfg.Trees {
			t := &tree{prefix: strings.TrimSuffix(x.Path, "/"), volume: x.Volume, blockSize: int64(cfg.Volumes[x.Volume].BlockSize), backend: engineBackend{e},
				readUsers: map[string]bool{}, writeUsers: map[string]bool{}, readerCounts: map[contentVersion]int{}, deferredFrees: map[contentVersion][]catalogue.Object{}}
			for _, u := range x.Read {
				t.readUsers[u] = true
			}
			for _, u := range x.Write {
				t.readUsers[u], t.writeUsers[u] = true, true
			}
			if t.cat, err = catalogue.Open(CataloguePath(cfg, x.Volume)); err != nil {
				return s, err
			}
			s.trees, l.trees = append(s.trees, t), append(l.trees, t)
			if err = t.cat.ForEachObject(func(o catalogue.Object) error { return e.TakeSpace(x.Volume, o.At, o.Len) }); err != nil {
				return s, fmt.Errorf("dav: tree %s: %w", x.Path, err)
			}
		}
		slices.SortFunc(l.trees, func(a, b *tree) int { return len(b.prefix) - len(a.prefix) })
		if l.ln, err = net.Listen("tcp", l.cfg.Listen); err != nil {
			return s, err
		}
		s.listeners = append(s.listeners, l)
		l.ln = netutil.LimitListener(l.ln, l.cfg.Clients)
		if l.cfg.Cert != "" {
			if l.certs, err = loadCertificates(l.cfg.Cert, l.cfg.Key); err != nil {
				return s, err
			}
			l.ln = tls.NewListener(l.ln, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: l.certs.get, NextProtos: []string{"http/1.1"}})
		}
		l.conns = &connections{max: l.cfg.Clients}
		l.http = &http.Server{Handler: l, ConnState: l.conns.track, ConnContext: withConnection, ReadHeaderTimeout: ioTimeout, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: zap.NewStdLog(log)}
	}
	return s, nil
}

// Addresses returns the addresses that the server listens on, in the order of the settings.
func (s *Server) Addresses() (out []string) {
	for _, l := range s.listeners {
		out = append(out, l.ln.Addr().String())
	}
	return out
}

// Serve serves requests until ctx ends. Then it accepts no new requests, and those in progress may finish until
// hardStop ends.
func (s *Server) Serve(ctx, hardStop context.Context) error {
	var wg sync.WaitGroup
	for _, l := range s.listeners {
		wg.Add(2)
		go func() {
			defer wg.Done()
			if err := l.http.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
				s.log.Error("listener", zap.String("listen", l.cfg.Listen), zap.Error(err))
			}
		}()
		go func() {
			defer wg.Done()
			if l.certs != nil {
				l.certs.watch(ctx, s.log)
			}
			<-ctx.Done()
			if l.http.Shutdown(hardStop) != nil {
				l.http.Close()
			}
		}()
	}
	wg.Wait()
	return nil
}

// Close closes the listening sockets and, unlike Serve, the catalogues.
func (s *Server) Close() {
	for _, l := range s.listeners {
		l.ln.Close()
	}
	for _, t := range s.trees {
		if t.cat != nil {
			t.cat.Close()
		}
	}
}

// ServeHTTP implements [http.Handler].
func (l *listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	user, ok := l.server.passwords.authenticate(r)
	if !ok {
		w.Header().Set("WWW-Authenticate", `Basic realm="appleplank", charset="UTF-8"`)
		l.reject(w, r, "who are you?", http.StatusUnauthorized)
		return
	}
	t, path, ok := l.findTree(r.URL.Path)
	if !ok {
		l.reject(w, r, "no such tree", http.StatusNotFound)
		return
	}
	if _, err := catalogue.Split(path); err != nil || strings.Contains(strings.ToLower(r.URL.EscapedPath()), "%2f") {
		l.reject(w, r, "no such name can be", http.StatusBadRequest)
		return
	}
	q := &request{listener: l, tree: t, w: w, r: r, user: user, path: path, controller: http.NewResponseController(w)}
	modifies := !slices.Contains([]string{"OPTIONS", "GET", "HEAD", "PROPFIND"}, r.Method)
	if !t.readUsers[user] || modifies && !t.writeUsers[user] {
		l.reject(w, r, "not allowed for this user", http.StatusForbidden)
		return
	}
	handler := methodHandlers[r.Method]
	if handler == nil {
		q.setAllowHeaders()
		l.reject(w, r, "method is not known", http.StatusMethodNotAllowed)
		return
	}
	q.extendDeadlines()
	if err := handler(q); err != nil {
		q.writeError(err)
	}
}

// reject answers a request of which nothing is done. The server reads the rest of its body before it writes the answer.
func (l *listener) reject(w http.ResponseWriter, r *http.Request, reason string, status int) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectedTimeout))
	l.conns.reject(r)
	http.Error(w, reason, status)
}

// findTree returns the tree that contains a URL path, and the path within the tree.
func (l *listener) findTree(path string) (*tree, string, bool) {
	for _, t := range l.trees {
		if rest, ok := strings.CutPrefix(path, t.prefix); ok && (rest == "" || rest[0] == '/') {
			if rest == "" {
				rest = "/"
			}
			return t, rest, true
		}
	}
	return nil, "", false
}
