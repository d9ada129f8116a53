// Package ranges decides which changes (writes) of one volume may be in flight at the same time. Package logic runs
// requests that share a key one at a time, in the order taken. This package assigns the keys, so that overlapping
// changes share a key and all others do not delay each other. It also splits requests at the boundaries of extents and
// joins the answers of the pieces.
//
// This prevents a node from applying two writes of the same bytes in an order that no client requested: the second may
// overtake the first on another connection, or the first, believed lost, may arrive after the second. Drawback: if
// clients rewrite the same few blocks with many requests in flight, those requests run one at a time.
//
// The package has no clock, goroutines or I/O, and no decision depends on map order.
package ranges

import (
	"cmp"
	"slices"

	"appleplank/logic"

	"github.com/tidwall/btree"
)

// Order holds the changes of one volume that have been taken and have not certainly ended. The zero value is not
// usable; use [New]. Its size is bounded by its caller, which limits the changes in flight, and because bytes stay
// bound to a key for a limited time only.
type Order struct {
	live        *btree.BTreeG[*entry] // by first byte, then seq
	byID        map[logic.RequestID]*entry
	held        []*entry // held back without a key, by seq
	bound       []*entry // done, but their bytes stay bound to their keys until boundUntil
	longest     int64    // length in bytes of the longest entry so far
	seq         uint64
	nextKey     func() uint64
	recheckHeld bool         // held must be checked again: an entry was removed or got its key
	pausedUntil logic.Micros // every change is held until then; 0: not paused
}

type entry struct {
	id         logic.RequestID
	seq        uint64
	from, to   int64
	key        uint64 // 0: held or reserved, no key yet
	deadline   logic.Micros
	done       bool
	reserved   bool // Ready has not been called yet
	boundUntil logic.Micros
}

// New returns an empty order. NextKey must return a new key, never zero, with each call.
func New(nextKey func() uint64) *Order {
	less := func(a, b *entry) bool {
		if a.from != b.from {
			return a.from < b.from
		}
		return a.seq < b.seq
	}
	return &Order{
		live: btree.NewBTreeGOptions(less, btree.Options{NoLocks: true, Degree: 16}),
		byID: map[logic.RequestID]*entry{}, nextKey: nextKey,
	}
}

// Take adds a change of the bytes [from, to) with a deadline and returns its key. If it overlaps changes of more than
// one key, or a change without a key, ok is false and the change is held until [Order.Release] releases it or
// [Order.RefuseExpired] refuses it at its deadline.
func (o *Order) Take(id logic.RequestID, from, to int64, deadline logic.Micros) (key uint64, ok bool) {
	o.seq++
	e := &entry{id: id, seq: o.seq, from: from, to: to, deadline: deadline}
	if o.pausedUntil == 0 {
		key, ok = o.findKey(e)
	}
	if ok {
		e.key = key
	} else {
		o.held = append(o.held, e)
	}
	o.longest = max(o.longest, to-from)
	o.byID[id] = e
	o.live.Set(e)
	return key, ok
}

// Reserve fixes the position of a change in the order before its content is known. Later changes that overlap it are
// held until [Order.Ready] has assigned its key, however long the caller takes.
func (o *Order) Reserve(id logic.RequestID, from, to int64) {
	o.seq++
	e := &entry{id: id, seq: o.seq, from: from, to: to, reserved: true}
	o.longest = max(o.longest, to-from)
	o.byID[id] = e
	o.live.Set(e)
}

