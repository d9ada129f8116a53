package main

import (
	"fmt"
	"strings"
	"time"

	"appleplank/internal/standin"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func directoryCommand(logger func() (*zap.Logger, error)) *cobra.Command {
	var listen string
	var nodes []string
	var late time.Duration
	c := &cobra.Command{
		Use: "directory", Short: "Run a stand-in discovery controller on loopback, for trials", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := logger()
			if err != nil {
				return err
			}
			var entries []standin.Entry
			for _, n := range nodes {
				nqn, address, ok := strings.Cut(n, "=")
				if !ok {
					return fmt.Errorf("--node %q is not NQN=HOST:PORT", n)
				}
				entries = append(entries, standin.Entry{NQN: nqn, Address: address})
			}
			d, err := standin.NewDirectory(listen)
			if err != nil {
				return err
			}
			d.Late(late)
			if err := d.SetEntries(entries); err != nil {
				return err
			}
			log.Info("directory is up", zap.String("address", d.Address()), zap.Int("nodes", len(entries)))
			fmt.Println(d.Address())
			first, _, stop := signalContexts()
			defer stop()
			<-first.Done()
			d.Close()
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address; port 0 picks one, which is printed")
	c.Flags().StringArrayVar(&nodes, "node", nil, "NQN=HOST:PORT, any number of times")
	c.Flags().DurationVar(&late, "late", 0, "trouble: what is set is known so much later")
	return c
}
