package endpoints

import (
	"maps"
	"slices"
	"strings"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

const (
	// departureHold is for how long a departure that was reported in one epoch stands against a list of another, which
	// may be older: by then the node knows whatever the other discovery had when its first list came.
	departureHold = 6 * time.Second
	// departureRetention is for how long a removed endpoint is remembered, in case an older list has it once more.
	departureRetention = time.Minute
	// maxKnown bounds the endpoints that are remembered; beyond it those that were removed are forgotten first.
	maxKnown = 8192
)

// response is what a poll of discovery returned.
type response struct {
	epoch        int   // in which the poll was sent
	afterVersion int64 // the version that the node had then
	version      int64
	list         node.EndpointList
}

// merger decides what of discovery's responses is passed on, and in which form. Versions order the responses of one
// epoch: of one discovery, for as long as its versions grow. Nothing orders those of two epochs, so between them a
// departure (draining, or gone) wins over a ready endpoint. A departure counts once discovery has written it, even if
// its response comes late, after a switch to another discovery, or is otherwise discarded.
//
// It does no I/O, has no clock, and is not safe for concurrent use.
type merger struct {
	epoch        int
	version      int64     // of the list that is in use
	awaitingFull bool      // no full list of this epoch has come yet
	holdFrom     time.Time // departures of earlier epochs stand for departureHold from here; zero if there are none
	known        map[string]knownEndpoint
}

// knownEndpoint is what was last reported of an endpoint.
type knownEndpoint struct {
	startedAt int64 // of its process
	departing bool
	removed   bool // not listed any more
	epoch     int  // that reported it, or, of a departing one, that first reported the departure
	updatedAt time.Time
}

// newMerger returns a merger in its first epoch, of which it has a version.
func newMerger(version int64) *merger {
	return &merger{version: version, known: map[string]knownEndpoint{}}
}

// restore records the list that the first version stands for.
func (m *merger) restore(list node.EndpointList, now time.Time) { m.remember(list, m.epoch, now) }

// beginEpoch begins an epoch, of which a full list is awaited.
func (m *merger) beginEpoch() {
	m.epoch++
	m.awaitingFull = true
}

// merge returns the list, or the change of it, to pass on for a response; false if there is none.
func (m *merger) merge(r response, now time.Time) (node.EndpointList, bool) {
	full := r.list.Kind == standpoint.ListFull
	switch {
	case r.epoch != m.epoch:
		return m.departures(r.list, now)
	case r.version < m.version && !m.awaitingFull && r.afterVersion != m.version:
		return node.EndpointList{}, false // a newer response has overtaken it
	case !full && (m.awaitingFull || r.version < r.afterVersion):
		if !m.awaitingFull {
			m.beginEpoch() // discovery's versions have started over
		}
		return m.departures(r.list, now)
	case !m.awaitingFull && r.version < m.version:
		m.beginEpoch() // they have, or the list is an older one
	}
	if m.awaitingFull {
		m.awaitingFull = false
		m.holdFrom = now
	}
	m.version = r.version
	list := m.holdDepartures(r.list, now)
	m.remember(list, m.epoch, now)
	return list, true
}

// departures returns the departures in a list that no version orders; nothing else of such a list counts.
func (m *merger) departures(list node.EndpointList, now time.Time) (node.EndpointList, bool) {
	departing := node.EndpointList{Kind: standpoint.ListDelta}
	for _, endpoint := range list.Endpoints {
		if endpoint.State == standpoint.Ready {
			continue
		}
		last, known := m.known[endpoint.Name]
		if known && endpoint.ReadyAt < last.startedAt && endpoint.ReadyAt != 0 {
			continue // the process that departs was replaced
		}
		departing.Endpoints = append(departing.Endpoints, endpoint)
	}
	if len(departing.Endpoints) == 0 {
		return departing, false
	}
	m.remember(departing, m.epoch-1, now)
	if !m.awaitingFull {
		m.holdFrom = now // the present epoch's word on them is fetched once more after the hold
	}
	return departing, true
}

// holdDepartures returns a list in which endpoints that depart by an earlier epoch's word still do.
func (m *merger) holdDepartures(list node.EndpointList, now time.Time) node.EndpointList {
	if !m.holdActive(now) {
		return list
	}
	list.Endpoints = slices.Clone(list.Endpoints)
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		last, known := m.known[endpoint.Name]
		held := known && last.departing && last.epoch < m.epoch
		if held && endpoint.State == standpoint.Ready && endpoint.ReadyAt <= last.startedAt {
			endpoint.State = standpoint.Draining
		}
	}
	return list
}

// holdActive reports whether departures of earlier epochs still stand.
func (m *merger) holdActive(now time.Time) bool {
	return !m.holdFrom.IsZero() && now.Before(m.holdFrom.Add(departureHold))
}

// endHold ends the hold if its time is over. It returns true, once, if endpoints were held: they may be ready by now,
// so the full list is to be fetched again.
func (m *merger) endHold(now time.Time) bool {
	if m.holdFrom.IsZero() || m.holdActive(now) {
		return false
	}
	m.holdFrom = time.Time{}
	for _, last := range m.known {
		if last.departing && !last.removed && last.epoch < m.epoch {
			return true
		}
	}
	return false
}

// remember records what an epoch reports.
func (m *merger) remember(list node.EndpointList, epoch int, now time.Time) {
	listed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Name] = true
		m.rememberEndpoint(endpoint, epoch, now)
	}
	for name, last := range m.known {
		if list.Kind == standpoint.ListFull && !listed[name] && !last.removed {
			last.departing = true
			last.removed = true
			last.updatedAt = now
			m.known[name] = last
		}
		if last.removed && now.Sub(last.updatedAt) > departureRetention {
			delete(m.known, name)
		}
	}
	m.evictOldest()
}

func (m *merger) rememberEndpoint(endpoint node.Endpoint, epoch int, now time.Time) {
	next := knownEndpoint{
		startedAt: endpoint.ReadyAt,
		departing: endpoint.State != standpoint.Ready,
		removed:   endpoint.State == standpoint.Gone,
		epoch:     epoch,
		updatedAt: now,
	}
	if last, known := m.known[endpoint.Name]; known && next.departing {
		next.startedAt = max(next.startedAt, last.startedAt) // one that is gone has no start
		if last.departing {
			next.epoch = last.epoch
		}
	}
	m.known[endpoint.Name] = next
}

// evictOldest forgets endpoints beyond maxKnown: first those that were removed, and of them the oldest.
func (m *merger) evictOldest() {
	if len(m.known) <= maxKnown {
		return
	}
	names := slices.SortedFunc(maps.Keys(m.known), func(a, b string) int {
		x, y := m.known[a], m.known[b]
		switch {
		case x.removed && !y.removed:
			return -1
		case y.removed && !x.removed:
			return 1
		case !x.updatedAt.Equal(y.updatedAt):
			return x.updatedAt.Compare(y.updatedAt)
		}
		return strings.Compare(a, b)
	})
	for _, name := range names[:len(names)-maxKnown] {
		delete(m.known, name)
	}
}
