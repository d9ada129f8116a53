// Package process runs an initiator of the platform as a process of its own, until a signal ends it.
package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"appleplank/internal/platform"
	"appleplank/internal/platform/trace"

	"go.uber.org/zap"
)

// traceVariable names the environment variable that turns the trace on, with any value except an empty one, for callers
// that cannot change the command line.
const traceVariable = "APPLEPLANK_TRACE"

// TraceByDefault reports whether the environment asks for a trace.
func TraceByDefault() bool { return os.Getenv(traceVariable) != "" }

// Run runs an initiator as its configuration file (ROUTER_CONFIG) says. SIGHUP makes it read the file again; SIGTERM or an
// interrupt makes it drain, after which Run returns. With traced, a trace is written to standard error.
func Run(log *zap.Logger, traced bool) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	defer log.Sync()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var writer *trace.Writer
	if traced {
		writer = trace.New(os.Stderr)
		ended := make(chan struct{})
		defer close(ended)
		go writer.FlushPeriodically(ended)
	}
	initiator, err := platform.New(os.Getenv, writer, log)
	if err != nil {
		return err
	}
	initiator.ApplyLimits()
	return initiator.Run(ctx, reload)
}
