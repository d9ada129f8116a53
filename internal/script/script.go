// Package script evaluates the Starlark files in which settings, days and experiments are written. A script has no I/O
// except for loading files from its own folder, and a limited number of execution steps. Calls in a script are read as
// forms with typed, validated fields. Every problem is collected with its position, not only the first.
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
	maxSteps     = 2_000_000 // Starlark execution steps, all files together
	maxFileBytes = 4 << 20   // size of one file
	maxFiles     = 64
)

// Loader evaluates a script and the files that it loads.
type Loader struct {
	Problems Problems
	Files    []string // the files read so far, in order

	files       fs.FS
	predeclared starlark.StringDict
	loading     []string // files being evaluated, to detect load cycles
	loaded      map[string]starlark.StringDict
	stepsUsed   uint64
	firstCall   map[string]syntax.Position
}

// New returns a loader that reads from files and predeclares the units.
func New(files fs.FS) *Loader {
	return &Loader{files: files, predeclared: Units(), loaded: map[string]starlark.StringDict{}, firstCall: map[string]syntax.Position{}}
}

// Define makes a function available that a script may call any number of times. Each call is passed to read as a form.
func (l *Loader) Define(name string, read func(*Form)) {
	l.predeclared[name] = starlark.NewBuiltin(name, func(th *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
		kwargs []starlark.Tuple) (starlark.Value, error) {
		f := l.newForm(th, name, args, kwargs)
		read(f)
		f.checkUnknown()
		return starlark.None, nil
	})
}

// DefineOnce makes a function available that a script may call at most once.
func (l *Loader) DefineOnce(name string, read func(*Form)) {
	l.Define(name, func(f *Form) {
		if before, ok := l.firstCall[name]; ok {
			f.AddProblem("", "stands at %s already", before)
		}
		l.firstCall[name] = f.Pos
		read(f)
	})
}

// Run evaluates the named file. The error is [Problems], unless the file could not be read.
func (l *Loader) Run(name string) error {
	if _, err := l.evalFile(name); err != nil {
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

// dialect enables what scripts use in practice, such as loops and conditions at top level.
var dialect = &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, Set: true}

func (l *Loader) evalFile(name string) (starlark.StringDict, error) {
	if slices.Contains(l.loading, name) {
		return nil, fmt.Errorf("load cycle: %s", strings.Join(append(l.loading, name), " loads "))
	}
	if d, ok := l.loaded[name]; ok {
		return d, nil
	}
	if len(l.Files) >= maxFiles {
		return nil, fmt.Errorf("%s: more than %d files", name, maxFiles)
	}
	info, err := fs.Stat(l.files, name)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	if info.Size() > maxFileBytes || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("script: %s: no regular file of at most %d bytes", name, maxFileBytes)
	}
	src, err := fs.ReadFile(l.files, name)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	l.loading, l.Files = append(l.loading, name), append(l.Files, name)
	defer func() { l.loading = l.loading[:len(l.loading)-1] }()
	th := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}, Load: l.load}
	th.SetMaxExecutionSteps(maxSteps - min(l.stepsUsed, maxSteps-1))
	d, err := starlark.ExecFileOptions(dialect, th, name, src, l.predeclared)
	l.stepsUsed += th.ExecutionSteps()
	if err != nil {
		return nil, asProblems(name, err)
	}
	l.loaded[name] = d
	return d, nil
}

// asProblems converts an error of Starlark to problems with a position.
func asProblems(name string, err error) error {
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
			if f.Pos.Line > 0 { // the innermost frame with a position in a file
				pos = f.Pos
				break
			}
		}
		text := eval.Msg
		if strings.Contains(text, "too many steps") {
			text = fmt.Sprintf("the script takes more than %d steps", maxSteps)
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
	return l.evalFile(name)
}
