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

// Limits of the XML in a request. The decoder rejects entities that XML does not predefine, so none can be expanded or
// fetched.
const (
	maxXMLBytes  = 256 << 10
	maxXMLTokens = 20_000
	maxXMLDepth  = 64

	maxRequestedProps     = 256 // properties named in a PROPFIND
	maxRequestedPropBytes = 16 << 10
)

const davNamespace = "DAV:"

// xmlName is the expanded name of an element.
type xmlName struct{ namespace, local string }

// element is an XML element of a request's body.
type element struct {
	xmlName
	attrs    []xml.Attr
	children []*element
	innerXML []byte // content as XML that declares all its namespaces
}

var errXML = errors.New("dav: the body is no XML that this method takes")

// readXML parses a body and returns its root element, nil if the body is empty.
func readXML(r io.Reader) (*element, error) {
	d := xml.NewDecoder(io.LimitReader(r, maxXMLBytes+1))
	var stack []*element
	var root *element
	nameBytes := 0 // limits the output, where standalone repeats the namespace at every name
	for n := 0; ; n++ {
		t, err := d.Token()
		if err == io.EOF && len(stack) == 0 {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %v", errXML, err)
		}
		if n > maxXMLTokens || d.InputOffset() > maxXMLBytes {
			return nil, fmt.Errorf("%w: it is too large", errXML)
		}
		switch t := t.(type) {
		case xml.StartElement:
			el := &element{xmlName: xmlName{t.Name.Space, t.Name.Local}, attrs: slices.Clone(t.Attr)}
			nameBytes += len(t.Name.Space) + len(t.Name.Local)
			for _, a := range t.Attr {
				nameBytes += len(a.Name.Space) + len(a.Name.Local)
			}
			if nameBytes > maxXMLBytes {
				return nil, fmt.Errorf("%w: its names are too long", errXML)
			}
			if len(stack) >= maxXMLDepth || len(stack) == 0 && root != nil {
				return nil, fmt.Errorf("%w: it is too deep, or has two roots", errXML)
			}
			if len(stack) > 0 {
				parent := stack[len(stack)-1]
				parent.children = append(parent.children, el)
			} else {
				root = el
			}
			stack = append(stack, el)
		case xml.EndElement:
			el := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			if len(stack) > 0 {
				parent := stack[len(stack)-1]
				parent.innerXML = append(parent.innerXML, el.standalone()...)
			}
		case xml.CharData:
			if len(stack) > 0 {
				el := stack[len(stack)-1]
				el.innerXML = append(el.innerXML, escape(string(t))...)
			}
		case xml.Directive:
			return nil, fmt.Errorf("%w: it has a document type", errXML)
		}
	}
	return root, nil
}

// escape escapes s for use in XML text or an attribute.
func escape(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s))
	return b.String()
}

// standalone returns the element as XML that is valid on its own: every element declares its namespace.
func (n *element) standalone() string {
	var b strings.Builder
	b.WriteString("<" + n.local + ` xmlns="` + escape(n.namespace) + `"`)
	prefixes := 0
	for _, a := range n.attrs {
		switch {
		case a.Name.Local == "xmlns" || a.Name.Space == "xmlns":
		case a.Name.Space == "":
			b.WriteString(" " + a.Name.Local + `="` + escape(a.Value) + `"`)
		case a.Name.Space == "http://www.w3.org/XML/1998/namespace" || a.Name.Space == "xml":
			b.WriteString(" xml:" + a.Name.Local + `="` + escape(a.Value) + `"`)
		default:
			fmt.Fprintf(&b, ` xmlns:a%d="%s" a%d:%s="%s"`, prefixes, escape(a.Name.Space), prefixes, a.Name.Local, escape(a.Value))
			prefixes++
		}
	}
	if len(n.innerXML) == 0 {
		return b.String() + "/>"
	}
	return b.String() + ">" + string(n.innerXML) + "</" + n.local + ">"
}

