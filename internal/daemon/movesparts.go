package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/control"
	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
	"standpoint/internal/node"
)

// Version is the daemon's own. A build may set it.
var Version = "0.3.0-dev"

const storeTimeout = 15 * time.Second // at the start, for a store that may know of a move

// migrationsComponent divides requests among pools, where the file has any.
func migrationsComponent(a *assembly) (component, error) {
	if a.operator.PoolSet.Len() == 0 {
		return component{}, nil
	}
	a.tracker = controller.NewTracker(a.operator, a.log)
	a.pools = a.tracker
	peers := map[string]string{}
	for _, m := range a.operator.Store.Members {
		peers[m.ID] = m.ControlAddress
	}
	plan, tokenFile := a.operator.MigrationPlan, a.operator.ResolvePath(a.baseDirectory, a.operator.Control.TokenFile)
	next := make(chan migration.Plan, 1)
	a.migrations = controller.New(controller.Options{Name: a.name, Tracker: a.tracker, Store: a.store, Peers: peers, Log: a.log,
		Plan: func() migration.Plan {
			select {
			case plan = <-next:
			default:
			}
			return plan
		},
		Token: func() string {
			token, err := control.ReadToken(tokenFile)
			if err != nil {
				a.log.Warn("control.token_file", zap.Error(err))
			}
			return token
		}})
	a.routes = append(a.routes, a.migrations.Routes()...)
	return component{name: "moves", start: func(ctx context.Context) { a.migrations.AwaitStore(ctx, storeTimeout) }, run: a.migrations.Run,
		check: func(to deployment) error { return a.tracker.Check(to.operator) },
		reload: func(to deployment) {
			select {
			case <-next:
			default:
			}
			next <- to.operator.MigrationPlan
			a.tracker.Adjust(to.operator)
			// Placed anew: the parts behind this one tell their lists again, and so does the keeper.
			a.endpointCache.Again(func(l node.List) { a.core.News(l) })
		}}, nil
}

// statusAnswer is what a daemon says of itself.
type statusAnswer struct {
	Name          string  `json:"name"`
	Version       string  `json:"version"`
	Phase         string  `json:"phase"`
	OpenRequests  int     `json:"open_flows"`
	Endpoints     int     `json:"service_entries"`
	UptimeSeconds float64 `json:"up_s"`
}

// controlComponent is the control interface, where the file switches it on.
func controlComponent(a *assembly) (component, error) {
	c := a.operator.Control
	if c.Listen == "" {
		return component{}, nil
	}
	started := time.Now()
	calls := append([]control.Route{{Pattern: "GET /v1/status", Handle: func(*http.Request, []byte) (any, error) {
		return statusAnswer{Name: a.name, Version: Version + " " + runtime.Version(), Phase: a.lifecycle.Now().String(), OpenRequests: a.core.Open(),
			Endpoints: len(a.endpointCache.Current()), UptimeSeconds: time.Since(started).Seconds()}, nil
	}}}, a.routes...)
	address := c.Listen
	if path, ok := cutUnixPrefix(address); ok {
		address = "unix:" + a.operator.ResolvePath(a.baseDirectory, path)
	}
	server, err := control.Listen(address, a.operator.ResolvePath(a.baseDirectory, c.TokenFile), calls, a.log)
	if err != nil {
		return component{}, err
	}
	return component{name: "control", run: func(context.Context) {
		if err := server.Serve(); err != nil {
			a.log.Error("the control interface ended", zap.Error(err))
		}
	}, reload: func(deployment) {
		if err := server.ReloadToken(); err != nil {
			a.log.Error("the control interface's token stays as it was", zap.Error(err))
		}
	}, stop: func() error {
		if err := server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("control: %w", err)
		}
		return nil
	}}, nil
}
