package daemon

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/handover"
)

const (
	// siblingPollInterval is the interval at which the number of siblings and their recorded overrides are polled.
	siblingPollInterval = 100 * time.Millisecond
	// learnedTimeout bounds the time to publish learned state, and the wait for that of a sibling.
	learnedTimeout = 500 * time.Millisecond
	// learnedPollInterval is the interval at which a process that takes over polls for that state.
	learnedPollInterval = 10 * time.Millisecond
)

// siblingsComponentName appears in errors at the exit of the process.
const siblingsComponentName = "company"

// joinSiblings finds the other processes of this node. Operators may start a second process while one is running: the
// processes find each other through files in TMPDIR, and divide the node's limits among themselves.
func (a *assembly) joinSiblings() {
	dir := os.Getenv("TMPDIR")
	if dir == "" || a.console == "" && !a.inheritsListener() {
		return
	}
	var err error
	if a.siblings, err = handover.Open(dir, a.name); err != nil {
		a.log.Error("sibling directory unavailable", zap.String("TMPDIR", dir), zap.Error(err))
		return
	}
	a.requestIDs = handover.NewRequestIDs(a.siblings, a.log)
	a.siblingCount = a.siblings.SiblingCount()
	a.limits = a.nodeLimits.PerProcess(1 + a.siblingCount)
	a.current.limits = a.limits
	a.memory.SetCapacity(a.limits.MaxPeerBytes())
}

// siblingsComponent watches the sibling processes, applies overrides that they record, and adopts their streams.
func siblingsComponent(a *assembly) (component, error) {
	if a.siblings == nil {
		return component{}, nil
	}
	known := a.siblingCount // read here, since run is called in another goroutine
	watch := func(ctx context.Context) { a.watchSiblings(ctx, known) }
	return component{name: siblingsComponentName, run: runTogether(a.acceptStreams, watch), stop: a.siblings.Close}, nil
}

// watchSiblings polls the number of siblings and their recorded overrides until the context ends.
func (a *assembly) watchSiblings(ctx context.Context, known int) {
	ticker := time.NewTicker(siblingPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.overrides.Sync()
		a.requestIDs.FindSiblings()
		count := a.siblings.SiblingCount()
		if count == known {
			continue
		}
		a.requestIDs.SetSiblings(count, a.front.RequestIDs())
		if count > known { // the new process takes over the state of this one
			a.overrides.Persist()
			a.publishLearned(ctx)
		}
		known = count
		select {
		case a.siblingCounts <- count:
		case <-ctx.Done():
			return
		}
	}
}

// setSiblingCount divides the node's limits among this process and its siblings.
func (a *assembly) setSiblingCount(count int) {
	a.siblingCount = count
	next := a.current
	next.limits = next.nodeLimits.PerProcess(1 + count)
	if err := a.reload(next); err != nil {
		a.processLog.Error("limits not changed", zap.Error(err))
		return
	}
	a.applyProcessLimits()
	a.processLog.Info("sibling process count changed", zap.Int("siblings", count), zap.Any("limits", next.limits))
}

// publishLearned writes the decision module's learned state to a file for a sibling that takes over.
func (a *assembly) publishLearned(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnedTimeout)
	defer cancel()
	learned := a.core.ExportLearned(ctx)
	if learned == nil {
		return
	}
	raw, err := json.Marshal(learned)
	if err == nil {
		err = a.siblings.WriteLearned(raw)
	}
	if err != nil {
		a.log.Warn("learned state not published", zap.Error(err))
	}
}

// restoreLearned waits for the learned state that a serving sibling publishes once it detects this process, and loads
// it. State older than started, when this process began, was published for another process.
func (a *assembly) restoreLearned(stop context.Context, started time.Time) {
	if a.siblings == nil || a.siblingCount == 0 {
		return
	}
	a.requestIDs.SetSiblings(a.siblingCount, nil)
	defer a.requestIDs.FindSiblings() // a sibling publishes its IDs before its learned state
	ctx, cancel := context.WithTimeout(stop, learnedTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if raw, ok := a.siblings.ReadLearned(started); ok {
			a.applyLearned(ctx, raw)
			return
		}
		select {
		case <-time.After(learnedPollInterval):
		case <-ctx.Done():
		}
	}
	a.log.Info("no learned state available")
}

// applyLearned imports encoded learned state into the core.
func (a *assembly) applyLearned(ctx context.Context, raw []byte) {
	var learned standpoint.Learned
	err := json.Unmarshal(raw, &learned)
	if err == nil {
		err = a.core.ImportLearned(ctx, &learned)
	}
	if err != nil {
		a.log.Warn("learned state rejected", zap.Error(err))
		return
	}
	a.log.Info("learned state restored", zap.Int("prompts", len(learned.CachedPrompts)),
		zap.Int("servers", len(learned.Engines)))
}
