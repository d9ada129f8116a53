package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// cutFiles has bob put small files while the link is cut. What is refused must not show in the files that ann puts once the
// link is back.
func cutFiles(r *run) error {
	d, err := r.prepareDepot(5*time.Millisecond, 0)
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
	ann := r.davUser("ann", d.files)
	text := func(user string, n int) string {
		return strings.Repeat(fmt.Sprintf("%s's file %03d.\n", user, n), 200)
	}
	var bobs []*davUser
	for n := range 3 { // a first request each, so that the check of a password delays none of those that count
		bobs = append(bobs, r.davUser("bob", d.files))
		bobs[n].do("GET", "/files/nothing", "")
	}
	if r.trouble {
		l.cutFor(cutFor)
	}
	cut := time.Now()
	time.Sleep(1500 * time.Millisecond)
	var puts sync.WaitGroup
	for n, bob := range bobs {
		puts.Go(func() { bob.do("PUT", fmt.Sprintf("/files/bob-%d", n), text("bob", n)) })
	}
	puts.Wait()
	time.Sleep(time.Until(cut.Add(cutFor + 100*time.Millisecond)))
	saved := map[int]bool{}
	var mu sync.Mutex
	for w := range 16 {
		puts.Go(func() {
			for n := w; n < 1000 && time.Since(cut) < cutFor+1500*time.Millisecond; n += 16 {
				status, _, _, err := ann.do("PUT", fmt.Sprintf("/files/ann-%d", n), text("ann", n))
				mu.Lock()
				saved[n] = err == nil && status/100 == 2
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	puts.Wait()
	time.Sleep(time.Until(cut.Add(cutFor + 8*time.Second)))
	foreign, served := 0, 0
	for n, ok := range saved {
		if !ok {
			continue
		}
		served++
		status, _, got, err := ann.do("GET", fmt.Sprintf("/files/ann-%d", n), "")
		if err != nil || status != 200 {
			return fmt.Errorf("GET: %d, %w", status, err)
		}
		if got != text("ann", n) {
			foreign++
			r.say("ann's file %d, answered 2xx, holds %s", n, shorten(got))
		}
	}
	r.say("%d files of ann were saved, %d of them hold something else", served, foreign)
	if foreign > 0 {
		return errBroken
	}
	return nil
}
