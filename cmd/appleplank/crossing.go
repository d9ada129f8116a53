package main

import (
	"os"

	"appleplank/internal/report"
	"appleplank/internal/settings"

	"github.com/spf13/cobra"
)

func crossingCommand() *cobra.Command {
	var path, chart string
	var asCSV, overTime bool
	r := &cobra.Command{
		Use: "report -c FILE", Short: "Print what has crossed zones, by class, plan, volume, zones and reason", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := settings.Load(path)
			if err != nil {
				return err
			}
			rows, err := report.Crossing(cfg, overTime)
			if err != nil {
				return err
			}
			if chart != "" {
				draw := report.Chart
				if overTime {
					draw = report.ChartOverTime
				}
				if err := draw(chart, rows); err != nil {
					return err
				}
			}
			if asCSV {
				return report.CSV(os.Stdout, rows)
			}
			return report.Table(os.Stdout, rows)
		},
	}
	r.Flags().StringVarP(&path, "config", "c", "", "settings script of the gateway")
	r.MarkFlagRequired("config")
	r.Flags().BoolVar(&asCSV, "csv", false, "write CSV")
	r.Flags().BoolVar(&overTime, "over-time", false, "by ten minutes, the last day")
	r.Flags().StringVar(&chart, "chart", "", "also draw a chart to this file: .svg, .png or .pdf")
	c := &cobra.Command{Use: "crossing", Short: "Look at the traffic between zones"}
	c.AddCommand(r)
	return c
}
