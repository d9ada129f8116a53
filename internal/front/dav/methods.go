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

// request is an HTTP request in progress.
type request struct {
	listener   *listener
	tree       *tree
	w          http.ResponseWriter
	r          *http.Request
	user       string
	path       string
	tokens     []string // lock tokens that the client submitted
	controller *http.ResponseController
}

// methodHandlers maps an HTTP method to its handler. It is set by init.
var methodHandlers map[string]func(*request) error

func init() {
	methodHandlers = map[string]func(*request) error{
		"OPTIONS": (*request).options, "GET": (*request).get, "HEAD": (*request).get, "PUT": (*request).put, "DELETE": (*request).delete,
		"MKCOL": (*request).mkcol, "COPY": (*request).copyMove, "MOVE": (*request).copyMove, "PROPFIND": (*request).propfind,
		"PROPPATCH": (*request).proppatch, "LOCK": (*request).lock, "UNLOCK": (*request).unlock,
	}
}

// httpErr is an error with the status code and the body of its answer.
type httpErr struct {
	code int
	text string
}

func (s *httpErr) Error() string { return s.text }

// failf returns an httpErr with a formatted text.
func failf(code int, format string, a ...any) error { return &httpErr{code, fmt.Sprintf(format, a...)} }

// writeError answers the request with the status and text for an error. An answer for [block.Refused] promises that the
// request had no effect.
func (q *request) writeError(err error) {
	var s *httpErr
	var op *OpError
	var body *bodyError
	code, text := http.StatusInternalServerError, "the catalogue cannot be used"
	switch {
	case errors.As(err, &s):
		code, text = s.code, s.text
	case errors.As(err, &body), q.r.Context().Err() != nil:
		panic(http.ErrAbortHandler) // the client has disconnected, or its body was cut short
	case errors.As(err, &op) && op.NoSpace:
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
		q.listener.server.log.Sugar().Errorw("request failed", "method", q.r.Method, "path", q.path, "error", err)
	}
	http.Error(q.w, text, code)
}

// extendDeadlines gives the client another ioTimeout to send or receive the next part of a body.
func (q *request) extendDeadlines() {
	deadline := time.Now().Add(ioTimeout)
	q.controller.SetReadDeadline(deadline)
	q.controller.SetWriteDeadline(deadline)
}

// setAllowHeaders sets the headers that list the supported methods and WebDAV classes.
func (q *request) setAllowHeaders() {
	q.w.Header().Set("DAV", "1, 2")
	q.w.Header().Set("MS-Author-Via", "DAV")
	q.w.Header().Set("Allow", "OPTIONS, GET, HEAD, PUT, DELETE, MKCOL, COPY, MOVE, PROPFIND, PROPPATCH, LOCK, UNLOCK")
}

func (q *request) options() error {
	q.setAllowHeaders()
	q.w.WriteHeader(http.StatusOK)
	return nil
}

// etag returns the entity tag of an entry's content.
func etag(e *catalogue.Entry) string { return fmt.Sprintf(`"%x-%x"`, e.ID, e.Version) }

// contentType returns the stored content type of an entry, or one derived from the extension of its name.
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

// checkPreconditions evaluates the If header, collects the lock tokens that it submits, and checks the conditional
// headers of RFC 9110 for a change.
func (q *request) checkPreconditions() error {
	if h := q.r.Header.Get("If"); h != "" {
		lists, err := parseIfHeader(h)
		if err != nil {
			return failf(http.StatusBadRequest, "%v", err)
		}
		anyHolds := false
		for _, l := range lists {
			holds, err := q.evaluateIfList(l)
			if err != nil {
				return err
			}
			anyHolds = anyHolds || holds
			for _, c := range l.conditions {
				if c.token != "" && !c.negated {
					q.tokens = append(q.tokens, c.token)
				}
			}
		}
		if !anyHolds {
			return failf(http.StatusPreconditionFailed, "no list of the If header holds")
		}
	}
	e, err := q.tree.cat.Get(q.path)
	if errors.Is(err, catalogue.ErrNotFound) {
		e, err = nil, nil
	}
	if err != nil {
		return err
	}
	return q.checkConditionalHeaders(e)
}

