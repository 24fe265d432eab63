// Package backend carries attempts to backends: one actor with a mailbox for each, over
// http.Transport.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

const (
	mailboxSize = 256             // messages that one backend's actor may have waiting
	openQuiet   = time.Second     // the first event comes with the head; later than this it does not come
	streamQuiet = 3 * time.Second // a begun stream that is silent for longer is taken to be broken
	restQuiet   = time.Second     // at the least, where its client asks for the rest; servers stand still for up to 600 ms
	pausesQuiet = 4               // of the stream's own longest pauses, likewise
	readSize    = 16 << 10
	headMost    = 16 << 10 // of an answer, 1xx ones ahead included
	eventMost   = 64 << 10 // of one event
	streamMost  = 16 << 20 // of a whole answer
	eventsMost  = 2        // events for each token that a request allows, and so many more for what frames the answer
	eventsMore  = 64
	drainMost   = 16 << 10               // of an answer that is no stream, to be able to keep its connection
	drainTime   = 100 * time.Millisecond // in which that must have come
	freshTries  = 2                      // further connections for a request that kept ones did not take
	neverRan    = "X-Never-Ran"
)

// server is the actor of a backend that streams.
type server struct {
	Options
	actor
	keep *keep
	live *live
}

// run works the mailbox. Each attempt waits on its connection in a goroutine of its own: a silent
// connection must not hold the mailbox.
func (s *server) run(at moved) {
	connections := transport(s.Options, s.keep)
	defer func() { connections.CloseIdleConnections() }()
	for m := range s.mail {
		switch m := m.(type) {
		case *node.Attempt:
			go s.attempt(connections, at.address, m)
		case moved:
			// Another machine, or another process: what was kept of connections leads to the one before, and how long
			// that one let them rest says nothing of this one.
			if m != at {
				connections.CloseIdleConnections()
				s.keep = &keep{}
				connections, at = transport(s.Options, s.keep), m
			}
		case limits:
			s.DialTimeout, s.ConnIdle, s.MaxIdle = m.dial, m.idle, m.maxIdle
			connections.CloseIdleConnections()
			connections = transport(s.Options, s.keep)
		case shed:
			connections.CloseIdleConnections()
		case gone:
			return
		}
	}
}

func transport(o Options, k *keep) *http.Transport {
	dial := transient.DialFunc(o.Dial)
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1}).DialContext
	}
	dial = transient.Dial(dial)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			closed := o.opens()
			c, err := dial(ctx, network, address)
			if err != nil {
				closed()
				return nil, err
			}
			return &connection{Conn: c, keep: k, most: o.ConnIdle / 2, wrote: o.Wrote, closed: closed}, nil
		},
		MaxResponseHeaderBytes: headMost,
		// Half of the server's own idle time: a request written to a connection that the server is closing
		// would end as a reset.
		IdleConnTimeout:     o.ConnIdle / 2,
		MaxIdleConns:        o.MaxIdle,
		MaxIdleConnsPerHost: o.MaxIdle,
		DisableCompression:  true, // events pass through unchanged, as they come
		WriteBufferSize:     4 << 10,
		ReadBufferSize:      4 << 10,
	}
}

// ofRequest are the statuses that say that the request itself is wrong. Another server would say the same: it is not
// sent again, and the server is not blamed for what one client sends.
var ofRequest = []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}

var (
	errQuiet   = errors.New("the stream fell silent")
	errNoEvent = errors.New("no event behind the head of the answer")
)

// attempt carries one attempt to its end.
func (s *server) attempt(transport *http.Transport, address string, a *node.Attempt) {
	result, err := s.try(transport, address, a)
	if err != nil && result.Code != standpoint.Cancelled {
		s.Log.Info("attempt failed", zap.String("server", s.name), zap.String("trace", a.Request.Work.TraceID),
			zap.Int("leg", a.Number), zap.Stringer("code", result.Code),
			zap.Duration("after", time.Since(a.Sent)), zap.Error(err))
	}
	a.Finish(result)
}

func (s *server) try(transport *http.Transport, address string, a *node.Attempt) (node.Result, error) {
	for fresh := 0; ; fresh++ {
		result, kept, err := s.once(transport, address, a)
		// A kept connection that had ended, or held what nobody asked for, and one that broke off before the
		// request's last byte, took nothing: this is no failure of the server, and no second attempt.
		if result.Code != standpoint.NoConnection || fresh >= freshTries || !kept && !errors.Is(err, syscall.ECONNRESET) &&
			!errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) {
			return result, err
		}
		transport.CloseIdleConnections() // they have rested for longer still
	}
}

