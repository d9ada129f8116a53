// Package dav is the WebDAV front (RFC 4918, class 1 and 2): files and folders for clients that have no ring. A file's
// bytes are objects on the nodes, written and read by the same engine as block requests; its name, properties and locks
// are the catalogue's. It decides nothing: which locks hold is package locks', where objects go is the engine's.
package dav

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
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
	"golang.org/x/crypto/bcrypt"
	"golang.org/x/net/netutil"
)

const (
	// patience is how long a client may take for each piece of a body, or to take what it is sent.
	patience = 30 * time.Second
	// mostHeader bounds a request's headers.
	mostHeader = 64 << 10
)

// engineBack is the engine as the front's backend.
type engineBack struct{ *engine.Engine }

func (b engineBack) Acquire(ctx context.Context, volume int, n int64) (func(int64), error) {
	m := b.Memory(volume)
	if err := m.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return m.Release, nil
}

// Server is all WebDAV listeners of a gateway.
type Server struct {
	log       *zap.Logger
	users     map[string][]byte
	trees     []*tree
	listeners []*listener

	secret [32]byte
	authMu sync.Mutex
	known  map[[32]byte]time.Time // passwords that were right, until when that is believed
}

type listener struct {
	s     *Server
	cfg   *settings.Dav
	trees []*tree // longest path first
	ln    net.Listener
	http  *http.Server
	certs *certificates // nil: plain
}

// CataloguePath is where a volume's catalogue lies.
func CataloguePath(cfg *settings.Config, volume int) string {
	return filepath.Join(cfg.State.Dir, "catalogue-"+cfg.Volumes[volume].Name)
}

// Listen opens catalogues and listeners, and tells the engine what its objects lie on.
func Listen(cfg *settings.Config, e *engine.Engine, log *zap.Logger) (s *Server, err error) {
	s = &Server{log: log, users: map[string][]byte{}, known: map[[32]byte]time.Time{}}
	rand.Read(s.secret[:])
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	for _, u := range cfg.Users {
		s.users[u.Name] = u.Hash
	}
	for i := range cfg.Dav {
		l := &listener{s: s, cfg: &cfg.Dav[i]}
		for _, x := range l.cfg.Trees {
			t := &tree{prefix: strings.TrimSuffix(x.Path, "/"), volume: x.Volume, block: int64(cfg.Volumes[x.Volume].BlockSize), back: engineBack{e},
				read: map[string]bool{}, writes: map[string]bool{}, readers: map[content]int{}, late: map[content][]catalogue.Object{}}
			for _, u := range x.Read {
				t.read[u] = true
			}
			for _, u := range x.Write {
				t.read[u], t.writes[u] = true, true
			}
			if t.cat, err = catalogue.Open(CataloguePath(cfg, x.Volume)); err != nil {
				return s, err
			}
			s.trees, l.trees = append(s.trees, t), append(l.trees, t)
			if err = t.cat.Objects(func(o catalogue.Object) error { return e.TakeSpace(x.Volume, o.At, o.Len) }); err != nil {
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
			if l.certs, err = watchCertificates(l.cfg.Cert, l.cfg.Key); err != nil {
				return s, err
			}
			l.ln = tls.NewListener(l.ln, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: l.certs.get, NextProtos: []string{"http/1.1"}})
		}
		l.http = &http.Server{Handler: l, ReadHeaderTimeout: patience, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: mostHeader,
			ErrorLog: zap.NewStdLog(log)}
	}
	return s, nil
}

// Addresses are where it listens, in the order of the settings.
func (s *Server) Addresses() (out []string) {
	for _, l := range s.listeners {
		out = append(out, l.ln.Addr().String())
	}
	return out
}

// Serve serves until ctx ends; then nothing new is taken, and what is under way may end until hard does.
func (s *Server) Serve(ctx, hard context.Context) error {
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
			if l.http.Shutdown(hard) != nil {
				l.http.Close()
			}
		}()
	}
	wg.Wait()
	return nil
}

// Close closes what Serve does not: the catalogues.
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

// user finds who a request is from. The hash is slow on purpose, so that what was right is believed for a minute.
func (s *Server) user(r *http.Request) (string, bool) {
	name, password, ok := r.BasicAuth()
	if !ok || len(password) > 72 {
		return "", false
	}
	mac := hmac.New(sha256.New, s.secret[:])
	mac.Write([]byte(name + "\x00" + password))
	key := [32]byte(mac.Sum(nil))
	now := time.Now()
	s.authMu.Lock()
	fresh := s.known[key].After(now)
	s.authMu.Unlock()
	if fresh {
		return name, true
	}
	hash, there := s.users[name]
	if !there {
		hash = nobody
	}
	if bcrypt.CompareHashAndPassword(hash, []byte(password)) != nil || !there {
		return "", false
	}
	s.authMu.Lock()
	if len(s.known) >= 4096 {
		clear(s.known)
	}
	s.known[key] = now.Add(time.Minute)
	s.authMu.Unlock()
	return name, true
}

// nobody is compared with where no user has the name, so that it takes as long.
var nobody, _ = bcrypt.GenerateFromPassword([]byte("nobody has this"), bcrypt.DefaultCost)

// ServeHTTP implements [http.Handler].
func (l *listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	user, ok := l.s.user(r)
	if !ok {
		w.Header().Set("WWW-Authenticate", `Basic realm="appleplank", charset="UTF-8"`)
		http.Error(w, "who are you?", http.StatusUnauthorized)
		return
	}
	t, path, ok := l.find(r.URL.Path)
	if !ok {
		http.Error(w, "no such tree", http.StatusNotFound)
		return
	}
	if _, err := catalogue.Split(path); err != nil || strings.Contains(strings.ToLower(r.URL.EscapedPath()), "%2f") {
		http.Error(w, "no such name can be", http.StatusBadRequest)
		return
	}
	q := &request{l: l, t: t, w: w, r: r, user: user, path: path, control: http.NewResponseController(w)}
	changes := !slices.Contains([]string{"OPTIONS", "GET", "HEAD", "PROPFIND"}, r.Method)
	if !t.read[user] || changes && !t.writes[user] {
		http.Error(w, "not allowed for this user", http.StatusForbidden)
		return
	}
	do := methods[r.Method]
	if do == nil {
		q.allow()
		http.Error(w, "method is not known", http.StatusMethodNotAllowed)
		return
	}
	q.breath()
	if err := do(q); err != nil {
		q.fail(err)
	}
}

// find gives the tree that a URL's path lies in, and the rest.
func (l *listener) find(path string) (*tree, string, bool) {
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