// checkConditionalHeaders checks If-Match, If-None-Match and If-Unmodified-Since against an entry; e is nil if the name
// does not exist.
func (q *request) checkConditionalHeaders(e *catalogue.Entry) error {
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
		return failf(http.StatusPreconditionFailed, "If-Match does not hold")
	}
	if h := q.r.Header.Get("If-None-Match"); h != "" && has(h, true) {
		return failf(http.StatusPreconditionFailed, "If-None-Match does not hold")
	}
	if h := q.r.Header.Get("If-Unmodified-Since"); h != "" && q.r.Header.Get("If-Match") == "" && e != nil {
		if t, err := http.ParseTime(h); err == nil && time.Unix(0, e.Modified).Truncate(time.Second).After(t) {
			return failf(http.StatusPreconditionFailed, "modified since")
		}
	}
	return nil
}

// evaluateIfList reports whether all conditions of a list hold. A list for a resource of another tree does not hold.
func (q *request) evaluateIfList(l ifList) (bool, error) {
	name := q.path
	if l.resource != "" {
		u, err := url.Parse(l.resource)
		if err != nil {
			return false, failf(http.StatusBadRequest, "%v", errIfHeader)
		}
		t, rest, ok := q.listener.findTree(u.Path)
		if !ok || t != q.tree {
			return false, nil
		}
		name = rest
	}
	name = cleanPath(name)
	for _, c := range l.conditions {
		holds := false
		if c.token != "" {
			q.tree.cat.Locks(func(now int64, t *locks.Table) { holds = t.Holds(now, name, c.token) })
		} else {
			e, err := q.tree.cat.Get(name)
			if err != nil && !errors.Is(err, catalogue.ErrNotFound) {
				return false, err
			}
			holds = err == nil && !e.Dir && etag(e) == c.etag
		}
		if holds == c.negated {
			return false, nil
		}
	}
	return true, nil
}

// cleanPath returns a path in the form that the lock table uses: without trailing or repeated slashes.
func cleanPath(p string) string { return path.Clean("/" + p) }

// checkLocks checks that the user may change a name under the current locks; recursive includes everything below it.
// changesParent is set if the name is created or deleted: this changes its folder, whose locks are checked too.
func (q *request) checkLocks(name string, recursive, changesParent bool) (err error) {
	name = cleanPath(name)
	q.tree.cat.Locks(func(now int64, t *locks.Table) {
		if err = t.CheckAccess(now, name, recursive, q.user, q.tokens); err == nil && changesParent && name != "/" {
			err = t.CheckAccess(now, path.Dir(name), false, q.user, q.tokens)
		}
	})
	return err
}

// ---- reading ----

// deferredHeaderWriter holds back the header until the first bytes of the body are available, so that a failure of the
// first read can still be answered with its own status. After a later failure the connection is aborted.
type deferredHeaderWriter struct {
	http.ResponseWriter
	request     *request
	code        int
	wroteHeader bool
}

// WriteHeader implements [http.ResponseWriter].
func (w *deferredHeaderWriter) WriteHeader(code int) { w.code = code }

// Write implements [http.ResponseWriter].
func (w *deferredHeaderWriter) Write(b []byte) (int, error) {
	w.flushHeader()
	w.request.extendDeadlines()
	return w.ResponseWriter.Write(b)
}

// flushHeader writes the header unless it is already written.
func (w *deferredHeaderWriter) flushHeader() {
	if !w.wroteHeader {
		w.wroteHeader = true
		w.ResponseWriter.WriteHeader(max(w.code, http.StatusOK))
	}
}

