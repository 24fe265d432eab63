package daemon

import (
	"net/http"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/usage"
)

// ledgerPart writes down what tenants use, where the operator's file names a folder for it.
func ledgerPart(a *assembly) (part, error) {
	cfg := a.operator.Ledger
	if cfg.Dir == "" || a.shared == nil {
		return part{}, nil
	}
	seat, life, _ := a.shared.Life()
	o := usage.Options{Dir: a.operator.Path(a.base, cfg.Dir), Most: int64(cfg.MaxMB) << 20, Seat: seat, Life: life, Now: a.shared.Now, Every: time.Duration(cfg.Every), Rate: cfg.Rate,
		Pace: a.shared.Pace, Ask: a.shared.Ask, Guard: a.shared.Guard, Log: a.log.Named("ledger")}
	for _, s := range a.operator.Fleet.Seats {
		if s.Name != seat {
			o.Seats = append(o.Seats, s.Name)
		}
	}
	u, err := usage.Open(o)
	if err != nil {
		return part{}, err
	}
	a.usage = u
	fleet.Answers(a.shared, "ledger.digest", u.Digest)
	fleet.Answers(a.shared, "ledger.fetch", u.Fetch)
	a.calls = append(a.calls, control.Call{Pattern: "GET /v1/ledger", Do: func(*http.Request, []byte) (any, error) { return u.Status(), nil }})
	return part{name: "ledger", run: u.Run, stop: u.Close}, nil
}
