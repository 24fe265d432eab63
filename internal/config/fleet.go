package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/quota"
)

// FleetSlot is a place in the fleet: a node's name, where this node reaches it, and its weight in what is shared.
type FleetSlot struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Weight  int64  `toml:"weight"`
}

// FleetBudget is what the fleet may spend of something in each window.
type FleetBudget struct {
	// Kind is tokens, of a tenant; attempts: further ones, of all requests; or places, for sessions that are paused: of all, or
	// of a tenant.
	Kind            string   `toml:"kind"`
	Tenant          string   `toml:"tenant"`
	Amount          int64    `toml:"amount"`
	Overdraft       int64    `toml:"overdraft"`
	Window          Duration `toml:"window"`
	TransferWindows int      `toml:"loan"` // windows for which nodes lend to each other at the most
}

// Ledger is where what tenants use is written down; without a folder there is none.
type Ledger struct {
	Dir          string   `toml:"dir"`
	MaxMB        int      `toml:"max_mb"`
	SyncInterval Duration `toml:"every"` // between two looks at another node's ledger
	SyncRate     float64  `toml:"rate"`  // entries a second that are taken from others
}

// Tool is a tool that the model may call.
type Tool struct {
	Name          string   `toml:"name"`
	Action        string   `toml:"does"`      // pause, keep or refuse
	ResultTimeout Duration `toml:"wait"`      // for its result, at the longest
	MaxResultKB   int      `toml:"result_kb"` // of a result, at the most
	Class         string   `toml:"class"`     // by whose rules the session goes on; "": its own
}

// Sessions are how sessions pause at calls of tools; without a [[tool]] none does.
type Sessions struct {
	MaxPaused          int      `toml:"most"`        // paused or claimed at once, over all nodes
	MaxPausedPerTenant int      `toml:"most_tenant"` // likewise, of one tenant
	Retention          Duration `toml:"keep"`        // for which what is over is remembered
	DecodeTimeout      Duration `toml:"decode"`      // in which what follows a result must have been decoded
	ResumeRate         float64  `toml:"resumes"`     // a second, at each node
}

// Fleet is what nodes share; without a listener there is none.
type Fleet struct {
	Listen           string        `toml:"listen"` // UDP and TCP, between nodes
	Dir              string        `toml:"dir"`
	Strict           bool          `toml:"strict"` // an invariant that does not hold ends the program
	ClockError       Duration      `toml:"clock_error"`
	ClockOffset      Duration      `toml:"clock_offset"` // for tests: that this node's clock is off by
	HeartbeatTimeout Duration      `toml:"silence"`
	JoinTimeout      Duration      `toml:"join"`
	SettleTime       Duration      `toml:"settle"`
	RecoveryRamp     Duration      `toml:"heal"`
	GossipInterval   Duration      `toml:"beat"`
	RequestInterval  Duration      `toml:"ask"`
	GossipFanout     int           `toml:"peers"`
	LeaseDuration    Duration      `toml:"lease"`
	CoreSlots        []string      `toml:"halls"`     // seats whose store decides for the fleet; none: all of them. The others are sites
	SuspectAfter     Duration      `toml:"doubt"`     // of a site: without a hall, until it doubts
	IsolatedAfter    Duration      `toml:"alone"`     // of doubt, until it is alone
	OverdraftClasses []string      `toml:"overdraws"` // classes that may go into the overdraft while their node is apart from the others
	Slots            []FleetSlot   `toml:"seat"`
	Budgets          []FleetBudget `toml:"budget"`
	Evidence         struct {
		Sources int      `toml:"sources"`
		Lasts   Duration `toml:"lasts"`
		Own     Duration `toml:"own"`
		Most    float64  `toml:"most"`
		Many    float64  `toml:"many"`
	} `toml:"evidence"`
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
	setDefault(&f.Evidence.Sources, 2)
	setDefault(&f.Evidence.Lasts, Duration(5*time.Second))
	setDefault(&f.Evidence.Own, Duration(2*time.Second))
	setDefault(&f.Evidence.Most, 0.5)
	setDefault(&f.Evidence.Many, 0.34)
	for i := range f.Slots {
		setDefault(&f.Slots[i].Weight, 1)
	}
	for i := range f.Budgets {
		setDefault(&f.Budgets[i].TransferWindows, 4)
		setDefault(&f.Budgets[i].Window, Duration(time.Second))
		setDefault(&f.Budgets[i].Kind, "tokens")
	}
}

