// Package backend carries attempts to backends over HTTP: each backend has a goroutine with a mailbox, and each attempt
// one of its own. Backends answer as streams of events, or take files of requests in the form of the public batch API.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

// Options are the limits under which backends are reached.
type Options struct {
	DialTimeout    time.Duration
	ConnIdle       time.Duration // after which a backend closes an idle connection
	MaxIdle        int           // idle connections kept to one backend
	MaxConnections int           // to all backends, from which on idle ones are closed; 0 for no limit
	Batch          BatchOptions  // for backends that take files
	// Dial opens connections to streaming backends in place of a plain dialer; nil but in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnWritten is called when an attempt is written completely; it may be nil.
	OnWritten func()
	Log       *zap.Logger

	// onOpen is called when a connection is about to be opened; closed when it is closed again.
	onOpen func() (closed func())
}

// Fleet is all backends. It implements node.Backends; its methods are safe for concurrent use.
type Fleet struct {
	mu sync.Mutex // guards Options and backends
	Options
	backends        map[string]member // by name
	streams         *runningStreams
	openConnections atomic.Int64
}

// New creates a Fleet without backends.
func New(options Options) *Fleet {
	f := &Fleet{
		Options:  options,
		backends: map[string]member{},
		streams:  &runningStreams{connections: map[*connection]bool{}},
	}
	f.onOpen = f.countConnection
	return f
}

// countConnection counts a connection from just before it is opened until closed is called. If there are many, idle
// ones are closed: their descriptors are for clients, discovery and the backends that are needed now.
func (f *Fleet) countConnection() (closed func()) {
	open := f.openConnections.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.MaxConnections > 0 && open > int64(f.MaxConnections) {
		for _, backend := range f.backends {
			backend.post(closeIdle{}) // if its mailbox is full, the next connection posts it again
		}
	}
	return sync.OnceFunc(func() { f.openConnections.Add(-1) })
}

// Connections is the number of connections to backends that are open, or being opened.
func (f *Fleet) Connections() int { return int(f.openConnections.Load()) }

// Update takes an endpoint list in. Attempts that are in flight at a removed backend go on.
func (f *Fleet) Update(list node.EndpointList) {
	if list.Kind == standpoint.ListFailed {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Name] = endpoint.State != standpoint.Gone
		backend, known := f.backends[endpoint.Name]
		switch {
		case known:
			f.backends[endpoint.Name] = f.update(backend, endpoint)
		case endpoint.State != standpoint.Gone:
			f.backends[endpoint.Name] = f.start(endpoint)
		}
	}
	for name, backend := range f.backends {
		present, mentioned := listed[name]
		if mentioned && !present || !mentioned && list.Kind == standpoint.ListFull {
			remove(backend)
			delete(f.backends, name)
		}
	}
}

// update applies an entry of the endpoint list to a known backend.
func (f *Fleet) update(backend member, endpoint node.Endpoint) member {
	if endpoint.State != standpoint.Gone && endpoint.Batch != backend.batch { // another kind under the same name
		remove(backend)
		return f.start(endpoint)
	}
	listed := process{address: endpoint.Address, startedAt: endpoint.ReadyAt}
	if endpoint.Address != "" && listed != backend.process {
		backend.postReliably(processChanged{listed})
		backend.draining.Store(true) // what is on its way is meant for the process before
		backend.process = listed
		backend.draining = new(atomic.Bool)
	}
	if endpoint.State == standpoint.Ready && backend.draining.Load() { // it is back, for what is decided on from now on
		backend.draining = new(atomic.Bool)
	}
	if endpoint.State != standpoint.Ready {
		backend.draining.Store(true)
	}
	if endpoint.State == standpoint.Draining {
		backend.postReliably(drainStarted{})
	}
	return backend
}

func remove(backend member) {
	backend.draining.Store(true)
	backend.postReliably(backendRemoved{})
}

// start starts the goroutine of a backend.
func (f *Fleet) start(endpoint node.Endpoint) member {
	started := member{
		name:     endpoint.Name,
		batch:    endpoint.Batch,
		mailbox:  make(chan message, mailboxSize),
		log:      f.Log,
		process:  process{address: endpoint.Address, startedAt: endpoint.ReadyAt},
		draining: new(atomic.Bool),
	}
	started.draining.Store(endpoint.State != standpoint.Ready)
	if endpoint.Batch {
		backend := &batchBackend{
			Options:       f.Options,
			member:        started,
			client:        &http.Client{Transport: transport(f.Options, &idleLimit{})},
			filesInFlight: map[*batchFile]bool{},
			fileEnded:     make(chan *batchFile),
		}
		go backend.run(endpoint.Address)
		return started
	}
	backend := &streamBackend{Options: f.Options, member: started, idleLimit: &idleLimit{}, streams: f.streams}
	go backend.run(started.process)
	return started
}

// Adjust changes the limits under which backends are reached, from their next connections on.
func (f *Fleet) Adjust(dialTimeout, connIdle time.Duration, maxIdle, maxConnections int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.DialTimeout = dialTimeout
	f.ConnIdle = connIdle
	f.MaxIdle = maxIdle
	f.MaxConnections = maxConnections
	for _, backend := range f.backends {
		backend.postReliably(limitsChanged{dialTimeout: dialTimeout, connIdle: connIdle, maxIdle: maxIdle})
	}
}

// Send hands an attempt to its backend without blocking. It is false if the backend is not listed, or its mailbox full.
func (f *Fleet) Send(attempt *node.Attempt) bool {
	f.mu.Lock()
	backend, known := f.backends[attempt.Backend]
	f.mu.Unlock()
	if !known {
		return false
	}
	attempt.BackendDraining = backend.draining.Load
	return backend.post(sendAttempt{attempt})
}
