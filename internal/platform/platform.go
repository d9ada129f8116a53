// Package platform runs appleplank as an initiator of the platform: clients come by its HTTP protocol, targets are
// reached by the same, discovery tells of them, and package logic decides. It puts the parts together.
package platform

import (
	"context"
	"net"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"time"

	"appleplank/bounds"
	"appleplank/internal/platform/config"
	"appleplank/internal/platform/core"
	"appleplank/internal/platform/discovery"
	"appleplank/internal/platform/front"
	"appleplank/internal/platform/target"
	"appleplank/internal/platform/trace"
	"appleplank/leave"
	"appleplank/logic"
	"appleplank/seats"

	"go.uber.org/zap"
)

const (
	// The platform counts what is refused after half its time and never left as worse than refused.
	heldPart = 0.5

	healthPath = "/_health"
	// A step of the core begins the settings' tick over stepsPerTick after the one before, at the soonest: a request
	// waits for less than a service takes, and a crowd costs a bounded part of the core.
	stepsPerTick = 8
	// A new configuration that cannot be read may be half written: it is looked at again.
	reloadTries, reloadPause = 5, 100 * time.Millisecond
	// lookAgain is how often an end that was told is looked at.
	lookAgain = 5 * time.Millisecond
	// readyBy is how long discovery is waited for before the list that was known is used.
	readyBy = time.Second
)

// Initiator is one that runs.
type Initiator struct {
	cfg    *config.Config
	bounds bounds.Bounds
	env    func(string) string
	log    *zap.Logger
	shell  *core.Shell
	front  *front.Front
	back   *target.Back
	watch  *discovery.Watch
}

// New starts an initiator: it listens, and is ready once discovery has told something.
// Beliefs and what passed on the sockets go to tr, unless it is nil.
func New(env func(string) string, tr *trace.Writer, log *zap.Logger) (*Initiator, error) {
	cfg, err := config.Load(env)
	if err != nil {
		return nil, err
	}
	b := bounds.For(cfg.Limits.Cores, cfg.Limits.MemoryMB, cfg.Limits.Sockets)
	s := cfg.Settings
	cfg.Logic.HeldPart, cfg.Logic.DrawnAtNode, cfg.Logic.ColdByCount = heldPart, true, true
	c, err := core.New(cfg.Logic, cfg.Seed)
	if err != nil {
		return nil, err
	}
	in := &Initiator{cfg: cfg, bounds: b, env: env, log: log}
	in.shell = core.NewShell(c, cfg.Logic.Tick/stepsPerTick, log)
	in.back = target.New(target.Settings{
		MaxConnections: b.TargetConns, MaxAnswerBytes: b.Answers, IdleTimeout: logic.Micros(s.Limits.ConnIdleUs),
		ConnectTimeout: time.Duration(s.Limits.ConnectTimeoutUs) * time.Microsecond, LoadFields: target.NewLoadFields(s.Report.Fields),
		Trace: tr,
	}, in.shell)
	in.shell.SetBack(in.back)
	in.shell.SetTrace(tr)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	service := &front.RequestSettings{Classes: map[string]int{}, Plans: map[string]int{}, Cells: s.FamilyInfo.SlotsTotal, HealthPath: healthPath}
	for i, x := range s.Classes {
		service.Classes[x.Name] = i
		service.Repeat = append(service.Repeat, cfg.Logic.Classes[i].Repeat)
	}
	for i, x := range s.ServiceLevels {
		service.Plans[x.Name] = i
	}
	table := seats.New(seats.Limits{Seats: b.ClientConns, Open: s.Limits.OpenCap, Held: b.Requests, Bodies: b.Bodies})
	longest := logic.Micros(0)
	for _, x := range cfg.Logic.Classes {
		longest = max(longest, x.Deadline)
	}
	in.front = front.New(listener, service, in.shell, table, leave.New(longest), log)
	in.watch = discovery.New(cfg.Known, s.Zones, in.shell, in.front.SetReady, log)
	in.watch.Use(cfg.Discovery)
	time.AfterFunc(readyBy, in.front.SetReady)
	log.Info("an initiator", zap.String("name", cfg.Name), zap.String("listen", cfg.Listen), zap.Any("limits", cfg.Limits),
		zap.Duration("longest deadline", time.Duration(longest)*time.Microsecond), zap.Int("known targets", len(cfg.Known.Targets)))
	return in, nil
}

// Confine holds the whole process to the limits of the configuration.
func (in *Initiator) Confine() {
	debug.SetMemoryLimit(in.bounds.Heap)
	if in.bounds.Cores > 0 {
		runtime.GOMAXPROCS(in.bounds.Cores)
	}
}

// Run serves until the first signal to end, and then until all it holds is answered.
func (in *Initiator) Run(ctx context.Context, reload <-chan os.Signal) error {
	served := make(chan error, 1)
	go func() { served <- in.front.Serve() }()
	var again, look <-chan time.Time
	ending := ctx.Done()
	tries := 0
	for {
		select {
		case err := <-served:
			return err
		case <-reload:
			again, tries = in.reload(1), 1
		case <-again:
			tries++
			again = in.reload(tries)
		case <-ending:
			// It serves what still comes, and answers all that is held; discovery may move meanwhile too.
			ending = nil
			in.log.Info("ending")
			in.front.Drain()
			tick := time.NewTicker(lookAgain)
			defer tick.Stop()
			look = tick.C
		case <-look:
			if in.front.Drained() {
				in.close()
				return nil
			}
		}
	}
}

// reload takes a new configuration, whole or not at all; it gives the time to look at one again that cannot be read.
func (in *Initiator) reload(try int) (again <-chan time.Time) {
	cfg, err := config.Load(in.env)
	if err != nil && try < reloadTries {
		return time.After(reloadPause)
	}
	if err != nil {
		in.log.Error("the new configuration is not used, the old one stays", zap.Error(err))
		return nil
	}
	if cfg.Listen != in.cfg.Listen || cfg.Name != in.cfg.Name {
		in.log.Error("the new configuration is not used, the old one stays: it is another initiator's",
			zap.String("name", cfg.Name), zap.String("listen", cfg.Listen))
		return nil
	}
	in.log.Info("a new configuration", zap.String("discovery", cfg.Discovery))
	if cfg.Limits != in.cfg.Limits || !reflect.DeepEqual(cfg.Settings, in.cfg.Settings) {
		// Requests that are held were taken by the old ones, and none may be judged partly by each.
		in.log.Warn("its limits or settings differ from those in use, which hold until the next start")
	}
	in.watch.Use(cfg.Discovery)
	return nil
}

// close ends what is left once nothing is held any more.
func (in *Initiator) close() {
	in.watch.Close()
	in.front.Close()
	in.back.Close()
	in.shell.Close()
	tally, steps := in.shell.Tally()
	in.log.Info("ended", zap.Any("clients", in.front.Tally()), zap.Any("requests", tally), zap.Any("targets", in.back.Tally()),
		zap.Any("steps", steps))
}
