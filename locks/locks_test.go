package locks

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestGrant(t *testing.T) {
	for _, x := range []struct {
		held, requested Lock
		ok              bool
	}{
		{Lock{Root: "/a"}, Lock{Root: "/a"}, false},
		{Lock{Root: "/a", Shared: true}, Lock{Root: "/a", Shared: true}, true},
		{Lock{Root: "/a", Shared: true}, Lock{Root: "/a"}, false},
		{Lock{Root: "/a"}, Lock{Root: "/a", Shared: true}, false},
		{Lock{Root: "/a", Deep: true}, Lock{Root: "/a/b"}, false},
		{Lock{Root: "/a"}, Lock{Root: "/a/b"}, true},
		{Lock{Root: "/a/b"}, Lock{Root: "/a"}, true},
		{Lock{Root: "/a/b"}, Lock{Root: "/a", Deep: true}, false},
		{Lock{Root: "/a/b"}, Lock{Root: "/", Deep: true}, false},
		{Lock{Root: "/", Deep: true}, Lock{Root: "/x"}, false},
		{Lock{Root: "/ab", Deep: true}, Lock{Root: "/a", Deep: true}, true},
		{Lock{Root: "/a", Deep: true}, Lock{Root: "/ab"}, true},
	} {
		tb := New(100, nil)
		x.held.Token, x.requested.Token, x.held.Length, x.requested.Length = "1", "2", 10, 10
		if _, err := tb.Grant(100, x.held); err != nil {
			t.Fatal(err)
		}
		_, err := tb.Grant(105, x.requested)
		if (err == nil) != x.ok || err != nil && !errors.Is(err, ErrLocked) {
			t.Errorf("%+v beside %+v: %v", x.requested, x.held, err)
		}
		if _, err := tb.Grant(110, Lock{Root: x.requested.Root, Deep: true, Token: "3", Length: 1}); (err == nil) != (!x.ok) {
			t.Errorf("%+v after %+v has expired: %v", x.requested, x.held, err)
		}
	}
}

func TestUse(t *testing.T) {
	tb := New(0, []Lock{{Token: "old", Root: "/x", Expires: 5}, {Token: "d", Root: "/d", Deep: true, User: "ann", Expires: 100, Length: 50}})
	if tb.Len() != 2 || len(New(10, []Lock{{Token: "old", Expires: 5}}).byToken) != 0 {
		t.Fatal("an expired lock was restored, or a valid one was left out")
	}
	if got := tb.Expire(5, 10); len(got) != 1 || got[0] != "old" {
		t.Errorf("Expire removed %v", got)
	}
	locked := func(name string, below bool, user string, tokens ...string) bool {
		return tb.CheckAccess(10, name, below, user, tokens) != nil
	}
	if !locked("/d/e", false, "ann") || locked("/d/e", false, "ann", "x", "d") || !locked("/d/e", false, "bob", "d") || locked("/", false, "bob") ||
		!locked("/", true, "bob") || locked("/e", true, "bob") {
		t.Error("CheckAccess allows or denies a change wrongly")
	}
	if _, err := tb.Refresh(20, "/d/e", "d", "bob", 0); err == nil {
		t.Error("refreshed by another user")
	}
	if l, err := tb.Refresh(20, "/d/e", "d", "ann", 0); err != nil || l.Expires != 70 {
		t.Errorf("%+v, %v", l, err)
	}
	if tb.Unlock(20, "/e", "d", "ann") == nil || !tb.Holds(20, "/d/e/f", "d") || tb.Holds(80, "/d", "d") || tb.Holds(20, "/e", "d") {
		t.Error("a lock covers a wrong name or does not cover a right one")
	}
	if got := tb.Drop("/"); len(got) != 1 || tb.Len() != 0 {
		t.Errorf("%v dropped", got)
	}
}

// Compares the table with a plain list of locks: Grant, CheckAccess and Unlock must give the same results.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb, now := New(0, nil), int64(0)
		names := []string{"/", "/a", "/a/b", "/a/b/c", "/ab", "/a/bc"}
		var list []Lock
		isUnder := func(name, root string) bool {
			return name == root || root == "/" || strings.HasPrefix(name, root+"/")
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				l := Lock{Token: fmt.Sprint(i), Root: rapid.SampledFrom(names).Draw(t, "root"), Deep: rapid.Bool().Draw(t, "deep"),
					Shared: rapid.Bool().Draw(t, "shared"), Length: rapid.Int64Range(1, 9).Draw(t, "length")}
				free := true
				for _, o := range list {
					overlaps := o.Root == l.Root || o.Deep && isUnder(l.Root, o.Root) || l.Deep && isUnder(o.Root, l.Root)
					free = free && (o.Expires <= now || !overlaps || o.Shared && l.Shared)
				}
				got, err := tb.Grant(now, l)
				if (err == nil) != free {
					t.Fatalf("%+v at %d: %v, want %v (%+v)", l, now, err, free, list)
				}
				if err == nil {
					list = append(list, *got)
				}
			case 2:
				now += rapid.Int64Range(1, 5).Draw(t, "pass")
			case 3:
				name, below := rapid.SampledFrom(names).Draw(t, "name"), rapid.Bool().Draw(t, "below")
				free := true
				for _, o := range list {
					if o.Expires > now && (o.Root == name || o.Deep && isUnder(name, o.Root) || below && isUnder(o.Root, name)) {
						free = false
					}
				}
				if err := tb.CheckAccess(now, name, below, "", nil); (err == nil) != free {
					t.Fatalf("%s at %d: %v, want %v (%+v)", name, now, err, free, list)
				}
			case 4:
				if len(list) > 0 {
					l := list[rapid.IntRange(0, len(list)-1).Draw(t, "which")]
					if err := tb.Unlock(now, l.Root, l.Token, ""); (err == nil) != (l.Expires > now) {
						t.Fatalf("unlocking %+v at %d: %v", l, now, err)
					}
					for j := range list {
						if list[j].Token == l.Token {
							list = append(list[:j], list[j+1:]...)
							break
						}
					}
				}
			}
		}
	})
}
