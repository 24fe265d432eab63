package transient

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptsAtOnce is how many accepts may fail in a row without a pause: each of them may be one client's own broken connection.
	acceptsAtOnce = 8
	// acceptReports is the shortest time between two lines of log about accepts that fail.
	acceptReports = time.Second
)

// broken are the errors of an accept after which the listener is of no use any more.
var broken = []error{net.ErrClosed, os.ErrDeadlineExceeded, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT}

// Listener accepts on while accepts fail for a moment, for whatever reason. net/http ends its loop on an error that does not call
// itself temporary, and pauses for up to a second on one that does.
type Listener struct {
	net.Listener
	log    *zap.Logger
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	reported time.Time
}

// NewListener wraps a listener.
func NewListener(l net.Listener, log *zap.Logger) *Listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &Listener{Listener: l, log: log, ctx: ctx, cancel: cancel}
}

// Listen listens at an address, and repeats that for a while where the machine is short of something.
func Listen(network, address string, log *zap.Logger) (*Listener, error) {
	var l net.Listener
	err := Retry(context.Background(), startTime, func() (failed error) {
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
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		for _, final := range broken {
			if errors.Is(err, final) {
				return nil, err
			}
		}
		l.report(err)
		if failures < acceptsAtOnce && !IsLocalShortage(err) {
			continue
		}
		if !Sleep(l.ctx, pauses.next()) {
			return nil, net.ErrClosed
		}
	}
}

// report logs a failed accept, unless another was logged just now.
func (l *Listener) report(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.reported) >= acceptReports {
		l.reported = now
		l.log.Warn("accept failed; accepting goes on", zap.Stringer("at", l.Addr()), zap.Error(err))
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}
