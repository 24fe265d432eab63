// Package transient handles system calls that fail for a moment. It tells which failures are a shortage of this machine, and
// repeats, within a bounded time, the calls that are safe to repeat. It decides nothing about requests.
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
	// firstPause is the pause before a call that failed is repeated; each further one is twice as long, up to longestPause.
	firstPause   = time.Millisecond
	longestPause = 50 * time.Millisecond

	// transferTime bounds the repeats of one read or write.
	transferTime = time.Second
	// DialTime bounds the repeats of one dial: three attempts of a request outlast a shortage of a second.
	DialTime = 400 * time.Millisecond
	// startTime bounds the repeats of what a program needs to start or to read its configuration again.
	startTime = 3 * time.Second
)

// shortages are the errors by which the system says that this machine, or this process, has run out of something.
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// IsLocalShortage reports whether an error is a shortage of this machine, which says nothing about the other side.
func IsLocalShortage(err error) bool {
	for _, shortage := range shortages {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// IsTransient reports whether a call that failed so is worth repeating.
func IsTransient(err error) bool { return IsLocalShortage(err) || errors.Is(err, syscall.EINTR) }

// backoff yields the pauses between the repeats of one call.
type backoff struct{ pause time.Duration }

func (b *backoff) next() time.Duration {
	b.pause = min(longestPause, max(firstPause, 2*b.pause))
	return b.pause
}

// Retry calls op until it succeeds, fails for good, or most has passed, and returns its last error.
func Retry(ctx context.Context, most time.Duration, op func() error) error {
	began := time.Now()
	var pauses backoff
	for {
		err := op()
		if err == nil || !IsTransient(err) {
			return err
		}
		pause := pauses.next()
		if time.Since(began)+pause > most || !Sleep(ctx, pause) {
			return err
		}
	}
}

// Sleep waits, and reports false if ctx ends first.
func Sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// IgnoringEINTR calls op until it is not interrupted by a signal.
func IgnoringEINTR(op func() error) error {
	for {
		if err := op(); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial makes a dialer that repeats a dial which fails for a shortage of this machine.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		err = Retry(ctx, DialTime, func() (failed error) {
			conn, failed = dial(ctx, network, address)
			return failed
		})
		if err != nil {
			return nil, err
		}
		return conn, nil
	}
}

// Read reads from a connection. A read that failed for a moment took nothing, and is repeated.
func Read(c net.Conn, b []byte) (n int, err error) {
	err = Retry(context.Background(), transferTime, func() (failed error) {
		n, failed = c.Read(b)
		if n > 0 && IsTransient(failed) {
			return nil // what came is handed on first
		}
		return failed
	})
	return n, err
}

// Write writes all of b to a connection: what a short write, or one that failed for a moment, has left is written again.
func Write(c net.Conn, b []byte) (written int, err error) {
	err = Retry(context.Background(), transferTime, func() (failed error) {
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

// ReadFile reads a file that a program needs to start, or to go on as it is told.
func ReadFile(path string) (raw []byte, err error) {
	err = Retry(context.Background(), startTime, func() (failed error) {
		raw, failed = os.ReadFile(path)
		return failed
	})
	return raw, err
}
