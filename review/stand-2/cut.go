package main

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/standin"
)

// cutFor is the length of the cut.
const cutFor = 6 * time.Second

// cutCase cuts the link to one of three nodes: under a disk, under files, and under a disk with copies. Each has a gateway and
// nodes of its own.
func cutCase(r *run) error {
	var errs []error
	for i, part := range []func(*run) error{cutDisk, cutFiles, cutCopies} {
		r.log("part %d", i+1)
		err := part(r)
		if err == errBroken {
			r.say("part %d: broken", i+1)
		}
		errs = append(errs, err)
		r.stopAll()
	}
	return errors.Join(errs...)
}

// cutDisk has a client save an order and then a newer version of it. Once the newer version is answered OK, the disk must
// not go back to the older one.
func cutDisk(r *run) error {
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
	c, err := standin.Dial(d.orders, standin.ClientConfig{Depth: 16, MostData: 64 << 10, Advice: true})
	if err != nil {
		return err
	}
	defer c.Vanish()
	sector := c.Disk.Sectors / 2 // at node 1
	content := func(version int) []byte {
		return bytes.Repeat([]byte(fmt.Sprintf("order, version %d.", version)), 4096/17+1)[:4096]
	}
	// save writes a version and repeats it while it is refused, which is harmless, or failed, for which the client decides.
	save := func(version int) error {
		for try := 1; try <= 100; try++ {
			begun := time.Now()
			reply, err := c.Do(0, blkWrite, sector, content(version), 4096)
			if err != nil {
				return err
			}
			r.log("save of version %d, try %d: status %d, verdict %v after %v", version, try, reply.Status, reply.Verdict, time.Since(begun).Round(time.Millisecond))
			if reply.Status == 0 {
				return nil
			}
			if reply.Verdict == block.Refused {
				time.Sleep(reply.Wait)
			}
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
	if err := save(2); err != nil {
		return err
	}
	if err := save(3); err != nil {
		return err
	}
	r.log("version 3 is answered OK")
	for i := 0; ; i++ {
		reply, err := c.Do(0, blkRead, sector, nil, 4096)
		if err != nil {
			return err
		}
		if reply.Status == 0 {
			text := string(reply.Data[:17])
			r.log("read: %q", text)
			if !bytes.Equal(reply.Data, content(3)) {
				r.say("version 3 was saved, and after that the disk holds %q again", text)
				return errBroken
			}
		}
		if i == 24 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
}
