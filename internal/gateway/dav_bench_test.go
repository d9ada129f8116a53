package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"appleplank/internal/fleet"
	"appleplank/internal/standin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// folderHandler serves a plain folder: GET by the standard library, PUT with a sync and a rename into place.
func folderHandler(dir string) http.Handler {
	files := http.FileServer(http.Dir(dir))
	var n atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != "PUT" {
			files.ServeHTTP(w, r)
			return
		}
		temp := filepath.Join(dir, fmt.Sprint(".new", n.Add(1)))
		f, err := os.Create(temp)
		if err == nil {
			_, err = io.Copy(f, r.Body)
		}
		if err == nil {
			err = f.Sync()
		}
		f.Close()
		if err == nil {
			err = os.Rename(temp, filepath.Join(dir, filepath.Base(r.URL.Path)))
		}
		if err != nil {
			http.Error(w, err.Error(), 500)
			return
		}
		w.WriteHeader(204)
	})
}

// BenchmarkDav reports the time of GET and PUT relative to a plain folder in the same run, and of GET relative to
// reading the same bytes by a ring. The nodes answer at once, so the ratios show the cost of the software.
func BenchmarkDav(b *testing.B) {
	f, g, w := startFiles(b, func(s *fleet.Shape) {
		s.Volumes[1].Extent = 128 << 20
		s.Head = strings.ReplaceAll(fleet.Head, "deadline = s(2)", "deadline = s(20)")
	})
	w.http.Transport.(*http.Transport).MaxIdleConnsPerHost = 64
	dir := b.TempDir()
	plain := httptest.NewServer(folderHandler(dir))
	defer plain.Close()
	p := &webClient{t: b, base: plain.URL, user: "ann", http: w.http}
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 4, MostData: 1 << 20}, time.Second)
	if err != nil {
		b.Fatal(err)
	}
	defer cl.Vanish()
	run := func(n, clients int, do func(i int) error) time.Duration {
		var wg sync.WaitGroup
		var bad atomic.Int64
		began := time.Now()
		for c := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := c; i < n; i += clients {
					if do(c) != nil {
						bad.Add(1)
					}
				}
			}()
		}
		wg.Wait()
		if bad.Load() > 0 {
			b.Logf("%d of %d were not served", bad.Load(), n)
		}
		return time.Since(began)
	}
	for _, x := range []struct{ size, n int }{{4 << 10, 400}, {1 << 20, 60}, {64 << 20, 2}} {
		data := strings.Repeat("x", x.size)
		for _, clients := range []int{1, 32} {
			if clients > x.n {
				continue
			}
			b.Run(fmt.Sprintf("%d KiB by %d", x.size>>10, clients), func(b *testing.B) {
				method := func(w *webClient, path, method, body string, code ...int) func(c int) error {
					return func(c int) error {
						got, text, _ := w.do(method, fmt.Sprintf("%s/%d-%d", path, x.size, c), body)
						for _, k := range code {
							if got == k {
								return nil
							}
						}
						return fmt.Errorf("%d %.100s", got, text)
					}
				}
				put, putPlain := run(x.n, clients, method(w, "/f", "PUT", data, 201, 204)), run(x.n, clients, method(p, "", "PUT", data, 204))
				get, getPlain := run(x.n, clients, method(w, "/f", "GET", "", 200)), run(x.n, clients, method(p, "", "GET", "", 200))
				b.ReportMetric(float64(put)/float64(putPlain), "put/folder")
				b.ReportMetric(float64(get)/float64(getPlain), "get/folder")
				if clients == 1 {
					ring := run(x.n, 1, func(int) error {
						for at := 0; at < x.size; at += 128 << 10 {
							n := min(x.size-at, 128<<10)
							if r, err := cl.Do(0, 0, uint64(at%(8<<20))/512, nil, n); err != nil || r.Status != 0 {
								return fmt.Errorf("status %d, %v", r.Status, err)
							}
						}
						return nil
					})
					b.ReportMetric(float64(get)/float64(ring), "get/ring")
				}
				b.ReportMetric(0, "ns/op")
				for c := range clients {
					method(w, "/f", "DELETE", "", 204)(c)
				}
			})
		}
	}
	b.Run("1000 slow clients", func(b *testing.B) {
		w.want(201, "PUT", "/f/slow", strings.Repeat("x", 8<<20))
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var all []net.Conn
		for range 1000 {
			c, err := net.Dial("tcp", g.Dav.Addresses()[0])
			if err != nil {
				b.Fatal(err)
			}
			fmt.Fprintf(c, "GET /f/slow HTTP/1.1\r\nAuthorization: Basic YW5uOnNlY3JldA==\r\nHost: x\r\n\r\n")
			all = append(all, c)
		}
		time.Sleep(3 * time.Second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse-min(before.HeapInuse, after.HeapInuse))/1000/1024, "KiB/client")
		began := time.Now()
		w.want(201, "PUT", "/f/beside", "x")
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-put-beside")
		b.ReportMetric(0, "ns/op")
		for _, c := range all {
			c.Close()
		}
	})
}

// BenchmarkRingBesideDav reports the p99 of saves on a ring beside file requests at three times their rate, relative to
// the p99 without these, in one run.
func BenchmarkRingBesideDav(b *testing.B) {
	f, _, w := startFiles(b, func(s *fleet.Shape) { s.Node.Base, s.Node.Cores = 2*time.Millisecond, 4 })
	w.http.Transport.(*http.Transport).MaxIdleConnsPerHost = 64
	cl, err := f.Dial(0, "orders", standin.ClientConfig{Queues: 1, Depth: 16, MostData: 4096}, time.Second)
	if err != nil {
		b.Fatal(err)
	}
	defer cl.Vanish()
	const rate, length = 100, 4 * time.Second // saves a second
	p99 := func() float64 {
		h := hdrhistogram.New(1, 60_000_000, 3)
		var mu sync.Mutex
		var wg sync.WaitGroup
		began := time.Now()
		for i := range int(length.Seconds() * rate) {
			time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / rate)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				at := time.Now()
				r, err := cl.Do(0, 1, uint64(i%2000)*8, make([]byte, 4096), 4096)
				if err == nil && r.Status == 0 {
					mu.Lock()
					h.RecordValue(time.Since(at).Microseconds())
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		return float64(h.ValueAtQuantile(99))
	}
	alone := p99()
	stopLoad := make(chan struct{})
	var wg sync.WaitGroup
	var served, all atomic.Int64
	for c := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := time.NewTicker(time.Second * 30 / (3 * rate))
			defer t.Stop()
			for i := 0; ; i++ {
				select {
				case <-stopLoad:
					return
				case <-t.C:
				}
				method, body := "PUT", strings.Repeat("x", 4096)
				if i%2 == 1 {
					method, body = "GET", ""
				}
				all.Add(1)
				if code, _, _ := w.do(method, fmt.Sprintf("/f/%d", c), body); code/100 == 2 {
					served.Add(1)
				}
			}
		}()
	}
	beside := p99()
	close(stopLoad)
	wg.Wait()
	b.ReportMetric(beside/alone, "p99-beside/alone")
	b.ReportMetric(float64(served.Load())/float64(max(all.Load(), 1)), "files-served")
	b.ReportMetric(0, "ns/op")
	b.Logf("p99 alone %.0f µs, beside %d requests for files %.0f µs", alone, all.Load(), beside)
}
