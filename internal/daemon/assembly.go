package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"standpoint/internal/backend"
	"standpoint/internal/control"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/edge"
	"standpoint/internal/endpoints"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/ledger/replication"
	"standpoint/internal/fleet/session/service"
	"standpoint/internal/handover"
	"standpoint/internal/memory"
	"standpoint/internal/metrics"
	"standpoint/internal/migration/controller"
	"standpoint/internal/node"
	"standpoint/internal/store"
	"standpoint/internal/work"
)

// component is one subsystem of the daemon. Any of its functions may be nil.
type component struct {
	name string
	// start is called once all components are constructed, before any of them runs and before clients are accepted. It
	// returns early when the context ends, which is when the process receives a signal to stop.
	start func(context.Context)
	// run blocks until its context ends, which is after the process has drained and after the components constructed
	// later have ended. With runsUntilStop set, it blocks until stop instead.
	run           func(context.Context)
	runsUntilStop bool
	// check returns an error if the component cannot apply a deployment. No component reloads before every check has
	// passed.
	check func(next deployment) error
	// reload applies a deployment for which check returned no error.
	reload func(next deployment)
	// stop releases the resources that the component has opened, once run has returned. Components stop in the reverse
	// order of their construction.
	stop func() error

	// The following fields are set while run is running.
	cancel context.CancelFunc
	ended  chan struct{} // closed when run has returned
}

// componentStopTimeout bounds the wait for one component to return from run. Each has its own: one that does not return
// must not take the time of those that it used.
const componentStopTimeout = 500 * time.Millisecond

// constructor constructs a component, which may use the components constructed before it. If the deployment does not
// need the component, the result has the name "".
type constructor func(*assembly) (component, error)

// platformComponents are the components of a daemon that the platform configures, in the order of construction.
var platformComponents = []constructor{
	consoleComponent,
	siblingsComponent,
	memoryStoreComponent,
	backendsComponent,
	platformEndpointsComponent,
	coreComponent,
	edgeComponent,
}

// operatorComponents are the components of a daemon that an operator's file configures, in the order of construction.
var operatorComponents = []constructor{
	consoleComponent,
	siblingsComponent,
	storeComponent,
	registryComponent,
	backendsComponent,
	migrationsComponent,
	fleetComponent,
	ledgerComponent,
	sessionsComponent,
	operatorEndpointsComponent,
	coreComponent,
	nodesComponent,
	edgeComponent,
	batchComponent,
	memberSettingsComponent,
	settingsComponent,
	controlComponent,
	metricsComponent,
}

// assembly holds the state that the components share. Constructors set its fields in the order of their table;
// afterwards the fields do not change, except for those whose comments say so.
type assembly struct {
	deployment    // the deployment at the start of the process
	configFile    string
	baseDirectory string      // directory against which relative paths in the operator's file are resolved
	log           *zap.Logger // log of the components
	processLog    *zap.Logger // log of the process's phases, with the node's name as a field
	level         zap.AtomicLevel
	lifecycle     *node.Lifecycle
	components    []component

	// Only the supervising goroutine uses the following fields.
	current        deployment              // the deployment in force
	sharedSettings string                  // shared configuration that overrides the operator's file; "" for none
	siblingCount   int                     // number of other live processes of this node
	clients        *edge.ConnectionTracker // nil until clients are accepted

	// The following channels carry requests to the supervising goroutine.
	settingsRequests chan settingsRequest
	drainRequests    chan drainRequest
	siblingCounts    chan int // the new number of siblings after each change

	overrideRequests chan overrideRequest // requests to the console component
	requestIDs       *handover.RequestIDs // nil if siblings is nil
	siblings         *handover.Channel    // nil if this process looks for no siblings; see joinSiblings
	adoptedStreams   sync.WaitGroup       // streams that this process has adopted from siblings

	memory     *memory.Budget // bounds what clients, backends and discovery make the process hold
	work       *work.Limiter  // bounds the processing of what peers send in bulk
	requests   *work.Limiter  // bounds the requests that are admitted
	answers    *work.Limiter  // bounds answers to requests that no backend answers
	store      store.Store
	backends   *backend.Fleet
	pools      node.Pools // nil if the file defines no pools
	tracker    *controller.Tracker
	migrations *controller.Controller
	fleet      *fleet.Fleet            // nil if nothing is shared with other nodes
	ledger     *replication.Replicator // nil if the usage of tenants is not recorded
	sessions   *service.Service        // nil if sessions are never paused
	core       *node.Core
	front      *edge.Front
	handlers   []prefixHandler // handlers of the paths that the front does not serve
	routes     []control.Route // routes of the control interface

	endpointCache     *endpoints.Cache
	overrides         *endpoints.Overrides
	endpointSource    runnableSource
	updateEndpoints   func(node.EndpointList)
	endpointsReceived chan struct{} // closed at the source's first list; nil if the start does not wait for that
	discoveryFailing  func() bool   // reports whether the source rejects calls or cannot be reached

	counters         *metrics.Counters
	registry         *prometheus.Registry // nil if no metrics are served
	discoveryMetrics *browser.Metrics

	coreMutex      sync.Mutex   // guards coreDeployment, and serializes changes of the core's settings
	coreDeployment deployment   // deployment from which the core's settings were derived
	nodeCount      atomic.Int64 // number of nodes by DNS-SD, at least module.nodes; 0 without discovery of nodes
}

