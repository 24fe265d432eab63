package fleet

import (
	"math/rand/v2"
	"time"

	"standpoint/internal/fleet/rights"
	"standpoint/internal/fleet/tally"
)

func (f *Fleet) draw() float64 { return rand.Float64() }

// Peer is what is known of another seat.
type Peer struct {
	Seat   string  `json:"seat"`
	There  bool    `json:"there"`  // as the list of members has it
	Heard  bool    `json:"heard"`  // within the time of silence
	Age    float64 `json:"age"`    // seconds, of its newest row; -1: none
	Life   uint64  `json:"life"`   // that told it
	Tokens int64   `json:"tokens"` // that that life has charged
}

// Status is how this node stands to its fleet.
type Status struct {
	Seat     string                   `json:"seat"`
	Life     uint64                   `json:"life"`
	Mode     string                   `json:"mode"`
	Site     string                   `json:"site,omitempty"` // its mode, of a site
	Since    float64                  `json:"since"`          // seconds
	Pace     float64                  `json:"pace"`
	Lease    float64                  `json:"lease"` // seconds that it lasts; 0: there is none
	Epoch    uint64                   `json:"epoch"`
	Leader   string                   `json:"leader"`
	Peers    []Peer                   `json:"peers"`
	Budgets  []rights.Use             `json:"budgets"`
	Counts   map[string]tally.Reading `json:"counts"`
	Live     tally.Reading            `json:"live"`
	Doubted  []string                 `json:"doubted"` // real servers that others' evidence speaks against
	Refused  uint64                   `json:"refused"` // requests, for want of rights
	Sent     uint64                   `json:"sent"`    // bytes of packets and calls
	Dropped  uint64                   `json:"dropped"` // messages that came while too many waited
	Breaches map[string]uint64        `json:"breaches"`
}

// Status tells how the node stands.
func (f *Fleet) Status() Status {
	there := f.seen()
	now := f.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.m
	now = m.Advance(now)
	mode, since := m.Mode.Now()
	s := Status{Seat: f.Name, Life: f.inc, Mode: mode.String(), Since: float64(now-since) / 1e9, Pace: m.Mode.Pace(now), Epoch: f.lease.Epoch, Leader: f.Keys.Leader(),
		Counts: map[string]tally.Reading{"requests": m.Counts.Read(Requests, now), "tokens": m.Counts.Read(Tokens, now)}, Live: m.Counts.Live(now, int64(f.Member.Silence)),
		Refused: f.refused, Sent: f.sent.Load(), Dropped: f.dropped.Load(), Breaches: f.Guard.Counts(), Doubted: []string{}}
	if f.site != nil {
		m, _ := f.site.Now()
		s.Site = m.String()
	}
	if f.lease.Epoch != 0 {
		s.Lease = max(0, time.Duration(f.lease.Until-now).Seconds())
	}
	for i, r := range f.Seats {
		if i == m.Own.Seat {
			continue
		}
		p := Peer{Seat: r.Name, There: there[r.Name], Heard: m.Alive(i), Age: -1}
		if age, ok := m.Counts.Age(i, now); ok {
			row, _ := m.Counts.Newest(i)
			p.Age, p.Life, p.Tokens = float64(age)/1e9, row.Owner.Inc, row.Counts[Tokens]
		}
		s.Peers = append(s.Peers, p)
	}
	for _, p := range m.Purses {
		s.Budgets = append(s.Budgets, p.Use())
	}
	for _, d := range f.advice().Doubts {
		s.Doubted = append(s.Doubted, d.Engine)
	}
	return s
}
