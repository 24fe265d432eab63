package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"

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
	"standpoint/internal/metrics"
	"standpoint/internal/migration/controller"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// component is one subsystem of the daemon. Any of its functions may be nil.
type component struct {
	name string
	// start is called once all components are constructed, before any of them runs and before clients are accepted. It
	// returns early when the context ends: the process has been told to stop.
	start func(context.Context)
	// run runs until its context ends, which is after every accepted request has been answered.
	run func(context.Context)
	// check tells whether the component can apply a deployment. No component reloads before all have agreed.
	check func(next deployment) error
	// reload applies a deployment that check has accepted.
	reload func(next deployment)
	// stop releases what the component has opened. Components stop in the reverse order of their construction.
	stop func() error
}

// constructor constructs a component from those before it. Where the deployment has no use for the component, its name
// is "".
type constructor func(*assembly) (component, error)

// platformComponents make up the daemon on the platform, in the order of their construction.
var platformComponents = []constructor{
	consoleComponent,
	siblingsComponent,
	memoryStoreComponent,
	backendsComponent,
	platformEndpointsComponent,
	coreComponent,
	edgeComponent,
}

// operatorComponents make up the daemon of an operator's file, in the order of their construction.
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

// assembly is what the components share. Constructors set its fields in the order of their table; afterwards the fields
// are constant, but for those that say otherwise.
type assembly struct {
	deployment    // of the start
	configFile    string
	baseDirectory string      // that relative paths of the operator's file start from
	log           *zap.Logger // of the components
	processLog    *zap.Logger // of the process's phases: log with the node's name
	level         zap.AtomicLevel
	lifecycle     *node.Lifecycle
	components    []component

	// The supervising goroutine alone uses these.
	current        deployment              // in force
	sharedSettings string                  // laid over the operator's file; "" for none
	siblingCount   int                     // other live processes of this node
	clients        *edge.ConnectionTracker // nil until clients are accepted

	// Requests to the supervising goroutine.
	settingsRequests chan settingsRequest
	drainRequests    chan drainRequest
	siblingCounts    chan int // the number of siblings, when it has changed

	overrideRequests chan overrideRequest // to the console's component
	siblings         *handover.Channel    // nil where the node is always one process
	adoptedStreams   sync.WaitGroup       // streams of a sibling that this process carries on

	store      store.Store
	backends   *backend.Fleet
	pools      node.Pools // nil for none
	tracker    *controller.Tracker
	migrations *controller.Controller
	fleet      *fleet.Fleet            // nil: nothing is shared
	ledger     *replication.Replicator // nil: the use of tenants is not recorded
	sessions   *service.Service        // nil: no session pauses
	core       *node.Core
	front      *edge.Front
	handlers   []prefixHandler // of paths that the front does not serve
	routes     []control.Route // of the control interface

	endpointCache     *endpoints.Cache
	overrides         *endpoints.Overrides
	endpointSource    runnableSource
	updateEndpoints   func(node.EndpointList)
	endpointsReceived chan struct{} // closed at the source's first list; nil for a source that is not waited for
	discoveryFailing  func() bool   // whether the source refuses, or cannot be reached

	counters         *metrics.Counters
	registry         *prometheus.Registry // nil for no metrics
	discoveryMetrics *browser.Metrics

	coreMutex      sync.Mutex   // guards coreDeployment, and orders changes of the core's settings
	coreDeployment deployment   // that the core's settings come from
	nodeCount      atomic.Int64 // nodes of the installation that were found; 0 for as many as the deployment says
}

// runnableSource is a source of the endpoint list that runs until its context ends.
type runnableSource interface {
	node.EndpointWatcher
	Run(context.Context)
}

// prefixHandler serves the paths that begin with one of the prefixes.
type prefixHandler struct {
	prefixes []string
	handler  http.Handler
}

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
	}
	if a.log == nil {
		a.log = newLog(d.logging(), a.level)
	}
	a.processLog = a.log.With(zap.String("node", a.name))
	_, names, _ := d.requestSettings()
	a.counters = metrics.New(names.Classes, func() int { return a.core.OpenRequests() })
	return a
}

func (a *assembly) constructors() []constructor {
	if a.operator != nil {
		return operatorComponents
	}
	return platformComponents
}

// assemble constructs the components. On an error those that are constructed are stopped again.
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

// runComponents runs each component in a goroutine of its own until the context ends.
func (a *assembly) runComponents(ctx context.Context) {
	for _, c := range a.components {
		if c.run != nil {
			go c.run(ctx)
		}
	}
}

// stop stops the components, the last constructed first, and joins their errors.
func (a *assembly) stop() error {
	var errs []error
	for i := len(a.components) - 1; i >= 0; i-- {
		c := a.components[i]
		if c.stop == nil {
			continue
		}
		if err := c.stop(); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", c.name, err))
		}
	}
	a.components = nil
	return errors.Join(errs...)
}

// runTogether combines functions that run until their context ends.
func runTogether(functions ...func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		var running sync.WaitGroup
		for _, run := range functions {
			running.Go(func() { run(ctx) })
		}
		running.Wait()
	}
}
