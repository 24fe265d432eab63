package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopRecorder records what happens as components stop. It is safe for concurrent use.
type stopRecorder struct {
	mu     sync.Mutex
	events []string
}

func (r *stopRecorder) record(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

// recorded returns what has happened so far.
func (r *stopRecorder) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// component returns a component that needs a while to return from run.
func (r *stopRecorder) component(name string, runsUntilStop bool) component {
	stopped := make(chan struct{})
	return component{
		name:          name,
		runsUntilStop: runsUntilStop,
		run: func(ctx context.Context) {
			<-ctx.Done()
			if runsUntilStop {
				<-stopped
			}
			time.Sleep(30 * time.Millisecond)
			r.record(name + " has run")
		},
		stop: func() error {
			r.record(name + " stops")
			close(stopped)
			return nil
		},
	}
}

// TestComponentsEndInReverseOrder guards against a component that ends while those that use it still hand something
// over, such as the ledger and the last answers: each ends only once the later ones have returned from run, and
// releases its resources after its own run.
func TestComponentsEndInReverseOrder(t *testing.T) {
	t.Parallel()
	recorder := &stopRecorder{}
	a := &assembly{components: []component{
		recorder.component("ledger", false),
		recorder.component("core", false),
		recorder.component("control", true),
	}}
	a.runComponents()
	require.NoError(t, a.stop())
	require.Equal(t, []string{
		"control stops", "control has run",
		"core has run", "core stops",
		"ledger has run", "ledger stops",
	}, recorder.recorded())
}

// TestStopIsBounded guards against a process that does not end because a component does not return from run, and against
// one that takes the time of those that it used: the others end in order all the same.
func TestStopIsBounded(t *testing.T) {
	t.Parallel()
	recorder := &stopRecorder{}
	release := make(chan struct{})
	defer close(release)
	a := &assembly{components: []component{
		recorder.component("ledger", false),
		{name: "stuck", run: func(context.Context) { <-release }},
		{name: "stuck too", run: func(context.Context) { <-release }},
	}}
	a.runComponents()
	began := time.Now()
	err := a.stop()
	require.True(t, errors.Is(err, errStillRunning))
	require.ErrorContains(t, err, "stuck: ")
	require.Less(t, time.Since(began), 2*componentStopTimeout+time.Second)
	require.Equal(t, []string{"ledger has run", "ledger stops"}, recorder.recorded())
}
