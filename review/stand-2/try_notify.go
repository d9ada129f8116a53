package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// tryNotify looks for answers that the gateway publishes without the notification that the driver has asked for (issue 42,
// the device's side). Its driver notifies the device at every request, with full barriers on its own side. A request whose
// answer stands in the used ring for 2 s without a notification is one that its client never hears of.
func tryNotify(r *run) error {
	d, err := r.startDepot(0, 0)
	if err != nil {
		return err
	}
	var answered, missed, late atomic.Int64
	var drivers sync.WaitGroup
	end := time.Now().Add(60 * time.Second)
	for n := range 6 {
		c, err := dialDriver(d.orders, driverConfig{Depth: 16, MostData: 4096, EventIdx: r.trouble})
		if err != nil {
			return err
		}
		q := c.queues[0]
		for range 16 {
			drivers.Go(func() {
				for time.Now().Before(end) {
					done := make(chan struct{}, 1)
					if c.Submit(0, blkRead, uint64(n)*64, nil, 512, func(driverReply) { done <- struct{}{} }) != nil {
						return
					}
					select {
					case <-done:
						answered.Add(1)
					case <-time.After(2 * time.Second):
						if q.usedIdx() != q.seen {
							missed.Add(1)
							r.log("driver %d: an answer stands in the used ring (index %d, taken %d) and no notification came", n, q.usedIdx(), q.seen)
						} else {
							late.Add(1)
							r.log("driver %d: no answer within 2 s", n)
						}
						q.call.Write(quads(1)) // wake up
						<-done
					}
				}
			})
		}
	}
	drivers.Wait()
	r.say("answered %d, answers without a notification %d, no answer within 2 s %d", answered.Load(), missed.Load(), late.Load())
	if missed.Load() > 0 {
		return fmt.Errorf("%w: %d notifications are missing", errBroken, missed.Load())
	}
	return nil
}