// runnableSource is a source of the endpoint list that runs until its context ends.
type runnableSource interface {
	node.EndpointWatcher
	Run(context.Context)
}

// prefixHandler is an HTTP handler for the paths that begin with one of the prefixes.
type prefixHandler struct {
	prefixes []string
	handler  http.Handler
}

// newAssembly returns an assembly without components.
func newAssembly(d deployment, o Options) *assembly {
	a := &assembly{
		deployment:       d,
		current:          d,
		configFile:       o.ConfigFile,
		baseDirectory:    filepath.Dir(o.ConfigFile),
		log:              o.Log,
		level:            zap.NewAtomicLevel(),
		lifecycle:        &node.Lifecycle{},
		settingsRequests: make(chan settingsRequest),
		drainRequests:    make(chan drainRequest),
		overrideRequests: make(chan overrideRequest),
		siblingCounts:    make(chan int),
		memory:           memory.NewBudget(d.limits.MaxPeerBytes()),
		work:             work.NewLimiter(d.limits.BulkRate()),
		requests:         work.NewLimiter(d.limits.RequestRate()),
		answers:          work.NewLimiter(d.limits.AnswerRate()),
	}
	if a.log == nil {
		a.log = newLog(d.logging(), a.level)
	}
	a.processLog = a.log.With(zap.String("node", a.name))
	_, names, _ := d.requestSettings()
	a.counters = metrics.New(names.Classes, func() int { return a.core.OpenRequests() })
	return a
}

// constructors returns the table of components for the kind of configuration.
func (a *assembly) constructors() []constructor {
	if a.operator != nil {
		return operatorComponents
	}
	return platformComponents
}

// assemble constructs the components. On an error it stops those that it has constructed.
func (a *assembly) assemble(constructors []constructor) error {
	for _, construct := range constructors {
		c, err := construct(a)
		if err != nil {
			return errors.Join(err, a.stop())
		}
		if c.name != "" {
			a.components = append(a.components, c)
		}
	}
	return nil
}

// startComponents starts the components in order.
func (a *assembly) startComponents(stop context.Context) {
	for _, c := range a.components {
		if c.start != nil {
			c.start(stop)
		}
	}
}

// runComponents runs each component in a goroutine of its own until stop.
func (a *assembly) runComponents() {
	for i := range a.components {
		c := &a.components[i]
		if c.run == nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		c.cancel = cancel
		c.ended = make(chan struct{})
		go func() {
			defer close(c.ended)
			c.run(ctx)
		}()
	}
}

// stop ends the components, the last constructed first, and joins their errors. A component ends only once those that
// use it have returned from run: what they still hand over, such as usage to the ledger, is complete.
func (a *assembly) stop() error {
	var errs []error
	for i := len(a.components) - 1; i >= 0; i-- {
		c := &a.components[i]
		if err := c.end(); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", c.name, err))
		}
	}
	a.components = nil
	return errors.Join(errs...)
}

// errStillRunning is returned for a component that has not returned from run in time.
var errStillRunning = errors.New("still running")

// end ends the component. It waits at most for componentStopTimeout, and releases the resources in any case.
func (c *component) end() error {
	if c.cancel != nil {
		c.cancel()
	}
	var errs []error
	if c.cancel != nil && !c.runsUntilStop {
		errs = append(errs, c.awaitEnd())
	}
	if c.stop != nil {
		errs = append(errs, c.stop())
	}
	if c.cancel != nil && c.runsUntilStop {
		errs = append(errs, c.awaitEnd())
	}
	return errors.Join(errs...)
}

// awaitEnd waits until run has returned.
func (c *component) awaitEnd() error {
	timer := time.NewTimer(componentStopTimeout)
	defer timer.Stop()
	select {
	case <-c.ended:
		return nil
	case <-timer.C:
		return errStillRunning
	}
}

// runTogether returns a function that runs the given functions concurrently, and returns when all have returned.
func runTogether(functions ...func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		var running sync.WaitGroup
		for _, run := range functions {
			running.Go(func() { run(ctx) })
		}
		running.Wait()
	}
}
