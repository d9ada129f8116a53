package front

import (
	"strconv"

	"appleplank/internal/platform/core"
)

var (
	healthyAnswer   = []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	unhealthyAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
)

func appendHead(b []byte, a core.Answer, closeAfter bool) []byte {
	switch {
	case a.Verdict == core.Served:
		b = append(b, "HTTP/1.1 200 OK\r\n"...)
	case a.Verdict == core.Failed:
		b = append(b, "HTTP/1.1 504 Gateway Timeout\r\n"...)
	case a.Limited:
		b = append(b, "HTTP/1.1 429 Too Many Requests\r\n"...)
	default:
		b = append(b, "HTTP/1.1 503 Service Unavailable\r\n"...)
	}
	if a.Verdict == core.Refused && a.CoolDown > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, float64(a.CoolDown)/1e6, 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	return append(b, "\r\n\r\n"...)
}

func appendError(b []byte, r *rejectError) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.status), 10)
	b = append(b, " Rejected\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.reason)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.reason...)
}
