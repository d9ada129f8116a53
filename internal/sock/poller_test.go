package sock

import (
	"errors"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

func newTestPoller(t *testing.T) (*Poller, *sync.Mutex) {
	mu := new(sync.Mutex)
	p, err := NewPoller(mu)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	return p, mu
}

// Connections are reported once for each arrival, in the order of their arrivals.
func TestPollerKeepsOrder(t *testing.T) {
	p, mu := newTestPoller(t)
	var ends []io.WriteCloser
	for token := range int32(5) {
		c, far := pair(t)
		ends = append(ends, far)
		if err := p.Add(c, token); err != nil {
			t.Fatal(err)
		}
	}
	collect := func(n int) (tokens []int32, ended bool) {
		for len(tokens) < n {
			events, err := p.Wait()
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				tokens = append(tokens, e.Token)
				ended = ended || e.Ended
			}
			mu.Unlock()
		}
		return tokens, ended
	}
	for range 3 {
		want := []int32{3, 0, 4, 2, 1}
		mu.Lock()
		for _, token := range want {
			io.WriteString(ends[token], "x")
		}
		mu.Unlock()
		if got, ended := collect(5); !slices.Equal(got, want) || ended {
			t.Fatalf("reported %v, ended %v; want %v", got, ended, want)
		}
	}
	ends[2].Close()
	if got, ended := collect(1); !slices.Equal(got, []int32{2}) || !ended {
		t.Fatalf("reported %v, ended %v; want the end of 2", got, ended)
	}
}

// Close ends Wait, and a closed poller reports nothing.
func TestPollerClose(t *testing.T) {
	p, mu := newTestPoller(t)
	waited := make(chan error, 1)
	go func() {
		_, err := p.Wait()
		waited <- err
	}()
	p.Close()
	failIfSlow(t, "Wait does not return", func() {
		if err := <-waited; !errors.Is(err, os.ErrClosed) {
			t.Error(err)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	c, _ := pair(t)
	if len(p.Poll()) != 0 || !errors.Is(p.Add(c, 1), os.ErrClosed) {
		t.Error("a closed poller is used")
	}
}

// Data is read with the time of its arrival, without blocking, up to the end of the stream.
func TestStampReader(t *testing.T) {
	c, far := pair(t)
	if err := StampArrivals(c.raw); err != nil {
		t.Fatal(err)
	}
	r, b := NewStampReader(), make([]byte, 4)
	if _, _, err := r.Read(c, b); err != ErrNoData {
		t.Fatal(err)
	}
	failIfSlow(t, "the kernel does not begin to note arrivals", func() {
		for known := false; !known; {
			io.WriteString(far, "x")
			if _, arrived, err := r.Read(c, b); err == nil {
				known = !arrived.IsZero()
			}
		}
	})
	before := time.Now().Round(0)
	io.WriteString(far, "abcdef")
	after := time.Now().Round(0)
	time.Sleep(20 * time.Millisecond) // the time of the read differs from that of the arrival
	for _, want := range []string{"abcd", "ef"} {
		n, arrived, err := r.Read(c, b)
		if err != nil || string(b[:n]) != want {
			t.Fatalf("%q, %v; want %q", b[:n], err, want)
		}
		if arrived.Before(before.Add(-time.Millisecond)) || arrived.After(after.Add(15*time.Millisecond)) {
			t.Errorf("arrived at %v, written between %v and %v", arrived, before, after)
		}
	}
	far.Close()
	failIfSlow(t, "the end is not read", func() {
		for {
			if _, _, err := r.Read(c, b); err != ErrNoData {
				if err != io.EOF {
					t.Error(err)
				}
				return
			}
		}
	})
}
