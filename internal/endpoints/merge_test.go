package endpoints

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint"
	"standpoint/internal/node"
)

func endpoint(name string, state standpoint.State, start int64) node.Endpoint {
	return node.Endpoint{Engine: standpoint.Engine{Name: name, State: state, ReadyAt: start}}
}

func whole(all ...node.Endpoint) node.EndpointList {
	return node.EndpointList{Kind: standpoint.ListFull, Endpoints: all}
}

func changes(all ...node.Endpoint) node.EndpointList {
	return node.EndpointList{Kind: standpoint.ListDelta, Endpoints: all}
}

// statesOf are a list's states by name.
func statesOf(l node.EndpointList) map[string]standpoint.State {
	states := map[string]standpoint.State{}
	for _, e := range l.Endpoints {
		states[e.Name] = e.State
	}
	return states
}

// What orders lists: each step is an answer, at a time of the test's own, and what is told of it.
func TestMergerOrdersResponses(t *testing.T) {
	t.Parallel()
	ready, draining, gone := standpoint.Ready, standpoint.Draining, standpoint.Gone
	type step struct {
		at    time.Duration
		move  bool // to another discovery, before
		line  int
		after int64
		seq   int64
		list  node.EndpointList
		tells map[string]standpoint.State // nil: nothing
	}
	for name, steps := range map[string][]step{
		"a newer list may make a server ready again": {
			{after: 5, seq: 6, list: changes(endpoint("s", draining, 0)), tells: map[string]standpoint.State{"s": draining}},
			{after: 6, seq: 7, list: changes(endpoint("s", ready, 0)), tells: map[string]standpoint.State{"s": ready}},
		},
		"an older whole list does not": {
			{after: 5, seq: 6, list: changes(endpoint("s", draining, 0)), tells: map[string]standpoint.State{"s": draining}},
			{after: 6, seq: 4, list: whole(endpoint("s", ready, 0)), tells: map[string]standpoint.State{"s": draining}},
			{at: time.Second, line: 1, after: 4, seq: 5, list: whole(endpoint("s", ready, 0)), tells: map[string]standpoint.State{"s": draining}},
		},
		"nor one in which what is gone is listed": {
			{after: 5, seq: 6, list: whole(), tells: map[string]standpoint.State{}},
			{after: 6, seq: 4, list: whole(endpoint("s", ready, 0)), tells: map[string]standpoint.State{"s": draining}},
		},
		"nor the first list of another discovery, whose versions are others": {
			{after: 5, seq: 6, list: changes(endpoint("s", draining, 0)), tells: map[string]standpoint.State{"s": draining}},
			{move: true, line: 1, seq: 900, list: whole(endpoint("s", ready, 0), endpoint("t", ready, 0)), tells: map[string]standpoint.State{"s": draining, "t": ready}},
			{at: departureHold, line: 1, seq: 900, list: whole(endpoint("s", ready, 0)), tells: map[string]standpoint.State{"s": ready}},
		},
		"a new start does": {
			{after: 5, seq: 6, list: changes(endpoint("s", gone, 0)), tells: map[string]standpoint.State{"s": gone}},
			{move: true, line: 1, seq: 1, list: whole(endpoint("s", ready, 9)), tells: map[string]standpoint.State{"s": ready}},
		},
		"and is drained again": {
			{after: 5, seq: 6, list: changes(endpoint("s", gone, 3)), tells: map[string]standpoint.State{"s": gone}},
			{after: 6, seq: 7, list: changes(endpoint("s", ready, 9)), tells: map[string]standpoint.State{"s": ready}},
			{after: 7, seq: 8, list: changes(endpoint("s", draining, 9)), tells: map[string]standpoint.State{"s": draining}},
			{move: true, line: 1, seq: 1, list: whole(endpoint("s", ready, 3)), tells: map[string]standpoint.State{"s": draining}},
		},
		"what the discovery before still writes counts, as departures": {
			{move: true, line: 0, after: 5, seq: 6, list: changes(endpoint("s", draining, 0), endpoint("t", ready, 0)), tells: map[string]standpoint.State{"s": draining}},
			{line: 1, seq: 1, list: whole(endpoint("s", ready, 0), endpoint("t", ready, 0)), tells: map[string]standpoint.State{"s": draining, "t": ready}},
		},
		"behind the first list of the new one too": {
			{move: true, line: 1, seq: 1, list: whole(endpoint("s", ready, 0)), tells: map[string]standpoint.State{"s": ready}},
			{line: 0, after: 5, seq: 6, list: changes(endpoint("s", draining, 0)), tells: map[string]standpoint.State{"s": draining}},
			{at: time.Second, line: 1, after: 1, seq: 2, list: whole(endpoint("s", ready, 0)), tells: map[string]standpoint.State{"s": draining}},
		},
		"but not of a process that was replaced": {
			{move: true, line: 1, seq: 1, list: whole(endpoint("s", ready, 9)), tells: map[string]standpoint.State{"s": ready}},
			{line: 0, after: 5, seq: 6, list: changes(endpoint("s", draining, 3))},
		},
		"an answer that comes late, of the same discovery": {
			{after: 5, seq: 8, list: changes(endpoint("s", ready, 0)), tells: map[string]standpoint.State{"s": ready}},
			{after: 5, seq: 7, list: changes(endpoint("s", draining, 0))}, // the newer one had it
			{after: 5, seq: 9, list: changes(endpoint("s", draining, 0)), tells: map[string]standpoint.State{"s": draining}},
		},
		"versions that begin anew: changes are departures alone, until the whole list": {
			{after: 5, seq: 2, list: changes(endpoint("s", draining, 0), endpoint("t", ready, 0)), tells: map[string]standpoint.State{"s": draining}},
			{line: 1, after: 5, seq: 3, list: changes(endpoint("t", ready, 0))},
			{line: 1, after: 5, seq: 3, list: whole(endpoint("t", ready, 0)), tells: map[string]standpoint.State{"t": ready}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			o := newMerger(5)
			o.restore(whole(endpoint("s", standpoint.Ready, 0), endpoint("t", standpoint.Ready, 0)), start)
			for i, s := range steps {
				if s.move {
					o.beginEpoch()
				}
				l, ok := o.merge(response{s.line, s.after, s.seq, s.list}, start.Add(s.at))
				require.Equal(t, s.tells != nil, ok, "step %d", i)
				if ok {
					require.Equal(t, s.tells, statesOf(l), "step %d", i)
				}
			}
		})
	}
}

