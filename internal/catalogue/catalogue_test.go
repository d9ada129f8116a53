package catalogue

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"appleplank/locks"

	bolt "go.etcd.io/bbolt"
	"pgregory.net/rapid"
)

func open(t testing.TB, path string) *Catalogue {
	t.Helper()
	c, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func always(*Entry) error { return nil }

// Against a plain map of paths: any course of puts, folders, deletes, moves and copies, with restarts; what is freed is
// exactly what nothing names any more, and the check finds nothing.
func TestTree(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		path := filepath.Join(dir, fmt.Sprint(run))
		c, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		c.db.NoSync = true // crashes are cut elsewhere; this is about what the tree is
		defer func() { c.Close() }()
		tree := map[string]int64{"/": -1} // path: place of its object; below zero: a folder
		live := map[int64]bool{}
		next := int64(0)
		names := []string{"/a", "/b", "/a/a", "/a/b", "/a/b/c", "/b/x", "/a/b/c/d"}
		parent := func(p string) string { return p[:max(strings.LastIndexByte(p, '/'), 1)] }
		hasParent := func(p string) bool { at, ok := tree[parent(p)]; return ok && at < 0 }
		under := func(p, root string) bool { return p == root || strings.HasPrefix(p, strings.TrimSuffix(root, "/")+"/") }
		gone := func(freed []Freed) {
			for _, f := range freed {
				for _, o := range f.Objects {
					if !live[o.At] {
						t.Fatalf("object at %d is freed and was not there", o.At)
					}
					delete(live, o.At)
				}
			}
		}
		drop := func(root string) {
			for p := range tree {
				if under(p, root) {
					delete(tree, p)
				}
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			p := rapid.SampledFrom(names).Draw(t, "path")
			at, exists := tree[p]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				next += 10
				_, created, freed, err := c.Put(p, "", 7, []Object{{next, 7}}, always)
				ok := hasParent(p) && !(exists && at < 0)
				if (err == nil) != ok || ok && created == exists {
					t.Fatalf("put %s: created %v, %v; tree %v", p, created, err, tree)
				}
				if ok {
					tree[p], live[next] = next, true
				}
				gone(freed)
			case 2:
				if err := c.Mkdir(p); (err == nil) != (hasParent(p) && !exists) {
					t.Fatalf("mkdir %s: %v", p, err)
				} else if err == nil {
					tree[p] = -1
				}
			case 3:
				freed, err := c.Delete(p)
				if (err == nil) != exists {
					t.Fatalf("delete %s: %v", p, err)
				}
				drop(p)
				gone(freed)
			case 4, 5:
				to, over := rapid.SampledFrom(names).Draw(t, "to"), rapid.Bool().Draw(t, "overwrite")
				_, there := tree[to]
				created, freed, err := c.Move(p, to, over)
				ok := exists && !under(to, p) && !under(p, to) && hasParent(to) && (!there || over)
				if (err == nil) != ok || ok && created == there {
					t.Fatalf("move %s to %s: created %v, %v; tree %v", p, to, created, err, tree)
				}
				if ok {
					drop(to)
					for q, at := range tree {
						if under(q, p) {
							delete(tree, q)
							tree[to+q[len(p):]] = at
						}
					}
				}
				gone(freed)
			case 6: // a tree that is linked, given up, or forgotten by a crash
				tr, err := c.NewTree(Entry{Dir: true})
				if err != nil {
					t.Fatal(err)
				}
				next += 10
				if _, err := tr.Add(tr.Root(), "f", Entry{Size: 7, Objects: []Object{{next, 7}}}); err != nil {
					t.Fatal(err)
				}
				live[next] = true
				switch rapid.IntRange(0, 2).Draw(t, "then") {
				case 0:
					_, freed, err := tr.Link(p, true)
					if (err == nil) != hasParent(p) {
						t.Fatalf("link %s: %v", p, err)
					}
					if err == nil {
						drop(p)
						tree[p], tree[p+"/f"] = -1, next
					} else {
						freed, _ = tr.Drop()
					}
					gone(freed)
				case 1:
					freed, _ := tr.Drop()
					gone(freed)
				default:
					delete(live, next)
					c.Close()
					if c, err = Open(path); err != nil {
						t.Fatal(err)
					}
					c.db.NoSync = true
				}
			default:
				c.Close()
				if c, err = Open(path); err != nil {
					t.Fatal(err)
				}
				c.db.NoSync = true
			}
			for q, at := range tree {
				e, err := c.Get(q)
				if err != nil || e.Dir != (at < 0) || at >= 0 && (len(e.Objects) != 1 || e.Objects[0].At != at) {
					t.Fatalf("%s: %+v, %v, want %d", q, e, err, at)
				}
			}
			seen := map[int64]bool{}
			c.Objects(func(o Object) error { seen[o.At] = true; return nil })
			if len(seen) != len(live) {
				t.Fatalf("%d objects are named, %d are live", len(seen), len(live))
			}
		}
		problems, files, folders, err := c.Check()
		if err != nil || len(problems) > 0 || files+folders < len(tree) {
			t.Fatalf("%v, %v; %d files, %d folders, tree %v", problems, err, files, folders, tree)
		}
	})
}

