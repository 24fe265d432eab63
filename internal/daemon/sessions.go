package daemon

import (
	"net/http"
	"slices"
	"time"

	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/fleet/session"
	"standpoint/internal/fleet/session/service"
)

// maxSessionRecordBytes is the maximum size of a session's compressed record, in bytes.
const maxSessionRecordBytes = 512 << 10

// sessionsComponent pauses sessions at tool calls, if the operator's file has a [[tool]].
func sessionsComponent(a *assembly) (component, error) {
	if len(a.operator.Tools) == 0 || a.fleet == nil {
		return component{}, nil
	}
	sessions, err := service.New(a.sessionOptions(), a.fleet)
	if err != nil {
		return component{}, err
	}
	a.sessions = sessions
	a.routes = append(a.routes, control.Route{
		Pattern: "GET /v1/sessions",
		Handle:  func(*http.Request, []byte) (any, error) { return sessions.Status(), nil },
	})
	return component{name: "sessions", run: sessions.Run}, nil
}

func (a *assembly) sessionOptions() service.Options {
	cfg := &a.operator.Sessions
	slot, incarnation, predecessors := a.fleet.Identity()
	return service.Options{
		Limits: session.Limits{
			MaxDataBytes:       maxSessionRecordBytes,
			Retention:          int64(cfg.Retention),
			MaxPaused:          cfg.MaxPaused,
			MaxPausedPerTenant: cfg.MaxPausedPerTenant,
		},
		Tools:                sessionTools(a.operator),
		DecodeTimeout:        time.Duration(cfg.DecodeTimeout),
		ResumeRate:           cfg.ResumeRate,
		MaxConcurrentResumes: max(1, a.limits.MaxRequests()/2),
		Slot:                 slot,
		Incarnation:          incarnation,
		Predecessors:         predecessors,
		ClockError:           time.Duration(a.operator.Fleet.ClockError),
		Now:                  a.fleet.Now,
		RateFactor:           a.fleet.RateFactor,
		CallLeader:           a.fleet.CallLeader,
		ReserveSession:       a.fleet.ReserveSession,
		BackendStart:         a.fleet.BackendStart,
		Store:                a.store,
		Invariants:           a.fleet.Invariants,
		Log:                  a.log.Named("sessions"),
	}
}

var toolActions = map[string]service.ToolAction{
	config.ToolPause:       service.PauseSession,
	config.ToolPassThrough: service.PassThrough,
	config.ToolReject:      service.RejectCall,
}

func sessionTools(cfg *config.OperatorFile) []service.Tool {
	var tools []service.Tool
	for _, t := range cfg.Tools {
		tools = append(tools, service.Tool{
			Name:           t.Name,
			Action:         toolActions[t.Action],
			ResultTimeout:  time.Duration(t.ResultTimeout),
			MaxResultBytes: t.MaxResultKB << 10,
			Class:          slices.Index(cfg.Names.Classes, t.Class),
		})
	}
	return tools
}
