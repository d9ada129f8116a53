// Package script evaluates the Starlark files that settings, days and experiments are written in: without I/O but
// for files beside the first, and with a bound on steps. Their calls are read as forms whose fields are typed and
// checked; every problem is kept with its place, not only the first.
package script

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

const (
	mostSteps = 2_000_000 // Starlark computation steps of all files together
	mostFile  = 4 << 20   // bytes of one file
	mostFiles = 64
)

// Loader evaluates a script and the files that it loads.
type Loader struct {
	Problems Problems
	Files    []string // those read, in order

	files   fs.FS
	words   starlark.StringDict
	loading []string // files being evaluated, for cycles
	done    map[string]starlark.StringDict
	steps   uint64
	once    map[string]syntax.Position
}

// New makes a loader that reads from files and knows the units.
func New(files fs.FS) *Loader {
	return &Loader{files: files, words: Units(), done: map[string]starlark.StringDict{}, once: map[string]syntax.Position{}}
}

// Many adds a call that may stand any number of times.
func (l *Loader) Many(name string, read func(*Form)) {
	l.words[name] = starlark.NewBuiltin(name, func(th *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
		kwargs []starlark.Tuple) (starlark.Value, error) {
		f := l.form(th, name, args, kwargs)
		read(f)
		f.end()
		return starlark.None, nil
	})
}

// Single adds a call that may stand once.
func (l *Loader) Single(name string, read func(*Form)) {
	l.Many(name, func(f *Form) {
		if before, ok := l.once[name]; ok {
			f.Bad("", "stands at %s already", before)
		}
		l.once[name] = f.Pos
		read(f)
	})
}

// Run evaluates the named file. The error is [Problems] unless the file could not be read.
func (l *Loader) Run(name string) error {
	if _, err := l.file(name); err != nil {
		var p Problems
		if !errors.As(err, &p) {
			return err
		}
		l.Problems = append(l.Problems, p...)
	}
	if len(l.Problems) > 0 {
		return l.Problems
	}
	return nil
}

// dialect allows what such scripts use in practice: loops and conditions at top level.
var dialect = &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, Set: true}

func (l *Loader) file(name string) (starlark.StringDict, error) {
	if slices.Contains(l.loading, name) {
		return nil, fmt.Errorf("load cycle: %s", strings.Join(append(l.loading, name), " loads "))
	}
	if d, ok := l.done[name]; ok {
		return d, nil
	}
	if len(l.Files) >= mostFiles {
		return nil, fmt.Errorf("%s: more than %d files", name, mostFiles)
	}
	info, err := fs.Stat(l.files, name)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	if info.Size() > mostFile || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("script: %s: no regular file of at most %d bytes", name, mostFile)
	}
	src, err := fs.ReadFile(l.files, name)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	l.loading, l.Files = append(l.loading, name), append(l.Files, name)
	defer func() { l.loading = l.loading[:len(l.loading)-1] }()
	th := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}, Load: l.load}
	th.SetMaxExecutionSteps(mostSteps - min(l.steps, mostSteps-1))
	d, err := starlark.ExecFileOptions(dialect, th, name, src, l.words)
	l.steps += th.ExecutionSteps()
	if err != nil {
		return nil, explain(name, err)
	}
	l.done[name] = d
	return d, nil
}

// explain turns Starlark's errors into problems with a place.
func explain(name string, err error) error {
	var p Problems
	if errors.As(err, &p) {
		return p
	}
	var eval *starlark.EvalError
	var syn syntax.Error
	switch {
	case errors.As(err, &eval):
		pos := syntax.MakePosition(&name, 0, 0)
		for _, f := range slices.Backward(eval.CallStack) {
			if f.Pos.Line > 0 { // the innermost frame that stands in a file
				pos = f.Pos
				break
			}
		}
		text := eval.Msg
		if strings.Contains(text, "too many steps") {
			text = fmt.Sprintf("the script takes more than %d steps", mostSteps)
		}
		return Problems{{pos, "", text}}
	case errors.As(err, &syn):
		return Problems{{syn.Pos, "", syn.Msg}}
	}
	return Problems{{syntax.MakePosition(&name, 1, 1), "", strings.TrimPrefix(err.Error(), name+":")}}
}

func (l *Loader) load(_ *starlark.Thread, name string) (starlark.StringDict, error) {
	if !fs.ValidPath(name) || strings.Contains(name, "..") {
		return nil, fmt.Errorf("%q does not lie beside the script", name)
	}
	return l.file(name)
}
