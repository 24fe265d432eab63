package config

import (
	"slices"
	"time"

	"standpoint"
)

// maxAttempts is the maximum number of attempts for a request, including the first.
const maxAttempts = 3

// Settings of the decision module that an operator's file cannot change.
const (
	maxRetryAfter    = 2 * time.Second        // maximum value of a Retry-After header
	moduleTick       = 2 * time.Millisecond   // minimum time between two batches of events
	discoveryTimeout = 10 * time.Second       // time within which discovery has to be queried again
	drainGrace       = 500 * time.Millisecond // time after which no request may be sent to a draining backend
	// overloadWindow is the span over which the load of a starting backend is compared with its capacity. From
	// overloadFactor times its capacity on, the backend is overloaded.
	overloadWindow = 3 * time.Second
	overloadFactor = 4
)

// Module is the section [module]: the position of this node among the nodes of the installation, and settings of the
// decision module.
type Module struct {
	Nodes       int      `toml:"nodes"`        // number of nodes in the installation
	Ordinal     int      `toml:"ordinal"`      // index of this node, from 0 to Nodes - 1
	Zone        string   `toml:"zone"`         // zone of this node, one of Zones; "" for the first of Zones
	Zones       []string `toml:"zones"`        // names of all zones
	Kinds       []string `toml:"kinds"`        // names of the kinds of backends
	MaxAttempts int      `toml:"max_attempts"` // maximum attempts for a request, including the first
	DialTimeout Duration `toml:"dial_timeout"` // timeout for opening a connection to a backend
	IdleTimeout Duration `toml:"conn_idle"`    // time after which an idle connection to a backend is closed
	WarmUp      Duration `toml:"warm_up"`      // time from the start of a backend until it has its full capacity
	ColdShare   float64  `toml:"cold_share"`   // fraction of its capacity that a backend has at its start, 0 to 1
	Resume      bool     `toml:"resume"`       // whether clients can request the rest of an interrupted stream
}

func (m *Module) setDefaults() {
	setDefault(&m.Nodes, 1)
	setDefault(&m.MaxAttempts, maxAttempts)
	setDefault(&m.DialTimeout, Duration(defaultDialTimeout))
	setDefault(&m.IdleTimeout, Duration(defaultIdleTimeout))
	setDefault(&m.WarmUp, Duration(20*time.Second))
	setDefault(&m.ColdShare, 0.13)
}

func (m *Module) validate() error {
	switch {
	case m.Zone != "" && !slices.Contains(m.Zones, m.Zone):
		return keyError("module.zone", "%q is not among module.zones", m.Zone)
	case m.Ordinal < 0 || m.Ordinal >= m.Nodes:
		return keyError("module.ordinal", "%d is not from 0 to module.nodes - 1", m.Ordinal)
	case !between(m.MaxAttempts, 1, maxAttempts):
		return keyError("module.max_attempts", "%d is not from 1 to %d", m.MaxAttempts, maxAttempts)
	case m.ColdShare < 0 || m.ColdShare > 1:
		return keyError("module.cold_share", "%g is not from 0 to 1", m.ColdShare)
	}
	return nil
}

// Class is a [[class]] of requests, with their latency objectives and their weight.
type Class struct {
	Name string `toml:"name"`
	// FirstTokenObjective is the objective for the time to first token of an empty prompt.
	FirstTokenObjective Duration `toml:"first_token"`
	// ObjectivePer1000Tokens is added to FirstTokenObjective for every 1000 tokens of the prompt.
	ObjectivePer1000Tokens Duration `toml:"per_1000_prompt_tokens"`
	// TokenGapObjective is the objective for the time between two tokens; 0 for none.
	TokenGapObjective Duration `toml:"token_gap"`
	// Deadline is the time after which clients abandon a request.
	Deadline Duration `toml:"give_up"`
	// Weight is the value of a response that meets its objectives, relative to other classes.
	Weight float64 `toml:"worth"`
	// LateWeight is the value of a response that misses an objective.
	LateWeight float64 `toml:"late_worth"`
}

