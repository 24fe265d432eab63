package migration

import "slices"

// MaxSamples is the maximum number of samples of one pool in one window of one node.
const MaxSamples = 64

// Sample describes a complete response, for the comparison with responses of the other pool.
type Sample struct {
	Class          int     `json:"c"`
	Kind           int     `json:"k"` // kind of the backend
	UncachedTokens float64 `json:"u"` // prompt tokens that the backend did not have in its prefix cache
	Load           float64 `json:"l"` // fraction of the backend's slots in use
	FirstToken     float64 `json:"f"` // time to first token, in seconds
	TokenGap       float64 `json:"g"` // time per token after the first, in seconds; 0 if unknown
}

// PoolWindow holds the counts and samples of one pool in one window. A request counts for the pool that it was assigned
// to, an attempt for the pool of the backend that it was sent to.
type PoolWindow struct {
	Requests      int      `json:"flows"`    // requests that ended in the window
	OfferedWeight float64  `json:"asked"`    // sum of the priority weights of these requests
	OnTimeWeight  float64  `json:"in_time"`  // the part of OfferedWeight that met its latency objectives
	Rejected      int      `json:"refused"`  // requests that were rejected, or failed without a backend
	Overflowed    int      `json:"fallen"`   // requests sent to another pool as no backend of this one was eligible
	Attempts      int      `json:"attempts"` // attempts that ended in the window, except cancelled ones
	Errors        int      `json:"errors"`   // attempts among these that failed
	Samples       []Sample `json:"samples,omitempty"`
	Health        Health   `json:"health"`
}

// Add combines the observations of two nodes in the same window.
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

// Window combines the observations of all live nodes in one window.
type Window struct {
	From    PoolWindow
	To      PoolWindow
	Nodes   int      // number of live nodes
	Lagging []string // live nodes that have not applied the shares in force
}
