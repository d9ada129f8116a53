package ring

import (
	"testing"

	"pgregory.net/rapid"
)

// After a kill at any step between taking a descriptor and clearing its mark, exactly the requests taken and not
// published are recovered, in the order taken, each with whether it was sent.
func TestTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const num = 8
		f, err := newInflight(2, num)
		if err != nil {
			t.Fatal(err)
		}
		defer f.close()
		open := func() *tracker {
			g, err := openInflight(f.fd, uint64(len(f.mem)), 0, 2, num)
			if err != nil || !g.trusted {
				t.Fatalf("the region is not trusted when reopened: %v", err)
			}
			t.Cleanup(g.close)
			tr, err := g.trackQueue(1, num)
			if err != nil {
				t.Fatal(err)
			}
			return tr
		}
		usedIdx := uint16(rapid.IntRange(0, 0xffff).Draw(t, "used"))
		tr := open()
		if l, err := tr.recoverTaken(num, usedIdx, 0); err != nil || len(l) != 0 {
			t.Fatalf("a fresh region holds %v, %v", l, err)
		}
		var order []uint16 // taken and not published
		sent, keys := map[uint16]bool{}, map[uint16]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				head := uint16(rapid.IntRange(0, num-1).Draw(t, "head"))
				busy := false
				for _, h := range order {
					busy = busy || h == head
				}
				if !busy {
					keys[head], sent[head] = tr.markTaken(head, 5), false
					order = append(order, head)
				}
			case 2:
				if len(order) > 0 {
					h := order[rapid.IntRange(0, len(order)-1).Draw(t, "sent")]
					tr.markSent(h, 7, 3)
					sent[h] = true
				}
			default:
				n := rapid.IntRange(0, len(order)).Draw(t, "batch")
				for range n {
					i := rapid.IntRange(0, len(order)-1).Draw(t, "answered")
					tr.addAnswered(order[i])
					order = append(order[:i], order[i+1:]...)
				}
				usedIdx += uint16(n) // published
				if rapid.Bool().Draw(t, "killed before the marks are taken away") {
					break
				}
				tr.commitAnswered(usedIdx)
				continue
			}
			if len(tr.batch) == 0 && !rapid.Bool().Draw(t, "killed") {
				continue
			}
			tr = open()
			l, err := tr.recoverTaken(num, usedIdx, 9)
			if err != nil || len(l) != len(order) {
				t.Fatalf("found %d of %d, %v", len(l), len(order), err)
			}
			for i, x := range l {
				if x.head != order[i] || x.taken.Sent != sent[x.head] || x.key != keys[x.head] || x.taken.Age != 4 || x.taken.Sent && x.taken.First != 2 {
					t.Fatalf("found %+v, want head %d, sent %v", x, order[i], sent[x.head])
				}
			}
		}
	})
}

// No process that opens a region uses a key that an earlier process has used, even if little was in flight: a node that
// remembers the key would drop the write as a repeat.
func TestKeysNeverRepeat(t *testing.T) {
	const num = 8
	f, err := newInflight(1, num)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[uint64]bool{}
	last := uint64(0)
	for process := range 4 {
		tr, err := f.trackQueue(0, num)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tr.recoverTaken(num, uint16(process), 1000); err != nil {
			t.Fatal(err)
		}
		if tr.counter < last {
			t.Errorf("process %d counts from %d, the previous process had reached %d", process, tr.counter, last)
		}
		for range 5 {
			if key := tr.markTaken(3, 1000); key == 0 || seen[key] {
				t.Fatalf("process %d reuses key %#x", process, key)
			} else {
				seen[key] = true
			}
			tr.setInflight(3, 0)
		}
		last = tr.counter
	}
}
