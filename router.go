package standpoint

// The Router passes each event to the code that decides on it. The files, in reading order: discovery.go (the
// engine list), request.go (the attempts of a request), admission.go (load shedding), eligibility.go (what
// may be sent), slow_start.go, placement.go with sampling.go (choosing an engine), affinity.go (cached
// prompts), directory.go and prefill_backlog.go (the load directory), prediction.go with regression.go,
// health.go, probes.go and unreported_load.go. Events, actions and settings are in api.go, the state is in
// state.go.

import (
	"math/rand/v2"
	"slices"
)

const (
	ms     = int64(1e6)
	second = int64(1e9)

	maxFullScan          = 64      // largest fleet of which every engine is considered for each request
	maxRankedRequests    = 64      // latest requests among which a new one is ranked by value density
	metObjectivesPerMiss = 4.0     // met objectives that offset one missed objective
	shedFractionDecay    = 0.15    // fall of the shed fraction per second
	tickInterval         = 50 * ms // interval of the periodic checks of health, queue and probes
	bucketDepth          = 10      // samples in one bucket of a model
	maxRetryBudget       = 2.0     // retries that may be made at once, over all requests
	maxShedForHedging    = 0.1     // shed fraction above which no second copies are sent

	initialTPOT = 0.03 // seconds; initial time between two tokens if no class has an objective for it
	// initialTPOTFraction is the fraction of the tightest objective, one that a healthy fleet meets, that is
	// the initial time between two tokens otherwise.
	initialTPOTFraction = 0.6
	featureCount        = 7   // length of a featureVector
	priorWeight         = 2.0 // strength of the ridge regression's prior, in samples of ordinary size

	// Salts keep hashes of the same number for different purposes apart.
	sessionSalt = 0x9e3779b97f4a7c15
	prefixSalt  = 0xc2b2ae3d27d4eb4f
)

// Kinds of timers. The token of a request's timer is the request's ID times tokenStep plus one of these, that
// of the periodic timer tokenTick alone. IDs are below 2^52.
const (
	tokenTick    = iota // the periodic checks
	tokenExpire         // a request's deadline
	tokenConsult        // the end of a request's wait for the directory
	tokenStep    = 4
)

// New returns the router of one gateway. The seed determines its random choices.
func New(settings Settings, seed int64) *Router {
	classes := len(settings.Classes) + 1 // the last one is for requests of an unknown class
	kinds := settings.Kinds + 1          // the last one is for the whole fleet
	r := &Router{
		settings:           settings,
		rng:                rand.New(rand.NewPCG(uint64(seed), sessionSalt)),
		unreachableByZone:  map[int]int{},
		engines:            map[string]*engine{},
		requests:           map[int64]*request{},
		enginesByShortHash: map[uint32]*engine{},
		silentOwners:       map[int]int64{},
		awaitingDirectory:  map[uint32]*request{},
		retryBudget:        maxRetryBudget,
		matchTrust:         1,
		tenants:            make([]tenantRate, len(settings.Tenants)),
		shedRates:          make([]classShedRates, classes),
		homeCachedFraction: slices.Repeat([]float64{0.5}, classes),
		ttftModels:         make([]model, kinds),
		tpotModels:         make([]model, kinds),
		classTPOTRatios:    make([]mean, classes),
		baseTPOT:           initialTPOT,
	}
	if objective := r.tightestTPOTObjective(); objective > 0 {
		r.baseTPOT = initialTPOTFraction * objective
	}
	r.matchTable[0], r.matchTable[1] = map[uint64]matchEntry{}, map[uint64]matchEntry{}
	for i := range r.ttftModels {
		r.ttftModels[i].init(ttftPrior)
		r.tpotModels[i].init(tpotPrior)
	}
	return r
}

// Handle processes one event, which happened at now in nanoseconds, and appends the resulting actions to
// actions.
func (r *Router) Handle(now int64, event Event, actions []Action) []Action {
	r.now = now
	r.actions = actions
	if !r.tickScheduled {
		r.tickScheduled = true
		r.emit(Action{Kind: Timer, Wait: tickInterval + r.rng.Int64N(tickInterval), Token: tokenTick})
	}
	switch ev := event.(type) {
	case *EngineList:
		r.onEngineList(ev)
	case *Request:
		r.onRequest(ev)
	case *Outcome:
		r.onOutcome(ev)
	case *FirstToken:
		r.onFirstToken(ev)
	case *ClientDisconnected:
		if q := r.requests[ev.Request]; q != nil {
			r.finish(q, nil)
		}
	case *ProbeResult:
		r.onProbeResult(ev)
	case *PeerMessage:
		r.onPeerMessage(ev.From, ev.Data)
	case *Advice:
		r.onAdvice(ev)
	case *TimerFired:
		r.onTimer(ev.Token)
	}
	actions = r.actions
	r.actions = nil
	return actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// onTimer handles a timer: the periodic one, the end of a request's wait for the directory, or its deadline.
func (r *Router) onTimer(token int64) {
	if q := r.requests[token/tokenStep]; token == tokenTick {
		r.tick()
	} else if q != nil && token%tokenStep == tokenConsult {
		r.finishConsultation(q)
	} else if q != nil {
		r.finishUnserved(q)
	}
}

// tick makes the periodic checks and schedules the next.
func (r *Router) tick() {
	r.emit(Action{Kind: Timer, Wait: tickInterval, Token: tokenTick})
	r.subscribe()
	r.checkHealth()
	r.dispatchQueued()
	r.probe()
}
