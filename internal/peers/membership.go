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

// Options configure a Membership.
type Options struct {
	// Name is this node's, the label of its instance.
	Name string
	// Address is that of its front, host:port.
	Address string
	// Browse says where nodes are found, and registered. Its Publish is set by Run.
	Browse browser.Options
	// Publish has this node registered at the DNS server.
	Publish bool
	// Lease is the time after which the server may drop a registration that is not renewed (RFC 9664).
	Lease time.Duration
	// HoldTime is how long there must be fewer nodes before they are counted as fewer.
	HoldTime time.Duration
	// MinNodes is the lowest count.
	MinNodes int
	// OnCountChanged is called by Run with each new count; it must not block.
	OnCountChanged func(count int)
	// Log is required.
	Log *zap.Logger
}

// Node is a node that was found.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Membership finds the nodes, and registers its own. Nodes may be called concurrently with Run.
type Membership struct {
	Options
	nodes atomic.Pointer[[]Node]
	count atomic.Int64
}

// New makes a Membership; Run starts it.
func New(o Options) *Membership {
	m := &Membership{Options: o}
	m.count.Store(int64(max(1, o.MinNodes)))
	return m
}

// Nodes are those that were last found, and the count in force, which may differ.
func (m *Membership) Nodes() (nodes []Node, count int) {
	if found := m.nodes.Load(); found != nil {
		nodes = *found
	}
	return nodes, int(m.count.Load())
}

// Run finds nodes until ctx ends; then it removes this node's registration. It may be called once.
func (m *Membership) Run(ctx context.Context) {
	snapshots := make(chan browser.Snapshot, 1)
	m.Browse.Publish = func(s browser.Snapshot) {
		// Only the latest counts. There is one sender, so that the second send does not block.
		select {
		case <-snapshots:
		default:
		}
		snapshots <- s
	}
	browsed := make(chan struct{})
	go func() {
		defer close(browsed)
		browser.New(m.Browse).Run(ctx)
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
			listed = len(snapshot.Instances) // those whose records are still being queried among them
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

// storeNodes keeps the nodes of a snapshot whose records are complete.
func (m *Membership) storeNodes(snapshot browser.Snapshot) {
	nodes := []Node{}
	for _, instance := range snapshot.Instances {
		if instance.Fault == nil {
			nodes = append(nodes, Node{Name: instance.Label, Address: instance.Address.String()})
		}
	}
	m.nodes.Store(&nodes)
}
