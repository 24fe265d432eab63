package batch

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// stoppingCheckInterval is how often a batch that ends looks for lines that are due.
	stoppingCheckInterval = 100 * time.Millisecond
	// minCheckInterval and maxCheckInterval bound the wait for the next line that is due.
	minCheckInterval = time.Millisecond
	maxCheckInterval = time.Second
)

// scheduler sends the lines of one batch until each has its result.
type scheduler struct {
	service *Service
	batchID string
	expires time.Time
	limiter *concurrencyLimiter

	waiting   []*line    // that are not being sent
	remaining int        // lines without a result
	finished  chan *line // lines that have been sent; large enough for all, so that none waits to be received
	sending   sync.WaitGroup
}

func (s *Service) newScheduler(b *Batch, lines []*line, limiter *concurrencyLimiter) *scheduler {
	d := &scheduler{
		service:  s,
		batchID:  b.ID,
		expires:  b.expiry(),
		limiter:  limiter,
		finished: make(chan *line, len(lines)),
	}
	for _, l := range lines {
		if l.record.final() {
			continue
		}
		if l.record.State == lineOut { // sent by an earlier leader: an attempt may be in flight until then
			s.Log.Info("line in flight under an earlier leader",
				zap.String("batch", b.ID), zap.Int("line", l.number), zap.Time("until", l.record.untilTime()))
		}
		d.remaining++
		d.waiting = append(d.waiting, l)
	}
	return d
}

// run returns once each line has its result, or with an error once no line is in flight any more: ctx's, which ends
// those in flight, or the store's.
func (d *scheduler) run(ctx context.Context) error {
	defer d.sending.Wait()
	for d.remaining > 0 {
		if err := d.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// step fails the next line, where the batch ends and it is due, or sends it, or waits.
func (d *scheduler) step(ctx context.Context) error {
	ending := d.endingCode()
	next := d.nextLine()
	if next != nil && ending != "" && d.mayFail(next) {
		d.waiting = d.waiting[1:]
		if err := d.service.failLine(ctx, next, ending); err != nil {
			return err
		}
		d.remaining--
		return nil
	}
	var slots chan struct{} // nil, which is never ready, unless the next line may be sent
	if next != nil && ending == "" && !time.Now().Before(next.record.untilTime()) {
		slots = d.limiter.slots
	}
	timer := time.NewTimer(d.wait(next, ending, slots != nil))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.service.changed(d.batchID):
	case l := <-d.finished:
		if l.record.final() {
			d.remaining--
		} else {
			d.waiting = append(d.waiting, l)
		}
	case slots <- struct{}{}:
		d.waiting = d.waiting[1:]
		d.sending.Go(func() {
			d.limiter.release(d.service.sendLine(ctx, d.expires, next))
			d.finished <- next
		})
	}
	return ctx.Err()
}

// endingCode returns why lines that are not in flight get an error; "": the batch runs.
func (d *scheduler) endingCode() LineErrorCode {
	b, _, ok := d.service.batch(d.batchID)
	switch {
	case !ok || b.Status == Cancelling:
		return CodeBatchCancelled
	case !time.Now().Before(d.expires):
		return CodeBatchExpired
	}
	return ""
}

// nextLine returns the line that is due first, nil where all are being sent.
func (d *scheduler) nextLine() *line {
	sort.SliceStable(d.waiting, func(i, j int) bool { return d.waiting[i].record.Until < d.waiting[j].record.Until })
	if len(d.waiting) == 0 {
		return nil
	}
	return d.waiting[0]
}

// mayFail reports whether a line of a batch that ends may be given its error now. One that an
// earlier leader had in flight waits until it is due, unless the batch has expired.
func (d *scheduler) mayFail(l *line) bool {
	return d.untilDue(l) <= 0 || l.record.State != lineOut
}

// untilDue returns how long it is until a line is due or the batch expires.
func (d *scheduler) untilDue(l *line) time.Duration {
	return min(time.Until(d.expires), time.Until(l.record.untilTime()))
}

// wait returns for how long to wait for something to happen.
func (d *scheduler) wait(next *line, ending LineErrorCode, sendable bool) time.Duration {
	wait := time.Until(d.expires)
	switch {
	case ending != "":
		wait = stoppingCheckInterval
	case next != nil && !sendable:
		wait = d.untilDue(next)
	}
	return max(minCheckInterval, min(wait, maxCheckInterval))
}
