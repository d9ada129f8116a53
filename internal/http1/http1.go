// Package http1 is a codec of HTTP/1.1 messages for both sides of a connection (RFC 9112). It reads a message whole
// or not at all, takes nothing that two readers could frame differently, and holds no more than its bounds. It knows
// the layout of messages and decides nothing.
package http1

import (
	"bytes"
	"fmt"
	"io"
)

// Bounds of a message. A head that is longer, or has more fields, is refused; so is a body.
const (
	MaxHead   = 8 << 10
	MaxFields = 64
	MaxBody   = 64 << 10
	// maxInterim answers of the 1xx kind before the one that counts are skipped.
	maxInterim = 8
	firstSize  = 1 << 10 // of a reader's buffer
	// KeepSize: a buffer that had to grow beyond this is given up after its message, so what is longer stands as long
	// as anybody holds it.
	KeepSize = 8 << 10
)

// Error says what cannot be read; Status is what a server answers to it.
type Error struct {
	Status int
	What   string
}

func (e *Error) Error() string { return e.What }

func bad(status int, format string, a ...any) error {
	return &Error{status, fmt.Sprintf(format, a...)}
}

// Field is one line of a head.
type Field struct{ Name, Value []byte }

// Message is a message that was read. What it holds belongs to its reader and stands until the next one is read.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of an answer
	Fields         []Field
	Body           []byte
	Close          bool // the sender ends the connection after it
	ToEnd          bool // the body of an answer lasts until then, as nothing else tells its length

	length int64 // of the body; below zero: in chunks
}

// Get is the value of the only field of that name, given in lower case; nil where there is none, or several.
func (m *Message) Get(name string) []byte {
	v, n := m.find(name)
	if n != 1 {
		return nil
	}
	return v
}

// Count tells how many fields have that name, given in lower case.
func (m *Message) Count(name string) int {
	_, n := m.find(name)
	return n
}

func (m *Message) find(name string) (v []byte, n int) {
	for i := range m.Fields {
		if equalFold(m.Fields[i].Name, name) {
			v = m.Fields[i].Value
			n++
		}
	}
	return v, n
}

// equalFold compares with a name in lower case.
func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// Reader reads messages from one connection.
type Reader struct {
	// Grant is asked for room before a body beyond KeepSize is read; nil: there is room.
	Grant func(n int) bool

	src io.Reader
	buf []byte // buf[:len] was read; the message at hand begins at 0
	pos int    // what is behind the message at hand begins here
}

// NewReader reads from src.
func NewReader(src io.Reader) *Reader { return &Reader{src: src, buf: make([]byte, 0, firstSize)} }

// Buffered is how many bytes have come after the message at hand.
func (r *Reader) Buffered() int { return len(r.buf) - r.pos }

