package daemon

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"standpoint/internal/console"
	"standpoint/internal/edge"
	"standpoint/internal/endpoints"
	"standpoint/internal/node"
)

// drainRequest is a wish of staff about the phase, which Run's goroutine alone carries out.
type drainRequest struct {
	drained bool
	result  chan error // holds one
}

// consoleComponent is where staff call, where the deployment names an address. It answers before the other parts have
// started, and until all have stopped.
func consoleComponent(a *assembly) (component, error) {
	if a.console == "" {
		return component{}, nil
	}
	server, err := console.Listen(a.console, console.Operations{
		Ready:   func() bool { return a.lifecycle.Now() == node.Serving },
		Metrics: a.counters.Text,
		Down:    a.overrideCommand(func(id string) error { return a.overrides.Down(id) }),
		Up:      a.overrideCommand(func(id string) error { return a.overrides.Up(id) }),
		Drain:   a.requestDrain,
	}, a.log)
	if err != nil {
		return component{}, fmt.Errorf("console: %w", err)
	}
	return component{name: "console", start: func(context.Context) {
		go func() {
			if err := server.Serve(); err != nil {
				a.log.Error("the console ended", zap.Error(err))
			}
		}()
	}, run: func(ctx context.Context) {
		for { // one command after the other; who has to wait too long goes away unheard
			select {
			case <-ctx.Done():
				return
			case do := <-a.overrideCommands:
				do()
			}
		}
	}, stop: server.Close}, nil
}

// overrideCommand makes a call of staff of what is to be done about a backend.
func (a *assembly) overrideCommand(do func(id string) error) func(context.Context, string) error {
	return func(ctx context.Context, id string) error {
		done := make(chan error, 1)
		select {
		case a.overrideCommands <- func() { done <- do(id) }:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		select {
		case err := <-done:
			if errors.Is(err, endpoints.ErrNeverListed) {
				return console.ErrUnknownBackend
			}
			return err
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// requestDrain posts a wish of staff to Run's goroutine.
func (a *assembly) requestDrain(ctx context.Context, away bool) error {
	o := drainRequest{away, make(chan error, 1)}
	select {
	case a.drainRequests <- o:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return <-o.result // which does not wait for anybody
}

// setDrained carries the wish out. Clients of a node that was told to stop are sent away already, for good.
func (a *assembly) setDrained(away bool, room *edge.Room, log *zap.Logger) error {
	switch phase := a.lifecycle.Now(); {
	case phase > node.DrainedByHand && !away:
		return console.ErrStopping
	case phase > node.DrainedByHand, away == (phase == node.DrainedByHand):
		return nil
	}
	to := node.Serving
	if away {
		to = node.DrainedByHand
	}
	if err := a.lifecycle.Move(to); err != nil {
		return err
	}
	room.SendAway(away)
	log.Info("staff changed the phase", zap.Stringer("phase", to), zap.Int("open", a.core.Open()))
	return nil
}
