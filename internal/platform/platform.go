// Package platform runs appleplank as an initiator of the platform. It connects the front, which serves clients over
// the platform's HTTP protocol, the back, which sends attempts to targets over the same protocol, the watch on
// discovery, and the core, in which package logic decides.
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
	"appleplank/internal/http1"
	"appleplank/internal/platform/config"
	"appleplank/internal/platform/core"
	"appleplank/internal/platform/discovery"
	"appleplank/internal/platform/front"
	"appleplank/internal/platform/target"
	"appleplank/internal/platform/trace"
	"appleplank/leave"
	"appleplank/logic"
	"appleplank/quota"
	"appleplank/replay"
	"appleplank/seats"

	"go.uber.org/zap"
)

const (
	// The platform rates a refusal after half of the request's time, without any attempt sent, as worse than a refusal
	// before that.
	heldShare = 0.5

	healthPath = "/_health"
	// Clients are taken to wait for up to longestWaitFactor times the longest deadline of the settings.
	longestWaitFactor = 1.25
	// Steps of the core that are caused by inputs begin at least a tick of the settings divided by stepsPerTick apart.
	// A request thus waits for less than its service takes, and a burst of requests uses a bounded share of the
	// processor.
	stepsPerTick = 8
	// A new configuration that is invalid may be only half written, so it is read again: maxReloadTries times in all,
	// with reloadRetryDelay between them.
	maxReloadTries, reloadRetryDelay = 5, 100 * time.Millisecond
	// drainPollInterval is the interval at which the end of a shutdown is checked.
	drainPollInterval = 5 * time.Millisecond
	// discoveryTimeout is the time after which the initiator reports ready with the list of targets from the
	// configuration, if discovery has sent nothing.
	discoveryTimeout = time.Second
)

// Initiator is a running initiator.
type Initiator struct {
	cfg    *config.Config
	bounds bounds.Bounds
	env    func(string) string
	log    *zap.Logger
	shell  *core.Shell
	front  *front.Front
	back   *target.Back
	watch  *discovery.Watch
	memory memoryMonitor
}

// New starts an initiator with the configuration that the environment names. It listens at once and reports ready when
// discovery has sent something or discoveryTimeout has passed. The events of the core and of the sockets to targets are
// traced to tr, unless it is nil.
func New(env func(string) string, tr *trace.Writer, log *zap.Logger) (*Initiator, error) {
	cfg, err := config.Load(env)
	if err != nil {
		return nil, err
	}
	resident, err := readResidentMemory()
	if err != nil {
		log.Warn("the memory of this process is unknown", zap.Error(err))
	}
	b := bounds.For(bounds.Grants{Cores: cfg.Limits.Cores, MemoryMB: cfg.Limits.MemoryMB, Sockets: cfg.Limits.Sockets, Files: resident.Files})
	s := cfg.Settings
	cfg.Logic.HeldPart, cfg.Logic.DrawnAtNode, cfg.Logic.ColdByCount = heldShare, true, true
	cfg.Logic.MaxVolumes = b.Volumes
	c, err := core.New(cfg.Logic, cfg.Seed)
	if err != nil {
		return nil, err
	}
	in := &Initiator{cfg: cfg, bounds: b, env: env, log: log, memory: memoryMonitor{account: b.Memory, log: log}}
	in.shell = core.NewShell(c, cfg.Logic.Tick/stepsPerTick, log)
	in.back = target.New(target.Settings{
		MaxConnections: b.TargetConns, MaxCopyBytes: int(b.Memory.Copies), MaxAnswerBytes: int(b.Memory.Answers), IdleTimeout: logic.Micros(s.Limits.ConnIdleUs),
		ConnectTimeout: time.Duration(s.Limits.ConnectTimeoutUs) * time.Microsecond, LoadFields: target.NewLoadFields(s.Report.Fields),
		Trace: tr,
	}, in.shell)
	in.shell.SetBack(in.back)
	in.shell.SetTrace(tr)
	// Package seats ends connections that are not used, so that none needs a keep-alive.
	listen := net.ListenConfig{KeepAlive: -1}
	listener, err := listen.Listen(context.Background(), "tcp", cfg.Listen)
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
	maxDeadline := logic.Micros(0)
	for _, x := range cfg.Logic.Classes {
		maxDeadline = max(maxDeadline, x.Deadline)
	}
	seatTable := seats.New(seats.Limits{
		Seats: b.ClientConns, Open: s.Limits.OpenCap, Held: b.Requests, Bodies: int(b.Memory.Bodies), Unsent: int(b.Memory.Unsent), Transit: int(b.Memory.Transit),
		LongestAnswer: http1.MaxBody, LongestWait: logic.Micros(longestWaitFactor * float64(maxDeadline)),
	})
	in.front, err = front.New(listener.(*net.TCPListener), service, in.shell, front.Policies{
		Seats: seatTable, Accepting: quota.NewAccepting(b.Accepts, float64(b.ClientConns)), Replays: replay.NewGuard(b.RememberedIDs), Shutdown: leave.New(maxDeadline, cfg.Limits.Cores),
	}, log)
	if err != nil {
		listener.Close()
		return nil, err
	}
	in.watch = discovery.New(cfg.Known, s.Zones, b.ListBytes, in.shell, in.front.SetReady, log)
	in.shell.SetCatchUp(func() {
		in.front.ReadArrived()
		in.watch.ReadArrived()
	})
	in.watch.SetAddress(cfg.Discovery)
	time.AfterFunc(discoveryTimeout, in.front.SetReady)
	log.Info("initiator started", zap.String("name", cfg.Name), zap.String("listen", cfg.Listen), zap.Any("limits", cfg.Limits),
		zap.Duration("longest deadline", time.Duration(maxDeadline)*time.Microsecond), zap.Int("known targets", len(cfg.Known.Targets)),
		zap.Any("memory", b.Memory), zap.Int("client connections", b.ClientConns), zap.Int("target connections", b.TargetConns))
	return in, nil
}

