// Package testpeer provides helpers for tests: scripted backends on loopback sockets, and a node that runs in the
// test's process and is connected to them. Only tests use it.
package testpeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/backend"
	"standpoint/internal/config"
	"standpoint/internal/edge"
	"standpoint/internal/metrics"
	"standpoint/internal/node"
)

const (
	maxRequests    = 300     // open requests of a node at the same time
	maxConnections = 300     // client connections of a node at the same time
	maxBodyBytes   = 8 << 20 // request bodies of a node in total
)

// Settings returns the settings of a small deployment with one class and one tenant.
func Settings() standpoint.Settings {
	return standpoint.Settings{
		Gateways:      1,
		Zones:         1,
		Kinds:         1,
		MaxAttempts:   3,
		EventInterval: int64(2 * time.Millisecond),
		Reports:       standpoint.ReportResponses,
		Cancel:        true,
		RetryAfter:    true,
		MaxRetryAfter: int64(2 * time.Second),
		Classes: []standpoint.Class{{
			Streamed:      true,
			TTFTObjective: int64(2500 * time.Millisecond),
			Deadline:      int64(10 * time.Second),
			Weight:        2,
		}},
		Tenants: []standpoint.Tenant{{Share: 1}},
	}
}

// Names are the names of the classes, tenants, zones and kinds of Settings.
var Names = config.Names{
	Classes: []string{"chat"},
	Tenants: []string{"acme"},
	Zones:   []string{"a"},
	Kinds:   []string{"m"},
}

// Node is a node that runs in the test's process, on loopback and without discovery: its core, its backends and its
// HTTP server. It stops when the test ends.
type Node struct {
	Core        *node.Core
	Backends    *backend.Fleet
	Lifecycle   *node.Lifecycle
	Connections *edge.ConnectionTracker
	Bodies      *node.TenantLimiter
	Metrics     *metrics.Counters
	Server      *http.Server
	URL         string // the base URL of Server
	Address     string // the listen address of Server

	requestCount atomic.Uint64 // requests made by Chat, which takes their ids from it
	t            testing.TB
}

// DialFunc is a function that opens a connection to a backend.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Start starts a node with the given settings and endpoint list.
func Start(t testing.TB, settings standpoint.Settings, endpoints ...node.Endpoint) *Node {
	t.Helper()
	return start(t, startOptions{settings: settings, endpoints: endpoints})
}

// StartLogged is Start with a logger whose output the test checks.
func StartLogged(t testing.TB, log *zap.Logger, settings standpoint.Settings, endpoints ...node.Endpoint) *Node {
	t.Helper()
	return start(t, startOptions{log: log, settings: settings, endpoints: endpoints})
}

// StartDialing is StartLogged with a function that dials backends; nil stands for the default one.
func StartDialing(t testing.TB, log *zap.Logger, settings standpoint.Settings, dial DialFunc,
	endpoints ...node.Endpoint) *Node {
	t.Helper()
	return start(t, startOptions{log: log, dial: dial, settings: settings, endpoints: endpoints})
}

// StartWithFleet is Start with the state that the node shares with others.
func StartWithFleet(t testing.TB, fleet node.Fleet, settings standpoint.Settings, endpoints ...node.Endpoint) *Node {
	t.Helper()
	return start(t, startOptions{fleet: fleet, settings: settings, endpoints: endpoints})
}

// StartWrapped is Start with a function that wraps each connection that the node accepts and a function that dials
// backends; nil stands for the default dial function.
func StartWrapped(t testing.TB, wrap func(net.Conn) net.Conn, dial DialFunc, settings standpoint.Settings,
	endpoints ...node.Endpoint) *Node {
	t.Helper()
	listen := func(l net.Listener) net.Listener { return wrappedListener{l, wrap} }
	return start(t, startOptions{listen: listen, dial: dial, settings: settings, endpoints: endpoints})
}

// startOptions are the options of start.
type startOptions struct {
	log       *zap.Logger                     // nil: nothing is logged
	listen    func(net.Listener) net.Listener // wraps the listener for clients; nil: it is not wrapped
	dial      DialFunc                        // dials backends; nil: the default one
	fleet     node.Fleet                      // nil: the node shares no state with others
	settings  standpoint.Settings
	endpoints []node.Endpoint
}

