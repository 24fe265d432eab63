package config

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/quota"
)

const (
	maxSlots   = 4096
	maxBudgets = 64
)

// Kinds of a fleet's budget.
const (
	BudgetTokens   = "tokens"   // of a tenant
	BudgetRetries  = "attempts" // retries, of all requests
	BudgetSessions = "places"   // for paused sessions: of all tenants, or of one
)

var budgetKinds = []string{BudgetTokens, BudgetRetries, BudgetSessions}

// Fleet is the section [fleet]: what the nodes share, and by which times. Without a listener nothing is shared.
type Fleet struct {
	Listen           string   `toml:"listen"` // UDP and TCP, between nodes
	Dir              string   `toml:"dir"`    // of the node's incarnation and lease
	Strict           bool     `toml:"strict"` // a violated invariant ends the process
	ClockError       Duration `toml:"clock_error"`
	ClockOffset      Duration `toml:"clock_offset"` // for tests: by how much this node's clock is wrong
	HeartbeatTimeout Duration `toml:"silence"`
	JoinTimeout      Duration `toml:"join"`
	SettleTime       Duration `toml:"settle"` // for which a change of connectivity must last
	RecoveryRamp     Duration `toml:"heal"`   // over which a node that was apart returns to its rate
	GossipInterval   Duration `toml:"beat"`
	RequestInterval  Duration `toml:"ask"`   // between two requests for quota
	GossipFanout     int      `toml:"peers"` // nodes that a packet goes to
	LeaseDuration    Duration `toml:"lease"` // of a member slot
	// CoreSlots are the slots whose store decides for the fleet; empty for all. The others are sites.
	CoreSlots        []string      `toml:"halls"`
	SuspectAfter     Duration      `toml:"doubt"`     // of a site without a core node
	IsolatedAfter    Duration      `toml:"alone"`     // of a site that suspects it
	OverdraftClasses []string      `toml:"overdraws"` // classes that may use the overdraft while their node is isolated
	Slots            []FleetSlot   `toml:"seat"`
	Budgets          []FleetBudget `toml:"budget"`
	Evidence         FleetEvidence `toml:"evidence"`
}

// FleetSlot is a [[fleet.seat]]: a member slot, named for the node that holds it.
type FleetSlot struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // where this node reaches it
	Zone    string `toml:"zone"`
	Weight  int64  `toml:"weight"` // of its part in the budgets
}

// FleetBudget is a [[fleet.budget]]: what the fleet may spend in each window.
type FleetBudget struct {
	Kind            string   `toml:"kind"`   // BudgetTokens, BudgetRetries or BudgetSessions
	Tenant          string   `toml:"tenant"` // "" for all
	Amount          int64    `toml:"amount"`
	Overdraft       int64    `toml:"overdraft"`
	Window          Duration `toml:"window"`
	TransferWindows int      `toml:"loan"` // for how many windows nodes may transfer quota to each other
}

// name identifies the budget at all nodes.
func (b *FleetBudget) name() string { return b.Kind + "/" + b.Tenant }

// FleetEvidence is the section [fleet.evidence]: when the evidence of other nodes has a backend ejected.
type FleetEvidence struct {
	MinSources      int      `toml:"sources"` // nodes that must have evidence
	Lifetime        Duration `toml:"lasts"`
	OwnLifetime     Duration `toml:"own"`  // of a node's own good experience, which outweighs the others' evidence
	MaxEjectedShare float64  `toml:"most"` // of a zone's backends
	// IsolationShare of all backends: a node with evidence against more of them is taken to be cut off itself.
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

// isSite tells whether this node is none of the core nodes, whose store decides for the fleet.
func (o *OperatorFile) isSite() bool {
	return len(o.Fleet.CoreSlots) > 0 && !slices.Contains(o.Fleet.CoreSlots, o.Name)
}

// validateFleet completes and validates [fleet], where it has a listener.
func (o *OperatorFile) validateFleet() error {
	f := &o.Fleet
	if f.Listen == "" {
		if len(f.Slots) > 0 || len(f.Budgets) > 0 {
			return keyError("fleet.listen", "missing; without it nothing is shared")
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
			"sources %d, most %g, many %g: at least one source, and shares from 0 to 1",
			e.MinSources, e.MaxEjectedShare, e.IsolationShare)
	}
	return nil
}

func (o *OperatorFile) validateSlots() error {
	slots := o.Fleet.Slots
	if len(slots) > maxSlots {
		return keyError("fleet.seat", "more than 4,096")
	}
	seen := map[string]bool{}
	for i, s := range slots {
		if s.Name == "" || seen[s.Name] {
			return keyError(indexed("fleet.seat", i, "name"), "%q is missing, or there twice", s.Name)
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

// validateRoles checks who decides for the fleet, and that this node has its place in it.
func (o *OperatorFile) validateRoles() error {
	f := &o.Fleet
	isSlot := func(name string) bool {
		return slices.ContainsFunc(f.Slots, func(s FleetSlot) bool { return s.Name == name })
	}
	if !isSlot(o.Name) {
		return keyError("name", "%q is no fleet.seat", o.Name)
	}
	if o.Store.Kind == StoreRaft && o.Store.ID != o.Name {
		return keyError("store.id", "%q is not the node's name, %q, by which the fleet calls its leader",
			o.Store.ID, o.Name)
	}
	for i, name := range f.CoreSlots {
		if !isSlot(name) {
			return keyError(fmt.Sprintf("fleet.halls[%d]", i), "%q is no fleet.seat", name)
		}
	}
	for i, name := range f.OverdraftClasses {
		if !o.hasClass(name) {
			return keyError(fmt.Sprintf("fleet.overdraws[%d]", i), "%q is no class of this file", name)
		}
	}
	if o.isSite() && len(o.Tools) > 0 {
		return keyError("tool", "a site's sessions do not pause; their records are the halls'")
	}
	if len(f.Slots) > 1 && o.Store.Kind != StoreRaft && !o.isSite() {
		return keyError("store.kind", "seats of a fleet are given by a replicated store, %q", StoreRaft)
	}
	return nil
}

func (o *OperatorFile) validateBudgets() error {
	budgets := o.Fleet.Budgets
	if len(budgets) > maxBudgets {
		return keyError("fleet.budget", "more than %d", maxBudgets)
	}
	seen := map[string]bool{}
	for i, b := range budgets {
		needsTenant := b.Kind == BudgetTokens || b.Tenant != ""
		switch {
		case !slices.Contains(budgetKinds, b.Kind):
			return keyError(indexed("fleet.budget", i, "kind"),
				"%q is none of \"tokens\", \"attempts\" and \"places\"", b.Kind)
		case needsTenant && !o.hasTenant(b.Tenant):
			return keyError(indexed("fleet.budget", i, "tenant"), "%q is no tenant of this file", b.Tenant)
		case seen[b.name()]:
			return keyError(fmt.Sprintf("fleet.budget[%d]", i), "there is one of these already")
		}
		seen[b.name()] = true
	}
	_, err := o.QuotaBudgets()
	return err
}

// QuotaBudgets returns the budgets in the form in which nodes account for them.
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

// windowsAhead is for how many further windows a budget is spent in advance: a place is held until the slowest tool
// has answered.
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