// once sends the request over one connection, a kept one where there is one, and carries its answer.
func (s *server) once(transport *http.Transport, address string, a *node.Attempt) (result node.Result, kept bool, err error) {
	var used atomic.Pointer[connection]
	var request *http.Request
	// Whether the request may have run is told by its last byte: before that is written no server starts.
	ctx := httptrace.WithClientTrace(a.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			kept = info.Reused
			expiresIn(request, a) // the connection may have come up late; the head is written behind this call
			if l, ok := info.Conn.(*connection); ok {
				l.begin(len(a.Request.Work.Body), a.MayBegin)
				used.Store(l)
			}
		}})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := a.MayBegin(); err != nil {
		return notBegun(ctx), false, err
	}
	request, err = newRequest(ctx, address, a)
	if err != nil {
		return node.Result{Code: standpoint.NotSent}, false, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		l := used.Load()
		if l != nil && l.wasBarred() {
			return notBegun(ctx), kept, err
		}
		if l != nil && kept {
			l.dropped()
		}
		wrote := l != nil && l.sent()
		if transient.IsLocalShortage(err) && ctx.Err() == nil {
			return shortage(wrote), kept, err
		}
		return node.Result{Code: failure(ctx, wrote, l)}, kept, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		result, err = s.stream(ctx, cancel, response, a, used.Load())
		return result, kept, err
	}
	result = node.Result{Code: standpoint.ServerError, Report: parseReport(response.Header.Get(LoadHeader))}
	switch {
	case response.Header.Get(neverRan) == "1":
		result.Code = standpoint.TurnedAway
	case slices.Contains(ofRequest, response.StatusCode):
		result.Code, result.InvalidStatus = standpoint.Cancelled, response.StatusCode
	}
	// So that the connection can be kept; but a body that does not come must not hold up the next attempt.
	defer time.AfterFunc(drainTime, func() { cancel(errQuiet) }).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, drainMost))
	return result, kept, fmt.Errorf("answered %s", response.Status)
}

// notBegun is the result of an attempt of which nothing was sent, for a reason that is not its server's.
func notBegun(ctx context.Context) node.Result {
	if ctx.Err() != nil {
		return node.Result{Code: failure(ctx, false, nil)}
	}
	return node.Result{Code: standpoint.NotSent}
}

// shortage is the result of an attempt that failed for want of something on this machine: it says nothing of the server.
func shortage(wrote bool) node.Result {
	if wrote {
		return node.Result{Code: standpoint.ConnectionLost, Local: true}
	}
	return node.Result{Code: standpoint.NotSent}
}

func newRequest(ctx context.Context, address string, a *node.Attempt) (*http.Request, error) {
	work := &a.Request.Work
	request, err := http.NewRequestWithContext(ctx, work.Method, "http://"+address+work.Target,
		bytes.NewReader(work.Body))
	if err != nil {
		return nil, err
	}
	// With GetBody the transport would resend on its own after a broken connection, and that counts as an
	// attempt that the core knows nothing of.
	request.GetBody = nil
	request.Header.Set("Content-Type", work.ContentType)
	request.Header.Set("X-Trace-Id", work.TraceID)
	request.Header.Set("User-Agent", "standpoint")
	return request, nil
}

// expiresIn tells the server how much time its client has left.
func expiresIn(request *http.Request, a *node.Attempt) {
	request.Header.Set("X-Expires-In", fmt.Sprintf("%dm", max(1, time.Until(a.Until).Milliseconds())))
}

// failure says how an attempt without a whole answer ended. An answer that cannot be read shows, unlike a lost
// connection, that the server is there: it is an error of this one request.
func failure(ctx context.Context, wrote bool, l *connection) standpoint.Code {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, node.ErrNoAnswer):
		return standpoint.NoAnswer
	case errors.Is(cause, node.ErrCancelled), errors.Is(cause, node.ErrClientGone),
		errors.Is(cause, node.ErrHandedBack):
		return standpoint.Cancelled
	case !wrote:
		return standpoint.NoConnection
	case errors.Is(cause, errNoEvent), l != nil && l.unreadable():
		return standpoint.ServerError
	}
	return standpoint.ConnectionLost
}
