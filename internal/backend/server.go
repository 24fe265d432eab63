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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
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

// Options are the limits under which backends are reached.
type Options struct {
	DialTimeout time.Duration
	ConnIdle    time.Duration // the server closes a connection left idle for this long
	MaxIdle     int           // connections kept to one backend between requests
	MaxLinks    int           // connections to all, from which on those that rest are closed; 0: no bound
	Batch       BatchOptions  // for the backends that take files
	// Dial, if not nil, opens connections to servers that stream, in place of a plain dialer: tests hold them back by it.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Wrote func() // an attempt is written whole; nil: nobody counts
	Log   *zap.Logger

	opens func() (closed func()) // the fleet's: a connection is about to be opened
}

// Fleet holds the actors of the backends. Its methods are the core's, but for Adjust.
type Fleet struct {
	mu sync.Mutex
	Options
	servers map[string]actor
	live    *live
	links   atomic.Int64 // connections to servers that are open, or being opened
}

// New makes an empty fleet.
func New(o Options) *Fleet {
	f := &Fleet{Options: o, servers: map[string]actor{}, live: &live{all: map[*link]bool{}}}
	f.opens = f.open
	return f
}

// open counts a connection that is about to be opened, until closed is called. Where there are many, those that rest are closed:
// their descriptors are for clients, discovery and the servers that are needed now.
func (f *Fleet) open() (closed func()) {
	n := f.links.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.MaxLinks > 0 && n > int64(f.MaxLinks) {
		for _, s := range f.servers {
			s.tell(shed{}) // where the mailbox is full the next connection says so again
		}
	}
	return sync.OnceFunc(func() { f.links.Add(-1) })
}

// Links is how many connections to servers are open, or being opened.
func (f *Fleet) Links() int { return int(f.links.Load()) }

