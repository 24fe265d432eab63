// Package rig tests a fleet of several real processes of the program against invariants. It runs the nodes with
// emulated backends that record what they receive and serve, clients that generate random load, relays that inject
// network faults between the nodes, kills, suspensions and clock offsets, all drawn from a seed. Then it ends all
// faults and checks invariants, which hold for every order of events, so that the verdict is the same every time.
package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"standpoint/internal/lab/faults"
)

// Options are the options of a rig.
type Options struct {
	Program         string // the path of the executable that the nodes run
	PreviousProgram string // the path of an earlier version, which the last PreviousNodes nodes run instead
	PreviousNodes   int
	Dir             string // a directory for the rig alone, which must be empty
	Nodes           int    // 3 to 7; all except the sites are members of the store
	Sites           int    // how many of the nodes, the last ones, are sites with a connection to the core nodes
	NoProcessFaults bool   // faults are limited to the network and the clocks: no kills and suspensions
	Backends        int
	Seed            uint64
	Tenants         []Tenant
	BudgetWindow    time.Duration // the window of the budgets
	MaxClockOffset  time.Duration // the bound of the random offset, in either direction, of each node's clock
	TokenInterval   time.Duration // the time between two tokens of a backend
	ExtraConfig     string        // text appended to each node's operator file, with the node's name in place of NODE
	Log             func(format string, args ...any)
}

// Tenant is a tenant with its budget and overdraft in tokens per window. Amount 0 stands for no budget.
type Tenant struct {
	Name              string
	Amount, Overdraft int64
}

// Rig is a fleet of node processes with their backends and the network between the nodes.
type Rig struct {
	Options
	Network  *faults.Network
	Record   *BackendRecord // shared by all backends
	Backends []*Backend
	Nodes    []*Node

	rng *rand.Rand
}

// controlToken is the bearer token of the nodes' control interfaces.
const controlToken = "a-token-that-is-long-enough"

// New writes the nodes' files and starts the backends and relays. StartAll starts the nodes.
func New(options Options) (*Rig, error) {
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	r := &Rig{
		Options: options,
		Network: faults.New(options.Seed),
		Record:  NewBackendRecord(),
		rng:     rand.New(rand.NewPCG(options.Seed, 5)),
	}
	for range options.Backends {
		backend, err := StartBackend(r.Record, options.TokenInterval)
		if err != nil {
			return nil, err
		}
		r.Backends = append(r.Backends, backend)
	}
	nodes, err := findNodeAddresses(options.Nodes)
	if err != nil {
		return nil, err
	}
	token := filepath.Join(options.Dir, "token")
	if err := os.WriteFile(token, []byte(controlToken), 0o600); err != nil {
		return nil, err
	}
	for i := range options.Nodes {
		node := &Node{
			Name:           nodeName(i),
			program:        options.nodeProgram(i),
			Address:        nodes[i].client,
			ControlAddress: nodes[i].control,
			configPath:     filepath.Join(options.Dir, nodeName(i)+".toml"),
			logPath:        filepath.Join(options.Dir, nodeName(i)+".log"),
			rig:            r,
		}
		text, err := r.operatorFile(i, nodes, token)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(node.configPath, []byte(text), 0o600); err != nil {
			return nil, err
		}
		r.Nodes = append(r.Nodes, node)
	}
	return r, nil
}

// nodeProgram returns the path of the executable that the node with a number runs.
func (o Options) nodeProgram(number int) string {
	if number >= o.Nodes-o.PreviousNodes {
		return o.PreviousProgram
	}
	return o.Program
}

// leaseDuration returns the duration of the leases of member slots. It is long where sites may be isolated.
func (o Options) leaseDuration() time.Duration {
	if o.Sites > 0 {
		return 10 * time.Minute
	}
	return 5 * time.Second
}

// Close kills all of the rig's processes and stops the relays and backends.
func (r *Rig) Close() {
	for _, node := range r.Nodes {
		node.Kill()
	}
	r.Network.Close()
	for _, backend := range r.Backends {
		backend.Close()
	}
}

// StartAll starts all nodes and waits until WaitTogether succeeds.
func (r *Rig) StartAll(ctx context.Context) error {
	for _, node := range r.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return r.WaitTogether(ctx, 30*time.Second)
}

// WaitTogether waits until every node receives messages from every other, has a lease on its member slot and is in the
// connectivity state "together".
func (r *Rig) WaitTogether(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lastStatus := "no status received"
	for {
		all := true
		for _, node := range r.Nodes {
			if err := node.UnexpectedExit(); err != nil {
				return err
			}
			status, err := node.Status(ctx)
			ok := err == nil && status.State == "together" && status.LeaseRemaining > 0
			for _, peer := range status.Peers {
				ok = ok && peer.Alive
			}
			if !ok {
				all = false
				lastStatus = fmt.Sprintf(
					"%s: error %v, state %s, lease of %.1f s, peers %+v",
					node.Name,
					err,
					status.State,
					status.LeaseRemaining,
					status.Peers,
				)
			}
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not all nodes are together after %v: %s", timeout, lastStatus)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
