package main

import (
	"os"

	"appleplank/internal/gateway"
	"appleplank/internal/settings"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func serveCommand(logger func() (*zap.Logger, error)) *cobra.Command {
	var path string
	var takeover bool
	c := &cobra.Command{
		Use: "serve -c FILE", Short: "Run the gateway", Args: cobra.NoArgs,
		Long: "Run the gateway. SIGTERM drains it: nothing new is taken, all it holds is answered, and it exits with status 0\n" +
			"within the drain time of the settings. A second SIGTERM exits at once, with status 1.\n" +
			"With --takeover it starts beside the process that holds its state folder, takes over that one's sockets, clients\n" +
			"and state, and goes on; if it does not come up, the old one does.",
		RunE: func(*cobra.Command, []string) error {
			log, err := logger()
			if err != nil {
				return err
			}
			defer log.Sync()
			cfg, err := settings.Load(path)
			if err != nil {
				return err
			}
			open := gateway.New
			if takeover {
				open = gateway.Takeover
			}
			g, err := open(cfg, log)
			if err != nil {
				return err
			}
			first, second, stop := signalContexts()
			defer stop()
			log.Info("serving", zap.String("gateway", cfg.Name), zap.Int("pid", os.Getpid()), zap.Int("volumes", len(cfg.Volumes)),
				zap.Int("nodes", len(cfg.Nodes)))
			return g.Run(first, second)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "settings script")
	c.Flags().BoolVar(&takeover, "takeover", false, "take over from the process that runs")
	c.MarkFlagRequired("config")
	return c
}
