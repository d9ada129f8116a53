package platform

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"appleplank/internal/http1"
)

// Unsent data of a killed process must not be delivered to a target from the kernel's buffers: the client may have
// retried by then, so the request would take effect twice.
func TestKilledProcessSendsNoMore(t *testing.T) {
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		return err
	}}
	listener, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	target := &standInTarget{t: t, listener: listener, id: "s-1"}
	discovery := newDiscovery(t, listJSON(1, true, target.entry("in_service", 0)))
	p := startProcess(t, discovery.listener.Addr().String(), settingsJSON)
	client := p.dial()
	io.WriteString(client.conn, putRequest(newID(), "save", strings.Repeat("x", 60<<10)))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Minute))
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond) // the rest of the request is in the kernel's buffers
	p.kill()
	m := new(http1.Message)
	if http1.NewReader(io.MultiReader(strings.NewReader(string(first)), conn)).ReadRequest(m) == nil {
		t.Errorf("the target received the whole request of %d bytes after the initiator was killed", len(m.Body))
	}
}
