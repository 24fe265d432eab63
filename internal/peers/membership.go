package peers

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/browser"
)

// idleInterval is how long Run sleeps when no observation is due.
const idleInterval = time.Hour

// Options configures a Membership.
type Options struct {
	// Name is the name of this node, which is the label of its service instance.
	Name string
	// Address is the host:port address at which this node accepts clients.
	Address string
	// BrowserOptions specifies the service and the DNS server with which nodes are discovered and registered. Run sets its
	// Publish.
	BrowserOptions browser.Options
	// Publish enables the registration of this node at the DNS server.
	Publish bool
	// Lease is the time after which the server may drop a registration that is not renewed (RFC 9664).
	Lease time.Duration
	// HoldTime is how long fewer nodes must be observed before the count decreases.
	HoldTime time.Duration
	// MinNodes is the lowest count.
	MinNodes int
	// OnCountChanged is called by Run with each new count; it must not block.
	OnCountChanged func(count int)
	// Log must be set.
	Log *zap.Logger
}

// Node is a discovered node.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Membership discovers the nodes, and registers this node. Nodes may be called concurrently with Run.
type Membership struct {
	Options
	nodes atomic.Pointer[[]Node]
	count atomic.Int64
}

// New returns a Membership, which Run starts.
func New(o Options) *Membership {
	m := &Membership{Options: o}
	m.count.Store(int64(max(1, o.MinNodes)))
	return m
}

// Nodes returns the nodes that were last discovered, and the count in effect, which may differ from their number.
func (m *Membership) Nodes() (nodes []Node, count int) {
	if found := m.nodes.Load(); found != nil {
		nodes = *found
	}
	return nodes, int(m.count.Load())
}

// Run discovers nodes until ctx ends, and then removes this node's registration. It may be called once.
func (m *Membership) Run(ctx context.Context) {
	snapshots := make(chan browser.Snapshot, 1)
	m.BrowserOptions.Publish = func(s browser.Snapshot) {
		// A newer snapshot replaces one that is not handled yet. There is one sender, so the send below does not block.
		select {
		case <-snapshots:
		default:
		}
		snapshots <- s
	}
	browsed := make(chan struct{})
	go func() {
		defer close(browsed)
		browser.New(m.BrowserOptions).Run(ctx)
	}()
	deregistered := make(chan struct{})
	go func() {
		defer close(deregistered)
		m.register(ctx)
	}()
	m.observe(ctx, snapshots)
	<-browsed
	<-deregistered
}

// observe counts the nodes of each snapshot until ctx ends.
func (m *Membership) observe(ctx context.Context, snapshots <-chan browser.Snapshot) {
	count := NodeCount{HoldTime: int64(m.HoldTime), Minimum: m.MinNodes}
	listed := 0
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-snapshots:
			listed = len(snapshot.Instances) // including those whose records are still being queried
			m.storeNodes(snapshot)
		case <-timer.C:
		}
		if count.Observe(listed, clock.Now()) {
			m.count.Store(int64(count.Current()))
			m.Log.Info("node count changed", zap.Int("nodes", count.Current()))
			m.OnCountChanged(count.Current())
		}
		wait := idleInterval
		if next := count.NextObservation(); next != 0 {
			wait = max(time.Millisecond, time.Duration(next-clock.Now()))
		}
		timer.Reset(wait)
	}
}

// storeNodes stores the nodes of a snapshot whose records are complete, as the result of Nodes.
func (m *Membership) storeNodes(snapshot browser.Snapshot) {
	nodes := []Node{}
	for _, instance := range snapshot.Instances {
		if instance.Fault == nil {
			nodes = append(nodes, Node{Name: instance.Label, Address: instance.Address.String()})
		}
	}
	m.nodes.Store(&nodes)
}
