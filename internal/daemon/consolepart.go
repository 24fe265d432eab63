package daemon

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"standpoint/internal/console"
	"standpoint/internal/edge"
	"standpoint/internal/entries"
	"standpoint/internal/node"
)

// order is a wish of staff about the phase, which Run's goroutine alone carries out.
type order struct {
	away bool
	done chan error // holds one
}

// consolePart is where staff call, where the deployment names an address. It answers before the other parts have
// started, and until all have stopped.
func consolePart(a *assembly) (part, error) {
	if a.console == "" {
		return part{}, nil
	}
	server, err := console.Listen(a.console, console.Node{
		Ready:   func() bool { return a.life.Now() == node.Serving },
		Figures: a.figures.Text,
		Down:    a.byHandCommand(func(id string) error { return a.byHand.Down(id) }),
		Up:      a.byHandCommand(func(id string) error { return a.byHand.Up(id) }),
		Drain:   a.drainByHand,
	}, a.log)
	if err != nil {
		return part{}, fmt.Errorf("console: %w", err)
	}
	return part{name: "console", start: func(context.Context) {
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
			case do := <-a.commands:
				do()
			}
		}
	}, stop: server.Close}, nil
}

// byHandCommand makes a call of staff of what is to be done about a backend.
func (a *assembly) byHandCommand(do func(id string) error) func(context.Context, string) error {
	return func(ctx context.Context, id string) error {
		done := make(chan error, 1)
		select {
		case a.commands <- func() { done <- do(id) }:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		select {
		case err := <-done:
			if errors.Is(err, entries.ErrNeverListed) {
				return console.ErrUnknown
			}
			return err
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// drainByHand posts a wish of staff to Run's goroutine.
func (a *assembly) drainByHand(ctx context.Context, away bool) error {
	o := order{away, make(chan error, 1)}
	select {
	case a.orders <- o:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return <-o.done // which does not wait for anybody
}

// sendAway carries the wish out. Clients of a node that was told to stop are sent away already, for good.
func (a *assembly) sendAway(away bool, room *edge.Room, log *zap.Logger) error {
	switch phase := a.life.Now(); {
	case phase > node.DrainedByHand && !away:
		return console.ErrNotNow
	case phase > node.DrainedByHand, away == (phase == node.DrainedByHand):
		return nil
	}
	to := node.Serving
	if away {
		to = node.DrainedByHand
	}
	if err := a.life.Move(to); err != nil {
		return err
	}
	room.SendAway(away)
	log.Info("staff changed the phase", zap.Stringer("phase", to), zap.Int("open", a.core.Open()))
	return nil
}
