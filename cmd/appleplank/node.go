package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"appleplank/internal/standin"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func nodeCommand(logger func() (*zap.Logger, error)) *cobra.Command {
	var cfg standin.NodeConfig
	var namespaces []string
	var trouble standin.Trouble
	var warm bool
	c := &cobra.Command{
		Use: "node", Short: "Run a stand-in storage node on loopback, for trials", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := logger()
			if err != nil {
				return err
			}
			cfg.Namespaces = map[uint32]int64{}
			for _, s := range namespaces {
				id, size, ok := strings.Cut(s, "=")
				n, err1 := strconv.ParseUint(id, 10, 32)
				b, err2 := strconv.ParseInt(size, 10, 64)
				if !ok || err1 != nil || err2 != nil || n == 0 || b <= 0 {
					return fmt.Errorf("--namespace %q is not ID=BYTES", s)
				}
				cfg.Namespaces[uint32(n)] = b
			}
			n := standin.NewNode(cfg)
			n.Set(func(t *standin.Trouble) { *t = trouble })
			if err := n.Up(warm); err != nil {
				return err
			}
			log.Info("node is up", zap.String("address", n.Address()), zap.String("nqn", cfg.NQN))
			fmt.Println(n.Address())
			first, _, stop := signalContexts()
			defer stop()
			<-first.Done()
			n.Crash()
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.NQN, "nqn", "nqn.2026-12.example.standin:node", "qualified name of its subsystem")
	f.StringVar(&cfg.Address, "listen", "127.0.0.1:0", "address; port 0 picks one, which is printed")
	f.StringArrayVar(&namespaces, "namespace", []string{"1=67108864"}, "ID=BYTES, any number of times")
	f.Uint32Var(&cfg.BlockSize, "block", 512, "bytes of a block")
	f.IntVar(&cfg.Cores, "cores", 2, "commands worked on at a time")
	f.DurationVar(&cfg.Base, "base", 0, "work of a command")
	f.DurationVar(&cfg.PerKiB, "per-kib", 0, "work of a KiB")
	f.IntVar(&cfg.QueueMost, "queue", 256, "commands that wait; more are turned away")
	f.Float64Var(&cfg.ColdFrom, "cold-from", 0, "part of its speed a fresh process has; 0: all")
	f.DurationVar(&cfg.ColdTime, "cold-time", 0, "until it has all")
	f.BoolVar(&warm, "warm", false, "start warm")
	f.BoolVar(&cfg.Plain, "plain", false, "no vendor features")
	f.BoolVar(&cfg.Digests, "digests", false, "grant digests")
	f.BoolVar(&cfg.WriteCache, "write-cache", true, "have a volatile write cache")
	f.IntVar(&cfg.InCapsule, "in-capsule", 8192, "bytes of data a command's capsule may carry")
	f.Uint8Var(&cfg.MDTS, "mdts", 0, "most data of a command is 4 KiB times two to this; 0: no bound")
	f.DurationVar(&cfg.Remember, "remember", 4*time.Second, "repeats of a key are dropped for so long")
	f.Float64Var(&trouble.Slow, "slow", 0, "trouble: times its work")
	f.Float64Var(&trouble.Lose, "lose", 0, "trouble: part of the answers that never leave")
	f.Float64Var(&trouble.Twice, "twice", 0, "trouble: part of the answers that leave twice")
	f.Float64Var(&trouble.Wrong, "wrong-id", 0, "trouble: part of the answers under an id that is not out")
	f.Float64Var(&trouble.Fail, "fail", 0, "trouble: part of the commands that fail at once")
	f.BoolVar(&trouble.Full, "full", false, "trouble: turn everything away")
	f.BoolVar(&trouble.Hang, "hang", false, "trouble: work on nothing")
	f.BoolVar(&trouble.Deaf, "deaf", false, "trouble: take connections and never answer")
	f.IntVar(&trouble.Drip, "drip", 0, "trouble: bytes a second it sends; 0: no bound")
	return c
}