// QuotaBudgets are the budgets as the deciders take them.
func (o *OperatorFile) QuotaBudgets() ([]*quota.Budget, error) {
	f := &o.Fleet
	var longest Duration
	for _, t := range o.Tools {
		longest = max(longest, t.ResultTimeout)
	}
	var all []*quota.Budget
	for i, b := range f.Budgets {
		r := &quota.Budget{Name: b.Kind + "/" + b.Tenant, Amount: b.Amount, Overdraft: b.Overdraft, Window: time.Duration(b.Window), TransferWindows: b.TransferWindows}
		if b.Kind == "places" && b.Window > 0 {
			r.WindowsAhead = int((longest+b.Window-1)/b.Window) + 1
		}
		for _, s := range f.Slots {
			r.Weights = append(r.Weights, s.Weight)
		}
		if err := r.Complete(); err != nil {
			return nil, fmt.Errorf("fleet.budget[%d].%w", i, err)
		}
		all = append(all, r)
	}
	return all, nil
}

func (o *OperatorFile) validateFleet() error {
	f := &o.Fleet
	if f.Listen == "" {
		if len(f.Slots) > 0 || len(f.Budgets) > 0 {
			return errors.New("fleet.listen: missing; without it nothing is shared")
		}
		return nil
	}
	f.setDefaults()
	if err := validateLoopback("fleet.listen", f.Listen); err != nil {
		return err
	}
	for _, span := range []struct {
		key         string
		is          Duration
		least, most time.Duration
	}{{"clock_error", f.ClockError, time.Millisecond, time.Minute}, {"silence", f.HeartbeatTimeout, 100 * time.Millisecond, time.Hour}, {"join", f.JoinTimeout, 0, time.Hour},
		{"settle", f.SettleTime, 0, time.Hour}, {"heal", f.RecoveryRamp, 0, time.Hour}, {"beat", f.GossipInterval, 20 * time.Millisecond, time.Minute}, {"ask", f.RequestInterval, 10 * time.Millisecond, time.Minute},
		{"lease", f.LeaseDuration, time.Second, 366 * 24 * time.Hour}, {"evidence.lasts", f.Evidence.Lasts, 100 * time.Millisecond, time.Hour}, {"evidence.own", f.Evidence.Own, 0, time.Hour}} {
		if is := time.Duration(span.is); is < span.least || is > span.most {
			return fmt.Errorf("fleet.%s: %v is not from %v to %v", span.key, is, span.least, span.most)
		}
	}
	if f.GossipFanout < 1 || f.GossipFanout > 8 {
		return fmt.Errorf("fleet.peers: %d is not from 1 to 8", f.GossipFanout)
	}
	if e := f.Evidence; e.Sources < 1 || !(e.Most >= 0 && e.Most <= 1) || !(e.Many > 0 && e.Many <= 1) {
		return fmt.Errorf("fleet.evidence: sources %d, most %g, many %g: at least one source, and shares from 0 to 1", e.Sources, e.Most, e.Many)
	}
	if len(f.Slots) > 4096 {
		return errors.New("fleet.seat: more than 4,096")
	}
	names := map[string]bool{}
	for i, s := range f.Slots {
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("fleet.seat[%d].name: %q is missing, or there twice", i, s.Name)
		}
		names[s.Name] = true
		if err := validateLoopback(fmt.Sprintf("fleet.seat[%d].address", i), s.Address); err != nil {
			return err
		}
		if s.Zone != "" && !slices.Contains(o.Module.Zones, s.Zone) {
			return fmt.Errorf("fleet.seat[%d].zone: %q is not among module.zones", i, s.Zone)
		}
	}
	if !names[o.Name] {
		return fmt.Errorf("name: %q is no fleet.seat", o.Name)
	}
	if o.Store.Kind == "raft" && o.Store.ID != o.Name {
		return fmt.Errorf("store.id: %q is not the node's name, %q, by which the fleet calls its leader", o.Store.ID, o.Name)
	}
	for i, h := range f.CoreSlots {
		if !names[h] {
			return fmt.Errorf("fleet.halls[%d]: %q is no fleet.seat", i, h)
		}
	}
	for i, c := range f.OverdraftClasses {
		if !slices.ContainsFunc(o.Classes, func(k Class) bool { return k.Name == c }) {
			return fmt.Errorf("fleet.overdraws[%d]: %q is no class of this file", i, c)
		}
	}
	site := len(f.CoreSlots) > 0 && !slices.Contains(f.CoreSlots, o.Name)
	if site && len(o.Tools) > 0 {
		return errors.New("tool: a site's sessions do not pause; their records are the halls'")
	}
	if len(f.Slots) > 1 && o.Store.Kind != "raft" && !site {
		return errors.New("store.kind: seats of a fleet are given by a replicated store, \"raft\"")
	}
	if len(f.Budgets) > 64 {
		return errors.New("fleet.budget: more than 64")
	}
	seen := map[string]bool{}
	for i, b := range f.Budgets {
		switch {
		case !slices.Contains([]string{"tokens", "attempts", "places"}, b.Kind):
			return fmt.Errorf("fleet.budget[%d].kind: %q is none of \"tokens\", \"attempts\" and \"places\"", i, b.Kind)
		case (b.Kind == "tokens" || b.Tenant != "") && !slices.ContainsFunc(o.Tenants, func(t Tenant) bool { return t.Name == b.Tenant }):
			return fmt.Errorf("fleet.budget[%d].tenant: %q is no tenant of this file", i, b.Tenant)
		case seen[b.Kind+"/"+b.Tenant]:
			return fmt.Errorf("fleet.budget[%d]: there is one of these already", i)
		}
		seen[b.Kind+"/"+b.Tenant] = true
	}
	_, err := o.QuotaBudgets()
	return err
}

