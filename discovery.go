package standpoint

// Engine lists, and the subscription to discovery.

import (
	"math"
	"sort"
)

// onEngineList applies an engine list, and then dispatches the queued requests.
func (r *Router) onEngineList(list *EngineList) {
	if list.Kind == ListFailed {
		r.failedSubscribes++
		r.subscribed = false
		return
	}
	// A subscriber may get a full list instead of changes if it has missed many.
	if list.Kind == ListDelta || r.lastSubscribeAt != 0 {
		r.failedSubscribes = 0
		r.subscribed = true
	}
	listed := map[string]bool{}
	for _, entry := range list.Engines {
		listed[entry.Name] = true
		r.updateEngine(entry)
	}
	for _, e := range r.engines {
		if list.Kind == ListFull && !listed[e.Name] {
			e.State = Removed
			e.notReady = true
		}
	}
	r.listsReceived++
	r.lastListAt = r.now
	r.rebuildReady()
	r.dispatchQueued()
}

// updateEngine applies one entry of an engine list. After a restart, everything known of the previous process
// is dropped, including its cached prompts.
func (r *Router) updateEngine(entry Engine) {
	e := r.engines[entry.Name]
	if e == nil || entry.StartedAt != e.StartedAt && entry.State == Ready {
		// Attempts in flight keep pointing to the previous process, so their outcomes do not affect this one.
		e = &engine{
			hash:             hashName(entry.Name),
			firstSeenAt:      r.now,
			lastSignOfLifeAt: r.now,
			reinstated:       entry.Reinstated,
		}
		r.engines[entry.Name] = e
	}
	if entry.StartedAt != e.StartedAt {
		e.slowStartBudget = r.rng.Float64()
		e.slowStartBudgetAt = r.now
		if r.startIsImplausible(entry.StartedAt) {
			e.substituteStartAt = r.now
		}
		if e.reinstated {
			e.slowStartBudget = 1 - e.slowStartBudget/2*(1-1/max(1, float64(r.settings.Gateways)))
		}
	}
	e.Engine = entry
	e.notReady = entry.State != Ready
}

// maxNoticeDelay is the maximum time in which discovery reports a change that it knows of.
const maxNoticeDelay = 6 * second

// startIsImplausible reports whether a newly listed start time cannot be right: it is in the future, or so
// long ago that the previous list would have contained it. This happens when clocks are stepped; the engine
// then counts as started now. The first list that a gateway gets may be of any age, so that a start which is
// missing from it may still be an old one.
func (r *Router) startIsImplausible(startedAt int64) bool {
	if startedAt <= 0 {
		return false
	}
	maxAge := max(r.settings.WarmUp+r.settings.OverloadWindow, r.now-r.lastListAt+maxNoticeDelay)
	shouldBeKnown := r.listsReceived >= 2 && r.now-startedAt > maxAge
	return startedAt > r.now || shouldBeKnown
}

// subscribe subscribes to discovery's changes where only subscribers get them, unless a subscription that it
// requested is in effect. After failures it backs off exponentially, with jitter.
func (r *Router) subscribe() {
	wait := min(r.settings.DiscoveryTimeout*2, 500*ms<<min(r.failedSubscribes, 4))
	if !r.settings.SubscribeDiscovery ||
		r.lastSubscribeAt != 0 && (r.subscribed || r.now-r.lastSubscribeAt < wait) {
		return
	}
	r.lastSubscribeAt = r.now + r.rng.Int64N(max(1, wait/2))
	r.emit(Action{Kind: Subscribe})
}

// rebuildReady removes engines that are no longer listed and have no attempts in flight, and rebuilds what is
// derived from the list: the ready engines sorted by name, the engines by short hash, the end of the fleet's
// warm-up, the usual number of ready engines, and the rings.
func (r *Router) rebuildReady() {
	r.ready = r.ready[:0]
	r.fleetWarmUpEnd = 0
	clear(r.enginesByShortHash)
	for name, e := range r.engines {
		if e.State == Removed && e.attemptsInFlight == 0 {
			delete(r.engines, name)
		} else if r.enginesByShortHash[shortEngineHash(e)] = e; !e.notReady {
			r.ready = append(r.ready, e)
			if r.startedAt(e) > 0 {
				r.fleetWarmUpEnd = max(r.fleetWarmUpEnd, r.startedAt(e)+r.settings.WarmUp)
			}
		}
	}
	decay := math.Exp2(-seconds(r.now-r.usualReadyAt) / 60)
	r.usualReadyCount = max(float64(len(r.ready)), r.usualReadyCount*decay)
	r.usualReadyAt = r.now
	sort.Slice(r.ready, func(i, j int) bool { return r.ready[i].Name < r.ready[j].Name })
	r.rebuildRings()
}