// Wait returns when bytes stand behind the message at hand, or with the error that ended the connection. The message
// stays as it is.
func (r *Reader) Wait() error {
	for r.Buffered() == 0 {
		if cap(r.buf)-len(r.buf) < 128 || cap(r.buf) > KeepSize {
			// The message's slices keep the old array, and a peer that says nothing holds little.
			r.buf, r.pos = make([]byte, 0, firstSize), 0
		}
		if err := r.read(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) read() error {
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// more reads on; the buffer grows up to most bytes.
func (r *Reader) more(most int) error {
	if len(r.buf) == cap(r.buf) {
		if len(r.buf) >= most {
			return io.ErrShortBuffer
		}
		grown := make([]byte, len(r.buf), min(2*cap(r.buf), most))
		copy(grown, r.buf)
		r.buf = grown
	}
	return r.read()
}

// begin drops the message at hand.
func (r *Reader) begin() {
	rest := r.buf[r.pos:]
	if r.pos == 0 {
		return
	}
	if cap(r.buf) > KeepSize && len(rest) <= firstSize {
		r.buf = append(make([]byte, 0, firstSize), rest...)
	} else {
		r.buf = r.buf[:copy(r.buf, rest)]
	}
	r.pos = 0
}

// Request reads the next request. An [*Error] says that what came is none; any other error ended the connection.
func (r *Reader) Request(m *Message) error {
	r.begin()
	head, err := r.head()
	if err != nil {
		return err
	}
	if err := m.request(head); err != nil {
		return err
	}
	return r.body(m, len(head))
}

// Answer reads the next answer whole, past those of the 1xx kind.
func (r *Reader) Answer(m *Message) error {
	if err := r.AnswerHead(m); err != nil {
		return err
	}
	return r.body(m, r.pos)
}

// AnswerHead reads the head of the next answer; what is behind it is left to [Reader.Body].
func (r *Reader) AnswerHead(m *Message) error {
	for i := 0; ; i++ {
		r.begin()
		head, err := r.head()
		if err != nil {
			return err
		}
		if err := m.answer(head); err != nil {
			return err
		}
		r.pos = len(head)
		if m.Status >= 200 {
			return nil
		}
		if m.Status == 101 || i >= maxInterim {
			return bad(502, "too many interim answers, or one that changes the protocol")
		}
	}
}

// head reads up to the empty line. What cannot be part of a head ends it at once.
func (r *Reader) head() ([]byte, error) {
	line := 0 // where the line at hand begins
	for i := 0; ; i++ {
		for i >= len(r.buf) {
			if i >= MaxHead {
				return nil, bad(431, "the head is longer than %d bytes", MaxHead)
			}
			if err := r.more(MaxHead); err != nil {
				if err == io.EOF && i > 0 {
					err = io.ErrUnexpectedEOF
				}
				return nil, err
			}
		}
		switch c := r.buf[i]; {
		case c == '\n':
			if i == line || r.buf[i-1] != '\r' {
				return nil, bad(400, "a line of the head ends without CR")
			}
			if i == line+1 {
				if line == 0 {
					return nil, bad(400, "the head is empty")
				}
				return r.buf[:i+1], nil
			}
			line = i + 1
		case i > line && r.buf[i-1] == '\r':
			return nil, bad(400, "a CR within a line of the head")
		case c == '\r' || c == '\t' || c >= 0x20 && c < 0x7f:
		default:
			return nil, bad(400, "byte %#x in the head", c)
		}
	}
}

func (m *Message) request(head []byte) error {
	line, rest, _ := bytes.Cut(head, crlf)
	method, line, ok1 := bytes.Cut(line, space)
	target, version, ok2 := bytes.Cut(line, space)
	if !ok1 || !ok2 || !token(method) || len(target) == 0 || target[0] != '/' || bytes.IndexByte(target, '\t') >= 0 {
		return bad(400, "the request line cannot be read")
	}
	if string(version) != "HTTP/1.1" {
		return bad(505, "the version is not HTTP/1.1")
	}
	m.Method, m.Target, m.Status = method, target, 0
	if err := m.fields(rest); err != nil {
		return err
	}
	if m.Count("host") != 1 {
		return bad(400, "there must be one Host")
	}
	return m.frame(true)
}

func (m *Message) answer(head []byte) error {
	line, rest, _ := bytes.Cut(head, crlf)
	const start = "HTTP/1.1 "
	if len(line) < len(start)+3 || string(line[:len(start)]) != start || len(line) > len(start)+3 && line[len(start)+3] != ' ' {
		return bad(502, "the status line cannot be read")
	}
	m.Method, m.Target, m.Status = nil, nil, 0
	for _, c := range line[len(start) : len(start)+3] {
		if c < '0' || c > '9' {
			return bad(502, "the status line cannot be read")
		}
		m.Status = m.Status*10 + int(c-'0')
	}
	if m.Status < 100 || m.Status > 599 {
		return bad(502, "status %d", m.Status)
	}
	if err := m.fields(rest); err != nil {
		return err
	}
	return m.frame(false)
}

var crlf, space = []byte("\r\n"), []byte(" ")

func (m *Message) fields(b []byte) error {
	m.Fields = m.Fields[:0]
	for len(b) > 2 {
		line, rest, _ := bytes.Cut(b, crlf)
		b = rest
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !token(name) { // a folded line begins with a space, so it has no name
			return bad(400, "a field without a name, or folded")
		}
		if len(m.Fields) == MaxFields {
			return bad(431, "more than %d fields", MaxFields)
		}
		m.Fields = append(m.Fields, Field{name, bytes.Trim(value, " \t")})
	}
	return nil
}

// frame finds how long the body is.
func (m *Message) frame(request bool) error {
	m.Close, m.ToEnd, m.length, m.Body = false, false, 0, nil
	lengths, codings := 0, 0
	for i := range m.Fields {
		switch f := &m.Fields[i]; {
		case equalFold(f.Name, "content-length"):
			lengths++
			if m.length = Digits(f.Value); m.length < 0 {
				return bad(400, "Content-Length cannot be read")
			}
		case equalFold(f.Name, "transfer-encoding"):
			codings++
			if !equalFold(f.Value, "chunked") {
				return bad(400, "Transfer-Encoding is not chunked alone")
			}
		case equalFold(f.Name, "connection"):
			for part := range bytes.SplitSeq(f.Value, []byte(",")) {
				m.Close = m.Close || equalFold(bytes.Trim(part, " \t"), "close")
			}
		}
	}
	switch {
	case lengths+codings > 1:
		return bad(400, "several lengths, or one beside Transfer-Encoding")
	case codings == 1:
		m.length = -1
	case !request && (m.Status < 200 || m.Status == 204 || m.Status == 304):
		if m.length != 0 {
			return bad(502, "status %d with a body", m.Status)
		}
	case !request && lengths == 0:
		m.Close, m.ToEnd = true, true
	}
	return nil
}

// Digits reads a whole number that is written in digits alone; below zero: it is none, or beyond all bounds.
func Digits(b []byte) int64 {
	if len(b) == 0 || len(b) > 18 {
		return -1
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return -1
		}
		n = n*10 + int64(c-'0')
	}
	return n
}

func token(b []byte) bool {
	for _, c := range b {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

// body reads the body that begins at the given place of the buffer, in place.
func (r *Reader) body(m *Message, at int) error {
	if m.ToEnd {
		return r.toEnd(m, at)
	}
	if m.length >= 0 {
		if m.length > MaxBody {
			return bad(413, "a body of %d bytes, more than %d", m.length, MaxBody)
		}
		if err := r.room(int(m.length)); err != nil {
			return err
		}
		end := at + int(m.length)
		if m.length > KeepSize && cap(r.buf) < end {
			r.buf = append(make([]byte, 0, end), r.buf...)
		}
		for len(r.buf) < end {
			if err := r.more(end); err != nil {
				return unexpected(err)
			}
		}
		m.Body, r.pos = r.buf[at:end:end], end
		return nil
	}
	// Of chunks the data is moved together behind the head; what is not read yet stands from pos on.
	end := at
	r.pos = at
	for {
		n, err := r.chunk(end)
		if err != nil {
			return err
		}
		if n == 0 {
			m.Body = r.buf[at:end:end]
			return nil
		}
		if end-at+n > MaxBody {
			return bad(413, "the body is longer than %d bytes", MaxBody)
		}
		if end-at <= KeepSize && end-at+n > KeepSize {
			if err := r.room(MaxBody); err != nil {
				return err
			}
		}
		for n > 0 {
			if r.Buffered() == 0 {
				if err := r.compact(end); err != nil {
					return err
				}
				continue
			}
			k := copy(r.buf[end:], r.buf[r.pos:min(r.pos+n, len(r.buf))])
			end, r.pos, n = end+k, r.pos+k, n-k
		}
		if err := r.expect(end, crlf); err != nil {
			return err
		}
	}
}

// toEnd reads a body that lasts until its sender has ended the connection; one that breaks is none.
func (r *Reader) toEnd(m *Message, at int) error {
	granted := false
	for {
		n := len(r.buf) - at
		if n > MaxBody {
			return bad(413, "the body is longer than %d bytes", MaxBody)
		}
		if n > KeepSize && !granted {
			if err := r.room(MaxBody); err != nil {
				return err
			}
			granted = true
		}
		if err := r.more(at + MaxBody + 1); err == io.EOF {
			m.Body, r.pos = r.buf[at:len(r.buf):len(r.buf)], len(r.buf)
			return nil
		} else if err != nil {
			return err
		}
	}
}

// room asks for what a body needs beyond what every reader may hold.
func (r *Reader) room(n int) error {
	if n > KeepSize && r.Grant != nil && !r.Grant(n) {
		return bad(503, "no room for a body of %d bytes", n)
	}
	return nil
}

// compact moves what is not read yet down to end, and reads on.
func (r *Reader) compact(end int) error {
	r.buf = r.buf[:end+copy(r.buf[end:], r.buf[r.pos:])]
	r.pos = end
	return unexpected(r.more(MaxHead + MaxBody + 64))
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunk reads the line before a chunk's data; 0: the last one, with the empty trailer behind it.
func (r *Reader) chunk(end int) (n int, err error) {
	for digits := 0; ; digits++ {
		for r.Buffered() == 0 {
			if err := r.compact(end); err != nil {
				return 0, err
			}
		}
		d := hex(r.buf[r.pos])
		if d < 0 || digits == 8 {
			if digits == 0 || digits == 8 {
				return 0, bad(400, "the size of a chunk cannot be read")
			}
			break
		}
		n = n<<4 | d
		r.pos++
	}
	if err := r.expect(end, crlf); err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, r.expect(end, crlf)
	}
	return n, nil
}

func (r *Reader) expect(end int, want []byte) error {
	for _, c := range want {
		for r.Buffered() == 0 {
			if err := r.compact(end); err != nil {
				return err
			}
		}
		if r.buf[r.pos] != c {
			return bad(400, "a chunk does not end where it should")
		}
		r.pos++
	}
	return nil
}

func hex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// Body streams the body of the answer whose head was read last.
func (r *Reader) Body(m *Message) io.Reader {
	return &stream{r: r, left: m.length, chunks: m.length < 0, toEnd: m.ToEnd}
}

type stream struct {
	r      *Reader
	left   int64 // of the chunk at hand, or the body
	chunks bool
	toEnd  bool
	begun  bool
	ended  bool
}

func (s *stream) Read(p []byte) (int, error) {
	r := s.r
	if s.chunks && s.left <= 0 && !s.ended {
		if s.begun {
			if err := r.expect(0, crlf); err != nil {
				return 0, err
			}
		}
		s.begun = true
		n, err := r.chunk(0)
		if err != nil {
			return 0, err
		}
		s.left, s.ended = int64(n), n == 0
	}
	if s.toEnd {
		s.left = int64(len(p))
	}
	if s.left <= 0 {
		return 0, io.EOF
	}
	for r.Buffered() == 0 {
		if err := r.compact(0); err != nil {
			if s.toEnd && err == io.ErrUnexpectedEOF {
				err = io.EOF
			}
			return 0, err
		}
	}
	n := copy(p[:min(int64(len(p)), s.left)], r.buf[r.pos:])
	r.pos += n
	s.left -= int64(n)
	return n, nil
}
