// Package fleet is the actor round one member of a fleet (internal/fleet/member): it sends and receives, maintains
// the lease of the node's slot, and serves the core. The library memberlist knows which nodes are there, and
// carries the messages between them; what is shared, and within which bounds, is decided by the packages below this
// one.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/lease"
	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/fleet/site"
	"standpoint/internal/store"
)

// mailboxSize is how many messages may wait to be handled. Those beyond it are dropped.
const mailboxSize = 512

// SlotAddress is a member slot, and where this node reaches it.
type SlotAddress struct {
	Name    string
	Address string
}

// Options configure a Fleet. Function fields are called from any goroutine, and must not wait.
type Options struct {
	// MemberConfig is the protocol's configuration, but for the owner and the seed, which Open fills in.
	MemberConfig member.Config

	SlotName      string        // this node's
	Listen        string        // UDP and TCP
	Dir           string        // the node's own directory
	Slots         []SlotAddress // in the order of MemberConfig.Slots
	LeaseDuration time.Duration // for which the slot is claimed
	// CoreSlots are those whose store decides for the fleet; none: all of them. A slot that is none of these is
	// that of a site.
	CoreSlots  []string
	SiteTiming site.Timing

	ClassNames       []string
	TenantNames      []string
	TokenBudgets     []int           // by tenant: the budget of its tokens; -1: none
	OverdraftClasses []bool          // by class: whether it may use the overdraft while this node is isolated
	RetryBudget      int             // the budget of retries; -1: none
	SessionBudgets   []SessionBudget // of paused sessions

	RecordUsage func(ledger.Entry) bool // nil: there is no ledger
	LedgerFull  func() bool             // nil: it never is
	// LedgerBehind reports whether this ledger or that of the core lacks entries of the other; nil: neither does.
	LedgerBehind func() bool

	Store       store.Store
	Advise      func(*standpoint.Advice) // the decision module's; nil: nobody's
	ClockOffset time.Duration            // that this node's clock is off by, for tests
	Invariants  *invariant.Monitor
	Log         *zap.Logger
}

// SessionBudget is a budget of paused sessions: of one tenant, or, where that is -1, of all.
type SessionBudget struct {
	Budget int
	Tenant int
}

// Counters that a node keeps. From FirstTenantCounter on there is one for each tenant: its tokens.
const (
	RequestCounter = iota
	TokenCounter
	FirstTenantCounter
)

// Fleet is the actor. It is safe for concurrent use.
type Fleet struct {
	Options
	directory    *lease.Directory
	incarnation  uint64
	predecessors []uint64
	addresses    map[string]string // by slot name
	memberlist   *memberlist.Memberlist
	mailbox      chan []byte

	droppedMessages atomic.Uint64
	sentBytes       atomic.Uint64 // of packets and calls

	// mu guards what follows.
	mu                sync.Mutex
	member            *member.Member
	lease             quota.Lease
	siteConnectivity  *site.Machine     // nil: this slot is one of the core's
	consecutiveErrors map[string]int    // by backend
	backendNames      map[uint64]string // by the hash of their names
	backendStarts     map[string]int64  // by backend, as listed
	backendZones      map[string]int    // by backend
	rejectedRequests  uint64

	// callsMu guards what follows.
	callsMu      sync.Mutex
	pendingCalls map[uint64]chan rpcResponse
	nextCallID   uint64
	handlers     map[string]handler
	coreLeader   string // as a site last found it; "": not known

	callSemaphore chan struct{} // holds an element for each call of another node that is being handled
}

