package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"standpoint"
)

type settings struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		Name       string  `json:"name"`
		AimStretch float64 `json:"aimStretch"`
		OnTime     int64   `json:"onTime"`
		HardLimit  int64   `json:"hardLimit"`
		Semantics  string  `json:"semantics"`
		Group      string  `json:"group"`
		LateWorth  float64 `json:"lateWorth"`
		Streamed   bool    `json:"streamed"`
		Window     int64   `json:"window"`
		Worth      float64 `json:"worth"`
	} `json:"classes"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		AimPer1000 []float64 `json:"aimUsPer1000PromptTokens"`
		Resume     bool      `json:"resume"`
		TokenAim   []float64 `json:"tokenAim"`
	} `json:"familyInfo"`
	Limits struct {
		Cancel        bool  `json:"cancel"`
		MaxRetryAfter int64 `json:"maxRetryAfter"`
		Peers         bool  `json:"peers"`
		Probes        bool  `json:"probes"`
		RetryAfter    bool  `json:"retryAfter"`
		SecondCopies  bool  `json:"secondCopies"`
		ConnIdle      int64 `json:"connIdle"`
		DialTimeout   int64 `json:"dialTimeout"`
		MaxOpen       int   `json:"maxOpen"`
		SendCap       int   `json:"sendCap"`
	} `json:"limits"`
	Ordinal        int     `json:"ordinal"`
	OverShareWorth float64 `json:"overShareWorth"`
	Period         int64   `json:"period"`
	Prices         struct {
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
		AskWithin      int64   `json:"askWithin"`
		Fall           int64   `json:"fall"`
		OverloadFactor float64 `json:"overloadFactor"`
		StartCapacity  float64 `json:"startCapacity"`
		StopSending    int64   `json:"stopSendingWithin"`
		WarmUp         int64   `json:"warmUp"`
	} `json:"rules"`
	Shapes  []string `json:"shapes"`
	Tenants []struct {
		Name     string  `json:"name"`
		Share    float64 `json:"share"`
		QuotaRPS float64 `json:"quotaRps"`
	} `json:"tenants"`
	Zone  int      `json:"zone"`
	Zones []string `json:"zones"`
}

// Names are what the settings call things, in the order of the module's indexes, with the limits that the
// module has no use for.
type Names struct {
	Classes, Tenants, Zones, Kinds []string
	IdleTimeout, DialTimeout       time.Duration
	MaxConnections                 int
}

// DecodeSettings reads the settings object that the platform and the simulator both hand out.
func DecodeSettings(raw json.RawMessage) (standpoint.Settings, Names, error) {
	var w settings
	var s standpoint.Settings
	var n Names
	if len(raw) == 0 {
		return s, n, errors.New("settings: the object is missing")
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return s, n, fmt.Errorf("settings: %w", err)
	}
	s = standpoint.Settings{Balancers: w.Balancers, Ordinal: w.Ordinal, Zone: w.Zone, Zones: len(w.Zones),
		Kinds: len(w.Shapes), OverShareWorth: w.OverShareWorth, AskDiscovery: w.Discovery == "on_request",
		Resume: w.FamilyInfo.Resume, SecondCopies: w.Limits.SecondCopies, Cancel: w.Limits.Cancel,
		Probes: w.Limits.Probes, Peers: w.Limits.Peers, RetryAfter: w.Limits.RetryAfter,
		MaxRetryAfter: w.Limits.MaxRetryAfter, MaxAttempts: w.Limits.SendCap, Tick: w.Period,
		AskWithin: w.Rules.AskWithin, DrainGrace: w.Rules.StopSending, WarmUp: w.Rules.WarmUp,
		Fall: w.Rules.Fall, ColdShare: w.Rules.StartCapacity, FallFactor: w.Rules.OverloadFactor,
		CrossZonePrice: w.Prices.CrossZone, ProbePrice: w.Prices.Probe, PeerPrice: w.Prices.Peer,
		WastePrice: w.Prices.Waste, LateFailPrice: w.Prices.LateFail}
	switch w.Report.How {
	case "piggyback":
		s.Reports = standpoint.ReportReplies
	case "pull":
		s.Reports = standpoint.ReportProbes
	}
	n = Names{Zones: w.Zones, Kinds: w.Shapes, IdleTimeout: time.Duration(w.Limits.ConnIdle),
		DialTimeout: time.Duration(w.Limits.DialTimeout), MaxConnections: w.Limits.MaxOpen}
	for i, c := range w.Classes {
		n.Classes = append(n.Classes, c.Name)
		k := standpoint.Class{Window: c.Window, Streamed: c.Streamed, TTFTAim: c.OnTime,
			AimStretch: c.AimStretch, Deadline: c.HardLimit, Worth: c.Worth, LateWorth: c.LateWorth,
			Description: c.Name}
		switch c.Semantics {
		case "safe":
		case "keyed":
			k.Effect = standpoint.Keyed
		default: // an effect we don't know gets the strictest treatment
			k.Effect = standpoint.Unsafe
		}
		switch c.Group {
		case "zone":
			k.Group = standpoint.GroupZone
		case "cell":
			k.Group = standpoint.GroupCell
		}
		if i < len(w.FamilyInfo.AimPer1000) {
			k.AimPer1000 = int64(w.FamilyInfo.AimPer1000[i] * 1000)
		}
		if i < len(w.FamilyInfo.TokenAim) {
			k.TPOTAim = int64(w.FamilyInfo.TokenAim[i])
		}
		s.Classes = append(s.Classes, k)
		for _, v := range []struct {
			key  string
			told float64
		}{{"onTime", float64(c.OnTime)}, {"hardLimit", float64(c.HardLimit)}, {"window", float64(c.Window)}, {"worth", c.Worth},
			{"lateWorth", c.LateWorth}, {"tokenAim", float64(k.TPOTAim)}, {"aimUsPer1000PromptTokens", float64(k.AimPer1000)}} {
			if v.told < 0 {
				return s, n, fmt.Errorf("settings.classes[%d].%s: %g is negative", i, v.key, v.told)
			}
		}
	}
	for _, v := range []struct {
		key        string
		told, most float64
	}{{"balancers", float64(w.Balancers), 1e6}, {"period", float64(w.Period), 1e18}, {"limits.sendCap", float64(w.Limits.SendCap), 1e6},
		{"limits.maxRetryAfter", float64(w.Limits.MaxRetryAfter), 1e18}, {"rules.warmUp", float64(w.Rules.WarmUp), 1e18},
		{"rules.fall", float64(w.Rules.Fall), 1e18}, {"rules.askWithin", float64(w.Rules.AskWithin), 1e18},
		{"rules.stopSendingWithin", float64(w.Rules.StopSending), 1e18}, {"rules.startCapacity", w.Rules.StartCapacity, 1},
		{"rules.overloadFactor", w.Rules.OverloadFactor, 1e6}} {
		if !(v.told >= 0 && v.told <= v.most) {
			return s, n, fmt.Errorf("settings.%s: %g is not from 0 to %g", v.key, v.told, v.most)
		}
	}
	for _, t := range w.Tenants {
		n.Tenants = append(n.Tenants, t.Name)
		s.Tenants = append(s.Tenants, standpoint.Tenant{Share: t.Share, QuotaRPS: t.QuotaRPS})
	}
	return s, n, nil
}
