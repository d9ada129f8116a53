package main

import (
	"os"

	"appleplank/internal/settings"

	"github.com/spf13/cobra"
)

func checkCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use: "check -c FILE", Short: "Read and check settings, and print what they come to", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := settings.Load(path)
			if err != nil {
				return err
			}
			return cfg.Describe(os.Stdout)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", "", "settings script")
	c.MarkFlagRequired("config")
	return c
}
