package browser

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// Times between two attempts at a push session: short after one that became active, long where the domain offers none.
const (
	minPushRetry         = 500 * time.Millisecond
	maxPushRetry         = time.Minute
	unsupportedPushRetry = 5 * time.Minute
)

// runAuto polls, and keeps trying to open a push session. Polling pauses while a session is active and resumes at once
// when it ends, so that no change waits for the next session.
func (b *Browser) runAuto(ctx context.Context) {
	p := newPoller(b)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minPushRetry
	retry.MaxInterval = maxPushRetry
	retry.Multiplier = 2
	for ctx.Err() == nil {
		activated, err := b.pushBesidePolling(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if activated {
			retry.Reset()
			b.Log.Warn("push session ended, polling instead", zap.Error(err))
			b.Metrics.sessionEnded(b)
		}
		delay := b.pushRetryDelay(err, activated, retry.NextBackOff())
		p.invalidate()
		polling, cancel := context.WithTimeout(ctx, delay)
		p.run(polling)
		cancel()
	}
}

// pushBesidePolling has one push session, and polls until it is active. activated tells whether it became so; err is
// why it ended.
func (b *Browser) pushBesidePolling(ctx context.Context, p *poller) (activated bool, err error) {
	polling, cancel := context.WithCancel(ctx)
	var poll sync.WaitGroup
	poll.Go(func() { p.run(polling) })
	stopPolling := func() {
		cancel()
		poll.Wait()
	}
	defer stopPolling()
	err = b.runPushSession(ctx, func() {
		activated = true
		stopPolling()
	})
	return activated, err
}

// pushRetryDelay is how long to poll before the next attempt at a push session, after one that ended with err.
// fallback is the delay where err asks for no other.
func (b *Browser) pushRetryDelay(err error, activated bool, fallback time.Duration) time.Duration {
	var unavailable *pushUnavailableError
	var later *retryDelayError
	switch {
	case errors.As(err, &unavailable):
		if b.Mechanism != Push {
			return unsupportedPushRetry
		}
		b.Log.Warn("push unavailable, polling instead", zap.Error(err))
		return maxPushRetry
	case errors.As(err, &later):
		return max(fallback, later.delay)
	case !activated:
		b.Log.Info("push session failed, polling instead", zap.Error(err))
	}
	return fallback
}
