package daemon

import (
	"net/http"
	"slices"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/fleet/session"
	"standpoint/internal/fleet/sessions"
)

// sessionsPart has answers pause at calls of tools, where the operator's file has a [[tool]].
func sessionsPart(a *assembly) (part, error) {
	cfg := a.operator
	if len(cfg.Tools) == 0 || a.shared == nil {
		return part{}, nil
	}
	seat, life, before := a.shared.Life()
	o := sessions.Options{Limits: session.Limits{Data: recordMost, Keep: int64(cfg.Sessions.Keep), Paused: cfg.Sessions.Most, Tenant: cfg.Sessions.MostTenant},
		Decode: time.Duration(cfg.Sessions.Decode), Resumes: cfg.Sessions.Resumes, InHand: max(1, a.limits.Flows()/2), Seat: seat, Life: life, Before: before,
		Error: time.Duration(cfg.Fleet.ClockError), Now: a.shared.Now, Pace: a.shared.Pace, Call: a.shared.Call, Keys: a.keys, Guard: a.shared.Guard, Log: a.log.Named("sessions"),
		Place: a.shared.Hold, StartOf: a.shared.StartOf}
	for _, t := range cfg.Tools {
		o.Tools = append(o.Tools, sessions.Tool{Name: t.Name, Does: map[string]sessions.Does{"pause": sessions.PauseIt, "keep": sessions.KeepOn, "refuse": sessions.RefuseIt}[t.Does],
			Wait: time.Duration(t.Wait), Result: t.ResultKB << 10, Class: slices.Index(cfg.Names.Classes, t.Class)})
	}
	s, err := sessions.New(o, a.shared)
	if err != nil {
		return part{}, err
	}
	a.sessions = s
	a.calls = append(a.calls, control.Call{Pattern: "GET /v1/sessions", Do: func(*http.Request, []byte) (any, error) { return s.Status(), nil }})
	return part{name: "sessions", run: s.Run}, nil
}

const recordMost = 512 << 10 // bytes of a session on record, packed
