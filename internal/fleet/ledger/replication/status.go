package replication

import (
	"time"

	"standpoint/internal/fleet/ledger"
)

// neverSynced is Status.SyncedSecondsAgo of a ledger that has always missed something.
const neverSynced = -1

// Status describes a node's ledger.
type Status struct {
	Slot        string                   `json:"seat"`
	Incarnation uint64                   `json:"life"`
	Entries     int64                    `json:"entries"`
	Bytes       int64                    `json:"bytes"`
	Totals      map[string]ledger.Totals `json:"sums"` // by tenant, as far as known here
	Sources     int                      `json:"sources"`
	Charged     uint64                   `json:"charged"` // written by this process, received ones included
	Received    uint64                   `json:"taken"`   // from other members
	Dropped     uint64                   `json:"lost"`    // for which the queue had no room
	Queued      int                      `json:"waiting"`
	Missing     int64                    `json:"lacking"` // of another ledger, when it was last compared
	// SyncedSecondsAgo is since when this ledger missed nothing of another; -1: it always has.
	SyncedSecondsAgo float64  `json:"agreed"`
	Consistent       bool     `json:"holds"` // the totals match the entries
	Corruptions      []string `json:"damages"`
}

// Status returns the state of the ledger.
func (r *Replicator) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := Status{
		Slot:             r.Slot,
		Incarnation:      r.Incarnation,
		Entries:          r.index.Count(),
		Bytes:            r.segments.Bytes(),
		Totals:           r.index.Totals(),
		Sources:          len(r.index.Digest()),
		Charged:          r.charged.Load(),
		Received:         r.received.Load(),
		Dropped:          r.dropped.Load(),
		Queued:           len(r.queue),
		Missing:          r.missing.Load(),
		SyncedSecondsAgo: neverSynced,
		Consistent:       r.index.Verify(),
		Corruptions:      []string{},
	}
	if at := r.syncedAt.Load(); at > 0 {
		status.SyncedSecondsAgo = time.Duration(r.Now() - at).Seconds()
	}
	for _, corruption := range r.corruptions {
		status.Corruptions = append(status.Corruptions, corruption.Error())
	}
	return status
}
