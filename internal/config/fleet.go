package config

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/quota"
)

const (
	maxSlots   = 4096 // maximum number of member slots
	maxBudgets = 64   // maximum number of budgets
)

// Kinds of a fleet's budgets.
const (
	BudgetTokens   = "tokens"   // tokens of one tenant
	BudgetRetries  = "attempts" // retries of all requests
	BudgetSessions = "places"   // paused sessions of all tenants or of one
)

var budgetKinds = []string{BudgetTokens, BudgetRetries, BudgetSessions}

// Fleet is the section [fleet]: what the nodes share, and the timing of that. Without Listen nothing is shared.
type Fleet struct {
	Listen           string   `toml:"listen"`       // loopback address for other nodes, UDP and TCP, host:port
	Dir              string   `toml:"dir"`          // directory with the node's incarnation and lease
	Strict           bool     `toml:"strict"`       // whether a violated invariant ends the process
	ClockError       Duration `toml:"clock_error"`  // maximum difference between the clocks of two nodes
	ClockOffset      Duration `toml:"clock_offset"` // offset added to this node's clock, for tests
	HeartbeatTimeout Duration `toml:"silence"`      // time without a packet after which a node counts as unreachable
	JoinTimeout      Duration `toml:"join"`         // maximum time that a starting node waits for a majority
	SettleTime       Duration `toml:"settle"`       // time for which a change of connectivity must last to count
	RecoveryRamp     Duration `toml:"heal"`         // time over which a formerly isolated node returns to its full rate
	GossipInterval   Duration `toml:"beat"`         // interval between gossip packets
	RequestInterval  Duration `toml:"ask"`          // minimum interval between two requests for quota of one budget
	GossipFanout     int      `toml:"peers"`        // number of nodes to which each gossip packet is sent
	LeaseDuration    Duration `toml:"lease"`        // duration of the lease of a member slot
	// CoreSlots names the slots whose store decides for the fleet; empty for all slots. The other slots are sites.
	CoreSlots        []string      `toml:"halls"`
	SuspectAfter     Duration      `toml:"doubt"`     // time without a core node after which a site suspects isolation
	IsolatedAfter    Duration      `toml:"alone"`     // further time after which the site counts as isolated
	OverdraftClasses []string      `toml:"overdraws"` // classes that may use the overdraft while their node is isolated
	Slots            []FleetSlot   `toml:"seat"`
	Budgets          []FleetBudget `toml:"budget"`
	Evidence         FleetEvidence `toml:"evidence"`
}

// FleetSlot is a [[fleet.seat]]: a member slot, with the name of the node that occupies it.
type FleetSlot struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // address at which this node reaches it, host:port
	Zone    string `toml:"zone"`    // zone of its node, one of Module.Zones; "" for the first of them
	Weight  int64  `toml:"weight"`  // weight by which budgets are divided among the slots
}

// FleetBudget is a [[fleet.budget]]: an amount that the fleet may spend in each time window.
type FleetBudget struct {
	Kind            string   `toml:"kind"`      // BudgetTokens, BudgetRetries or BudgetSessions
	Tenant          string   `toml:"tenant"`    // tenant that the budget applies to; "" for all
	Amount          int64    `toml:"amount"`    // amount in each window, in units of the kind
	Overdraft       int64    `toml:"overdraft"` // additional amount in each window for isolated nodes
	Window          Duration `toml:"window"`    // length of a window
	TransferWindows int      `toml:"loan"`      // maximum number of windows for which nodes transfer quota to each other
}

// name returns the name that identifies the budget at all nodes.
func (b *FleetBudget) name() string { return b.Kind + "/" + b.Tenant }

// FleetEvidence is the section [fleet.evidence]: when evidence from other nodes leads to the ejection of a backend.
type FleetEvidence struct {
	MinSources int      `toml:"sources"` // minimum number of other nodes with evidence against a backend
	Lifetime   Duration `toml:"lasts"`   // time for which evidence is valid
	// OwnLifetime is the time for which a node's own good experience with a backend outweighs the others' evidence.
	OwnLifetime Duration `toml:"own"`
	// MaxEjectedShare is the maximum fraction of a zone's backends that may be ejected, 0 to 1.
	MaxEjectedShare float64 `toml:"most"`
	// IsolationShare is the fraction of all backends, 0 to 1, beyond which evidence from one node indicates that this
	// node itself is disconnected.
	IsolationShare float64 `toml:"many"`
}

