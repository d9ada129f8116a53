// Command wirehost runs the decision module on the bench's wire: one Host for each instance, batches
// in on standard input, replies out on standard output. It translates and decides nothing.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"appleplank/internal/wire"
	"appleplank/logic"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// instance is one host of this process with the events of the batch at hand.
type instance struct {
	number uint16
	host   *logic.Host
	fields []string
	events []logic.Event
	queued bool
}

// adapter keeps the instances apart: they share the process's buffers and nothing else.
type adapter struct {
	instances map[uint16]*instance
	lists     map[uint16][]wire.Entry
	turn      []*instance // those with events in this batch, in order of their first
	reply     wire.Reply
	actions   []logic.Action
}

func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	a := &adapter{instances: map[uint16]*instance{}, lists: map[uint16][]wire.Entry{}}
	var batch wire.Batch
	var buf bytes.Buffer
	for n := 0; ; n++ {
		err := wire.ReadBatch(r, &batch, &buf)
		if errors.Is(err, io.EOF) && err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if err := a.answer(&batch); err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if _, err := a.reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

func (a *adapter) answer(b *wire.Batch) error {
	a.reply.Reset()
	a.turn = a.turn[:0]
	for i := range b.Events {
		e := &b.Events[i]
		switch e.Code {
		case wire.CodeDirectory:
			a.lists[e.Buffer] = e.Entries
		case wire.CodeEnlist:
			a.drop(e.Instance)
			if err := a.enlist(e); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		case wire.CodeDestroy:
			a.drop(e.Instance)
		default:
			in := a.instances[e.Instance]
			if in == nil {
				fmt.Fprintf(os.Stderr, "wirehost: record %d, code %d: no instance %d\n", i, e.Code, e.Instance)
				continue
			}
			if ev := in.translate(e, a.lists); ev != nil {
				in.events = append(in.events, ev)
				a.queue(in)
			}
		}
	}
	for _, in := range a.turn {
		if in.host == nil {
			continue
		}
		a.actions = in.host.Step(logic.Micros(b.Clock), in.events, a.actions[:0])
		for _, act := range a.actions {
			a.write(in.number, act)
		}
		in.events, in.queued = in.events[:0], false
	}
	return nil
}

func (a *adapter) queue(in *instance) {
	if !in.queued {
		in.queued = true
		a.turn = append(a.turn, in)
	}
}

// drop forgets an instance and whatever it was told earlier in this batch.
func (a *adapter) drop(number uint16) {
	if in := a.instances[number]; in != nil {
		in.host = nil
		delete(a.instances, number)
	}
}

func (a *adapter) enlist(e *wire.Event) error {
	s, err := wire.ParseSettings(e.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Instance, err)
	}
	host, err := logic.New(s.Logic(), e.Seed)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Instance, err)
	}
	in := &instance{number: e.Instance, host: host, fields: s.Report.Fields}
	a.instances[e.Instance] = in
	return nil
}

func (a *adapter) write(i uint16, act logic.Action) {
	switch act := act.(type) {
	case logic.Send:
		a.reply.SubmitTo(i, uint64(act.Request), uint32(act.Node), uint64(act.StopAt))
	case logic.Abort:
		a.reply.AbortAttempt(i, uint64(act.Request), uint16(act.Attempt))
	case logic.Refuse:
		a.reply.Deny(i, uint64(act.Request), uint32(act.RetryAfter))
	case logic.Fail:
		a.reply.Surrender(i, uint64(act.Request))
	case logic.Wake:
		a.reply.WakeMe(i, uint32(act.After), act.Token)
	case logic.Probe:
		a.reply.Inspect(i, uint32(act.Node))
	case logic.Watch:
		a.reply.Tail(i, act.On)
	case logic.Fetch:
		a.reply.Refresh(i)
	case logic.Note:
		a.reply.NoteDown(i, act.Text)
	}
}
