package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/rights"
)

// FleetSeat is a place in the fleet: a node's name, where this node reaches it, and its weight in what is shared.
type FleetSeat struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Weight  int64  `toml:"weight"`
}

// FleetBudget is what the fleet may spend of something in each window.
type FleetBudget struct {
	// Kind is tokens, of a tenant; attempts: further ones, of all requests; or places, for sessions that are paused: of all, or
	// of a tenant.
	Kind      string   `toml:"kind"`
	Tenant    string   `toml:"tenant"`
	Amount    int64    `toml:"amount"`
	Overdraft int64    `toml:"overdraft"`
	Window    Duration `toml:"window"`
	Loan      int      `toml:"loan"` // windows for which nodes lend to each other at the most
}

// Ledger is where what tenants use is written down; without a folder there is none.
type Ledger struct {
	Dir   string   `toml:"dir"`
	MaxMB int      `toml:"max_mb"`
	Every Duration `toml:"every"` // between two looks at another node's ledger
	Rate  float64  `toml:"rate"`  // entries a second that are taken from others
}

// Tool is a tool that the model may call.
type Tool struct {
	Name     string   `toml:"name"`
	Does     string   `toml:"does"`      // pause, keep or refuse
	Wait     Duration `toml:"wait"`      // for its result, at the longest
	ResultKB int      `toml:"result_kb"` // of a result, at the most
	Class    string   `toml:"class"`     // by whose rules the session goes on; "": its own
}

// Sessions are how sessions pause at calls of tools; without a [[tool]] none does.
type Sessions struct {
	Most       int      `toml:"most"`        // paused or claimed at once, over all nodes
	MostTenant int      `toml:"most_tenant"` // likewise, of one tenant
	Keep       Duration `toml:"keep"`        // for which what is over is remembered
	Decode     Duration `toml:"decode"`      // in which what follows a result must have been decoded
	Resumes    float64  `toml:"resumes"`     // a second, at each node
}

// Fleet is what nodes share; without a listener there is none.
type Fleet struct {
	Listen      string        `toml:"listen"` // UDP and TCP, between nodes
	Dir         string        `toml:"dir"`
	Strict      bool          `toml:"strict"` // an invariant that does not hold ends the program
	ClockError  Duration      `toml:"clock_error"`
	ClockOffset Duration      `toml:"clock_offset"` // for tests: that this node's clock is off by
	Silence     Duration      `toml:"silence"`
	Join        Duration      `toml:"join"`
	Settle      Duration      `toml:"settle"`
	Heal        Duration      `toml:"heal"`
	Beat        Duration      `toml:"beat"`
	Ask         Duration      `toml:"ask"`
	Peers       int           `toml:"peers"`
	Lease       Duration      `toml:"lease"`
	Halls       []string      `toml:"halls"`     // seats whose store decides for the fleet; none: all of them. The others are sites
	Doubt       Duration      `toml:"doubt"`     // of a site: without a hall, until it doubts
	Alone       Duration      `toml:"alone"`     // of doubt, until it is alone
	Overdraws   []string      `toml:"overdraws"` // classes that may go into the overdraft while their node is apart from the others
	Seats       []FleetSeat   `toml:"seat"`
	Budgets     []FleetBudget `toml:"budget"`
	Evidence    struct {
		Sources int      `toml:"sources"`
		Lasts   Duration `toml:"lasts"`
		Own     Duration `toml:"own"`
		Most    float64  `toml:"most"`
		Many    float64  `toml:"many"`
	} `toml:"evidence"`
}

func (f *Fleet) complete() {
	or(&f.Dir, "fleet")
	or(&f.ClockError, Duration(500*time.Millisecond))
	or(&f.Silence, Duration(3*time.Second))
	or(&f.Join, Duration(5*time.Second))
	or(&f.Settle, Duration(time.Second))
	or(&f.Heal, Duration(time.Second))
	or(&f.Beat, Duration(250*time.Millisecond))
	or(&f.Ask, Duration(100*time.Millisecond))
	or(&f.Peers, 2)
	or(&f.Doubt, f.Silence)
	or(&f.Alone, Duration(10*time.Second))
	or(&f.Lease, Duration(10*time.Minute))
	or(&f.Evidence.Sources, 2)
	or(&f.Evidence.Lasts, Duration(5*time.Second))
	or(&f.Evidence.Own, Duration(2*time.Second))
	or(&f.Evidence.Most, 0.5)
	or(&f.Evidence.Many, 0.34)
	for i := range f.Seats {
		or(&f.Seats[i].Weight, 1)
	}
	for i := range f.Budgets {
		or(&f.Budgets[i].Loan, 4)
		or(&f.Budgets[i].Window, Duration(time.Second))
		or(&f.Budgets[i].Kind, "tokens")
	}
}

