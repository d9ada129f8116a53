package main

import (
	"os"
	"os/signal"
	"syscall"

	"appleplank/internal/platform"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func initiatorCommand(logger func() (*zap.Logger, error)) *cobra.Command {
	return &cobra.Command{
		Use: "initiator", Short: "Run an initiator of the platform", Args: cobra.NoArgs,
		Long: "Run an initiator of the platform, as its configuration file (ROUTER_CONFIG) says. SIGHUP takes a new file, whole\n" +
			"or not at all. SIGTERM drains it: all it holds is answered, then it exits with status 0.",
		RunE: func(*cobra.Command, []string) error {
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			log, err := logger()
			if err != nil {
				return err
			}
			defer log.Sync()
			first, _, stop := untilSignal()
			defer stop()
			in, err := platform.New(os.Getenv, log)
			if err != nil {
				return err
			}
			return in.Run(first, reload)
		},
	}
}
