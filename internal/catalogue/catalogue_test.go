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

func openCatalogue(t testing.TB, path string) *Catalogue {
	t.Helper()
	c, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func acceptAny(*Entry) error { return nil }

// Compares the catalogue with a map of paths over random sequences of puts, new folders, deletes, moves, copies and
// restarts. Exactly the objects that no entry refers to any more must be freed, and Check must find no problem.
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
		c.db.NoSync = true // crash safety is tested elsewhere; this test is about the tree
		defer func() { c.Close() }()
		tree := map[string]int64{"/": -1} // path to offset of the file's object; negative for a folder
		live := map[int64]bool{}
		nextOffset := int64(0)
		names := []string{"/a", "/b", "/a/a", "/a/b", "/a/b/c", "/b/x", "/a/b/c/d"}
		parent := func(p string) string { return p[:max(strings.LastIndexByte(p, '/'), 1)] }
		hasParent := func(p string) bool { offset, ok := tree[parent(p)]; return ok && offset < 0 }
		under := func(p, root string) bool { return p == root || strings.HasPrefix(p, strings.TrimSuffix(root, "/")+"/") }
		checkFreed := func(freed []Freed) {
			for _, f := range freed {
				for _, o := range f.Objects {
					if !live[o.At] {
						t.Fatalf("the object at %d was freed but is not in use", o.At)
					}
					delete(live, o.At)
				}
			}
		}
		removeTree := func(root string) {
			for p := range tree {
				if under(p, root) {
					delete(tree, p)
				}
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			p := rapid.SampledFrom(names).Draw(t, "path")
			offset, exists := tree[p]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				nextOffset += 10
				_, created, freed, err := c.Put(p, "", 7, []Object{{nextOffset, 7}}, acceptAny)
				ok := hasParent(p) && !(exists && offset < 0)
				if (err == nil) != ok || ok && created == exists {
					t.Fatalf("put %s: created %v, %v; tree %v", p, created, err, tree)
				}
				if ok {
					tree[p], live[nextOffset] = nextOffset, true
				}
				checkFreed(freed)
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
				removeTree(p)
				checkFreed(freed)
			case 4, 5:
				to, overwrite := rapid.SampledFrom(names).Draw(t, "to"), rapid.Bool().Draw(t, "overwrite")
				_, taken := tree[to]
				created, freed, err := c.Move(p, to, overwrite)
				ok := exists && !under(to, p) && !under(p, to) && hasParent(to) && (!taken || overwrite)
				if (err == nil) != ok || ok && created == taken {
					t.Fatalf("move %s to %s: created %v, %v; tree %v", p, to, created, err, tree)
				}
				if ok {
					removeTree(to)
					for q, at := range tree {
						if under(q, p) {
							delete(tree, q)
							tree[to+q[len(p):]] = at
						}
					}
				}
				checkFreed(freed)
			case 6: // a tree that is linked, dropped, or left over by a crash
				copied, err := c.NewTree(Entry{Dir: true})
				if err != nil {
					t.Fatal(err)
				}
				nextOffset += 10
				if _, err := copied.Add(copied.Root(), "f", Entry{Size: 7, Objects: []Object{{nextOffset, 7}}}); err != nil {
					t.Fatal(err)
				}
				live[nextOffset] = true
				switch rapid.IntRange(0, 2).Draw(t, "then") {
				case 0:
					_, freed, err := copied.Link(p, true)
					if (err == nil) != hasParent(p) {
						t.Fatalf("link %s: %v", p, err)
					}
					if err == nil {
						removeTree(p)
						tree[p], tree[p+"/f"] = -1, nextOffset
					} else {
						freed, _ = copied.Drop()
					}
					checkFreed(freed)
				case 1:
					freed, _ := copied.Drop()
					checkFreed(freed)
				default:
					delete(live, nextOffset)
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
			c.ForEachObject(func(o Object) error { seen[o.At] = true; return nil })
			if len(seen) != len(live) {
				t.Fatalf("%d objects in the catalogue, want %d", len(seen), len(live))
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
		{"/ü/日本", 2}, {strings.Repeat("/a", MaxDepth+1), -1}} {
		if got, err := Split(x.path); (err == nil) != (x.n >= 0) || len(got) != max(x.n, 0) {
			t.Errorf("%.20q: %d names, %v", x.path, len(got), err)
		}
	}
}

// A deep tree, a large folder, properties and locks must survive a restart.
func TestLargeAndKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c")
	c := openCatalogue(t, path)
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
		if _, _, _, err := c.Put(fmt.Sprintf("/full/%05d", i), "text/plain", 0, nil, acceptAny); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.SetProps("/full", []Prop{{"u:", "a", "<a/>"}, {"u:", "b", "1"}}, nil); err != nil {
		t.Fatal(err)
	}
	if err := c.SetProps("/full", []Prop{{"u:", "a", "2"}}, []Prop{{Space: "u:", Name: "b"}, {Space: "u:", Name: "none"}}); err != nil {
		t.Fatal(err)
	}
	if err := c.SetProps("/full", []Prop{{"u:", "c", strings.Repeat("x", MaxPropBytes)}}, nil); !errors.Is(err, ErrTooLarge) {
		t.Errorf("property over the size limit: %v", err)
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
	c = openCatalogue(t, path)
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
		t.Errorf("listed %d names, want 3000", n)
	}
	if grant("t3", "/full") == nil || grant("t4", "/d") != nil {
		t.Error("a lock did not survive the restart, or an unlocked one did")
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

// After random deletions, damage and additions in the database, Repair must leave a catalogue in which Check finds no
// problem, a second Repair changes nothing, and the root exists. A consistent catalogue must not be changed.
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
			if _, _, _, err := c.Put(p+"/f", "", 7, []Object{{int64(i * 10), 7}}, acceptAny); err != nil {
				t.Fatal(err)
			}
		}
		if done, err := c.Repair(); err != nil || len(done) > 0 {
			t.Fatalf("a consistent catalogue was changed: %v, %v", done, err)
		}
		hurt := rapid.IntRange(1, 4).Draw(t, "hurts")
		if err := c.db.Update(func(tx *bolt.Tx) error {
			for range hurt {
				b := tx.Bucket([][]byte{namesBucket, entriesBucket}[rapid.IntRange(0, 1).Draw(t, "bucket")])
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
			t.Fatalf("a second repair made changes: %v, %v", again, err)
		}
		if _, err := c.Get("/"); err != nil {
			t.Fatal(err)
		}
	})
}
