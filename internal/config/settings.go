package config

import (
	"encoding/json"
	"fmt"
	"time"

	"standpoint"
)

// Enumerated values in the settings object.
const (
	discoveryOnRequest = "on_request"
	reportsPiggyback   = "piggyback"
	reportsPull        = "pull"
	semanticsSafe      = "safe"
	semanticsKeyed     = "keyed"
	groupZone          = "zone"
	groupCell          = "cell"
)

// settings is the settings object as the platform writes it. Times are in nanoseconds, except in
// aimUsPer1000PromptTokens.
type settings struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		Name             string  `json:"name"`
		ObjectiveStretch float64 `json:"aimStretch"`
		Objective        int64   `json:"onTime"`
		Deadline         int64   `json:"hardLimit"`
		Semantics        string  `json:"semantics"`
		Group            string  `json:"group"`
		LateWeight       float64 `json:"lateWorth"`
		Streamed         bool    `json:"streamed"`
		Window           int64   `json:"window"`
		Weight           float64 `json:"worth"`
	} `json:"classes"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		ObjectivePer1000Tokens []float64 `json:"aimUsPer1000PromptTokens"` // microseconds, for each class
		Resume                 bool      `json:"resume"`
		TokenGapObjective      []float64 `json:"tokenAim"` // nanoseconds, for each class
	} `json:"familyInfo"`
	Limits struct {
		Cancel         bool  `json:"cancel"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		Peers          bool  `json:"peers"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retryAfter"`
		HedgedRequests bool  `json:"secondCopies"`
		IdleTimeout    int64 `json:"connIdle"`
		DialTimeout    int64 `json:"dialTimeout"`
		MaxConnections int   `json:"maxOpen"`
		MaxAttempts    int   `json:"sendCap"`
	} `json:"limits"`
	Ordinal         int     `json:"ordinal"`
	OverShareWeight float64 `json:"overShareWorth"`
	Tick            int64   `json:"period"`
	Prices          struct {
		CrossZone float64 `json:"crossZone"`
		LateFail  float64 `json:"lateFail"`
		Peer      float64 `json:"peer"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"prices"`
	Report struct {
		How string `json:"how"`
	} `json:"report"`
	Rules struct {
		DiscoveryTimeout int64   `json:"askWithin"`
		OverloadWindow   int64   `json:"fall"`
		OverloadFactor   float64 `json:"overloadFactor"`
		ColdShare        float64 `json:"startCapacity"`
		DrainGrace       int64   `json:"stopSendingWithin"`
		WarmUp           int64   `json:"warmUp"`
	} `json:"rules"`
	Kinds   []string `json:"shapes"`
	Tenants []struct {
		Name     string  `json:"name"`
		Share    float64 `json:"share"`
		QuotaRPS float64 `json:"quotaRps"`
	} `json:"tenants"`
	Zone  int      `json:"zone"`
	Zones []string `json:"zones"`
}

// Names holds the names of classes, tenants, zones and kinds, in the order of their indexes in the decision module, and
// settings of connections, which the decision module does not need.
type Names struct {
	Classes        []string
	Tenants        []string
	Zones          []string
	Kinds          []string
	IdleTimeout    time.Duration // time after which an idle connection to a backend is closed
	DialTimeout    time.Duration // timeout for opening a connection to a backend
	MaxConnections int           // maximum number of connections to backends; 0 for no limit
}

// DecodeSettings decodes and validates the settings object, whose form the platform and the simulator share.
func DecodeSettings(raw json.RawMessage) (standpoint.Settings, Names, error) {
	if len(raw) == 0 {
		return standpoint.Settings{}, Names{}, keyError("settings", "missing")
	}
	var wire settings
	if err := json.Unmarshal(raw, &wire); err != nil {
		return standpoint.Settings{}, Names{}, fmt.Errorf("settings: %w", err)
	}
	decoded := wire.moduleSettings()
	names := wire.names()
	for i := range wire.Classes {
		class := wire.moduleClass(i)
		decoded.Classes = append(decoded.Classes, class)
		if err := validateClassSettings(i, class); err != nil {
			return decoded, names, err
		}
	}
	if err := wire.validateRanges(); err != nil {
		return decoded, names, err
	}
	for _, tenant := range wire.Tenants {
		decoded.Tenants = append(decoded.Tenants, standpoint.Tenant{Share: tenant.Share, QuotaRPS: tenant.QuotaRPS})
	}
	return decoded, names, nil
}

