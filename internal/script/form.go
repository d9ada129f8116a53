package script

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

// Form reads the keyword arguments of one call; every problem is kept and reading goes on.
type Form struct {
	l     *Loader
	Pos   syntax.Position
	Name  string // how the call is called in complaints
	given map[string]starlark.Value
	known []string
}

func (l *Loader) form(th *starlark.Thread, name string, args starlark.Tuple, kwargs []starlark.Tuple) *Form {
	f := &Form{l: l, Pos: th.CallFrame(1).Pos, Name: name, given: map[string]starlark.Value{}}
	if len(args) > 0 {
		f.Bad("", "takes named arguments only")
	}
	for _, kv := range kwargs {
		f.given[string(kv[0].(starlark.String))] = kv[1]
	}
	return f
}

// Bad keeps a problem with a field, or with the call where field is empty.
func (f *Form) Bad(field, format string, a ...any) {
	at := f.Name
	if field != "" {
		at += "." + field
	}
	f.l.Problems = append(f.l.Problems, Problem{f.Pos, at, fmt.Sprintf(format, a...)})
}

// Take finds a field; a field without a default must be given.
func (f *Form) Take(name string, must bool) (starlark.Value, bool) {
	f.known = append(f.known, name)
	v, ok := f.given[name]
	if ok && v == starlark.None {
		ok = false
	}
	if !ok && must {
		f.Bad(name, "is missing")
	}
	return v, ok
}

// end complains of fields that no one has asked for.
func (f *Form) end() {
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
		f.Bad(name, "unknown field; known are %s", strings.Join(f.known, ", "))
	}
}

func (f *Form) quantity(name, unit string, fallback int64) int64 {
	v, ok := f.Take(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	q, is := v.(quantity)
	if !is || q.unit != unit {
		example := "ms(500)"
		if unit == size {
			example = "MiB(4)"
		}
		f.Bad(name, "want a %s such as %s, got %s %s", unit, example, v.Type(), v)
		return max(fallback, 0)
	}
	if q.n < 0 {
		f.Bad(name, "%s is below zero", q)
	}
	return q.n
}

// Must stands for "no default" in the readers below.
const Must = -1

func (f *Form) Duration(name string, fallback int64) int64 {
	return f.quantity(name, duration, fallback)
}
func (f *Form) Size(name string, fallback int64) int64 { return f.quantity(name, size, fallback) }

// Number reads a finite number from zero up.
func (f *Form) Number(name string, fallback float64) float64 {
	v, ok := f.Take(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	n, is := starlark.AsFloat(v)
	if _, dimension := v.(quantity); dimension || !is || v.Type() == "bool" {
		f.Bad(name, "want a number, got %s %s", v.Type(), v)
		return max(fallback, 0)
	}
	if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.Bad(name, "%v is no number that can be used", n)
		return max(fallback, 0)
	}
	return n
}

// Whole reads a whole number within bounds.
func (f *Form) Whole(name string, fallback, least, most int64) int64 {
	v, ok := f.Take(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	i, is := v.(starlark.Int)
	n, fits := int64(0), false
	if is {
		n, fits = i.Int64()
	}
	if !is || !fits {
		f.Bad(name, "want a whole number, got %s %s", v.Type(), v)
		return max(fallback, 0)
	}
	if n < least || n > most {
		f.Bad(name, "%d is not between %d and %d", n, least, most)
		return max(fallback, least)
	}
	return n
}

// Text reads a text.
func (f *Form) Text(name, fallback string, need bool) string {
	v, ok := f.Take(name, need)
	if !ok {
		return fallback
	}
	s, is := starlark.AsString(v)
	if !is {
		f.Bad(name, "want text, got %s %s", v.Type(), v)
		return fallback
	}
	if s == "" && need {
		f.Bad(name, "is empty")
	}
	return s
}

// Flag reads True or False.
func (f *Form) Flag(name string, fallback bool) bool {
	v, ok := f.Take(name, false)
	if !ok {
		return fallback
	}
	b, is := v.(starlark.Bool)
	if !is {
		f.Bad(name, "want True or False, got %s %s", v.Type(), v)
		return fallback
	}
	return bool(b)
}

// Word is one of a few texts; it gives its place among them.
func (f *Form) Word(name string, fallback int, words ...string) int {
	s := f.Text(name, "", fallback < 0)
	if s == "" {
		return max(fallback, 0)
	}
	for i, w := range words {
		if w == s {
			return i
		}
	}
	f.Bad(name, "%q is none of %s", s, strings.Join(words, ", "))
	return max(fallback, 0)
}

// Each reads a list of dicts, each as a form of its own.
func (f *Form) Each(name string, need bool, read func(*Form)) {
	for i, v := range f.list(name, need) {
		sub := &Form{l: f.l, Pos: f.Pos, Name: fmt.Sprintf("%s.%s[%d]", f.Name, name, i),
			given: map[string]starlark.Value{}}
		d, is := v.(*starlark.Dict)
		if !is {
			sub.Bad("", "want a dict, got %s", v.Type())
			continue
		}
		for _, kv := range d.Items() {
			key, is := starlark.AsString(kv[0])
			if !is {
				sub.Bad("", "key %s is no text", kv[0])
				continue
			}
			sub.given[key] = kv[1]
		}
		read(sub)
		sub.end()
	}
}

// Wholes reads a list of whole numbers within bounds.
func (f *Form) Wholes(name string, need bool, least, most int64) (out []int) {
	for _, v := range f.list(name, need) {
		n, err := starlark.AsInt32(v)
		if err != nil || int64(n) < least || int64(n) > most {
			f.Bad(name, "%s is no whole number between %d and %d", v, least, most)
			continue
		}
		out = append(out, n)
	}
	return out
}

// Texts reads a list of texts, empty where it is not given.
func (f *Form) Texts(name string) (out []string) {
	for _, v := range f.list(name, false) {
		s, is := starlark.AsString(v)
		if !is {
			f.Bad(name, "%s is no text", v)
			continue
		}
		out = append(out, s)
	}
	return out
}

// list gives the values of a list, none where it is not given.
func (f *Form) list(name string, need bool) (out []starlark.Value) {
	v, ok := f.Take(name, need)
	if !ok {
		return nil
	}
	list, is := v.(*starlark.List)
	if !is {
		f.Bad(name, "want a list, got %s", v.Type())
		return nil
	}
	for i := range list.Len() {
		out = append(out, list.Index(i))
	}
	return out
}
