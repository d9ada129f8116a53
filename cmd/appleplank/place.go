package main

import (
	"fmt"
	"os"

	"appleplank/internal/report"
	"appleplank/internal/settings"

	"github.com/spf13/cobra"
)

func placeCommand() *cobra.Command {
	var path string
	var size, extent int64
	var copies int
	var namespace uint32
	c := &cobra.Command{
		Use: "place -c FILE --bytes N", Args: cobra.NoArgs,
		Short: "Print extents for a new volume: in the gateway's zone, further copies in others, passing by what is full, cold or failing",
		RunE: func(*cobra.Command, []string) error {
			cfg, err := settings.Load(path)
			if err != nil {
				return err
			}
			if size <= 0 || extent <= 0 || size%512 != 0 || extent%512 != 0 || size/extent > 1<<16 {
				return fmt.Errorf("%d bytes in extents of %d: both must be above zero, in blocks of 512, and at most 65536 extents", size, extent)
			}
			return report.Place(os.Stdout, cfg, size, extent, copies, namespace)
		},
	}
	f := c.Flags()
	f.StringVarP(&path, "config", "c", "", "settings script of the gateway")
	f.Int64Var(&size, "bytes", 0, "size of the volume")
	f.Int64Var(&extent, "extent", 1<<30, "bytes of an extent")
	f.IntVar(&copies, "copies", 1, "copies of each")
	f.Uint32Var(&namespace, "namespace", 1, "namespace at each node")
	c.MarkFlagRequired("config")
	c.MarkFlagRequired("bytes")
	return c
}
