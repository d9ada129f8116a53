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

// Fields says which values of a load report are known, by their name on the socket, and what the settings call them.
type Fields map[string]string

// names is how the platform writes the values that settings name.
var names = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms"}

// NewFields knows the values that the settings name, under either name.
func NewFields(list []string) Fields {
	f := Fields{}
	for _, x := range list {
		f[x] = x
		if n, ok := names[x]; ok {
			f[n] = x
		}
	}
	return f
}

// appendRequest writes an attempt, but for how long its answer is waited for: stamp puts that at gap once it leaves.
func appendRequest(b []byte, host string, r *core.Request) (out []byte, gap int) {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nRequest-Id: "...)
	b = append(b, r.ID...)
	if len(r.Once) > 0 {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, r.Once...)
	}
	b = append(b, "\r\nRequest-Timeout: "...)
	gap = len(b)
	b = append(b, 'u')
	if len(r.Body) > 0 || string(r.Method) != "GET" {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...), gap
}

// stamp puts the time that is left into a request that was written down.
func stamp(b []byte, gap int, patience logic.Micros) []byte {
	var digits [20]byte
	return slices.Insert(b, gap, strconv.AppendInt(digits[:0], int64(max(patience, 1)), 10)...)
}

// result tells what an answer says of its attempt.
func result(m *http1.Message, written bool, fields Fields) core.Result {
	res := core.Result{Outcome: logic.Failed, Load: logic.NoLoad}
	switch notStarted := string(m.Get("not-started")) == "1"; {
	case notStarted && (m.Status == 503 || m.Status == 504):
		res.Outcome = logic.Full
	case m.Status == 200 && written:
		res.Outcome, res.Body, res.Kept = logic.OK, m.Body, len(m.Body) > http1.KeepSize
	}
	if v, ok := figure(m.Get("x-meter")); ok {
		res.Used = 1 + v
	}
	if v, ok := figure(m.Get("x-delta")); ok {
		res.Elsewhere = v
	}
	if v := m.Get("server-load"); v != nil {
		if l, ok := load(v, fields); ok {
			res.Load = l
		}
	}
	return res
}

// figure reads a whole number; what cannot be one is left out.
func figure(v []byte) (int, bool) {
	if n := http1.Digits(v); n >= 0 && n < math.MaxUint16 {
		return int(n), true
	}
	return 0, false
}

// load reads a report such as inflight=7,queue=2,util=0.61; one that cannot be read is dropped whole.
func load(v []byte, fields Fields) (logic.Load, bool) {
	l := logic.NoLoad
	for part := range bytes.SplitSeq(v, []byte(",")) {
		name, text, ok := bytes.Cut(bytes.TrimSpace(part), []byte("="))
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
