package fleet

import (
	"time"

	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/quota"
)

// PeerStatus is what this node knows of another member slot.
type PeerStatus struct {
	Slot        string  `json:"seat"`
	Listed      bool    `json:"there"`  // whether the member list has it
	Alive       bool    `json:"heard"`  // whether it was alive within the heartbeat timeout
	ReportAge   float64 `json:"age"`    // age of its latest counters in seconds; -1 if there are none
	Incarnation uint64  `json:"life"`   // incarnation that sent its latest counters
	Tokens      int64   `json:"tokens"` // tokens that this incarnation has charged
}

// Status is the state of this node in its fleet.
type Status struct {
	Slot             string                     `json:"seat"`
	Incarnation      uint64                     `json:"life"`
	State            string                     `json:"mode"`           // connectivity state
	SiteState        string                     `json:"site,omitempty"` // see site.State; "" at a core slot
	StateAge         float64                    `json:"since"`          // age of State in seconds
	RateFactor       float64                    `json:"pace"`           // see connectivity.Machine.RateFactor
	LeaseRemaining   float64                    `json:"lease"`          // seconds until the lease expires; 0 without one
	FencingToken     uint64                     `json:"epoch"`          // fencing token of the lease; 0 without one
	Leader           string                     `json:"leader"`         // the store's leader; "" if not known
	Peers            []PeerStatus               `json:"peers"`
	Budgets          []quota.Usage              `json:"budgets"`
	Counters         map[string]counter.Reading `json:"counts"`   // sums over the fleet, by counter name
	LiveMembers      counter.Reading            `json:"live"`     // number of nodes that are up
	SuspectBackends  []string                   `json:"doubted"`  // backends to eject by the evidence of other nodes
	RejectedRequests uint64                     `json:"refused"`  // requests rejected for lack of quota
	SentBytes        uint64                     `json:"sent"`     // bytes of packets and RPC messages sent
	DroppedMessages  uint64                     `json:"dropped"`  // messages dropped because the mailbox was full
	Violations       map[string]uint64          `json:"breaches"` // invariant violations by rule name
}

// Status returns the present state of the node.
func (f *Fleet) Status() Status {
	listed := f.listedMembers()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.member.Advance(f.Now())
	state, enteredAt := f.member.Connectivity.Current()
	counters := f.member.Counters
	status := Status{
		Slot:         f.SlotName,
		Incarnation:  f.incarnation,
		State:        state.String(),
		StateAge:     seconds(now - enteredAt),
		RateFactor:   f.member.Connectivity.RateFactor(now),
		FencingToken: f.lease.FencingToken,
		Leader:       f.Store.Leader(),
		Counters: map[string]counter.Reading{
			"requests": counters.Read(RequestCounter, now),
			"tokens":   counters.Read(TokenCounter, now),
		},
		LiveMembers:      counters.LiveMembers(now, int64(f.MemberConfig.HeartbeatTimeout)),
		SuspectBackends:  []string{},
		RejectedRequests: f.rejectedRequests,
		SentBytes:        f.sentBytes.Load(),
		DroppedMessages:  f.droppedMessages.Load(),
		Violations:       f.Invariants.Violations(),
	}
	if f.siteConnectivity != nil {
		siteState, _ := f.siteConnectivity.Current()
		status.SiteState = siteState.String()
	}
	if f.lease.FencingToken != 0 {
		status.LeaseRemaining = max(0, time.Duration(f.lease.ExpiresAt-now).Seconds())
	}
	for slot := range f.Slots {
		if slot != f.MemberConfig.Owner.Slot {
			status.Peers = append(status.Peers, f.peerStatus(slot, listed, now))
		}
	}
	for _, allocation := range f.member.Allocations {
		status.Budgets = append(status.Budgets, allocation.Usage())
	}
	for _, suspicion := range f.outlierAdvice().Suspicions {
		status.SuspectBackends = append(status.SuspectBackends, suspicion.Engine)
	}
	return status
}

// peerStatus returns the status of another slot. The caller holds f.mu.
func (f *Fleet) peerStatus(slot int, listed map[string]bool, now int64) PeerStatus {
	name := f.Slots[slot].Name
	status := PeerStatus{Slot: name, Listed: listed[name], Alive: f.member.IsAlive(slot), ReportAge: -1}
	if latest, ok := f.member.Counters.Latest(slot); ok {
		age, _ := f.member.Counters.Age(slot, now)
		status.ReportAge = seconds(age)
		status.Incarnation = latest.Owner.Incarnation
		status.Tokens = latest.Counts[TokenCounter]
	}
	return status
}

func seconds(nanoseconds int64) float64 { return float64(nanoseconds) / 1e9 }
