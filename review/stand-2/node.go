package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"appleplank/internal/standin"
)

// runNode is a storage node in a process of its own: the project's stand-in, with a volatile write cache as NVMe allows
// it (Identify Controller, VWC): what was written without FUA since the last Flush is gone when the node dies. SIGUSR1
// has it die and come back after a time. Its stored data outlasts that.
func runNode(args []string) {
	f := flag.NewFlagSet("node", flag.ExitOnError)
	listen := f.String("listen", "", "address")
	nqn := f.String("nqn", "", "qualified name")
	size := f.Int64("size", 64<<20, "bytes of each namespace")
	base := f.Duration("base", 0, "work of a command")
	away := f.Duration("away", 3*time.Second, "time until it is back after it died")
	f.Parse(args)
	n := standin.NewNode(standin.NodeConfig{NQN: *nqn, Address: *listen, Namespaces: map[uint32]int64{1: *size, 2: *size}, BlockSize: 512, Cores: 2,
		Base: *base, QueueMost: 256, InCapsule: 8192, WriteCache: true, Volatile: true, Remember: 4 * time.Second})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGTERM)
	if err := n.Up(true); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for s := range signals {
		if s == syscall.SIGTERM {
			return
		}
		n.Crash()
		fmt.Println("died: what was not stored is gone")
		time.Sleep(*away)
		if err := n.Up(false); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		fmt.Println("back")
	}
}