// start assembles a node and starts it. At its end the test fails if more than one in 200 of the node's requests failed
// without having been sent to a backend.
func start(t testing.TB, options startOptions) *Node {
	t.Helper()
	if options.log == nil {
		options.log = zap.NewNop()
	}
	n := &Node{Lifecycle: &node.Lifecycle{}, Bodies: node.NewTenantLimiter(maxBodyBytes, 1), t: t}
	n.Metrics = metrics.New(Names.Classes, func() int { return n.Core.OpenRequests() })
	n.Backends = newBackends(options)
	n.Backends.OnWritten = n.Metrics.CountAttempt
	n.Core = node.New(node.Options{
		Settings:    options.settings,
		Seed:        1,
		MaxRequests: maxRequests,
		Backends:    n.Backends,
		Watcher:     emptyWatcher{},
		Fleet:       options.fleet,
		Metrics:     n.Metrics,
		Log:         options.log,
	})
	n.UpdateEndpoints(options.endpoints...)
	ctx, cancel := context.WithCancel(context.Background())
	var core sync.WaitGroup
	core.Go(func() { n.Core.Run(ctx) })
	n.listen(options)
	// The test's end closes the server but does not wait for Serve to return: a test may block an accept, and its
	// cleanup would hang after a failure.
	go func() { _ = n.Server.Serve(n.Connections) }()
	t.Cleanup(func() {
		require.LessOrEqual(t, 200*n.Metrics.FailedUnsentCount(metrics.Abandoned), n.Metrics.RequestTotal())
		n.Server.Close()
		cancel()
		core.Wait()
	})
	require.NoError(t, n.Lifecycle.Enter(node.Serving))
	return n
}

// newBackends creates the node's backend connections, with short timeouts.
func newBackends(options startOptions) *backend.Fleet {
	return backend.New(backend.Options{
		DialTimeout:        100 * time.Millisecond,
		BackendIdleTimeout: 15 * time.Second,
		MaxIdlePerBackend:  10,
		Dial:               options.dial,
		Log:                options.log,
		Batch: backend.BatchOptions{
			GatherTime:   30 * time.Millisecond,
			MaxLines:     50,
			PollInterval: 20 * time.Millisecond,
			LostTimeout:  500 * time.Millisecond,
		},
	})
}

// listen opens the listener for clients and creates the HTTP server for it.
func (n *Node) listen(options startOptions) {
	n.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(n.t, err)
	n.Address = listener.Addr().String()
	n.URL = "http://" + n.Address
	if options.listen != nil {
		listener = options.listen(listener)
	}
	n.Connections = edge.NewConnectionTracker(listener, maxConnections, options.log)
	n.Connections.Metrics = n.Metrics
	front := &edge.Front{
		Core:        n.Core,
		Lifecycle:   n.Lifecycle,
		Names:       Names,
		BodyLimiter: n.Bodies,
		Metrics:     n.Metrics,
		Log:         options.log,
	}
	n.Server = edge.NewServer(front.Handler(), n.Connections, options.log)
}

// emptyWatcher is a node.EndpointWatcher that delivers no endpoint lists.
type emptyWatcher struct{}

// Watch implements node.EndpointWatcher.
func (emptyWatcher) Watch() {}

// Dial opens a client connection to the node, which is closed when the test ends.
func (n *Node) Dial() net.Conn {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.Address)
	require.NoError(n.t, err)
	n.t.Cleanup(func() { conn.Close() })
	return conn
}

// UpdateEndpoints passes a full endpoint list to the node's core.
func (n *Node) UpdateEndpoints(endpoints ...node.Endpoint) {
	n.Core.UpdateEndpoints(node.EndpointList{Kind: standpoint.ListFull, Endpoints: endpoints})
}

// WaitForCore waits until the node's core has handled all messages sent to it before the call.
func (n *Node) WaitForCore() {
	n.t.Helper()
	require.NotNil(n.t, n.Core.ExportLearned(n.t.Context()))
}
