package main

import (
	"fmt"
	"os"
	"os/exec"

	"appleplank/days"
	"appleplank/internal/day"
	"appleplank/internal/demo"

	"github.com/spf13/cobra"
)

func demoCommand() *cobra.Command {
	var path string
	var hold, keep bool
	var seed uint64
	c := &cobra.Command{
		Use: "demo", Short: "Play a day of troubles through a fleet on loopback, and audit it", Args: cobra.NoArgs,
		Long: "Play a day of troubles through a fleet on loopback: 8 nodes, a directory, 3 gateways and ring clients, all in a\n" +
			"temporary folder. Then print how each class was served and whether the rules were kept; exit status 1 if one broke.\n" +
			"With --hold the fleet is kept up instead: one line of JSON says where everything is.",
		RunE: func(*cobra.Command, []string) (err error) {
			d, err := loadDay(path)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "appleplank")
			if err != nil {
				return err
			}
			if !keep {
				defer os.RemoveAll(dir)
			}
			st, _ := os.Stdout.Stat()
			o := demo.Options{Dir: dir, Out: os.Stdout, Seed: seed, Live: st != nil && st.Mode()&os.ModeCharDevice != 0,
				Spawn: func(settings string, takeover bool) *exec.Cmd {
					return exec.Command(self, "serve", "-c", settings, fmt.Sprintf("--takeover=%v", takeover))
				}}
			if hold {
				first, _, stop := signalContexts()
				defer stop()
				return demo.Hold(o, first.Done())
			}
			r, err := demo.Play(o, d)
			if err != nil {
				return err
			}
			if r.Report(os.Stdout); len(r.Findings) > 0 {
				return exitCode(1)
			}
			return nil
		},
	}
	c.Flags().StringVar(&path, "day", "", "a script of troubles; the bad day of 30 s where none is given")
	c.Flags().BoolVar(&hold, "hold", false, "keep the fleet up until interrupted")
	c.Flags().BoolVar(&keep, "keep", false, "keep the folder with settings and logs")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the clients' choices")
	return c
}

func loadDay(path string) (*day.Day, error) {
	if path != "" {
		return day.Load(path, demo.Shape)
	}
	return day.Read(days.Files, "bad-day.star", demo.Shape)
}
