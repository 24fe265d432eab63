// Package moves carries traffic moves on: it assigns flows to pools, counts what comes of them, and is the actor round
// the pure mover, one member of the store for all.
package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/config"
	"standpoint/internal/migration"
	"standpoint/internal/node"
	"standpoint/internal/pool"
)

// Tracker implements node.Pools: it is called by the module's actor alone, but for what the mover takes from it.
type Tracker struct {
	log   *zap.Logger
	table atomic.Pointer[pool.Table]

	mu          sync.Mutex
	set         *pool.Set
	names       config.Names
	classes     []standpoint.Class
	plan        migration.Plan
	backends    map[string]*backendState // by name; as many as endpoints
	followed    migration.Record         // whose pools are counted; State "" for none
	from, to    int
	counters    [2]migration.PoolWindow
	samplesSeen [2]int // samples that came, for an even choice among them
	overflowed  map[int]int64
	lastWarning string // the last warning about placing
}

// backendState is what the tracker knows of a real server.
type backendState struct {
	description pool.Box
	pool        int
	alsoFits    []string
	state       standpoint.State
	readyAt     int64
	load        float64 // of its slots, as last reported
}

// NewTracker makes the tracker of an operator's pools.
func NewTracker(cfg *config.OperatorFile, log *zap.Logger) *Tracker {
	t := &Tracker{log: log, backends: map[string]*backendState{}, overflowed: map[int]int64{}}
	t.adopt(cfg)
	t.table.Store(t.set.Bind(pool.Shares{}))
	return t
}

func (t *Tracker) adopt(cfg *config.OperatorFile) {
	t.set, t.names, t.classes, t.plan = cfg.PoolSet, cfg.Names, cfg.Settings.Classes, cfg.MigrationPlan
}

// Adjust takes on a changed file. The entries must be told again after it, to be placed anew.
func (t *Tracker) Adjust(cfg *config.OperatorFile) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adopt(cfg)
	t.bind()
}

// Digest tells two nodes whether their pools are the same.
func (t *Tracker) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return digest(t.set)
}

func digest(s *pool.Set) uint64 {
	h := xxhash.New()
	for i, d := range s.Definitions() {
		fmt.Fprintf(h, "%d %q %q %g\n", i, d.Name, d.Select, d.Share)
	}
	return h.Sum64()
}

// Place implements node.Pools.
func (t *Tracker) Place(e *node.Endpoint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[e.Name]
	if b == nil {
		b = &backendState{}
		t.backends[e.Name] = b
	}
	b.description = pool.Box{Name: e.Name, Address: e.Address, Site: nameOf(t.names.Zones, e.Zone), Kind: nameOf(t.names.Kinds, e.Kind),
		Mode: "stream", Cell: e.Cell, Size: e.Size, Labels: e.Labels}
	if e.Batch {
		b.description.Mode = "batch"
	}
	if e.State == standpoint.Gone && e.Address == "" && b.pool != 0 {
		return b.pool // a withdrawal need not tell the labels again
	}
	b.pool, b.alsoFits = t.set.Place(b.description)
	return b.pool
}

func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}

