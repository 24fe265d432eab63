package controller

import (
	"math/rand/v2"
	"slices"
	"time"

	"standpoint"
	"standpoint/internal/clock"
	"standpoint/internal/migration"
	"standpoint/internal/node"
)

// minWeight is the minimum priority weight of a request, for classes without a weight.
const minWeight = 1e-3

const (
	// fromPool and toPool are the indices of the migration's pools in Tracker.counters and Tracker.samplesOffered.
	fromPool = 0
	toPool   = 1
	// uncounted stands for the index of a pool that takes no part in the migration.
	uncounted = -1
	// unknownKind is the Sample.Kind of a backend whose kind is not configured.
	unknownKind = -1
)

// RecordSent implements node.Pools. If a request's first attempt goes to another pool, no backend of its own was
// eligible.
func (t *Tracker) RecordSent(request *standpoint.Request, server string, attempt int) {
	if attempt > 0 || request.Pool == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	backend := t.backends[server]
	if backend == nil || backend.pool == request.Pool {
		return
	}
	t.overflowed[request.Pool]++
	if index := t.counterIndex(request.Pool); index != uncounted {
		t.counters[index].Overflowed++
	}
}

// counterIndex returns the index of a pool's counters, or uncounted if the pool takes no part in the migration.
func (t *Tracker) counterIndex(number int) int {
	switch {
	case number == 0 || t.from == 0:
		return uncounted
	case number == t.from:
		return fromPool
	case number == t.to:
		return toPool
	}
	return uncounted
}

// RecordFinished implements node.Pools.
func (t *Tracker) RecordFinished(o node.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	backend := t.backends[o.Backend]
	if backend != nil && backend.readyAt > clock.Of(o.Sent) {
		backend = nil // the attempt went to an earlier incarnation, so it does not count for this one
	}
	if backend != nil && o.Result.Report != nil {
		backend.load = o.Result.Report.SlotUsage
	}
	if o.Inconclusive || t.from == 0 {
		return
	}
	served := o.Result.Code == standpoint.Served
	if backend != nil {
		t.countAttempt(backend, &o)
	}
	if served || o.FirstToken > 0 { // a complete response, or one that broke off after its first event, is final
		t.countRequest(o.Request, served && t.onTime(&o))
	}
}

// countAttempt counts an attempt for the pool of its backend.
func (t *Tracker) countAttempt(backend *backendState, o *node.Observation) {
	index := t.counterIndex(backend.pool)
	if index == uncounted {
		return
	}
	served := o.Result.Code == standpoint.Served
	if o.Result.Code != standpoint.NotSent {
		t.counters[index].Attempts++
		// A rejection means that the backend is busy, not faulty. The effect on clients counts as late weight.
		if !served && o.Result.Code != standpoint.Rejected {
			t.counters[index].Errors++
		}
	}
	if served {
		t.sample(index, backend, o)
	}
}

// RecordRejected implements node.Pools.
func (t *Tracker) RecordRejected(request *standpoint.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if index := t.counterIndex(request.Pool); index != uncounted {
		t.counters[index].Rejected++
	}
	t.countRequest(request, false)
}

// countRequest counts a request that has ended, for the pool that it was assigned to.
func (t *Tracker) countRequest(request *standpoint.Request, onTime bool) {
	index := t.counterIndex(request.Pool)
	if index == uncounted {
		return
	}
	weight := 1.0
	if t.hasClass(request) {
		weight = max(t.classes[request.Class].Weight, minWeight)
	}
	counters := &t.counters[index]
	counters.Requests++
	counters.OfferedWeight += weight
	if onTime {
		counters.OnTimeWeight += weight
	}
}

func (t *Tracker) hasClass(request *standpoint.Request) bool {
	return request.Class >= 0 && request.Class < len(t.classes)
}

// onTime reports whether a response met the latency objectives of its class.
func (t *Tracker) onTime(o *node.Observation) bool {
	if !t.hasClass(o.Request) {
		return true
	}
	class := &t.classes[o.Request.Class]
	firstToken := float64(class.TTFTObjective) + float64(class.TTFTObjectivePer1000Tokens)*o.Request.PromptTokens/1000
	if class.TTFTObjective > 0 && float64(o.FirstToken) > firstToken {
		return false
	}
	gap := tokenGap(o)
	return class.TPOTObjective <= 0 || gap*1e9 <= float64(class.TPOTObjective)
}

// tokenGap returns the time per token after the first, in seconds; 0 if the response has fewer than two tokens, its
// length is not known, or the request was resumed.
func tokenGap(o *node.Observation) float64 {
	if o.Result.OutputTokens < 2 || o.Request.Resumed {
		return 0
	}
	return o.Decode.Seconds() / (o.Result.OutputTokens - 1)
}

// sample adds a response to the window's samples. If there are more than migration.MaxSamples responses, each is
// retained with the same probability.
func (t *Tracker) sample(index int, backend *backendState, o *node.Observation) {
	kind := unknownKind
	if i := slices.Index(t.names.Kinds, backend.description.Kind); i >= 0 {
		kind = i
	}
	sample := migration.Sample{
		Class:          o.Request.Class,
		Kind:           kind,
		UncachedTokens: max(0, o.Request.PromptTokens-o.Result.CachedTokens),
		Load:           backend.load,
		FirstToken:     o.AttemptFirstToken.Seconds(),
		TokenGap:       tokenGap(o),
	}
	counters := &t.counters[index]
	t.samplesOffered[index]++
	if len(counters.Samples) < migration.MaxSamples {
		counters.Samples = append(counters.Samples, sample)
	} else if i := rand.IntN(t.samplesOffered[index]); i < migration.MaxSamples {
		counters.Samples[i] = sample
	}
}

// TakeWindow ends the current window and begins the next. It returns the counts of the ended window with the current
// health of the pools.
func (t *Tracker) TakeWindow(now time.Time) (from, to migration.PoolWindow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = t.counters[fromPool]
	to = t.counters[toPool]
	t.resetCounters()
	from.Health = t.health(t.from, now)
	to.Health = t.health(t.to, now)
	return from, to
}

// resetCounters begins a window: it resets the counts and samples of both pools. The caller must hold mu.
func (t *Tracker) resetCounters() {
	t.counters = [2]migration.PoolWindow{}
	t.samplesOffered = [2]int{}
}
