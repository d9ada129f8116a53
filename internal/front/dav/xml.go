package dav

import (
	"bufio"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"

	"appleplank/internal/catalogue"
	"appleplank/locks"
)

// Bounds of a request's XML. Entities that are not XML's own are an error of the decoder, so none can grow or be fetched.
const (
	mostXML    = 256 << 10
	mostTokens = 20_000
	mostNested = 64

	mostWanted      = 256 // properties of a PROPFIND
	mostWantedBytes = 16 << 10
)

const davSpace = "DAV:"

type name struct{ space, local string }

// node is an element: what the bodies of requests are read into.
type node struct {
	name
	attrs    []xml.Attr
	children []*node
	inner    []byte // its content as XML that stands by itself
}

var errXML = errors.New("dav: the body is no XML that this method takes")

// readXML reads a body; nil where it is empty.
func readXML(r io.Reader) (*node, error) {
	d := xml.NewDecoder(io.LimitReader(r, mostXML+1))
	var stack []*node
	var top *node
	names := 0 // bytes: a long space that is declared once stands at every name that we write
	for n := 0; ; n++ {
		t, err := d.Token()
		if err == io.EOF && len(stack) == 0 {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %v", errXML, err)
		}
		if n > mostTokens || d.InputOffset() > mostXML {
			return nil, fmt.Errorf("%w: it is too large", errXML)
		}
		switch t := t.(type) {
		case xml.StartElement:
			x := &node{name: name{t.Name.Space, t.Name.Local}, attrs: slices.Clone(t.Attr)}
			names += len(t.Name.Space) + len(t.Name.Local)
			for _, a := range t.Attr {
				names += len(a.Name.Space) + len(a.Name.Local)
			}
			if names > mostXML {
				return nil, fmt.Errorf("%w: its names are too long", errXML)
			}
			if len(stack) >= mostNested || len(stack) == 0 && top != nil {
				return nil, fmt.Errorf("%w: it is too deep, or has two roots", errXML)
			}
			if len(stack) > 0 {
				up := stack[len(stack)-1]
				up.children = append(up.children, x)
			} else {
				top = x
			}
			stack = append(stack, x)
		case xml.EndElement:
			x := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			if len(stack) > 0 {
				up := stack[len(stack)-1]
				up.inner = append(up.inner, x.raw()...)
			}
		case xml.CharData:
			if len(stack) > 0 {
				x := stack[len(stack)-1]
				x.inner = append(x.inner, escape(string(t))...)
			}
		case xml.Directive:
			return nil, fmt.Errorf("%w: it has a document type", errXML)
		}
	}
	return top, nil
}

func escape(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s))
	return b.String()
}

// raw is an element as XML that stands by itself: every name with its space.
func (n *node) raw() string {
	var b strings.Builder
	b.WriteString("<" + n.local + ` xmlns="` + escape(n.space) + `"`)
	spaces := 0
	for _, a := range n.attrs {
		switch {
		case a.Name.Local == "xmlns" || a.Name.Space == "xmlns":
		case a.Name.Space == "":
			b.WriteString(" " + a.Name.Local + `="` + escape(a.Value) + `"`)
		case a.Name.Space == "http://www.w3.org/XML/1998/namespace" || a.Name.Space == "xml":
			b.WriteString(" xml:" + a.Name.Local + `="` + escape(a.Value) + `"`)
		default:
			fmt.Fprintf(&b, ` xmlns:a%d="%s" a%d:%s="%s"`, spaces, escape(a.Name.Space), spaces, a.Name.Local, escape(a.Value))
			spaces++
		}
	}
	if len(n.inner) == 0 {
		return b.String() + "/>"
	}
	return b.String() + ">" + string(n.inner) + "</" + n.local + ">"
}

func (n *node) child(local string) *node {
	for _, c := range n.children {
		if c.space == davSpace && c.local == local {
			return c
		}
	}
	return nil
}

// ---- properties ----