// Listed implements node.Pools.
func (t *Tracker) Listed(l node.List) {
	if l.Kind == standpoint.ListLost {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range l.Entries {
		listed[e.Name] = true
		if e.State == standpoint.Gone {
			delete(t.backends, e.Name)
		} else if b := t.backends[e.Name]; b != nil { // nil: the same list has it as gone too
			b.state, b.readyAt = e.State, e.ReadyAt
		}
	}
	if l.Kind == standpoint.ListFull {
		maps.DeleteFunc(t.backends, func(name string, _ *backendState) bool { return !listed[name] })
	}
	t.warn()
}

// warn names the entries that are in no pool, or would be in several, when that has changed.
func (t *Tracker) warn() {
	var none, several []string
	for name, b := range t.backends {
		switch {
		case b.pool == 0:
			none = append(none, name)
		case len(b.alsoFits) > 0:
			several = append(several, fmt.Sprintf("%s (%s; also %s)", name, t.set.Name(b.pool), strings.Join(b.alsoFits, ", ")))
		}
	}
	slices.Sort(none)
	slices.Sort(several)
	said := fmt.Sprint(none, several)
	if said == t.lastWarning {
		return
	}
	t.lastWarning = said
	if len(none) > 0 {
		t.log.Warn("endpoints in no pool get only what no pool can take", zap.Strings("entries", none))
	}
	if len(several) > 0 {
		t.log.Warn("endpoints in several pools count for the first", zap.Strings("entries", several))
	}
}

// Assign implements node.Pools.
func (t *Tracker) Assign(r *standpoint.Request) int {
	return t.table.Load().Assign(r.Session, r.Prefix, uint64(r.ID))
}

// Sent implements node.Pools. A flow whose first attempt goes elsewhere found nothing fit in its pool.
func (t *Tracker) Sent(r *standpoint.Request, server string, leg int) {
	if leg > 0 || r.Pool == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.backends[server]; b != nil && b.pool != r.Pool {
		t.overflowed[r.Pool]++
		if s := t.countersOf(r.Pool); s != nil {
			s.Overflowed++
		}
	}
}

// countersOf is what is counted for a pool, nil if it takes no part in the move that is followed.
func (t *Tracker) countersOf(number int) *migration.PoolWindow {
	switch {
	case number == 0 || t.from == 0:
		return nil
	case number == t.from:
		return &t.counters[0]
	case number == t.to:
		return &t.counters[1]
	}
	return nil
}

// Finished implements node.Pools.
func (t *Tracker) Finished(o node.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[o.Server]
	if b != nil && b.readyAt > clock.Of(o.Sent) {
		b = nil // it went to the process before, and says nothing of this one
	}
	if b != nil && o.Result.Report != nil {
		b.load = o.Result.Report.Slots
	}
	if o.Asked || t.from == 0 {
		return
	}
	ran := -1
	if b != nil && b.pool == t.from {
		ran = 0
	} else if b != nil && b.pool == t.to && t.to != 0 {
		ran = 1
	}
	served := o.Result.Code == standpoint.Served
	if ran >= 0 && o.Result.Code != standpoint.NotSent {
		t.counters[ran].Attempts++
		// A box that is full is busy, not broken; what its clients lose by that counts as worth not in time.
		if !served && o.Result.Code != standpoint.TurnedAway {
			t.counters[ran].Errors++
		}
	}
	if served && ran >= 0 {
		t.sample(ran, b, &o)
	}
	if served || o.First > 0 { // whole, or begun and broken: the flow's one final answer
		t.countRequest(o.Request, served && t.inTime(&o))
	}
}

// Rejected implements node.Pools.
func (t *Tracker) Rejected(r *standpoint.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.countersOf(r.Pool); s != nil {
		s.Rejected++
	}
	t.countRequest(r, false)
}

func (t *Tracker) countRequest(r *standpoint.Request, inTime bool) {
	s := t.countersOf(r.Pool)
	if s == nil {
		return
	}
	worth := 1.0
	if r.Class >= 0 && r.Class < len(t.classes) {
		worth = max(t.classes[r.Class].Worth, 1e-3)
	}
	s.Requests++
	s.OfferedWeight += worth
	if inTime {
		s.OnTimeWeight += worth
	}
}

// inTime tells that an answer came within its class's aims.
func (t *Tracker) inTime(o *node.Observation) bool {
	r := o.Request
	if r.Class < 0 || r.Class >= len(t.classes) {
		return true
	}
	c := &t.classes[r.Class]
	if c.TTFTAim > 0 && float64(o.First) > float64(c.TTFTAim)+float64(c.AimPer1000)*r.PromptTokens/1000 {
		return false
	}
	gap := tokenGap(o)
	return c.TPOTAim <= 0 || gap*1e9 <= float64(c.TPOTAim)
}

// tokenGap is the seconds a token of an answer took after the first; 0 where its length is not told.
func tokenGap(o *node.Observation) float64 {
	if o.Result.Tokens < 2 || o.Request.Again {
		return 0
	}
	return o.Decode.Seconds() / (o.Result.Tokens - 1)
}

// sample keeps the answer among at most mover.SamplesMost of the window, each as likely as the others.
func (t *Tracker) sample(ran int, b *backendState, o *node.Observation) {
	r := o.Request
	kind := -1
	if i := slices.Index(t.names.Kinds, b.description.Kind); i >= 0 {
		kind = i
	}
	s := migration.Sample{Class: r.Class, Kind: kind, UncachedTokens: max(0, r.PromptTokens-o.Result.Kept), Load: b.load,
		FirstToken: o.Own.Seconds(), TokenGap: tokenGap(o)}
	side := &t.counters[ran]
	t.samplesSeen[ran]++
	if len(side.Samples) < migration.MaxSamples {
		side.Samples = append(side.Samples, s)
	} else if i := rand.IntN(t.samplesSeen[ran]); i < migration.MaxSamples {
		side.Samples[i] = s
	}
}

// Follow has the flows that come from now on assigned by a record's shares, and the pools of its move counted.
func (t *Tracker) Follow(r migration.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ID != t.followed.ID {
		t.counters, t.samplesSeen = [2]migration.PoolWindow{}, [2]int{}
	}
	t.followed = r
	t.bind()
}

func (t *Tracker) bind() {
	r := t.followed
	t.table.Store(t.set.Bind(r.Shares))
	t.from, t.to = 0, 0
	if r.State != "" && !r.State.Terminal() {
		if from, to := t.set.Number(r.Plan.From), t.set.Number(r.Plan.To); from != 0 && to != 0 {
			t.from, t.to = from, to
		}
	}
}

// TakeWindow hands out what was counted since it was last called, with the pools' health.
func (t *Tracker) TakeWindow(now time.Time) (from, to migration.PoolWindow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, to = t.counters[0], t.counters[1]
	t.counters, t.samplesSeen = [2]migration.PoolWindow{}, [2]int{}
	from.Health, to.Health = t.health(t.from, now), t.health(t.to, now)
	return from, to
}

// Health is what is known of a pool's boxes.
func (t *Tracker) Health(name string, now time.Time) migration.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health(t.set.Number(name), now)
}

