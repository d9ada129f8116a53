package target

import (
	"bytes"
	"math"
	"slices"
	"strconv"

	"appleplank/internal/http1"
	"appleplank/internal/platform/core"
	"appleplank/internal/wire"
	"appleplank/logic"
)

// LoadFields maps the names of the known values of a load report, as they are sent, to their names in the settings.
type LoadFields map[string]string

// platformNames maps names of load values in the settings to the names that the platform uses for them.
var platformNames = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms"}

// NewLoadFields returns the fields for the load values named in the settings, which are known under both their names.
func NewLoadFields(settingsNames []string) LoadFields {
	fields := LoadFields{}
	for _, name := range settingsNames {
		fields[name] = name
		if platformName, ok := platformNames[name]; ok {
			fields[platformName] = name
		}
	}
	return fields
}

// encodedAttempt is the request of an attempt as it is written to a target.
type encodedAttempt struct {
	bytes         []byte
	timeoutOffset int // at which the digits of the remaining time are inserted
}

// encodeAttempt appends the request of an attempt to a buffer, without the digits of its timeout.
func encodeAttempt(b []byte, host string, r *core.Request) encodedAttempt {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nRequest-Id: "...)
	b = append(b, r.ID...)
	if len(r.IdempotencyKey) > 0 {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, r.IdempotencyKey...)
	}
	b = append(b, "\r\nRequest-Timeout: "...)
	timeoutOffset := len(b)
	b = append(b, 'u')
	if len(r.Body) > 0 || string(r.Method) != "GET" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return encodedAttempt{append(b, r.Body...), timeoutOffset}
}

// maxTimeoutDigits is the length of the longest timeout.
const maxTimeoutDigits = 20

// insertTimeout inserts the remaining time in microseconds, at least 1.
func (e *encodedAttempt) insertTimeout(remaining logic.Micros) {
	var digits [maxTimeoutDigits]byte
	e.bytes = slices.Insert(e.bytes, e.timeoutOffset, strconv.AppendInt(digits[:0], int64(max(remaining, 1)), 10)...)
}

// parseAnswer returns the result of an attempt from its answer. written tells whether the attempt was written
// completely.
func parseAnswer(m *http1.Message, written bool, fields LoadFields) core.Result {
	res := core.Result{Outcome: logic.Failed, Load: logic.NoLoad}
	switch notStarted := string(m.Get("not-started")) == "1"; {
	case notStarted && (m.Status == 503 || m.Status == 504):
		res.Outcome = logic.Full
	case m.Status == 200 && written:
		res.Outcome, res.Body, res.BodyStable = logic.OK, m.Body, len(m.Body) > http1.MaxShortBody
	}
	if v, ok := parseCount(m.Get("x-meter")); ok {
		res.Used = 1 + v
	}
	if v, ok := parseCount(m.Get("x-delta")); ok {
		res.Elsewhere = v
	}
	if v := m.Get("server-load"); v != nil {
		if l, ok := parseLoad(v, fields); ok {
			res.Load = l
		}
	}
	return res
}

// parseCount parses a whole number below 65535.
func parseCount(v []byte) (int, bool) {
	if n := http1.ParseDigits(v); n >= 0 && n < math.MaxUint16 {
		return int(n), true
	}
	return 0, false
}

// parseLoad parses a load report such as inflight=7,queue=2,util=0.61. A report with any invalid value is ignored.
func parseLoad(v []byte, fields LoadFields) (logic.Load, bool) {
	l := logic.NoLoad
	for field := range bytes.SplitSeq(v, []byte(",")) {
		name, text, ok := bytes.Cut(bytes.TrimSpace(field), []byte("="))
		if !ok {
			return l, false
		}
		x, err := strconv.ParseFloat(string(text), 64)
		if err != nil || !(x >= 0) || math.IsInf(x, 0) {
			return l, false
		}
		if field, ok := fields[string(name)]; ok {
			wire.AddLoad(&l, field, x)
		}
	}
	return l, true
}
