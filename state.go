package standpoint

// The state of a router and of its engines. Nothing in this file decides.

import (
	"math"
	"math/rand/v2"
)

// engine is what this gateway knows about one process of an engine. Times are in nanoseconds; "own" means
// by this gateway.
type engine struct {
	Engine
	// hash is the hash of the name.
	hash uint64
	// notReady is set while the engine is listed as draining or gone.
	notReady bool
	// firstSeenAt is when this process was first listed, or responded again after it was unreachable. What
	// was recorded of its prompt cache before does not hold.
	firstSeenAt int64
	// report is the latest load report, and reportAt the time that it arrived; 0 if there is none yet.
	report   Report
	reportAt int64
	// unreportedPrefill is the number of uncached prompt tokens, sent here by own attempts since the latest
	// report, that were taken to be still unread at unreportedPrefillAt.
	unreportedPrefill   float64
	unreportedPrefillAt int64
	// attemptsInFlight is the number of own attempts in flight, tokensInFlight that of their prompt tokens.
	attemptsInFlight int
	tokensInFlight   float64
	// ttftSlowness is a moving average of the logarithm of the observed over the predicted time to the first
	// token.
	ttftSlowness float64
	// awaitingFirstToken are own attempts to which the engine has not responded, oldest first.
	awaitingFirstToken []*attempt
	// lastSignOfLifeAt is when the engine last responded in any way: first token, response, error or probe.
	lastSignOfLifeAt int64
	// suspect is set while the engine is excluded except for trials.
	suspect bool
	// unreachable is set if a connection could not be opened to the engine, or if its whole zone counts as
	// lost; unreachableSince is when that began.
	unreachable      bool
	unreachableSince int64
	// recoveredAt is when it first responded after it was unreachable; 0 if it never did.
	recoveredAt int64
	// tpotSlowness is the mean logarithm of the measured over the predicted time between two tokens.
	tpotSlowness mean
	// errorRate is the fraction of errors and rejections among the latest responses.
	errorRate float64
	// substituteStartAt replaces StartedAt where that is implausible because clocks disagree: it is when the
	// start was first reported. 0 if StartedAt holds.
	substituteStartAt int64
	// lastTrialAt is when the latest attempt was sent, or when the engine became suspect if that was later.
	lastTrialAt int64
	// wastedWait is how long, in seconds, recent attempts waited here without getting a first token, and
	// wastedWaitAt when the latest of them ended.
	wastedWait   float64
	wastedWaitAt int64
	// reinstated is set if an operator put the engine back into service and no own attempt was sent since.
	reinstated bool
	// slowStartBudget is the number of requests that slow start allowed at slowStartBudgetAt; that time is 0
	// if the engine is not in slow start.
	slowStartBudget   float64
	slowStartBudgetAt int64
	// backlog is the engine's prefill backlog; it is tracked if this gateway is the engine's directory owner.
	backlog backlog
	// directoryLoad is the load that the directory owner last reported, and directoryLoadAt when; 0 if never.
	directoryLoad   engineLoad
	directoryLoadAt int64
	// probing is set while a probe is in flight; probedAt is when the latest one was sent.
	probing  bool
	probedAt int64
	// sampleGeneration is the number of the latest sample that includes the engine; see sampleEngines.
	sampleGeneration uint64
}

