// Package transient handles system calls that fail for a moment. It classifies the failures that are a shortage of this
// machine, and retries, within a bounded time, the calls that are idempotent. It decides nothing about requests.
package transient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// minPause is the pause before a failed call is retried; each further one is twice as long, up to maxPause.
	minPause = time.Millisecond
	maxPause = 50 * time.Millisecond

	// maxTransferRetry bounds the retries of one read or write.
	maxTransferRetry = time.Second
	// maxDialRetry bounds the retries of one dial: three attempts of a request outlast a shortage of a second.
	maxDialRetry = 400 * time.Millisecond
	// maxStartRetry bounds the retries of what a program needs to start, or to reload its configuration.
	maxStartRetry = 3 * time.Second
)

// shortages are the errors that report that this machine, or this process, has run out of a resource.
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// IsLocalShortage reports whether an error is a shortage of this machine. It says nothing about a peer.
func IsLocalShortage(err error) bool {
	for _, shortage := range shortages {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// IsTransient reports whether a call that failed with an error is worth a retry.
func IsTransient(err error) bool { return IsLocalShortage(err) || errors.Is(err, syscall.EINTR) }

// backoff has the pauses between the retries of one call. Its zero value is ready for use.
type backoff struct{ pause time.Duration }

func (b *backoff) next() time.Duration {
	b.pause = min(maxPause, max(minPause, 2*b.pause))
	return b.pause
}

// Retry calls op until it succeeds, fails with an error that is not transient, ctx ends during a pause, or the next
// pause would exceed the maximum time. It returns op's last error, or nil.
func Retry(ctx context.Context, maximum time.Duration, op func() error) error {
	started := time.Now()
	var pauses backoff
	for {
		err := op()
		if err == nil || !IsTransient(err) {
			return err
		}
		pause := pauses.next()
		if time.Since(started)+pause > maximum || !Sleep(ctx, pause) {
			return err
		}
	}
}

// Sleep waits for a duration. It returns false if ctx ends first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// IgnoringEINTR calls op until no signal interrupts it, and returns its error.
func IgnoringEINTR(op func() error) error {
	for {
		if err := op(); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dialer that retries a dial which fails for a shortage of this machine.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		err = Retry(ctx, maxDialRetry, func() (failed error) {
			conn, failed = dial(ctx, network, address)
			return failed
		})
		if err != nil {
			return nil, err
		}
		return conn, nil
	}
}

// Read reads from a connection, as its Read does. A read with a transient failure has taken nothing, and is retried.
func Read(c net.Conn, b []byte) (n int, err error) {
	err = Retry(context.Background(), maxTransferRetry, func() (failed error) {
		n, failed = c.Read(b)
		if n > 0 && IsTransient(failed) {
			return nil // the bytes that came are returned first
		}
		return failed
	})
	return n, err
}

// Write writes all of b to a connection: what a short write, or one with a transient failure, has left over is written
// again. It returns how much was written.
func Write(c net.Conn, b []byte) (written int, err error) {
	err = Retry(context.Background(), maxTransferRetry, func() (failed error) {
		for {
			var n int
			n, failed = c.Write(b[written:])
			written += n
			if failed != nil || n == 0 || written == len(b) {
				return failed
			}
		}
	})
	return written, err
}

// ReadFile reads a file that a program needs to start, or to reload its configuration.
func ReadFile(path string) (raw []byte, err error) {
	err = Retry(context.Background(), maxStartRetry, func() (failed error) {
		raw, failed = os.ReadFile(path)
		return failed
	})
	return raw, err
}
