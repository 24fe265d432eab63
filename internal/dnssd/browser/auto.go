package browser

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// Delays between two attempts to open a push session.
const (
	// minPushRetry is the delay after a session that became active.
	minPushRetry = 500 * time.Millisecond
	// maxPushRetry is the upper bound of the exponential backoff.
	maxPushRetry = time.Minute
	// unsupportedPushRetry is the delay where the domain offers no push service, unless the mechanism is Push.
	unsupportedPushRetry = 5 * time.Minute
)

// runAuto polls and repeatedly tries to open a push session. Polling pauses while a session is active and resumes
// immediately when the session ends, so that no change has to wait for the next session.
func (b *Browser) runAuto(ctx context.Context) {
	p := newPoller(b)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minPushRetry
	retry.MaxInterval = maxPushRetry
	retry.Multiplier = 2
	for ctx.Err() == nil {
		activated, err := b.pollUntilPushActive(ctx, p)
		if ctx.Err() != nil {
			return
		}
		if activated {
			retry.Reset()
			b.Log.Warn("push session ended, polling instead", zap.Error(err))
			b.Metrics.countEndedSession(b)
		}
		delay := b.pushRetryDelay(err, activated, retry.NextBackOff())
		p.invalidate()
		polling, cancel := context.WithTimeout(ctx, delay)
		p.run(polling)
		cancel()
	}
}

// pollUntilPushActive runs one push session and polls until the session is active. activated reports whether it became
// active; err is the reason for its end.
func (b *Browser) pollUntilPushActive(ctx context.Context, p *poller) (activated bool, err error) {
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

// pushRetryDelay returns how long to poll before the next attempt to open a push session, after one that ended with
// err. fallback is the delay if err requires no other.
func (b *Browser) pushRetryDelay(err error, activated bool, fallback time.Duration) time.Duration {
	var unavailable *pushUnavailableError
	var retryLater *retryDelayError
	switch {
	case errors.As(err, &unavailable):
		if b.Mechanism != Push {
			return unsupportedPushRetry
		}
		b.Log.Warn("push unavailable, polling instead", zap.Error(err))
		return maxPushRetry
	case errors.As(err, &retryLater):
		return max(fallback, retryLater.delay)
	case !activated:
		b.Log.Info("push session failed, polling instead", zap.Error(err))
	}
	return fallback
}