// A server that is held back is looked at once more when the hold is over.
func TestMergerEndsHold(t *testing.T) {
	t.Parallel()
	start := time.Now()
	o := newMerger(5)
	o.merge(response{0, 5, 6, changes(endpoint("s", standpoint.Draining, 0))}, start)
	o.beginEpoch()
	require.False(t, o.endHold(start))
	o.merge(response{1, 6, 1, whole(endpoint("s", standpoint.Ready, 0))}, start)
	require.False(t, o.endHold(start.Add(departureHold-1)))
	require.True(t, o.endHold(start.Add(departureHold)), "the whole list is wanted")
	require.False(t, o.endHold(start.Add(departureHold)), "once")
	l, _ := o.merge(response{1, 1, 1, whole(endpoint("s", standpoint.Ready, 0))}, start.Add(departureHold))
	require.Equal(t, standpoint.Ready, l.Endpoints[0].State)
}

// What is gone is forgotten in time, and there is never too much of it.
func TestMergerIsBounded(t *testing.T) {
	t.Parallel()
	start := time.Now()
	o := newMerger(0)
	for i := range maxKnown + 100 {
		o.merge(response{0, int64(i), int64(i + 1), changes(endpoint(fmt.Sprint(i), standpoint.Gone, 0))}, start)
	}
	require.LessOrEqual(t, len(o.known), maxKnown)
	o.merge(response{0, maxKnown + 100, maxKnown + 101, changes(endpoint("s", standpoint.Ready, 0))}, start.Add(departureRetention+1))
	require.Len(t, o.known, 1)
}

// Whatever answers come, in whatever order, of one discovery or several: as long as nothing but a newer list of the
// same discovery, a new start or the end of the hold speaks for it, a server that was told to leave is not told to be
// ready.
func TestMergerKeepsDepartures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		o := newMerger(10)
		o.restore(whole(endpoint("s", standpoint.Ready, 1)), now)
		o.merge(response{0, 10, 11, changes(endpoint("s", standpoint.Draining, 1))}, now)
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "move") {
				o.beginEpoch()
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond) // within the hold, all of them
			l := node.EndpointList{Kind: rapid.SampledFrom([]standpoint.ListKind{standpoint.ListFull, standpoint.ListDelta}).Draw(t, "kind"),
				Endpoints: []node.Endpoint{endpoint("s", standpoint.Ready, 1)}}
			seq := rapid.Int64Range(0, 11).Draw(t, "seq")
			if o.epoch == 0 && !o.awaitingFull {
				seq = min(seq, 10) // not newer than the drain
			}
			got, _ := o.merge(response{rapid.IntRange(0, o.epoch).Draw(t, "line"), rapid.Int64Range(0, 11).Draw(t, "after"), seq, l}, now)
			for _, e := range got.Endpoints {
				if e.State == standpoint.Ready {
					t.Fatalf("step %d: told ready", i)
				}
			}
		}
	})
}
