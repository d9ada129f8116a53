package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// takeoverCase has clients put files while a second process takes over from the running one. A request whose head was
// read, as the interim answer 100 shows, and whose body was written whole must get a final answer.
func takeoverCase(r *run) error {
	d, err := r.startDepot(40*time.Millisecond, 0)
	if err != nil {
		return err
	}
	q, _ := http.NewRequest("PUT", "http://"+d.files, nil)
	q.SetBasicAuth("ann", "depot")
	authorization := q.Header.Get("Authorization")
	body := strings.Repeat("0123456789abcdef", 4<<10) // 64 KiB
	var answered, lost, notRead atomic.Int64
	put := func(name string) {
		conn, err := net.DialTimeout("tcp", d.files, time.Second)
		if err != nil {
			r.log("%s: no connection: %v", name, err)
			notRead.Add(1)
			time.Sleep(20 * time.Millisecond)
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(12 * time.Second))
		fmt.Fprintf(conn, "PUT /files/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
			name, d.files, authorization, len(body))
		reader := bufio.NewReader(conn)
		a, err := http.ReadResponse(reader, nil)
		if err != nil || a.StatusCode != http.StatusContinue {
			// The server may not have read the request, so the client sends it again.
			r.log("%s: not read: %v", name, err)
			notRead.Add(1)
			return
		}
		if _, err := io.WriteString(conn, body); err != nil {
			r.log("%s: the body could not be written whole: %v", name, err)
			notRead.Add(1)
			return
		}
		written := time.Now()
		a, err = http.ReadResponse(reader, nil)
		if err != nil {
			r.log("%s: LOST: the body was written whole, %v later the connection ended without an answer: %v", name, time.Since(written), err)
			lost.Add(1)
			return
		}
		r.log("%s: %d after %v", name, a.StatusCode, time.Since(written))
		answered.Add(1)
		if a.StatusCode == http.StatusServiceUnavailable { // refused, as after a start while order_pause lasts
			time.Sleep(500 * time.Millisecond)
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					put(fmt.Sprintf("file-%d-%d", c, n))
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := range 3 {
		if r.trouble && os.Getenv("RESTART") == "term" { // for comparison: SIGTERM, then the next start
			d.gateway.signal(syscall.SIGTERM)
			<-d.gateway.exited
			if d.gateway, err = r.start(fmt.Sprint("gateway-", n+2), nil, "exec bin/appleplank serve -c "+d.settings); err != nil {
				return err
			}
		} else if r.trouble {
			old := d.gateway
			if d.gateway, err = r.start(fmt.Sprint("gateway-", n+2), nil, "exec bin/appleplank serve --takeover -c "+d.settings); err != nil {
				return err
			}
			select {
			case <-old.exited:
			case <-d.gateway.exited:
				return fmt.Errorf("the takeover failed")
			case <-time.After(15 * time.Second):
				return fmt.Errorf("the takeover does not end")
			}
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	clients.Wait()
	r.say("PUTs answered: %d; not read, to be sent again: %d; read whole and never answered: %d", answered.Load(), notRead.Load(), lost.Load())
	if answered.Load() < 20 {
		return fmt.Errorf("too few PUTs were answered")
	}
	if lost.Load() > 0 {
		return errBroken
	}
	return nil
}
