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
	// acceptAfterStop is how long the listener stays open after SIGTERM; clients still connect for up to 0.4 s.
	acceptAfterStop = 600 * time.Millisecond
	// shutdownTimeout bounds the wait for accepted requests if the platform does not kill the process.
	shutdownTimeout = time.Minute
	// maxStreamTime bounds the wait for streams that their backends still write, if the platform does not kill the process.
	// A silent stream is broken off much earlier.
	maxStreamTime = time.Hour
	// handBackDelay is the time from SIGTERM until streams that the kill would interrupt are handed back to their
	// clients, which resume them at another node.
	handBackDelay = 2200 * time.Millisecond
	// killMargin is the time before the kill at which all remaining requests are handed back.
	killMargin = 400 * time.Millisecond
	// exitMargin is the time before the kill at which a process that drains closes its idle connections, and at which a
	// process that hands over exits even if something still blocks.
	exitMargin = 100 * time.Millisecond

	// breakMargin is the time before the kill at which streams are broken off that could not be passed to a sibling, but
	// whose descriptors it may have got.
	breakMargin = 250 * time.Millisecond

	// closeIdleDelay is the time from the beginning of a hand-over until idle connections are closed.
	closeIdleDelay = 600 * time.Millisecond
	// passStreamsDelay is the time from the beginning of a hand-over until unfinished streams are passed to a sibling.
	passStreamsDelay = 2 * time.Second
)

// beginShutdown starts to drain the process, or to hand over to a sibling that serves on the same socket. The result is
// sent to drained.
func (a *assembly) beginShutdown(drained chan<- error) {
	killDelay := a.current.killDelay
	if a.inheritsListener() && a.siblings != nil && a.siblings.SiblingCount() > 0 {
		go func() { drained <- a.handOver(killDelay) }()
		return
	}
	go func() { drained <- a.drain(killDelay, shutdownTimeout) }()
}

// drain accepts clients for acceptAfterStop, then closes the listener and waits for the accepted requests. Requests
// that a kill by the platform would interrupt are handed back before it. If the platform does not kill the process
// (killDelay is 0), requests that remain shortly before timeout are handed back, and begun streams run to their end.
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
	if killDelay == 0 {
		return a.finishDraining(maxStreamTime)
	}
	return a.finishDraining(timeout)
}

// handOver drains while a sibling serves on the same socket. It stops accepting before it closes any connection, so
// that clients that reconnect reach the sibling.
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
	passing, endPassing := context.WithCancel(context.Background())
	defer endPassing()
	defer time.AfterFunc(passStreamsDelay, func() { a.passStreams(passing) }).Stop()
	defer time.AfterFunc(end-breakMargin, a.backends.BreakUnpassed).Stop()
	// Draining closes idle connections at once. The delay lets a client that sends requests back to back receive its
	// next response, which asks it to close the connection.
	time.Sleep(closeIdleDelay)
	return a.finishDraining(end - closeIdleDelay - exitMargin)
}

// finishDraining waits for accepted requests and adopted streams, at most for timeout, and enters the stopped phase.
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
		err = fmt.Errorf("draining: %d requests unfinished: %w", a.core.OpenRequests(), err)
	}
	if phaseErr := a.lifecycle.Enter(node.Stopped); phaseErr != nil {
		return phaseErr
	}
	a.processLog.Info("stopped")
	return err
}

// drainRequest asks the supervising goroutine to begin or to end a manual drain of the node.
type drainRequest struct {
	drained bool
	result  chan error // has capacity 1, so that the supervising goroutine never blocks on it
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

// setDrained begins or ends a manual drain of the node. A node that is shutting down stays drained: ending the drain
// returns console.ErrStopping.
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