// Update takes in news of the endpoints: new servers get an actor, moved ones hear of it, those gone
// are let go of; attempts that are out at them run on.
func (f *Fleet) Update(l node.List) {
	if l.Kind == standpoint.ListLost {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range l.Entries {
		listed[e.Name] = e.State != standpoint.Gone
		s, known := f.servers[e.Name]
		if !known {
			if e.State != standpoint.Gone {
				f.servers[e.Name] = f.start(e)
			}
			continue
		}
		if e.State != standpoint.Gone && e.Batch != s.batch { // another kind of server under the same name
			s.gate.Store(true)
			s.must(gone{})
			f.servers[e.Name] = f.start(e)
			continue
		}
		if at := (moved{e.Address, e.ReadyAt}); e.Address != "" && at != s.at {
			s.must(at)
			s.gate.Store(true) // what is on its way is the process's before
			s.at, s.gate = at, new(atomic.Bool)
		}
		if e.State == standpoint.Ready && s.gate.Load() { // back, for what is decided on from now on
			s.gate = new(atomic.Bool)
		}
		if e.State != standpoint.Ready {
			s.gate.Store(true)
		}
		if e.State == standpoint.Draining {
			s.must(draining{})
		}
		f.servers[e.Name] = s
	}
	for name, s := range f.servers {
		if on, ok := listed[name]; ok && !on || !ok && l.Kind == standpoint.ListFull {
			s.gate.Store(true)
			s.must(gone{})
			delete(f.servers, name)
		}
	}
}

func (f *Fleet) start(e node.Endpoint) actor {
	a := actor{name: e.Name, batch: e.Batch, mail: make(chan any, mailboxSize), log: f.Log, at: moved{e.Address, e.ReadyAt}, gate: new(atomic.Bool)}
	a.gate.Store(e.State != standpoint.Ready)
	if e.Batch {
		s := &batchServer{Options: f.Options, actor: a, client: &http.Client{Transport: transport(f.Options, &keep{})},
			out: map[*parcel]bool{}, ended: make(chan *parcel)}
		go s.run(e.Address)
	} else {
		go (&server{f.Options, a, &keep{}, f.live}).run(a.at)
	}
	return a
}

// Adjust changes the limits under which servers are reached, from their next connections on.
func (f *Fleet) Adjust(dial, idle time.Duration, maxIdle, maxLinks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.DialTimeout, f.ConnIdle, f.MaxIdle, f.MaxLinks = dial, idle, maxIdle, maxLinks
	for _, s := range f.servers {
		s.must(limits{dial, idle, maxIdle})
	}
}

// Send hands an attempt to its server's actor, without waiting.
func (f *Fleet) Send(a *node.Attempt) bool {
	f.mu.Lock()
	s, known := f.servers[a.Server]
	f.mu.Unlock()
	if !known {
		return false
	}
	a.Barred = s.gate.Load
	return s.tell(a)
}

// actor is the mailbox of one backend.
type actor struct {
	name  string
	batch bool // takes files
	mail  chan any
	log   *zap.Logger
	at    moved
	gate  *atomic.Bool // shut, for good, to attempts that were decided on before its server was told to leave
}

type (
	// moved says where the server is, and when its process started.
	moved struct {
		address string
		start   int64
	}
	draining struct{}
	gone     struct{}
	shed     struct{} // connections that rest are to be closed
	limits   struct {
		dial, idle time.Duration
		maxIdle    int
	}
)

// tell never waits: the core must not stand behind a backend.
func (a actor) tell(m any) bool {
	select {
	case a.mail <- m:
		return true
	default:
		a.log.Warn("backend's mailbox is full", zap.String("server", a.name))
		return false
	}
}

// must tells what may not be lost, as an attempt may: where the mailbox is full it comes when there is room.
func (a actor) must(m any) {
	if !a.tell(m) {
		go func() { a.mail <- m }()
	}
}

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
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			closed := o.opens()
			c, err := dial(ctx, network, address)
			if err != nil {
				closed()
				return nil, err
			}
			return &link{Conn: c, keep: k, most: o.ConnIdle / 2, wrote: o.Wrote, closed: closed}, nil
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
		s.Log.Info("attempt failed", zap.String("server", s.name), zap.String("trace", a.Flow.Work.TraceID),
			zap.Int("leg", a.Leg), zap.Stringer("code", result.Code),
			zap.Duration("after", time.Since(a.Sent)), zap.Error(err))
	}
	a.End(result)
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
	var used atomic.Pointer[link]
	var request *http.Request
	// Whether the request may have run is told by its last byte: before that is written no server starts.
	ctx := httptrace.WithClientTrace(a.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			kept = info.Reused
			expiresIn(request, a) // the connection may have come up late; the head is written behind this call
			if l, ok := info.Conn.(*link); ok {
				l.begin(len(a.Flow.Work.Body), a.MayBegin)
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
		return node.Result{Code: failure(ctx, l != nil && l.sent(), l)}, kept, err
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
		result.Code, result.Rejected = standpoint.Cancelled, response.StatusCode
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

func newRequest(ctx context.Context, address string, a *node.Attempt) (*http.Request, error) {
	work := &a.Flow.Work
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
func failure(ctx context.Context, wrote bool, l *link) standpoint.Code {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, node.ErrNoAnswer):
		return standpoint.NoAnswer
	case errors.Is(cause, node.ErrCalledOff), errors.Is(cause, node.ErrClientGone),
		errors.Is(cause, node.ErrHandedBack):
		return standpoint.Cancelled
	case !wrote:
		return standpoint.NoConnection
	case errors.Is(cause, errNoEvent), l != nil && l.unreadable():
		return standpoint.ServerError
	}
	return standpoint.ConnectionLost
}

// stream passes an answer on, whole events at a time, as they come. The first claims the flow. What is no event
// is not passed on, and the stream ends there, broken.
func (s *server) stream(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response,
	a *node.Attempt, l *link) (node.Result, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return node.Result{Code: standpoint.ServerError}, errors.New("an answer whose end cannot be told from a break")
	}
	p := &passage{buffer: make([]byte, 0, readSize), end: tail{report: parseReport(response.Header.Get(LoadHeader))}}
	if response.ContentLength >= 0 {
		l = nil // it does not come in chunks, and cannot move
	}
	return s.live.pass(ctx, cancel, response.Body, p, a, l)
}

