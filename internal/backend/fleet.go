// Package backend sends attempts to backends over HTTP. Each backend has a goroutine with a mailbox, and each attempt
// has a goroutine of its own. A streaming backend responds with a stream of events; a batch backend processes uploaded
// files of requests, in the format of the public batch API.
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
	"standpoint/internal/memory"
	"standpoint/internal/node"
	"standpoint/internal/work"
)

// Options are the settings for connections and requests to backends.
type Options struct {
	// DialTimeout is the maximum time to open a connection.
	DialTimeout time.Duration
	// BackendIdleTimeout is the idle time after which a backend closes a connection.
	BackendIdleTimeout time.Duration
	// MaxIdlePerBackend is the maximum number of idle connections to one backend.
	MaxIdlePerBackend int
	// MaxConnections is the number of connections to all backends above which idle connections are closed; 0 means no
	// limit.
	MaxConnections int
	// Batch holds the settings for batch backends.
	Batch BatchOptions
	// Dial opens connections to backends in place of a net.Dialer. It is nil except in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnWritten is called when the last byte of an attempt has been written; it may be nil.
	OnWritten func()
	// Memory bounds what the connections and responses hold; nil sets no bound.
	Memory *memory.Budget
	// Work bounds the rate, in bytes per second, at which responses are processed that come faster than a model writes;
	// nil sets no bound.
	Work *work.Limiter
	// Log receives the log entries of all backends.
	Log *zap.Logger

	// onOpen is called just before a connection is opened. The returned function is called when it is closed.
	onOpen func() (closed func())
}

// Fleet manages all backends. It implements node.Backends; its methods are safe for concurrent use.
type Fleet struct {
	mu sync.Mutex // guards Options, backends and recoveredFiles
	Options
	backends        map[string]backendHandle // by name
	recoveredFiles  map[*recoveredFile]bool  // files of earlier processes that have not ended
	streams         *runningStreams
	openConnections atomic.Int64
}

// New creates a Fleet without backends.
func New(options Options) *Fleet {
	f := &Fleet{
		Options:        options,
		backends:       map[string]backendHandle{},
		recoveredFiles: map[*recoveredFile]bool{},
		streams: &runningStreams{
			connections: map[*connection]*relay{},
			memory:      options.Memory,
			work:        options.Work,
			log:         options.Log,
		},
	}
	f.onOpen = f.countConnection
	return f
}

// countConnection counts a connection from just before it is opened until closed is called. Above MaxConnections, idle
// connections are closed to free descriptors for clients, for discovery, and for the backends that are in use.
func (f *Fleet) countConnection() (closed func()) {
	open := f.openConnections.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.MaxConnections > 0 && open > int64(f.MaxConnections) {
		for _, backend := range f.backends {
			backend.post(closeIdle{}) // if the mailbox is full, the next opened connection posts it again
		}
	}
	return sync.OnceFunc(func() { f.openConnections.Add(-1) })
}

// ConnectionCount returns the number of connections to backends that are open or being opened.
func (f *Fleet) ConnectionCount() int { return int(f.openConnections.Load()) }

// Update applies an endpoint list. Attempts that are in flight to a removed backend continue.
func (f *Fleet) Update(list node.EndpointList) {
	if list.Kind == standpoint.ListFailed {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Name] = endpoint.State != standpoint.Removed
		backend, known := f.backends[endpoint.Name]
		switch {
		case known:
			f.backends[endpoint.Name] = f.update(backend, endpoint)
		case endpoint.State != standpoint.Removed:
			f.backends[endpoint.Name] = f.start(endpoint)
		}
	}
	for name, backend := range f.backends {
		present, mentioned := listed[name]
		if mentioned && !present || !mentioned && list.Kind == standpoint.ListFull {
			f.remove(backend)
			delete(f.backends, name)
		}
	}
}

// update applies an entry of the endpoint list to a known backend.
func (f *Fleet) update(backend backendHandle, endpoint node.Endpoint) backendHandle {
	// The name now belongs to a backend of the other kind.
	if endpoint.State != standpoint.Removed && endpoint.Batch != backend.batch {
		f.remove(backend)
		return f.start(endpoint)
	}
	listed := process{address: endpoint.Address, startedAt: endpoint.StartedAt}
	if endpoint.Address != "" && listed != backend.process {
		backend.postReliably(processChanged{listed})
		backend.draining.Store(true) // attempts already dispatched were meant for the previous process
		backend.process = listed
		backend.draining = new(atomic.Bool)
	}
	if endpoint.State == standpoint.Ready && backend.draining.Load() { // ready again, for attempts decided on from now
		backend.draining = new(atomic.Bool)
	}
	if endpoint.State != standpoint.Ready {
		backend.draining.Store(true)
	}
	backend.listedDraining = endpoint.State == standpoint.Draining
	if backend.listedDraining {
		backend.postReliably(drainStarted{})
		f.cancelRecoveredFiles(endpoint.Name)
	}
	return backend
}

// remove stops new attempts to a backend and ends its goroutine. The caller holds f.mu.
func (f *Fleet) remove(backend backendHandle) {
	backend.draining.Store(true)
	backend.postReliably(backendRemoved{})
	f.cancelRecoveredFiles(backend.name)
}

// start starts the goroutine of a newly listed backend.
func (f *Fleet) start(endpoint node.Endpoint) backendHandle {
	started := backendHandle{
		name:     endpoint.Name,
		batch:    endpoint.Batch,
		mailbox:  make(chan message, mailboxSize),
		log:      f.Log,
		process:  process{address: endpoint.Address, startedAt: endpoint.StartedAt},
		draining: new(atomic.Bool),

		listedDraining: endpoint.State == standpoint.Draining,
	}
	started.draining.Store(endpoint.State != standpoint.Ready)
	if endpoint.Batch {
		backend := &batchBackend{
			Options:       f.Options,
			backendHandle: started,
			client:        f.batchClient(),
			gathered:      map[node.Journal][]*node.Attempt{},
			filesInFlight: map[*batchFile]bool{},
			fileEnded:     make(chan *batchFile),
		}
		go backend.run(endpoint.Address)
		return started
	}
	backend := &streamBackend{Options: f.Options, backendHandle: started, idleLimit: &idleLimit{}, streams: f.streams}
	go backend.run(started.process)
	return started
}

// batchClient returns a client for the calls to a batch backend.
func (f *Fleet) batchClient() *http.Client {
	connections := f.Options
	connections.OnWritten = nil // a call is not an attempt
	return &http.Client{Transport: transport(connections, &idleLimit{})}
}

// Adjust changes the connection limits; they apply to connections that are opened from then on.
func (f *Fleet) Adjust(dialTimeout, backendIdleTimeout time.Duration, maxIdlePerBackend, maxConnections int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.DialTimeout = dialTimeout
	f.BackendIdleTimeout = backendIdleTimeout
	f.MaxIdlePerBackend = maxIdlePerBackend
	f.MaxConnections = maxConnections
	for _, backend := range f.backends {
		backend.postReliably(limitsChanged{
			dialTimeout:        dialTimeout,
			backendIdleTimeout: backendIdleTimeout,
			maxIdlePerBackend:  maxIdlePerBackend,
		})
	}
}

// Send posts an attempt to its backend's mailbox without blocking. It returns false if the backend is not listed or its
// mailbox is full.
func (f *Fleet) Send(attempt *node.Attempt) bool {
	f.mu.Lock()
	backend, known := f.backends[attempt.Backend]
	f.mu.Unlock()
	if !known {
		return false
	}
	attempt.IsBackendDraining = backend.draining.Load
	return backend.post(sendAttempt{attempt})
}