// child returns the first child element with a name in the DAV: namespace, nil if there is none.
func (n *element) child(local string) *element {
	for _, c := range n.children {
		if c.namespace == davNamespace && c.local == local {
			return c
		}
	}
	return nil
}

// ---- properties ----

// liveProps are the properties that the server maintains, in the order of an allprop answer.
var liveProps = []string{"creationdate", "getcontentlength", "getcontenttype", "getetag", "getlastmodified", "resourcetype", "supportedlock", "lockdiscovery"}

// quotaProps are returned only if they are requested by name (RFC 4331).
var quotaProps = []string{"quota-available-bytes", "quota-used-bytes"}

// liveValue returns the value of a live property as XML, and false if the entry does not have it.
func (q *request) liveValue(p string, href string, e *catalogue.Entry) (string, bool) {
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
		q.tree.cat.Locks(func(now int64, t *locks.Table) {
			t.ForEachCovering(now, cleanPath(href), false, func(l *locks.Lock) bool {
				b.WriteString(q.activeLockXML(now, l))
				return true
			})
		})
		return b.String(), true
	case "quota-available-bytes":
		free, _ := q.tree.backend.Space(q.tree.volume)
		return fmt.Sprint(free), e.Dir
	case "quota-used-bytes":
		_, used := q.tree.backend.Space(q.tree.volume)
		return fmt.Sprint(used), e.Dir
	}
	return "", false
}

// activeLockXML returns the activelock element of a lock.
func (q *request) activeLockXML(now int64, l *locks.Lock) string {
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
	// Showing the token to others is safe (RFC 4918, section 6.4): only the user that it was granted to can use it.
	token := "<D:locktoken><D:href>" + escape(l.Token) + "</D:href></D:locktoken>"
	return fmt.Sprintf(`<D:activelock><D:locktype><D:write/></D:locktype><D:lockscope><D:%s/></D:lockscope><D:depth>%s</D:depth>%s<D:timeout>Second-%d</D:timeout>%s<D:lockroot><D:href>%s</D:href></D:lockroot></D:activelock>`,
		scope, depth, owner, max(l.Expires-now, 0), token, q.href(l.Root, false))
}

// href returns the URL path of a name, escaped for XML. The path of a folder ends with a slash.
func (q *request) href(p string, dir bool) string {
	u := url.URL{Path: q.tree.prefix + cleanPath(p)}
	if cleanPath(p) == "/" {
		u.Path = q.tree.prefix + "/"
	} else if dir {
		u.Path += "/"
	}
	return escape(u.EscapedPath())
}

// multiStatus writes a 207 (Multi-Status) answer piece by piece.
type multiStatus struct {
	request *request
	w       *bufio.Writer
	count   int
}

// startMultiStatus writes the header and the start of a 207 answer.
func (q *request) startMultiStatus() *multiStatus {
	q.w.Header().Set("Content-Type", `application/xml; charset="utf-8"`)
	q.w.WriteHeader(http.StatusMultiStatus)
	m := &multiStatus{request: q, w: bufio.NewWriterSize(q.w, 32<<10)}
	m.w.WriteString(xml.Header + `<D:multistatus xmlns:D="DAV:">`)
	return m
}

// finish writes the end of the answer.
func (m *multiStatus) finish() error {
	m.w.WriteString("</D:multistatus>")
	return m.w.Flush()
}

// propstat returns a propstat element for properties that share a status, "" if there are none.
func propstat(props string, code int) string {
	if props == "" {
		return ""
	}
	return fmt.Sprintf("<D:propstat><D:prop>%s</D:prop><D:status>HTTP/1.1 %d %s</D:status></D:propstat>", props, code, http.StatusText(code))
}

// emptyElement returns an element with this name and no content.
func (n xmlName) emptyElement() string {
	if n.namespace == davNamespace {
		return "<D:" + n.local + "/>"
	}
	return "<" + n.local + ` xmlns="` + escape(n.namespace) + `"/>`
}