func (o *OperatorFile) validateLedger() error {
	l := &o.Ledger
	if l.Dir == "" {
		return nil
	}
	setDefault(&l.MaxMB, 256)
	setDefault(&l.SyncInterval, Duration(time.Second))
	setDefault(&l.SyncRate, 2000)
	switch {
	case o.Fleet.Listen == "":
		return errors.New("ledger: it needs a [fleet]: fleet.listen is missing")
	case l.MaxMB < 1 || l.MaxMB > 1<<20:
		return fmt.Errorf("ledger.max_mb: %d is not from 1 to 1,048,576", l.MaxMB)
	case l.SyncInterval < Duration(10*time.Millisecond) || l.SyncInterval > Duration(time.Hour):
		return fmt.Errorf("ledger.every: %v is not from 10ms to 1h", time.Duration(l.SyncInterval))
	case !(l.SyncRate >= 1 && l.SyncRate <= 1e6):
		return fmt.Errorf("ledger.rate: %g is not from 1 to 1,000,000 entries a second", l.SyncRate)
	}
	return nil
}

func (o *OperatorFile) validateTools() error {
	if len(o.Tools) == 0 {
		return nil
	}
	s := &o.Sessions
	setDefault(&s.MaxPaused, 10_000)
	setDefault(&s.MaxPausedPerTenant, max(1, s.MaxPaused/2))
	setDefault(&s.Retention, Duration(10*time.Minute))
	setDefault(&s.DecodeTimeout, Duration(time.Minute))
	setDefault(&s.ResumeRate, 50)
	names := map[string]bool{}
	for i := range o.Tools {
		t := &o.Tools[i]
		setDefault(&t.Action, "pause")
		setDefault(&t.ResultTimeout, Duration(30*time.Second))
		setDefault(&t.MaxResultKB, 64)
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("tool[%d].name: %q is missing, or there twice", i, t.Name)
		case !slices.Contains([]string{"pause", "keep", "refuse"}, t.Action):
			return fmt.Errorf("tool[%d].does: %q is none of \"pause\", \"keep\" and \"refuse\"", i, t.Action)
		case t.ResultTimeout < Duration(100*time.Millisecond) || t.ResultTimeout > Duration(24*time.Hour):
			return fmt.Errorf("tool[%d].wait: %v is not from 100ms to 24h", i, time.Duration(t.ResultTimeout))
		case t.MaxResultKB < 1 || t.MaxResultKB > 256:
			return fmt.Errorf("tool[%d].result_kb: %d is not from 1 to 256", i, t.MaxResultKB)
		case t.Class != "" && !slices.ContainsFunc(o.Classes, func(c Class) bool { return c.Name == t.Class }):
			return fmt.Errorf("tool[%d].class: %q is no class of this file", i, t.Class)
		}
		names[t.Name] = true
	}
	switch {
	case s.MaxPaused < 1 || s.MaxPaused > 100_000:
		return fmt.Errorf("sessions.most: %d is not from 1 to 100,000", s.MaxPaused)
	case s.MaxPausedPerTenant < 1:
		return fmt.Errorf("sessions.most_tenant: %d is not positive", s.MaxPausedPerTenant)
	case s.Retention < Duration(time.Second) || s.Retention > Duration(24*time.Hour):
		return fmt.Errorf("sessions.keep: %v is not from 1s to 24h", time.Duration(s.Retention))
	case s.DecodeTimeout < Duration(5*time.Second) || s.DecodeTimeout > Duration(time.Hour) || s.DecodeTimeout <= 4*o.Fleet.ClockError:
		return fmt.Errorf("sessions.decode: %v is not from 5s to 1h, or not well over fleet.clock_error", time.Duration(s.DecodeTimeout))
	case !(s.ResumeRate > 0 && s.ResumeRate <= 10_000):
		return fmt.Errorf("sessions.resumes: %g is not from 0 to 10,000 a second", s.ResumeRate)
	case o.Fleet.Listen == "":
		return errors.New("tool: sessions that pause need a [fleet]: fleet.listen is missing")
	}
	return nil
}
