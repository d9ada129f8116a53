package initiator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"appleplank/internal/nvme"
	"appleplank/links"
	"appleplank/logic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Discovery follows a discovery controller: it reads the log page after connecting, when notified of a change, and at
// least once per PollInterval.
type Discovery struct {
	Address      string
	HostNQN      string
	HostID       [16]byte
	Timeout      time.Duration // time limit for connecting and for each read of the log page
	PollInterval time.Duration
	Seed         uint64
	Now          func() logic.Micros
	Log          *zap.Logger
	// OnPage is called with each page read and the number of the connection that it was read over, counted from one.
	OnPage func(session int, d nvme.Discovery)
}

// maxEntries is the maximum number of entries of a discovery log page.
const maxEntries = 4096

// Run follows the discovery controller until ctx is done.
func (d *Discovery) Run(ctx context.Context) error {
	link := links.New(0, d.Seed)
	for n := 1; ; n++ {
		if !sleep(ctx, time.Duration(link.DialAt()-d.Now())*time.Microsecond, nil) {
			return nil
		}
		err := d.runSession(ctx, n, link)
		if ctx.Err() != nil {
			return nil
		}
		d.Log.Warn("discovery controller lost", zap.String("address", d.Address), zap.Error(err))
		link.Disconnected(d.Now())
	}
}

// runSession connects to the discovery controller and reads its log page until the connection breaks.
func (d *Discovery) runSession(parent context.Context, session int, link *links.Link) error {
	g, ctx := errgroup.WithContext(parent)
	setup, cancel := context.WithTimeoutCause(ctx, d.Timeout, fmt.Errorf("not set up within %v", d.Timeout))
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(setup, "tcp", d.Address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	q := newQueue(0, conn, 32, d.Now)
	q.onReceive, q.onUnexpected = func() {}, func() error { return nil }
	q.onTaskDone = failCall
	limit, _ := setup.Deadline()
	conn.SetDeadline(limit)
	if err := q.handshake(false); err != nil {
		conn.Close()
		return err
	}
	conn.SetDeadline(time.Time{})
	q.run(ctx, g)
	g.Go(func() error { return d.poll(ctx, setup, session, q, func() { link.Connected(d.Now()) }) })
	err = g.Wait()
	conn.Close()
	q.failOutstanding()
	return err
}

// poll sets up the controller and reads its log page until ctx is done or an error occurs.
func (d *Discovery) poll(ctx, setup context.Context, session int, q *queue, up func()) error {
	const keepAlive = 2 * time.Minute // pages are read more often, and each read shows that the host is alive
	data := nvme.ConnectData{HostID: d.HostID, CNTLID: nvme.CNTLIDAny, SubNQN: nvme.DiscoveryNQN, HostNQN: d.HostNQN}
	if _, err := q.call(setup, "Connect to the discovery controller", nvme.Connect(0, 32, uint32(keepAlive.Milliseconds())), data.Marshal(), nil); err != nil {
		return err
	}
	if _, err := enable(setup, q); err != nil {
		return err
	}
	page := make([]byte, nvme.IdentifyLen)
	if err := identify(setup, q, nvme.CNSController, 0, page); err != nil {
		return err
	}
	ctl, err := nvme.ParseController(page)
	if err != nil {
		return err
	}
	events := make(chan reply, 4)
	if ctl.OAES&nvme.EventDiscovery != 0 {
		c := nvme.NewCommand(nvme.OpSetFeatures, 0)
		c.SetDword(10, nvme.FeatAsyncEvent)
		c.SetDword(11, nvme.EventDiscovery)
		if _, err := q.call(setup, "Set Features Async Event", c, nil, nil); err != nil && !isStatus(err) {
			return err
		}
		q.submit(&task{reply: events, commands: []command{{sqe: nvme.NewCommand(nvme.OpAsyncEvent, 0)}}})
	}
	up()
	keepAliveTicker := time.NewTicker(keepAlive / 4)
	defer keepAliveTicker.Stop()
	for {
		read, done := context.WithTimeout(ctx, d.Timeout)
		l, err := readDiscovery(read, q)
		done()
		if err != nil {
			return err
		}
		d.OnPage(session, l)
		t := time.NewTimer(d.PollInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		case r := <-events:
			t.Stop()
			if r.err != nil {
				return r.err
			}
			q.submit(&task{reply: events, commands: []command{{sqe: nvme.NewCommand(nvme.OpAsyncEvent, 0)}}})
		case <-keepAliveTicker.C:
			t.Stop()
			if _, err := q.call(ctx, "Keep Alive", nvme.NewCommand(nvme.OpKeepAlive, 0), nil, nil); err != nil && !isStatus(err) {
				return err
			}
		}
	}
}

// readDiscovery reads the log page until its generation is the same before and after (Base, section 5.16.1.23), at most
// 8 times.
func readDiscovery(ctx context.Context, q *queue) (l nvme.Discovery, err error) {
	for range 8 {
		header := make([]byte, nvme.DiscoveryHeaderLen)
		get := func(off uint64, b []byte) error {
			_, err := q.call(ctx, "Get Log Page discovery", nvme.LogPage(nvme.LogDiscovery, 0, off, uint32(len(b)), false), nil, b)
			return err
		}
		if err := get(0, header); err != nil {
			return l, err
		}
		gen, n, err := nvme.ParseDiscoveryHeader(header)
		if err != nil {
			return l, err
		}
		if n > maxEntries {
			return l, fmt.Errorf("nvme: the discovery log page has %d entries, the maximum is %d", n, maxEntries)
		}
		page := make([]byte, nvme.DiscoveryHeaderLen+int(n)*nvme.DiscoveryEntryLen)
		copy(page, header)
		const chunk = 64 << 10
		for off := nvme.DiscoveryHeaderLen; off < len(page); off += chunk {
			if err := get(uint64(off), page[off:min(off+chunk, len(page))]); err != nil {
				return l, err
			}
		}
		if err := get(0, header); err != nil {
			return l, err
		}
		if again, _, err := nvme.ParseDiscoveryHeader(header); err != nil || again != gen {
			continue
		}
		return nvme.ParseDiscovery(page)
	}
	return l, errors.New("nvme: the discovery log page changes faster than it can be read")
}
