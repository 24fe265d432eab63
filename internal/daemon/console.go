package daemon

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"standpoint/internal/console"
	"standpoint/internal/endpoints"
	"standpoint/internal/node"
)

// consoleComponent serves the operations console, if the deployment has an address for it. The console responds before
// the other components have started, and until all of them have stopped.
func consoleComponent(a *assembly) (component, error) {
	if a.console == "" {
		return component{}, nil
	}
	operations := console.Operations{
		Ready:      func() bool { return a.lifecycle.Phase() == node.Serving },
		Metrics:    a.counters.Text,
		Disable:    a.overrideOperation(func(id string) error { return a.overrides.Disable(id) }),
		Enable:     a.overrideOperation(func(id string) error { return a.overrides.Enable(id) }),
		SetDrained: a.requestDrain,
	}
	server, err := console.Listen(a.console, operations, a.log)
	if err != nil {
		return component{}, fmt.Errorf("console: %w", err)
	}
	start := func(context.Context) {
		go func() { // returns after stop
			if err := server.Serve(); err != nil {
				a.log.Error("console server failed", zap.Error(err))
			}
		}()
	}
	return component{name: "console", start: start, run: a.applyOverrides, stop: server.Close}, nil
}

// overrideRequest asks applyOverrides to change the override of a backend.
type overrideRequest struct {
	apply  func() error
	result chan error // has capacity 1, so that applyOverrides never blocks on it
}

// applyOverrides applies override requests one at a time until the context ends.
func (a *assembly) applyOverrides(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-a.overrideRequests:
			request.result <- request.apply()
		}
	}
}

// overrideOperation returns a console operation that passes apply to applyOverrides and waits for the result. If its
// context ends first, the override may still be applied later.
func (a *assembly) overrideOperation(apply func(id string) error) func(context.Context, string) error {
	return func(ctx context.Context, id string) error {
		request := overrideRequest{apply: func() error { return apply(id) }, result: make(chan error, 1)}
		select {
		case a.overrideRequests <- request:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		select {
		case err := <-request.result:
			if errors.Is(err, endpoints.ErrNeverListed) {
				return console.ErrUnknownBackend
			}
			return err
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
