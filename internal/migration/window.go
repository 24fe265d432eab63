package migration

import "slices"

// MaxSamples bounds the samples of one pool in one window.
const MaxSamples = 64

// Sample is a complete answer, as it is compared with answers of the other pool.
type Sample struct {
	Class          int     `json:"c"`
	Kind           int     `json:"k"` // of the backend
	UncachedTokens float64 `json:"u"` // prompt tokens that the backend had to read
	Load           float64 `json:"l"` // fraction of the backend's slots in use
	FirstToken     float64 `json:"f"` // seconds to the first token
	TokenGap       float64 `json:"g"` // seconds for each token after that; 0 if unknown
}

// PoolWindow is what one window shows of a pool. Requests count for the pool that they were assigned to, attempts for
// the pool of the backend that they were sent to.
type PoolWindow struct {
	Requests      int      `json:"flows"` // that ended
	OfferedWeight float64  `json:"asked"` // their priority weight
	OnTimeWeight  float64  `json:"in_time"`
	Rejected      int      `json:"refused"`  // requests that were rejected, or failed without a backend
	Overflowed    int      `json:"fallen"`   // requests sent to another pool, since no backend of theirs was eligible
	Attempts      int      `json:"attempts"` // that ended, without cancelled ones
	Errors        int      `json:"errors"`   // of them
	Samples       []Sample `json:"samples,omitempty"`
	Health        Health   `json:"health"`
}

// Add combines what two nodes saw in the same window.
func (w PoolWindow) Add(other PoolWindow) PoolWindow {
	w.Requests += other.Requests
	w.OfferedWeight += other.OfferedWeight
	w.OnTimeWeight += other.OnTimeWeight
	w.Rejected += other.Rejected
	w.Overflowed += other.Overflowed
	w.Attempts += other.Attempts
	w.Errors += other.Errors
	w.Samples = append(slices.Clip(w.Samples), other.Samples...)
	w.Health = w.Health.merge(other.Health)
	return w
}

// Window is what all live nodes saw in one window.
type Window struct {
	From    PoolWindow
	To      PoolWindow
	Nodes   int
	Lagging []string // live nodes that do not follow the shares in force
}
