package daemon

import (
	"net/http"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/ledger/replication"
)

// ledgerComponent records the usage of tenants, if the operator's file has a directory for the ledger.
func ledgerComponent(a *assembly) (component, error) {
	cfg := &a.operator.Ledger
	if cfg.Dir == "" || a.fleet == nil {
		return component{}, nil
	}
	slot, incarnation, _ := a.fleet.Identity()
	options := replication.Options{
		Dir:          a.operator.ResolvePath(a.baseDirectory, cfg.Dir),
		MaxBytes:     int64(cfg.MaxMB) << 20,
		Slot:         slot,
		Incarnation:  incarnation,
		Now:          a.fleet.Now,
		SyncInterval: time.Duration(cfg.SyncInterval),
		SyncRate:     cfg.SyncRate,
		RateFactor:   a.fleet.RateFactor,
		CallMember:   a.fleet.CallMember,
		Invariants:   a.fleet.Invariants,
		Log:          a.log.Named("ledger"),
	}
	for _, s := range a.operator.Fleet.Slots {
		if s.Name != slot {
			options.Peers = append(options.Peers, s.Name)
		}
	}
	replicator, err := replication.Open(options)
	if err != nil {
		return component{}, err
	}
	a.ledger = replicator
	fleet.HandleOnAnyMember(a.fleet, "ledger.digest", replicator.Digest)
	fleet.HandleOnAnyMember(a.fleet, "ledger.fetch", replicator.Fetch)
	a.routes = append(a.routes, control.Route{
		Pattern: "GET /v1/ledger",
		Handle:  func(*http.Request, []byte) (any, error) { return replicator.Status(), nil },
	})
	return component{name: "ledger", run: replicator.Run, stop: replicator.Close}, nil
}