// Rights are the budgets as the deciders take them.
func (o *Operator) Rights() ([]*rights.Budget, error) {
	f := &o.Fleet
	var longest Duration
	for _, t := range o.Tools {
		longest = max(longest, t.Wait)
	}
	var all []*rights.Budget
	for i, b := range f.Budgets {
		r := &rights.Budget{Name: b.Kind + "/" + b.Tenant, Amount: b.Amount, Overdraft: b.Overdraft, Window: time.Duration(b.Window), Loan: b.Loan}
		if b.Kind == "places" && b.Window > 0 {
			r.Ahead = int((longest+b.Window-1)/b.Window) + 1
		}
		for _, s := range f.Seats {
			r.Weights = append(r.Weights, s.Weight)
		}
		if err := r.Complete(); err != nil {
			return nil, fmt.Errorf("fleet.budget[%d].%w", i, err)
		}
		all = append(all, r)
	}
	return all, nil
}

func (o *Operator) checkFleet() error {
	f := &o.Fleet
	if f.Listen == "" {
		if len(f.Seats) > 0 || len(f.Budgets) > 0 {
			return errors.New("fleet.listen: missing; without it nothing is shared")
		}
		return nil
	}
	f.complete()
	if err := loopback("fleet.listen", f.Listen); err != nil {
		return err
	}
	for _, span := range []struct {
		key         string
		is          Duration
		least, most time.Duration
	}{{"clock_error", f.ClockError, time.Millisecond, time.Minute}, {"silence", f.Silence, 100 * time.Millisecond, time.Hour}, {"join", f.Join, 0, time.Hour},
		{"settle", f.Settle, 0, time.Hour}, {"heal", f.Heal, 0, time.Hour}, {"beat", f.Beat, 20 * time.Millisecond, time.Minute}, {"ask", f.Ask, 10 * time.Millisecond, time.Minute},
		{"lease", f.Lease, time.Second, 366 * 24 * time.Hour}, {"evidence.lasts", f.Evidence.Lasts, 100 * time.Millisecond, time.Hour}, {"evidence.own", f.Evidence.Own, 0, time.Hour}} {
		if is := time.Duration(span.is); is < span.least || is > span.most {
			return fmt.Errorf("fleet.%s: %v is not from %v to %v", span.key, is, span.least, span.most)
		}
	}
	if f.Peers < 1 || f.Peers > 8 {
		return fmt.Errorf("fleet.peers: %d is not from 1 to 8", f.Peers)
	}
	if e := f.Evidence; e.Sources < 1 || !(e.Most >= 0 && e.Most <= 1) || !(e.Many > 0 && e.Many <= 1) {
		return fmt.Errorf("fleet.evidence: sources %d, most %g, many %g: at least one source, and shares from 0 to 1", e.Sources, e.Most, e.Many)
	}
	if len(f.Seats) > 4096 {
		return errors.New("fleet.seat: more than 4,096")
	}
	names := map[string]bool{}
	for i, s := range f.Seats {
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("fleet.seat[%d].name: %q is missing, or there twice", i, s.Name)
		}
		names[s.Name] = true
		if err := loopback(fmt.Sprintf("fleet.seat[%d].address", i), s.Address); err != nil {
			return err
		}
		if s.Zone != "" && !slices.Contains(o.Module.Zones, s.Zone) {
			return fmt.Errorf("fleet.seat[%d].zone: %q is not among module.zones", i, s.Zone)
		}
	}
	if !names[o.Name] {
		return fmt.Errorf("name: %q is no fleet.seat", o.Name)
	}
	if o.Store.Kind == "raft" && o.Store.ID != o.Name {
		return fmt.Errorf("store.id: %q is not the node's name, %q, by which the fleet calls its leader", o.Store.ID, o.Name)
	}
	for i, h := range f.Halls {
		if !names[h] {
			return fmt.Errorf("fleet.halls[%d]: %q is no fleet.seat", i, h)
		}
	}
	for i, c := range f.Overdraws {
		if !slices.ContainsFunc(o.Classes, func(k Class) bool { return k.Name == c }) {
			return fmt.Errorf("fleet.overdraws[%d]: %q is no class of this file", i, c)
		}
	}
	site := len(f.Halls) > 0 && !slices.Contains(f.Halls, o.Name)
	if site && len(o.Tools) > 0 {
		return errors.New("tool: a site's sessions do not pause; their records are the halls'")
	}
	if len(f.Seats) > 1 && o.Store.Kind != "raft" && !site {
		return errors.New("store.kind: seats of a fleet are given by a replicated store, \"raft\"")
	}
	if len(f.Budgets) > 64 {
		return errors.New("fleet.budget: more than 64")
	}
	seen := map[string]bool{}
	for i, b := range f.Budgets {
		switch {
		case !slices.Contains([]string{"tokens", "attempts", "places"}, b.Kind):
			return fmt.Errorf("fleet.budget[%d].kind: %q is none of \"tokens\", \"attempts\" and \"places\"", i, b.Kind)
		case (b.Kind == "tokens" || b.Tenant != "") && !slices.ContainsFunc(o.Tenants, func(t Tenant) bool { return t.Name == b.Tenant }):
			return fmt.Errorf("fleet.budget[%d].tenant: %q is no tenant of this file", i, b.Tenant)
		case seen[b.Kind+"/"+b.Tenant]:
			return fmt.Errorf("fleet.budget[%d]: there is one of these already", i)
		}
		seen[b.Kind+"/"+b.Tenant] = true
	}
	_, err := o.Rights()
	return err
}