// live are the properties that the server keeps, in the order of allprop.
var live = []string{"creationdate", "getcontentlength", "getcontenttype", "getetag", "getlastmodified", "resourcetype", "supportedlock", "lockdiscovery"}

// quota are given only when they are asked for (RFC 4331).
var quota = []string{"quota-available-bytes", "quota-used-bytes"}

// value is a live property's content; false where the entry has none.
func (q *request) value(p string, href string, e *catalogue.Entry) (string, bool) {
	switch p {
	case "creationdate":
		return time.Unix(0, e.Created).UTC().Format("2006-01-02T15:04:05Z"), true
	case "getlastmodified":
		return time.Unix(0, e.Modified).UTC().Format(http.TimeFormat), true
	case "getcontentlength":
		return fmt.Sprint(e.Size), !e.Dir
	case "getcontenttype":
		return escape(contentType(href, e)), !e.Dir
	case "getetag":
		return escape(etag(e)), !e.Dir
	case "resourcetype":
		if e.Dir {
			return `<D:collection/>`, true
		}
		return "", true
	case "supportedlock":
		const entry = `<D:lockentry><D:lockscope><D:%s/></D:lockscope><D:locktype><D:write/></D:locktype></D:lockentry>`
		return fmt.Sprintf(entry+entry, "exclusive", "shared"), true
	case "lockdiscovery":
		var b strings.Builder
		q.t.cat.Locks(func(now int64, t *locks.Table) {
			t.ForEachCovering(now, clean(href), false, func(l *locks.Lock) bool {
				b.WriteString(q.activeLock(now, l))
				return true
			})
		})
		return b.String(), true
	case "quota-available-bytes":
		free, _ := q.t.back.Space(q.t.volume)
		return fmt.Sprint(free), e.Dir
	case "quota-used-bytes":
		_, used := q.t.back.Space(q.t.volume)
		return fmt.Sprint(used), e.Dir
	}
	return "", false
}

func (q *request) activeLock(now int64, l *locks.Lock) string {
	scope, depth := "exclusive", "0"
	if l.Shared {
		scope = "shared"
	}
	if l.Deep {
		depth = "infinity"
	}
	owner := ""
	if l.Owner != "" {
		owner = "<D:owner>" + l.Owner + "</D:owner>"
	}
	// RFC 4918, 6.4: whoever sees the token still must be the user it was given to.
	token := "<D:locktoken><D:href>" + escape(l.Token) + "</D:href></D:locktoken>"
	return fmt.Sprintf(`<D:activelock><D:locktype><D:write/></D:locktype><D:lockscope><D:%s/></D:lockscope><D:depth>%s</D:depth>%s<D:timeout>Second-%d</D:timeout>%s<D:lockroot><D:href>%s</D:href></D:lockroot></D:activelock>`,
		scope, depth, owner, max(l.Expires-now, 0), token, q.href(l.Root, false))
}

// href is the URL path of a name.
func (q *request) href(p string, dir bool) string {
	u := url.URL{Path: q.t.prefix + clean(p)}
	if clean(p) == "/" {
		u.Path = q.t.prefix + "/"
	} else if dir {
		u.Path += "/"
	}
	return escape(u.EscapedPath())
}

// multi writes a 207 bit by bit.
type multi struct {
	q *request
	w *bufio.Writer
	n int
}

func (q *request) multi() *multi {
	q.w.Header().Set("Content-Type", `application/xml; charset="utf-8"`)
	q.w.WriteHeader(http.StatusMultiStatus)
	m := &multi{q: q, w: bufio.NewWriterSize(q.w, 32<<10)}
	m.w.WriteString(xml.Header + `<D:multistatus xmlns:D="DAV:">`)
	return m
}

func (m *multi) end() error {
	m.w.WriteString("</D:multistatus>")
	return m.w.Flush()
}

func propstat(props string, code int) string {
	if props == "" {
		return ""
	}
	return fmt.Sprintf("<D:propstat><D:prop>%s</D:prop><D:status>HTTP/1.1 %d %s</D:status></D:propstat>", props, code, http.StatusText(code))
}