func (t *Tracker) health(number int, now time.Time) migration.Health {
	var h migration.Health
	for _, b := range t.backends {
		if b.pool != number || number == 0 {
			continue
		}
		h.Backends++
		if b.state != standpoint.Ready {
			continue
		}
		h.Ready++
		h.Capacity += b.description.Size
		warm := 1.0
		if b.readyAt > 0 {
			warm = t.plan.WarmFraction(now.Sub(clock.Time(b.readyAt)))
		}
		h.WarmCapacity += b.description.Size * warm
	}
	return h
}

// Members says who is in which pool.
type Members struct {
	Pool       string   `json:"pool"` // "" for those in none
	Select     string   `json:"select,omitempty"`
	Share      float64  `json:"share"` // of the file
	Backends   []Member `json:"boxes"`
	Overflowed int64    `json:"fell_over"` // flows that went to another pool, nothing being fit in theirs
}

// Member is a real server in a pool.
type Member struct {
	Name    string   `json:"name"`
	State   string   `json:"state"`
	Warmth  float64  `json:"warmth"`
	AlsoFit []string `json:"also_fits,omitempty"` // further pools whose selectors take it
}

// Members lists all pools, and last the boxes in none, if there are any.
func (t *Tracker) Members(now time.Time) []Members {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Members, t.set.Len()+1)
	for i, d := range t.set.Definitions() {
		all[i] = Members{Pool: d.Name, Select: d.Select.String(), Share: d.Share, Overflowed: t.overflowed[i+1]}
	}
	for _, name := range slices.Sorted(maps.Keys(t.backends)) {
		b := t.backends[name]
		at := len(all) - 1
		if b.pool > 0 && b.pool <= t.set.Len() {
			at = b.pool - 1
		}
		m := Member{Name: name, State: [...]string{"ready", "draining", "gone"}[b.state], Warmth: 1, AlsoFit: b.alsoFits}
		if b.readyAt > 0 {
			m.Warmth = t.plan.WarmFraction(now.Sub(clock.Time(b.readyAt)))
		}
		all[at].Backends = append(all[at].Backends, m)
	}
	if len(all[len(all)-1].Backends) == 0 {
		all = all[:len(all)-1]
	}
	return all
}

// Check tells whether a changed file can be taken on now: a move under way must keep its pools.
func (t *Tracker) Check(cfg *config.OperatorFile) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.followed
	if r.State == "" || r.State.Terminal() {
		return nil
	}
	for _, name := range []string{r.Plan.From, r.Plan.To} {
		if cfg.PoolSet.Number(name) == 0 {
			return fmt.Errorf("pool: %q cannot be taken away while move %s is %s", name, r.ID, r.State)
		}
	}
	return nil
}
