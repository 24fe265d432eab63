package daemon

import (
	"net/http"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/ledger/replication"
)

// ledgerComponent writes down what tenants use, where the operator's file names a folder for it.
func ledgerComponent(a *assembly) (component, error) {
	cfg := a.operator.Ledger
	if cfg.Dir == "" || a.fleet == nil {
		return component{}, nil
	}
	seat, life, _ := a.fleet.Identity()
	o := replication.Options{Dir: a.operator.ResolvePath(a.baseDirectory, cfg.Dir), MaxBytes: int64(cfg.MaxMB) << 20, Slot: seat, Incarnation: life, Now: a.fleet.Now, SyncInterval: time.Duration(cfg.SyncInterval), SyncRate: cfg.SyncRate,
		RateFactor: a.fleet.RateFactor, CallMember: a.fleet.CallMember, Invariants: a.fleet.Invariants, Log: a.log.Named("ledger")}
	for _, s := range a.operator.Fleet.Slots {
		if s.Name != seat {
			o.Peers = append(o.Peers, s.Name)
		}
	}
	u, err := replication.Open(o)
	if err != nil {
		return component{}, err
	}
	a.ledger = u
	fleet.HandleOnAnyMember(a.fleet, "ledger.digest", u.Digest)
	fleet.HandleOnAnyMember(a.fleet, "ledger.fetch", u.Fetch)
	a.routes = append(a.routes, control.Route{Pattern: "GET /v1/ledger", Handle: func(*http.Request, []byte) (any, error) { return u.Status(), nil }})
	return component{name: "ledger", run: u.Run, stop: u.Close}, nil
}
