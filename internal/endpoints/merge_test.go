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

// mergeStep is a response that a merger gets, and what it passes on.
type mergeStep struct {
	elapsed      time.Duration // since the test's start
	switched     bool          // to another discovery, just before
	epoch        int
	afterVersion int64
	version      int64
	list         node.EndpointList
	passes       states // nil: nothing is passed on
}

// Each case begins at version 5, with the ready endpoints s and t.
func TestMergerOrdersResponses(t *testing.T) {
	t.Parallel()
	for name, steps := range map[string][]mergeStep{
		"a newer list may make an endpoint ready again": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 0)), passes: states{"s": draining}},
			{afterVersion: 6, version: 7, list: deltaList(endpoint("s", ready, 0)), passes: states{"s": ready}},
		},
		"an older full list does not": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 0)), passes: states{"s": draining}},
			{afterVersion: 6, version: 4, list: fullList(endpoint("s", ready, 0)), passes: states{"s": draining}},
			{
				elapsed: time.Second, epoch: 1, afterVersion: 4, version: 5,
				list:   fullList(endpoint("s", ready, 0)),
				passes: states{"s": draining},
			},
		},
		"nor one in which what is gone is listed": {
			{afterVersion: 5, version: 6, list: fullList(), passes: states{}},
			{afterVersion: 6, version: 4, list: fullList(endpoint("s", ready, 0)), passes: states{"s": draining}},
		},
		"nor the first list of another discovery, whose versions are others": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 0)), passes: states{"s": draining}},
			{
				switched: true, epoch: 1, version: 900,
				list:   fullList(endpoint("s", ready, 0), endpoint("t", ready, 0)),
				passes: states{"s": draining, "t": ready},
			},
			{
				elapsed: departureHold, epoch: 1, version: 900,
				list:   fullList(endpoint("s", ready, 0)),
				passes: states{"s": ready},
			},
		},
		"a new start does": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", gone, 0)), passes: states{"s": gone}},
			{
				switched: true, epoch: 1, version: 1,
				list:   fullList(endpoint("s", ready, 9)),
				passes: states{"s": ready},
			},
		},
		"and is drained again": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", gone, 3)), passes: states{"s": gone}},
			{afterVersion: 6, version: 7, list: deltaList(endpoint("s", ready, 9)), passes: states{"s": ready}},
			{afterVersion: 7, version: 8, list: deltaList(endpoint("s", draining, 9)), passes: states{"s": draining}},
			{
				switched: true, epoch: 1, version: 1,
				list:   fullList(endpoint("s", ready, 3)),
				passes: states{"s": draining},
			},
		},
		"what the discovery before still writes counts, as departures": {
			{
				switched: true, epoch: 0, afterVersion: 5, version: 6,
				list:   deltaList(endpoint("s", draining, 0), endpoint("t", ready, 0)),
				passes: states{"s": draining},
			},
			{
				epoch: 1, version: 1,
				list:   fullList(endpoint("s", ready, 0), endpoint("t", ready, 0)),
				passes: states{"s": draining, "t": ready},
			},
		},
		"behind the first list of the new one too": {
			{
				switched: true, epoch: 1, version: 1,
				list:   fullList(endpoint("s", ready, 0)),
				passes: states{"s": ready},
			},
			{
				epoch: 0, afterVersion: 5, version: 6,
				list:   deltaList(endpoint("s", draining, 0)),
				passes: states{"s": draining},
			},
			{
				elapsed: time.Second, epoch: 1, afterVersion: 1, version: 2,
				list:   fullList(endpoint("s", ready, 0)),
				passes: states{"s": draining},
			},
		},
		"but not of a process that was replaced": {
			{
				switched: true, epoch: 1, version: 1,
				list:   fullList(endpoint("s", ready, 9)),
				passes: states{"s": ready},
			},
			{epoch: 0, afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 3))},
		},
		"an answer that comes late, of the same discovery": {
			{afterVersion: 5, version: 8, list: deltaList(endpoint("s", ready, 0)), passes: states{"s": ready}},
			{afterVersion: 5, version: 7, list: deltaList(endpoint("s", draining, 0))}, // the newer one had it
			{afterVersion: 5, version: 9, list: deltaList(endpoint("s", draining, 0)), passes: states{"s": draining}},
		},
		"versions that begin anew: changes are departures alone, until the whole list": {
			{
				afterVersion: 5, version: 2,
				list:   deltaList(endpoint("s", draining, 0), endpoint("t", ready, 0)),
				passes: states{"s": draining},
			},
			{epoch: 1, afterVersion: 5, version: 3, list: deltaList(endpoint("t", ready, 0))},
			{
				epoch: 1, afterVersion: 5, version: 3,
				list:   fullList(endpoint("t", ready, 0)),
				passes: states{"t": ready},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			m := newMerger(5)
			m.restore(fullList(endpoint("s", ready, 0), endpoint("t", ready, 0)), start)
			for i, step := range steps {
				if step.switched {
					m.beginEpoch()
				}
				list, passed := m.merge(response{
					epoch:        step.epoch,
					afterVersion: step.afterVersion,
					version:      step.version,
					list:         step.list,
				}, start.Add(step.elapsed))
				require.Equal(t, step.passes != nil, passed, "step %d", i)
				if passed {
					require.Equal(t, step.passes, statesOf(list), "step %d", i)
				}
			}
		})
	}
}

