package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"standpoint/internal/edge"
)

// reload owns the change of configuration in a program that runs: on each SIGHUP the file is read again and all of
// it that may change does. A file with a fault changes nothing, and the log names the faulty key.
func reload(ctx context.Context, hangup <-chan os.Signal, p *program, room *edge.Room, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		limits, err := p.reread()
		if err != nil {
			log.Error("the configuration stays as it was", zap.Error(err))
			continue
		}
		confine(limits)
		room.Resize(limits.EdgeConnections())
		log.Info("the configuration was read again", zap.Any("limits", limits))
	}
}
