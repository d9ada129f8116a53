package standin

import (
	"net"
	"slices"
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
	names map[string]bool // every node it has ever named
	told  []Telling
}

// NewDirectory listens on a loopback address.
func NewDirectory(address string) (*Directory, error) {
	d := &Directory{names: map[string]bool{}}
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

// Entry is a node as the directory names it.
type Entry struct{ NQN, Address string }

// SetEntries names nodes by name and address.
func (d *Directory) SetEntries(list []Entry) error {
	var entries []nvme.DiscoveryEntry
	for _, e := range list {
		host, port, err := net.SplitHostPort(e.Address)
		if err != nil {
			return err
		}
		entries = append(entries, nvme.DiscoveryEntry{Transport: nvme.TransportTCP, Family: 1, Subsystem: nvme.SubsystemNVM,
			CNTLID: nvme.CNTLIDAny, AdminSize: 32, Service: port, NQN: e.NQN, Address: host})
	}
	d.mu.Lock()
	late := d.late
	if late > 0 {
		d.timer = append(d.timer, time.AfterFunc(late, func() { d.publish(entries) }))
	}
	d.mu.Unlock()
	if late == 0 {
		d.publish(entries)
	}
	return nil
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

// Tellings are what its pages have told of every node it has ever named. A page that names none tells nothing.
func (d *Directory) Tellings() []Telling {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.told)
}

func (d *Directory) page(id uint8, host string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.now.Entries) > 0 && id == nvme.LogDiscovery {
		ready := map[string]bool{}
		for _, e := range d.now.Entries {
			ready[e.NQN] = true
			d.names[e.NQN] = true
		}
		now := time.Now()
		for nqn := range d.names {
			d.told = append(d.told, Telling{host, nqn, now, ready[nqn]})
		}
	}
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
