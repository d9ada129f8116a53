// Command appleplank-initiator runs an initiator of the platform, as "appleplank initiator" does, in a program that holds
// nothing else: its pages take less of the memory that an initiator is granted.
package main

import (
	"errors"
	"fmt"
	"os"

	"appleplank/internal/logging"
	"appleplank/internal/platform/process"

	"github.com/spf13/pflag"
)

// usageStatus is the exit status after a wrong command line.
const usageStatus = 2

func main() {
	flags := pflag.NewFlagSet("appleplank-initiator", pflag.ContinueOnError)
	level := flags.String("log", "info", "least level of what is logged: debug, info, warn, error")
	format := flags.String("log-format", "text", "text or json")
	traced := flags.Bool("trace", process.TraceByDefault(), "write what is believed of each attempt, and what passed on its socket, to standard error")
	switch err := flags.Parse(os.Args[1:]); {
	case errors.Is(err, pflag.ErrHelp):
		return
	case err != nil:
		fail(err, usageStatus)
	case flags.NArg() > 0:
		fail(fmt.Errorf("unexpected argument %q", flags.Arg(0)), usageStatus)
	}
	log, err := logging.New(*level, *format)
	if err != nil {
		fail(err, usageStatus)
	}
	if err := process.Run(log, *traced); err != nil {
		fail(err, 1)
	}
}

// fail ends the program with an error.
func fail(err error, status int) {
	fmt.Fprintln(os.Stderr, "appleplank-initiator:", err)
	os.Exit(status)
}
