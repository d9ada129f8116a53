package main

import (
	"io"
	"os"

	"appleplank/internal/state"

	"github.com/spf13/cobra"
)

func stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "Look at what a gateway keeps over restarts, in use or at rest"}
	add := func(use, short, long string, run func(dir string) error) {
		c.AddCommand(&cobra.Command{Use: use + " DIR", Short: short, Long: long, Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return run(args[0]) }})
	}
	add("show", "Print what is kept, for a person", "", func(dir string) error { return state.Show(os.Stdout, dir) })
	add("check", "Say whether the state can be used; status 1 if not", "", func(dir string) error { return state.Report(os.Stdout, dir) })
	add("export", "Write the state as JSON to standard output", "", func(dir string) error { return state.Export(os.Stdout, dir) })
	add("import", "Replace the state by JSON from standard input",
		"Replace the state by JSON from standard input, as export wrote it. The folder must not be in use. What was drawn from\n"+
			"limits is not taken over: the next process starts them at their lowest.",
		func(dir string) error {
			b, err := io.ReadAll(io.LimitReader(os.Stdin, 256<<20))
			if err != nil {
				return err
			}
			return state.Import(dir, b)
		})
	return c
}
