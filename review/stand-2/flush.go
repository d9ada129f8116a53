package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"appleplank/internal/block"
	"appleplank/internal/standin"
)

// Types of requests of the block device (virtio 1.2, section 5.2.6).
const (
	blkRead  = 0
	blkWrite = 1
	blkFlush = 4
)

// flushCase writes blocks, has a node die and come back, flushes, and reads the blocks. What was answered OK before a
// flush that was answered OK must be there.
func flushCase(r *run) error {
	d, err := r.startDepot(0, 3*time.Second)
	if err != nil {
		return err
	}
	c, err := standin.Dial(d.orders, standin.ClientConfig{Depth: 16, MostData: 64 << 10, Advice: true})
	if err != nil {
		return err
	}
	defer c.Vanish()
	const blocks, size, sectors = 96, 4096, 8
	sector := func(i int) uint64 { return uint64(i) * uint64(c.Disk.Sectors) / blocks / sectors * sectors } // a third of them at each node
	do := func(what string, kind uint32, at uint64, data []byte, n int) (standin.Reply, error) {
		// A refusal promises that a repeat is harmless, so the client repeats the request.
		for try := 0; ; try++ {
			reply, err := c.Do(0, kind, at, data, n)
			if err != nil {
				return reply, fmt.Errorf("%s: %w", what, err)
			}
			r.log("%s: status %d, verdict %v", what, reply.Status, reply.Verdict)
			if reply.Status == 0 || reply.Verdict != block.Refused || try == 20 {
				return reply, nil
			}
			time.Sleep(max(reply.Wait, 100*time.Millisecond))
		}
	}
	rng := rand.New(rand.NewPCG(41, 6))
	content := make([][]byte, blocks)
	write := func(round int) error {
		for i := range content {
			data := make([]byte, size)
			for j := range data {
				data[j] = byte(rng.Uint32())
			}
			reply, err := do(fmt.Sprintf("round %d, write of block %d at sector %d", round, i, sector(i)), blkWrite, sector(i), data, size)
			if err != nil || reply.Status != 0 {
				return fmt.Errorf("a write without trouble was not served: status %d, %w", reply.Status, err)
			}
			content[i] = data
		}
		return nil
	}
	flush := func() (served bool, err error) {
		reply, err := do("flush", blkFlush, 0, nil, 0)
		return err == nil && reply.Status == 0, err
	}
	// The first round is stored, so that a loss shows as old data.
	if err := write(1); err != nil {
		return err
	}
	if ok, err := flush(); !ok {
		return fmt.Errorf("the first flush was not served: %w", err)
	}
	if err := write(2); err != nil {
		return err
	}
	r.log("all %d blocks of round 2 are answered OK", blocks)
	if r.trouble {
		r.log("node 1, one of three, dies and is back after 3 s")
		d.nodes[1].signal(syscall.SIGUSR1)
		time.Sleep(6 * time.Second)
	}
	served, err := flush()
	if err != nil {
		return err
	}
	r.log("the flush after it: served %v", served)
	if !served {
		return nil // the client was told that its writes are not stored
	}
	lost := 0
	for i := range content {
		reply, err := do(fmt.Sprintf("read of block %d", i), blkRead, sector(i), nil, size)
		if err != nil {
			return err
		}
		if reply.Status != 0 {
			return fmt.Errorf("a read was not served")
		}
		if !bytes.Equal(reply.Data, content[i]) {
			lost++
			r.log("block %d does not hold what was written and flushed", i)
		}
	}
	r.say("blocks that were answered OK before the flush and are lost after it: %d of %d", lost, blocks)
	if lost > 0 {
		return errBroken
	}
	return nil
}
