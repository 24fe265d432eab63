// Package daemon puts the program together from its parts, takes on new configurations, and leads it through its
// phases from start to exit.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/config"
	"standpoint/internal/edge"
	"standpoint/internal/metrics"
	"standpoint/internal/node"
	"standpoint/internal/settings"
	"standpoint/internal/transient"
)

const (
	acceptAfterStop = 600 * time.Millisecond  // after SIGTERM clients still come for up to 0.4 s
	shutdownTimeout = time.Minute             // in which what was taken must be answered
	handBackDelay   = 2200 * time.Millisecond // after SIGTERM, where the platform kills what it has told to stop
	killMargin      = 400 * time.Millisecond  // before that, when nothing may be left
)

// Options say where the daemon's configuration is.
type Options struct {
	// ConfigFile is an operator's file; "" stands for the platform's variables.
	ConfigFile string
	// Log, if set, is used in place of the one that the configuration asks for.
	Log *zap.Logger
}

// ConfigError is the error of a configuration that cannot be served; its message begins with the key.
type ConfigError struct{ error }

// Unwrap implements errors.Unwrap.
func (f *ConfigError) Unwrap() error { return f.error }

// Run serves until SIGTERM or SIGINT, and returns when all that was taken is answered. SIGHUP has it read its
// configuration again.
func Run(o Options) error {
	began := time.Now()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangup := make(chan os.Signal, 1) // holds one wish to read the configuration again
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Ignore(syscall.SIGHUP, syscall.SIGTERM) // for what is left of the program: all is answered, and it exits well
	d, err := read(o.ConfigFile)
	if err != nil {
		return &ConfigError{err}
	}
	a := &assembly{deployment: d, current: d, configFile: o.ConfigFile, settingsRequests: make(chan settingsRequest), drainRequests: make(chan drainRequest), overrideCommands: make(chan func()), siblingCounts: make(chan int), baseDirectory: directoryOf(o.ConfigFile), log: o.Log, level: zap.NewAtomicLevel(), lifecycle: &node.Life{}}
	if a.log == nil {
		a.log = newLog(d.logging(), a.level)
	}
	_, names, _ := d.requestSettings()
	a.counters = metrics.New(names.Classes, func() int { return a.core.Open() })
	a.joinSiblings()
	table := platformComponents
	if d.operator != nil {
		table = operatorComponents
	}
	if err := a.assemble(table); err != nil {
		return err
	}
	log := a.log.With(zap.String("node", a.name))
	defer func() {
		if err := a.stop(); err != nil {
			log.Warn("closing", zap.Error(err))
		}
	}()
	applyLimits(a.limits)
	var listener net.Listener
	if a.inheritsListener() { // another process may serve at it meanwhile
		if listener, err = a.listener(); err != nil {
			return err
		}
	}
	actors, end := context.WithCancel(context.Background())
	defer end()
	for _, p := range a.components {
		if p.start != nil {
			p.start(stop)
		}
	}
	for _, p := range a.components {
		if p.run != nil {
			go p.run(actors)
		}
	}
	a.awaitEndpoints(stop)
	a.restoreLearned(stop, began)
	if listener == nil { // not before: what connects to a process that does not serve yet would wait in the socket, up to its deadline
		if listener, err = a.listener(); err != nil {
			return err
		}
	}
	room := edge.NewRoom(listener, a.current.limits.MaxClientConnections(), log)
	room.Metrics = a.counters
	server := edge.NewServer(a.handler(), room, log)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(room) }()
	if err := a.lifecycle.Move(node.Serving); err != nil {
		return err
	}
	log.Info("serving", zap.String("listen", a.listen), zap.Any("limits", a.limits))

	// From here on this goroutine alone knows the deployment that is in force. Draining is no reason not to listen: a new
	// configuration may say where the list is had, and the drains in it are to be kept until the end.
	told, ended := stop.Done(), make(chan error, 1)
	for {
		select {
		case err := <-failed:
			if told != nil {
				return fmt.Errorf("serving: %w", err)
			}
			failed = nil // drain closes the listener
		case <-told:
			told = nil
			killed := a.current.killDelay
			if a.inheritsListener() && a.siblings != nil && a.siblings.SiblingCount() > 0 {
				go func() { ended <- a.handOver(room, killed, log) }()
				continue
			}
			go func() { ended <- a.drain(room, killed, shutdownTimeout, log) }()
		case n := <-a.siblingCounts:
			a.setSiblingCount(n, room, log)
		case err := <-ended:
			return err
		case <-hangup:
			_ = a.reloadConfiguration(o.ConfigFile, room, log) // logged, and nothing has changed
		case o := <-a.drainRequests:
			o.result <- a.setDrained(o.drained, room, log)
		case w := <-a.settingsRequests:
			w.result <- a.handleSettings(w, o.ConfigFile, room, log)
		}
	}
}