func (f *Fleet) setDefaults() {
	setDefault(&f.Dir, "fleet")
	setDefault(&f.ClockError, Duration(500*time.Millisecond))
	setDefault(&f.HeartbeatTimeout, Duration(3*time.Second))
	setDefault(&f.JoinTimeout, Duration(5*time.Second))
	setDefault(&f.SettleTime, Duration(time.Second))
	setDefault(&f.RecoveryRamp, Duration(time.Second))
	setDefault(&f.GossipInterval, Duration(250*time.Millisecond))
	setDefault(&f.RequestInterval, Duration(100*time.Millisecond))
	setDefault(&f.GossipFanout, 2)
	setDefault(&f.SuspectAfter, f.HeartbeatTimeout)
	setDefault(&f.IsolatedAfter, Duration(10*time.Second))
	setDefault(&f.LeaseDuration, Duration(10*time.Minute))
	f.Evidence.setDefaults()
	for i := range f.Slots {
		setDefault(&f.Slots[i].Weight, 1)
	}
	for i := range f.Budgets {
		f.Budgets[i].setDefaults()
	}
}

func (b *FleetBudget) setDefaults() {
	setDefault(&b.TransferWindows, 4)
	setDefault(&b.Window, Duration(time.Second))
	setDefault(&b.Kind, BudgetTokens)
}

func (e *FleetEvidence) setDefaults() {
	setDefault(&e.MinSources, 2)
	setDefault(&e.Lifetime, Duration(5*time.Second))
	setDefault(&e.OwnLifetime, Duration(2*time.Second))
	setDefault(&e.MaxEjectedShare, 0.5)
	setDefault(&e.IsolationShare, 0.34)
}

// isSite reports whether this node is a site, that is, not among the core nodes whose store decides for the fleet.
func (o *OperatorFile) isSite() bool {
	return len(o.Fleet.CoreSlots) > 0 && !slices.Contains(o.Fleet.CoreSlots, o.Name)
}

// validateFleet sets the defaults of [fleet] and validates it, if it has a listener.
func (o *OperatorFile) validateFleet() error {
	f := &o.Fleet
	if f.Listen == "" {
		if len(f.Slots) > 0 || len(f.Budgets) > 0 {
			return keyError("fleet.listen", "missing; fleet.seat and fleet.budget have no effect without it")
		}
		return nil
	}
	f.setDefaults()
	return firstError(
		func() error { return validateLoopback("fleet.listen", f.Listen) },
		f.validateTimes,
		f.validateGossip,
		o.validateSlots,
		o.validateRoles,
		o.validateBudgets,
	)
}

func (f *Fleet) validateTimes() error {
	const year = 366 * 24 * time.Hour
	for _, span := range []struct {
		key              string
		value            Duration
		minimum, maximum time.Duration
	}{
		{"clock_error", f.ClockError, time.Millisecond, time.Minute},
		{"silence", f.HeartbeatTimeout, 100 * time.Millisecond, time.Hour},
		{"join", f.JoinTimeout, 0, time.Hour},
		{"settle", f.SettleTime, 0, time.Hour},
		{"heal", f.RecoveryRamp, 0, time.Hour},
		{"beat", f.GossipInterval, 20 * time.Millisecond, time.Minute},
		{"ask", f.RequestInterval, 10 * time.Millisecond, time.Minute},
		{"lease", f.LeaseDuration, time.Second, year},
		{"evidence.lasts", f.Evidence.Lifetime, 100 * time.Millisecond, time.Hour},
		{"evidence.own", f.Evidence.OwnLifetime, 0, time.Hour},
	} {
		if !span.value.between(span.minimum, span.maximum) {
			return keyError("fleet."+span.key, "%v is not from %v to %v",
				time.Duration(span.value), span.minimum, span.maximum)
		}
	}
	return nil
}

func (f *Fleet) validateGossip() error {
	if !between(f.GossipFanout, 1, 8) {
		return keyError("fleet.peers", "%d is not from 1 to 8", f.GossipFanout)
	}
	e := &f.Evidence
	validShares := between(e.MaxEjectedShare, 0, 1) && between(e.IsolationShare, 0, 1) && e.IsolationShare > 0
	if e.MinSources < 1 || !validShares {
		return keyError("fleet.evidence",
			"out of range: sources is %d (at least 1), most is %g (from 0 to 1), many is %g (above 0, at most 1)",
			e.MinSources, e.MaxEjectedShare, e.IsolationShare)
	}
	return nil
}

