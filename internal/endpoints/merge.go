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
	// departureHoldTime is how long a departure reported in one epoch overrides the lists of a later epoch, which may
	// be older than the departure. After that time the node has every change that the new discovery had when its first
	// list arrived.
	departureHoldTime = 6 * time.Second
	// departureRetention is how long a removed endpoint is remembered, in case an older list still contains it.
	departureRetention = time.Minute
	// maxKnownEndpoints bounds the remembered endpoints. Beyond it, removed endpoints are forgotten first.
	maxKnownEndpoints = 8192
)

// response is discovery's response to a poll.
type response struct {
	epoch        int   // the epoch in which the poll was sent
	afterVersion int64 // the version of the node's list when the poll was sent
	version      int64 // the version of the response's list
	list         node.EndpointList
}

// merger decides which parts of discovery's responses are passed on, and in which form.
//
// An epoch is the time during which the node uses one discovery and the versions of its lists increase. Versions order
// the responses of one epoch. Responses of different epochs have no order, so between epochs a departure (a draining
// or removed endpoint) overrides a ready endpoint. A departure is valid once discovery has sent it, even if its
// response arrives late or after a switch to another discovery, or is otherwise discarded.
//
// A merger does no I/O, reads no clock, and is not safe for concurrent use.
type merger struct {
	epoch        int
	version      int64 // the version of the list in use
	awaitingFull bool  // no full list of this epoch has arrived yet
	// holdStartedAt is when the hold began, during which departures of earlier epochs override the lists of this one.
	// The hold lasts departureHoldTime; zero if there is none.
	holdStartedAt time.Time
	known         map[string]knownEndpoint // by endpoint name
}

// knownEndpoint is the last report of an endpoint.
type knownEndpoint struct {
	startedAt int64 // start of the backend's process
	departing bool  // draining or removed
	removed   bool  // gone, or no longer listed
	epoch     int   // the epoch of the report; for a departing endpoint, that of the first report of the departure
	updatedAt time.Time
}

// newMerger returns a merger in its first epoch, in which the node's list has the given version.
func newMerger(version int64) *merger {
	return &merger{version: version, known: map[string]knownEndpoint{}}
}

// restore records the list that has the merger's first version.
func (m *merger) restore(list node.EndpointList, now time.Time) { m.remember(list, m.epoch, now) }

// beginEpoch begins a new epoch, in which a full list is awaited.
func (m *merger) beginEpoch() {
	m.epoch++
	m.awaitingFull = true
}

// merge returns the full list or the change to pass on for a response, and false if there is nothing to pass on.
func (m *merger) merge(r response, now time.Time) (node.EndpointList, bool) {
	full := r.list.Kind == standpoint.ListFull
	switch {
	case r.epoch != m.epoch:
		return m.departures(r.list, now)
	case r.version < m.version && !m.awaitingFull && r.afterVersion != m.version:
		return node.EndpointList{}, false // a newer response arrived before it
	case !full && (m.awaitingFull || r.version < r.afterVersion):
		if !m.awaitingFull {
			m.beginEpoch() // discovery's versions have restarted
		}
		return m.departures(r.list, now)
	case !m.awaitingFull && r.version < m.version:
		m.beginEpoch() // the versions have restarted, or the list is older than the one in use
	}
	if m.awaitingFull {
		m.awaitingFull = false
		m.holdStartedAt = now
	}
	m.version = r.version
	list := m.holdDepartures(r.list, now)
	m.remember(list, m.epoch, now)
	return list, true
}

// departures returns the departures in a list that cannot be ordered by its version. The rest of the list is ignored.
func (m *merger) departures(list node.EndpointList, now time.Time) (node.EndpointList, bool) {
	departing := node.EndpointList{Kind: standpoint.ListDelta}
	for _, endpoint := range list.Endpoints {
		if endpoint.State == standpoint.Ready {
			continue
		}
		last, known := m.known[endpoint.Name]
		if known && endpoint.StartedAt < last.startedAt && endpoint.StartedAt != 0 {
			continue // the departing process has already been replaced
		}
		departing.Endpoints = append(departing.Endpoints, endpoint)
	}
	if len(departing.Endpoints) == 0 {
		return departing, false
	}
	m.remember(departing, m.epoch-1, now)
	if !m.awaitingFull {
		m.holdStartedAt = now // after the hold the full list of the current epoch is fetched again
	}
	return departing, true
}

// holdDepartures returns a list in which endpoints that departed in an earlier epoch are draining during the hold,
// unless the list reports a newer start.
func (m *merger) holdDepartures(list node.EndpointList, now time.Time) node.EndpointList {
	if !m.holdActive(now) {
		return list
	}
	list.Endpoints = slices.Clone(list.Endpoints)
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		last, known := m.known[endpoint.Name]
		held := known && last.departing && last.epoch < m.epoch
		if held && endpoint.State == standpoint.Ready && endpoint.StartedAt <= last.startedAt {
			endpoint.State = standpoint.Draining
		}
	}
	return list
}

// holdActive reports whether departures of earlier epochs still override the lists of this one.
func (m *merger) holdActive(now time.Time) bool {
	return !m.holdStartedAt.IsZero() && now.Before(m.holdStartedAt.Add(departureHoldTime))
}

// endHold ends the hold if its time has passed. It reports, once, whether endpoints were held as draining: these may be
// ready by now, so the full list has to be fetched again.
func (m *merger) endHold(now time.Time) bool {
	if m.holdStartedAt.IsZero() || m.holdActive(now) {
		return false
	}
	m.holdStartedAt = time.Time{}
	for _, last := range m.known {
		if last.departing && !last.removed && last.epoch < m.epoch {
			return true
		}
	}
	return false
}

// remember records the endpoints that a list of an epoch reports.
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

// rememberEndpoint records the report of one endpoint.
func (m *merger) rememberEndpoint(endpoint node.Endpoint, epoch int, now time.Time) {
	next := knownEndpoint{
		startedAt: endpoint.StartedAt,
		departing: endpoint.State != standpoint.Ready,
		removed:   endpoint.State == standpoint.Removed,
		epoch:     epoch,
		updatedAt: now,
	}
	if last, known := m.known[endpoint.Name]; known && next.departing {
		next.startedAt = max(next.startedAt, last.startedAt) // the report of a removed endpoint may have no start
		if last.departing {
			next.epoch = last.epoch
		}
	}
	m.known[endpoint.Name] = next
}

// evictOldest forgets endpoints beyond maxKnownEndpoints: removed endpoints first, and of these the least recently
// updated.
func (m *merger) evictOldest() {
	if len(m.known) <= maxKnownEndpoints {
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
	for _, name := range names[:len(names)-maxKnownEndpoints] {
		delete(m.known, name)
	}
}
