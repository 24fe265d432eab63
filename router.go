package standpoint

// The Router takes events and hands them to the code that decides on them. The files, in reading order:
// discovery.go (the endpoint list), request.go (a request's attempts), admission.go (load shedding),
// eligibility.go (what may be sent), slow_start.go, placement.go with sampling.go (choosing a backend),
// affinity.go (cached prompts), directory.go and prefill_backlog.go (the load directory), prediction.go
// with regression.go, health.go, probes.go and unreported_load.go. Events, actions and settings are in
// api.go; state.go says what is remembered.

import (
	"math/rand/v2"
	"slices"
)

const (
	ms     = int64(1e6)
	second = int64(1e9)

	maxFullScan          = 64      // a fleet up to this size is gone over whole for each request
	maxRankedRequests    = 64      // requests that a new one's worth for its work is ranked among
	metObjectivesPerMiss = 4.0     // objectives met that undo one missed
	shedFractionDecay    = 0.15    // fall of the refused part in a second
	tickInterval         = 50 * ms // pace of the health, probe and queue rounds
	bucketDepth          = 10      // samples kept in one bucket
	maxRetryBudget       = 2.0     // and how many may come at once
	maxShedForHedging    = 0.1     // refused part from which no second copies are sent

	initialTPOT         = 0.03 // seconds; first guess of the token gap where no class has an objective
	initialTPOTFraction = 0.6  // else this part of the tightest objective, which a healthy fleet keeps
	featureCount        = 7    // see features
	priorWeight         = 2.0  // ridge strength, in samples of ordinary size
	sessionSalt         = 0x9e3779b97f4a7c15
	prefixSalt          = 0xc2b2ae3d27d4eb4f
)

// Timer tokens: request id times tokenStep plus one of these. Ids stay below 2^52.
const (
	tokenTick = iota
	tokenExpire
	tokenConsult
	tokenStep = 4
)

// New returns a router for one gateway.
func New(settings Settings, seed int64) *Router {
	classes := len(settings.Classes) + 1 // the last one stands for requests of an unknown class
	kinds := settings.Kinds + 1          // the last one stands for the whole fleet
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
		sessionGain:        slices.Repeat([]float64{0.5}, classes),
		ttftModels:         make([]model, kinds),
		tpotModels:         make([]model, kinds),
		classTPOTRatios:    make([]mean, classes),
		baseTPOT:           initialTPOT,
	}
	if aim := r.tightestTPOTObjective(); aim > 0 {
		r.baseTPOT = initialTPOTFraction * aim
	}
	r.matchTable[0], r.matchTable[1] = map[uint64]matchEntry{}, map[uint64]matchEntry{}
	for i := range r.ttftModels {
		r.ttftModels[i].init(ttftPrior)
		r.tpotModels[i].init(tpotPrior)
	}
	return r
}

// Handle takes one event and appends what is to be done about it to actions.
func (r *Router) Handle(now int64, event Event, actions []Action) []Action {
	r.now = now
	r.actions = actions
	if !r.ticking {
		r.ticking = true
		r.emit(Action{Kind: Timer, Wait: tickInterval + r.rng.Int64N(tickInterval), Token: tokenTick})
	}
	switch ev := event.(type) {
	case *EngineList:
		r.onList(ev)
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
		r.onProbed(ev)
	case *PeerMessage:
		r.onPeer(ev.From, ev.Data)
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

func (r *Router) onTimer(token int64) {
	if q := r.requests[token/tokenStep]; token == tokenTick {
		r.tick()
	} else if q != nil && token%tokenStep == tokenConsult {
		r.consultFinished(q)
	} else if q != nil {
		r.finishUnserved(q)
	}
}

func (r *Router) tick() {
	r.emit(Action{Kind: Timer, Wait: tickInterval, Token: tokenTick})
	r.subscribe()
	r.checkHealth()
	r.dispatchQueued()
	r.probe()
}
