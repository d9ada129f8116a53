package engine

import (
	"testing"

	"appleplank/internal/block"
	"appleplank/logic"
)

type discardFront struct{}

func (discardFront) Done(*Op)                  {}
func (discardFront) Sending(*Op, logic.NodeID) {}

// BenchmarkCore measures a read from Take to its answer without sockets: the cost of scheduling and accounting.
func BenchmarkCore(b *testing.B) {
	cfg := config(b, b.TempDir())
	c, err := NewCore(cfg, 1, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := logic.Micros(1_000_000)
	c.Nodes(now, []logic.Node{{ID: 1, Cell: 0, State: logic.Ready}, {ID: 2, Cell: 1, State: logic.Ready}})
	c.Step(now)
	b.ReportAllocs()
	for b.Loop() {
		op := NewOp()
		op.Kind, op.Len, op.Front = block.Read, 4096, discardFront{}
		op.Buffer = block.NewBuffer(4096, nil)
		c.Take(now, op)
		for _, a := range c.Step(now) {
			if a.Kind == Start {
				now += 100
				c.AttemptEnded(now, a.Attempt, block.Result{Outcome: logic.OK, Load: logic.NoLoad})
			}
		}
		for _, a := range c.Step(now) {
			if a.Kind == Finish {
				a.Op.Release()
			}
		}
	}
}
