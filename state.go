package standpoint

// The state of a router and of its engines. No decisions are made in this file.

import (
	"math"
	"math/rand/v2"
)

// engine is what this gateway knows about one process of an engine. Times are in nanoseconds, logarithms are
// natural, and an attempt is "own" if this gateway made it.
type engine struct {
	Engine
	// hash is the hash of the name.
	hash uint64
	// notReady is set while the engine is draining or removed.
	notReady bool
	// firstSeenAt is when this process was first listed, or responded again after it was unreachable for at
	// least minOutage. Prompts that were recorded as cached before that time do not count.
	firstSeenAt int64
	// report is the latest load report, and reportAt the time that it arrived; 0 if there is none yet.
	report   Report
	reportAt int64
	// unreportedPrefill is the estimated number of prompt tokens that own attempts have sent since the latest
	// report and that the engine had neither cached nor prefilled at unreportedPrefillAt.
	unreportedPrefill   float64
	unreportedPrefillAt int64
	// attemptsInFlight is the number of own attempts in flight, and tokensInFlight the number of their prompt
	// tokens.
	attemptsInFlight int
	tokensInFlight   float64
	// ttftSlowness is a moving average of the logarithm of observed over predicted TTFT.
	ttftSlowness float64
	// awaitingFirstToken are the own attempts in flight whose responses have not begun, oldest first.
	awaitingFirstToken []*attempt
	// lastSignOfLifeAt is when the engine last responded in any way (first token, response, error or probe),
	// or when this process was first listed.
	lastSignOfLifeAt int64
	// suspect is set while the engine is excluded except for trials.
	suspect bool
	// unreachable is set if a connection could not be opened to the engine, or if its whole zone is taken to
	// be unreachable; unreachableSince is when that began.
	unreachable      bool
	unreachableSince int64
	// recoveredAt is when the engine, or its zone with it, last became reachable again after it was
	// unreachable for at least minOutage; 0 if it never did.
	recoveredAt int64
	// tpotSlowness is the mean logarithm of observed over predicted TPOT, where output lengths are known.
	tpotSlowness mean
	// errorRate is a moving average in which an error, a rejection or a lost connection counts 1, and a first
	// token or a complete response 0.
	errorRate float64
	// substituteStartAt is used instead of StartedAt where that is implausible because clocks disagree: it is
	// when the start was first listed. It is 0 if StartedAt is plausible.
	substituteStartAt int64
	// lastTrialAt is when the latest attempt was sent, when the engine became suspect, or when a connection
	// to it or its unreachable zone last failed, whichever was the latest.
	lastTrialAt int64
	// wastedWait is how long, in seconds, recent attempts waited that ended without a first token, as
	// computed at wastedWaitAt, when the latest of them ended; see minExpectedTTFT.
	wastedWait   float64
	wastedWaitAt int64
	// reinstated is set if an operator put the engine back into service and no own attempt was sent since.
	reinstated bool
	// slowStartBudget is the number of requests that slow start permitted at slowStartBudgetAt. That time is
	// 0 if the engine is not in slow start.
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

// Router makes the decisions of one gateway. Logarithms in its state are natural.
type Router struct {
	settings Settings
	rng      *rand.Rand
	// now is the time of the latest event, in nanoseconds like all times here.
	now int64
	// actions collects the actions that result from the event being handled.
	actions []Action
	// engines are all engines that are listed or have an own attempt in flight, by name.
	engines map[string]*engine
	// ready are the engines that are listed as ready, sorted by name.
	ready []*engine
	// enginesByShortHash finds the engine that a message between gateways is about.
	enginesByShortHash map[uint32]*engine
	// lastDirectoryAnswerAt is when a directory owner, which may be this gateway, last reported an engine's
	// load; 0 if never.
	lastDirectoryAnswerAt int64
	// meanPrefillBurden is the mean prefill burden of the requests; see prefillBurdenOf.
	meanPrefillBurden mean
	// silentOwners are the times at which directory owners last failed to answer, by their ordinals.
	silentOwners map[int]int64
	// awaitingDirectory are the requests that wait for directory owners, by the low 32 bits of their IDs.
	awaitingDirectory map[uint32]*request
	// rings are the ready engines of a large fleet in the order of their hashes; see rebuildRings.
	rings map[ringKey][]*engine
	// unreachableByZone counts the engines of each zone that were found unreachable since the last first
	// token or complete response from an engine of that zone.
	unreachableByZone map[int]int
	// ownZoneFraction is the own zone's part of the ready engines' total size, from 0 to 1.
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
	// requests are the requests that are not over or have an attempt in flight, by ID.
	requests map[int64]*request
	// queued are the requests that wait for an engine that may be used.
	queued []*request
	// usualReadyCount is the largest number of ready engines in the recent past, as computed at usualReadyAt.
	// A past number halves every minute.
	usualReadyCount float64
	usualReadyAt    int64
	// tenants are indexed like Settings.Tenants.
	tenants []tenantRate
	// unknownTenant takes the place of a tenant that cannot be distinguished from others, and is reset at
	// each use.
	unknownTenant tenantRate
	// tickScheduled is set once the periodic timer runs.
	tickScheduled bool
	// lastSubscribeAt is when the latest subscription to discovery counts as requested, jitter included; 0 if
	// none was.
	lastSubscribeAt int64
	// failedSubscribes is the number of discovery calls that have failed in a row.
	failedSubscribes int64
	// subscribed is set while the subscription to discovery is in effect.
	subscribed bool
	// retryBudget is the number of retries and hedged attempts that may be made now, over all requests.
	retryBudget float64
	// requestRate is a moving average of the requests per second that this gateway accepted, that is, did not
	// shed for their value density, as computed at requestRateAt.
	requestRate   float64
	requestRateAt int64
	// firstRequestAt is when the first request arrived. Learned state that is restored sets it back.
	firstRequestAt int64
	// meanReport is a moving average of all load reports.
	meanReport Report
	// matchTable holds the prompt tokens that engines are taken to have cached, in a younger and an older
	// generation. Its keys are hashes of a session or a shared prefix together with an engine.
	matchTable [2]map[uint64]matchEntry
	// cacheFlushAt is when engines were last found to have lost their caches.
	cacheFlushAt int64
	// matchShortfalls is the number of responses in a row with less than half of the expected cached tokens;
	// see observeMatch.
	matchShortfalls int
	// matchTrust is a moving average of the ratio of cached to expected tokens. It scales entries of the
	// match table that are older than cacheFlushAt.
	matchTrust float64
	// homeCachedFraction is, by class, the mean fraction of the prompt beyond the shared prefix that a
	// session's home engine had cached.
	homeCachedFraction []float64
	// ttftModels predict the TTFT in seconds, by machine kind; the last one is the fleet's.
	ttftModels []model
	// tpotModels predict the TPOT as a multiple of baseTPOT, indexed likewise.
	tpotModels []model
	// classTPOTRatios are, by class, the mean logarithm of decode time, in seconds, over MaxTokens.
	classTPOTRatios []mean
	// longTermTPOTError is the long-term mean logarithm of observed over predicted TPOT; recentTPOTError is
	// the mean over the latest responses.
	longTermTPOTError mean
	// openStreams is the number of responses that this gateway is passing to clients.
	openStreams int
	// expectedStreams is the number of such responses that would be in progress at expectedStreamsAt if each
	// took the mean decode time.
	expectedStreams   float64
	expectedStreamsAt int64
	// longTermStreamExcess is the long-term mean of streamExcess, which compares openStreams with
	// expectedStreams.
	longTermStreamExcess mean
	// decodeTime is the mean time from a response's first token to its last, in seconds.
	decodeTime mean
	// recentTPOTError is described at longTermTPOTError.
	recentTPOTError mean
	// outputLengthsKnown is set once a response stated its number of output tokens.
	outputLengthsKnown bool
	// baseTPOT is the TPOT, in seconds, that the tpotModels express as 1. While output lengths are unknown it
	// is learned from the responses that are taken to run to their token limit; see observeTPOT.
	baseTPOT float64
	// recentValueDensities are the value densities of the latest requests, a ring buffer whose oldest entry,
	// once it is full, is at nextValueDensity.
	recentValueDensities []float64
	nextValueDensity     int
	// shedRates are the shed rates by class.
	shedRates []classShedRates
	// shedFraction is the fraction of the requests, those of the lowest value density, that is shed while the
	// fleet is overloaded, as computed at shedFractionAt.
	shedFraction   float64
	shedFractionAt int64
}

// NeedsTimer reports whether the timer with this token may still have an effect. Other timers may be dropped.
func (r *Router) NeedsTimer(token int64) bool {
	return token == tokenTick || r.requests[token/tokenStep] != nil
}

// UpdateSettings replaces the settings. Learned state stays, except that which is kept by class, kind or
// tenant if the number of these has changed: the old ones can then not be matched with the new ones.
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

// countRequest counts an accepted request in the request rate, which is averaged with a time constant of
// requestRateSpan. A younger router averages over its age, but at least over minRequestRateSpan: it would
// otherwise underestimate its rate, and with it the load that is permitted for starting engines.
func (r *Router) countRequest() {
	if r.requestRateAt == 0 {
		r.firstRequestAt = r.now
	}
	span := min(requestRateSpan, max(minRequestRateSpan, seconds(r.now-r.firstRequestAt)))
	r.requestRate *= math.Exp(-seconds(r.now-r.requestRateAt) / span)
	r.requestRate += 1 / span
	r.requestRateAt = r.now
}

// Time constants, in seconds, of the request rate's moving average: the usual one, and that of a router whose
// first request has just arrived.
const requestRateSpan, minRequestRateSpan = 5.0, 2.0
