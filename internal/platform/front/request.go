package front

import (
	"bytes"
	"math"
	"strconv"

	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/logic"
)

// Service is what the settings say of requests.
type Service struct {
	Classes map[string]int
	Plans   map[string]int
	Repeat  []logic.Repeat // by class
	Cells   int            // shards; 0: not told
	Health  string         // path that asks whether requests are taken
}

const (
	leastID, mostID = 1, 64
	mostPatience    = 3600 * 1000 * 1000 // us
	mostUnits       = 1e6
	mostHosts       = 1e6
)

// reject is why a request cannot be taken.
type reject struct {
	status int
	why    string
}

func (r *reject) Error() string { return r.why }

// read makes a request of a message, whose slices it keeps, or says why it cannot be one.
func (s *Service) read(m *http1.Message, r *core.Request) *reject {
	switch string(m.Method) {
	case "GET":
		if len(m.Body) > 0 {
			return &reject{400, "a GET with a body"}
		}
	case "PUT":
	default:
		return &reject{405, "the method is neither GET nor PUT"}
	}
	for _, name := range [...]string{"request-id", "request-class", "x-storage-class", "request-timeout", "x-extent"} {
		if m.Count(name) != 1 {
			return &reject{400, "there must be one " + name}
		}
	}
	if m.Count("idempotency-key") > 1 {
		return &reject{400, "several idempotency-key"}
	}
	if m.Count("expect") > 0 {
		return &reject{417, "nothing is promised before a request is whole"}
	}
	id := m.Get("request-id")
	if !plain(id) {
		return &reject{400, "request-id cannot be read"}
	}
	name := m.Get("request-class")
	class, ok := s.Classes[string(name)]
	if !ok {
		return &reject{400, "request-class is none"}
	}
	plan, ok := s.Plans[string(m.Get("x-storage-class"))]
	if !ok {
		return &reject{400, "x-storage-class is none"}
	}
	path, _, _ := bytes.Cut(m.Target, []byte("?"))
	first, last, ok := bytes.Cut(path[1:], []byte("/"))
	if !ok || !bytes.Equal(first, name) {
		return &reject{400, "the path does not begin with the class"}
	}
	block, ok := hex16(last)
	if !ok {
		return &reject{400, "the path does not end with a piece of data"}
	}
	patience, ok := duration(m.Get("request-timeout"))
	if !ok {
		return &reject{400, "request-timeout cannot be read"}
	}
	once := m.Get("idempotency-key")
	if len(once) > 0 && !plain(once) || len(once) == 0 && s.Repeat[class] == logic.Dedup {
		return &reject{400, "idempotency-key cannot be read"}
	}
	r.Method, r.Target, r.ID, r.Once, r.Body = m.Method, m.Target, id, once, m.Body
	r.Class, r.Plan, r.Block, r.Left = class, plan, block, patience
	return s.extent(m.Get("x-extent"), r)
}

// extent reads volume=00000003b4d60021,units=2,shard=5,hosts=3.
func (s *Service) extent(v []byte, r *core.Request) *reject {
	seen := 0
	for part := range bytes.SplitSeq(v, []byte(",")) {
		name, text, _ := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		ok := true
		switch string(name) {
		case "volume":
			var id uint64
			id, ok = hex16(text)
			r.Volume = logic.VolumeID(id)
			seen |= 1
		case "units":
			r.Units, ok = number(text, mostUnits)
			ok = ok && r.Units > 0
			seen |= 2
		case "shard":
			n, err := strconv.Atoi(string(text))
			r.Cell, ok = n, err == nil && n >= -1 && (s.Cells == 0 || n < s.Cells)
			seen |= 4
		case "hosts":
			r.Attached, ok = number(text, mostHosts)
			ok = ok && r.Attached >= 1
			seen |= 8
		}
		if !ok {
			return &reject{400, "x-extent: " + string(name) + " cannot be read"}
		}
	}
	if seen != 15 {
		return &reject{400, "x-extent is not whole"}
	}
	return nil
}

// plain tells whether an id has characters that mean nothing to anybody.
func plain(b []byte) bool {
	if len(b) < leastID || len(b) > mostID {
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

func hex16(b []byte) (v uint64, ok bool) {
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

// number reads a plain decimal number.
func number(b []byte, most float64) (float64, bool) {
	if len(b) == 0 || len(b) > 24 {
		return 0, false
	}
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v <= most && !math.IsNaN(v)
}

// duration reads a time with its unit, m or u.
func duration(b []byte) (logic.Micros, bool) {
	if len(b) < 2 {
		return 0, false
	}
	v, ok := number(b[:len(b)-1], mostPatience)
	switch b[len(b)-1] {
	case 'm':
		v *= 1000
	case 'u':
	default:
		return 0, false
	}
	return logic.Micros(v), ok && v >= 1 && v <= mostPatience
}
