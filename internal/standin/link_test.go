package standin

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// echo answers each byte that comes.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return ln.Addr().String()
}

// A link passes everything whole and in order, late by its delay, slowed to its bandwidth, stopped by a cut of either way
// for as long as that lasts, and breaks a connection that loses too much.
func TestLink(t *testing.T) {
	to := echo(t)
	l := NewLink(1)
	defer l.Close()
	address, err := l.Relay(func() string { return to })
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	round := func(n int) (time.Duration, error) {
		data, back := bytes.Repeat([]byte("0123456789abcdef"), n/16), make([]byte, n)
		began := time.Now()
		go c.Write(data)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := io.ReadFull(c, back)
		if err == nil && !bytes.Equal(data, back) {
			t.Error("other bytes came back")
		}
		return time.Since(began), err
	}
	if _, err := round(1 << 20); err != nil {
		t.Fatal(err)
	}
	l.Set(func(s *LinkState) { s.Delay, s.Jitter = 30*time.Millisecond, 5*time.Millisecond })
	if took, err := round(64); err != nil || took < 60*time.Millisecond {
		t.Errorf("a round took %v, %v; want two delays", took, err)
	}
	l.Set(func(s *LinkState) { *s = LinkState{Bandwidth: 1 << 20} })
	if took, err := round(256 << 10); err != nil || took < 250*time.Millisecond {
		t.Errorf("256 KiB at 1 MiB a second took %v, %v", took, err)
	}
	for _, back := range []bool{false, true} {
		l.Set(func(s *LinkState) { *s = LinkState{CutThere: !back, CutBack: back} })
		time.AfterFunc(150*time.Millisecond, func() { l.Set(func(s *LinkState) { *s = LinkState{} }) })
		if took, err := round(64); err != nil || took < 140*time.Millisecond {
			t.Errorf("over a cut (back %v) of 150 ms: %v, %v", back, took, err)
		}
	}
	l.Set(func(s *LinkState) { s.Loss = 1 })
	for range lostRow {
		if _, err = round(64); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("a connection that loses everything goes on")
	}
}
