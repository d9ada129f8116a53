package ranges

import (
	"testing"

	"appleplank/logic"

	"pgregory.net/rapid"
)

func newKeySource() func() uint64 {
	n := uint64(0)
	return func() uint64 { n++; return n }
}

func TestKeys(t *testing.T) {
	o := New(newKeySource())
	take := func(id logic.RequestID, from, to int64, wantKey uint64, wantOK bool) {
		t.Helper()
		if key, ok := o.Take(id, from, to, 1000); ok != wantOK || ok && key != wantKey {
			t.Errorf("request %d: key %d, %v; want %d, %v", id, key, ok, wantKey, wantOK)
		}
	}
	take(1, 0, 10, 1, true)
	take(2, 10, 20, 2, true)  // adjacent to 1, overlaps nothing
	take(3, 5, 8, 1, true)    // inside 1: shares its key
	take(4, 8, 12, 0, false)  // overlaps two keys: held
	take(5, 11, 13, 0, false) // overlaps a held change, which goes first
	take(6, 30, 40, 3, true)

	var free []logic.RequestID
	freeAt := func(now logic.Micros) []logic.RequestID {
		free = nil
		o.Release(now, func(id logic.RequestID, _ uint64) { free = append(free, id) })
		return free
	}
	if got := freeAt(1); len(got) != 0 {
		t.Errorf("freed %v before anything ended", got)
	}
	o.Done(2, 50) // its bytes stay bound until 50
	if got := freeAt(49); len(got) != 0 {
		t.Errorf("freed %v while the bytes of 2 are bound", got)
	}
	if o.Next() != 50 {
		t.Errorf("Next gives %d, want 50, when the bytes of 2 are released", o.Next())
	}
	if got := freeAt(50); len(got) != 2 || got[0] != 4 || got[1] != 5 {
		t.Errorf("freed %v, want 4 and 5 in this order", got)
	}
}

// A done request whose bytes are bound gives later overlapping requests its key, so that package logic delays them as
// long as it blocks the key.
func TestRestBindsKey(t *testing.T) {
	o := New(newKeySource())
	o.Take(1, 0, 10, 1000)
	o.Done(1, 70)
	if key, ok := o.Take(2, 4, 6, 1000); !ok || key != 1 {
		t.Errorf("key %d, %v; want the bound key 1", key, ok)
	}
}

// A reserved change holds later changes that overlap it, and itself waits for earlier ones.
func TestReserve(t *testing.T) {
	o := New(newKeySource())
	o.Take(1, 0, 10, 1000)
	o.Reserve(2, 5, 15)
	if _, ok := o.Take(3, 12, 20, 1000); ok {
		t.Fatal("a change got ahead of an overlapping reserved one")
	}
	if _, ok := o.Take(4, 20, 30, 1000); !ok {
		t.Fatal("held though it overlaps nothing")
	}
	var got []logic.RequestID
	free := func() []logic.RequestID {
		got = nil
		o.Release(10, func(id logic.RequestID, _ uint64) { got = append(got, id) })
		return got
	}
	o.Done(4, 0)
	if len(free()) > 0 {
		t.Fatalf("freed %v before the reserved change is ready", got)
	}
	if key, ok := o.Ready(2, 1000); !ok || key != 1 {
		t.Fatalf("key %d, %v; want key 1 of the change that it overlaps", key, ok)
	}
	if free(); len(got) != 1 || got[0] != 3 {
		t.Fatalf("freed %v, want 3", got)
	}
	o.Reserve(5, 0, 40)
	o.Take(6, 0, 1, 1000)
	o.Take(7, 2, 3, 1000)
	o.Done(5, 0) // dropped without a call of Ready
	if free(); len(got) != 2 {
		t.Fatalf("freed %v, want 6 and 7", got)
	}
	if _, ok := o.Ready(5, 1); ok {
		t.Fatal("Ready gives a key after Done")
	}
	// While all changes are paused after a start, a reserved one is held too.
	o.PauseUntil(100)
	o.Reserve(8, 50, 60)
	if _, ok := o.Ready(8, 1000); ok {
		t.Fatal("Ready gives a key while all changes are paused")
	}
	o.Release(100, func(id logic.RequestID, _ uint64) { got = append(got, id) })
	if got[len(got)-1] != 8 {
		t.Fatalf("freed %v", got)
	}
}

func TestExpired(t *testing.T) {
	o := New(newKeySource())
	o.Take(1, 0, 10, 1000)
	o.Take(2, 10, 20, 1000)
	o.Take(3, 5, 15, 100)
	o.Take(4, 14, 16, 2000)
	var refused []logic.RequestID
	o.RefuseExpired(99, func(id logic.RequestID) { refused = append(refused, id) })
	if len(refused) != 0 {
		t.Errorf("refused %v too early", refused)
	}
	o.RefuseExpired(100, func(id logic.RequestID) { refused = append(refused, id) })
	if len(refused) != 1 || refused[0] != 3 {
		t.Errorf("refused %v, want 3", refused)
	}
	freed := 0
	o.Release(100, func(id logic.RequestID, key uint64) {
		if freed++; id != 4 || key != 2 {
			t.Errorf("freed %d under key %d, want 4 under 2", id, key)
		}
	})
	if freed != 1 {
		t.Errorf("%d freed after the change held before it was refused, want 1", freed)
	}
}