// The full list is fetched once more when the hold is over, for the endpoints that were held.
func TestMergerEndsHold(t *testing.T) {
	t.Parallel()
	start := time.Now()
	m := newMerger(5)
	m.merge(response{afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 0))}, start)
	m.beginEpoch()
	require.False(t, m.endHold(start))
	m.merge(response{epoch: 1, afterVersion: 6, version: 1, list: fullList(endpoint("s", ready, 0))}, start)
	require.False(t, m.endHold(start.Add(departureHold-1)))
	require.True(t, m.endHold(start.Add(departureHold)), "the full list is wanted")
	require.False(t, m.endHold(start.Add(departureHold)), "once")
	again := response{epoch: 1, afterVersion: 1, version: 1, list: fullList(endpoint("s", ready, 0))}
	list, _ := m.merge(again, start.Add(departureHold))
	require.Equal(t, ready, list.Endpoints[0].State)
}

// Removed endpoints are forgotten after a while, and their number is bounded.
func TestMergerIsBounded(t *testing.T) {
	t.Parallel()
	start := time.Now()
	m := newMerger(0)
	report := func(version int, endpoint node.Endpoint, now time.Time) {
		m.merge(response{afterVersion: int64(version - 1), version: int64(version), list: deltaList(endpoint)}, now)
	}
	for i := range maxKnown + 100 {
		report(i+1, endpoint(fmt.Sprint(i), gone, 0), start)
	}
	require.LessOrEqual(t, len(m.known), maxKnown)
	report(maxKnown+101, endpoint("s", ready, 0), start.Add(departureRetention+1))
	require.Len(t, m.known, 1)
}

// Whatever responses come, in whatever order, of one discovery or several: a departing endpoint is not passed on as
// ready unless a newer list of the same discovery, a new start or the end of the hold speaks for it.
func TestMergerKeepsDepartures(t *testing.T) {
	t.Parallel()
	kinds := []standpoint.ListKind{standpoint.ListFull, standpoint.ListDelta}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		m := newMerger(10)
		m.restore(fullList(endpoint("s", ready, 1)), now)
		m.merge(response{afterVersion: 10, version: 11, list: deltaList(endpoint("s", draining, 1))}, now)
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "switched") {
				m.beginEpoch()
			}
			elapsed := rapid.IntRange(0, 400).Draw(t, "ms") // all of them are within the hold
			now = now.Add(time.Duration(elapsed) * time.Millisecond)
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			version := rapid.Int64Range(0, 11).Draw(t, "version")
			if m.epoch == 0 && !m.awaitingFull {
				version = min(version, 10) // not newer than the drain
			}
			list, _ := m.merge(response{
				epoch:        rapid.IntRange(0, m.epoch).Draw(t, "epoch"),
				afterVersion: rapid.Int64Range(0, 11).Draw(t, "after version"),
				version:      version,
				list:         node.EndpointList{Kind: kind, Endpoints: []node.Endpoint{endpoint("s", ready, 1)}},
			}, now)
			for _, passed := range list.Endpoints {
				if passed.State == ready {
					t.Fatalf("step %d: passed on as ready", i)
				}
			}
		}
	})
}