// Router makes the decisions of one gateway.
type Router struct {
	settings Settings
	rng      *rand.Rand
	// now is the time of the latest event, in nanoseconds like all times here.
	now int64
	// actions collects what the event being handled asks for.
	actions []Action
	// engines are all engines that are listed or still have an attempt in flight, by name.
	engines map[string]*engine
	// ready are the engines that are listed as ready, sorted by name.
	ready []*engine
	// enginesByShortHash finds the engine that a message between gateways is about.
	enginesByShortHash map[uint32]*engine
	// lastDirectoryAnswerAt is when a directory owner last reported an engine's load; 0 if never.
	lastDirectoryAnswerAt int64
	// meanPrefillBurden is the mean fraction of a request's latency objective that reading its prompt takes.
	meanPrefillBurden mean
	// silentOwners are the directory owners that failed to answer, each with the time of that.
	silentOwners map[int]int64
	// awaitingDirectory are the requests that wait for directory owners, by the low 32 bits of their IDs.
	awaitingDirectory map[uint32]*request
	// rings are the ready engines of a large fleet in the order of their hashes; see rebuildRings.
	rings map[ringKey][]*engine
	// unreachableByZone counts the engines of each zone that were found unreachable since an engine of that
	// zone last responded.
	unreachableByZone map[int]int
	// ownZoneFraction is the own zone's fraction of the ready engines' total size.
	ownZoneFraction float64
	// meanSize is the mean size of the ready engines.
	meanSize float64
	// listsReceived is the number of engine lists received, and lastListAt the time of the latest.
	listsReceived int
	lastListAt    int64
	// fleetWarmUpEnd is when the last of the ready engines whose start is known will have warmed up.
	fleetWarmUpEnd int64
	// sampleGeneration is the number of the latest sample of a large fleet, and sampled are the engines in
	// it.
	sampleGeneration uint64
	sampled          []*engine
	// candidates and options are buffers that are reused from one decision to the next.
	candidates []candidate
	options    []option
	// sharedFault is set if so many engines are suspect that the cause must be a shared one, as computed at
	// sharedFaultAt.
	sharedFault   bool
	sharedFaultAt int64
	// requests are those that are not over or still have an attempt in flight, by ID.
	requests map[int64]*request
	// queued are the requests that wait for an engine that may be used.
	queued []*request
	// usualReadyCount is the largest number of ready engines in the recent past, which fades with time, as
	// computed at usualReadyAt.
	usualReadyCount float64
	usualReadyAt    int64
	// tenants are indexed like Settings.Tenants.
	tenants []tenantRate
	// unknownTenant is a blank that stands in for a tenant that cannot be told from the others.
	unknownTenant tenantRate
	// tickScheduled is set once the periodic timer runs.
	tickScheduled bool
	// lastSubscribeAt is when the latest subscription to discovery counts as requested, jitter included; 0 if
	// none was.
	lastSubscribeAt int64
	// failedSubscribes is the number of discovery calls that have failed in a row.
	failedSubscribes int64
	// subscribed is set while the subscription to discovery stands.
	subscribed bool
	// retryBudget is the number of further attempts that the router may make now, over all requests.
	retryBudget float64
	// requestRate is a moving average of the requests that this gateway accepted per second, as computed at
	// requestRateAt.
	requestRate   float64
	requestRateAt int64
	// firstRequestAt is when the first request arrived. Learned state that is restored sets it back.
	firstRequestAt int64
	// meanReport is a moving average of all load reports.
	meanReport Report
	// matchTable holds the prompts that engines are taken to have cached, in a younger and an older
	// generation, by a hash of the session or the shared prefix with the engine.
	matchTable [2]map[uint64]matchEntry
	// cacheFlushAt is when engines were last found to have dropped their prompt caches.
	cacheFlushAt int64
	// matchShortfalls is the number of responses in a row that had less than half of the expected match.
	matchShortfalls int
	// matchTrust is a moving average of the cached over the expected tokens. It scales entries of the match
	// table that are older than cacheFlushAt.
	matchTrust float64
	// homeCachedFraction is, by class, the average fraction of the prompt behind the shared prefix that a
	// session's home engine had cached.
	homeCachedFraction []float64
	// ttftModels predict the time to the first token in seconds, by machine kind; the last one is the
	// fleet's.
	ttftModels []model
	// tpotModels predict the time between two tokens as a multiple of baseTPOT, indexed likewise.
	tpotModels []model
	// classTPOTRatios are, by class, the mean logarithm of decode time, in seconds, over MaxTokens.
	classTPOTRatios []mean
	// longTermTPOTError is the long-term mean logarithm of the measured over the modelled time between two
	// tokens; recentTPOTError is the same over a shorter span.
	longTermTPOTError mean
	// openStreams is the number of own streams in progress.
	openStreams int
	// expectedStreams is how many would be in progress, at expectedStreamsAt, if each took the mean decode
	// time.
	expectedStreams   float64
	expectedStreamsAt int64
	// longTermStreamExcess is the mean logarithm of the ratio of the two.
	longTermStreamExcess mean
	// decodeTime is the mean time from a response's first token to its last, in seconds.
	decodeTime mean
	// recentTPOTError: see longTermTPOTError.
	recentTPOTError mean
	// outputLengthsKnown is set once a response stated its length.
	outputLengthsKnown bool
	// baseTPOT is the time between two tokens, in seconds, at a load factor of 1: the rate of responses that
	// run to their limit.
	baseTPOT float64
	// recentValueDensities are the value densities of the latest requests, a ring whose oldest entry, once it
	// is full, is at nextValueDensity.
	recentValueDensities []float64
	nextValueDensity     int
	// shedRates are the rates of shedding by class.
	shedRates []classShedRates
	// shedFraction is the fraction of the requests, those of the lowest value density, that is shed while the
	// fleet is overloaded, as computed at shedFractionAt.
	shedFraction   float64
	shedFractionAt int64
}

// NeedsTimer reports whether the timer with this token still has an effect. Other timers may be dropped.
func (r *Router) NeedsTimer(token int64) bool {
	return token == tokenTick || r.requests[token/tokenStep] != nil
}

// UpdateSettings replaces the settings. Learned state stays, except that of classes, kinds or tenants if
// their number has changed: it is then not known which of the old ones is which of the new ones.
func (r *Router) UpdateSettings(settings Settings) {
	initial := New(settings, 0)
	if len(initial.homeCachedFraction) != len(r.homeCachedFraction) {
		r.homeCachedFraction = initial.homeCachedFraction
		r.classTPOTRatios = initial.classTPOTRatios
		r.shedRates = initial.shedRates
	}
	if len(initial.ttftModels) != len(r.ttftModels) {
		r.ttftModels = initial.ttftModels
		r.tpotModels = initial.tpotModels
	}
	if len(initial.tenants) != len(r.tenants) {
		r.tenants = initial.tenants
	}
	r.settings = settings
	r.unreachableByZone = initial.unreachableByZone // zones may be numbered differently
	r.rebuildRings()
}

// countRequest updates the rate of accepted requests, averaged over the latest requestRateSpan seconds. A
// younger router averages over its age, but at least over minRequestRateSpan: it would otherwise
// underestimate its rate and with it what starting engines can bear.
func (r *Router) countRequest() {
	if r.requestRateAt == 0 {
		r.firstRequestAt = r.now
	}
	span := min(requestRateSpan, max(minRequestRateSpan, seconds(r.now-r.firstRequestAt)))
	r.requestRate *= math.Exp(-seconds(r.now-r.requestRateAt) / span)
	r.requestRate += 1 / span
	r.requestRateAt = r.now
}

// Spans over which the rate of accepted requests is averaged, in seconds: the usual one, and the shortest
// one for a router that has just started.
const requestRateSpan, minRequestRateSpan = 5.0, 2.0