// pass carries a stream on to its end. l, if not nil, is the link that it can move with.
func (v *live) pass(ctx context.Context, cancel context.CancelCauseFunc, body io.Reader, p *passage, a *node.Attempt, l *link) (node.Result, error) {
	// Connections to a machine that vanished stay open and silent; the client is not left waiting on one.
	if l != nil {
		defer v.remove(l)
		a.OnHandBack(l.leave)
	}
	p.came = time.Now()
	if p.begun && l != nil {
		v.add(l)
	}
	quiet := time.AfterFunc(openQuiet, func() { cancel(errNoEvent) })
	if p.begun {
		quiet.Stop()
		quiet = time.AfterFunc(p.silence(a.Resumes), func() { cancel(errQuiet) })
	}
	defer func() { quiet.Stop() }()
	for {
		if len(p.buffer) == cap(p.buffer) {
			p.buffer = append(p.buffer, 0)[:len(p.buffer)]
		}
		n, err := body.Read(p.buffer[len(p.buffer):cap(p.buffer)])
		p.buffer = p.buffer[:len(p.buffer)+n]
		p.size += n
		whole := wholeEvents(p.buffer)
		if err == io.EOF && p.begun {
			whole = len(p.buffer)
		}
		if whole > 0 {
			before := p.end.events
			if noted := p.end.note(p.buffer[:whole]); noted != nil {
				return node.Result{Code: standpoint.ServerError}, noted
			}
			if p.end.events > before {
				p.came = time.Now()
			}
			if p.begun && !p.passed.IsZero() {
				p.pause = max(p.pause, time.Since(p.passed))
			}
			if !p.begun {
				if !a.First() {
					return node.Result{Code: failure(ctx, true, nil)}, errors.New("the flow is over")
				}
				p.begun = true
				quiet.Stop()
				quiet = time.AfterFunc(p.silence(a.Resumes), func() { cancel(errQuiet) })
				if l != nil {
					v.add(l)
				}
			}
			// While the client takes it, it is not the server that is silent; nor is that time part of its pace.
			quiet.Stop()
			from := time.Now()
			err := a.Event(p.buffer[:whole])
			if wait := time.Since(from); wait > node.HeldLeast {
				p.held += wait
			}
			p.passed = time.Now()
			quiet.Reset(p.silence(a.Resumes) - from.Sub(p.came)) // comments are no signs of an answer
			if errors.Is(err, node.ErrStopped) {
				// First the decoding ends, then it is put on record that it has.
				quiet.Stop()
				cancel(err)
				if c, ok := body.(io.Closer); ok {
					_ = c.Close()
				}
				return a.Stopped(), nil
			}
			if err != nil {
				return node.Result{Code: standpoint.Cancelled}, err
			}
			p.buffer = append(p.buffer[:0], p.buffer[whole:]...)
		}
		switch {
		case err == io.EOF && p.begun && p.end.done:
			return node.Result{Code: standpoint.Served, Kept: p.end.kept, Tokens: p.end.tokens, Report: p.end.report, Held: p.held}, nil
		case err == io.EOF:
			return node.Result{Code: standpoint.ServerError, Report: p.end.report}, errors.New("the answer ends before its last event")
		case errors.Is(err, errFrozen) && l != nil:
			return v.leave(p, a, l)
		case errors.Is(err, errLeft):
			return node.Result{Code: standpoint.Cancelled, Report: p.end.report}, err
		case err != nil:
			return node.Result{Code: failure(ctx, true, l), Report: p.end.report}, err
		case len(p.buffer) > eventMost, p.size > streamMost, p.endless(a.Flow.Work.MaxTokens):
			return node.Result{Code: standpoint.ServerError}, errors.New("the answer, or one event of it, does not end")
		}
	}
}
