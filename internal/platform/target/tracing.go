package target

import (
	"appleplank/internal/platform/trace"
)

// trace records an event of an attempt's connection. The caller holds the lock.
func (b *Back) trace(event string, c *connection, detail string) {
	if b.settings.Trace == nil {
		return
	}
	if c.dropped {
		detail += "/dropped"
	}
	now, a := b.sink.Now(), c.attempt
	b.settings.Trace.WriteLine(trace.Line{At: now, Side: "wire", Event: event, Request: a.Request, Number: a.Number, Node: a.Node, Outcome: detail, Took: now - a.Sent, Load: -1})
}

// traceIdle records what arrived on a connection with no attempt in flight, and how long after its last answer.
func (b *Back) traceIdle(c *connection, err error) {
	if b.settings.Trace == nil {
		return
	}
	detail := "unasked"
	if err != nil {
		detail = "closed"
	}
	now := b.sink.Now()
	b.settings.Trace.WriteLine(trace.Line{At: now, Side: "wire", Event: "idle", Node: c.target.Node, Outcome: detail, Took: now - c.answeredAt, Load: -1})
}
