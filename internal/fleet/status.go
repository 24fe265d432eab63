package fleet

import (
	"time"

	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/quota"
)

// PeerStatus is what is known of another member slot.
type PeerStatus struct {
	Slot        string  `json:"seat"`
	Listed      bool    `json:"there"`  // by the member list
	Alive       bool    `json:"heard"`  // within the heartbeat timeout
	ReportAge   float64 `json:"age"`    // seconds, of its latest counters; -1: there are none
	Incarnation uint64  `json:"life"`   // that sent them
	Tokens      int64   `json:"tokens"` // that that incarnation has charged
}

// Status is how this node stands in its fleet.
type Status struct {
	Slot             string                     `json:"seat"`
	Incarnation      uint64                     `json:"life"`
	State            string                     `json:"mode"`           // of its connectivity
	SiteState        string                     `json:"site,omitempty"` // of a site's connectivity to the core
	StateAge         float64                    `json:"since"`          // seconds, of State
	RateFactor       float64                    `json:"pace"`
	LeaseRemaining   float64                    `json:"lease"` // seconds; 0: there is no lease
	FencingToken     uint64                     `json:"epoch"`
	Leader           string                     `json:"leader"` // of the store, as far as known
	Peers            []PeerStatus               `json:"peers"`
	Budgets          []quota.Usage              `json:"budgets"`
	Counters         map[string]counter.Reading `json:"counts"`
	LiveMembers      counter.Reading            `json:"live"`
	SuspectBackends  []string                   `json:"doubted"`  // that other nodes' evidence speaks against
	RejectedRequests uint64                     `json:"refused"`  // for want of quota
	SentBytes        uint64                     `json:"sent"`     // of packets and calls
	DroppedMessages  uint64                     `json:"dropped"`  // that came while too many waited
	Violations       map[string]uint64          `json:"breaches"` // of invariants
}

// Status describes the node as it stands.
func (f *Fleet) Status() Status {
	listed := f.listedMembers()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.member.Advance(f.Now())
	state, since := f.member.Connectivity.Current()
	counters := f.member.Counters
	status := Status{
		Slot:         f.SlotName,
		Incarnation:  f.incarnation,
		State:        state.String(),
		StateAge:     seconds(now - since),
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
	for _, doubt := range f.outlierAdvice().Suspicions {
		status.SuspectBackends = append(status.SuspectBackends, doubt.Engine)
	}
	return status
}

// peerStatus describes another slot. f.mu is held.
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