// propfindRequest is the content of a PROPFIND request.
type propfindRequest struct {
	namesOnly bool // propname: names without values
	all       bool
	requested []xmlName // with all: in addition (include)
}

// readPropfind parses the body of a PROPFIND. An empty body requests all properties.
func readPropfind(r io.Reader) (a propfindRequest, err error) {
	x, err := readXML(r)
	if err != nil {
		return a, err
	}
	if x == nil {
		return propfindRequest{all: true}, nil
	}
	if x.namespace != davNamespace || x.local != "propfind" {
		return a, errXML
	}
	forms, nameBytes := 0, 0
	for _, c := range x.children {
		if c.namespace != davNamespace {
			continue
		}
		switch c.local {
		case "propname":
			a.namesOnly = true
			forms++
		case "allprop":
			a.all = true
			forms++
		case "prop":
			forms++
			fallthrough
		case "include":
			for _, p := range c.children {
				a.requested = append(a.requested, p.xmlName)
				nameBytes += len(p.namespace) + len(p.local)
			}
		}
	}
	if forms != 1 || len(a.requested) > maxRequestedProps || nameBytes > maxRequestedPropBytes { // repeated for every entry of a folder
		return a, errXML
	}
	return a, nil
}

// writeEntry writes the response element of one entry.
func (m *multiStatus) writeEntry(a *propfindRequest, p string, e *catalogue.Entry) error {
	q := m.request
	var found, missing strings.Builder
	writeLive := func(local string) bool {
		v, ok := q.liveValue(local, p, e)
		if ok && a.namesOnly {
			found.WriteString("<D:" + local + "/>")
		} else if ok {
			found.WriteString("<D:" + local + ">" + v + "</D:" + local + ">")
		}
		return ok
	}
	writeDead := func(d *catalogue.Prop) {
		if a.namesOnly {
			found.WriteString(xmlName{d.Space, d.Name}.emptyElement())
		} else {
			found.WriteString(d.XML)
		}
	}
	if a.namesOnly || a.all {
		for _, l := range liveProps {
			writeLive(l)
		}
		for i := range e.Props {
			writeDead(&e.Props[i])
		}
	}
	for _, n := range a.requested {
		if n.namespace == davNamespace && (slices.Contains(liveProps, n.local) || slices.Contains(quotaProps, n.local)) {
			if a.all && slices.Contains(liveProps, n.local) {
				continue
			}
			if writeLive(n.local) {
				continue
			}
		} else if i := slices.IndexFunc(e.Props, func(d catalogue.Prop) bool { return d.Space == n.namespace && d.Name == n.local }); i >= 0 {
			if !a.all {
				writeDead(&e.Props[i])
			}
			continue
		}
		missing.WriteString(n.emptyElement())
	}
	propstats := propstat(found.String(), 200) + propstat(missing.String(), 404)
	if propstats == "" {
		propstats = "<D:propstat><D:prop/><D:status>HTTP/1.1 200 OK</D:status></D:propstat>"
	}
	if m.count++; m.count%256 == 0 {
		q.extendDeadlines()
	}
	_, err := m.w.WriteString("<D:response><D:href>" + q.href(p, e.Dir) + "</D:href>" + propstats + "</D:response>")
	return err
}

