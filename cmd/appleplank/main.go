// Command appleplank is a storage gateway. Block clients connect to it with vhost-user, it connects to storage nodes
// with NVMe over TCP, and package logic schedules the requests.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"appleplank/internal/logging"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func main() {
	root := &cobra.Command{
		Use: "appleplank", Short: "A storage gateway that schedules a host's reads and writes across a shared pool",
		SilenceUsage: true, SilenceErrors: true,
	}
	level := root.PersistentFlags().String("log", "info", "least level of what is logged: debug, info, warn, error")
	format := root.PersistentFlags().String("log-format", "text", "text or json")
	logger := func() (*zap.Logger, error) { return logging.New(*level, *format) }
	root.AddCommand(serveCommand(logger), checkCommand(), nodeCommand(logger), directoryCommand(logger), demoCommand(), stateCommand(), crossingCommand(), copiesCommand(), placeCommand(), catalogueCommand(), initiatorCommand(logger), traceCommand())
	if err := root.Execute(); err != nil {
		var quiet exitCode
		if errors.As(err, &quiet) {
			os.Exit(int(quiet))
		}
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "appleplank:", line)
		}
		os.Exit(1)
	}
}

// exitCode is an error that has already been reported. The process exits with this status and prints nothing more.
type exitCode int

func (e exitCode) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

// signalContexts returns a context that is cancelled by the first SIGTERM or interrupt, and one that is cancelled by
// the second. The caller must call stop.
func signalContexts() (first, second context.Context, stop func()) {
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	go func() {
		for _, cancel := range []func(){cancelFirst, cancelSecond} {
			select {
			case <-ch:
				cancel()
			case <-second.Done():
				return
			}
		}
	}()
	return first, second, func() { signal.Stop(ch); cancelFirst(); cancelSecond() }
}
