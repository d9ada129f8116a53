package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// resetAll resets all connections of the link.
func (k *link) resetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// tryFiles has eight workers put, get and delete files of their own while troubles come at random: those that CHAOS names,
// separated by commas (cut, reset, kill, term, takeover). A file must hold what was put last, or what a change without a
// clear answer may have left. It found no fault.
func tryFiles(r *run) error {
	kinds := strings.Split(os.Getenv("CHAOS"), ",")
	d, err := r.prepareDepot(2*time.Millisecond, 0)
	if err != nil {
		return err
	}
	var links []*link
	for i := range d.addresses {
		l, err := r.newLink(fmt.Sprint("link ", i), d.addresses[i])
		if err != nil {
			return err
		}
		d.addresses[i] = l.listener.Addr().String()
		links = append(links, l)
	}
	if err := d.startGateway(); err != nil {
		return err
	}
	var mu sync.Mutex
	bad, puts, gets := 0, 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), uint64(time.Now().UnixNano())))
			client := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
			type state struct{ allowed [][]byte } // nil element: absent
			files := map[string]*state{}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				name := fmt.Sprintf("f-%d-%d", w, rng.IntN(6))
				s := files[name]
				if s == nil {
					s = &state{allowed: [][]byte{nil}}
					files[name] = s
				}
				do := func(method string, body []byte) (int, []byte, error) {
					q, _ := http.NewRequest(method, "http://"+d.files+"/files/"+name, bytes.NewReader(body))
					q.SetBasicAuth("ann", "depot")
					a, err := client.Do(q)
					if err != nil {
						return 0, nil, err
					}
					defer a.Body.Close()
					b, err := io.ReadAll(a.Body)
					return a.StatusCode, b, err
				}
				switch x := rng.IntN(10); {
				case x < 5:
					size := []int{100, 4096, 6000, 20000, 300000}[rng.IntN(5)]
					line := fmt.Sprintf("%s version %d of this file.\n", name, n)
					body := []byte(strings.Repeat(line, size/len(line)+1))
					code, _, err := do("PUT", body)
					r.log("%s PUT v%d %d bytes: %d %v", name, n, len(body), code, err)
					switch {
					case code == 201 || code == 204:
						s.allowed = [][]byte{body}
						mu.Lock()
						puts++
						mu.Unlock()
					case code == 503 || code == 429 || code == 507:
					default:
						s.allowed = append(s.allowed, body)
					}
				case x < 6:
					code, _, err := do("DELETE", nil)
					r.log("%s DELETE: %d %v", name, code, err)
					switch {
					case code == 204:
						s.allowed = [][]byte{nil}
					case code == 404:
					default:
						s.allowed = append(s.allowed, nil)
					}
				default:
					code, b, err := do("GET", nil)
					if err != nil || code != 200 && code != 404 {
						r.log("%s GET: %d %v", name, code, err)
						time.Sleep(20 * time.Millisecond)
						continue
					}
					if code == 404 {
						b = nil
					}
					ok := false
					for _, a := range s.allowed {
						if bytes.Equal(a, b) && (a == nil) == (b == nil) {
							ok = true
						}
					}
					mu.Lock()
					gets++
					mu.Unlock()
					if !ok {
						mu.Lock()
						bad++
						mu.Unlock()
						at := 0
						if len(s.allowed) > 0 && s.allowed[len(s.allowed)-1] != nil {
							a := s.allowed[len(s.allowed)-1]
							for at < len(a) && at < len(b) && a[at] == b[at] {
								at++
							}
						}
						r.say("BAD: %s GET %d: %d bytes, differs at %d: %s; allowed %d", name, code, len(b), at, shorten(string(b[min(at, len(b)):])), len(s.allowed))
					}
					s.allowed = [][]byte{b}
				}
				time.Sleep(time.Duration(rng.IntN(15)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); {
		time.Sleep(2 * time.Second)
		kind := kinds[rng.IntN(len(kinds))]
		r.log("EVENT %s", kind)
		switch kind {
		case "cut":
			links[rng.IntN(3)].cutFor(6 * time.Second)
			time.Sleep(9 * time.Second)
		case "reset":
			links[rng.IntN(3)].resetAll()
		case "kill", "term":
			s := syscall.SIGKILL
			if kind == "term" {
				s = syscall.SIGTERM
			}
			d.gateway.signal(s)
			<-d.gateway.exited
			g, err := r.start(fmt.Sprint("gateway-", time.Now().UnixNano()), nil, "exec bin/appleplank serve -c "+d.settings)
			if err != nil {
				return err
			}
			d.gateway = g
		case "takeover":
			old := d.gateway
			g, err := r.start(fmt.Sprint("gateway-", time.Now().UnixNano()), nil, "exec bin/appleplank serve --takeover -c "+d.settings)
			if err != nil {
				return err
			}
			d.gateway = g
			<-old.exited
		}
	}
	close(stop)
	wg.Wait()
	r.say("puts %d gets %d bad %d", puts, gets, bad)
	if bad > 0 {
		return errBroken
	}
	return nil
}