func TestNames(t *testing.T) {
	for _, x := range []struct {
		path string
		n    int
	}{{"/", 0}, {"/a/b/", 2}, {"//a", 1}, {"", -1}, {"a", -1}, {"/a/../b", -1}, {"/.", -1}, {"/a\x00", -1}, {"/" + strings.Repeat("x", 256), -1},
		{"/ü/日本", 2}, {strings.Repeat("/a", MostDepth+1), -1}} {
		if got, err := Split(x.path); (err == nil) != (x.n >= 0) || len(got) != max(x.n, 0) {
			t.Errorf("%.20q: %d names, %v", x.path, len(got), err)
		}
	}
}

// A deep tree, a full folder, properties and locks, over a restart.
func TestLargeAndKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c")
	c := open(t, path)
	c.db.NoSync = true
	deep := ""
	for range 1000 {
		deep += "/d"
		if err := c.Mkdir(deep); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Mkdir("/full"); err != nil {
		t.Fatal(err)
	}
	for i := range 3000 {
		if _, _, _, err := c.Put(fmt.Sprintf("/full/%05d", i), "text/plain", 0, nil, always); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.SetProps("/full", []Prop{{"u:", "a", "<a/>"}, {"u:", "b", "1"}}, nil); err != nil {
		t.Fatal(err)
	}
	if err := c.SetProps("/full", []Prop{{"u:", "a", "2"}}, []Prop{{Space: "u:", Name: "b"}, {Space: "u:", Name: "none"}}); err != nil {
		t.Fatal(err)
	}
	if err := c.SetProps("/full", []Prop{{"u:", "c", strings.Repeat("x", MostProps)}}, nil); !errors.Is(err, ErrTooLarge) {
		t.Errorf("too large a property: %v", err)
	}
	grant := func(token, root string) error {
		_, err := c.ChangeLocks(func(now int64, tb *locks.Table) (*locks.Lock, []string, error) {
			l, err := tb.Grant(now, locks.Lock{Token: token, Root: root, Length: 3600})
			return l, nil, err
		})
		return err
	}
	if err := errors.Join(grant("t1", "/full"), grant("t2", "/d")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.ChangeLocks(func(now int64, tb *locks.Table) (*locks.Lock, []string, error) {
		return nil, []string{"t2"}, tb.Unlock(now, "/d", "t2", "")
	}); err != nil {
		t.Fatal(err)
	}
	c.Close()
	c = open(t, path)
	defer c.Close()
	e, err := c.Get("/full")
	if err != nil || len(e.Props) != 1 || e.Props[0].XML != "2" {
		t.Fatalf("%+v, %v", e, err)
	}
	n, after := 0, ""
	for {
		list, err := c.List(e.ID, after, 700)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range list {
			if x.Name <= after {
				t.Fatalf("%s after %s", x.Name, after)
			}
			after = x.Name
			n++
		}
		if len(list) < 700 {
			break
		}
	}
	if n != 3000 {
		t.Errorf("%d names", n)
	}
	if grant("t3", "/full") == nil || grant("t4", "/d") != nil {
		t.Error("locks did not outlast the restart")
	}
	if _, err := c.Get(deep); err != nil {
		t.Error(err)
	}
	if _, err := c.Delete("/d"); err != nil {
		t.Error(err)
	}
	if problems, files, folders, err := c.Check(); len(problems) > 0 || err != nil || files != 3000 || folders != 2 {
		t.Errorf("%v, %v: %d files, %d folders", problems, err, files, folders)
	}
}

// Whatever is taken out of a catalogue or put in at random, repair makes it sound, and what was sound stays reachable.
func TestRepair(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		c, err := Open(filepath.Join(dir, fmt.Sprint(run)))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.db.NoSync = true
		for i, p := range []string{"/a", "/a/b", "/c"} {
			if err := c.Mkdir(p); err != nil {
				t.Fatal(err)
			}
			if _, _, _, err := c.Put(p+"/f", "", 7, []Object{{int64(i * 10), 7}}, always); err != nil {
				t.Fatal(err)
			}
		}
		if done, err := c.Repair(); err != nil || len(done) > 0 {
			t.Fatalf("a sound one was repaired: %v, %v", done, err)
		}
		hurt := rapid.IntRange(1, 4).Draw(t, "hurts")
		if err := c.db.Update(func(tx *bolt.Tx) error {
			for range hurt {
				b := tx.Bucket([][]byte{bNames, bEntries}[rapid.IntRange(0, 1).Draw(t, "bucket")])
				var keys [][]byte
				b.ForEach(func(k, _ []byte) error { keys = append(keys, slices.Clone(k)); return nil })
				if len(keys) == 0 {
					continue
				}
				k := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")]
				switch rapid.IntRange(0, 3).Draw(t, "how") {
				case 0:
					b.Delete(k)
				case 1:
					b.Put(k, []byte("nonsense"))
				case 2:
					b.Put(k, b.Get(keys[0]))
				default:
					b.Put(append(slices.Clone(k), 'x'), b.Get(k))
				}
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Repair(); err != nil {
			t.Fatal(err)
		}
		problems, _, _, err := c.Check()
		if err != nil || len(problems) > 0 {
			t.Fatalf("after repair: %v, %v", problems, err)
		}
		if again, err := c.Repair(); err != nil || len(again) > 0 {
			t.Fatalf("a second repair did more: %v, %v", again, err)
		}
		if _, err := c.Get("/"); err != nil {
			t.Fatal(err)
		}
	})
}
