package sock

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// pair gives both ends of a connection.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(near.(*net.TCPConn))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); far.Close() })
	return c, far.(*net.TCPConn)
}

func soon(t *testing.T, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal(what)
	}
}

// Who holds the guard can end the connection while its reader waits for the guard; Close would wait for the reader,
// and both for ever.
func TestShutUnderTheGuard(t *testing.T) {
	c, far := pair(t)
	var mu sync.Mutex
	c.Guard(&mu, func() {})
	read := make(chan error, 1)
	mu.Lock()
	go func() {
		b := make([]byte, 10)
		for {
			if _, err := c.Read(b); err != nil {
				c.Close()
				read <- err
				return
			}
		}
	}()
	io.WriteString(far, "x")
	time.Sleep(50 * time.Millisecond) // the reader is at the guard now, or will be
	soon(t, "Shut waits for the reader", c.Shut)
	mu.Unlock()
	soon(t, "the reader does not end", func() {
		if err := <-read; err != io.EOF {
			t.Error(err)
		}
	})
}

// What has come is seen before it was read, and nothing waits.
func TestQuiet(t *testing.T) {
	c, far := pair(t)
	if err := c.Quiet(); err != nil {
		t.Fatal(err)
	}
	io.WriteString(far, "x")
	for end := time.Now().Add(10 * time.Second); c.Quiet() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("bytes were not seen")
		}
	}
	b := make([]byte, 1)
	c.Read(b)
	far.Close()
	for end := time.Now().Add(10 * time.Second); c.Quiet() != io.EOF; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end was not seen")
		}
	}
}

// A peer that takes nothing: what fits is written, the rest is told, and nobody waits.
func TestTryWriteToWhoReadsNothing(t *testing.T) {
	c, _ := pair(t)
	b := make([]byte, 64<<20)
	soon(t, "TryWrite waits", func() {
		n, err := c.TryWrite(b)
		if err != nil || n == 0 || n == len(b) {
			t.Errorf("%d bytes, %v", n, err)
		}
		if n, err = c.TryWrite(b); err != nil || n > len(b)/2 {
			t.Errorf("%d bytes more, %v", n, err)
		}
	})
}
