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
	// departHold is for how long a departure that one line of versions told stands against a list of another, which may be older:
	// by then whatever the other discovery had when it was first heard counts as told.
	departHold = 6 * time.Second
	// departKeep is for how long a server that is gone is remembered, should an older list name it once more.
	departKeep  = time.Minute
	membersMost = 8192 // that are remembered; beyond it the servers that are gone are forgotten first
)

// answer is what a call to discovery brought.
type answer struct {
	line  int   // of versions, at which the call was made
	after int64 // the version held then
	seq   int64
	list  node.EndpointList
}

// order decides what of discovery's answers holds. Versions order the answers of one line: of one discovery, for as long as its
// versions grow. Nothing orders two lines, so between them a departure goes before a server that is ready: whatever a discovery has
// written counts as told, also by an answer that comes late, behind a move, or is passed over for another reason. It is pure.
type order struct {
	line      int
	seq       int64
	unordered bool      // no list of this line has come yet: the whole one is wanted
	began     time.Time // when the first list of this line came; zero: the line is the first
	members   map[string]member
}

// member is what was last told of a server.
type member struct {
	start   int64 // of its process
	leaving bool
	gone    bool // not listed any more
	line    int
	at      time.Time
}

func newOrder(seq int64) *order { return &order{seq: seq, members: map[string]member{}} }

// know takes in the list that the first version stands for.
func (o *order) know(l node.EndpointList, now time.Time) { o.note(l, o.line, now) }

// begin starts another line of versions, of which nothing is known.
func (o *order) begin() {
	o.line++
	o.unordered = true
}

// take says what is to be told of an answer; false: nothing.
func (o *order) take(a answer, now time.Time) (node.EndpointList, bool) {
	whole := a.list.Kind == standpoint.ListFull
	switch {
	case a.line != o.line:
		return o.departures(a.list, now)
	case a.seq < o.seq && !o.unordered && a.after != o.seq:
		return node.EndpointList{}, false // another answer, newer than this one, has come meanwhile
	case !whole && (o.unordered || a.seq < a.after):
		if !o.unordered {
			o.begin() // its versions have begun anew
		}
		return o.departures(a.list, now)
	case !o.unordered && a.seq < o.seq:
		o.begin() // likewise, or the list is an older one
	}
	if o.unordered {
		o.unordered, o.began = false, now
	}
	o.seq = a.seq
	l := o.held(a.list, now)
	o.note(l, o.line, now)
	return l, true
}

// departures are those of a list that nothing orders: of it only they count.
func (o *order) departures(l node.EndpointList, now time.Time) (node.EndpointList, bool) {
	told := node.EndpointList{Kind: standpoint.ListDelta}
	for _, e := range l.Endpoints {
		if e.State == standpoint.Ready {
			continue
		}
		if m, known := o.members[e.Name]; known && e.ReadyAt < m.start && e.ReadyAt != 0 {
			continue // of the process before
		}
		told.Endpoints = append(told.Endpoints, e)
	}
	if len(told.Endpoints) == 0 {
		return told, false
	}
	o.note(told, o.line-1, now)
	if !o.unordered {
		o.began = now // what this line says of them is looked at once more, behind the hold
	}
	return told, true
}

// held is a list in which servers that another line told to leave do so still.
func (o *order) held(l node.EndpointList, now time.Time) node.EndpointList {
	if !o.holding(now) {
		return l
	}
	l.Endpoints = slices.Clone(l.Endpoints)
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		m, known := o.members[e.Name]
		if known && m.leaving && m.line < o.line && e.State == standpoint.Ready && e.ReadyAt <= m.start {
			e.State = standpoint.Draining
		}
	}
	return l
}

// holding tells whether departures of an earlier line still stand.
func (o *order) holding(now time.Time) bool {
	return !o.began.IsZero() && now.Before(o.began.Add(departHold))
}

// released tells, once, that departures of an earlier line stand no more: the whole list is to be asked for again.
func (o *order) released(now time.Time) bool {
	if o.began.IsZero() || o.holding(now) {
		return false
	}
	o.began = time.Time{}
	for _, m := range o.members {
		if m.leaving && !m.gone && m.line < o.line {
			return true
		}
	}
	return false
}

// note remembers what a line tells. A server that is held keeps the line that told it to leave.
func (o *order) note(l node.EndpointList, line int, now time.Time) {
	listed := map[string]bool{}
	for _, e := range l.Endpoints {
		listed[e.Name] = true
		m := member{start: e.ReadyAt, leaving: e.State != standpoint.Ready, gone: e.State == standpoint.Gone, line: line, at: now}
		if was, known := o.members[e.Name]; known && m.leaving && was.leaving {
			m.start, m.line = max(m.start, was.start), was.line
		} else if known && m.leaving {
			m.start = max(m.start, was.start) // what is gone tells no start
		}
		o.members[e.Name] = m
	}
	for name, m := range o.members {
		if l.Kind == standpoint.ListFull && !listed[name] && !m.gone {
			m.leaving, m.gone, m.at = true, true, now
			o.members[name] = m
		}
		if m.gone && now.Sub(m.at) > departKeep {
			delete(o.members, name)
		}
	}
	o.bound()
}

// bound forgets what there is too much of, those longest gone first.
func (o *order) bound() {
	if len(o.members) <= membersMost {
		return
	}
	names := slices.SortedFunc(maps.Keys(o.members), func(a, b string) int {
		x, y := o.members[a], o.members[b]
		switch {
		case x.gone != y.gone && x.gone:
			return -1
		case x.gone != y.gone:
			return 1
		case !x.at.Equal(y.at):
			return x.at.Compare(y.at)
		}
		return strings.Compare(a, b)
	})
	for _, name := range names[:len(names)-membersMost] {
		delete(o.members, name)
	}
}