func (n name) empty() string {
	if n.space == davSpace {
		return "<D:" + n.local + "/>"
	}
	return "<" + n.local + ` xmlns="` + escape(n.space) + `"/>`
}

// ask is what a PROPFIND wants.
type ask struct {
	names  bool // only which there are
	all    bool
	wanted []name // with all: besides
}

func readPropfind(r io.Reader) (a ask, err error) {
	x, err := readXML(r)
	if err != nil {
		return a, err
	}
	if x == nil {
		return ask{all: true}, nil
	}
	if x.space != davSpace || x.local != "propfind" {
		return a, errXML
	}
	forms, size := 0, 0
	for _, c := range x.children {
		if c.space != davSpace {
			continue
		}
		switch c.local {
		case "propname":
			a.names = true
			forms++
		case "allprop":
			a.all = true
			forms++
		case "prop":
			forms++
			fallthrough
		case "include":
			for _, p := range c.children {
				a.wanted = append(a.wanted, p.name)
				size += len(p.space) + len(p.local)
			}
		}
	}
	if forms != 1 || len(a.wanted) > mostWanted || size > mostWantedBytes { // they are answered for every entry of a folder
		return a, errXML
	}
	return a, nil
}

// one writes what is asked of one entry.
func (m *multi) one(a *ask, p string, e *catalogue.Entry) error {
	q := m.q
	var found, missing strings.Builder
	give := func(local string) bool {
		v, ok := q.value(local, p, e)
		if ok && a.names {
			found.WriteString("<D:" + local + "/>")
		} else if ok {
			found.WriteString("<D:" + local + ">" + v + "</D:" + local + ">")
		}
		return ok
	}
	dead := func(d *catalogue.Prop) {
		if a.names {
			found.WriteString(name{d.Space, d.Name}.empty())
		} else {
			found.WriteString(d.XML)
		}
	}
	if a.names || a.all {
		for _, l := range live {
			give(l)
		}
		for i := range e.Props {
			dead(&e.Props[i])
		}
	}
	for _, n := range a.wanted {
		if n.space == davSpace && (slices.Contains(live, n.local) || slices.Contains(quota, n.local)) {
			if a.all && slices.Contains(live, n.local) {
				continue
			}
			if give(n.local) {
				continue
			}
		} else if i := slices.IndexFunc(e.Props, func(d catalogue.Prop) bool { return d.Space == n.space && d.Name == n.local }); i >= 0 {
			if !a.all {
				dead(&e.Props[i])
			}
			continue
		}
		missing.WriteString(n.empty())
	}
	stats := propstat(found.String(), 200) + propstat(missing.String(), 404)
	if stats == "" {
		stats = "<D:propstat><D:prop/><D:status>HTTP/1.1 200 OK</D:status></D:propstat>"
	}
	if m.n++; m.n%256 == 0 {
		q.breath()
	}
	_, err := m.w.WriteString("<D:response><D:href>" + q.href(p, e.Dir) + "</D:href>" + stats + "</D:response>")
	return err
}