// Ready releases a reserved change with its deadline. Like Take, it returns the key or holds the change.
func (o *Order) Ready(id logic.RequestID, deadline logic.Micros) (key uint64, ok bool) {
	e := o.byID[id]
	if e == nil || !e.reserved {
		return 0, false
	}
	e.reserved, e.deadline = false, deadline
	if o.pausedUntil == 0 {
		key, ok = o.findKey(e)
	}
	if ok {
		e.key, o.recheckHeld = key, true // later changes may get their keys now
		return key, true
	}
	at, _ := slices.BinarySearchFunc(o.held, e, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	o.held = slices.Insert(o.held, at, e)
	return 0, false
}

// PauseUntil holds all changes until the given time. It protects against attempts of an earlier process that was
// killed: it is unknown which bytes they change, and nodes may still execute them for a while. Drawback: the first
// changes after such a start are delayed by that time.
func (o *Order) PauseUntil(until logic.Micros) { o.pausedUntil = until }

// findKey returns the key for e: the one that all earlier entries that overlap it share, or a new one if there are
// none. If they have several keys or one has none, ok is false.
func (o *Order) findKey(e *entry) (key uint64, ok bool) {
	ok = true
	o.live.Ascend(&entry{from: e.from - o.longest}, func(x *entry) bool {
		if x.from >= e.to {
			return false
		}
		if x == e || x.to <= e.from || x.seq > e.seq {
			return true
		}
		if x.key == 0 || key != 0 && x.key != key {
			ok = false
			return false
		}
		key = x.key
		return true
	})
	if ok && key == 0 {
		key = o.nextKey()
	}
	return key, ok
}

// Done reports that the request has no attempt in flight any more. If a node may still execute one of its attempts,
// its bytes stay bound to its key until boundUntil; 0: not bound.
func (o *Order) Done(id logic.RequestID, boundUntil logic.Micros) {
	e := o.byID[id]
	if e == nil || e.done {
		return
	}
	e.done, e.boundUntil = true, boundUntil
	delete(o.byID, id)
	if boundUntil > 0 {
		o.bound = append(o.bound, e)
		return
	}
	o.remove(e)
}

func (o *Order) remove(e *entry) {
	o.live.Delete(e)
	o.recheckHeld = true
	for i, x := range o.held {
		if x == e {
			o.held = append(o.held[:i], o.held[i+1:]...)
			break
		}
	}
}

// Release calls take for each held request that can get a key now, in the order taken.
func (o *Order) Release(now logic.Micros, take func(id logic.RequestID, key uint64)) {
	if o.pausedUntil > now {
		return
	} else if o.pausedUntil > 0 {
		o.pausedUntil, o.recheckHeld = 0, true
	}
	if len(o.bound) > 0 {
		stillBound := o.bound[:0]
		for _, e := range o.bound {
			if e.boundUntil > now {
				stillBound = append(stillBound, e)
			} else {
				o.remove(e)
			}
		}
		clear(o.bound[len(stillBound):])
		o.bound = stillBound
	}
	if !o.recheckHeld || len(o.held) == 0 {
		o.recheckHeld = false
		return
	}
	o.recheckHeld = false
	stillHeld := o.held[:0]
	for _, e := range o.held {
		if key, ok := o.findKey(e); ok {
			e.key = key
			take(e.id, key)
		} else {
			stillHeld = append(stillHeld, e)
		}
	}
	clear(o.held[len(stillHeld):])
	o.held = stillHeld
}

// RefuseExpired removes each held request whose deadline has passed and calls refuse for it. None of them was ever
// sent, so a refusal's promise of no effect holds.
func (o *Order) RefuseExpired(now logic.Micros, refuse func(id logic.RequestID)) {
	var expired []*entry
	for _, e := range o.held {
		if e.deadline <= now {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		o.Done(e.id, 0)
		refuse(e.id)
	}
}

// Next returns the earliest time at which Release or RefuseExpired has something to do without any other call; 0:
// never.
func (o *Order) Next() (at logic.Micros) {
	for _, e := range o.held {
		if at == 0 || e.deadline < at {
			at = e.deadline
		}
	}
	for _, e := range o.bound {
		if at == 0 || e.boundUntil < at {
			at = e.boundUntil
		}
	}
	if o.pausedUntil > 0 && len(o.held) > 0 {
		at = min(at, o.pausedUntil)
	}
	return at
}

// Len returns the number of changes that are not done, of those among them that are held, and of done changes whose
// bytes are still bound.
func (o *Order) Len() (live, held, bound int) { return len(o.byID), len(o.held), len(o.bound) }

// Answer is the result of a request or of a piece of it.
type Answer uint8

const (
	Served  Answer = iota
	Refused        // nothing was done, or repeating it is harmless
	Failed         // no promise: it may have run
)

// Join combines whole, the answer of the pieces so far, with the answer of the next piece; first is true for the first
// piece. A partly served request is refused only if repeating all of it is harmless: a served piece has run, so a
// request of a class that must not run twice has failed.
func Join(whole, piece Answer, first bool, repeat logic.Repeat) Answer {
	switch {
	case first || whole == piece:
		return piece
	case whole == Failed || piece == Failed:
		return Failed
	case repeat == logic.Retryable:
		return Refused
	}
	return Failed
}

// Split splits [from, from+n) at the ends of the runs that cover it and calls piece for each part. Run returns the end
// of the run that contains a byte; it must be greater than the position of the byte.
func Split(from, n int64, run func(at int64) (end int64), piece func(from, n int64)) {
	for end := from + n; from < end; {
		to := min(run(from), end)
		piece(from, to-from)
		from = to
	}
}
