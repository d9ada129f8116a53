package main

import (
	"bytes"
	"fmt"
	"time"

	"appleplank/internal/standin"
)

// cutCopies does the same on a disk whose extents have a second copy each. No read may give an older version than the last
// one that was saved, at whichever copy.
func cutCopies(r *run) error {
	d, err := r.prepareDepot(0, 0)
	if err != nil {
		return err
	}
	l, err := r.newLink("link to node 1", d.addresses[1])
	if err != nil {
		return err
	}
	d.addresses[1] = l.listener.Addr().String()
	d.edit = withCopies
	if err := d.startGateway(); err != nil {
		return err
	}
	c, err := standin.Dial(d.orders, standin.ClientConfig{Depth: 16, MostData: 64 << 10, Advice: true})
	if err != nil {
		return err
	}
	defer c.Vanish()
	sector := c.Disk.Sectors / 2 // led by node 1, with a copy at node 2
	content := func(version int) []byte {
		return bytes.Repeat([]byte(fmt.Sprintf("order, version %d.", version)), 4096/17+1)[:4096]
	}
	save := func(version int) error {
		for range 100 {
			begun := time.Now()
			reply, err := c.Do(0, blkWrite, sector, content(version), 4096)
			if err != nil {
				return err
			}
			r.log("save of version %d: status %d, verdict %v after %v", version, reply.Status, reply.Verdict, time.Since(begun).Round(time.Millisecond))
			if reply.Status == 0 {
				return nil
			}
			time.Sleep(reply.Wait)
		}
		return fmt.Errorf("version %d was never saved", version)
	}
	if err := save(1); err != nil {
		return err
	}
	if r.trouble {
		l.cutFor(cutFor)
	}
	time.Sleep(1500 * time.Millisecond)
	for version := 2; version <= 3; version++ {
		if err := save(version); err != nil {
			return err
		}
	}
	time.Sleep(9 * time.Second)
	wrong := 0
	for range 100 {
		ch := make(chan bool, 8)
		for range 8 {
			if err := c.Submit(0, blkRead, sector, nil, 4096, func(q standin.Reply) { ch <- q.Status != 0 || bytes.Equal(q.Data, content(3)) }); err != nil {
				return err
			}
		}
		for range 8 {
			if !<-ch {
				wrong++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.say("reads that gave an older version than the last one saved: %d of 800", wrong)
	if wrong > 0 {
		return errBroken
	}
	return nil
}
