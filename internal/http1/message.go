package http1

import (
	"bytes"
)

// Field is a header field.
type Field struct{ Name, Value []byte }

// Message is a message that was read. Its slices belong to the reader and are valid until the next message is read.
type Message struct {
	Method, Target []byte // of a request only
	Status         int    // of an answer only
	Fields         []Field
	Body           []byte
	Close          bool // the sender closes the connection after the message
	UntilClose     bool // the body of the answer ends with the connection, as its length is not specified

	bodyLength int64 // negative: chunked
}

// Reset forgets the contents of the message, so that it keeps no memory of the reader's.
func (m *Message) Reset() {
	fields := m.Fields
	clear(fields)
	if cap(fields) > maxKeptFields {
		fields = nil
	}
	*m = Message{Fields: fields[:0]}
}

// maxKeptFields is the number of fields for which a message keeps room.
const maxKeptFields = 16

// Get returns the value of the only field with a name, given in lower case. It returns nil for none or several fields.
func (m *Message) Get(name string) []byte {
	v, n := m.find(name)
	if n != 1 {
		return nil
	}
	return v
}

// Count returns the number of fields with a name, given in lower case.
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

// equalFold compares b with a lower-case name, ignoring the case of b.
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

func (m *Message) parseRequest(head []byte) error {
	line, rest, _ := bytes.Cut(head, crlf)
	method, line, ok1 := bytes.Cut(line, space)
	target, version, ok2 := bytes.Cut(line, space)
	if !ok1 || !ok2 || !isToken(method) || len(target) == 0 || target[0] != '/' || bytes.IndexByte(target, '\t') >= 0 {
		return newError(400, "the request line cannot be read")
	}
	if string(version) != "HTTP/1.1" {
		return newError(505, "the version is not HTTP/1.1")
	}
	m.Method, m.Target, m.Status = method, target, 0
	if err := m.parseFields(rest); err != nil {
		return err
	}
	if m.Count("host") != 1 {
		return newError(400, "there must be one Host")
	}
	return m.parseFraming(true)
}

func (m *Message) parseAnswer(head []byte) error {
	line, rest, _ := bytes.Cut(head, crlf)
	const start = "HTTP/1.1 "
	if len(line) < len(start)+3 || string(line[:len(start)]) != start || len(line) > len(start)+3 && line[len(start)+3] != ' ' {
		return newError(502, "the status line cannot be read")
	}
	m.Method, m.Target, m.Status = nil, nil, 0
	for _, c := range line[len(start) : len(start)+3] {
		if c < '0' || c > '9' {
			return newError(502, "the status line cannot be read")
		}
		m.Status = m.Status*10 + int(c-'0')
	}
	if m.Status < 100 || m.Status > 599 {
		return newError(502, "status %d", m.Status)
	}
	if err := m.parseFields(rest); err != nil {
		return err
	}
	return m.parseFraming(false)
}

var crlf, space = []byte("\r\n"), []byte(" ")

func (m *Message) parseFields(b []byte) error {
	m.Fields = m.Fields[:0]
	for len(b) > 2 {
		line, rest, _ := bytes.Cut(b, crlf)
		b = rest
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) { // a folded line begins with white space, so it has no valid name
			return newError(400, "a field without a name, or folded")
		}
		if len(m.Fields) == MaxFields {
			return newError(431, "more than %d fields", MaxFields)
		}
		m.Fields = append(m.Fields, Field{name, bytes.Trim(value, " \t")})
	}
	return nil
}

// parseFraming determines the length of the body.
func (m *Message) parseFraming(request bool) error {
	m.Close, m.UntilClose, m.bodyLength, m.Body = false, false, 0, nil
	lengths, codings := 0, 0
	for i := range m.Fields {
		switch f := &m.Fields[i]; {
		case equalFold(f.Name, "content-length"):
			lengths++
			if m.bodyLength = ParseDigits(f.Value); m.bodyLength < 0 {
				return newError(400, "Content-Length cannot be read")
			}
		case equalFold(f.Name, "transfer-encoding"):
			codings++
			if !equalFold(f.Value, "chunked") {
				return newError(400, "Transfer-Encoding is not chunked alone")
			}
		case equalFold(f.Name, "connection"):
			for part := range bytes.SplitSeq(f.Value, []byte(",")) {
				m.Close = m.Close || equalFold(bytes.Trim(part, " \t"), "close")
			}
		}
	}
	switch {
	case lengths+codings > 1:
		return newError(400, "several lengths, or one beside Transfer-Encoding")
	case codings == 1:
		m.bodyLength = -1
	case !request && (m.Status < 200 || m.Status == 204 || m.Status == 304):
		if m.bodyLength != 0 {
			return newError(502, "status %d with a body", m.Status)
		}
	case !request && lengths == 0:
		m.Close, m.UntilClose = true, true
	}
	return nil
}

// ParseDigits parses a whole number that consists of digits only. It returns -1 if b is anything else or has more than
// 18 digits.
func ParseDigits(b []byte) int64 {
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

func isToken(b []byte) bool {
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