// read takes the deployment in, for the first time.
func read(file string) (deployment, error) {
	if file != "" {
		cfg, err := config.ReadOperatorFile(file)
		return fromOperator(cfg), err
	}
	cfg, err := config.ReadPlatform(os.Getenv)
	return fromPlatform(cfg), err
}

func fromPlatform(cfg config.PlatformConfig) deployment {
	return deployment{name: cfg.Name, listen: cfg.Listen, console: cfg.Console, limits: cfg.Limits, nodeLimits: cfg.Limits, killDelay: cfg.KillDelay(), platform: &cfg}
}

func fromOperator(cfg config.OperatorFile) deployment {
	return deployment{name: cfg.Name, listen: cfg.Listen, console: cfg.Console, limits: cfg.EffectiveLimits, nodeLimits: cfg.EffectiveLimits, operator: &cfg}
}

// reloadConfiguration reads the configuration again and takes it on in all parts, or in none.
func (a *assembly) reloadConfiguration(file string, room *edge.Room, log *zap.Logger) error {
	next, err := a.readAgain(file)
	if err == nil {
		next.limits = next.nodeLimits.PerProcess(1 + a.siblingCount)
		err = a.reload(next)
	}
	if err != nil {
		log.Error("the configuration stays as it was", zap.Error(err))
		return err
	}
	a.level.SetLevel(next.logging().level)
	applyLimits(next.limits)
	if room != nil {
		room.Resize(next.limits.MaxClientConnections())
	}
	log.Info("the configuration was read again", zap.Any("limits", next.limits))
	return nil
}

// handleSettings checks a shared document, or takes it on; one that cannot be is left and the last good one stays.
func (a *assembly) handleSettings(w settingsRequest, file string, room *edge.Room, log *zap.Logger) error {
	was := a.overlay
	a.overlay = w.text
	if w.dryRun {
		defer func() { a.overlay = was }()
		next, err := a.readAgain(file)
		if err == nil {
			err = a.checkComponents(next)
		}
		return err
	}
	err := a.reloadConfiguration(file, room, log)
	if err != nil {
		a.overlay = was
	}
	return err
}

// readAgain reads the configuration for a program that runs; what may not change is checked.
func (a *assembly) readAgain(file string) (deployment, error) {
	if a.current.operator != nil {
		raw, err := transient.ReadFile(file)
		if err != nil {
			return deployment{}, fmt.Errorf("operator's file: %w", err)
		}
		text := string(raw)
		if a.overlay != "" {
			if text, err = settings.Merge(text, a.overlay); err != nil {
				return deployment{}, err
			}
		}
		cfg, err := a.current.operator.ReloadText(text)
		return fromOperator(cfg), err
	}
	cfg, err := a.current.platform.Reload(os.Getenv)
	return fromPlatform(cfg), err
}

func applyLimits(l config.Limits) {
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 6 / 10)
	runtime.GOMAXPROCS(max(1, int(l.Cores+0.5)))
}

// drain leads the program to its end: it goes on accepting while clients may still come, then closes the listener
// and waits for what it took. What the platform will cut is handed back in time; where nobody cuts, what is left after
// most is answered in the same way.
func (a *assembly) drain(room *edge.Room, killed, most time.Duration, log *zap.Logger) error {
	if err := a.lifecycle.Move(node.Draining); err != nil {
		return err
	}
	log.Info("draining", zap.Int("open", a.core.Open()))
	last := most
	if killed > 0 {
		last = killed
		defer time.AfterFunc(min(handBackDelay, killed-killMargin), func() { a.core.HandBack(false) }).Stop()
		defer time.AfterFunc(killed-exitMargin, room.Clear).Stop()
	}
	defer time.AfterFunc(last-killMargin, func() { a.core.HandBack(true) }).Stop()
	time.Sleep(acceptAfterStop)
	return a.finishDraining(room, most, log)
}

// finishDraining waits for what was taken, and ends the program's life.
func (a *assembly) finishDraining(room *edge.Room, most time.Duration, log *zap.Logger) error {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	err := room.Leave(ctx)
	over := make(chan struct{})
	go func() {
		a.adoptedStreams.Wait()
		close(over)
	}()
	select {
	case <-over:
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("draining: %d flows were left: %w", a.core.Open(), err)
	}
	if moved := a.lifecycle.Move(node.Stopped); moved != nil {
		return moved
	}
	log.Info("stopped")
	return err
}

// runTogether makes one actor of several.
func runTogether(actors ...func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		var all sync.WaitGroup
		for _, actor := range actors {
			all.Go(func() { actor(ctx) })
		}
		all.Wait()
	}
}
