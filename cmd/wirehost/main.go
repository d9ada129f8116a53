// Command wirehost connects package logic to the simulator's protocol. It runs one Host for each instance, reads
// batches from standard input and writes replies to standard output. It translates and makes no decisions.
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

// instance is one host of this process with its events of the current batch.
type instance struct {
	number uint16
	host   *logic.Host
	fields []string
	events []logic.Event
	queued bool
}

// adapter holds the instances of the process. They share the process's buffers and nothing else.
type adapter struct {
	instances map[uint16]*instance
	nodeLists map[uint16][]wire.Entry
	pending   []*instance // instances with events in this batch, in the order of their first event
	reply     wire.Reply
	actions   []logic.Action
}

func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	a := &adapter{instances: map[uint16]*instance{}, nodeLists: map[uint16][]wire.Entry{}}
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
		if err := a.processBatch(&batch); err != nil {
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

func (a *adapter) processBatch(b *wire.Batch) error {
	a.reply.Reset()
	a.pending = a.pending[:0]
	for i := range b.Events {
		e := &b.Events[i]
		switch e.Code {
		case wire.CodeDirectory:
			a.nodeLists[e.Buffer] = e.Entries
		case wire.CodeEnlist:
			a.removeInstance(e.Instance)
			if err := a.enlist(e); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		case wire.CodeDestroy:
			a.removeInstance(e.Instance)
		default:
			in := a.instances[e.Instance]
			if in == nil {
				fmt.Fprintf(os.Stderr, "wirehost: record %d, code %d: no instance %d\n", i, e.Code, e.Instance)
				continue
			}
			if ev := in.translate(e, a.nodeLists); ev != nil {
				in.events = append(in.events, ev)
				a.addPending(in)
			}
		}
	}
	for _, in := range a.pending {
		if in.host == nil {
			continue
		}
		a.actions = in.host.Step(logic.Micros(b.Clock), in.events, a.actions[:0])
		for _, act := range a.actions {
			a.writeAction(in.number, act)
		}
		in.events, in.queued = in.events[:0], false
	}
	return nil
}

func (a *adapter) addPending(in *instance) {
	if !in.queued {
		in.queued = true
		a.pending = append(a.pending, in)
	}
}

// removeInstance removes an instance and discards its events from earlier in this batch.
func (a *adapter) removeInstance(number uint16) {
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

func (a *adapter) writeAction(i uint16, act logic.Action) {
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
