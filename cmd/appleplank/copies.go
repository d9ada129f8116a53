package main

import (
	"os"

	"appleplank/internal/report"
	"appleplank/internal/settings"

	"github.com/spf13/cobra"
)

func copiesCommand() *cobra.Command {
	var path string
	show := &cobra.Command{
		Use: "show -c FILE", Short: "Print how the copies of mirrored extents are; fails where one has missed changes", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := settings.Load(path)
			if err != nil {
				return err
			}
			return report.Copies(os.Stdout, cfg)
		},
	}
	show.Flags().StringVarP(&path, "config", "c", "", "settings script of the gateway")
	show.MarkFlagRequired("config")
	c := &cobra.Command{Use: "copies", Short: "Look at the copies of mirrored extents"}
	c.AddCommand(show)
	return c
}
