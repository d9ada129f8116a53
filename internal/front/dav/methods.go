package dav

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/catalogue"
	"appleplank/locks"
)

// request is one on its way.
type request struct {
	l       *listener
	t       *tree
	w       http.ResponseWriter
	r       *http.Request
	user    string
	path    string
	tokens  []string // locks that the client has shown
	control *http.ResponseController
}

var methods map[string]func(*request) error

func init() {
	methods = map[string]func(*request) error{
		"OPTIONS": (*request).options, "GET": (*request).get, "HEAD": (*request).get, "PUT": (*request).put, "DELETE": (*request).delete,
		"MKCOL": (*request).mkcol, "COPY": (*request).copyMove, "MOVE": (*request).copyMove, "PROPFIND": (*request).propfind,
		"PROPPATCH": (*request).proppatch, "LOCK": (*request).lock, "UNLOCK": (*request).unlock,
	}
}

// status is an answer that is no success.
type status struct {
	code int
	text string
}

func (s *status) Error() string { return s.text }

func answer(code int, format string, a ...any) error { return &status{code, fmt.Sprintf(format, a...)} }

// fail maps an error to the answer that a client can act on. Refused promises that nothing was done.
func (q *request) fail(err error) {
	var s *status
	var op *OpError
	var body *bodyError
	code, text := http.StatusInternalServerError, "the catalogue cannot be used"
	switch {
	case errors.As(err, &s):
		code, text = s.code, s.text
	case errors.As(err, &body), q.r.Context().Err() != nil:
		panic(http.ErrAbortHandler) // the client has left, or stopped in the middle of what it sends
	case errors.As(err, &op) && op.NoRoom:
		code, text = http.StatusInsufficientStorage, "no node has room"
	case errors.As(err, &op) && op.Verdict == block.Refused:
		wait := max(1, int(math.Ceil(float64(op.CoolDown)/1e6)))
		q.w.Header().Set("Retry-After", strconv.Itoa(wait))
		if code, text = http.StatusServiceUnavailable, "refused: nothing was done"; op.Limited {
			code, text = http.StatusTooManyRequests, "the plan's limit is used up: nothing was done"
		}
	case errors.As(err, &op):
		code, text = http.StatusBadGateway, "a node failed"
	case errors.Is(err, catalogue.ErrNotFound):
		code, text = http.StatusNotFound, "no such name"
	case errors.Is(err, catalogue.ErrNoParent):
		code, text = http.StatusConflict, "the folder does not exist"
	case errors.Is(err, catalogue.ErrExists):
		code, text = http.StatusPreconditionFailed, "the name is taken"
	case errors.Is(err, catalogue.ErrIsDir):
		code, text = http.StatusMethodNotAllowed, "it is a folder"
	case errors.Is(err, catalogue.ErrInside):
		code, text = http.StatusForbidden, "a folder cannot lie in itself, nor in the place of what it lies in"
	case errors.Is(err, catalogue.ErrName):
		code, text = http.StatusBadRequest, "no such name can be"
	case errors.Is(err, catalogue.ErrTooLarge), errors.Is(err, locks.ErrFull):
		code, text = http.StatusInsufficientStorage, err.Error()
	case errors.Is(err, locks.ErrLocked):
		code, text = http.StatusLocked, err.Error()
	case errors.Is(err, locks.ErrUnknown):
		code, text = http.StatusPreconditionFailed, err.Error()
	default:
		q.l.s.log.Sugar().Errorw("request failed", "method", q.r.Method, "path", q.path, "error", err)
	}
	http.Error(q.w, text, code)
}

// breath gives the client a while for the next piece of what it sends and takes.
func (q *request) breath() {
	until := time.Now().Add(patience)
	q.control.SetReadDeadline(until)
	q.control.SetWriteDeadline(until)
}

func (q *request) allow() {
	q.w.Header().Set("DAV", "1, 2")
	q.w.Header().Set("MS-Author-Via", "DAV")
	q.w.Header().Set("Allow", "OPTIONS, GET, HEAD, PUT, DELETE, MKCOL, COPY, MOVE, PROPFIND, PROPPATCH, LOCK, UNLOCK")
}

func (q *request) options() error {
	q.allow()
	q.w.WriteHeader(http.StatusOK)
	return nil
}

func etag(e *catalogue.Entry) string { return fmt.Sprintf(`"%x-%x"`, e.ID, e.Version) }

