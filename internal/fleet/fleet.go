// Package fleet is the actor round one member of a fleet (internal/fleet/member): it sends and receives, keeps the node's seat,
// and answers the core. Who is there, and the packets between nodes, are the library's (memberlist); what is shared, and within
// which bounds, the deciders'.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/fleet/connectivity"
	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/lease"
	"standpoint/internal/fleet/ledger"
	"standpoint/internal/fleet/member"
	"standpoint/internal/fleet/outlier"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/fleet/site"
	"standpoint/internal/node"
	"standpoint/internal/store"
)

const (
	mailboxSize        = 512             // messages that wait to be read
	maxConcurrentCalls = 32              // calls of others that are carried out at once
	rejoinInterval     = time.Second     // between two looks for seats that the list of members lacks
	claimRetryInterval = 2 * time.Second // after a claim of the seat that failed; the first comes sooner
	maxMessageBytes    = 64 << 10
)

// SlotAddress is a seat and where this node reaches it.
type SlotAddress struct{ Name, Address string }

// Options are what the actor is made of.
type Options struct {
	MemberConfig  member.Config // all but the owner's life
	SlotName      string
	Listen        string // UDP and TCP
	Dir           string // the node's own folder
	Slots         []SlotAddress
	LeaseDuration time.Duration // for which the seat is asked for
	TokenBudgets  []int         // by tenant: the budget of its tokens; -1: none
	// CoreSlots are the seats whose store decides for the fleet; none: all of them. A seat that is none of these is a site.
	CoreSlots        []string
	SiteTiming       site.Timing
	OverdraftClasses []bool // by class: whether it may go into the overdraft while this node is not together with the others
	ClassNames       []string
	TenantNames      []string                // of the tenants
	RecordUsage      func(ledger.Entry) bool // nil: there is no ledger
	LedgerFull       func() bool
	LedgerBehind     func() bool
	RetryBudget      int             // the budget of further attempts; -1: none
	SessionBudgets   []SessionBudget // of paused sessions
	Store            store.Store
	Advise           func(*standpoint.Advice) // the module's; nil: nobody
	ClockOffset      time.Duration            // that this node's clock is off by, for tests
	Invariants       *invariant.Monitor
	Log              *zap.Logger
}

// SessionBudget is a budget of places for paused sessions: of one tenant, or of all, -1.
type SessionBudget struct{ Budget, Tenant int }

// Counts that a node keeps, and after them one for each tenant: its tokens.
const (
	RequestCounter = iota
	TokenCounter
	FirstTenantCounter
)

// Fleet is the actor.
type Fleet struct {
	Options
	directory       *lease.Directory
	incarnation     uint64
	predecessors    []uint64
	addresses       map[string]string
	memberlist      *memberlist.Memberlist
	mailbox         chan []byte
	droppedMessages atomic.Uint64
	sentBytes       atomic.Uint64 // bytes of packets and calls

	mu                sync.Mutex
	member            *member.Member
	lease             quota.Lease
	siteConnectivity  *site.Machine  // nil: this seat is a hall's
	consecutiveErrors map[string]int // by real server: errors in a row
	backendNames      map[uint64]string
	backendStarts     map[string]int64
	backendZones      map[string]int
	rejectedRequests  uint64

	callsMu       sync.Mutex
	pendingCalls  map[uint64]chan rpcResponse
	nextCallID    uint64
	handlers      map[string]handler
	coreLeader    string // of the halls, as a site last found it
	callSemaphore chan struct{}
}

// Open takes the node's folder and joins the list of members.
func Open(o Options) (*Fleet, error) {
	f := &Fleet{Options: o, addresses: map[string]string{}, mailbox: make(chan []byte, mailboxSize), consecutiveErrors: map[string]int{}, backendNames: map[uint64]string{}, backendStarts: map[string]int64{}, backendZones: map[string]int{},
		pendingCalls: map[uint64]chan rpcResponse{}, handlers: map[string]handler{}, callSemaphore: make(chan struct{}, maxConcurrentCalls)}
	for _, s := range o.Slots {
		f.addresses[s.Name] = s.Address
	}
	var err error
	if f.directory, f.incarnation, f.predecessors, err = lease.Open(o.Dir, f.Now()); err != nil {
		return nil, fmt.Errorf("fleet.dir: %w", err)
	}
	f.MemberConfig.Owner = quota.Owner{Slot: slices.IndexFunc(o.Slots, func(s SlotAddress) bool { return s.Name == o.SlotName }), Incarnation: f.incarnation}
	f.MemberConfig.Seed = f.incarnation
	f.member = member.New(f.MemberConfig, f.Now(), o.Invariants)
	if f.IsSite() {
		f.siteConnectivity = site.New(o.SiteTiming, f.Now(), o.Invariants)
	}
	f.HandleOnLeader("seat", f.handleLeaseClaim)
	if err := f.join(); err != nil {
		return nil, errors.Join(err, f.directory.Close())
	}
	return f, nil
}