func (o *Operator) checkLedger() error {
	l := &o.Ledger
	if l.Dir == "" {
		return nil
	}
	or(&l.MaxMB, 256)
	or(&l.Every, Duration(time.Second))
	or(&l.Rate, 2000)
	switch {
	case o.Fleet.Listen == "":
		return errors.New("ledger: it needs a [fleet]: fleet.listen is missing")
	case l.MaxMB < 1 || l.MaxMB > 1<<20:
		return fmt.Errorf("ledger.max_mb: %d is not from 1 to 1,048,576", l.MaxMB)
	case l.Every < Duration(10*time.Millisecond) || l.Every > Duration(time.Hour):
		return fmt.Errorf("ledger.every: %v is not from 10ms to 1h", time.Duration(l.Every))
	case !(l.Rate >= 1 && l.Rate <= 1e6):
		return fmt.Errorf("ledger.rate: %g is not from 1 to 1,000,000 entries a second", l.Rate)
	}
	return nil
}

func (o *Operator) checkTools() error {
	if len(o.Tools) == 0 {
		return nil
	}
	s := &o.Sessions
	or(&s.Most, 10_000)
	or(&s.MostTenant, max(1, s.Most/2))
	or(&s.Keep, Duration(10*time.Minute))
	or(&s.Decode, Duration(time.Minute))
	or(&s.Resumes, 50)
	names := map[string]bool{}
	for i := range o.Tools {
		t := &o.Tools[i]
		or(&t.Does, "pause")
		or(&t.Wait, Duration(30*time.Second))
		or(&t.ResultKB, 64)
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("tool[%d].name: %q is missing, or there twice", i, t.Name)
		case !slices.Contains([]string{"pause", "keep", "refuse"}, t.Does):
			return fmt.Errorf("tool[%d].does: %q is none of \"pause\", \"keep\" and \"refuse\"", i, t.Does)
		case t.Wait < Duration(100*time.Millisecond) || t.Wait > Duration(24*time.Hour):
			return fmt.Errorf("tool[%d].wait: %v is not from 100ms to 24h", i, time.Duration(t.Wait))
		case t.ResultKB < 1 || t.ResultKB > 256:
			return fmt.Errorf("tool[%d].result_kb: %d is not from 1 to 256", i, t.ResultKB)
		case t.Class != "" && !slices.ContainsFunc(o.Classes, func(c Class) bool { return c.Name == t.Class }):
			return fmt.Errorf("tool[%d].class: %q is no class of this file", i, t.Class)
		}
		names[t.Name] = true
	}
	switch {
	case s.Most < 1 || s.Most > 100_000:
		return fmt.Errorf("sessions.most: %d is not from 1 to 100,000", s.Most)
	case s.MostTenant < 1:
		return fmt.Errorf("sessions.most_tenant: %d is not positive", s.MostTenant)
	case s.Keep < Duration(time.Second) || s.Keep > Duration(24*time.Hour):
		return fmt.Errorf("sessions.keep: %v is not from 1s to 24h", time.Duration(s.Keep))
	case s.Decode < Duration(5*time.Second) || s.Decode > Duration(time.Hour) || s.Decode <= 4*o.Fleet.ClockError:
		return fmt.Errorf("sessions.decode: %v is not from 5s to 1h, or not well over fleet.clock_error", time.Duration(s.Decode))
	case !(s.Resumes > 0 && s.Resumes <= 10_000):
		return fmt.Errorf("sessions.resumes: %g is not from 0 to 10,000 a second", s.Resumes)
	case o.Fleet.Listen == "":
		return errors.New("tool: sessions that pause need a [fleet]: fleet.listen is missing")
	}
	return nil
}
