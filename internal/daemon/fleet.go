package daemon

import (
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
	"standpoint/internal/fleet/quota"
	"standpoint/internal/fleet/site"
	"standpoint/internal/node"
)

// maxTokensPerSecond bounds the tokens per second that one request is charged for. It only serves to estimate the
// largest possible growth of counters whose latest values have not been received.
const maxTokensPerSecond = 1000

// fleetComponent shares quotas, counters and evidence with other nodes, if the operator's file configures a [fleet].
func fleetComponent(a *assembly) (component, error) {
	if a.operator.Fleet.Listen == "" {
		return component{}, nil
	}
	budgets, err := a.operator.QuotaBudgets()
	if err != nil {
		return component{}, err
	}
	log := a.log.Named("fleet")
	options := a.fleetOptions(log)
	options.MemberConfig = a.memberConfig(budgets)
	opened, err := fleet.Open(options)
	if err != nil {
		return component{}, err
	}
	a.fleet = opened
	a.routes = append(a.routes, control.Route{
		Pattern: "GET /v1/fleet",
		Handle:  func(*http.Request, []byte) (any, error) { return opened.Status(), nil },
	})
	log.Info("fleet opened", zap.Int("slots", len(options.Slots)), zap.Int("budgets", len(budgets)),
		zap.Uint64("incarnation", opened.Owner().Incarnation))
	return component{name: "fleet", run: opened.Run, stop: opened.Close}, nil
}

func (a *assembly) fleetOptions(log *zap.Logger) fleet.Options {
	cfg := &a.operator.Fleet
	_, names, _ := a.requestSettings()
	options := fleet.Options{
		SlotName:      a.name,
		Listen:        cfg.Listen,
		Dir:           a.operator.ResolvePath(a.baseDirectory, cfg.Dir),
		LeaseDuration: time.Duration(cfg.LeaseDuration),
		Store:         a.store,
		Advise:        func(advice *standpoint.Advice) { a.core.UpdateAdvice(advice) },
		ClockOffset:   time.Duration(cfg.ClockOffset),
		CoreSlots:     cfg.CoreSlots,
		SiteTiming: site.Timing{
			SuspectAfter:  time.Duration(cfg.SuspectAfter),
			IsolatedAfter: time.Duration(cfg.IsolatedAfter),
			SettleTime:    time.Duration(cfg.SettleTime),
		},
		ClassNames:  names.Classes,
		TenantNames: names.Tenants,
		Invariants:  &invariant.Monitor{Strict: cfg.Strict, Log: log},
		Log:         log,
	}
	for _, class := range names.Classes {
		options.OverdraftClasses = append(options.OverdraftClasses, slices.Contains(cfg.OverdraftClasses, class))
	}
	for _, s := range cfg.Slots {
		options.Slots = append(options.Slots, fleet.SlotAddress{Name: s.Name, Address: s.Address})
	}
	assignBudgets(&options, cfg.Budgets, names.Tenants)
	if a.operator.Ledger.Dir != "" {
		// The ledger is constructed after the fleet, so these closures read a.ledger at each call.
		options.RecordUsage = func(e ledger.Entry) bool { return a.ledger.Charge(e) }
		options.LedgerFull = func() bool { return a.ledger.Overloaded() }
		options.LedgerOutOfSync = func() bool { return a.ledger.OutOfSync() }
	}
	return options
}

// assignBudgets sets the indexes of the budgets for tokens, by tenant, for retries and for paused sessions. A tenant
// without a token budget, and a missing retry budget, have the index -1.
func assignBudgets(options *fleet.Options, budgets []config.FleetBudget, tenants []string) {
	for _, tenant := range tenants {
		isTenants := func(b config.FleetBudget) bool { return b.Kind == config.BudgetTokens && b.Tenant == tenant }
		options.TokenBudgets = append(options.TokenBudgets, slices.IndexFunc(budgets, isTenants))
	}
	isRetries := func(b config.FleetBudget) bool { return b.Kind == config.BudgetRetries }
	options.RetryBudget = slices.IndexFunc(budgets, isRetries)
	for i, b := range budgets {
		if b.Kind == config.BudgetSessions {
			sessionBudget := fleet.SessionBudget{Budget: i, Tenant: slices.Index(tenants, b.Tenant)}
			options.SessionBudgets = append(options.SessionBudgets, sessionBudget)
		}
	}
}

func (a *assembly) memberConfig(budgets []*quota.Budget) member.Config {
	cfg := &a.operator.Fleet
	settings, names, _ := a.requestSettings()
	memberConfig := member.Config{
		Budgets:          budgets,
		MaxRates:         a.maxCounterRates(len(settings.Tenants)),
		GossipInterval:   time.Duration(cfg.GossipInterval),
		GossipFanout:     cfg.GossipFanout,
		HeartbeatTimeout: time.Duration(cfg.HeartbeatTimeout),
		RequestInterval:  time.Duration(cfg.RequestInterval),
		ClockError:       time.Duration(cfg.ClockError),
		ConnectivityTiming: connectivity.Timing{
			JoinTimeout:  time.Duration(cfg.JoinTimeout),
			SettleTime:   time.Duration(cfg.SettleTime),
			RecoveryRamp: time.Duration(cfg.RecoveryRamp),
		},
		OutlierLimits: outlier.Limits{
			MinSources:          cfg.Evidence.MinSources,
			EvidenceLifetime:    int64(cfg.Evidence.Lifetime),
			OwnEvidenceLifetime: int64(cfg.Evidence.OwnLifetime),
			MaxEjectedShare:     cfg.Evidence.MaxEjectedShare,
			IsolationShare:      cfg.Evidence.IsolationShare,
			ClockError:          int64(cfg.ClockError),
		},
	}
	for _, s := range cfg.Slots {
		slot := member.Slot{Name: s.Name, Zone: max(0, slices.Index(names.Zones, s.Zone))}
		memberConfig.Slots = append(memberConfig.Slots, slot)
	}
	return memberConfig
}

// maxCounterRates returns the maximum growth of each counter per second, which follows from the maximum number of open
// requests.
func (a *assembly) maxCounterRates(tenants int) []int64 {
	maxRequests := int64(a.limits.MaxRequests())
	rates := make([]int64, fleet.FirstTenantCounter+max(1, tenants))
	for i := range rates {
		rates[i] = maxRequests * maxTokensPerSecond
	}
	rates[fleet.RequestCounter] = maxRequests
	return rates
}

var _ node.Fleet = (*fleet.Fleet)(nil)