func (q *request) get() error {
	e, err := q.tree.open(q.path)
	if err != nil {
		return err
	}
	if e.Dir {
		q.tree.release(e)
		q.setAllowHeaders()
		return failf(http.StatusMethodNotAllowed, "it is a folder; PROPFIND lists it")
	}
	ctx, cancel := context.WithCancel(q.r.Context())
	r := &reader{ctx: ctx, tree: q.tree, entry: e}
	defer r.Close()
	defer cancel()
	h := q.w.Header()
	h.Set("ETag", etag(e))
	h.Set("Content-Type", contentType(q.path, e))
	w := &deferredHeaderWriter{ResponseWriter: q.w, request: q}
	http.ServeContent(w, q.r, "", time.Unix(0, e.Modified), r)
	if r.err != nil {
		if w.wroteHeader { // the status is already sent
			panic(http.ErrAbortHandler)
		}
		for _, k := range []string{"Content-Length", "Content-Range", "Content-Type", "ETag", "Last-Modified", "Accept-Ranges"} {
			h.Del(k)
		}
		return r.err
	}
	w.flushHeader()
	return nil
}

// ---- changing ----

func (q *request) put() error {
	if q.r.Header.Get("Content-Range") != "" {
		return failf(http.StatusBadRequest, "a part cannot be put")
	}
	if err := q.checkPreconditions(); err != nil {
		return err
	}
	if err := q.checkLocks(q.path, false, false); err != nil {
		return err
	}
	// Reports what is already known to fail before the body is read.
	e, err := q.tree.cat.Get(q.path)
	switch {
	case err == nil && e.Dir || strings.HasSuffix(q.path, "/"):
		return catalogue.ErrIsDir
	case errors.Is(err, catalogue.ErrNotFound):
		if p, parentErr := q.tree.cat.Get(path.Dir(cleanPath(q.path))); parentErr != nil || !p.Dir {
			return catalogue.ErrNoParent
		}
		if err := q.checkLocks(q.path, false, true); err != nil {
			return err
		}
	case err != nil:
		return err
	}
	if free, _ := q.tree.backend.Space(q.tree.volume); q.r.ContentLength > free {
		return failf(http.StatusInsufficientStorage, "%d bytes are free", free)
	}
	objects, size, err := q.tree.write(q.r.Context(), q.r.Body, q.r.ContentLength, q.extendDeadlines)
	if err != nil {
		return err
	}
	got, created, freed, err := q.tree.cat.Put(q.path, q.r.Header.Get("Content-Type"), size, objects, q.checkConditionalHeaders)
	if err != nil {
		q.tree.freeObjects([]catalogue.Freed{{Objects: objects}})
		return err
	}
	q.tree.freeObjects(freed)
	q.w.Header().Set("ETag", etag(got))
	q.writeChangeStatus(created)
	return nil
}

// writeChangeStatus answers a change with 201 if it created the name, otherwise with 204.
func (q *request) writeChangeStatus(created bool) {
	if created {
		q.w.WriteHeader(http.StatusCreated)
	} else {
		q.w.WriteHeader(http.StatusNoContent)
	}
}

// rejectBody returns an error if the request has a body. It is for methods that define none.
func (q *request) rejectBody() error {
	if n, _ := io.CopyN(io.Discard, q.r.Body, 1); n > 0 {
		return failf(http.StatusUnsupportedMediaType, "a body has no meaning here")
	}
	return nil
}

func (q *request) mkcol() error {
	if err := q.rejectBody(); err != nil {
		return err
	}
	if err := q.checkPreconditions(); err != nil {
		return err
	}
	if err := q.checkLocks(q.path, false, true); err != nil {
		return err
	}
	err := q.tree.cat.Mkdir(q.path)
	if errors.Is(err, catalogue.ErrExists) {
		q.setAllowHeaders()
		return failf(http.StatusMethodNotAllowed, "the name is taken")
	}
	if err == nil {
		q.w.WriteHeader(http.StatusCreated)
	}
	return err
}

func (q *request) delete() error {
	if d := q.r.Header.Get("Depth"); d != "" && d != "infinity" {
		return failf(http.StatusBadRequest, "a folder goes with all that is in it")
	}
	if err := q.checkPreconditions(); err != nil {
		return err
	}
	if err := q.checkLocks(q.path, true, true); err != nil {
		return err
	}
	freed, err := q.tree.cat.Delete(q.path)
	if err != nil {
		return err
	}
	q.tree.freeObjects(freed)
	q.removeLocks(q.path)
	q.w.WriteHeader(http.StatusNoContent)
	return nil
}

