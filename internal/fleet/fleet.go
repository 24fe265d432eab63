// Package fleet runs one member of a fleet as an actor (internal/fleet/member has its protocol): it sends and
// receives messages, maintains the lease of the node's slot, and serves the request core. The memberlist library
// detects which nodes are up and carries the messages between them. The packages below this one decide what
// nodes share, and within which bounds.
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

// mailboxSize is the maximum number of received messages that wait to be handled. Further ones are dropped.
const mailboxSize = 512

// SlotAddress is a member slot and the address at which this node reaches it.
type SlotAddress struct {
	Name    string
	Address string
}

// Options configure a Fleet. Function fields are called from any goroutine, and must not block.
type Options struct {
	// MemberConfig is the configuration of the protocol. Open fills in the owner and the seed.
	MemberConfig member.Config

	SlotName      string        // name of this node's slot
	Listen        string        // host:port to listen on, UDP and TCP
	Dir           string        // directory of this node's persistent state
	Slots         []SlotAddress // all member slots, in the order of MemberConfig.Slots
	LeaseDuration time.Duration // duration of the slot's lease, requested with each claim
	// CoreSlots are the slots whose nodes run the store that decides for the fleet. If empty, all slots do. Every
	// other slot is that of a remote site.
	CoreSlots  []string
	SiteTiming site.Timing

	ClassNames       []string        // class names by index, for ledger entries
	TenantNames      []string        // tenant names by index, for ledger entries
	TokenBudgets     []int           // by tenant: index of its token budget, or -1 for none
	OverdraftClasses []bool          // by class: whether it may use the overdraft while this node is isolated
	RetryBudget      int             // index of the retry budget, or -1 for none
	SessionBudgets   []SessionBudget // budgets of paused sessions

	// RecordUsage writes an entry to the ledger, and reports whether it was accepted. Nil if there is no ledger.
	RecordUsage func(ledger.Entry) bool
	// LedgerFull reports whether the ledger accepts no entries for now. Nil if it always accepts them.
	LedgerFull func() bool
	// LedgerOutOfSync reports whether this node's ledger is known to lack entries of another. Nil if there is no ledger.
	LedgerOutOfSync func() bool

	Store       store.Store
	Advise      func(*standpoint.Advice) // passes advice to the decision module; nil to discard it
	ClockOffset time.Duration            // offset added to this node's clock, for tests
	Invariants  *invariant.Monitor
	Log         *zap.Logger
}

// SessionBudget is a budget that limits paused sessions.
type SessionBudget struct {
	Budget int // index of the budget
	Tenant int // tenant whose sessions it limits, or -1 for all tenants
}

// Indexes of the counters of a node. From FirstTenantCounter on there is one for each tenant, of its tokens.
const (
	RequestCounter = iota
	TokenCounter
	FirstTenantCounter
)

// Fleet is the actor of one node. It is safe for concurrent use.
type Fleet struct {
	Options
	directory    *lease.Directory
	incarnation  uint64
	predecessors []uint64          // earlier incarnations of the same directory that may hold the slot's lease
	addresses    map[string]string // addresses by slot name
	memberlist   *memberlist.Memberlist
	mailbox      chan []byte // received messages that wait to be handled

	droppedMessages atomic.Uint64 // messages dropped because the mailbox was full
	sentBytes       atomic.Uint64 // bytes of packets and RPC messages sent

	// mu guards the fields from here to callsMu.
	mu                sync.Mutex
	member            *member.Member
	lease             quota.Lease
	siteConnectivity  *site.Machine     // nil if this slot is a core slot
	consecutiveErrors map[string]int    // errors of the backend since its latest success, by backend name
	backendNames      map[uint64]string // names of the ready backends, by the hash of the name
	backendStarts     map[string]int64  // start times of the ready backends, Unix nanoseconds, by name
	backendZones      map[string]int    // zones of the ready backends, by name
	rejectedRequests  uint64            // requests rejected for lack of quota

	// callsMu guards the fields from here to callSemaphore.
	callsMu      sync.Mutex
	pendingCalls map[uint64]chan rpcResponse // channels that receive the responses, by call ID
	latestCallID uint64                      // ID of the latest call
	handlers     map[string]handler          // handlers by method
	coreLeader   string                      // the core's leader as a site last found it; "" if not known

	callSemaphore chan struct{} // has an element for each call of another node that is being handled
}

// Open locks the node's directory and joins the member list. The caller calls Run next, and Close at the end.
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
	if f.IsRemoteSite() {
		f.siteConnectivity = site.New(f.SiteTiming, f.Now(), f.Invariants)
	}
	f.HandleOnLeader(claimMethod, f.handleLeaseClaim)
	if err := f.join(); err != nil {
		return nil, errors.Join(err, f.directory.Close())
	}
	return f, nil
}

// newFleet returns an actor that has no member, directory or member list yet.
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

// slotIndex returns the index of the slot with a name, or -1 if there is none.
func (f *Fleet) slotIndex(name string) int {
	return slices.IndexFunc(f.Slots, func(s SlotAddress) bool { return s.Name == name })
}

// Run handles messages and timers, and maintains the lease, until ctx is done. It does not wait for calls of other
// nodes that are still being handled; these end within callTimeout.
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

// Now returns the time by this node's clock, in Unix nanoseconds.
func (f *Fleet) Now() int64 { return clock.Now() + int64(f.ClockOffset) }

// Owner returns this incarnation of the node and its slot.
func (f *Fleet) Owner() quota.Owner { return f.MemberConfig.Owner }

// Identity returns the slot, this incarnation of the node, and the earlier incarnations of its directory that may hold
// the slot's lease. All of these have ended.
func (f *Fleet) Identity() (slot string, incarnation uint64, predecessors []uint64) {
	return f.SlotName, f.incarnation, f.predecessors
}

// IsRemoteSite reports whether this node is at a remote site, that is, in no core slot. The store of such a node
// decides nothing for the fleet.
func (f *Fleet) IsRemoteSite() bool {
	return len(f.CoreSlots) > 0 && !slices.Contains(f.CoreSlots, f.SlotName)
}

// RateFactor returns the fraction of the usual rate, from 0 to 1, at which this node takes over the work of others. It
// is 1 if the fleet has a single slot.
func (f *Fleet) RateFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.Slots) < 2 {
		return 1
	}
	return f.member.Connectivity.RateFactor(f.Now())
}

// isolated reports whether this node is cut off from a majority of the fleet. At a remote site it reports whether the
// site is cut off from the core, or has not completed reconciliation with it. The caller holds f.mu.
func (f *Fleet) isolated() bool {
	if f.siteConnectivity != nil {
		state, _ := f.siteConnectivity.Current()
		return state == site.Isolated || state == site.Reconciling
	}
	state, _ := f.member.Connectivity.Current()
	return state == connectivity.Minority || state == connectivity.Isolated
}

// coreAlive reports whether any core slot is alive. The caller holds f.mu.
func (f *Fleet) coreAlive() bool {
	for i, slot := range f.Slots {
		if slices.Contains(f.CoreSlots, slot.Name) && f.member.IsAlive(i) {
			return true
		}
	}
	return false
}
