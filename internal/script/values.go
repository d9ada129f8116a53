package script

import (
	"fmt"
	"math"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// quantity is a typed number of a settings script: a duration in microseconds or a size in bytes. Both add
// with their own kind and multiply by a plain number; nothing else, so that a unit can't be lost on the way.
type quantity struct {
	unit string // "duration" or "size"
	n    int64
}

const (
	duration = "duration"
	size     = "size"
)

func (q quantity) String() string {
	if q.unit == duration {
		return fmt.Sprintf("us(%d)", q.n)
	}
	return fmt.Sprintf("B(%d)", q.n)
}
func (q quantity) Type() string          { return q.unit }
func (q quantity) Freeze()               {}
func (q quantity) Truth() starlark.Bool  { return q.n != 0 }
func (q quantity) Hash() (uint32, error) { return uint32(q.n) ^ uint32(q.n>>32), nil }

// Binary adds quantities of one unit and scales them by whole or broken numbers.
func (q quantity) Binary(op syntax.Token, y starlark.Value, side starlark.Side) (starlark.Value, error) {
	switch y := y.(type) {
	case quantity:
		if y.unit != q.unit {
			return nil, fmt.Errorf("%s and %s do not mix", q.unit, y.unit)
		}
		a, b := q.n, y.n
		if side == starlark.Right {
			a, b = b, a
		}
		switch op {
		case syntax.PLUS:
			return exact(q.unit, float64(a)+float64(b))
		case syntax.MINUS:
			return exact(q.unit, float64(a)-float64(b))
		}
	case starlark.Int, starlark.Float:
		if op == syntax.STAR {
			f, _ := starlark.AsFloat(y)
			return exact(q.unit, float64(q.n)*f)
		}
	}
	return nil, nil
}

// CompareSameType orders quantities of one unit.
func (q quantity) CompareSameType(op syntax.Token, y starlark.Value, _ int) (bool, error) {
	o := y.(quantity)
	if o.unit != q.unit {
		return false, fmt.Errorf("%s and %s do not compare", q.unit, o.unit)
	}
	d := 0
	if q.n < o.n {
		d = -1
	} else if q.n > o.n {
		d = 1
	}
	switch op {
	case syntax.EQL:
		return d == 0, nil
	case syntax.NEQ:
		return d != 0, nil
	case syntax.LT:
		return d < 0, nil
	case syntax.LE:
		return d <= 0, nil
	case syntax.GT:
		return d > 0, nil
	case syntax.GE:
		return d >= 0, nil
	}
	return false, fmt.Errorf("%s: unknown comparison", op)
}

// exact refuses what a float64 can't hold to the unit.
func exact(unit string, f float64) (starlark.Value, error) {
	if math.IsNaN(f) || math.Abs(f) > 1<<53 {
		return nil, fmt.Errorf("%s out of range", unit)
	}
	return quantity{unit, int64(math.Round(f))}, nil
}

func maker(name, unit string, scale float64) *starlark.Builtin {
	return starlark.NewBuiltin(name, func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple,
		kwargs []starlark.Tuple) (starlark.Value, error) {
		var v starlark.Value
		if err := starlark.UnpackPositionalArgs(name, args, kwargs, 1, &v); err != nil {
			return nil, err
		}
		f, ok := starlark.AsFloat(v)
		if !ok || v.Type() == "bool" {
			return nil, fmt.Errorf("%s: want a number, got %s", name, v.Type())
		}
		q, err := exact(unit, f*scale)
		if err != nil {
			return nil, fmt.Errorf("%s(%v): %w", name, v, err)
		}
		return q, nil
	})
}

// Units are the words of a script that make quantities.
func Units() starlark.StringDict {
	d := starlark.StringDict{}
	for name, scale := range map[string]float64{"us": 1, "ms": 1e3, "s": 1e6, "minutes": 60e6} {
		d[name] = maker(name, duration, scale)
	}
	for name, scale := range map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
		d[name] = maker(name, size, scale)
	}
	return d
}
