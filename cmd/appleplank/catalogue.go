package main

import (
	"fmt"
	"os"

	"appleplank/internal/catalogue"
	"appleplank/internal/front/dav"
	"appleplank/internal/settings"

	"github.com/spf13/cobra"
)

func catalogueCommand() *cobra.Command {
	c := &cobra.Command{Use: "catalogue", Short: "Look at what the files of WebDAV trees are, while their gateway is stopped"}
	addSubcommand := func(use, short string, run func(volume string, cat *catalogue.Catalogue) error) {
		var path string
		s := &cobra.Command{Use: use + " -c FILE", Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			cfg, err := settings.Load(path)
			if err != nil {
				return err
			}
			for _, d := range cfg.Dav {
				for _, t := range d.Trees {
					cat, err := catalogue.Open(dav.CataloguePath(cfg, t.Volume))
					if err != nil {
						return err
					}
					err = run(cfg.Volumes[t.Volume].Name, cat)
					cat.Close()
					if err != nil {
						return err
					}
				}
			}
			return nil
		}}
		s.Flags().StringVarP(&path, "config", "c", "", "settings script of the gateway")
		s.MarkFlagRequired("config")
		c.AddCommand(s)
	}
	addSubcommand("check", "Look for names, entries and objects that cannot be; fails where there are any", func(volume string, cat *catalogue.Catalogue) error {
		problems, files, folders, err := cat.Check()
		if err != nil {
			return err
		}
		for _, p := range problems {
			fmt.Printf("%s: %s\n", volume, p)
		}
		fmt.Printf("%s: %d files, %d folders\n", volume, files, folders)
		if len(problems) > 0 {
			return fmt.Errorf("%s: %d problems", volume, len(problems))
		}
		return nil
	})
	addSubcommand("repair", "Make a catalogue sound: what leads nowhere goes, what has no name comes to /lost+found", func(volume string, cat *catalogue.Catalogue) error {
		done, err := cat.Repair()
		for _, d := range done {
			fmt.Printf("%s: %s\n", volume, d)
		}
		return err
	})
	addSubcommand("export", "Print every name with its size, version and objects", func(volume string, cat *catalogue.Catalogue) error {
		return cat.Export(os.Stdout)
	})
	return c
}
