package batch

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/node"
)

const (
	// stoppingCheckInterval is the interval at which a batch that is being ended checks for lines that are due.
	stoppingCheckInterval = 100 * time.Millisecond
	// minCheckInterval and maxCheckInterval limit the wait for the next line that is due.
	minCheckInterval = time.Millisecond
	maxCheckInterval = time.Second
)

// scheduler sends the lines of one batch until each has a result.
type scheduler struct {
	service *Service
	batchID string
	expires time.Time
	term    *leadershipTerm

	waiting   []*line        // lines without a result that are not being sent
	remaining int            // number of lines without a result
	finished  chan *line     // lines that have been sent; has capacity for all lines, so that senders never block
	sending   sync.WaitGroup // goroutines that send lines
}

func (s *Service) newScheduler(b *Batch, lines []*line, term *leadershipTerm) *scheduler {
	d := &scheduler{
		service:  s,
		batchID:  b.ID,
		expires:  b.expiry(),
		term:     term,
		finished: make(chan *line, len(lines)),
	}
	for _, l := range lines {
		if l.record.final() {
			continue
		}
		if l.record.State == lineInFlight { // sent by an earlier leader; an attempt may still be in flight
			s.Log.Info("line in flight under an earlier leader",
				zap.String("batch", b.ID),
				zap.Int("line", l.number),
				zap.Time("until", l.record.untilTime()),
				zap.Bool("at_batch_backend", d.isSubmitted(l)))
		}
		d.remaining++
		d.waiting = append(d.waiting, l)
	}
	return d
}

// run returns nil once each line has a result. It returns an error if ctx ends, which ends the attempts in flight, or
// if a write to the store fails; in both cases it waits until no line is being sent.
func (d *scheduler) run(ctx context.Context) error {
	defer d.sending.Wait()
	waiting := d.waiting
	d.waiting = nil
	for _, l := range waiting {
		d.enqueue(ctx, l)
	}
	for d.remaining > 0 {
		if err := d.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// step fails the next line if the batch is being ended and the line may fail now; otherwise it sends the next line or
// waits.
func (d *scheduler) step(ctx context.Context) error {
	endCode := d.endCode()
	next := d.nextLine()
	if next != nil && endCode != "" && d.canFailNow(next) {
		d.waiting = d.waiting[1:]
		if err := d.service.failLine(ctx, next, endCode); err != nil {
			return err
		}
		d.remaining--
		return nil
	}
	var slots chan struct{} // remains nil, and so is never ready, unless the next line may be sent
	if next != nil && endCode == "" && !time.Now().Before(next.record.untilTime()) {
		slots = d.term.limiter.slots
	}
	timer := time.NewTimer(d.waitDuration(next, endCode, slots != nil))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.service.changeNotification(d.batchID):
	case l := <-d.finished:
		if l.record.final() {
			d.remaining--
		} else {
			d.enqueue(ctx, l)
		}
	case slots <- struct{}{}:
		d.waiting = d.waiting[1:]
		d.send(ctx, next)
	}
	return ctx.Err()
}

// isSubmitted reports whether a line is in flight in a file at a batch backend.
func (d *scheduler) isSubmitted(l *line) bool {
	return l.record.State == lineInFlight && d.term.submissions.contains(l.record.TraceID)
}

// enqueue adds a line to those that wait. A line in a file at a batch backend must not be sent again: the end of that
// file is awaited, whatever its time in the store is.
func (d *scheduler) enqueue(ctx context.Context, l *line) {
	if d.isSubmitted(l) {
		d.recoverLine(ctx, l)
		return
	}
	d.waiting = append(d.waiting, l)
}

// send sends a line, for which a slot of the limiter has been acquired.
func (d *scheduler) send(ctx context.Context, l *line) {
	d.sending.Go(func() {
		traceID := newID("")
		d.term.limiter.release(d.service.sendLine(ctx, d.expires, l, traceID, d.term.submissions))
		d.settle(l, traceID)
		d.finished <- l
	})
}

// recoverLine awaits the outcome of a line that is in a file at a batch backend. If no slot of the limiter is free, it
// does without: the line is in flight in any case.
func (d *scheduler) recoverLine(ctx context.Context, l *line) {
	acquired := d.term.limiter.tryAcquire()
	d.sending.Go(func() {
		traceID := l.record.TraceID
		answer := d.service.recoverLine(ctx, d.expires, l, d.term.submissions)
		if answer == node.Rejected { // this member cancels late files: no evidence that the backends lack capacity
			answer = node.ClientDisconnected
		}
		if acquired {
			d.term.limiter.release(answer)
		}
		d.settle(l, traceID)
		d.finished <- l
	})
}

// settle settles a line's request unless its outcome could not be stored.
func (d *scheduler) settle(l *line, traceID string) {
	if l.record.State != lineInFlight || l.record.TraceID != traceID {
		d.term.submissions.settle(traceID)
	}
}

// endCode returns the error code for lines that are not in flight if the batch is cancelled or has expired, otherwise
// "".
func (d *scheduler) endCode() LineErrorCode {
	b, _, ok := d.service.loadBatch(d.batchID)
	switch {
	case !ok || b.Status == Cancelling:
		return CodeBatchCancelled
	case !time.Now().Before(d.expires):
		return CodeBatchExpired
	}
	return ""
}

// nextLine returns the waiting line that is due first, or nil if there is none.
func (d *scheduler) nextLine() *line {
	sort.SliceStable(d.waiting, func(i, j int) bool { return d.waiting[i].record.Until < d.waiting[j].record.Until })
	if len(d.waiting) == 0 {
		return nil
	}
	return d.waiting[0]
}

// canFailNow reports whether a line of a batch that is being ended may fail now. A line that was in flight under an
// earlier leader must wait until its time has passed, since its attempt may still run.
func (d *scheduler) canFailNow(l *line) bool {
	return l.record.State != lineInFlight || d.service.remaining(l.record.untilTime()) <= 0
}

// untilDue returns the time until a line is due or the batch expires.
func (d *scheduler) untilDue(l *line) time.Duration {
	return min(time.Until(d.expires), time.Until(l.record.untilTime()))
}

// waitDuration returns the maximum time to wait for an event in step.
func (d *scheduler) waitDuration(next *line, endCode LineErrorCode, sendable bool) time.Duration {
	wait := time.Until(d.expires)
	switch {
	case endCode != "":
		wait = stoppingCheckInterval
	case next != nil && !sendable:
		wait = d.untilDue(next)
	}
	return max(minCheckInterval, min(wait, maxCheckInterval))
}
