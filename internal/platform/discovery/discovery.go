// Package discovery keeps one watch on the list of targets. What its lines come to, and when a watch is given up, is
// decided by members.Follow.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"appleplank/internal/http1"
	"appleplank/internal/platform/config"
	"appleplank/logic"
	"appleplank/members"

	"go.uber.org/zap"
)

const (
	path    = "/catalog/members"
	longest = 1 << 20 // a line
	connect = time.Second
)

// Sink is who hears of the targets.
type Sink interface {
	Now() logic.Micros
	Nodes(changed []logic.Node, all []members.Target)
}

// Watch follows discovery.
type Watch struct {
	sink  Sink
	zones []string
	log   *zap.Logger
	heard func() // called once, when discovery has first told something

	mu     sync.Mutex
	follow *members.Follow
	once   sync.Once
	cancel context.CancelFunc // of the watch in use
	wait   sync.WaitGroup
	stop   context.Context
	end    context.CancelFunc
}

// New starts from the list that is known.
func New(known members.News, zones []string, sink Sink, heard func(), log *zap.Logger) *Watch {
	w := &Watch{sink: sink, zones: zones, log: log, heard: heard}
	w.stop, w.end = context.WithCancel(context.Background())
	follow, nodes := members.NewFollow(sink.Now(), known)
	w.follow = follow
	sink.Nodes(nodes, follow.Targets())
	return w
}

// Use watches discovery at an address from now on. A watch elsewhere ends once this one has told something.
func (w *Watch) Use(address string) {
	ctx, cancel := context.WithCancel(w.stop)
	w.mu.Lock()
	before := w.cancel
	w.cancel = cancel
	w.mu.Unlock()
	if before == nil {
		before = func() {}
	}
	w.wait.Go(func() {
		defer before()
		w.run(ctx, address, before)
	})
}

// Close ends the watch.
func (w *Watch) Close() {
	w.end()
	w.wait.Wait()
}

// run watches until ctx ends.
func (w *Watch) run(ctx context.Context, address string, up func()) {
	for ctx.Err() == nil {
		begun := w.sink.Now()
		err := w.watch(ctx, address, begun, up)
		w.mu.Lock()
		pause := w.follow.Ended(w.sink.Now(), begun)
		w.mu.Unlock()
		if ctx.Err() == nil {
			w.log.Info("the watch on discovery ended", zap.String("address", address), zap.Error(err), zap.Duration("pause", micros(pause)))
		}
		select {
		case <-ctx.Done():
		case <-time.After(micros(pause)):
		}
	}
}

func micros(d logic.Micros) time.Duration { return time.Duration(d) * time.Microsecond }

var errAnew = errors.New("what it tells does not follow on what is held")

// watch asks for changes, or first for the whole list, and takes them until the connection ends.
func (w *Watch) watch(ctx context.Context, address string, begun logic.Micros, up func()) error {
	w.mu.Lock()
	whole, after := w.follow.Ask()
	w.mu.Unlock()
	ask := fmt.Sprintf("%s?watch=1&after=%d", path, after)
	if whole {
		ask = path
	}
	conn, err := (&net.Dialer{Timeout: connect}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(w.silence(begun)))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", ask, address); err != nil {
		return err
	}
	r := http1.NewReader(conn)
	var m http1.Message
	if err := r.AnswerHead(&m); err != nil {
		return err
	}
	if m.Status != 200 {
		return fmt.Errorf("status %d", m.Status)
	}
	lines := bufio.NewScanner(r.Body(&m))
	lines.Buffer(make([]byte, 0, 4<<10), longest)
	if whole {
		lines.Split(all)
	}
	for first := true; lines.Scan(); {
		now := w.sink.Now()
		w.mu.Lock()
		w.follow.Heard(now)
		w.mu.Unlock()
		up()
		w.once.Do(w.heard)
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			if err := w.take(line, first); err != nil {
				return err
			}
			first = false
		}
		conn.SetDeadline(time.Now().Add(w.silence(begun)))
	}
	return lines.Err()
}

// all takes everything as one line.
func all(data []byte, atEOF bool) (int, []byte, error) {
	if !atEOF || len(data) == 0 {
		return 0, nil, nil
	}
	return len(data), data, nil
}

// silence is for how long the watch may still say nothing.
func (w *Watch) silence(begun logic.Micros) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return micros(max(w.follow.SilentAt(begun)-w.sink.Now(), 1))
}

// take hands on what a line tells.
func (w *Watch) take(line []byte, first bool) error {
	news, err := config.News(line, w.zones)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.follow.Unread()
		return fmt.Errorf("a line that cannot be read: %w", err)
	}
	changed, again, complaint := w.follow.Told(w.sink.Now(), news, first)
	if complaint != nil {
		w.log.Warn("discovery", zap.Error(complaint))
	}
	if again {
		return errAnew
	}
	if len(changed) > 0 {
		w.sink.Nodes(changed, w.follow.Targets())
	}
	return nil
}
