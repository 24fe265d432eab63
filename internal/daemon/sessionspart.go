package daemon

import (
	"net/http"
	"slices"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/fleet/session"
	"standpoint/internal/fleet/session/service"
)

// sessionsComponent has answers pause at calls of tools, where the operator's file has a [[tool]].
func sessionsComponent(a *assembly) (component, error) {
	cfg := a.operator
	if len(cfg.Tools) == 0 || a.fleet == nil {
		return component{}, nil
	}
	seat, life, before := a.fleet.Identity()
	o := service.Options{Limits: session.Limits{MaxDataBytes: maxSessionRecordBytes, Retention: int64(cfg.Sessions.Retention), MaxPaused: cfg.Sessions.MaxPaused, MaxPausedPerTenant: cfg.Sessions.MaxPausedPerTenant},
		DecodeTimeout: time.Duration(cfg.Sessions.DecodeTimeout), ResumeRate: cfg.Sessions.ResumeRate, MaxConcurrentResumes: max(1, a.limits.MaxRequests()/2), Slot: seat, Incarnation: life, Predecessors: before,
		ClockError: time.Duration(cfg.Fleet.ClockError), Now: a.fleet.Now, RateFactor: a.fleet.RateFactor, CallLeader: a.fleet.CallLeader, Store: a.store, Invariants: a.fleet.Invariants, Log: a.log.Named("sessions"),
		ReserveSession: a.fleet.ReserveSession, BackendStart: a.fleet.BackendStart}
	for _, t := range cfg.Tools {
		o.Tools = append(o.Tools, service.Tool{Name: t.Name, Action: map[string]service.ToolAction{"pause": service.PauseSession, "keep": service.PassThrough, "refuse": service.RejectCall}[t.Action],
			ResultTimeout: time.Duration(t.ResultTimeout), MaxResultBytes: t.MaxResultKB << 10, Class: slices.Index(cfg.Names.Classes, t.Class)})
	}
	s, err := service.New(o, a.fleet)
	if err != nil {
		return component{}, err
	}
	a.sessions = s
	a.routes = append(a.routes, control.Route{Pattern: "GET /v1/sessions", Handle: func(*http.Request, []byte) (any, error) { return s.Status(), nil }})
	return component{name: "sessions", run: s.Run}, nil
}

const maxSessionRecordBytes = 512 << 10 // bytes of a session on record, packed
