package script

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Problem is one error in a script with its position.
type Problem struct {
	Pos   syntax.Position
	Field string // dotted name, such as volume("orders").extents[1].cell
	Text  string
}

func (p Problem) Error() string {
	at := p.Pos.String()
	if p.Field != "" {
		at += ": " + p.Field
	}
	return at + ": " + p.Text
}

// Problems are all errors found in a script.
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

// Form reads the keyword arguments of one call, or the entries of a dict in a list. A problem with a field is added to
// those of the loader and reading continues.
type Form struct {
	l        *Loader
	Pos      syntax.Position
	Name     string // names the call in problems
	args     map[string]starlark.Value
	lookedUp []string
}

func (l *Loader) newForm(th *starlark.Thread, name string, args starlark.Tuple, kwargs []starlark.Tuple) *Form {
	f := &Form{l: l, Pos: th.CallFrame(1).Pos, Name: name, args: map[string]starlark.Value{}}
	if len(args) > 0 {
		f.AddProblem("", "takes named arguments only")
	}
	for _, kv := range kwargs {
		f.args[string(kv[0].(starlark.String))] = kv[1]
	}
	return f
}

// AddProblem adds a problem with a field, or with the whole call if field is empty.
func (f *Form) AddProblem(field, format string, a ...any) {
	at := f.Name
	if field != "" {
		at += "." + field
	}
	f.l.Problems = append(f.l.Problems, Problem{f.Pos, at, fmt.Sprintf(format, a...)})
}

// Lookup returns the value of a field and whether it is given; None counts as not given. It adds a problem if a
// required field is missing.
func (f *Form) Lookup(name string, required bool) (starlark.Value, bool) {
	f.lookedUp = append(f.lookedUp, name)
	v, ok := f.args[name]
	if ok && v == starlark.None {
		ok = false
	}
	if !ok && required {
		f.AddProblem(name, "is missing")
	}
	return v, ok
}

// checkUnknown adds a problem for each given field that was never looked up.
func (f *Form) checkUnknown() {
	var unknown []string
	for name := range f.args {
		found := false
		for _, k := range f.lookedUp {
			found = found || k == name
		}
		if !found {
			unknown = append(unknown, name)
		}
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		f.AddProblem(name, "unknown field; known are %s", strings.Join(f.lookedUp, ", "))
	}
}

func (f *Form) quantity(name, unit string, fallback int64) int64 {
	v, ok := f.Lookup(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	q, is := v.(quantity)
	if !is || q.unit != unit {
		example := "ms(500)"
		if unit == size {
			example = "MiB(4)"
		}
		f.AddProblem(name, "want a %s such as %s, got %s %s", unit, example, v.Type(), v)
		return max(fallback, 0)
	}
	if q.amount < 0 {
		f.AddProblem(name, "%s is below zero", q)
	}
	return q.amount
}

// Required, passed as the fallback of a numeric field or of an Enum, makes the field required.
const Required = -1

// Duration reads a duration in microseconds.
func (f *Form) Duration(name string, fallback int64) int64 {
	return f.quantity(name, duration, fallback)
}

// Size reads a size in bytes.
func (f *Form) Size(name string, fallback int64) int64 { return f.quantity(name, size, fallback) }

// Number reads a finite number that is zero or greater.
func (f *Form) Number(name string, fallback float64) float64 {
	v, ok := f.Lookup(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	n, is := starlark.AsFloat(v)
	if _, dimension := v.(quantity); dimension || !is || v.Type() == "bool" {
		f.AddProblem(name, "want a number, got %s %s", v.Type(), v)
		return max(fallback, 0)
	}
	if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.AddProblem(name, "%v is not a finite number from zero up", n)
		return max(fallback, 0)
	}
	return n
}

// Int reads an integer from minValue to maxValue.
func (f *Form) Int(name string, fallback, minValue, maxValue int64) int64 {
	v, ok := f.Lookup(name, fallback < 0)
	if !ok {
		return max(fallback, 0)
	}
	i, is := v.(starlark.Int)
	n, fits := int64(0), false
	if is {
		n, fits = i.Int64()
	}
	if !is || !fits {
		f.AddProblem(name, "want a whole number, got %s %s", v.Type(), v)
		return max(fallback, 0)
	}
	if n < minValue || n > maxValue {
		f.AddProblem(name, "%d is not between %d and %d", n, minValue, maxValue)
		return max(fallback, minValue)
	}
	return n
}

// Text reads a string. If it is required, it must not be empty.
func (f *Form) Text(name, fallback string, required bool) string {
	v, ok := f.Lookup(name, required)
	if !ok {
		return fallback
	}
	s, is := starlark.AsString(v)
	if !is {
		f.AddProblem(name, "want text, got %s %s", v.Type(), v)
		return fallback
	}
	if s == "" && required {
		f.AddProblem(name, "is empty")
	}
	return s
}

// Flag reads True or False.
func (f *Form) Flag(name string, fallback bool) bool {
	v, ok := f.Lookup(name, false)
	if !ok {
		return fallback
	}
	b, is := v.(starlark.Bool)
	if !is {
		f.AddProblem(name, "want True or False, got %s %s", v.Type(), v)
		return fallback
	}
	return bool(b)
}

// Enum reads a string that must be one of words, and returns its index among them.
func (f *Form) Enum(name string, fallback int, words ...string) int {
	s := f.Text(name, "", fallback < 0)
	if s == "" {
		return max(fallback, 0)
	}
	for i, w := range words {
		if w == s {
			return i
		}
	}
	f.AddProblem(name, "%q is none of %s", s, strings.Join(words, ", "))
	return max(fallback, 0)
}

// Each reads a list of dicts and passes each of them to read as a form.
func (f *Form) Each(name string, required bool, read func(*Form)) {
	for i, v := range f.list(name, required) {
		element := &Form{l: f.l, Pos: f.Pos, Name: fmt.Sprintf("%s.%s[%d]", f.Name, name, i),
			args: map[string]starlark.Value{}}
		d, is := v.(*starlark.Dict)
		if !is {
			element.AddProblem("", "want a dict, got %s", v.Type())
			continue
		}
		for _, kv := range d.Items() {
			key, is := starlark.AsString(kv[0])
			if !is {
				element.AddProblem("", "key %s is no text", kv[0])
				continue
			}
			element.args[key] = kv[1]
		}
		read(element)
		element.checkUnknown()
	}
}

// Ints reads a list of integers from minValue to maxValue. Elements that are not valid are left out.
func (f *Form) Ints(name string, required bool, minValue, maxValue int64) (out []int) {
	for _, v := range f.list(name, required) {
		n, err := starlark.AsInt32(v)
		if err != nil || int64(n) < minValue || int64(n) > maxValue {
			f.AddProblem(name, "%s is no whole number between %d and %d", v, minValue, maxValue)
			continue
		}
		out = append(out, n)
	}
	return out
}

// Texts reads a list of strings. It returns none if the field is not given, and leaves out elements of other types.
func (f *Form) Texts(name string) (out []string) {
	for _, v := range f.list(name, false) {
		s, is := starlark.AsString(v)
		if !is {
			f.AddProblem(name, "%s is no text", v)
			continue
		}
		out = append(out, s)
	}
	return out
}

// list returns the elements of a list, or none if the field is not given.
func (f *Form) list(name string, required bool) (out []starlark.Value) {
	v, ok := f.Lookup(name, required)
	if !ok {
		return nil
	}
	list, is := v.(*starlark.List)
	if !is {
		f.AddProblem(name, "want a list, got %s", v.Type())
		return nil
	}
	for i := range list.Len() {
		out = append(out, list.Index(i))
	}
	return out
}
