package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/config"
	"standpoint/internal/edge"
	"standpoint/internal/node"
)

// Version is the daemon's version. A build may set it through the linker.
var Version = "0.3.0-dev"

// Options configure Run.
type Options struct {
	// ConfigFile is the path of an operator's file. If it is "", the platform's environment variables apply.
	ConfigFile string
	// Log, if not nil, replaces the logger that the configuration describes.
	Log *zap.Logger
}

// ConfigError wraps an error in the configuration. Its message begins with the key or the file at fault.
type ConfigError struct{ error }

// Unwrap implements errors.Unwrap.
func (e *ConfigError) Unwrap() error { return e.error }

// Run serves until SIGTERM or SIGINT, and returns once every accepted request has been answered, or the time for that
// has passed. On SIGHUP it reloads its configuration. A configuration that cannot be read or is invalid at the start is
// returned as a *ConfigError; an error of a component, such as an address in use, is not.
func Run(o Options) error {
	started := time.Now()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangup := make(chan os.Signal, 1) // further signals before the first is handled coalesce with it
	signal.Notify(hangup, syscall.SIGHUP)
	// After the return all that remains is to exit with the result, so a further signal must not kill the process.
	defer signal.Ignore(syscall.SIGHUP, syscall.SIGTERM)

	d, err := readDeployment(o.ConfigFile)
	if err != nil {
		return &ConfigError{err}
	}
	a := newAssembly(d, o)
	a.joinSiblings()
	if err := a.assemble(a.constructors()); err != nil {
		return err
	}
	defer func() {
		if err := a.stop(); err != nil {
			a.processLog.Warn("component stop failed", zap.Error(err))
		}
	}()
	return a.serve(stop, hangup, started)
}

// serve starts the components, opens the client listener, and returns when the process is to exit.
func (a *assembly) serve(stop context.Context, hangup <-chan os.Signal, started time.Time) error {
	applyLimits(a.limits)
	var listener net.Listener
	var err error
	if a.inheritsListener() { // a sibling process may serve on this socket in the meantime
		if listener, err = a.openListener(); err != nil {
			return err
		}
	}
	a.startComponents(stop)
	a.runComponents()
	a.awaitEndpoints(stop)
	a.restoreLearned(stop, started)
	if listener == nil { // not earlier: clients that connect before the process serves might wait until their deadline
		if listener, err = a.openListener(); err != nil {
			return err
		}
	}
	serveErrors := a.openFront(listener)
	reporting, endReports := context.WithCancel(context.Background())
	defer endReports()
	go a.reportMemory(reporting)
	if err := a.lifecycle.Enter(node.Serving); err != nil {
		return err
	}
	a.processLog.Info("serving", zap.String("listen", a.listen), zap.Any("limits", a.limits))
	return a.supervise(stop, hangup, serveErrors)
}

// openFront starts to accept clients at the HTTP front. The channel receives the error with which serving ended.
func (a *assembly) openFront(listener net.Listener) <-chan error {
	a.clients = edge.NewConnectionTracker(listener, a.current.limits.MaxClientConnections(), a.processLog)
	a.clients.Metrics = a.counters
	a.clients.Memory = a.memory
	a.clients.Work = a.work
	a.clients.Requests = a.requests
	a.clients.Answers = a.answers
	server := edge.NewServer(a.handler(), a.clients, a.processLog)
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(a.clients) }()
	return serveErrors
}

// supervise handles signals and requests until the process has drained. It alone changes the deployment in force, and
// continues to do so while draining: a new configuration may change the source of the endpoint list, and backends that
// this list marks as draining must be respected until the exit.
func (a *assembly) supervise(stop context.Context, hangup <-chan os.Signal, serveErrors <-chan error) error {
	stopRequested := stop.Done()
	drained := make(chan error, 1)
	for {
		select {
		case err := <-serveErrors:
			if stopRequested != nil {
				return fmt.Errorf("serving: %w", err)
			}
			serveErrors = nil // draining closes the listener
		case <-stopRequested:
			stopRequested = nil
			a.beginShutdown(drained)
		case err := <-drained:
			return err
		case <-hangup:
			_ = a.reloadConfiguration() // it logs its error, and the configuration in force stays
		case count := <-a.siblingCounts:
			a.setSiblingCount(count)
		case request := <-a.drainRequests:
			request.result <- a.setDrained(request.drained)
		case request := <-a.settingsRequests:
			request.result <- a.handleSettings(request)
		}
	}
}

// applyLimits sets the soft limit of the Go heap to six tenths of the memory limit, and GOMAXPROCS to the number of
// cores, rounded.
func applyLimits(l config.Limits) {
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 6 / 10)
	runtime.GOMAXPROCS(max(1, int(l.Cores+0.5)))
}
