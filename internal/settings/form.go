package settings

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Problem is one thing that is wrong in a script, where it stands.
type Problem struct {
	Pos   syntax.Position
	Field string // dotted name, as volume("orders").extents[1].cell
	Text  string
}

func (p Problem) Error() string {
	at := p.Pos.String()
	if p.Field != "" {
		at += ": " + p.Field
	}
	return at + ": " + p.Text
}

// Problems are all that is wrong in a script.
type Problems []Problem

func (ps Problems) Error() string {
	var b strings.Builder
	for i, p := range ps {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(p.Error())
	}
	return b.String()
}

// form reads the keyword arguments of one call; every problem is kept and reading goes on.
type form struct {
	l     *loader
	pos   syntax.Position
	name  string
	given map[string]starlark.Value
	known []string
}

func (l *loader) form(th *starlark.Thread, name string, args starlark.Tuple, kwargs []starlark.Tuple) *form {
	f := &form{l: l, pos: th.CallFrame(1).Pos, name: name, given: map[string]starlark.Value{}}
	if len(args) > 0 {
		f.bad("", "takes named arguments only")
	}
	for _, kv := range kwargs {
		f.given[string(kv[0].(starlark.String))] = kv[1]
	}
	return f
}

func (f *form) bad(field, format string, a ...any) {
	at := f.name
	if field != "" {
		at += "." + field
	}
	f.l.problems = append(f.l.problems, Problem{f.pos, at, fmt.Sprintf(format, a...)})
}

// take finds a field; a field without a default must be given.
func (f *form) take(name string, must bool) (starlark.Value, bool) {
	f.known = append(f.known, name)
	v, ok := f.given[name]
	if ok && v == starlark.None {
		ok = false
	}
	if !ok && must {
		f.bad(name, "is missing")
	}
	return v, ok
}

// end complains of fields that no one has asked for.
func (f *form) end() {
	var extra []string
	for name := range f.given {
		found := false
		for _, k := range f.known {
			found = found || k == name
		}
		if !found {
			extra = append(extra, name)
		}
	}
	sort.Strings(extra)
	for _, name := range extra {
		f.bad(name, "unknown field; known are %s", strings.Join(f.known, ", "))
	}
}

func (f *form) quantity(name, unit string, fallback int64) int64 {
	v, ok := f.take(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	q, is := v.(quantity)
	if !is || q.unit != unit {
		example := "ms(500)"
		if unit == size {
			example = "MiB(4)"
		}
		f.bad(name, "want a %s such as %s, got %s %s", unit, example, v.Type(), v)
		return max(fallback, 0)
	}
	if q.n < 0 {
		f.bad(name, "%s is below zero", q)
	}
	return q.n
}

// must stands for "no default" in the readers below.
const must = -1

func (f *form) duration(name string, fallback int64) int64 {
	return f.quantity(name, duration, fallback)
}
func (f *form) size(name string, fallback int64) int64 { return f.quantity(name, size, fallback) }

func (f *form) number(name string, fallback float64) float64 {
	v, ok := f.take(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	n, is := starlark.AsFloat(v)
	if _, dimension := v.(quantity); dimension || !is || v.Type() == "bool" {
		f.bad(name, "want a number, got %s %s", v.Type(), v)
		return max(fallback, 0)
	}
	if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.bad(name, "%v is no number that can be used", n)
		return max(fallback, 0)
	}
	return n
}

func (f *form) whole(name string, fallback, least, most int64) int64 {
	v, ok := f.take(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	i, is := v.(starlark.Int)
	n, fits := int64(0), false
	if is {
		n, fits = i.Int64()
	}
	if !is || !fits {
		f.bad(name, "want a whole number, got %s %s", v.Type(), v)
		return max(fallback, 0)
	}
	if n < least || n > most {
		f.bad(name, "%d is not between %d and %d", n, least, most)
		return max(fallback, least)
	}
	return n
}

func (f *form) text(name, fallback string, need bool) string {
	v, ok := f.take(name, need)
	if !ok {
		return fallback
	}
	s, is := starlark.AsString(v)
	if !is {
		f.bad(name, "want text, got %s %s", v.Type(), v)
		return fallback
	}
	if s == "" && need {
		f.bad(name, "is empty")
	}
	return s
}

func (f *form) flag(name string, fallback bool) bool {
	v, ok := f.take(name, false)
	if !ok {
		return fallback
	}
	b, is := v.(starlark.Bool)
	if !is {
		f.bad(name, "want True or False, got %s %s", v.Type(), v)
		return fallback
	}
	return bool(b)
}

// word is one of a few texts; it gives its place among them.
func (f *form) word(name string, fallback int, words ...string) int {
	s := f.text(name, "", fallback < 0)
	if s == "" {
		return max(fallback, 0)
	}
	for i, w := range words {
		if w == s {
			return i
		}
	}
	f.bad(name, "%q is none of %s", s, strings.Join(words, ", "))
	return max(fallback, 0)
}

// each reads a list of dicts, each as a form of its own.
func (f *form) each(name string, need bool, read func(*form)) {
	v, ok := f.take(name, need)
	if !ok {
		return
	}
	list, is := v.(*starlark.List)
	if !is {
		f.bad(name, "want a list, got %s", v.Type())
		return
	}
	for i := range list.Len() {
		sub := &form{l: f.l, pos: f.pos, name: fmt.Sprintf("%s.%s[%d]", f.name, name, i),
			given: map[string]starlark.Value{}}
		d, is := list.Index(i).(*starlark.Dict)
		if !is {
			sub.bad("", "want a dict, got %s", list.Index(i).Type())
			continue
		}
		for _, kv := range d.Items() {
			key, is := starlark.AsString(kv[0])
			if !is {
				sub.bad("", "key %s is no text", kv[0])
				continue
			}
			sub.given[key] = kv[1]
		}
		read(sub)
		sub.end()
	}
}
