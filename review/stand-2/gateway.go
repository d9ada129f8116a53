package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// numNodes is the number of nodes of a depot, numbered from zero.
const numNodes = 3

// depot is a gateway with three nodes, each in a process of its own.
type depot struct {
	run       *run
	dir       string                       // of the settings, the sockets and the state
	settings  string                       // path of the settings
	edit      func(settings string) string // changes the settings; nil: they stay as they are
	nodes     [numNodes]*process
	addresses []string // of the nodes, as the gateway is told
	gateway   *process
	orders    string // socket of the disk
	files     string // address of the files
}

// settingsText is a small deployment: the classes, plans and rules of examples/depot.star, one disk over all nodes, and
// files by WebDAV for two users, both with the password "depot".
const settingsText = `
gateway(name = "depot-1", hosts = 1, number = 0, unit_mean = 1.2, unit_top = 64)
class_(name = "read", aim = ms(100), deadline = s(2), worth = 2, late_share = 0.2)
class_(name = "save", aim = ms(150), deadline = s(3), worth = 3, late_share = 0.2, in_order = True, writes = True)
plan(name = "priority", rate = 200, reserve = 160, weight = 6)
plan(name = "basic", rate = 60, reserve = 20, weight = 1)
rules(stop_sending = s(2), order_pause = ms(500), cold_from = 0.16, cold_time = s(18), cold_units = 40,
    overload_time = s(1), tip_multiple = 4)
ADDRESSES = ["%s"]
for i, address in enumerate(ADDRESSES):
    node(id = i + 1, cell = i, address = address, nqn = "nqn.2026-12.example.review:%%d" %% i)
TABLE = [dict(kind = "read", class_ = "read")] + [dict(kind = k, class_ = "save") for k in ["write", "flush", "discard", "write_zeroes"]]
volume(id = 1, name = "orders", plan = "priority", socket = "%s", table = TABLE,
    extents = [dict(size = MiB(32), cell = i, namespace = 1) for i in range(3)])
volume(id = 2, name = "files", plan = "basic", table = TABLE, objects = True,
    extents = [dict(size = MiB(64), cell = i, namespace = 2) for i in range(3)])
times(answer_margin = ms(20), connect = s(2), keep_alive = s(10), drain = s(10))
bounds(depth = 64, io_queues = 2, memory = MiB(64))
state(dir = "%s", every = s(1))
user(name = "ann", hash = "$2a$10$hwdPOwF/zStX14N/glID6OelUDn17Eha/bS.URYRwMt0rJNWxv5Bm")
user(name = "bob", hash = "$2a$10$hwdPOwF/zStX14N/glID6OelUDn17Eha/bS.URYRwMt0rJNWxv5Bm")
dav(listen = "%s", trees = [dict(path = "/files", volume = "files", write = ["ann", "bob"])])
`

// startDepot starts the nodes and the gateway. The nodes work for the given time on each command.
func (r *run) startDepot(base, away time.Duration) (*depot, error) {
	d, err := r.prepareDepot(base, away)
	if err != nil {
		return nil, err
	}
	return d, d.startGateway()
}

// prepareDepot starts the nodes.
func (r *run) prepareDepot(base, away time.Duration) (*depot, error) {
	dir, err := os.MkdirTemp(r.dir, "depot-")
	if err != nil {
		return nil, err
	}
	d := &depot{run: r, dir: dir, settings: filepath.Join(dir, "depot.star"), orders: filepath.Join(dir, "orders.sock")}
	for i := range d.nodes {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		d.addresses = append(d.addresses, address)
		if d.nodes[i], err = r.start(fmt.Sprint("node-", i), nil, fmt.Sprintf("exec bin/stand-2 node --listen %s --nqn nqn.2026-12.example.review:%d --base %v --away %v",
			address, i, base, away)); err != nil {
			return nil, err
		}
	}
	for _, a := range d.addresses {
		if err := r.waitFor("a node listens", 10*time.Second, func() bool { return listening(a) }); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// startGateway starts the gateway with the nodes at d.addresses.
func (d *depot) startGateway() (err error) {
	if d.files, err = freeAddress(); err != nil {
		return err
	}
	text := fmt.Sprintf(settingsText, strings.Join(d.addresses, `", "`), d.orders, filepath.Join(d.dir, "state"), d.files)
	if d.edit != nil {
		text = d.edit(text)
	}
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if d.gateway, err = d.run.start("gateway", nil, "exec bin/appleplank serve -c "+d.settings); err != nil {
		return err
	}
	if err := d.run.waitFor("the gateway listens", 10*time.Second, func() bool { return listening(d.files) }); err != nil {
		return err
	}
	time.Sleep(700 * time.Millisecond) // changes wait for order_pause after a start without a state
	return nil
}
