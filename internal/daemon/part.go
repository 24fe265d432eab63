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
	"standpoint/internal/entries"
	"standpoint/internal/figures"
	"standpoint/internal/find/discovery"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/sessions"
	"standpoint/internal/fleet/usage"
	"standpoint/internal/handover"
	"standpoint/internal/moves"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

// part is one subsystem in the daemon. Any of its functions may be nil.
type part struct {
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
	whole                 config.Limits // of the node, which may be two processes
	killed                time.Duration // after SIGTERM, at the earliest; 0: never
	platform              *config.Platform
	operator              *config.Operator
}

// assembly is what the parts share while they are put together, in the order of their table.
type assembly struct {
	deployment            // of the start, which never changes: parts may read it from anywhere
	now        deployment // in force; Run's goroutine alone has it
	base       string     // the folder that relative paths of the operator's file start from
	log        *zap.Logger
	level      zap.AtomicLevel
	life       *node.Life
	keys       store.Store
	fleet      *backend.Fleet
	pools      node.Pools         // nil: none
	shared     *fleet.Fleet       // nil: this node shares nothing
	sessions   *sessions.Sessions // nil: none pause
	usage      *usage.Usage       // nil: nothing is written down
	tracker    *moves.Tracker
	mover      *moves.Actor
	calls      []control.Call // of the control interface
	core       *node.Core
	source     sourceOfEntries
	news       func(node.List)
	heard      chan struct{} // closed once the source has told something; nil: it has no source that may be waited for
	failing    func() bool   // tells that this source refuses, or cannot be reached
	first      sync.Once
	adopted    sync.WaitGroup // streams of another process that are carried on
	keeper     *entries.Keeper
	front      *edge.Front
	handlers   []prefixed // fronts besides the single requests'
	parts      []part
	file       string               // the operator's
	overlay    string               // the shared document that is laid over it; "" for none
	wishes     chan settingsWish    // about that
	registry   *prometheus.Registry // nil: no metrics
	metrics    *discovery.Metrics
	figures    *figures.Figures
	byHand     *entries.ByHand
	share      *handover.Share // what the processes of this node share; nil: nothing
	others     int             // of those, that live beside this one; Run's goroutine alone has it
	company    chan int        // and that number, when it changes
	orders     chan order      // of staff, about the phase
	commands   chan func()     // and about the backends
	settled    sync.Mutex      // held while the core's settings are put together
	inForce    deployment      // what they come from
	nodes      atomic.Int64    // by which the module divides; 0: as the deployment says
}

type sourceOfEntries interface {
	node.Entries
	Run(context.Context)
}

// prefixed is a front that takes the paths that begin with one of the prefixes.
type prefixed struct {
	prefixes []string
	handler  http.Handler
}

// constructor puts a part together. A part that the deployment does not want has no name.
type constructor func(*assembly) (part, error)

// platformParts is the daemon on the platform.
var platformParts = []constructor{consolePart, companyPart, memoryPart, fleetPart, platformEntriesPart, corePart, edgePart}

// operatorParts is the daemon as an operator's file says.
var operatorParts = []constructor{consolePart, companyPart, storePart, registryPart, fleetPart, poolsPart, sharedPart, ledgerPart, sessionsPart, operatorEntriesPart, corePart, peersPart,
	edgePart, batchPart, agreePart, settingsPart, controlPart, metricsPart}

// assemble runs a table of constructors. On a failure what was opened is closed again.
func (a *assembly) assemble(table []constructor) error {
	for _, make := range table {
		p, err := make(a)
		if err != nil {
			return errors.Join(err, a.stop())
		}
		if p.name != "" {
			a.parts = append(a.parts, p)
		}
	}
	return nil
}

// stop stops the parts, the last started first.
func (a *assembly) stop() error {
	var all []error
	for i := len(a.parts) - 1; i >= 0; i-- {
		if p := a.parts[i]; p.stop != nil {
			if err := p.stop(); err != nil {
				all = append(all, fmt.Errorf("%s: %w", p.name, err))
			}
		}
	}
	a.parts = nil
	return errors.Join(all...)
}

// agreed tells whether every part can take on the next deployment.
func (a *assembly) agreed(next deployment) error {
	for _, p := range a.parts {
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
	if err := a.agreed(next); err != nil {
		return err
	}
	for _, p := range a.parts {
		if p.reload != nil {
			p.reload(next)
		}
	}
	a.now = next
	return nil
}

// counted is a deployment's settings with the number of nodes that was found.
func (a *assembly) counted(d deployment) standpoint.Settings {
	settings, _, _ := d.told()
	settings.Balancers = max(settings.Balancers, int(a.nodes.Load()))
	return settings
}

// adjust hands the core its settings: those of the next deployment, or with nil those in force, which the number of
// nodes changes.
func (a *assembly) adjust(next *deployment) {
	a.settled.Lock()
	defer a.settled.Unlock()
	if next != nil {
		a.inForce = *next
	}
	a.core.Adjust(a.counted(a.inForce), a.inForce.limits.Flows())
}

// keep makes the keeper, which notes every change of the endpoints for the store, and has it hand them on to
// the core.
func (a *assembly) keep() {
	a.keeper = entries.NewKeeper(a.keys, a.log)
	_, names, _ := a.told()
	a.keeper.Names = entries.Names{Zones: names.Zones, Kinds: names.Kinds}
	a.byHand = entries.NewByHand(a.keeper, func(l node.List) { a.core.News(l) }, a.share, a.log)
	a.news = a.byHand.News
}