// moduleSettings returns the decision module's settings without classes and tenants.
func (w *settings) moduleSettings() standpoint.Settings {
	decoded := standpoint.Settings{
		Gateways:             w.Balancers,
		Ordinal:              w.Ordinal,
		Zone:                 w.Zone,
		Zones:                len(w.Zones),
		Kinds:                len(w.Kinds),
		OverQuotaWeight:      w.OverShareWeight,
		SubscribeDiscovery:   w.Discovery == discoveryOnRequest,
		Resume:               w.FamilyInfo.Resume,
		HedgedRequests:       w.Limits.HedgedRequests,
		Cancel:               w.Limits.Cancel,
		Probes:               w.Limits.Probes,
		Peers:                w.Limits.Peers,
		RetryAfter:           w.Limits.RetryAfter,
		MaxRetryAfter:        w.Limits.MaxRetryAfter,
		MaxAttempts:          w.Limits.MaxAttempts,
		EventInterval:        w.Tick,
		DiscoveryTimeout:     w.Rules.DiscoveryTimeout,
		DrainGrace:           w.Rules.DrainGrace,
		WarmUp:               w.Rules.WarmUp,
		OverloadWindow:       w.Rules.OverloadWindow,
		ColdCapacityFraction: w.Rules.ColdShare,
		OverloadFactor:       w.Rules.OverloadFactor,
		CrossZonePrice:       w.Prices.CrossZone,
		ProbePrice:           w.Prices.Probe,
		PeerPrice:            w.Prices.Peer,
		WastePrice:           w.Prices.Waste,
		LateFailPrice:        w.Prices.LateFail,
	}
	switch w.Report.How {
	case reportsPiggyback:
		decoded.Reports = standpoint.ReportResponses
	case reportsPull:
		decoded.Reports = standpoint.ReportProbes
	}
	return decoded
}

// names returns the names, and the settings of connections.
func (w *settings) names() Names {
	names := Names{
		Zones:          w.Zones,
		Kinds:          w.Kinds,
		IdleTimeout:    time.Duration(w.Limits.IdleTimeout),
		DialTimeout:    time.Duration(w.Limits.DialTimeout),
		MaxConnections: w.Limits.MaxConnections,
	}
	for _, class := range w.Classes {
		names.Classes = append(names.Classes, class.Name)
	}
	for _, tenant := range w.Tenants {
		names.Tenants = append(names.Tenants, tenant.Name)
	}
	return names
}

// moduleClass returns the i-th class in the form of the decision module.
func (w *settings) moduleClass(i int) standpoint.Class {
	wire := &w.Classes[i]
	class := standpoint.Class{
		DedupWindow:      wire.Window,
		Streamed:         wire.Streamed,
		TTFTObjective:    wire.Objective,
		ObjectiveStretch: wire.ObjectiveStretch,
		Deadline:         wire.Deadline,
		Weight:           wire.Weight,
		LateWeight:       wire.LateWeight,
		Name:             wire.Name,
	}
	switch wire.Semantics {
	case semanticsSafe:
	case semanticsKeyed:
		class.Effect = standpoint.Keyed
	default: // requests with an unknown effect must not be repeated
		class.Effect = standpoint.Unsafe
	}
	switch wire.Group {
	case groupZone:
		class.DedupScope = standpoint.GroupZone
	case groupCell:
		class.DedupScope = standpoint.GroupCell
	}
	if i < len(w.FamilyInfo.ObjectivePer1000Tokens) {
		class.TTFTObjectivePer1000Tokens = int64(w.FamilyInfo.ObjectivePer1000Tokens[i] * float64(time.Microsecond))
	}
	if i < len(w.FamilyInfo.TokenGapObjective) {
		class.TPOTObjective = int64(w.FamilyInfo.TokenGapObjective[i])
	}
	return class
}

// validateClassSettings rejects negative numbers in the i-th class.
func validateClassSettings(i int, class standpoint.Class) error {
	for _, v := range []struct {
		key   string
		value float64
	}{
		{"onTime", float64(class.TTFTObjective)},
		{"hardLimit", float64(class.Deadline)},
		{"window", float64(class.DedupWindow)},
		{"worth", class.Weight},
		{"lateWorth", class.LateWeight},
		{"tokenAim", float64(class.TPOTObjective)},
		{"aimUsPer1000PromptTokens", float64(class.TTFTObjectivePer1000Tokens)},
	} {
		if v.value < 0 {
			return keyError(indexed("settings.classes", i, v.key), "%g is negative", v.value)
		}
	}
	return nil
}

// validateRanges rejects numbers with which the decision module cannot compute.
func (w *settings) validateRanges() error {
	const (
		maxCount = 1e6
		maxTime  = 1e18 // nanoseconds
	)
	for _, field := range []struct {
		key            string
		value, maximum float64
	}{
		{"balancers", float64(w.Balancers), maxCount},
		{"period", float64(w.Tick), maxTime},
		{"limits.sendCap", float64(w.Limits.MaxAttempts), maxCount},
		{"limits.maxRetryAfter", float64(w.Limits.MaxRetryAfter), maxTime},
		{"rules.warmUp", float64(w.Rules.WarmUp), maxTime},
		{"rules.fall", float64(w.Rules.OverloadWindow), maxTime},
		{"rules.askWithin", float64(w.Rules.DiscoveryTimeout), maxTime},
		{"rules.stopSendingWithin", float64(w.Rules.DrainGrace), maxTime},
		{"rules.startCapacity", w.Rules.ColdShare, 1},
		{"rules.overloadFactor", w.Rules.OverloadFactor, maxCount},
	} {
		if !between(field.value, 0, field.maximum) {
			return keyError("settings."+field.key, "%g is not from 0 to %g", field.value, field.maximum)
		}
	}
	return nil
}
