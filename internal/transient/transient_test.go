package transient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Retry must retry calls that fail for a shortage of this machine or that are interrupted, and no others.
func TestRetryRepeatsTransientErrors(t *testing.T) {
	permanent := errors.New("permanent")
	for name, test := range map[string]struct {
		errors []error // the results of the calls; Retry must return the last one
	}{
		"success":               {errors: []error{nil}},
		"permanent":             {errors: []error{permanent}},
		"shortage":              {errors: []error{syscall.EMFILE, fmt.Errorf("dial: %w", syscall.ENOBUFS), nil}},
		"interrupted":           {errors: []error{syscall.EINTR, nil}},
		"shortage, permanent":   {errors: []error{syscall.ENOMEM, permanent}},
		"connection refused":    {errors: []error{syscall.ECONNREFUSED}},
		"address not available": {errors: []error{syscall.EADDRNOTAVAIL, nil}},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			err := Retry(t.Context(), time.Minute, func() error {
				calls++
				return test.errors[calls-1]
			})
			require.Equal(t, test.errors[len(test.errors)-1], err)
			require.Len(t, test.errors, calls)
		})
	}
}

// A shortage that lasts must be returned when the maximum time is over or the context ends.
func TestRetryEnds(t *testing.T) {
	shortage := func() error { return syscall.EMFILE }
	require.ErrorIs(t, Retry(t.Context(), 10*time.Millisecond, shortage), syscall.EMFILE)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, Retry(ctx, time.Hour, shortage), syscall.EMFILE)
}

// failingListener fails with each of the errors in turn before it accepts.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, err
	}
	server, client := net.Pipe()
	_ = client.Close()
	return server, nil
}

// Accept must continue after transient and unknown errors, and return those after which the listener is unusable.
func TestListenerContinuesAfterTransientErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{
		Listener: inner,
		errors:   []error{syscall.EMFILE, syscall.ECONNABORTED, errors.New("unknown")},
	}
	listener := NewListener(failing, zap.NewNop())
	conn, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	failing.errors = []error{net.ErrClosed}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	require.NoError(t, listener.Close())
	failing.errors = []error{syscall.EMFILE}
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed, "Close must end the pause")
}
