package standpoint

// What discovery tells, and when it is asked.

import (
	"math"
	"sort"
)

func (r *Router) onList(l *EngineList) {
	if l.Kind == ListFailed {
		r.failedSubscribes++
		r.subscribed = false
		return
	}
	if l.Kind == ListDelta || r.subscribeAt != 0 { // a full list may answer too, to one far behind
		r.failedSubscribes = 0
		r.subscribed = true
	}
	seen := map[string]bool{}
	for _, entry := range l.Engines {
		seen[entry.Name] = true
		r.updateEngine(entry)
	}
	for _, e := range r.engines {
		if l.Kind == ListFull && !seen[e.Name] {
			e.State = Gone
			e.notReady = true
		}
	}
	r.listsReceived++
	r.lastListAt = r.now
	r.rebuildReady()
	r.dispatchQueued()
}

// updateEngine takes in one entry. A new start forgets what was known of the process, its kept prompts too.
func (r *Router) updateEngine(entry Engine) {
	e := r.engines[entry.Name]
	if e == nil || entry.ReadyAt != e.ReadyAt && entry.State == Ready {
		// What is out at the process before stays with that one: its end tells nothing of this one.
		e = &engine{
			hash:           hashName(entry.Name),
			firstSeenAt:    r.now,
			lastSignOfLife: r.now,
			reinstated:     entry.Reinstated,
		}
		r.engines[entry.Name] = e
	}
	if entry.ReadyAt != e.ReadyAt {
		e.slowStartBudget = r.rng.Float64()
		e.slowStartBudgetAt = r.now
		if r.startIsImplausible(entry.ReadyAt) {
			e.substituteStart = r.now
		}
		if e.reinstated {
			e.slowStartBudget = 1 - e.slowStartBudget/2*(1-1/max(1, float64(r.settings.Gateways)))
		}
	}
	e.Engine = entry
	e.notReady = entry.State != Ready
}

// maxNoticeDelay is the longest that discovery may take to tell what it has.
const maxNoticeDelay = 6 * second

// startIsImplausible tells that a start that was just heard of cannot have been when it is told to: it is
// in the future, or so long ago that the list told before would have had it. Clocks may be stepped; then
// the start counts from now. The list that a gateway starts with may be of any age, and shows nothing.
func (r *Router) startIsImplausible(told int64) bool {
	if told <= 0 {
		return false
	}
	longAgo := max(r.settings.WarmUp+r.settings.OverloadWindow, r.now-r.lastListAt+maxNoticeDelay)
	knownEarlier := r.listsReceived >= 2 && r.now-told > longAgo
	return told > r.now || knownEarlier
}

// subscribe keeps the subscription where discovery tells only who asks. It backs off, with jitter, after
// failures.
func (r *Router) subscribe() {
	wait := min(r.settings.DiscoveryTimeout*2, 500*ms<<min(r.failedSubscribes, 4))
	if !r.settings.SubscribeDiscovery || r.subscribeAt != 0 && (r.subscribed || r.now-r.subscribeAt < wait) {
		return
	}
	r.subscribeAt = r.now + r.rng.Int64N(max(1, wait/2))
	r.emit(Action{Kind: Subscribe})
}

// rebuildReady forgets engines that are gone and idle, and orders the ready ones by name.
func (r *Router) rebuildReady() {
	r.ready = r.ready[:0]
	r.fleetWarmUpEnd = 0
	clear(r.enginesByShortHash)
	for name, e := range r.engines {
		if e.State == Gone && e.attemptsInFlight == 0 {
			delete(r.engines, name)
		} else if r.enginesByShortHash[shortEngine(e)] = e; !e.notReady {
			r.ready = append(r.ready, e)
			if r.startedAt(e) > 0 {
				r.fleetWarmUpEnd = max(r.fleetWarmUpEnd, r.startedAt(e)+r.settings.WarmUp)
			}
		}
	}
	fade := math.Exp2(-seconds(r.now-r.usualReadyAt) / 60)
	r.usualReadyCount = max(float64(len(r.ready)), r.usualReadyCount*fade)
	r.usualReadyAt = r.now
	sort.Slice(r.ready, func(i, j int) bool { return r.ready[i].Name < r.ready[j].Name })
	r.rebuildRings()
}
