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
	// maxImmediateRetries bounds the accepts that may fail in a row before the Listener pauses: each of them may be one
	// client's own broken connection.
	maxImmediateRetries = 8
	// minReportInterval is the shortest time between two log entries about failed accepts.
	minReportInterval = time.Second
)

// permanentErrors are the errors of an accept after which the listener is of no further use.
var permanentErrors = []error{
	net.ErrClosed, os.ErrDeadlineExceeded,
	syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT,
}

// Listener continues to accept while accepts fail for a moment, for whatever reason. A server of net/http ends on an
// error that is not marked as temporary, and pauses for up to a second on one that is. It is safe for concurrent use.
type Listener struct {
	net.Listener
	log    *zap.Logger
	ctx    context.Context // ends with Close
	cancel context.CancelFunc

	mu         sync.Mutex // guards lastReport
	lastReport time.Time
}

// NewListener wraps a listener.
func NewListener(l net.Listener, log *zap.Logger) *Listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &Listener{Listener: l, log: log, ctx: ctx, cancel: cancel}
}

// Listen listens at an address, and retries that for a while if the machine is short of a resource.
func Listen(network, address string, log *zap.Logger) (*Listener, error) {
	var l net.Listener
	err := Retry(context.Background(), maxStartRetry, func() (failed error) {
		l, failed = net.Listen(network, address)
		return failed
	})
	if err != nil {
		return nil, err
	}
	return NewListener(l, log), nil
}

// Accept implements net.Listener. It returns an error only once the listener is closed or of no further use.
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
		if !Sleep(l.ctx, pauses.next()) {
			return nil, net.ErrClosed
		}
	}
}

// isPermanent reports whether a listener is of no further use after an error.
func isPermanent(err error) bool {
	return slices.ContainsFunc(permanentErrors, func(permanent error) bool { return errors.Is(err, permanent) })
}

// report logs a failed accept, unless another was logged just now.
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
