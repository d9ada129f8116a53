package script

import (
	"fmt"
	"math"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// quantity is a number with a unit: a duration in microseconds or a size in bytes. Quantities of the same unit can be
// added and subtracted, and a quantity can be multiplied by a plain number. No other operation exists, so that a unit
// cannot be lost.
type quantity struct {
	unit   string // "duration" or "size"
	amount int64
}

const (
	duration = "duration"
	size     = "size"
)

func (q quantity) String() string {
	if q.unit == duration {
		return fmt.Sprintf("us(%d)", q.amount)
	}
	return fmt.Sprintf("B(%d)", q.amount)
}
func (q quantity) Type() string          { return q.unit }
func (q quantity) Freeze()               {}
func (q quantity) Truth() starlark.Bool  { return q.amount != 0 }
func (q quantity) Hash() (uint32, error) { return uint32(q.amount) ^ uint32(q.amount>>32), nil }

// Binary adds and subtracts quantities of one unit and multiplies them by integers or floats.
func (q quantity) Binary(op syntax.Token, y starlark.Value, side starlark.Side) (starlark.Value, error) {
	switch y := y.(type) {
	case quantity:
		if y.unit != q.unit {
			return nil, fmt.Errorf("%s and %s do not mix", q.unit, y.unit)
		}
		a, b := q.amount, y.amount
		if side == starlark.Right {
			a, b = b, a
		}
		switch op {
		case syntax.PLUS:
			return newQuantity(q.unit, float64(a)+float64(b))
		case syntax.MINUS:
			return newQuantity(q.unit, float64(a)-float64(b))
		}
	case starlark.Int, starlark.Float:
		if op == syntax.STAR {
			f, _ := starlark.AsFloat(y)
			return newQuantity(q.unit, float64(q.amount)*f)
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
	if q.amount < o.amount {
		d = -1
	} else if q.amount > o.amount {
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

// newQuantity rounds f to a whole quantity. It returns an error above 2^53, where a float64 cannot represent every
// integer.
func newQuantity(unit string, f float64) (starlark.Value, error) {
	if math.IsNaN(f) || math.Abs(f) > 1<<53 {
		return nil, fmt.Errorf("%s out of range", unit)
	}
	return quantity{unit, int64(math.Round(f))}, nil
}

func newUnit(name, unit string, scale float64) *starlark.Builtin {
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
		q, err := newQuantity(unit, f*scale)
		if err != nil {
			return nil, fmt.Errorf("%s(%v): %w", name, v, err)
		}
		return q, nil
	})
}

// Units returns the functions that make quantities in a script, such as ms and KiB.
func Units() starlark.StringDict {
	d := starlark.StringDict{}
	for name, scale := range map[string]float64{"us": 1, "ms": 1e3, "s": 1e6, "minutes": 60e6} {
		d[name] = newUnit(name, duration, scale)
	}
	for name, scale := range map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
		d[name] = newUnit(name, size, scale)
	}
	return d
}
