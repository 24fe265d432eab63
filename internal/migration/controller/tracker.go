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

// Tracker assigns requests to pools and counts, for the pools of the followed migration, what becomes of them. It
// implements node.Pools. All methods are safe for concurrent use; Assign takes no lock.
type Tracker struct {
	log   *zap.Logger
	table atomic.Pointer[pool.Table]

	mu       sync.Mutex // guards all below
	set      *pool.Set
	names    config.Names
	classes  []standpoint.Class
	plan     migration.Plan
	backends map[string]*backendState // the listed ones, by name
	followed migration.Record         // State is empty if there is none
	// from and to are the numbers of the pools that are counted; 0 if no migration is in progress.
	from        int
	to          int
	counters    [2]migration.PoolWindow // of from and to, since the last TakeWindow
	samplesSeen [2]int                  // offered to counters, for an even choice among them
	overflowed  map[int]int64           // by pool, over the life of the process
	lastWarning string                  // about endpoints in no pool or in several, as it was logged
}

// NewTracker creates the tracker of an operator's pools.
func NewTracker(file *config.OperatorFile, log *zap.Logger) *Tracker {
	t := &Tracker{log: log, backends: map[string]*backendState{}, overflowed: map[int]int64{}}
	t.adopt(file)
	t.table.Store(t.set.Bind(pool.Shares{}))
	return t
}

func (t *Tracker) adopt(file *config.OperatorFile) {
	t.set = file.PoolSet
	t.names = file.Names
	t.classes = file.Settings.Classes
	t.plan = file.MigrationPlan
}

// Check returns an error if the migration in progress does not allow a changed file to be adopted: it has to keep its
// pools.
func (t *Tracker) Check(file *config.OperatorFile) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !inProgress(&t.followed) {
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

// Adjust adopts a changed file. The endpoint list has to be sent again after it, so that the endpoints are placed anew.
func (t *Tracker) Adjust(file *config.OperatorFile) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adopt(file)
	t.bind()
}

// Follow puts the shares of a record in force for requests that arrive from now on, and counts the pools of its
// migration.
func (t *Tracker) Follow(record migration.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record.ID != t.followed.ID {
		t.resetCounters()
	}
	t.followed = record
	t.bind()
}

// bind builds the table of shares and looks the followed migration's pools up. The lock is held.
func (t *Tracker) bind() {
	t.table.Store(t.set.Bind(t.followed.Shares))
	t.from = 0
	t.to = 0
	if !inProgress(&t.followed) {
		return
	}
	from := t.set.Number(t.followed.Plan.From)
	to := t.set.Number(t.followed.Plan.To)
	if from != 0 && to != 0 {
		t.from = from
		t.to = to
	}
}

func inProgress(record *migration.Record) bool {
	return record.State != "" && !record.State.Terminal()
}

// Assign implements node.Pools.
func (t *Tracker) Assign(request *standpoint.Request) int {
	return t.table.Load().Assign(request.Session, request.Prefix, uint64(request.ID))
}

// Digest is equal on two nodes if their pools are defined alike.
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
