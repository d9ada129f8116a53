package standin

import (
	"net"
	"sync"
	"time"

	"appleplank/internal/nvme"
)

// Directory is a stand-in discovery controller. It tells what it was last set to, as late as it was told to be.
type Directory struct {
	t  target
	mu sync.Mutex

	now   nvme.Discovery // what the page says
	late  time.Duration
	timer []*time.Timer
}

// NewDirectory listens on a loopback address.
func NewDirectory(address string) (*Directory, error) {
	d := &Directory{}
	d.t = target{nqn: nvme.DiscoveryNQN, log: d.page, admin: func(*conn, *nvme.Command) (nvme.Status, uint32, bool) { return 0, 0, false },
		identify: func(id uint16) nvme.Controller {
			return nvme.Controller{Serial: "standin", Model: "appleplank stand-in directory", Firmware: "1", CNTLID: id, Version: 0x20000,
				OAES: nvme.EventDiscovery, KAS: 10, SGLs: 1<<20 | 1, SubNQN: nvme.DiscoveryNQN, Discovery: true}
		}}
	return d, d.t.listen(address)
}

// Address is where it listens.
func (d *Directory) Address() string { return d.t.ln.Addr().String() }

// Late makes what is set from now on known so much later.
func (d *Directory) Late(by time.Duration) { d.mu.Lock(); d.late = by; d.mu.Unlock() }

// Set names the nodes that are there.
func (d *Directory) Set(nodes ...*Node) {
	var entries []nvme.DiscoveryEntry
	for _, n := range nodes {
		host, port, _ := net.SplitHostPort(n.Address())
		entries = append(entries, nvme.DiscoveryEntry{Transport: nvme.TransportTCP, Family: 1, Subsystem: nvme.SubsystemNVM,
			CNTLID: nvme.CNTLIDAny, AdminSize: 32, Service: port, NQN: n.NQN(), Address: host})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.late == 0 {
		go d.publish(entries)
		return
	}
	d.timer = append(d.timer, time.AfterFunc(d.late, func() { d.publish(entries) }))
}

func (d *Directory) publish(entries []nvme.DiscoveryEntry) {
	d.mu.Lock()
	d.now = nvme.Discovery{Generation: d.now.Generation + 1, Entries: entries}
	d.mu.Unlock()
	d.Repeat()
}

// Repeat tells of a change again though nothing has changed.
func (d *Directory) Repeat() {
	d.t.each(func(c *conn) { go c.notify(notice(0xf0, nvme.LogDiscovery)) })
}

func (d *Directory) page(id uint8, _ string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now.Marshal(), id == nvme.LogDiscovery
}

// Close ends it.
func (d *Directory) Close() {
	d.mu.Lock()
	for _, t := range d.timer {
		t.Stop()
	}
	d.mu.Unlock()
	d.t.close()
}
