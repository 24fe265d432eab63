package daemon

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/site"
	"standpoint/internal/node"
)

// fleetComponent is what this node shares with the others of its fleet, where the operator's file has a [fleet].
func fleetComponent(a *assembly) (component, error) {
	cfg := &a.operator.Fleet
	if cfg.Listen == "" {
		return component{}, nil
	}
	budgets, err := a.operator.QuotaBudgets()
	if err != nil {
		return component{}, err
	}
	log := a.log.Named("fleet")
	o := fleet.Options{SlotName: a.name, Listen: cfg.Listen, Dir: a.operator.ResolvePath(a.baseDirectory, cfg.Dir), LeaseDuration: time.Duration(cfg.LeaseDuration), RetryBudget: -1, Store: a.store,
		Advise: func(s *standpoint.Advice) { a.core.Advise(s) }, ClockOffset: time.Duration(cfg.ClockOffset), Invariants: &invariant.Monitor{Strict: cfg.Strict, Log: log}, Log: log}
	clockError := time.Duration(cfg.ClockError)
	o.MemberConfig = member.Config{Budgets: budgets, GossipInterval: time.Duration(cfg.GossipInterval), GossipFanout: cfg.GossipFanout, HeartbeatTimeout: time.Duration(cfg.HeartbeatTimeout),
		ConnectivityTiming: connectivity.Timing{JoinTimeout: time.Duration(cfg.JoinTimeout), SettleTime: time.Duration(cfg.SettleTime), RecoveryRamp: time.Duration(cfg.RecoveryRamp)},
		ClockError:         clockError, RequestInterval: time.Duration(cfg.RequestInterval),
		OutlierLimits: outlier.Limits{MinSources: cfg.Evidence.MinSources, EvidenceLifetime: int64(cfg.Evidence.Lifetime), OwnEvidenceLifetime: int64(cfg.Evidence.OwnLifetime), MaxEjectedShare: cfg.Evidence.MaxEjectedShare,
			IsolationShare: cfg.Evidence.IsolationShare, ClockError: int64(clockError)}}
	settings, names, _ := a.requestSettings()
	o.CoreSlots, o.SiteTiming = cfg.CoreSlots, site.Timing{SuspectAfter: time.Duration(cfg.SuspectAfter), IsolatedAfter: time.Duration(cfg.IsolatedAfter), SettleTime: time.Duration(cfg.SettleTime)}
	o.ClassNames, o.TenantNames = names.Classes, names.Tenants
	for _, c := range names.Classes {
		o.OverdraftClasses = append(o.OverdraftClasses, slices.Contains(cfg.OverdraftClasses, c))
	}
	// The ledger's part comes behind this one: what it does is looked up when it is needed.
	if a.operator.Ledger.Dir != "" {
		o.RecordUsage = func(e ledger.Entry) bool { return a.ledger.Charge(e) }
		o.LedgerFull = func() bool { return a.ledger.Full() }
		o.LedgerBehind = func() bool { return a.ledger.Behind() }
	}
	for _, s := range cfg.Slots {
		o.Slots = append(o.Slots, fleet.SlotAddress{Name: s.Name, Address: s.Address})
		o.MemberConfig.Slots = append(o.MemberConfig.Slots, member.Slot{Name: s.Name, Zone: max(0, slices.Index(names.Zones, s.Zone))})
	}
	// What a node can count in a second is bounded by what it may hold at once; what it is taken for widens readings alone.
	most := int64(a.limits.MaxRequests())
	for range fleet.FirstTenantCounter + max(1, len(settings.Tenants)) {
		o.MemberConfig.MaxRates = append(o.MemberConfig.MaxRates, most*maxTokensPerSecond)
	}
	o.MemberConfig.MaxRates[fleet.RequestCounter] = most
	for i := range settings.Tenants {
		o.TokenBudgets = append(o.TokenBudgets, slices.IndexFunc(cfg.Budgets, func(b config.FleetBudget) bool { return b.Kind == "tokens" && b.Tenant == names.Tenants[i] }))
	}
	o.RetryBudget = slices.IndexFunc(cfg.Budgets, func(b config.FleetBudget) bool { return b.Kind == "attempts" })
	for i, b := range cfg.Budgets {
		if b.Kind == "places" {
			o.SessionBudgets = append(o.SessionBudgets, fleet.SessionBudget{Budget: i, Tenant: slices.Index(names.Tenants, b.Tenant)})
		}
	}
	f, err := fleet.Open(o)
	if err != nil {
		return component{}, err
	}
	a.fleet = f
	a.routes = append(a.routes, control.Route{Pattern: "GET /v1/fleet", Handle: func(*http.Request, []byte) (any, error) { return f.Status(), nil }})
	log.Info("this node shares with others", zap.Int("seats", len(o.Slots)), zap.Int("budgets", len(budgets)), zap.Uint64("life", f.Owner().Incarnation))
	return component{name: "fleet", run: func(ctx context.Context) { f.Run(ctx) }, stop: f.Close}, nil
}

// maxTokensPerSecond is how many tokens a request can be charged in a second, for the bounds of what is not heard.
const maxTokensPerSecond = 1000

var _ node.Fleet = (*fleet.Fleet)(nil)
