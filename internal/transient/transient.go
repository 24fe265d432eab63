// Package transient handles transient failures of system calls. It detects failures that are due to a resource shortage
// of this machine, and retries calls that can be repeated safely, for a limited time. It does not retry requests.
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
	// minPause is the pause before the first retry of a call. Each further pause is twice as long, up to maxPause.
	minPause = time.Millisecond
	// maxPause is the maximum pause between two retries of a call.
	maxPause = 50 * time.Millisecond

	// maxTransferRetryTime is the maximum total time for the retries of one read or write.
	maxTransferRetryTime = time.Second
	// maxDialRetryTime is the maximum total time for the retries of one dial. Three attempts of a request together
	// outlast a shortage of one second.
	maxDialRetryTime = 400 * time.Millisecond
	// maxStartRetryTime is the maximum total time for the retries of a call that a program needs to start or to reload
	// its configuration.
	maxStartRetryTime = 3 * time.Second
)

// shortageErrnos are the errors that mean that this machine or this process has run out of a resource.
var shortageErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// IsLocalShortage reports whether an error is due to a resource shortage of this machine, and thus not to a peer.
func IsLocalShortage(err error) bool {
	for _, shortage := range shortageErrnos {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// IsTransient reports whether a call that failed with an error may succeed if it is retried.
func IsTransient(err error) bool { return IsLocalShortage(err) || errors.Is(err, syscall.EINTR) }

// backoff generates the pauses between the retries of one call. Its zero value is ready for use.
type backoff struct{ pause time.Duration }

// nextPause returns the pause before the next retry.
func (b *backoff) nextPause() time.Duration {
	b.pause = min(maxPause, max(minPause, 2*b.pause))
	return b.pause
}

// Retry calls op until it succeeds, it fails with an error that is not transient, ctx ends during a pause, or the next
// pause would exceed the maximum total time. It returns the last error of op, or nil.
func Retry(ctx context.Context, maximum time.Duration, op func() error) error {
	started := time.Now()
	var pauses backoff
	for {
		err := op()
		if err == nil || !IsTransient(err) {
			return err
		}
		pause := pauses.nextPause()
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

// IgnoringEINTR calls op until it is not interrupted by a signal, and returns its error.
func IgnoringEINTR(op func() error) error {
	for {
		if err := op(); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc that retries dials that fail with a transient error.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		err = Retry(ctx, maxDialRetryTime, func() (failed error) {
			conn, failed = dial(ctx, network, address)
			return failed
		})
		if err != nil {
			return nil, err
		}
		return conn, nil
	}
}

// Read reads from a connection, like its Read method. A read that fails with a transient error has consumed nothing and
// is retried.
func Read(c net.Conn, b []byte) (n int, err error) {
	err = Retry(context.Background(), maxTransferRetryTime, func() (failed error) {
		n, failed = c.Read(b)
		if n > 0 && IsTransient(failed) {
			return nil // return the bytes that were read; the next Read will return the error if it persists
		}
		return failed
	})
	return n, err
}

// Write writes all of b to a connection. After a short write, or one that fails with a transient error, it continues
// with the remaining bytes. It returns the number of bytes written.
func Write(c net.Conn, b []byte) (written int, err error) {
	err = Retry(context.Background(), maxTransferRetryTime, func() (failed error) {
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

// ReadFile reads a file that a program needs to start or to reload its configuration, and retries on transient errors.
func ReadFile(path string) (raw []byte, err error) {
	err = Retry(context.Background(), maxStartRetryTime, func() (failed error) {
		raw, failed = os.ReadFile(path)
		return failed
	})
	return raw, err
}