// Now is the time by this node's clock, Unix nanoseconds.
func (f *Fleet) Now() int64 { return clock.Now() + int64(f.ClockOffset) }

// Owner is this life of the node.
func (f *Fleet) Owner() quota.Owner { return f.MemberConfig.Owner }

// Run works until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	go f.maintainLease(ctx)
	tick := time.NewTicker(f.MemberConfig.GossipInterval)
	defer tick.Stop()
	look := time.NewTicker(rejoinInterval)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.tick()
		case <-look.C:
			f.rejoin()
		case b := <-f.mailbox:
			f.handleMessage(ctx, b)
		}
	}
}

func (f *Fleet) tick() {
	there := f.listedMembers()
	f.mu.Lock()
	out := f.member.Tick(f.Now(), func(seat int) bool { return there[f.Slots[seat].Name] })
	advice := f.advice()
	if f.siteConnectivity != nil && f.siteConnectivity.Update(f.Now(), f.coreAlive(), f.LedgerBehind != nil && f.LedgerBehind()) {
		mode, _ := f.siteConnectivity.Current()
		f.Log.Info("the site's mode", zap.Stringer("mode", mode))
	}
	f.mu.Unlock()
	f.sendPackets(out)
	if f.Advise != nil && len(advice.Doubts) > 0 {
		f.Advise(advice)
	}
}

// coreAlive tells that a hall is heard.
func (f *Fleet) coreAlive() bool {
	for i, s := range f.Slots {
		if slices.Contains(f.CoreSlots, s.Name) && f.member.IsAlive(i) {
			return true
		}
	}
	return false
}

// isolated tells that this node is not together with most of the others, or, a site's, that it is alone.
func (f *Fleet) isolated() bool {
	if f.siteConnectivity != nil {
		m, _ := f.siteConnectivity.Current()
		return m == site.Isolated || m == site.Reconciling
	}
	m, _ := f.member.Connectivity.Current()
	return m == connectivity.Minority || m == connectivity.Isolated
}

func (f *Fleet) sendPackets(all []member.Outgoing) {
	for _, s := range all {
		raw, err := cbor.Marshal(s.Packet)
		if err != nil {
			f.Log.Error("a packet cannot be written", zap.Error(err))
			continue
		}
		f.sentBytes.Add(uint64(len(raw)))
		_ = f.memberlist.SendBestEffort(f.memberNode(s.To), append([]byte{kindPacket}, raw...)) // a packet may be lost
	}
}

// rejoin looks for a seat that the list of members lacks: after a cut the library's two halves do not look for each other.
func (f *Fleet) rejoin() {
	there := f.listedMembers()
	var missing []SlotAddress
	for _, s := range f.Slots {
		if !there[s.Name] {
			missing = append(missing, s)
		}
	}
	if len(missing) == 0 {
		return
	}
	s := missing[rand.IntN(len(missing))]
	go func() { _, _ = f.memberlist.Join([]string{s.Name + "/" + s.Address}) }() // it may be gone
}