func (o *OperatorFile) validateSlots() error {
	slots := o.Fleet.Slots
	if len(slots) > maxSlots {
		return keyError("fleet.seat", "%d sections are more than %d", len(slots), maxSlots)
	}
	seen := map[string]bool{}
	for i, s := range slots {
		if s.Name == "" || seen[s.Name] {
			return keyError(indexed("fleet.seat", i, "name"), "%q is empty or a duplicate", s.Name)
		}
		seen[s.Name] = true
		if err := validateLoopback(indexed("fleet.seat", i, "address"), s.Address); err != nil {
			return err
		}
		if s.Zone != "" && !slices.Contains(o.Module.Zones, s.Zone) {
			return keyError(indexed("fleet.seat", i, "zone"), "%q is not among module.zones", s.Zone)
		}
	}
	return nil
}

// validateRoles checks that this node has a member slot, that core slots and overdraft classes exist, and that the
// store and the tools suit the node's role.
func (o *OperatorFile) validateRoles() error {
	f := &o.Fleet
	isSlot := func(name string) bool {
		return slices.ContainsFunc(f.Slots, func(s FleetSlot) bool { return s.Name == name })
	}
	if !isSlot(o.Name) {
		return keyError("name", "%q is not among the fleet.seat names", o.Name)
	}
	if o.Store.Kind == StoreRaft && o.Store.ID != o.Name {
		return keyError("store.id", "%q differs from the node's name, %q, by which the fleet addresses its leader",
			o.Store.ID, o.Name)
	}
	for i, name := range f.CoreSlots {
		if !isSlot(name) {
			return keyError(fmt.Sprintf("fleet.halls[%d]", i), "%q is not among the fleet.seat names", name)
		}
	}
	for i, name := range f.OverdraftClasses {
		if !o.hasClass(name) {
			return keyError(fmt.Sprintf("fleet.overdraws[%d]", i), "%q is not among the class names", name)
		}
	}
	if o.isSite() && len(o.Tools) > 0 {
		return keyError("tool", "not available at a site, a node that fleet.halls does not name: core nodes store sessions")
	}
	if len(f.Slots) > 1 && o.Store.Kind != StoreRaft && !o.isSite() {
		return keyError("store.kind", "a fleet with several seats requires %q", StoreRaft)
	}
	return nil
}

func (o *OperatorFile) validateBudgets() error {
	budgets := o.Fleet.Budgets
	if len(budgets) > maxBudgets {
		return keyError("fleet.budget", "%d sections are more than %d", len(budgets), maxBudgets)
	}
	seen := map[string]bool{}
	for i, b := range budgets {
		needsTenant := b.Kind == BudgetTokens || b.Tenant != ""
		switch {
		case !slices.Contains(budgetKinds, b.Kind):
			return keyError(indexed("fleet.budget", i, "kind"),
				"%q is not one of \"tokens\", \"attempts\", \"places\"", b.Kind)
		case needsTenant && !o.hasTenant(b.Tenant):
			return keyError(indexed("fleet.budget", i, "tenant"), "%q is not among the tenant names", b.Tenant)
		case seen[b.name()]:
			return keyError(fmt.Sprintf("fleet.budget[%d]", i), "duplicate of an earlier fleet.budget: same kind and tenant")
		}
		seen[b.name()] = true
	}
	_, err := o.QuotaBudgets()
	return err
}

// QuotaBudgets returns the budgets in the form that package quota accounts for.
func (o *OperatorFile) QuotaBudgets() ([]*quota.Budget, error) {
	var weights []int64
	for _, s := range o.Fleet.Slots {
		weights = append(weights, s.Weight)
	}
	var all []*quota.Budget
	for i, b := range o.Fleet.Budgets {
		budget := &quota.Budget{
			Name:            b.name(),
			Amount:          b.Amount,
			Overdraft:       b.Overdraft,
			Window:          time.Duration(b.Window),
			TransferWindows: b.TransferWindows,
			WindowsAhead:    o.windowsAhead(&b),
			Weights:         slices.Clone(weights),
		}
		if err := budget.Complete(); err != nil {
			return nil, fmt.Errorf("fleet.budget[%d].%w", i, err)
		}
		all = append(all, budget)
	}
	return all, nil
}

// windowsAhead returns the number of windows after the current one for which a budget is spent in advance: a paused
// session counts until the tool with the longest timeout has returned its result.
func (o *OperatorFile) windowsAhead(b *FleetBudget) int {
	if b.Kind != BudgetSessions || b.Window <= 0 {
		return 0
	}
	var longest Duration
	for _, t := range o.Tools {
		longest = max(longest, t.ResultTimeout)
	}
	return int((longest+b.Window-1)/b.Window) + 1
}
