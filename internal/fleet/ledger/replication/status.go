package replication

import (
	"time"

	"standpoint/internal/fleet/ledger"
)

// neverSynced is the value of Status.SyncedSecondsAgo if no sync has been completed.
const neverSynced = -1

// Status is the state of a node's ledger.
type Status struct {
	Slot        string                   `json:"seat"`
	Incarnation uint64                   `json:"life"`
	Entries     int64                    `json:"entries"`
	Bytes       int64                    `json:"bytes"`
	Totals      map[string]ledger.Totals `json:"sums"` // usage by tenant, according to the entries known here
	Sources     int                      `json:"sources"`
	Charged     uint64                   `json:"charged"` // entries written by this process, including received ones
	Received    uint64                   `json:"taken"`   // entries received from other members and written
	Dropped     uint64                   `json:"lost"`    // entries dropped because the queue was full
	Queued      int                      `json:"waiting"` // entries in the queue
	// Unfetched is the number of entries that a sync had requested when one of its fetches failed. It is 0 after a
	// complete sync.
	Unfetched int64 `json:"lacking"`
	// SyncedSecondsAgo is the time since this ledger last had all entries of another member's ledger, in seconds. It is
	// -1 if that has not happened since the start of the process.
	SyncedSecondsAgo float64  `json:"agreed"`
	Consistent       bool     `json:"holds"` // whether the totals match the entries
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
		Unfetched:        r.missing.Load(),
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