// removeLocks removes the locks of a deleted name and of everything below it. If that fails, they expire.
func (q *request) removeLocks(name string) {
	if _, err := q.tree.cat.ChangeLocks(func(_ int64, t *locks.Table) (*locks.Lock, []string, error) { return nil, t.Drop(cleanPath(name)), nil }); err != nil {
		q.listener.server.log.Sugar().Warnw("the locks of a deleted name cannot be removed", "error", err)
	}
}

// destination returns the path in the Destination header of a COPY or MOVE. It must lie in the same tree.
func (q *request) destination() (string, error) {
	u, err := url.Parse(q.r.Header.Get("Destination"))
	if err != nil || u.Path == "" || strings.Contains(strings.ToLower(u.EscapedPath()), "%2f") {
		return "", failf(http.StatusBadRequest, "Destination is no URL")
	}
	if u.Host != "" && u.Host != q.r.Host {
		return "", failf(http.StatusBadGateway, "Destination is on another server")
	}
	t, name, ok := q.listener.findTree(u.Path)
	if !ok || t != q.tree {
		return "", failf(http.StatusBadGateway, "Destination is in another tree")
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
		return failf(http.StatusBadRequest, "Overwrite is T or F")
	}
	depth := q.r.Header.Get("Depth")
	move := q.r.Method == "MOVE"
	if depth != "" && depth != "infinity" && (depth != "0" || move) {
		return failf(http.StatusBadRequest, "Depth %q", depth)
	}
	if err := q.checkPreconditions(); err != nil {
		return err
	}
	if cleanPath(to) == cleanPath(q.path) {
		return failf(http.StatusForbidden, "source and destination are the same")
	}
	if err := q.checkLocks(to, true, true); err != nil {
		return err
	}
	var created bool
	var freed []catalogue.Freed
	if move {
		if err := q.checkLocks(q.path, true, true); err != nil {
			return err
		}
		created, freed, err = q.tree.cat.Move(q.path, to, overwrite)
	} else {
		created, freed, err = q.copyTree(to, overwrite, depth != "0")
	}
	if err != nil {
		return err
	}
	q.tree.freeObjects(freed)
	if move {
		q.removeLocks(q.path)
	}
	if !created {
		q.removeLocks(to)
	}
	q.writeChangeStatus(created)
	return nil
}

