// Package rig plays several real processes of the program against each other: emulated boxes that keep a ledger of
// their own, clients with random load, relays that do to the nodes' messages what networks do, kills, stalls and
// clocks that are off, all by a seed; then it heals everything, and checks. What it checks are invariants, so that
// the verdict is the same every time.
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

// Options are what a rig is made of.
type Options struct {
	Program string
	// Previous is an earlier program that the last Older nodes run in place of Program.
	Previous       string
	Older          int
	Dir            string // empty, and the rig's own
	Nodes          int    // 3 to 7; all of them members of the store, but for the sites
	Sites          int    // of these, the last ones: building sites with a line to the halls
	NoKills        bool   // troubles are those of messages and clocks alone
	Backends       int
	Seed           uint64
	Tenants        []Tenant
	BudgetWindow   time.Duration
	MaxClockOffset time.Duration // by which nodes' clocks are off, each way, at the most
	TokenInterval  time.Duration // of the boxes
	Config         string        // further text of each node's file
	Log            func(format string, args ...any)
}

// Tenant is a tenant and its budget, with an overdraft; Amount 0: none.
type Tenant struct {
	Name              string
	Amount, Overdraft int64
}

// Rig is the processes and what is round them.
type Rig struct {
	Options
	Net      *faults.Net
	Ledger   *Ledger
	Backends []*Backend
	Nodes    []*Node

	rng *rand.Rand
}

// controlToken is the token of the nodes' control interfaces.
const controlToken = "a-token-that-is-long-enough"

// New writes the nodes' files and starts backends and relays; StartAll starts the nodes themselves.
func New(o Options) (*Rig, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	r := &Rig{
		Options: o,
		Net:     faults.New(o.Seed),
		Ledger:  NewLedger(),
		rng:     rand.New(rand.NewPCG(o.Seed, 5)),
	}
	for range o.Backends {
		box, err := StartBackend(r.Ledger, o.TokenInterval)
		if err != nil {
			return nil, err
		}
		r.Backends = append(r.Backends, box)
	}
	nodes, err := nodeAddresses(o.Nodes)
	if err != nil {
		return nil, err
	}
	token := filepath.Join(o.Dir, "token")
	if err := os.WriteFile(token, []byte(controlToken), 0o600); err != nil {
		return nil, err
	}
	for i := range o.Nodes {
		n := &Node{
			Name:    nodeName(i),
			program: o.programOf(i),
			Front:   nodes[i].front,
			Control: nodes[i].control,
			file:    filepath.Join(o.Dir, nodeName(i)+".toml"),
			log:     filepath.Join(o.Dir, nodeName(i)+".log"),
			rig:     r,
		}
		text, err := r.nodeFile(i, nodes, token)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		r.Nodes = append(r.Nodes, n)
	}
	return r, nil
}

// programOf is what the node of that number runs.
func (o Options) programOf(number int) string {
	if number >= o.Nodes-o.Older {
		return o.Previous
	}
	return o.Program
}

// lease is for how long seats are given: for long where sites may be alone.
func (o Options) lease() time.Duration {
	if o.Sites > 0 {
		return 10 * time.Minute
	}
	return 5 * time.Second
}

// Close ends all processes that the rig has started, and what is round them.
func (r *Rig) Close() {
	for _, n := range r.Nodes {
		n.Kill()
	}
	r.Net.Close()
	for _, b := range r.Backends {
		b.Close()
	}
}

// StartAll starts all nodes, and waits until they are together and have their seats.
func (r *Rig) StartAll(ctx context.Context) error {
	for _, n := range r.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return r.Together(ctx, 30*time.Second)
}

// Together waits until every node hears every other, has its seat, and is together with the others by its mode.
func (r *Rig) Together(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	last := "nothing was heard of them"
	for {
		all := true
		for _, n := range r.Nodes {
			if err := n.Died(); err != nil {
				return err
			}
			s, err := n.Status(ctx)
			ok := err == nil && s.State == "together" && s.LeaseRemaining > 0
			for _, p := range s.Peers {
				ok = ok && p.Alive
			}
			if !ok {
				all = false
				last = fmt.Sprintf(
					"%s: %v, %s, lease of %.1f s, peers %+v",
					n.Name,
					err,
					s.State,
					s.LeaseRemaining,
					s.Peers,
				)
			}
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not all are together after %v: %s", within, last)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
