package front

import (
	"bytes"
	"math"
	"strconv"

	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/logic"
)

// RequestSettings holds the settings that requests are checked against.
type RequestSettings struct {
	Classes    map[string]int
	Plans      map[string]int
	Repeat     []logic.Repeat // indexed by class
	Cells      int            // number of shards; 0: unknown
	HealthPath string         // path of the health check
}

const (
	minIDLength, maxIDLength = 1, 64
	maxTimeout               = 3600 * 1000 * 1000 // microseconds
	maxUnits                 = 1e6
	maxHosts                 = 1e6
)

// rejectError is the reason for which a request cannot be processed, with the HTTP status for it.
type rejectError struct {
	status int
	reason string
}

// errEnding rejects a request because the process is about to end.
var errEnding = &rejectError{503, "ending"}

// errNoSeat rejects a request because its connection is needed, or there is none for it.
var errNoSeat = &rejectError{503, "no room for another connection"}

func (r *rejectError) Error() string { return r.reason }

// parseRequest fills r from a message, or returns the reason for which it cannot. r keeps slices of the message.
func (s *RequestSettings) parseRequest(m *http1.Message, r *core.Request) *rejectError {
	switch string(m.Method) {
	case "GET":
		if len(m.Body) > 0 {
			return &rejectError{400, "a GET with a body"}
		}
	case "PUT":
	default:
		return &rejectError{405, "the method is neither GET nor PUT"}
	}
	for _, name := range [...]string{"request-id", "request-class", "x-storage-class", "request-timeout", "x-extent"} {
		if m.Count(name) != 1 {
			return &rejectError{400, "there must be one " + name}
		}
	}
	if m.Count("idempotency-key") > 1 {
		return &rejectError{400, "several idempotency-key"}
	}
	if m.Count("expect") > 0 {
		return &rejectError{417, "nothing is promised before a request is whole"}
	}
	id := m.Get("request-id")
	if !validID(id) {
		return &rejectError{400, "request-id cannot be read"}
	}
	name := m.Get("request-class")
	class, ok := s.Classes[string(name)]
	if !ok {
		return &rejectError{400, "request-class is none"}
	}
	plan, ok := s.Plans[string(m.Get("x-storage-class"))]
	if !ok {
		return &rejectError{400, "x-storage-class is none"}
	}
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	first, last, ok := bytes.Cut(path[1:], []byte("/"))
	if !ok || !bytes.Equal(first, name) {
		return &rejectError{400, "the path does not begin with the class"}
	}
	block, ok := parseHex16(last)
	if !ok {
		return &rejectError{400, "the path does not end with a piece of data"}
	}
	timeout, ok := parseDuration(m.Get("request-timeout"))
	if !ok {
		return &rejectError{400, "request-timeout cannot be read"}
	}
	idempotencyKey := m.Get("idempotency-key")
	if len(idempotencyKey) > 0 && !validID(idempotencyKey) || len(idempotencyKey) == 0 && s.Repeat[class] == logic.Dedup {
		return &rejectError{400, "idempotency-key cannot be read"}
	}
	r.Method, r.Target, r.ID, r.IdempotencyKey, r.Body = m.Method, m.Target, id, idempotencyKey, m.Body
	r.Class, r.Plan, r.Block, r.Timeout = class, plan, block, timeout
	return s.parseExtent(m.Get("x-extent"), r)
}

// parseExtent parses a header such as volume=00000003b4d60021,units=2,shard=5,hosts=3.
func (s *RequestSettings) parseExtent(header []byte, r *core.Request) *rejectError {
	seen := 0
	for field := range bytes.SplitSeq(header, []byte(",")) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(field), []byte("="))
		ok := true
		switch string(name) {
		case "volume":
			var id uint64
			id, ok = parseHex16(value)
			r.Volume = logic.VolumeID(id)
			seen |= 1
		case "units":
			r.Units, ok = parseNumber(value, maxUnits)
			ok = ok && r.Units > 0
			seen |= 2
		case "shard":
			n, err := strconv.Atoi(string(value))
			r.Cell, ok = n, err == nil && n >= -1 && (s.Cells == 0 || n < s.Cells)
			seen |= 4
		case "hosts":
			r.Attached, ok = parseNumber(value, maxHosts)
			ok = ok && r.Attached >= 1
			seen |= 8
		}
		if !ok {
			return &rejectError{400, "x-extent: " + string(name) + " cannot be read"}
		}
	}
	if seen != 15 {
		return &rejectError{400, "x-extent is not whole"}
	}
	return nil
}

// validID reports whether an id has a permitted length and consists of letters, digits, '-', '_', '.' and ':', none of
// which has a special meaning wherever the id is written.
func validID(b []byte) bool {
	if len(b) < minIDLength || len(b) > maxIDLength {
		return false
	}
	for _, c := range b {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return true
}

func parseHex16(b []byte) (v uint64, ok bool) {
	if len(b) != 16 {
		return 0, false
	}
	for _, c := range b {
		switch {
		case '0' <= c && c <= '9':
			c -= '0'
		case 'a' <= c && c <= 'f':
			c -= 'a' - 10
		case 'A' <= c && c <= 'F':
			c -= 'A' - 10
		default:
			return 0, false
		}
		v = v<<4 | uint64(c)
	}
	return v, true
}

// parseNumber parses a decimal number without sign or exponent, up to maxValue.
func parseNumber(b []byte, maxValue float64) (float64, bool) {
	if len(b) == 0 || len(b) > 24 {
		return 0, false
	}
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v <= maxValue && !math.IsNaN(v)
}

// parseDuration parses a time with its unit: m for milliseconds, u for microseconds.
func parseDuration(b []byte) (logic.Micros, bool) {
	if len(b) < 2 {
		return 0, false
	}
	v, ok := parseNumber(b[:len(b)-1], maxTimeout)
	switch b[len(b)-1] {
	case 'm':
		v *= 1000
	case 'u':
	default:
		return 0, false
	}
	return logic.Micros(v), ok && v >= 1 && v <= maxTimeout
}