// copyTree copies a file, or a folder with its contents if deep is set, to new objects. The copy stays invisible until
// it is complete and then takes its place atomically.
func (q *request) copyTree(to string, overwrite, deep bool) (created bool, freed []catalogue.Freed, err error) {
	if !overwrite {
		if _, err := q.tree.cat.Get(to); err == nil {
			return false, nil, catalogue.ErrExists
		}
	}
	src, err := q.tree.cat.Get(q.path)
	if err != nil {
		return false, nil, err
	}
	if src.Dir && (strings.HasPrefix(cleanPath(to)+"/", strings.TrimSuffix(cleanPath(q.path), "/")+"/") || strings.HasPrefix(cleanPath(q.path)+"/", strings.TrimSuffix(cleanPath(to), "/")+"/")) {
		return false, nil, catalogue.ErrInside
	}
	first, err := q.copyContent(q.path, src)
	if err != nil {
		return false, nil, err
	}
	tree, err := q.tree.cat.NewTree(first)
	if err != nil {
		q.tree.freeObjects([]catalogue.Freed{{Objects: first.Objects}})
		return false, nil, err
	}
	defer func() {
		if err != nil {
			freedObjects, dropErr := tree.Drop()
			q.tree.freeObjects(freedObjects)
			err = errors.Join(err, dropErr)
		}
	}()
	type pendingFolder struct {
		path    string
		id, new uint64
	}
	for pending := []pendingFolder{{cleanPath(q.path), src.ID, tree.Root()}}; src.Dir && deep && len(pending) > 0; {
		folder := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for after := ""; ; {
			list, err := q.tree.cat.List(folder.id, after, 256)
			if err != nil {
				return false, nil, err
			}
			for _, c := range list {
				q.extendDeadlines()
				name := path.Join(folder.path, c.Name)
				e, err := q.copyContent(name, &c.Entry)
				if errors.Is(err, catalogue.ErrNotFound) {
					continue // deleted since it was listed
				}
				if err != nil {
					return false, nil, err
				}
				id, err := tree.Add(folder.new, c.Name, e)
				if err != nil {
					q.tree.freeObjects([]catalogue.Freed{{Objects: e.Objects}})
					return false, nil, err
				}
				if c.Dir {
					pending = append(pending, pendingFolder{name, c.ID, id})
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

// copyContent copies the bytes of a file to new objects and returns an entry for them. For a folder it copies no
// content.
func (q *request) copyContent(name string, e *catalogue.Entry) (catalogue.Entry, error) {
	out := catalogue.Entry{Dir: e.Dir, Type: e.Type, Props: e.Props}
	if e.Dir {
		return out, nil
	}
	e, err := q.tree.open(name)
	if err != nil {
		return out, err
	}
	ctx, cancel := context.WithCancel(q.r.Context())
	r := &reader{ctx: ctx, tree: q.tree, entry: e}
	defer r.Close()
	defer cancel()
	out.Objects, out.Size, err = q.tree.write(q.r.Context(), r, e.Size, func() {})
	if r.err != nil {
		err = r.err // not a bodyError, which blames the client
	}
	return out, err
}

// ---- locks ----

// newToken returns a lock token: a random UUID (version 4) as a URN.
func newToken() string {
	var b [16]byte
	rand.Read(b[:])
	b[6], b[8] = b[6]&0x0f|0x40, b[8]&0x3f|0x80
	h := hex.EncodeToString(b[:])
	return "urn:uuid:" + h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}

// parseTimeout returns the first usable timeout of a Timeout header in seconds, 0 if there is none.
func parseTimeout(h string) int64 {
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
		return failf(http.StatusBadRequest, "%v", err)
	}
	if err := q.checkPreconditions(); err != nil {
		return err
	}
	name := cleanPath(q.path)
	if info == nil { // a refresh
		if len(q.tokens) != 1 {
			return failf(http.StatusBadRequest, "a refresh shows one token in its If header")
		}
		l, err := q.tree.cat.ChangeLocks(func(now int64, t *locks.Table) (*locks.Lock, []string, error) {
			l, err := t.Refresh(now, name, q.tokens[0], q.user, parseTimeout(q.r.Header.Get("Timeout")))
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
		return failf(http.StatusBadRequest, "a lock's depth is 0 or infinity")
	}
	_, err = q.tree.cat.Get(q.path)
	created := errors.Is(err, catalogue.ErrNotFound)
	if err != nil && !created {
		return err
	}
	if created { // a LOCK of an unused name creates an empty file
		if err := q.checkLocks(q.path, false, true); err != nil {
			return err
		}
	}
	l, err := q.tree.cat.ChangeLocks(func(now int64, t *locks.Table) (*locks.Lock, []string, error) {
		l, err := t.Grant(now, locks.Lock{Token: newToken(), Root: name, Deep: deep, Shared: info.shared, Owner: info.owner, User: q.user, Length: parseTimeout(q.r.Header.Get("Timeout"))})
		return l, nil, err
	})
	if err != nil {
		return err
	}
	if created {
		_, _, freed, err := q.tree.cat.Put(q.path, "", 0, nil, func(e *catalogue.Entry) error {
			if e != nil {
				return catalogue.ErrExists
			}
			return nil
		})
		q.tree.freeObjects(freed)
		if created = err == nil; err != nil && !errors.Is(err, catalogue.ErrExists) {
			q.removeLocks(name)
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
		return failf(http.StatusBadRequest, "Lock-Token names no lock")
	}
	token = token[1 : len(token)-1]
	if _, err := q.tree.cat.ChangeLocks(func(now int64, t *locks.Table) (*locks.Lock, []string, error) {
		return nil, []string{token}, t.Unlock(now, cleanPath(q.path), token, q.user)
	}); err != nil {
		if errors.Is(err, locks.ErrUnknown) {
			return failf(http.StatusConflict, "%v", err)
		}
		return err
	}
	q.w.WriteHeader(http.StatusNoContent)
	return nil
}
