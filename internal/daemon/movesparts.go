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
	"standpoint/internal/mover"
	"standpoint/internal/moves"
	"standpoint/internal/node"
)

// Version is the daemon's own. A build may set it.
var Version = "0.3.0-dev"

const awaitStore = 15 * time.Second // at the start, for a store that may know of a move

// poolsPart divides requests among pools, where the file has any.
func poolsPart(a *assembly) (part, error) {
	if a.operator.PoolSet.Len() == 0 {
		return part{}, nil
	}
	a.tracker = moves.NewTracker(a.operator, a.log)
	a.pools = a.tracker
	peers := map[string]string{}
	for _, m := range a.operator.Store.Members {
		peers[m.ID] = m.Control
	}
	plan, tokenFile := a.operator.Plan, a.operator.Path(a.base, a.operator.Control.TokenFile)
	next := make(chan mover.Plan, 1)
	a.mover = moves.New(moves.Options{Name: a.name, Tracker: a.tracker, Store: a.keys, Peers: peers, Log: a.log,
		Plan: func() mover.Plan {
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
	a.calls = append(a.calls, a.mover.Calls()...)
	return part{name: "moves", start: func(ctx context.Context) { a.mover.Await(ctx, awaitStore) }, run: a.mover.Run,
		check: func(to deployment) error { return a.tracker.Check(to.operator) },
		reload: func(to deployment) {
			select {
			case <-next:
			default:
			}
			next <- to.operator.Plan
			a.tracker.Adjust(to.operator)
			// Placed anew: the parts behind this one tell their lists again, and so does the keeper.
			a.keeper.Again(func(l node.List) { a.core.News(l) })
		}}, nil
}

// daemonStatus is what a daemon says of itself.
type daemonStatus struct {
	Name    string  `json:"name"`
	Version string  `json:"version"`
	Phase   string  `json:"phase"`
	Open    int     `json:"open_flows"`
	Entries int     `json:"service_entries"`
	UpS     float64 `json:"up_s"`
}

// controlPart is the control interface, where the file switches it on.
func controlPart(a *assembly) (part, error) {
	c := a.operator.Control
	if c.Listen == "" {
		return part{}, nil
	}
	started := time.Now()
	calls := append([]control.Call{{Pattern: "GET /v1/status", Do: func(*http.Request, []byte) (any, error) {
		return daemonStatus{Name: a.name, Version: Version + " " + runtime.Version(), Phase: a.life.Now().String(), Open: a.core.Open(),
			Entries: len(a.keeper.Current()), UpS: time.Since(started).Seconds()}, nil
	}}}, a.calls...)
	address := c.Listen
	if path, ok := cutUnix(address); ok {
		address = "unix:" + a.operator.Path(a.base, path)
	}
	server, err := control.Listen(address, a.operator.Path(a.base, c.TokenFile), calls, a.log)
	if err != nil {
		return part{}, err
	}
	return part{name: "control", run: func(context.Context) {
		if err := server.Serve(); err != nil {
			a.log.Error("the control interface ended", zap.Error(err))
		}
	}, reload: func(deployment) {
		if err := server.Reload(); err != nil {
			a.log.Error("the control interface's token stays as it was", zap.Error(err))
		}
	}, stop: func() error {
		if err := server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("control: %w", err)
		}
		return nil
	}}, nil
}