// Open locks the node's directory and joins the member list. Run has to be called next, Close in the end.
func Open(options Options) (*Fleet, error) {
	f := newFleet(options)
	var err error
	f.directory, f.incarnation, f.predecessors, err = lease.Open(f.Dir, f.Now())
	if err != nil {
		return nil, fmt.Errorf("fleet.dir: %w", err)
	}
	f.MemberConfig.Owner = quota.Owner{Slot: f.slotIndex(f.SlotName), Incarnation: f.incarnation}
	f.MemberConfig.Seed = f.incarnation
	f.member = member.New(f.MemberConfig, f.Now(), f.Invariants)
	if f.IsSite() {
		f.siteConnectivity = site.New(f.SiteTiming, f.Now(), f.Invariants)
	}
	f.HandleOnLeader(claimMethod, f.handleLeaseClaim)
	if err := f.join(); err != nil {
		return nil, errors.Join(err, f.directory.Close())
	}
	return f, nil
}

// newFleet returns an actor without a member, a directory and a member list.
func newFleet(options Options) *Fleet {
	f := &Fleet{
		Options:           options,
		addresses:         map[string]string{},
		mailbox:           make(chan []byte, mailboxSize),
		consecutiveErrors: map[string]int{},
		backendNames:      map[uint64]string{},
		backendStarts:     map[string]int64{},
		backendZones:      map[string]int{},
		pendingCalls:      map[uint64]chan rpcResponse{},
		handlers:          map[string]handler{},
		callSemaphore:     make(chan struct{}, maxConcurrentCalls),
	}
	for _, slot := range options.Slots {
		f.addresses[slot.Name] = slot.Address
	}
	return f
}

// slotIndex is the index of a slot; -1: there is none of that name.
func (f *Fleet) slotIndex(name string) int {
	return slices.IndexFunc(f.Slots, func(s SlotAddress) bool { return s.Name == name })
}

// Run works until ctx ends. It does not wait for calls of other nodes that are still being handled; these end by
// callTimeout.
func (f *Fleet) Run(ctx context.Context) {
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { f.maintainLease(ctx) })
	gossip := time.NewTicker(f.MemberConfig.GossipInterval)
	defer gossip.Stop()
	rejoin := time.NewTicker(rejoinInterval)
	defer rejoin.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-gossip.C:
			f.tick()
		case <-rejoin.C:
			f.rejoin()
		case message := <-f.mailbox:
			f.handleMessage(ctx, message)
		}
	}
}

// Close leaves the fleet, and unlocks the node's directory.
func (f *Fleet) Close() error {
	const leaveTimeout = 200 * time.Millisecond
	return errors.Join(f.memberlist.Leave(leaveTimeout), f.memberlist.Shutdown(), f.directory.Close())
}

// Now is the time by this node's clock, in Unix nanoseconds.
func (f *Fleet) Now() int64 { return clock.Now() + int64(f.ClockOffset) }

// Owner is this incarnation of the node, in its slot.
func (f *Fleet) Owner() quota.Owner { return f.MemberConfig.Owner }

// Identity is this incarnation of the node, and those of its directory that have ended.
func (f *Fleet) Identity() (slot string, incarnation uint64, predecessors []uint64) {
	return f.SlotName, f.incarnation, f.predecessors
}

// IsSite reports that this node's slot is none of the core's: its own store decides nothing for the fleet.
func (f *Fleet) IsSite() bool {
	return len(f.CoreSlots) > 0 && !slices.Contains(f.CoreSlots, f.SlotName)
}

// RateFactor is the part of its usual rate, from 0 to 1, at which this node takes on what others left.
func (f *Fleet) RateFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.Slots) < 2 {
		return 1
	}
	return f.member.Connectivity.RateFactor(f.Now())
}

// isolated reports that this node is cut off from a majority of the others, or, if it is a site's, from the core.
// f.mu is held.
func (f *Fleet) isolated() bool {
	if f.siteConnectivity != nil {
		state, _ := f.siteConnectivity.Current()
		return state == site.Isolated || state == site.Reconciling
	}
	state, _ := f.member.Connectivity.Current()
	return state == connectivity.Minority || state == connectivity.Isolated
}

// coreAlive reports that a core slot is alive. f.mu is held.
func (f *Fleet) coreAlive() bool {
	for i, slot := range f.Slots {
		if slices.Contains(f.CoreSlots, slot.Name) && f.member.IsAlive(i) {
			return true
		}
	}
	return false
}
