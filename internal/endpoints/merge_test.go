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

// mergeStep is a response to a merger, and what the merger has to pass on.
type mergeStep struct {
	elapsed      time.Duration // since the test's start
	switched     bool          // the node switches to another discovery just before the response
	epoch        int
	afterVersion int64
	version      int64
	list         node.EndpointList
	want         states // nil if nothing is passed on
}

// Versions order the responses of one discovery, and a departure overrides lists that may be older. Each case begins at
// version 5, with the ready endpoints s and t.
func TestMergerOrdersResponses(t *testing.T) {
	t.Parallel()
	for name, steps := range map[string][]mergeStep{
		"a newer list makes a draining endpoint ready again": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 0)), want: states{"s": draining}},
			{afterVersion: 6, version: 7, list: deltaList(endpoint("s", ready, 0)), want: states{"s": ready}},
		},
		"an older full list does not make a draining endpoint ready": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 0)), want: states{"s": draining}},
			{afterVersion: 6, version: 4, list: fullList(endpoint("s", ready, 0)), want: states{"s": draining}},
			{
				elapsed: time.Second, epoch: 1, afterVersion: 4, version: 5,
				list: fullList(endpoint("s", ready, 0)),
				want: states{"s": draining},
			},
		},
		"an older full list does not make a removed endpoint ready": {
			{afterVersion: 5, version: 6, list: fullList(), want: states{}},
			{afterVersion: 6, version: 4, list: fullList(endpoint("s", ready, 0)), want: states{"s": draining}},
		},
		"the first list of another discovery does not make a draining endpoint ready, whatever its version": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 0)), want: states{"s": draining}},
			{
				switched: true, epoch: 1, version: 900,
				list: fullList(endpoint("s", ready, 0), endpoint("t", ready, 0)),
				want: states{"s": draining, "t": ready},
			},
			{
				elapsed: departureHoldTime, epoch: 1, version: 900,
				list: fullList(endpoint("s", ready, 0)),
				want: states{"s": ready},
			},
		},
		"a newer start makes a removed endpoint ready": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", gone, 0)), want: states{"s": gone}},
			{
				switched: true, epoch: 1, version: 1,
				list: fullList(endpoint("s", ready, 9)),
				want: states{"s": ready},
			},
		},
		"a drain after a newer start overrides a list with the older start": {
			{afterVersion: 5, version: 6, list: deltaList(endpoint("s", gone, 3)), want: states{"s": gone}},
			{afterVersion: 6, version: 7, list: deltaList(endpoint("s", ready, 9)), want: states{"s": ready}},
			{afterVersion: 7, version: 8, list: deltaList(endpoint("s", draining, 9)), want: states{"s": draining}},
			{
				switched: true, epoch: 1, version: 1,
				list: fullList(endpoint("s", ready, 3)),
				want: states{"s": draining},
			},
		},
		"after a switch only departures of the previous discovery are passed on": {
			{
				switched: true, epoch: 0, afterVersion: 5, version: 6,
				list: deltaList(endpoint("s", draining, 0), endpoint("t", ready, 0)),
				want: states{"s": draining},
			},
			{
				epoch: 1, version: 1,
				list: fullList(endpoint("s", ready, 0), endpoint("t", ready, 0)),
				want: states{"s": draining, "t": ready},
			},
		},
		"a departure of the previous discovery is valid after the first list of the new one": {
			{
				switched: true, epoch: 1, version: 1,
				list: fullList(endpoint("s", ready, 0)),
				want: states{"s": ready},
			},
			{
				epoch: 0, afterVersion: 5, version: 6,
				list: deltaList(endpoint("s", draining, 0)),
				want: states{"s": draining},
			},
			{
				elapsed: time.Second, epoch: 1, afterVersion: 1, version: 2,
				list: fullList(endpoint("s", ready, 0)),
				want: states{"s": draining},
			},
		},
		"a departure of a replaced process is ignored": {
			{
				switched: true, epoch: 1, version: 1,
				list: fullList(endpoint("s", ready, 9)),
				want: states{"s": ready},
			},
			{epoch: 0, afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 3))},
		},
		"a late response of the same discovery": {
			{afterVersion: 5, version: 8, list: deltaList(endpoint("s", ready, 0)), want: states{"s": ready}},
			{afterVersion: 5, version: 7, list: deltaList(endpoint("s", draining, 0))}, // version 8 includes it
			{afterVersion: 5, version: 9, list: deltaList(endpoint("s", draining, 0)), want: states{"s": draining}},
		},
		"after versions restart, only departures are passed on until the full list": {
			{
				afterVersion: 5, version: 2,
				list: deltaList(endpoint("s", draining, 0), endpoint("t", ready, 0)),
				want: states{"s": draining},
			},
			{epoch: 1, afterVersion: 5, version: 3, list: deltaList(endpoint("t", ready, 0))},
			{
				epoch: 1, afterVersion: 5, version: 3,
				list: fullList(endpoint("t", ready, 0)),
				want: states{"t": ready},
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
				require.Equal(t, step.want != nil, passed, "step %d", i)
				if passed {
					require.Equal(t, step.want, statesOf(list), "step %d", i)
				}
			}
		})
	}
}

// When the hold ends the full list is fetched once, as endpoints that were held as draining may be ready.
func TestMergerEndsHold(t *testing.T) {
	t.Parallel()
	start := time.Now()
	m := newMerger(5)
	m.merge(response{afterVersion: 5, version: 6, list: deltaList(endpoint("s", draining, 0))}, start)
	m.beginEpoch()
	require.False(t, m.endHold(start))
	m.merge(response{epoch: 1, afterVersion: 6, version: 1, list: fullList(endpoint("s", ready, 0))}, start)
	require.False(t, m.endHold(start.Add(departureHoldTime-1)))
	require.True(t, m.endHold(start.Add(departureHoldTime)), "the full list is to be fetched")
	require.False(t, m.endHold(start.Add(departureHoldTime)), "the full list is fetched only once")
	again := response{epoch: 1, afterVersion: 1, version: 1, list: fullList(endpoint("s", ready, 0))}
	list, _ := m.merge(again, start.Add(departureHoldTime))
	require.Equal(t, ready, list.Endpoints[0].State)
}

// Removed endpoints are forgotten after departureRetention, and the number of remembered endpoints is bounded.
func TestMergerIsBounded(t *testing.T) {
	t.Parallel()
	start := time.Now()
	m := newMerger(0)
	report := func(version int, endpoint node.Endpoint, now time.Time) {
		m.merge(response{afterVersion: int64(version - 1), version: int64(version), list: deltaList(endpoint)}, now)
	}
	for i := range maxKnownEndpoints + 100 {
		report(i+1, endpoint(fmt.Sprint(i), gone, 0), start)
	}
	require.LessOrEqual(t, len(m.known), maxKnownEndpoints)
	report(maxKnownEndpoints+101, endpoint("s", ready, 0), start.Add(departureRetention+1))
	require.Len(t, m.known, 1)
}

// For any responses in any order, of one or several discoveries, a departing endpoint is not passed on as ready without
// a newer list of the same discovery, a newer start, or the end of the hold.
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
			elapsed := rapid.IntRange(0, 400).Draw(t, "ms") // all steps are within the hold
			now = now.Add(time.Duration(elapsed) * time.Millisecond)
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			version := rapid.Int64Range(0, 11).Draw(t, "version")
			if m.epoch == 0 && !m.awaitingFull {
				version = min(version, 10) // older than the drain
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
