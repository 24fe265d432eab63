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
	// departureHold is for how long a departure that one line of versions told stands against a list of another, which may be older:
	// by then whatever the other discovery had when it was first heard counts as told.
	departureHold = 6 * time.Second
	// departureRetention is for how long a server that is gone is remembered, should an older list name it once more.
	departureRetention = time.Minute
	maxKnown           = 8192 // that are remembered; beyond it the servers that are gone are forgotten first
)

// response is what a call to discovery brought.
type response struct {
	epoch        int   // of versions, at which the call was made
	afterVersion int64 // the version held then
	version      int64
	list         node.EndpointList
}

// merger decides what of discovery's answers holds. Versions order the answers of one line: of one discovery, for as long as its
// versions grow. Nothing orders two lines, so between them a departure goes before a server that is ready: whatever a discovery has
// written counts as told, also by an answer that comes late, behind a move, or is passed over for another reason. It is pure.
type merger struct {
	epoch        int
	version      int64
	awaitingFull bool      // no list of this line has come yet: the whole one is wanted
	holdFrom     time.Time // when the first list of this line came; zero: the line is the first
	known        map[string]knownEndpoint
}

// knownEndpoint is what was last told of a server.
type knownEndpoint struct {
	startedAt int64 // of its process
	departing bool
	removed   bool // not listed any more
	epoch     int
	updatedAt time.Time
}

func newMerger(seq int64) *merger { return &merger{version: seq, known: map[string]knownEndpoint{}} }

// restore takes in the list that the first version stands for.
func (o *merger) restore(l node.EndpointList, now time.Time) { o.remember(l, o.epoch, now) }

// beginEpoch starts another line of versions, of which nothing is known.
func (o *merger) beginEpoch() {
	o.epoch++
	o.awaitingFull = true
}

// merge says what is to be told of an answer; false: nothing.
func (o *merger) merge(a response, now time.Time) (node.EndpointList, bool) {
	whole := a.list.Kind == standpoint.ListFull
	switch {
	case a.epoch != o.epoch:
		return o.departures(a.list, now)
	case a.version < o.version && !o.awaitingFull && a.afterVersion != o.version:
		return node.EndpointList{}, false // another answer, newer than this one, has come meanwhile
	case !whole && (o.awaitingFull || a.version < a.afterVersion):
		if !o.awaitingFull {
			o.beginEpoch() // its versions have begun anew
		}
		return o.departures(a.list, now)
	case !o.awaitingFull && a.version < o.version:
		o.beginEpoch() // likewise, or the list is an older one
	}
	if o.awaitingFull {
		o.awaitingFull, o.holdFrom = false, now
	}
	o.version = a.version
	l := o.holdDepartures(a.list, now)
	o.remember(l, o.epoch, now)
	return l, true
}

// departures are those of a list that nothing orders: of it only they count.
func (o *merger) departures(l node.EndpointList, now time.Time) (node.EndpointList, bool) {
	told := node.EndpointList{Kind: standpoint.ListDelta}
	for _, e := range l.Endpoints {
		if e.State == standpoint.Ready {
			continue
		}
		if m, known := o.known[e.Name]; known && e.ReadyAt < m.startedAt && e.ReadyAt != 0 {
			continue // of the process before
		}
		told.Endpoints = append(told.Endpoints, e)
	}
	if len(told.Endpoints) == 0 {
		return told, false
	}
	o.remember(told, o.epoch-1, now)
	if !o.awaitingFull {
		o.holdFrom = now // what this line says of them is looked at once more, behind the hold
	}
	return told, true
}

// holdDepartures is a list in which servers that another line told to leave do so still.
func (o *merger) holdDepartures(l node.EndpointList, now time.Time) node.EndpointList {
	if !o.holdActive(now) {
		return l
	}
	l.Endpoints = slices.Clone(l.Endpoints)
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		m, known := o.known[e.Name]
		if known && m.departing && m.epoch < o.epoch && e.State == standpoint.Ready && e.ReadyAt <= m.startedAt {
			e.State = standpoint.Draining
		}
	}
	return l
}

// holdActive tells whether departures of an earlier line still stand.
func (o *merger) holdActive(now time.Time) bool {
	return !o.holdFrom.IsZero() && now.Before(o.holdFrom.Add(departureHold))
}

// refetchDue tells, once, that departures of an earlier line stand no more: the whole list is to be asked for again.
func (o *merger) refetchDue(now time.Time) bool {
	if o.holdFrom.IsZero() || o.holdActive(now) {
		return false
	}
	o.holdFrom = time.Time{}
	for _, m := range o.known {
		if m.departing && !m.removed && m.epoch < o.epoch {
			return true
		}
	}
	return false
}

// remember remembers what a line tells. A server that is held keeps the line that told it to leave.
func (o *merger) remember(l node.EndpointList, line int, now time.Time) {
	listed := map[string]bool{}
	for _, e := range l.Endpoints {
		listed[e.Name] = true
		m := knownEndpoint{startedAt: e.ReadyAt, departing: e.State != standpoint.Ready, removed: e.State == standpoint.Gone, epoch: line, updatedAt: now}
		if was, known := o.known[e.Name]; known && m.departing && was.departing {
			m.startedAt, m.epoch = max(m.startedAt, was.startedAt), was.epoch
		} else if known && m.departing {
			m.startedAt = max(m.startedAt, was.startedAt) // what is gone tells no start
		}
		o.known[e.Name] = m
	}
	for name, m := range o.known {
		if l.Kind == standpoint.ListFull && !listed[name] && !m.removed {
			m.departing, m.removed, m.updatedAt = true, true, now
			o.known[name] = m
		}
		if m.removed && now.Sub(m.updatedAt) > departureRetention {
			delete(o.known, name)
		}
	}
	o.evictOldest()
}

// evictOldest forgets what there is too much of, those longest gone first.
func (o *merger) evictOldest() {
	if len(o.known) <= maxKnown {
		return
	}
	names := slices.SortedFunc(maps.Keys(o.known), func(a, b string) int {
		x, y := o.known[a], o.known[b]
		switch {
		case x.removed != y.removed && x.removed:
			return -1
		case x.removed != y.removed:
			return 1
		case !x.updatedAt.Equal(y.updatedAt):
			return x.updatedAt.Compare(y.updatedAt)
		}
		return strings.Compare(a, b)
	})
	for _, name := range names[:len(names)-maxKnown] {
		delete(o.known, name)
	}
}
