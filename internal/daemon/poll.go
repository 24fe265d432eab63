package daemon

import (
	"context"
	"time"
)

// poll calls f immediately and then at each interval until the context ends.
func poll(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
