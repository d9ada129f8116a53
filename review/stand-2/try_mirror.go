package main

import (
	"bytes"
	"strings"
	"syscall"

	"appleplank/internal/standin"
)

// withCopies adds a copy to each extent of the disk, at the next node.
func withCopies(s string) string {
	s = strings.Replace(s, `[dict(size = MiB(32), cell = i, namespace = 1) for i in range(3)]`, `[dict(size = MiB(32), cell = i, namespace = 1, mirrors = [dict(cell = (i + 1) % 3, namespace = 1, base = MiB(32))]) for i in range(3)]`, 1)
	return strings.Replace(s, "rules(", `class_(name = "copy", aim = s(1), deadline = s(6), worth = 0.1, late_share = 0.5, in_order = True, writes = True)
plan(name = "catch-up", rate = 60, weight = 0.1)
copies(class_ = "copy", plan = "catch-up", hold = 1, region = KiB(256))
rules(`, 1)
}

// tryMirrorAdded writes a disk, ends the gateway by SIGTERM, starts it with a second copy added to each extent, and reads.
// No page names this change of the settings, so it is no case.
func tryMirrorAdded(r *run) error {
	d, err := r.startDepot(0, 0)
	if err != nil {
		return err
	}
	content := bytes.Repeat([]byte("order."), 700)[:4096]
	c, err := standin.Dial(d.orders, standin.ClientConfig{Depth: 4, MostData: 64 << 10})
	if err != nil {
		return err
	}
	for i := range uint64(90) {
		if reply, err := c.Do(0, blkWrite, i*1024, content, 4096); err != nil || reply.Status != 0 {
			return err
		}
	}
	if reply, err := c.Do(0, blkFlush, 0, nil, 0); err != nil || reply.Status != 0 {
		return err
	}
	c.Vanish()
	d.gateway.signal(syscall.SIGTERM)
	<-d.gateway.exited
	d.edit = withCopies
	if err := d.startGateway(); err != nil {
		return err
	}
	if c, err = standin.Dial(d.orders, standin.ClientConfig{Depth: 16, MostData: 64 << 10}); err != nil {
		return err
	}
	wrong := 0
	for range 5 {
		ch := make(chan bool, 90)
		for i := range uint64(90) {
			c.Submit(0, blkRead, i*1024, nil, 4096, func(q standin.Reply) { ch <- q.Status != 0 || bytes.Equal(q.Data, content) })
		}
		for range 90 {
			if !<-ch {
				wrong++
			}
		}
	}
	r.say("reads with wrong data after a copy was added: %d of 450", wrong)
	if wrong > 0 {
		return errBroken
	}
	return nil
}
