package config

import (
	"slices"
	"time"

	"standpoint"
)

// maxAttempts is how many times a request may be sent at most, the first time included.
const maxAttempts = 3

// Settings of the decision module that an operator's file does not offer.
const (
	maxRetryAfter   = 2 * time.Second
	moduleTick      = 2 * time.Millisecond
	discoveryWithin = 10 * time.Second
	drainGrace      = 500 * time.Millisecond
	overloadWindow  = 3 * time.Second // in which a cold backend falls over at overloadFactor times its capacity
	overloadFactor  = 4
)

// Module is the section [module]: the node's place among the nodes, and settings of the decision module.
type Module struct {
	Nodes       int      `toml:"nodes"`   // of the installation
	Ordinal     int      `toml:"ordinal"` // of this node, from 0
	Zone        string   `toml:"zone"`    // of this node; one of Zones
	Zones       []string `toml:"zones"`
	Kinds       []string `toml:"kinds"` // of backends
	MaxAttempts int      `toml:"max_attempts"`
	DialTimeout Duration `toml:"dial_timeout"`
	IdleTimeout Duration `toml:"conn_idle"` // of connections to backends
	WarmUp      Duration `toml:"warm_up"`   // for how long a backend warms up after its start
	ColdShare   float64  `toml:"cold_share"`
	Resume      bool     `toml:"resume"` // clients ask for the rest of a broken stream
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

// Class is a [[class]]: a kind of requests, what is expected for them, and what serving them is worth.
type Class struct {
	Name                   string   `toml:"name"`
	FirstTokenObjective    Duration `toml:"first_token"`
	ObjectivePer1000Tokens Duration `toml:"per_1000_prompt_tokens"` // added to FirstTokenObjective
	TokenGapObjective      Duration `toml:"token_gap"`              // between two tokens; 0 for none
	Deadline               Duration `toml:"give_up"`
	Weight                 float64  `toml:"worth"`
	LateWeight             float64  `toml:"late_worth"` // of an answer that misses its objective
}

// Tenant is a [[tenant]].
type Tenant struct {
	Name     string  `toml:"name"`
	Share    float64 `toml:"share"`
	QuotaRPS float64 `toml:"quota_rps"` // requests a second, over all nodes; 0 for no quota
}

func (o *OperatorFile) validateClasses() error {
	if len(o.Classes) == 0 {
		return keyError("class", "at least one class is needed")
	}
	for i, c := range o.Classes {
		key := func(name string) string { return indexed("class", i, name) }
		switch {
		case c.Name == "":
			return keyError(key("name"), "missing")
		case c.FirstTokenObjective <= 0:
			return keyError(key("first_token"), "a positive span is needed")
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

// deriveSettings computes the decision module's settings.
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
		DiscoveryTimeout:     int64(discoveryWithin),
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

// hasBatchBackend tells whether a backend takes files. A line of a file cannot be cancelled, so where there is such a
// backend an attempt that looks slow is left to end.
func (o *OperatorFile) hasBatchBackend() bool {
	return slices.ContainsFunc(o.Backends, func(b Backend) bool { return b.Mode == BackendBatch })
}
