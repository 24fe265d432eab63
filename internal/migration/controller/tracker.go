package controller

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/migration"
	"standpoint/internal/pool"
)

// Tracker assigns requests to pools and counts their outcomes for the pools of the followed migration. It implements
// node.Pools. All methods are safe for concurrent use; Assign does not lock.
type Tracker struct {
	log   *zap.Logger
	table atomic.Pointer[pool.Table]

	mu       sync.Mutex // guards the fields below
	set      *pool.Set
	names    config.Names
	classes  []standpoint.Class
	plan     migration.Plan
	backends map[string]*backendState // listed backends, by name
	followed migration.Record         // record of the followed migration; its State is empty if there is none
	// from and to are the numbers of the migration's pools; 0 if no migration is in progress.
	from           int
	to             int
	counters       [2]migration.PoolWindow // counts of from and to in the current window
	samplesOffered [2]int                  // responses of from and to in the current window, sampled or not
	overflowed     map[int]int64           // overflowed requests by pool since the process started
	lastWarning    string                  // last logged warning about endpoints in no pool or in several
}

// NewTracker creates a tracker for the pools of an operator's configuration file.
func NewTracker(file *config.OperatorFile, log *zap.Logger) *Tracker {
	t := &Tracker{log: log, backends: map[string]*backendState{}, overflowed: map[int]int64{}}
	t.applyFile(file)
	t.table.Store(t.set.Bind(pool.Shares{}))
	return t
}

func (t *Tracker) applyFile(file *config.OperatorFile) {
	t.set = file.PoolSet
	t.names = file.Names
	t.classes = file.Settings.Classes
	t.plan = file.MigrationPlan
}

// Check returns an error if a changed file lacks a pool of the migration in progress.
func (t *Tracker) Check(file *config.OperatorFile) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isInProgress(&t.followed) {
		return nil
	}
	for _, name := range []string{t.followed.Plan.From, t.followed.Plan.To} {
		if file.PoolSet.Number(name) == 0 {
			return fmt.Errorf(
				"pool: %q cannot be taken away while move %s is %s",
				name,
				t.followed.ID,
				t.followed.State,
			)
		}
	}
	return nil
}

// Adjust applies a changed file. The caller must send the endpoint list again afterwards, so that the endpoints are
// assigned to the changed pools.
func (t *Tracker) Adjust(file *config.OperatorFile) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyFile(file)
	t.bind()
}

// Follow applies the shares of a record to requests that arrive from now on, and counts the requests of its
// migration's pools.
func (t *Tracker) Follow(record migration.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record.ID != t.followed.ID {
		t.resetCounters()
	}
	t.followed = record
	t.bind()
}

// bind builds the assignment table for the followed shares and looks up the migration's pools. The caller must hold mu.
func (t *Tracker) bind() {
	t.table.Store(t.set.Bind(t.followed.Shares))
	t.from = 0
	t.to = 0
	if !isInProgress(&t.followed) {
		return
	}
	from := t.set.Number(t.followed.Plan.From)
	to := t.set.Number(t.followed.Plan.To)
	if from != 0 && to != 0 {
		t.from = from
		t.to = to
	}
}

func isInProgress(record *migration.Record) bool {
	return record.State != "" && !record.State.Terminal()
}

// Assign implements node.Pools.
func (t *Tracker) Assign(request *standpoint.Request) int {
	return t.table.Load().Assign(request.Session, request.Prefix, uint64(request.ID))
}

// Digest returns a hash of the pool definitions, which is equal on two nodes with the same definitions.
func (t *Tracker) Digest() uint64 {
	digest := xxhash.New()
	for i, definition := range t.pools().Definitions() {
		fmt.Fprintf(digest, "%d %q %q %g\n", i, definition.Name, definition.Selector, definition.Share)
	}
	return digest.Sum64()
}

// pools returns the pools of the file in force.
func (t *Tracker) pools() *pool.Set {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set
}
