package standpoint

// The Router passes each event to the code that decides on it. The files, in reading order: api.go (events,
// actions and settings), state.go, discovery.go (the engine list), request.go (the attempts of a request),
// admission.go (load shedding), eligibility.go (which attempts are allowed), slow_start.go, placement.go with
// sampling.go (choosing an engine), affinity.go (cached prompts), directory.go with directory_message.go and
// prefill_backlog.go (the load directory), prediction.go with regression.go, health.go, probes.go,
// unreported_load.go, learned_state.go and hash.go.
//
// Throughout the package r is a Router, e an engine, q a request, a an attempt and o an option, which is an
// engine that is evaluated for a request. TTFT is the time to the first token, TPOT the time per output
// token.

import (
	"math/rand/v2"
	"slices"
)

const (
	ms     = int64(1e6)
	second = int64(1e9)

	maxFullScan          = 64      // largest fleet of which every engine is considered for each request
	maxRankedRequests    = 64      // latest requests among which a new one is ranked
	metObjectivesPerMiss = 4.0     // met objectives that offset one missed objective
	shedFractionDecay    = 0.15    // fall of the shed fraction per second
	tickInterval         = 50 * ms // interval of the periodic checks; see tick
	bucketDepth          = 10      // maximum number of samples in one bucket of a model
	maxRetryBudget       = 2.0     // retries and hedged attempts that may be made at once, over all requests
	maxShedForHedging    = 0.1     // shed fraction above which no hedged attempts are sent

	// initialTPOT is the initial base TPOT in seconds if no class has a TPOT objective.
	initialTPOT = 0.03
	// initialTPOTFraction is the initial base TPOT as a fraction of the tightest TPOT objective, if there is
	// one: a healthy fleet is taken to meet it.
	initialTPOTFraction = 0.6
	featureCount        = 7 // length of a featureVector
	// priorWeight is the weight of the ridge regression's prior, in samples of which a single feature makes
	// up the whole prediction.
	priorWeight = 2.0

	// Salts make hashes of the same number differ from one purpose to another.
	sessionSalt = 0x9e3779b97f4a7c15
	prefixSalt  = 0xc2b2ae3d27d4eb4f
)

// Kinds of timers. The token of the periodic timer is tokenTick. That of a request's timer is the request's
// ID, which is below 2^52, times tokenStep plus one of the other kinds.
const (
	tokenTick    = iota // the periodic checks
	tokenExpire         // shortly before a request's deadline
	tokenConsult        // the end of a request's wait for directory owners
	tokenStep    = 4
)

// New returns the router of one gateway. Its random choices follow from the seed.
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

// Handle processes an event that happened at the time now, in nanoseconds, and returns actions with the
// resulting ones appended.
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

// onTimer handles a timer: the periodic one, or the end of a request's wait for directory owners, or the one
// shortly before a request's deadline.
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
