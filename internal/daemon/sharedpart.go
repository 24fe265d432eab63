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
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/judge"
	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/mode"
	"standpoint/internal/fleet/site"
	"standpoint/internal/node"
)

// sharedPart is what this node shares with the others of its fleet, where the operator's file has a [fleet].
func sharedPart(a *assembly) (part, error) {
	cfg := &a.operator.Fleet
	if cfg.Listen == "" {
		return part{}, nil
	}
	budgets, err := a.operator.Rights()
	if err != nil {
		return part{}, err
	}
	log := a.log.Named("fleet")
	o := fleet.Options{Name: a.name, Listen: cfg.Listen, Dir: a.operator.Path(a.base, cfg.Dir), Lease: time.Duration(cfg.Lease), Further: -1, Keys: a.keys,
		Advise: func(s *standpoint.Advice) { a.core.Advise(s) }, Offset: time.Duration(cfg.ClockOffset), Guard: &invariant.Guard{Strict: cfg.Strict, Log: log}, Log: log}
	clockError := time.Duration(cfg.ClockError)
	o.Member = member.Config{Budgets: budgets, Tick: time.Duration(cfg.Beat), Peers: cfg.Peers, Silence: time.Duration(cfg.Silence),
		Mode:  mode.Limits{Join: time.Duration(cfg.Join), Settle: time.Duration(cfg.Settle), Heal: time.Duration(cfg.Heal)},
		Error: clockError, Ask: time.Duration(cfg.Ask),
		Judge: judge.Limits{Sources: cfg.Evidence.Sources, Lasts: int64(cfg.Evidence.Lasts), Own: int64(cfg.Evidence.Own), Most: cfg.Evidence.Most,
			Many: cfg.Evidence.Many, Error: int64(clockError)}}
	settings, names, _ := a.told()
	o.Halls, o.SiteIs = cfg.Halls, site.Limits{Doubt: time.Duration(cfg.Doubt), Alone: time.Duration(cfg.Alone), Settle: time.Duration(cfg.Settle)}
	o.Classes, o.Names = names.Classes, names.Tenants
	for _, c := range names.Classes {
		o.Overdraws = append(o.Overdraws, slices.Contains(cfg.Overdraws, c))
	}
	// The ledger's part comes behind this one: what it does is looked up when it is needed.
	if a.operator.Ledger.Dir != "" {
		o.Charge = func(e ledger.Entry) bool { return a.usage.Charge(e) }
		o.Full = func() bool { return a.usage.Full() }
		o.Lacking = func() bool { return a.usage.Lacking() }
	}
	for _, s := range cfg.Seats {
		o.Seats = append(o.Seats, fleet.Reach{Name: s.Name, Address: s.Address})
		o.Member.Seats = append(o.Member.Seats, member.Seat{Name: s.Name, Zone: max(0, slices.Index(names.Zones, s.Zone))})
	}
	// What a node can count in a second is bounded by what it may hold at once; what it is taken for widens readings alone.
	most := int64(a.limits.Flows())
	for range fleet.Tenants + max(1, len(settings.Tenants)) {
		o.Member.Most = append(o.Member.Most, most*countedMost)
	}
	o.Member.Most[fleet.Requests] = most
	for i := range settings.Tenants {
		o.Tenants = append(o.Tenants, slices.IndexFunc(cfg.Budgets, func(b config.FleetBudget) bool { return b.Kind == "tokens" && b.Tenant == names.Tenants[i] }))
	}
	o.Further = slices.IndexFunc(cfg.Budgets, func(b config.FleetBudget) bool { return b.Kind == "attempts" })
	for i, b := range cfg.Budgets {
		if b.Kind == "places" {
			o.Places = append(o.Places, fleet.PlaceBudget{Budget: i, Tenant: slices.Index(names.Tenants, b.Tenant)})
		}
	}
	f, err := fleet.Open(o)
	if err != nil {
		return part{}, err
	}
	a.shared = f
	a.calls = append(a.calls, control.Call{Pattern: "GET /v1/fleet", Do: func(*http.Request, []byte) (any, error) { return f.Status(), nil }})
	log.Info("this node shares with others", zap.Int("seats", len(o.Seats)), zap.Int("budgets", len(budgets)), zap.Uint64("life", f.Owner().Inc))
	return part{name: "fleet", run: func(ctx context.Context) { f.Run(ctx) }, stop: f.Close}, nil
}

// countedMost is how many tokens a request can be charged in a second, for the bounds of what is not heard.
const countedMost = 1000

var _ node.Fleet = (*fleet.Fleet)(nil)