func contentType(name string, e *catalogue.Entry) string {
	if e.Type != "" {
		return e.Type
	}
	if t := mime.TypeByExtension(path.Ext(name)); t != "" {
		return t
	}
	return "application/octet-stream"
}

// ---- conditions ----

// preconditions checks the If header, which also shows the locks' tokens, and RFC 9110's conditions for a change.
func (q *request) preconditions() error {
	if h := q.r.Header.Get("If"); h != "" {
		lists, err := parseIf(h)
		if err != nil {
			return answer(http.StatusBadRequest, "%v", err)
		}
		any := false
		for _, l := range lists {
			holds, err := q.holds(l)
			if err != nil {
				return err
			}
			any = any || holds
			for _, c := range l.conditions {
				if c.token != "" && !c.not {
					q.tokens = append(q.tokens, c.token)
				}
			}
		}
		if !any {
			return answer(http.StatusPreconditionFailed, "no list of the If header holds")
		}
	}
	e, err := q.t.cat.Get(q.path)
	if errors.Is(err, catalogue.ErrNotFound) {
		e, err = nil, nil
	}
	if err != nil {
		return err
	}
	return q.matches(e)
}

// matches checks If-Match, If-None-Match and If-Unmodified-Since against what a name means; nil: nothing.
func (q *request) matches(e *catalogue.Entry) error {
	has := func(header string, weak bool) bool {
		for _, t := range strings.Split(header, ",") {
			t = strings.TrimSpace(t)
			if t == "*" && e != nil || e != nil && !e.Dir && (t == etag(e) || weak && t == "W/"+etag(e)) {
				return true
			}
		}
		return false
	}
	if h := q.r.Header.Get("If-Match"); h != "" && !has(h, false) {
		return answer(http.StatusPreconditionFailed, "If-Match does not hold")
	}
	if h := q.r.Header.Get("If-None-Match"); h != "" && has(h, true) {
		return answer(http.StatusPreconditionFailed, "If-None-Match does not hold")
	}
	if h := q.r.Header.Get("If-Unmodified-Since"); h != "" && q.r.Header.Get("If-Match") == "" && e != nil {
		if t, err := http.ParseTime(h); err == nil && time.Unix(0, e.Modified).Truncate(time.Second).After(t) {
			return answer(http.StatusPreconditionFailed, "modified since")
		}
	}
	return nil
}

// holds tells whether all conditions of a list do.
func (q *request) holds(l ifList) (bool, error) {
	name := q.path
	if l.resource != "" {
		u, err := url.Parse(l.resource)
		if err != nil {
			return false, answer(http.StatusBadRequest, "%v", errIf)
		}
		t, rest, ok := q.l.find(u.Path)
		if !ok || t != q.t {
			return false, nil
		}
		name = rest
	}
	name = clean(name)
	for _, c := range l.conditions {
		is := false
		if c.token != "" {
			q.t.cat.Locks(func(now int64, t *locks.Table) { is = t.Holds(now, name, c.token) })
		} else {
			e, err := q.t.cat.Get(name)
			if err != nil && !errors.Is(err, catalogue.ErrNotFound) {
				return false, err
			}
			is = err == nil && !e.Dir && etag(e) == c.etag
		}
		if is == c.not {
			return false, nil
		}
	}
	return true, nil
}

// clean is a path as locks name it: without a slash at the end or two in a row.
func clean(p string) string { return path.Clean("/" + p) }

// may checks the locks on a name; where it comes or goes its folder changes too.
func (q *request) may(name string, below, member bool) (err error) {
	name = clean(name)
	q.t.cat.Locks(func(now int64, t *locks.Table) {
		if err = t.CheckAccess(now, name, below, q.user, q.tokens); err == nil && member && name != "/" {
			err = t.CheckAccess(now, path.Dir(name), false, q.user, q.tokens)
		}
	})
	return err
}

// ---- reading ----

// lazy keeps the header back until the first bytes of the body are there, so that a first read that fails can still be
// answered as what it is. After that the connection is broken.
type lazy struct {
	http.ResponseWriter
	q     *request
	code  int
	wrote bool
}

func (w *lazy) WriteHeader(code int) { w.code = code }
func (w *lazy) Write(b []byte) (int, error) {
	w.flush()
	w.q.breath()
	return w.ResponseWriter.Write(b)
}
func (w *lazy) flush() {
	if !w.wrote {
		w.wrote = true
		w.ResponseWriter.WriteHeader(max(w.code, http.StatusOK))
	}
}

