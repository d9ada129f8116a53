package main

import (
	"bytes"
	"fmt"
	"syscall"
	"time"

	"appleplank/internal/standin"
)

// killCase cuts the link to one of three nodes for 6 s and kills the gateway in the cut while it saves an order. What the
// dead process has written must not undo what is saved after its next start.
func killCase(r *run) error {
	d, err := r.prepareDepot(0, 0)
	if err != nil {
		return err
	}
	l, err := r.newLink("link to node 1", d.addresses[1])
	if err != nil {
		return err
	}
	d.addresses[1] = l.listener.Addr().String()
	if err := d.startGateway(); err != nil {
		return err
	}
	dial := func() (*standin.Client, error) {
		return standin.Dial(d.orders, standin.ClientConfig{Depth: 16, MostData: 64 << 10, Advice: true})
	}
	c, err := dial()
	if err != nil {
		return err
	}
	sector := c.Disk.Sectors / 2 // at node 1
	content := func(version int) []byte {
		return bytes.Repeat([]byte(fmt.Sprintf("order, version %d.", version)), 4096/17+1)[:4096]
	}
	if reply, err := c.Do(0, blkWrite, sector, content(1), 4096); err != nil || reply.Status != 0 {
		return fmt.Errorf("the first save: status %d, %w", reply.Status, err)
	}
	save := func(version int) error {
		for range 100 {
			reply, err := c.Do(0, blkWrite, sector, content(version), 4096)
			if err != nil {
				return err
			}
			r.log("save of version %d: status %d, verdict %v", version, reply.Status, reply.Verdict)
			if reply.Status == 0 {
				return nil
			}
			time.Sleep(max(reply.Wait, 50*time.Millisecond))
		}
		return fmt.Errorf("version %d was never saved", version)
	}
	if r.trouble {
		l.cutFor(cutFor)
		time.Sleep(1500 * time.Millisecond)
		if err := c.Submit(0, blkWrite, sector, content(2), 4096, func(standin.Reply) {}); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
		r.log("the gateway is killed with version 2 under way, and started again")
		d.gateway.signal(syscall.SIGKILL)
		<-d.gateway.exited
		c.Vanish()
		if d.gateway, err = r.start("gateway-2", nil, "exec bin/appleplank serve -c "+d.settings); err != nil {
			return err
		}
		if err := r.waitFor("a new client", 10*time.Second, func() bool { c, err = dial(); return err == nil }); err != nil {
			return err
		}
	}
	// What the gateway held when it was killed is for the client to repeat. Then it saves a newer version.
	for version := 2; version <= 3; version++ {
		if err := save(version); err != nil {
			return err
		}
	}
	for range 24 {
		reply, err := c.Do(0, blkRead, sector, nil, 4096)
		if err != nil {
			return err
		}
		if reply.Status == 0 && !bytes.Equal(reply.Data, content(3)) {
			r.say("version 3 was saved, and after that the disk holds %q", reply.Data[:17])
			return errBroken
		}
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}