func (q *request) propfind() error {
	a, err := readPropfind(q.r.Body)
	if err != nil {
		return failf(http.StatusBadRequest, "%v", err)
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
		return failf(http.StatusBadRequest, "Depth %q", depth)
	}
	e, err := q.tree.cat.Get(q.path)
	if err != nil {
		return err
	}
	m := q.startMultiStatus()
	if err := m.writeEntry(&a, q.path, e); err != nil {
		panic(http.ErrAbortHandler)
	}
	for after := ""; depth == "1" && e.Dir; {
		list, err := q.tree.cat.List(e.ID, after, 512)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for i := range list {
			if err := m.writeEntry(&a, path.Join(cleanPath(q.path), list[i].Name), &list[i].Entry); err != nil {
				panic(http.ErrAbortHandler)
			}
			after = list[i].Name
		}
		if len(list) < 512 {
			break
		}
	}
	if m.finish() != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (q *request) proppatch() error {
	x, err := readXML(q.r.Body)
	if err != nil || x == nil || x.namespace != davNamespace || x.local != "propertyupdate" {
		return failf(http.StatusBadRequest, "%v", errors.Join(errXML, err))
	}
	if err := q.checkPreconditions(); err != nil {
		return err
	}
	if err := q.checkLocks(q.path, false, false); err != nil {
		return err
	}
	var set, remove []catalogue.Prop
	var names, protected []xmlName
	sameName := func(n xmlName) func(catalogue.Prop) bool {
		return func(p catalogue.Prop) bool { return p.Space == n.namespace && p.Name == n.local }
	}
	for _, c := range x.children {
		props := c.child("prop")
		if c.namespace != davNamespace || props == nil || c.local != "set" && c.local != "remove" {
			continue
		}
		for _, p := range props.children { // in document order: a later change of a property overrides an earlier one
			names = append(names, p.xmlName)
			if p.namespace == davNamespace && (slices.Contains(liveProps, p.local) || slices.Contains(quotaProps, p.local)) {
				protected = append(protected, p.xmlName)
				continue
			}
			set, remove = slices.DeleteFunc(set, sameName(p.xmlName)), slices.DeleteFunc(remove, sameName(p.xmlName))
			if c.local == "set" {
				set = append(set, catalogue.Prop{Space: p.namespace, Name: p.local, XML: p.standalone()})
			} else {
				remove = append(remove, catalogue.Prop{Space: p.namespace, Name: p.local})
			}
		}
	}
	code := http.StatusOK
	if len(protected) == 0 {
		if err := q.tree.cat.SetProps(q.path, set, remove); errors.Is(err, catalogue.ErrTooLarge) {
			code = http.StatusInsufficientStorage
		} else if err != nil {
			return err
		}
	} else { // all changes or none
		code = http.StatusFailedDependency
	}
	e, err := q.tree.cat.Get(q.path)
	if err != nil {
		return err
	}
	var others, forbidden strings.Builder
	for _, n := range names {
		if slices.Contains(protected, n) {
			forbidden.WriteString(n.emptyElement())
		} else {
			others.WriteString(n.emptyElement())
		}
	}
	m := q.startMultiStatus()
	m.w.WriteString("<D:response><D:href>" + q.href(q.path, e.Dir) + "</D:href>" + propstat(others.String(), code) + propstat(forbidden.String(), http.StatusForbidden) + "</D:response>")
	m.finish()
	return nil
}

// ---- locks ----

// lockInfo is the content of a LOCK request.
type lockInfo struct {
	shared bool
	owner  string
}

// readLockInfo parses the body of a LOCK. It returns nil for an empty body, which requests a refresh.
func readLockInfo(r io.Reader) (*lockInfo, error) {
	x, err := readXML(r)
	if err != nil || x == nil {
		return nil, err
	}
	scope, kind := x.child("lockscope"), x.child("locktype")
	if x.namespace != davNamespace || x.local != "lockinfo" || scope == nil || kind == nil || kind.child("write") == nil {
		return nil, errXML
	}
	info := &lockInfo{shared: scope.child("shared") != nil}
	if info.shared == (scope.child("exclusive") != nil) {
		return nil, errXML
	}
	if o := x.child("owner"); o != nil {
		info.owner = string(o.innerXML)
	}
	return info, nil
}

// sendLock answers a LOCK with the granted or refreshed lock.
func (q *request) sendLock(code int, l *locks.Lock) error {
	q.w.Header().Set("Content-Type", `application/xml; charset="utf-8"`)
	q.w.WriteHeader(code)
	_, err := io.WriteString(q.w, xml.Header+`<D:prop xmlns:D="DAV:"><D:lockdiscovery>`+q.activeLockXML(l.Expires-l.Length, l)+`</D:lockdiscovery></D:prop>`)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