func (q *request) propfind() error {
	a, err := readPropfind(q.r.Body)
	if err != nil {
		return answer(http.StatusBadRequest, "%v", err)
	}
	depth := q.r.Header.Get("Depth")
	switch depth {
	case "0", "1":
	case "", "infinity":
		q.w.Header().Set("Content-Type", `application/xml; charset="utf-8"`)
		q.w.WriteHeader(http.StatusForbidden)
		io.WriteString(q.w, xml.Header+`<D:error xmlns:D="DAV:"><D:propfind-finite-depth/></D:error>`)
		return nil
	default:
		return answer(http.StatusBadRequest, "Depth %q", depth)
	}
	e, err := q.t.cat.Get(q.path)
	if err != nil {
		return err
	}
	m := q.multi()
	if err := m.one(&a, q.path, e); err != nil {
		panic(http.ErrAbortHandler)
	}
	for after := ""; depth == "1" && e.Dir; {
		list, err := q.t.cat.List(e.ID, after, 512)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for i := range list {
			if err := m.one(&a, path.Join(clean(q.path), list[i].Name), &list[i].Entry); err != nil {
				panic(http.ErrAbortHandler)
			}
			after = list[i].Name
		}
		if len(list) < 512 {
			break
		}
	}
	if m.end() != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (q *request) proppatch() error {
	x, err := readXML(q.r.Body)
	if err != nil || x == nil || x.space != davSpace || x.local != "propertyupdate" {
		return answer(http.StatusBadRequest, "%v", errors.Join(errXML, err))
	}
	if err := q.preconditions(); err != nil {
		return err
	}
	if err := q.may(q.path, false, false); err != nil {
		return err
	}
	var set, remove []catalogue.Prop
	var all, protected []name
	same := func(n name) func(catalogue.Prop) bool {
		return func(p catalogue.Prop) bool { return p.Space == n.space && p.Name == n.local }
	}
	for _, c := range x.children {
		ps := c.child("prop")
		if c.space != davSpace || ps == nil || c.local != "set" && c.local != "remove" {
			continue
		}
		for _, p := range ps.children { // in the order they stand in: a later one undoes an earlier
			all = append(all, p.name)
			if p.space == davSpace && (slices.Contains(live, p.local) || slices.Contains(quota, p.local)) {
				protected = append(protected, p.name)
				continue
			}
			set, remove = slices.DeleteFunc(set, same(p.name)), slices.DeleteFunc(remove, same(p.name))
			if c.local == "set" {
				set = append(set, catalogue.Prop{Space: p.space, Name: p.local, XML: p.raw()})
			} else {
				remove = append(remove, catalogue.Prop{Space: p.space, Name: p.local})
			}
		}
	}
	code := http.StatusOK
	if len(protected) == 0 {
		if err := q.t.cat.SetProps(q.path, set, remove); errors.Is(err, catalogue.ErrTooLarge) {
			code = http.StatusInsufficientStorage
		} else if err != nil {
			return err
		}
	} else { // all or none
		code = http.StatusFailedDependency
	}
	e, err := q.t.cat.Get(q.path)
	if err != nil {
		return err
	}
	var rest, bad strings.Builder
	for _, n := range all {
		if slices.Contains(protected, n) {
			bad.WriteString(n.empty())
		} else {
			rest.WriteString(n.empty())
		}
	}
	m := q.multi()
	m.w.WriteString("<D:response><D:href>" + q.href(q.path, e.Dir) + "</D:href>" + propstat(rest.String(), code) + propstat(bad.String(), http.StatusForbidden) + "</D:response>")
	m.end()
	return nil
}

// ---- locks ----

type lockInfo struct {
	shared bool
	owner  string
}

// readLockInfo reads a LOCK's body; nil where it is empty: a refresh.
func readLockInfo(r io.Reader) (*lockInfo, error) {
	x, err := readXML(r)
	if err != nil || x == nil {
		return nil, err
	}
	scope, kind := x.child("lockscope"), x.child("locktype")
	if x.space != davSpace || x.local != "lockinfo" || scope == nil || kind == nil || kind.child("write") == nil {
		return nil, errXML
	}
	info := &lockInfo{shared: scope.child("shared") != nil}
	if info.shared == (scope.child("exclusive") != nil) {
		return nil, errXML
	}
	if o := x.child("owner"); o != nil {
		info.owner = string(o.inner)
	}
	return info, nil
}

func (q *request) sendLock(code int, l *locks.Lock) error {
	q.w.Header().Set("Content-Type", `application/xml; charset="utf-8"`)
	q.w.WriteHeader(code)
	_, err := io.WriteString(q.w, xml.Header+`<D:prop xmlns:D="DAV:"><D:lockdiscovery>`+q.activeLock(l.Expires-l.Length, l)+`</D:lockdiscovery></D:prop>`)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