// For any sequence of changes and ends: two live changes that overlap have the same key, no change gets a key while an
// earlier overlapping one is held, and finally all changes have been released.
func TestOverlapsShareKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			from, to int64
			key      uint64
			position int
		}
		o, now, id := New(newKeySource()), logic.Micros(0), logic.RequestID(0)
		live := map[logic.RequestID]*change{}
		var ids []logic.RequestID
		released := map[logic.RequestID]bool{}
		checkKey := func(at logic.RequestID) {
			released[at] = true
			a := live[at]
			for other, b := range live {
				if other == at || a.from >= b.to || b.from >= a.to {
					continue
				}
				if b.key != 0 && b.key != a.key {
					t.Fatalf("%d and %d overlap under keys %d and %d", at, other, a.key, b.key)
				}
				if b.key == 0 && b.position < a.position {
					t.Fatalf("%d got a key before %d, which is earlier and held", at, other)
				}
			}
		}
		free := func() {
			o.Release(now, func(id logic.RequestID, key uint64) { live[id].key = key; checkKey(id) })
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += logic.Micros(rapid.IntRange(0, 20).Draw(t, "pass"))
			if rapid.Bool().Draw(t, "take") || len(ids) == 0 {
				id++
				from := int64(rapid.IntRange(0, 40).Draw(t, "from"))
				c := &change{from, from + int64(rapid.IntRange(1, 12).Draw(t, "len")), 0, int(id)}
				key, ok := o.Take(id, c.from, c.to, now+100000)
				live[id] = c
				ids = append(ids, id)
				if ok {
					c.key = key
					checkKey(id)
				}
			} else {
				i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
				if c := live[ids[i]]; c.key != 0 {
					rest := logic.Micros(0)
					o.Done(ids[i], rest)
					delete(live, ids[i])
					ids = append(ids[:i], ids[i+1:]...)
				}
			}
			free()
		}
		for len(ids) > 0 {
			ended := false
			for i, x := range ids {
				if live[x].key != 0 {
					o.Done(x, 0)
					delete(live, x)
					ids = append(ids[:i], ids[i+1:]...)
					ended = true
					break
				}
			}
			if !ended {
				t.Fatalf("%d changes are held forever", len(ids))
			}
			free()
		}
		if l, h, r := o.Len(); l+h+r != 0 || o.live.Len() != 0 {
			t.Fatalf("%d live, %d held, %d bound, %d entries left at the end", l, h, r, o.live.Len())
		}
	})
}

// After a start that follows a kill all changes are held once, and then released as if they had just arrived.
func TestRest(t *testing.T) {
	o := New(newKeySource())
	o.PauseUntil(500)
	for id := logic.RequestID(1); id <= 3; id++ {
		if _, ok := o.Take(id, int64(id)*10, int64(id)*10+11, 1000); ok {
			t.Errorf("request %d is not held", id)
		}
	}
	if o.Next() != 500 {
		t.Errorf("Next gives %d, want 500, the end of the pause", o.Next())
	}
	free := func(now logic.Micros) (got map[logic.RequestID]uint64) {
		got = map[logic.RequestID]uint64{}
		o.Release(now, func(id logic.RequestID, key uint64) { got[id] = key })
		return got
	}
	if got := free(499); len(got) != 0 {
		t.Errorf("freed %v during the pause", got)
	}
	if got := free(500); len(got) != 3 || got[1] != got[2] || got[2] != got[3] {
		t.Errorf("freed %v, want all three, which overlap, under one key", got)
	}
	if _, ok := o.Take(4, 100, 110, 1000); !ok {
		t.Error("held after the pause")
	}
}

func TestJoin(t *testing.T) {
	for _, c := range []struct {
		pieces []Answer
		repeat logic.Repeat
		want   Answer
	}{
		{[]Answer{Served, Served}, logic.Fragile, Served},
		{[]Answer{Refused, Refused}, logic.Fragile, Refused},
		{[]Answer{Served, Refused}, logic.Retryable, Refused},
		{[]Answer{Served, Refused}, logic.Dedup, Failed},
		{[]Answer{Refused, Served}, logic.Fragile, Failed},
		{[]Answer{Served, Failed, Served}, logic.Retryable, Failed},
		{[]Answer{Refused, Failed}, logic.Retryable, Failed},
	} {
		var got Answer
		for i, p := range c.pieces {
			got = Join(got, p, i == 0, c.repeat)
		}
		if got != c.want {
			t.Errorf("%v of class %d joined to %d, want %d", c.pieces, c.repeat, got, c.want)
		}
	}
}

func TestSplit(t *testing.T) {
	run := func(at int64) int64 { return at/100*100 + 100 }
	var got [][2]int64
	Split(250, 200, run, func(from, n int64) { got = append(got, [2]int64{from, n}) })
	want := [][2]int64{{250, 50}, {300, 100}, {400, 50}}
	if len(got) != 3 || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
		t.Errorf("%v, want %v", got, want)
	}
}

func BenchmarkTakeDone(b *testing.B) {
	o := New(newKeySource())
	for i := range 256 { // as many live changes as a volume with a deep queue has
		o.Take(logic.RequestID(i), int64(i)*4096, int64(i+1)*4096, 1)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := logic.RequestID(1000 + i)
		o.Take(id, int64(i%1000)*4096+1<<30, int64(i%1000+1)*4096+1<<30, 1)
		o.Done(id, 0)
	}
}