// ApplyLimits applies the limits of the configuration to the memory and the threads of the process.
func (in *Initiator) ApplyLimits() {
	debug.SetMemoryLimit(in.bounds.Memory.Heap())
	if in.bounds.Cores > 0 {
		runtime.GOMAXPROCS(in.bounds.Cores)
	}
}

// Run serves until ctx is done, then drains: it returns once every request is answered. Each signal from reload makes
// it read the configuration again.
func (in *Initiator) Run(ctx context.Context, reload <-chan os.Signal) error {
	served := make(chan error, 1)
	go func() { served <- in.front.Serve() }()
	var retryReload, pollDrain <-chan time.Time
	shutdown := ctx.Done()
	memoryCheck := time.NewTicker(memoryCheckInterval)
	defer memoryCheck.Stop()
	tries := 0
	for {
		select {
		case <-memoryCheck.C:
			in.memory.check(in.heldMemory)
		case err := <-served:
			return err
		case <-reload:
			retryReload, tries = in.reload(1), 1
		case <-retryReload:
			tries++
			retryReload = in.reload(tries)
		case <-shutdown:
			// While it drains it still serves new requests and accepts a new configuration, as the address of discovery
			// may change meanwhile.
			shutdown = nil
			in.log.Info("ending")
			in.front.Drain()
			tick := time.NewTicker(drainPollInterval)
			defer tick.Stop()
			pollDrain = tick.C
		case <-pollDrain:
			if in.front.Drained() {
				in.close()
				return nil
			}
		}
	}
}

// heldMemory returns what the parts of the initiator hold and have held.
func (in *Initiator) heldMemory() []zap.Field {
	clients, targets := in.front.Tally(), in.back.Tally()
	return []zap.Field{zap.Int("connections", in.front.Connections()), zap.Any("clients", clients), zap.Any("targets", targets)}
}

// reload applies a new configuration, completely or not at all. For one that is invalid it returns a channel that fires
// when it should be read again, or nil after the last try.
func (in *Initiator) reload(try int) (retry <-chan time.Time) {
	cfg, err := config.Load(in.env)
	if err != nil && try < maxReloadTries {
		return time.After(reloadRetryDelay)
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
		// Requests that are held were accepted under the old settings; none may be handled partly by each.
		in.log.Warn("its limits or settings differ from those in use, which hold until the next start")
	}
	in.watch.SetAddress(cfg.Discovery)
	return nil
}

// close stops all parts. No request is held any more.
func (in *Initiator) close() {
	in.watch.Close()
	in.front.Close()
	in.back.Close()
	in.shell.Close()
	tally, steps := in.shell.Tally()
	in.log.Info("ended", zap.Any("clients", in.front.Tally()), zap.Any("requests", tally), zap.Any("targets", in.back.Tally()),
		zap.Any("steps", steps), zap.Int64("most memory", in.memory.most))
}
