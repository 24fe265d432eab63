package transient

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// maxImmediateRetries is the number of accepts that may fail in a row before the Listener pauses. Each of them may
	// be due to the broken connection of one client.
	maxImmediateRetries = 8
	// minReportInterval is the minimum time between two log entries about failed accepts.
	minReportInterval = time.Second
)

// permanentErrors are the errors of an accept after which the listener is unusable.
var permanentErrors = []error{
	net.ErrClosed, os.ErrDeadlineExceeded,
	syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT,
}

// Listener retries failed accepts, whatever the error, unless the listener has become unusable. An http.Server, in
// contrast, ends on an error that is not marked as temporary, and pauses for up to a second on one that is. It is safe
// for concurrent use.
type Listener struct {
	net.Listener
	log    *zap.Logger
	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc

	mu         sync.Mutex // guards lastReport
	lastReport time.Time  // when a failed accept was last logged
}

// NewListener wraps a listener. Failed accepts are written to the log.
func NewListener(l net.Listener, log *zap.Logger) *Listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &Listener{Listener: l, log: log, ctx: ctx, cancel: cancel}
}

// Listen listens on an address, and retries for up to maxStartRetryTime if the machine is short of a resource.
func Listen(network, address string, log *zap.Logger) (*Listener, error) {
	var l net.Listener
	err := Retry(context.Background(), maxStartRetryTime, func() (failed error) {
		l, failed = net.Listen(network, address)
		return failed
	})
	if err != nil {
		return nil, err
	}
	return NewListener(l, log), nil
}

// Accept implements net.Listener. It returns an error only if the listener is closed or has become unusable.
func (l *Listener) Accept() (net.Conn, error) {
	var pauses backoff
	for failures := 1; ; failures++ {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if isPermanent(err) {
			return nil, err
		}
		l.report(err)
		if failures < maxImmediateRetries && !IsLocalShortage(err) {
			continue
		}
		if !Sleep(l.ctx, pauses.nextPause()) {
			return nil, net.ErrClosed
		}
	}
}

// isPermanent reports whether an error means that a listener has become unusable.
func isPermanent(err error) bool {
	return slices.ContainsFunc(permanentErrors, func(permanent error) bool { return errors.Is(err, permanent) })
}

// report logs a failed accept, unless another was logged within minReportInterval.
func (l *Listener) report(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.lastReport) >= minReportInterval {
		l.lastReport = now
		l.log.Warn("accept failed, continuing", zap.Stringer("address", l.Addr()), zap.Error(err))
	}
}

// Close implements net.Listener. It also ends a pause of Accept.
func (l *Listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}