func (q *request) get() error {
	e, err := q.t.open(q.path)
	if err != nil {
		return err
	}
	if e.Dir {
		q.t.let(e)
		q.allow()
		return answer(http.StatusMethodNotAllowed, "it is a folder; PROPFIND lists it")
	}
	ctx, cancel := context.WithCancel(q.r.Context())
	r := &reader{ctx: ctx, t: q.t, e: e}
	defer r.Close()
	defer cancel()
	h := q.w.Header()
	h.Set("ETag", etag(e))
	h.Set("Content-Type", contentType(q.path, e))
	w := &lazy{ResponseWriter: q.w, q: q}
	http.ServeContent(w, q.r, "", time.Unix(0, e.Modified), r)
	if r.err != nil {
		if w.wrote { // too late to say so
			panic(http.ErrAbortHandler)
		}
		for _, k := range []string{"Content-Length", "Content-Range", "Content-Type", "ETag", "Last-Modified", "Accept-Ranges"} {
			h.Del(k)
		}
		return r.err
	}
	w.flush()
	return nil
}

// ---- changing ----

func (q *request) put() error {
	if q.r.Header.Get("Content-Range") != "" {
		return answer(http.StatusBadRequest, "a part cannot be put")
	}
	if err := q.preconditions(); err != nil {
		return err
	}
	if err := q.may(q.path, false, false); err != nil {
		return err
	}
	// What can be told before the body is sent.
	e, err := q.t.cat.Get(q.path)
	switch {
	case err == nil && e.Dir || strings.HasSuffix(q.path, "/"):
		return catalogue.ErrIsDir
	case errors.Is(err, catalogue.ErrNotFound):
		if p, perr := q.t.cat.Get(path.Dir(clean(q.path))); perr != nil || !p.Dir {
			return catalogue.ErrNoParent
		}
		if err := q.may(q.path, false, true); err != nil {
			return err
		}
	case err != nil:
		return err
	}
	if free, _ := q.t.back.Space(q.t.volume); q.r.ContentLength > free {
		return answer(http.StatusInsufficientStorage, "%d bytes are free", free)
	}
	objects, size, err := q.t.write(q.r.Context(), q.r.Body, q.r.ContentLength, q.breath)
	if err != nil {
		return err
	}
	got, created, freed, err := q.t.cat.Put(q.path, q.r.Header.Get("Content-Type"), size, objects, q.matches)
	if err != nil {
		q.t.free([]catalogue.Freed{{Objects: objects}})
		return err
	}
	q.t.free(freed)
	q.w.Header().Set("ETag", etag(got))
	q.done(created)
	return nil
}

// done answers a change: 201 where the name is new.
func (q *request) done(created bool) {
	if created {
		q.w.WriteHeader(http.StatusCreated)
	} else {
		q.w.WriteHeader(http.StatusNoContent)
	}
}

// noBody refuses a body where none has a meaning.
func (q *request) noBody() error {
	if n, _ := io.CopyN(io.Discard, q.r.Body, 1); n > 0 {
		return answer(http.StatusUnsupportedMediaType, "a body has no meaning here")
	}
	return nil
}

func (q *request) mkcol() error {
	if err := q.noBody(); err != nil {
		return err
	}
	if err := q.preconditions(); err != nil {
		return err
	}
	if err := q.may(q.path, false, true); err != nil {
		return err
	}
	err := q.t.cat.Mkdir(q.path)
	if errors.Is(err, catalogue.ErrExists) {
		q.allow()
		return answer(http.StatusMethodNotAllowed, "the name is taken")
	}
	if err == nil {
		q.w.WriteHeader(http.StatusCreated)
	}
	return err
}

func (q *request) delete() error {
	if d := q.r.Header.Get("Depth"); d != "" && d != "infinity" {
		return answer(http.StatusBadRequest, "a folder goes with all that is in it")
	}
	if err := q.preconditions(); err != nil {
		return err
	}
	if err := q.may(q.path, true, true); err != nil {
		return err
	}
	freed, err := q.t.cat.Delete(q.path)
	if err != nil {
		return err
	}
	q.t.free(freed)
	q.dropLocks(q.path)
	q.w.WriteHeader(http.StatusNoContent)
	return nil
}

// dropLocks takes away the locks of a name that is gone. One that cannot be is over in its time.
func (q *request) dropLocks(name string) {
	if _, err := q.t.cat.ChangeLocks(func(_ int64, t *locks.Table) (*locks.Lock, []string, error) { return nil, t.Drop(clean(name)), nil }); err != nil {
		q.l.s.log.Sugar().Warnw("locks of a name that is gone", "error", err)
	}
}

