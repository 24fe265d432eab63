package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/console"
	"standpoint/internal/node"
)

const (
	acceptAfterStop = 600 * time.Millisecond  // clients still connect for up to 0.4 s after SIGTERM
	shutdownTimeout = time.Minute             // for what was accepted, where nobody kills the process
	handBackDelay   = 2200 * time.Millisecond // after SIGTERM, when the platform gets requests back that it would kill
	killMargin      = 400 * time.Millisecond  // before the kill, when no request may be left
	exitMargin      = 100 * time.Millisecond  // before the kill, when the process exits whatever hangs

	closeIdleDelay   = 600 * time.Millisecond // after a hand-over begins, when idle connections are closed
	passStreamsDelay = 2 * time.Second        // after a hand-over begins, when unfinished streams are passed on
)

// beginShutdown drains the process, or hands over to a sibling that serves at the same socket. The result is sent to
// drained.
func (a *assembly) beginShutdown(drained chan<- error) {
	killDelay := a.current.killDelay
	if a.inheritsListener() && a.siblings != nil && a.siblings.SiblingCount() > 0 {
		go func() { drained <- a.handOver(killDelay) }()
		return
	}
	go func() { drained <- a.drain(killDelay, shutdownTimeout) }()
}

// drain accepts while clients may still come, then closes the listener and waits for what was accepted. What the
// platform would kill is handed back in time; where it kills nothing, what is left after timeout is answered instead.
func (a *assembly) drain(killDelay, timeout time.Duration) error {
	if err := a.lifecycle.Enter(node.Draining); err != nil {
		return err
	}
	a.processLog.Info("draining", zap.Int("open", a.core.OpenRequests()))
	end := timeout
	if killDelay > 0 {
		end = killDelay
		handBack := min(handBackDelay, killDelay-killMargin)
		defer time.AfterFunc(handBack, func() { a.core.HandBack(false) }).Stop()
		defer time.AfterFunc(killDelay-exitMargin, a.clients.CloseIdle).Stop()
	}
	defer time.AfterFunc(end-killMargin, func() { a.core.HandBack(true) }).Stop()
	time.Sleep(acceptAfterStop)
	return a.finishDraining(timeout)
}

// handOver drains while a sibling serves at the same socket. It stops accepting before it closes any connection, so
// that clients who connect again reach the sibling.
func (a *assembly) handOver(killDelay time.Duration) error {
	if err := a.lifecycle.Enter(node.HandingOver); err != nil {
		return err
	}
	a.processLog.Info("handing over", zap.Int("open", a.core.OpenRequests()))
	if err := a.clients.Close(); err != nil {
		a.processLog.Warn("listener close failed", zap.Error(err))
	}
	a.clients.SetDraining(true)
	end := shutdownTimeout
	if killDelay > 0 {
		end = killDelay
	}
	defer time.AfterFunc(end-killMargin, func() { a.core.HandBack(true) }).Stop()
	defer time.AfterFunc(passStreamsDelay, a.passStreams).Stop()
	// Idle connections are closed at once after this; a client that sends request after request is told to close with
	// its next answer, and gets the time for it.
	time.Sleep(closeIdleDelay)
	return a.finishDraining(end - closeIdleDelay - exitMargin)
}

// finishDraining waits for what was accepted, and for adopted streams, and ends the process's last phase.
func (a *assembly) finishDraining(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := a.clients.Drain(ctx)
	adoptedFinished := make(chan struct{})
	go func() {
		a.adoptedStreams.Wait()
		close(adoptedFinished)
	}()
	select {
	case <-adoptedFinished:
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("draining: %d flows were left: %w", a.core.OpenRequests(), err)
	}
	if moveErr := a.lifecycle.Enter(node.Stopped); moveErr != nil {
		return moveErr
	}
	a.processLog.Info("stopped")
	return err
}

// drainRequest asks the supervising goroutine to drain the node by hand, or to end such a drain.
type drainRequest struct {
	drained bool
	result  chan error // buffered for one
}

// requestDrain sends a drainRequest and waits for its result.
func (a *assembly) requestDrain(ctx context.Context, drained bool) error {
	request := drainRequest{drained: drained, result: make(chan error, 1)}
	select {
	case a.drainRequests <- request:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return <-request.result // setDrained does not block
}

// setDrained drains the node by hand, or ends that. A node that has been told to stop has sent its clients away for
// good.
func (a *assembly) setDrained(drained bool) error {
	phase := a.lifecycle.Phase()
	if phase > node.ManuallyDrained {
		if drained {
			return nil
		}
		return console.ErrStopping
	}
	if drained == (phase == node.ManuallyDrained) {
		return nil
	}
	next := node.Serving
	if drained {
		next = node.ManuallyDrained
	}
	if err := a.lifecycle.Enter(next); err != nil {
		return err
	}
	a.clients.SetDraining(drained)
	a.processLog.Info("phase changed by operator", zap.Stringer("phase", next), zap.Int("open", a.core.OpenRequests()))
	return nil
}
