package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/config"
	"standpoint/internal/control"
)

// statusResponse is the response to GET /v1/status.
type statusResponse struct {
	Name          string  `json:"name"`
	Version       string  `json:"version"`
	Phase         string  `json:"phase"`
	OpenRequests  int     `json:"open_flows"`
	Endpoints     int     `json:"service_entries"` // number of endpoints in use
	UptimeSeconds float64 `json:"up_s"`
}

// controlComponent serves the control interface, if the operator's file has an address for it. It is constructed after
// the components that add routes.
func controlComponent(a *assembly) (component, error) {
	cfg := &a.operator.Control
	if cfg.Listen == "" {
		return component{}, nil
	}
	started := time.Now()
	status := control.Route{
		Pattern: "GET /v1/status",
		Handle:  func(*http.Request, []byte) (any, error) { return a.status(started), nil },
	}
	routes := append([]control.Route{status}, a.routes...)
	address := cfg.Listen
	if path, ok := strings.CutPrefix(address, config.UnixPrefix); ok {
		address = config.UnixPrefix + a.operator.ResolvePath(a.baseDirectory, path)
	}
	server, err := control.Listen(address, a.operator.ResolvePath(a.baseDirectory, cfg.TokenFile), routes, a.log)
	if err != nil {
		return component{}, err
	}
	return component{
		name:          "control",
		runsUntilStop: true,
		run: func(context.Context) {
			if err := server.Serve(); err != nil {
				a.log.Error("control server failed", zap.Error(err))
			}
		},
		reload: func(deployment) {
			if err := server.ReloadToken(); err != nil {
				a.log.Error("control token reload failed", zap.Error(err))
			}
		},
		stop: func() error {
			if err := server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("control: %w", err)
			}
			return nil
		},
	}, nil
}

func (a *assembly) status(started time.Time) statusResponse {
	return statusResponse{
		Name:          a.name,
		Version:       Version + " " + runtime.Version(),
		Phase:         a.lifecycle.Phase().String(),
		OpenRequests:  a.core.OpenRequests(),
		Endpoints:     len(a.endpointCache.Current()),
		UptimeSeconds: time.Since(started).Seconds(),
	}
}