// destination reads the header of COPY and MOVE.
func (q *request) destination() (string, error) {
	u, err := url.Parse(q.r.Header.Get("Destination"))
	if err != nil || u.Path == "" || strings.Contains(strings.ToLower(u.EscapedPath()), "%2f") {
		return "", answer(http.StatusBadRequest, "Destination is no URL")
	}
	if u.Host != "" && u.Host != q.r.Host {
		return "", answer(http.StatusBadGateway, "Destination is on another server")
	}
	t, name, ok := q.l.find(u.Path)
	if !ok || t != q.t {
		return "", answer(http.StatusBadGateway, "Destination is in another tree")
	}
	_, err = catalogue.Split(name)
	return name, err
}

func (q *request) copyMove() error {
	to, err := q.destination()
	if err != nil {
		return err
	}
	overwrite := true
	switch q.r.Header.Get("Overwrite") {
	case "", "T":
	case "F":
		overwrite = false
	default:
		return answer(http.StatusBadRequest, "Overwrite is T or F")
	}
	depth := q.r.Header.Get("Depth")
	move := q.r.Method == "MOVE"
	if depth != "" && depth != "infinity" && (depth != "0" || move) {
		return answer(http.StatusBadRequest, "Depth %q", depth)
	}
	if err := q.preconditions(); err != nil {
		return err
	}
	if clean(to) == clean(q.path) {
		return answer(http.StatusForbidden, "source and destination are the same")
	}
	if err := q.may(to, true, true); err != nil {
		return err
	}
	var created bool
	var freed []catalogue.Freed
	if move {
		if err := q.may(q.path, true, true); err != nil {
			return err
		}
		created, freed, err = q.t.cat.Move(q.path, to, overwrite)
	} else {
		created, freed, err = q.copy(to, overwrite, depth != "0")
	}
	if err != nil {
		return err
	}
	q.t.free(freed)
	if move {
		q.dropLocks(q.path)
	}
	if !created {
		q.dropLocks(to)
	}
	q.done(created)
	return nil
}

// copy makes new objects of a file's, or of all files' of a folder, out of sight, and puts the whole in its place at once.
func (q *request) copy(to string, overwrite, deep bool) (created bool, freed []catalogue.Freed, err error) {
	if !overwrite {
		if _, err := q.t.cat.Get(to); err == nil {
			return false, nil, catalogue.ErrExists
		}
	}
	src, err := q.t.cat.Get(q.path)
	if err != nil {
		return false, nil, err
	}
	if src.Dir && (strings.HasPrefix(clean(to)+"/", strings.TrimSuffix(clean(q.path), "/")+"/") || strings.HasPrefix(clean(q.path)+"/", strings.TrimSuffix(clean(to), "/")+"/")) {
		return false, nil, catalogue.ErrInside
	}
	first, err := q.duplicate(q.path, src)
	if err != nil {
		return false, nil, err
	}
	tree, err := q.t.cat.NewTree(first)
	if err != nil {
		q.t.free([]catalogue.Freed{{Objects: first.Objects}})
		return false, nil, err
	}
	defer func() {
		if err != nil {
			gone, derr := tree.Drop()
			q.t.free(gone)
			err = errors.Join(err, derr)
		}
	}()
	type level struct {
		path    string
		id, new uint64
	}
	for todo := []level{{clean(q.path), src.ID, tree.Root()}}; src.Dir && deep && len(todo) > 0; {
		at := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for after := ""; ; {
			list, err := q.t.cat.List(at.id, after, 256)
			if err != nil {
				return false, nil, err
			}
			for _, c := range list {
				q.breath()
				name := path.Join(at.path, c.Name)
				e, err := q.duplicate(name, &c.Entry)
				if errors.Is(err, catalogue.ErrNotFound) {
					continue // it went meanwhile
				}
				if err != nil {
					return false, nil, err
				}
				id, err := tree.Add(at.new, c.Name, e)
				if err != nil {
					q.t.free([]catalogue.Freed{{Objects: e.Objects}})
					return false, nil, err
				}
				if c.Dir {
					todo = append(todo, level{name, c.ID, id})
				}
				after = c.Name
			}
			if len(list) < 256 {
				break
			}
		}
	}
	return tree.Link(to, overwrite)
}

