// Package ranges decides which block requests of one volume may be out together. Package logic runs requests
// that share a key one at a time, in the order taken; this package finds the keys, so that two changes of the
// same blocks share one and all others do not hold each other up. It also splits requests at the ends of
// extents and joins the answers of the pieces.
//
// It guards against two writes of the same bytes at a node in an order that no client asked for: the second
// overtaking the first in another connection, or the first, thought lost, landing after the second. It could
// harm where clients rewrite the same few blocks at great depth: those then go one at a time.
//
// It has no clock, goroutine or I/O, and never acts on map order.
package ranges

import (
	"cmp"
	"slices"

	"appleplank/logic"

	"github.com/tidwall/btree"
)

// Order holds the changes of one volume that are taken and not surely over. The zero value is not usable;
// use [New]. Its size is bounded by its caller, which bounds what it takes, and by rests, which end in time.
type Order struct {
	live    *btree.BTreeG[*entry] // by first byte, then turn
	byID    map[logic.RequestID]*entry
	held    []*entry // in turn
	rests   []*entry // ended ones whose bytes rest
	longest int64    // no entry is longer
	seq     uint64
	nextKey func() uint64
	freed   bool         // something ended since held was looked at
	still   logic.Micros // every change is held until then
}

type entry struct {
	id       logic.RequestID
	seq      uint64
	from, to int64
	key      uint64 // 0: held back, without a key yet
	by       logic.Micros
	over     bool
	bound    bool // reserved: it gets its key when Ready says so
	rest     logic.Micros
}

// New makes an order that draws fresh keys, none of them zero, from nextKey.
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

// Take admits a change of the bytes [from, to) and gives its key; ok is false where it overlaps changes of
// more than one key, or one that is itself held back: then it is held, until [Order.Free] gives it or
// [Order.Expired] does, once by has come.
func (o *Order) Take(id logic.RequestID, from, to int64, by logic.Micros) (key uint64, ok bool) {
	o.seq++
	e := &entry{id: id, seq: o.seq, from: from, to: to, by: by}
	if o.still == 0 {
		key, ok = o.find(e)
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

// Reserve takes the place of a change in the turn of others before it is known what it will write; those behind it
// that overlap it are held until [Order.Ready] has given it its key. It holds them up for as long as its caller takes.
func (o *Order) Reserve(id logic.RequestID, from, to int64) {
	o.seq++
	e := &entry{id: id, seq: o.seq, from: from, to: to, bound: true}
	o.longest = max(o.longest, to-from)
	o.byID[id] = e
	o.live.Set(e)
}

// Ready says that a reserved change may go, until by. Like Take it gives the key, or holds it.
func (o *Order) Ready(id logic.RequestID, by logic.Micros) (key uint64, ok bool) {
	e := o.byID[id]
	if e == nil || !e.bound {
		return 0, false
	}
	e.bound, e.by = false, by
	if o.still == 0 {
		key, ok = o.find(e)
	}
	if ok {
		e.key, o.freed = key, true // those behind it may go now
		return key, true
	}
	at, _ := slices.BinarySearchFunc(o.held, e, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	o.held = slices.Insert(o.held, at, e)
	return 0, false
}

// Rest holds every change back until the given time. It guards against attempts of an earlier process that was killed:
// which bytes they change is not known, and a node may go on with them for a while. It costs the first changes after
// such a start that while.
func (o *Order) Rest(until logic.Micros) { o.still = until }

// find is the key under which e may join: that of all it overlaps with, or a fresh one.
func (o *Order) find(e *entry) (key uint64, ok bool) {
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

// Done says that nothing of the request is out any more. Where an attempt of it may still run, rest is the
// time until which its bytes stay bound to its key.
func (o *Order) Done(id logic.RequestID, rest logic.Micros) {
	e := o.byID[id]
	if e == nil || e.over {
		return
	}
	e.over, e.rest = true, rest
	delete(o.byID, id)
	if rest > 0 {
		o.rests = append(o.rests, e)
		return
	}
	o.drop(e)
}

func (o *Order) drop(e *entry) {
	o.live.Delete(e)
	o.freed = true
	for i, x := range o.held {
		if x == e {
			o.held = append(o.held[:i], o.held[i+1:]...)
			break
		}
	}
}

// Free calls take for each held request that may go now, in their turn.
func (o *Order) Free(now logic.Micros, take func(id logic.RequestID, key uint64)) {
	if o.still > now {
		return
	} else if o.still > 0 {
		o.still, o.freed = 0, true
	}
	if len(o.rests) > 0 {
		keep := o.rests[:0]
		for _, e := range o.rests {
			if e.rest > now {
				keep = append(keep, e)
			} else {
				o.drop(e)
			}
		}
		clear(o.rests[len(keep):])
		o.rests = keep
	}
	if !o.freed || len(o.held) == 0 {
		o.freed = false
		return
	}
	o.freed = false
	keep := o.held[:0]
	for _, e := range o.held {
		if key, ok := o.find(e); ok {
			e.key = key
			take(e.id, key)
		} else {
			keep = append(keep, e)
		}
	}
	clear(o.held[len(keep):])
	o.held = keep
}

// Expired calls refuse for each held request whose time has come. None of them was ever sent, so to refuse
// them keeps what a refusal promises.
func (o *Order) Expired(now logic.Micros, refuse func(id logic.RequestID)) {
	var due []*entry
	for _, e := range o.held {
		if e.by <= now {
			due = append(due, e)
		}
	}
	for _, e := range due {
		o.Done(e.id, 0)
		refuse(e.id)
	}
}

// Next is the soonest time at which Free or Expired could do something by the passing of time alone; 0: never.
func (o *Order) Next() (at logic.Micros) {
	for _, e := range o.held {
		if at == 0 || e.by < at {
			at = e.by
		}
	}
	for _, e := range o.rests {
		if at == 0 || e.rest < at {
			at = e.rest
		}
	}
	if o.still > 0 && len(o.held) > 0 {
		at = min(at, o.still)
	}
	return at
}

// Len is how many changes it holds: live, held back, and resting.
func (o *Order) Len() (live, held, resting int) { return len(o.byID), len(o.held), len(o.rests) }

// Answer is how a piece of a request ended.
type Answer uint8

const (
	Served  Answer = iota
	Refused        // nothing was done, or doing it again is harmless
	Failed         // no promise
)

// Join is the one answer of a request of which some pieces ended so and the next one ended like that. A whole
// is refused only where a retry of the whole is harmless: a piece that was served has run, so a class that
// must not run twice has failed.
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

// Split calls piece for each part of [from, from+n) by the ends of the runs that cover it. Run gives the end
// of the run that holds a byte; it must lie behind that byte.
func Split(from, n int64, run func(at int64) (end int64), piece func(from, n int64)) {
	for end := from + n; from < end; {
		to := min(run(from), end)
		piece(from, to-from)
		from = to
	}
}
