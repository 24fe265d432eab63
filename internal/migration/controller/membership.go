package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/migration"
	"standpoint/internal/node"
	"standpoint/internal/pool"
)

// The modes of a backend in selectors.
const (
	streamMode = "stream"
	batchMode  = "batch"
)

// backendState is the tracker's state of one backend.
type backendState struct {
	description pool.Backend
	pool        int      // number of its pool; 0 for none
	otherPools  []string // other pools whose selectors match too
	state       standpoint.State
	readyAt     int64   // when it became ready, in nanoseconds of the process's clock; 0 if unknown
	load        float64 // fraction of its slots in use, by its last load report
}

// Place implements node.Pools. The endpoint of a removed backend that has no address leaves the backend in its pool.
func (t *Tracker) Place(endpoint *node.Endpoint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	backend := t.backends[endpoint.Name]
	if backend == nil {
		backend = &backendState{}
		t.backends[endpoint.Name] = backend
	}
	backend.description = t.selectorView(endpoint)
	if endpoint.State == standpoint.Removed && endpoint.Address == "" && backend.pool != 0 {
		return backend.pool // such an endpoint may lack the labels
	}
	backend.pool, backend.otherPools = t.set.PoolOf(backend.description)
	return backend.pool
}

// selectorView returns the properties of an endpoint that selectors match.
func (t *Tracker) selectorView(endpoint *node.Endpoint) pool.Backend {
	description := pool.Backend{
		Name:    endpoint.Name,
		Address: endpoint.Address,
		Site:    nameOf(t.names.Zones, endpoint.Zone),
		Kind:    nameOf(t.names.Kinds, endpoint.Kind),
		Mode:    streamMode,
		Cell:    endpoint.Cell,
		Size:    endpoint.Size,
		Labels:  endpoint.Labels,
	}
	if endpoint.Batch {
		description.Mode = batchMode
	}
	return description
}

func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}

// UpdateEndpoints implements node.Pools.
func (t *Tracker) UpdateEndpoints(list node.EndpointList) {
	if list.Kind == standpoint.ListFailed {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Name] = true
		if endpoint.State == standpoint.Removed {
			delete(t.backends, endpoint.Name)
			continue
		}
		// The backend is unknown if the same list contains it as removed, too.
		if backend := t.backends[endpoint.Name]; backend != nil {
			backend.state = endpoint.State
			backend.readyAt = endpoint.StartedAt
		}
	}
	if list.Kind == standpoint.ListFull {
		maps.DeleteFunc(t.backends, func(name string, _ *backendState) bool { return !listed[name] })
	}
	t.warnAboutPoolAssignment()
}

// warnAboutPoolAssignment logs the endpoints that are matched by no selector or by several, if they differ from those
// in the last warning.
func (t *Tracker) warnAboutPoolAssignment() {
	var unassigned, ambiguous []string
	for name, backend := range t.backends {
		switch {
		case backend.pool == 0:
			unassigned = append(unassigned, name)
		case len(backend.otherPools) > 0:
			assigned := t.set.Name(backend.pool)
			ambiguous = append(
				ambiguous,
				fmt.Sprintf("%s (%s; also %s)", name, assigned, strings.Join(backend.otherPools, ", ")),
			)
		}
	}
	slices.Sort(unassigned)
	slices.Sort(ambiguous)
	warning := fmt.Sprint(unassigned, ambiguous)
	if warning == t.lastWarning {
		return
	}
	t.lastWarning = warning
	if len(unassigned) > 0 {
		t.log.Warn("endpoints in no pool", zap.Strings("endpoints", unassigned))
	}
	if len(ambiguous) > 0 {
		t.log.Warn("endpoints in several pools, the first counts", zap.Strings("endpoints", ambiguous))
	}
}

// Health returns the health of the pool with the given name.
func (t *Tracker) Health(name string, now time.Time) migration.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health(t.set.Number(name), now)
}

func (t *Tracker) health(number int, now time.Time) migration.Health {
	var health migration.Health
	for _, backend := range t.backends {
		if backend.pool != number || number == 0 {
			continue
		}
		health.Backends++
		if backend.state != standpoint.Ready {
			continue
		}
		health.Ready++
		health.Capacity += backend.description.Size
		health.WarmCapacity += backend.description.Size * t.warmFraction(backend, now)
	}
	return health
}

// warmFraction returns the fraction of a backend's capacity that has warmed up; 1 if its start is unknown.
func (t *Tracker) warmFraction(backend *backendState, now time.Time) float64 {
	if backend.readyAt <= 0 {
		return 1
	}
	return t.plan.WarmFraction(now.Sub(clock.Time(backend.readyAt)))
}

// PoolMembers is a pool and its backends.
type PoolMembers struct {
	Pool       string   `json:"pool"`             // name; empty for the backends that are in no pool
	Select     string   `json:"select,omitempty"` // selector
	Share      float64  `json:"share"`            // configured share of the requests
	Backends   []Member `json:"boxes"`
	Overflowed int64    `json:"fell_over"` // requests sent to another pool because no backend of this one was eligible
}

// Member is a backend in a pool.
type Member struct {
	Name         string   `json:"name"`
	State        string   `json:"state"`
	WarmFraction float64  `json:"warmth"`              // fraction of its capacity that has warmed up
	OtherPools   []string `json:"also_fits,omitempty"` // other pools whose selectors match too
}

// Members returns all pools with their backends. A last element without a name has the backends that are in no pool, if
// there are any.
func (t *Tracker) Members(now time.Time) []PoolMembers {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]PoolMembers, t.set.Len()+1)
	unplaced := len(all) - 1
	for i, definition := range t.set.Definitions() {
		all[i] = PoolMembers{
			Pool:       definition.Name,
			Select:     definition.Selector.String(),
			Share:      definition.Share,
			Overflowed: t.overflowed[i+1],
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.backends)) {
		backend := t.backends[name]
		index := unplaced
		if backend.pool > 0 && backend.pool <= t.set.Len() {
			index = backend.pool - 1
		}
		all[index].Backends = append(all[index].Backends, Member{
			Name:         name,
			State:        [...]string{"ready", "draining", "gone"}[backend.state],
			WarmFraction: t.warmFraction(backend, now),
			OtherPools:   backend.otherPools,
		})
	}
	if len(all[unplaced].Backends) == 0 {
		all = all[:unplaced]
	}
	return all
}