// duplicate writes a file's bytes anew.
func (q *request) duplicate(name string, e *catalogue.Entry) (catalogue.Entry, error) {
	out := catalogue.Entry{Dir: e.Dir, Type: e.Type, Props: e.Props}
	if e.Dir {
		return out, nil
	}
	e, err := q.t.open(name)
	if err != nil {
		return out, err
	}
	ctx, cancel := context.WithCancel(q.r.Context())
	r := &reader{ctx: ctx, t: q.t, e: e}
	defer r.Close()
	defer cancel()
	out.Objects, out.Size, err = q.t.write(q.r.Context(), r, e.Size, func() {})
	if r.err != nil {
		err = r.err // and not as if the client's body were at fault
	}
	return out, err
}

// ---- locks ----

func newToken() string {
	var b [16]byte
	rand.Read(b[:])
	b[6], b[8] = b[6]&0x0f|0x40, b[8]&0x3f|0x80
	h := hex.EncodeToString(b[:])
	return "urn:uuid:" + h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}

// seconds reads a Timeout header; 0: not given.
func seconds(h string) int64 {
	for _, t := range strings.Split(h, ",") {
		switch t = strings.TrimSpace(t); {
		case strings.EqualFold(t, "Infinite"):
			return locks.MaxTimeoutSeconds
		case strings.HasPrefix(t, "Second-"):
			if n, err := strconv.ParseInt(t[7:], 10, 64); err == nil && n > 0 {
				return min(n, locks.MaxTimeoutSeconds)
			}
		}
	}
	return 0
}

func (q *request) lock() error {
	info, err := readLockInfo(q.r.Body)
	if err != nil {
		return answer(http.StatusBadRequest, "%v", err)
	}
	if err := q.preconditions(); err != nil {
		return err
	}
	name := clean(q.path)
	if info == nil { // a refresh
		if len(q.tokens) != 1 {
			return answer(http.StatusBadRequest, "a refresh shows one token in its If header")
		}
		l, err := q.t.cat.ChangeLocks(func(now int64, t *locks.Table) (*locks.Lock, []string, error) {
			l, err := t.Refresh(now, name, q.tokens[0], q.user, seconds(q.r.Header.Get("Timeout")))
			return l, nil, err
		})
		if err != nil {
			return err
		}
		return q.sendLock(http.StatusOK, &l)
	}
	deep := true
	switch q.r.Header.Get("Depth") {
	case "", "infinity":
	case "0":
		deep = false
	default:
		return answer(http.StatusBadRequest, "a lock's depth is 0 or infinity")
	}
	_, err = q.t.cat.Get(q.path)
	created := errors.Is(err, catalogue.ErrNotFound)
	if err != nil && !created {
		return err
	}
	if created { // a lock on a name that is free makes an empty file
		if err := q.may(q.path, false, true); err != nil {
			return err
		}
	}
	l, err := q.t.cat.ChangeLocks(func(now int64, t *locks.Table) (*locks.Lock, []string, error) {
		l, err := t.Grant(now, locks.Lock{Token: newToken(), Root: name, Deep: deep, Shared: info.shared, Owner: info.owner, User: q.user, Length: seconds(q.r.Header.Get("Timeout"))})
		return l, nil, err
	})
	if err != nil {
		return err
	}
	if created {
		_, _, freed, err := q.t.cat.Put(q.path, "", 0, nil, func(e *catalogue.Entry) error {
			if e != nil {
				return catalogue.ErrExists
			}
			return nil
		})
		q.t.free(freed)
		if created = err == nil; err != nil && !errors.Is(err, catalogue.ErrExists) {
			q.dropLocks(name)
			return err
		}
	}
	q.w.Header().Set("Lock-Token", "<"+l.Token+">")
	code := http.StatusOK
	if created {
		code = http.StatusCreated
	}
	return q.sendLock(code, &l)
}

func (q *request) unlock() error {
	token := q.r.Header.Get("Lock-Token")
	if len(token) < 3 || token[0] != '<' || token[len(token)-1] != '>' {
		return answer(http.StatusBadRequest, "Lock-Token names no lock")
	}
	token = token[1 : len(token)-1]
	if _, err := q.t.cat.ChangeLocks(func(now int64, t *locks.Table) (*locks.Lock, []string, error) {
		return nil, []string{token}, t.Unlock(now, clean(q.path), token, q.user)
	}); err != nil {
		if errors.Is(err, locks.ErrUnknown) {
			return answer(http.StatusConflict, "%v", err)
		}
		return err
	}
	q.w.WriteHeader(http.StatusNoContent)
	return nil
}