// Decoding is bounded: what comes from the network takes no more memory than a message may hold.
var decoding, _ = cbor.DecOptions{MaxArrayElements: 8192, MaxMapPairs: 64, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode() // constant options: cannot fail

func (f *Fleet) handleMessage(ctx context.Context, b []byte) {
	if len(b) < 2 || len(b) > maxMessageBytes {
		return
	}
	switch b[0] {
	case kindPacket:
		var p member.Packet
		if err := decoding.Unmarshal(b[1:], &p); err != nil {
			f.Log.Info("a packet that cannot be read", zap.Error(err))
			return
		}
		f.mu.Lock()
		out := f.member.Receive(f.Now(), p)
		f.mu.Unlock()
		f.sendPackets(out)
	case kindRequest:
		f.handleRequest(ctx, b[1:])
	case kindResponse:
		f.handleResponse(b[1:])
	}
}

// Close leaves the fleet.
func (f *Fleet) Close() error {
	return errors.Join(f.memberlist.Leave(200*time.Millisecond), f.memberlist.Shutdown(), f.directory.Close())
}

// ---- the core's side (node.Fleet) ----

// ledgerFullWait is when to come again where the ledger takes nothing more for now.
const ledgerFullWait = 500 * time.Millisecond

// Admit takes what a request may cost at the most from its tenant's budget.
func (f *Fleet) Admit(r *standpoint.Request) (node.Charge, time.Duration, bool) {
	if f.LedgerFull != nil && f.LedgerFull() {
		return node.Charge{}, ledgerFullWait, false
	}
	if r.Tenant < 0 || r.Tenant >= len(f.TokenBudgets) || f.TokenBudgets[r.Tenant] < 0 {
		return node.Charge{Budget: -1}, 0, true
	}
	n := int64(r.PromptTokens + r.MaxTokens)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.Advance(f.Now())
	p := f.member.Allocations[f.TokenBudgets[r.Tenant]]
	grace := r.Class < len(f.OverdraftClasses) && f.OverdraftClasses[r.Class] && f.isolated()
	if p.Spend(n, 0) || grace && p.Overdraw(n, 0) {
		f.logSpending("spent", p.Name, p.CurrentWindow(), n)
		return node.Charge{Budget: f.TokenBudgets[r.Tenant], Window: p.CurrentWindow(), Amount: n}, 0, true
	}
	f.rejectedRequests++
	return node.Charge{}, f.retryAfter(p), false
}

// retryAfter is when who was refused should come again: when the next window has begun, and not all at that moment.
func (f *Fleet) retryAfter(p *quota.Allocation) time.Duration {
	due := max(0, time.Duration(p.NextWindowStart()-f.Now()))
	return due + rand.N(max(time.Millisecond, min(p.Budget.Window/4, 500*time.Millisecond)))
}

// Settle takes in what became of a request: what it did not cost goes back, and what it did is counted.
func (f *Fleet) Settle(r *standpoint.Request, c node.Charge, a node.Answer) {
	cost, prompt := int64(0), r.PromptTokens
	if c.Fresh > 0 {
		prompt = c.Fresh
	}
	switch {
	case a.Kind == node.Served && a.Usage.Known:
		cost = int64(prompt + a.Usage.Out)
	case a.Kind == node.Served || a.Kind == node.Broken || a.Kind == node.Moved || a.Kind == node.ClientGone && a.Usage.Begun:
		cost = int64(prompt + r.MaxTokens) // what it was is not known: not less than it can have been
	}
	if f.RecordUsage != nil && (a.Kind == node.Served || a.Kind == node.Broken) {
		e := ledger.Entry{Session: r.Session, InputTokens: int64(prompt), CachedTokens: int64(a.Usage.Kept), OutputTokens: int64(a.Usage.Out)}
		if r.Tenant >= 0 && r.Tenant < len(f.TenantNames) {
			e.Tenant = f.TenantNames[r.Tenant]
		}
		if r.Class >= 0 && r.Class < len(f.ClassNames) {
			e.Class = f.ClassNames[r.Class]
		}
		switch {
		case a.Kind == node.Broken:
			e.Outcome = ledger.Interrupted
		case a.Usage.Paused:
			e.Outcome = ledger.Paused
		}
		if !f.RecordUsage(e) {
			f.Log.Error("an outcome could not be charged: too many wait to be written")
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.Counters.Add(RequestCounter, 1)
	f.member.Counters.Add(TokenCounter, cost)
	f.member.Counters.Add(FirstTenantCounter+r.Tenant, cost)
	if c.Budget >= 0 && cost < c.Amount {
		if p := f.member.Allocations[c.Budget]; c.Window >= p.CurrentWindow() {
			f.logSpending("given back", p.Name, c.Window, c.Amount-cost)
			p.Refund(c.Amount-cost, c.Window, c.Window)
		}
	}
}

// ReserveSession takes a place for a session of a tenant that waits so long, of every budget that it counts against, or of none.
func (f *Fleet) ReserveSession(tenant int, wait time.Duration) (free func(), ok bool) {
	type taken struct {
		p           *quota.Allocation
		first, last int64
	}
	var all []taken
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.member.Advance(f.Now())
	back := func() {
		for _, t := range all {
			t.p.Refund(1, t.first, t.last)
		}
	}
	for _, b := range f.SessionBudgets {
		if b.Tenant >= 0 && b.Tenant != tenant {
			continue
		}
		p := f.member.Allocations[b.Budget]
		further := int(p.WindowAt(now+int64(wait)) - p.CurrentWindow())
		if !p.Spend(1, further) {
			back()
			return nil, false
		}
		all = append(all, taken{p, p.CurrentWindow(), p.CurrentWindow() + int64(further)})
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.member.Advance(f.Now())
		back()
	}, true
}

// RateFactor is the part of its usual pace at which this node takes on what others left.
func (f *Fleet) RateFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.Slots) < 2 {
		return 1
	}
	return f.member.Connectivity.RateFactor(f.Now())
}

// Identity is this life of the node, and those of its folder that are over.
func (f *Fleet) Identity() (seat string, life uint64, before []uint64) {
	return f.SlotName, f.incarnation, f.predecessors
}

// BackendStart is when a real server's process started, as listed.
func (f *Fleet) BackendStart(server string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backendStarts[server]
}

// logSpending logs what is spent, where everything is logged: before anything comes of it.
func (f *Fleet) logSpending(what, budget string, window, amount int64) {
	if e := f.Log.Check(zap.DebugLevel, what); e != nil {
		e.Write(zap.String("budget", budget), zap.Int64("window", window), zap.Int64("amount", amount))
	}
}

// Again tells whether a further attempt may be made.
func (f *Fleet) Again() bool {
	if f.RetryBudget < 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.Advance(f.Now())
	return f.member.Allocations[f.RetryBudget].Spend(1, 0)
}

// minConsecutiveErrors is how many errors in a row speak against a server: one may be the request's.
const minConsecutiveErrors = 2

// Ended takes in how an attempt ended, as evidence on its server.
func (f *Fleet) Ended(o node.Observation) {
	e := outlier.Evidence{BackendHash: xxhash.Sum64String(o.Server), ObservedAt: f.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	start, listed := f.backendStarts[o.Server]
	if !listed || o.Asked || o.Result.Rejected != 0 {
		return
	}
	e.StartedAt = start
	switch o.Result.Code {
	case standpoint.Served:
		f.consecutiveErrors[o.Server] = 0
		e.Kind = outlier.Healthy
	case standpoint.NoConnection:
		e.Kind = outlier.Unreachable
	case standpoint.ServerError, standpoint.ConnectionLost, standpoint.NoAnswer:
		if f.consecutiveErrors[o.Server]++; f.consecutiveErrors[o.Server] < minConsecutiveErrors {
			return
		}
		e.Kind = outlier.BackendFault
	default:
		return
	}
	f.member.Detector.Observe(e)
}

// Listed takes in the real servers that may be used.
func (f *Fleet) Listed(l node.List) {
	if l.Kind == standpoint.ListLost {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Kind == standpoint.ListFull {
		clear(f.backendStarts)
		clear(f.backendNames)
		clear(f.backendZones)
	}
	var all []outlier.Backend
	for _, e := range l.Entries {
		if e.State == standpoint.Ready {
			f.backendStarts[e.Name], f.backendNames[xxhash.Sum64String(e.Name)] = e.ReadyAt, e.Name
			f.backendZones[e.Name] = e.Zone
		} else {
			delete(f.backendStarts, e.Name)
			delete(f.backendZones, e.Name)
			delete(f.backendNames, xxhash.Sum64String(e.Name))
		}
	}
	for name, start := range f.backendStarts {
		all = append(all, outlier.Backend{Hash: xxhash.Sum64String(name), Zone: f.backendZones[name], StartedAt: start})
	}
	for name := range f.consecutiveErrors {
		if _, listed := f.backendStarts[name]; !listed {
			delete(f.consecutiveErrors, name)
		}
	}
	f.member.Detector.SetBackends(all)
}

// advice is what others' evidence says of the servers, for the module to weigh.
func (f *Fleet) advice() *standpoint.Advice {
	a := &standpoint.Advice{}
	for _, j := range f.member.Detector.Ejections(f.Now()) {
		if name, ok := f.backendNames[j.Backend.Hash]; ok {
			a.Doubts = append(a.Doubts, standpoint.Doubt{Engine: name, ReadyAt: j.Backend.StartedAt, At: j.LatestEvidence - int64(f.ClockOffset)})
		}
	}
	return a
}
