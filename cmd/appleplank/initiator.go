package main

import (
	"fmt"
	"os"

	"appleplank/internal/platform/process"
	"appleplank/internal/platform/trace"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func initiatorCommand(logger func() (*zap.Logger, error)) *cobra.Command {
	traceEnabled := false
	c := &cobra.Command{
		Use: "initiator", Short: "Run an initiator of the platform", Args: cobra.NoArgs,
		Long: "Run an initiator of the platform, as its configuration file (ROUTER_CONFIG) says. SIGHUP takes a new file, whole\n" +
			"or not at all. SIGTERM drains it: all it holds is answered, then it exits with status 0.",
		RunE: func(*cobra.Command, []string) error {
			log, err := logger()
			if err != nil {
				return err
			}
			return process.Run(log, traceEnabled)
		},
	}
	c.Flags().BoolVar(&traceEnabled, "trace", process.TraceByDefault(), "write what is believed of each attempt, and what passed on its socket, to standard error")
	return c
}

func traceCommand() *cobra.Command {
	return &cobra.Command{
		Use: "trace LOG...", Short: "Hold what an initiator believed against what passed on its sockets", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			for _, path := range paths {
				f, err := os.Open(path)
				if err != nil {
					return err
				}
				r, err := trace.Read(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				fmt.Fprintln(c.OutOrStdout(), path)
				r.Write(c.OutOrStdout())
			}
			return nil
		},
	}
}
