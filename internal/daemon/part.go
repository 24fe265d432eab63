package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/backend"
	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/edge"
	"standpoint/internal/endpoints"
	"standpoint/internal/find/discovery"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/ledger/replication"
	"standpoint/internal/fleet/session/service"
	"standpoint/internal/handover"
	"standpoint/internal/metrics"
	"standpoint/internal/migration/controller"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// component is one subsystem in the daemon. Any of its functions may be nil.
type component struct {
	name string
	// start is called once all parts are put together, before any actor runs and any client is heard. What it waits for
	// it gives up when the context ends: the program has been told to stop.
	start func(context.Context)
	// run is the part's actor; it ends with its context, after everything that was taken has been answered.
	run func(context.Context)
	// check tells whether the part can take on the next deployment. Nothing is changed before all agree.
	check func(next deployment) error
	// reload takes it on.
	reload func(next deployment)
	// stop lets go of what the part has opened. Parts stop in the opposite order of their start.
	stop func() error
}

// deployment is what the daemon was told: by the platform's variables, or by an operator's file. Exactly one of
// the two pointers is set.
type deployment struct {
	name, listen, console string
	limits                config.Limits // of this process
	nodeLimits            config.Limits // of the node, which may be two processes
	killDelay             time.Duration // after SIGTERM, at the earliest; 0: never
	platform              *config.PlatformConfig
	operator              *config.OperatorFile
}

// assembly is what the parts share while they are put together, in the order of their table.
type assembly struct {
	deployment                   // of the start, which never changes: parts may read it from anywhere
	current           deployment // in force; Run's goroutine alone has it
	baseDirectory     string     // the folder that relative paths of the operator's file start from
	log               *zap.Logger
	level             zap.AtomicLevel
	lifecycle         *node.Life
	store             store.Store
	backends          *backend.Fleet
	pools             node.Pools              // nil: none
	fleet             *fleet.Fleet            // nil: this node shares nothing
	sessions          *service.Service        // nil: none pause
	ledger            *replication.Replicator // nil: nothing is written down
	tracker           *controller.Tracker
	migrations        *controller.Controller
	routes            []control.Route // of the control interface
	core              *node.Core
	endpointSource    runnableSource
	updateEndpoints   func(node.List)
	endpointsReceived chan struct{} // closed once the source has told something; nil: it has no source that may be waited for
	discoveryFailing  func() bool   // tells that this source refuses, or cannot be reached
	firstEndpoints    sync.Once
	adoptedStreams    sync.WaitGroup // streams of another process that are carried on
	endpointCache     *endpoints.Keeper
	front             *edge.Front
	handlers          []prefixHandler // fronts besides the single requests'
	components        []component
	configFile        string               // the operator's
	overlay           string               // the shared document that is laid over it; "" for none
	settingsRequests  chan settingsRequest // about that
	registry          *prometheus.Registry // nil: no metrics
	discoveryMetrics  *discovery.Metrics
	counters          *metrics.Counters
	overrides         *endpoints.ByHand
	siblings          *handover.Channel // what the processes of this node share; nil: nothing
	siblingCount      int               // of those, that live beside this one; Run's goroutine alone has it
	siblingCounts     chan int          // and that number, when it changes
	drainRequests     chan drainRequest // of staff, about the phase
	overrideCommands  chan func()       // and about the backends
	coreMutex         sync.Mutex        // held while the core's settings are put together
	coreDeployment    deployment        // what they come from
	nodeCount         atomic.Int64      // by which the module divides; 0: as the deployment says
}

type runnableSource interface {
	node.Entries
	Run(context.Context)
}

// prefixHandler is a front that takes the paths that begin with one of the prefixes.
type prefixHandler struct {
	prefixes []string
	handler  http.Handler
}

// constructor puts a part together. A part that the deployment does not want has no name.
type constructor func(*assembly) (component, error)

// platformComponents is the daemon on the platform.
var platformComponents = []constructor{consoleComponent, siblingsComponent, memoryStoreComponent, backendsComponent, platformEndpointsComponent, coreComponent, edgeComponent}

// operatorComponents is the daemon as an operator's file says.
var operatorComponents = []constructor{consoleComponent, siblingsComponent, storeComponent, registryComponent, backendsComponent, migrationsComponent, fleetComponent, ledgerComponent, sessionsComponent, operatorEndpointsComponent, coreComponent, nodesComponent,
	edgeComponent, batchComponent, memberSettingsComponent, settingsComponent, controlComponent, metricsComponent}

// assemble runs a table of constructors. On a failure what was opened is closed again.
func (a *assembly) assemble(table []constructor) error {
	for _, make := range table {
		p, err := make(a)
		if err != nil {
			return errors.Join(err, a.stop())
		}
		if p.name != "" {
			a.components = append(a.components, p)
		}
	}
	return nil
}

// stop stops the parts, the last started first.
func (a *assembly) stop() error {
	var all []error
	for i := len(a.components) - 1; i >= 0; i-- {
		if p := a.components[i]; p.stop != nil {
			if err := p.stop(); err != nil {
				all = append(all, fmt.Errorf("%s: %w", p.name, err))
			}
		}
	}
	a.components = nil
	return errors.Join(all...)
}

// checkComponents tells whether every part can take on the next deployment.
func (a *assembly) checkComponents(next deployment) error {
	for _, p := range a.components {
		if p.check != nil {
			if err := p.check(next); err != nil {
				return err
			}
		}
	}
	return nil
}

// reload takes on the next deployment in every part, or in none.
func (a *assembly) reload(next deployment) error {
	if err := a.checkComponents(next); err != nil {
		return err
	}
	for _, p := range a.components {
		if p.reload != nil {
			p.reload(next)
		}
	}
	a.current = next
	return nil
}

// coreSettings is a deployment's settings with the number of nodes that was found.
func (a *assembly) coreSettings(d deployment) standpoint.Settings {
	settings, _, _ := d.requestSettings()
	settings.Balancers = max(settings.Balancers, int(a.nodeCount.Load()))
	return settings
}

// adjustCore hands the core its settings: those of the next deployment, or with nil those in force, which the number of
// nodes changes.
func (a *assembly) adjustCore(next *deployment) {
	a.coreMutex.Lock()
	defer a.coreMutex.Unlock()
	if next != nil {
		a.coreDeployment = *next
	}
	a.core.Adjust(a.coreSettings(a.coreDeployment), a.coreDeployment.limits.MaxRequests())
}

// createEndpointCache makes the keeper, which notes every change of the endpoints for the store, and has it hand them on to
// the core.
func (a *assembly) createEndpointCache() {
	a.endpointCache = endpoints.NewKeeper(a.store, a.log)
	_, names, _ := a.requestSettings()
	a.endpointCache.Names = endpoints.Names{Zones: names.Zones, Kinds: names.Kinds}
	a.overrides = endpoints.NewByHand(a.endpointCache, func(l node.List) { a.core.News(l) }, a.siblings, a.log)
	a.updateEndpoints = a.overrides.News
}
