package fleet

import (
	"math/rand/v2"
	"time"

	"standpoint/internal/fleet/counter"
	"standpoint/internal/fleet/quota"
)

func (f *Fleet) draw() float64 { return rand.Float64() }

// PeerStatus is what is known of another seat.
type PeerStatus struct {
	Slot        string  `json:"seat"`
	Listed      bool    `json:"there"`  // as the list of members has it
	Alive       bool    `json:"heard"`  // within the time of silence
	ReportAge   float64 `json:"age"`    // seconds, of its newest row; -1: none
	Incarnation uint64  `json:"life"`   // that told it
	Tokens      int64   `json:"tokens"` // that that life has charged
}

// Status is how this node stands to its fleet.
type Status struct {
	Slot             string                     `json:"seat"`
	Incarnation      uint64                     `json:"life"`
	State            string                     `json:"mode"`
	SiteState        string                     `json:"site,omitempty"` // its mode, of a site
	StateAge         float64                    `json:"since"`          // seconds
	RateFactor       float64                    `json:"pace"`
	LeaseRemaining   float64                    `json:"lease"` // seconds that it lasts; 0: there is none
	FencingToken     uint64                     `json:"epoch"`
	Leader           string                     `json:"leader"`
	Peers            []PeerStatus               `json:"peers"`
	Budgets          []quota.Usage              `json:"budgets"`
	Counters         map[string]counter.Reading `json:"counts"`
	LiveMembers      counter.Reading            `json:"live"`
	SuspectBackends  []string                   `json:"doubted"` // real servers that others' evidence speaks against
	RejectedRequests uint64                     `json:"refused"` // requests, for want of rights
	SentBytes        uint64                     `json:"sent"`    // bytes of packets and calls
	DroppedMessages  uint64                     `json:"dropped"` // messages that came while too many waited
	Violations       map[string]uint64          `json:"breaches"`
}

// Status tells how the node stands.
func (f *Fleet) Status() Status {
	there := f.listedMembers()
	now := f.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.member
	now = m.Advance(now)
	mode, since := m.Connectivity.Current()
	s := Status{Slot: f.SlotName, Incarnation: f.incarnation, State: mode.String(), StateAge: float64(now-since) / 1e9, RateFactor: m.Connectivity.RateFactor(now), FencingToken: f.lease.FencingToken, Leader: f.Store.Leader(),
		Counters: map[string]counter.Reading{"requests": m.Counters.Read(RequestCounter, now), "tokens": m.Counters.Read(TokenCounter, now)}, LiveMembers: m.Counters.LiveMembers(now, int64(f.MemberConfig.HeartbeatTimeout)),
		RejectedRequests: f.rejectedRequests, SentBytes: f.sentBytes.Load(), DroppedMessages: f.droppedMessages.Load(), Violations: f.Invariants.Violations(), SuspectBackends: []string{}}
	if f.siteConnectivity != nil {
		m, _ := f.siteConnectivity.Current()
		s.SiteState = m.String()
	}
	if f.lease.FencingToken != 0 {
		s.LeaseRemaining = max(0, time.Duration(f.lease.ExpiresAt-now).Seconds())
	}
	for i, r := range f.Slots {
		if i == m.Owner.Slot {
			continue
		}
		p := PeerStatus{Slot: r.Name, Listed: there[r.Name], Alive: m.IsAlive(i), ReportAge: -1}
		if age, ok := m.Counters.Age(i, now); ok {
			row, _ := m.Counters.Latest(i)
			p.ReportAge, p.Incarnation, p.Tokens = float64(age)/1e9, row.Owner.Incarnation, row.Counts[TokenCounter]
		}
		s.Peers = append(s.Peers, p)
	}
	for _, p := range m.Allocations {
		s.Budgets = append(s.Budgets, p.Usage())
	}
	for _, d := range f.advice().Doubts {
		s.SuspectBackends = append(s.SuspectBackends, d.Engine)
	}
	return s
}