// Tenant is a [[tenant]], whose requests count together against its quota.
type Tenant struct {
	Name     string  `toml:"name"`
	Share    float64 `toml:"share"`     // passed to the decision module, which does not use it
	QuotaRPS float64 `toml:"quota_rps"` // requests per second at all nodes together; 0 for no quota
}

// validateClasses validates the classes, and checks that every tenant has a name.
func (o *OperatorFile) validateClasses() error {
	if len(o.Classes) == 0 {
		return keyError("class", "missing; at least one is required")
	}
	for i, c := range o.Classes {
		key := func(name string) string { return indexed("class", i, name) }
		switch {
		case c.Name == "":
			return keyError(key("name"), "missing")
		case c.FirstTokenObjective <= 0:
			return keyError(key("first_token"), "%v is not positive", time.Duration(c.FirstTokenObjective))
		case c.Deadline < c.FirstTokenObjective:
			return keyError(key("give_up"), "shorter than first_token")
		case c.Weight < 0:
			return keyError(key("worth"), "%g is negative", c.Weight)
		}
	}
	for i, t := range o.Tenants {
		if t.Name == "" {
			return keyError(indexed("tenant", i, "name"), "missing")
		}
	}
	return nil
}

// deriveNames sets Names.
func (o *OperatorFile) deriveNames() {
	module := &o.Module
	o.Names = Names{
		Zones:       module.Zones,
		Kinds:       module.Kinds,
		IdleTimeout: time.Duration(module.IdleTimeout),
		DialTimeout: time.Duration(module.DialTimeout),
	}
	for _, class := range o.Classes {
		o.Names.Classes = append(o.Names.Classes, class.Name)
	}
	for _, tenant := range o.Tenants {
		o.Names.Tenants = append(o.Names.Tenants, tenant.Name)
	}
}

// deriveSettings sets Settings, the settings of the decision module.
func (o *OperatorFile) deriveSettings() {
	module := &o.Module
	o.Settings = standpoint.Settings{
		Gateways:             module.Nodes,
		Ordinal:              module.Ordinal,
		Zone:                 max(0, slices.Index(module.Zones, module.Zone)),
		Zones:                max(1, len(module.Zones)),
		Kinds:                len(module.Kinds),
		Reports:              standpoint.ReportResponses,
		Resume:               module.Resume,
		Cancel:               !o.hasBatchBackend(),
		RetryAfter:           true,
		MaxRetryAfter:        int64(maxRetryAfter),
		MaxAttempts:          module.MaxAttempts,
		EventInterval:        int64(moduleTick),
		DiscoveryTimeout:     int64(discoveryTimeout),
		DrainGrace:           int64(drainGrace),
		WarmUp:               int64(module.WarmUp),
		OverloadWindow:       int64(overloadWindow),
		ColdCapacityFraction: module.ColdShare,
		OverloadFactor:       overloadFactor,
	}
	for _, class := range o.Classes {
		o.Settings.Classes = append(o.Settings.Classes, standpoint.Class{
			Streamed:                   true,
			TTFTObjective:              int64(class.FirstTokenObjective),
			TTFTObjectivePer1000Tokens: int64(class.ObjectivePer1000Tokens),
			TPOTObjective:              int64(class.TokenGapObjective),
			Deadline:                   int64(class.Deadline),
			Weight:                     class.Weight,
			LateWeight:                 class.LateWeight,
			Name:                       class.Name,
		})
	}
	for _, tenant := range o.Tenants {
		derived := standpoint.Tenant{Share: tenant.Share, QuotaRPS: tenant.QuotaRPS}
		o.Settings.Tenants = append(o.Settings.Tenants, derived)
	}
}

// hasBatchBackend reports whether a backend takes files of requests. A line of a file cannot be cancelled, so if there
// is such a backend, the decision module does not cancel slow attempts.
func (o *OperatorFile) hasBatchBackend() bool {
	return slices.ContainsFunc(o.Backends, func(b Backend) bool { return b.Mode == BackendBatch })
}
