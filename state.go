package standpoint

// What a router remembers. Nothing in this file decides.

import (
	"math"
	"math/rand/v2"
)

type engine struct {
	Engine
	hash                uint64
	notReady            bool  // listed as draining or gone
	firstSeenAt         int64 // first heard of
	report              Report
	reportAt            int64   // 0: none yet
	unreportedPrefill   float64 // own sends since the report, not kept and not yet read
	unreportedPrefillAt int64
	attemptsInFlight    int        // own attempts out
	tokensInFlight      float64    // own input tokens in flight
	slowness            float64    // log of observed over predicted time
	unanswered          []*attempt // own attempts without a sign of life, oldest first
	lastSignOfLife      int64      // last sign of life
	suspect             bool
	unreachable         bool    // found down, not only slow
	unreachableSince    int64   // since when
	recoveredAt         int64   // when it answered again after that; 0: it has not
	tpotSlowness        mean    // log of told over predicted token gap
	errorRate           float64 // share of errors and rejections among its latest answers
	// When its start was heard of, where the clocks that tell it cannot be right; 0: they may be.
	substituteStart   int64
	lastTrialAt       int64
	wastedWait        float64 // seconds that attempts waited in vain, of late
	wastedWaitAt      int64   // when the latest of them ended
	reinstated        bool    // put back by hand and not in use since
	slowStartBudget   float64 // requests the cold budget allows now
	slowStartBudgetAt int64
	backlog           backlog    // where this gateway is its directory owner
	directoryLoad     engineLoad // as its directory owner told
	directoryLoadAt   int64
	probing           bool
	probedAt          int64
	sampleNumber      uint64 // the sample that it was last taken into
}

// Router is one gateway's decisions.
type Router struct {
	settings           Settings
	rng                *rand.Rand
	now                int64
	actions            []Action
	engines            map[string]*engine
	ready              []*engine           // listed ready, by name
	enginesByShortHash map[uint32]*engine  // of messages between gateways
	directoryAnswerAt  int64               // when a directory owner last told something
	meanPrefillBurden  mean                // parts of objectives that the reading of prompts takes
	silentOwners       map[int]int64       // directory owners that did not answer, and when
	awaitingDirectory  map[uint32]*request // for directory owners' answers
	rings              map[ringKey][]*engine
	unreachableByZone  map[int]int // by zone: engines that could not be reached since its last sign of life
	ownZoneFraction    float64     // of the ready engines' size, in the own zone
	meanSize           float64     // of the ready engines
	listsReceived      int         // that discovery has told
	lastListAt         int64       // when it told the latest
	fleetWarmUpEnd     int64       // when the last of those that are known to have started is warm
	sampleNumber       uint64      // number of the latest sample
	sampled            []*engine
	candidates         []candidate // kept for their room, as all is
	options            []option
	sharedFault        bool
	sharedFaultAt      int64
	requests           map[int64]*request
	queued             []*request
	usualReadyCount    float64 // ready engines of late: their number, or what it was, slowly fading
	usualReadyAt       int64
	tenants            []tenantRate
	unknownTenant      tenantRate // in place of one that cannot be told from the others
	ticking            bool
	subscribeAt        int64
	failedSubscribes   int64 // failed discovery calls in a row
	subscribed         bool
	retryBudget        float64
	requestRate        float64 // own requests taken on, each second
	requestRateAt      int64
	firstRequestAt     int64  // when the first request came
	meanReport         Report // mean of the reports heard
	matchTable         [2]map[uint64]matchEntry
	flushAt            int64
	matchShortfalls    int
	matchTrust         float64 // kept over expected, of table entries
	sessionGain        []float64
	ttftModels         []model // per kind; the last is the fleet's
	tpotModels         []model
	classTPOTRatios    []mean // log of decode time over the answer limit, per class
	longTermTPOTError  mean
	streams            int     // own streams running
	expectedStreams    float64 // and how many would be if streams took their usual time
	expectedStreamsAt  int64
	usualStreamExcess  mean
	decodeTime         mean // seconds from first token to last
	recentTPOTError    mean
	outputLengthsKnown bool // answers' lengths are told
	// Token gap at a load factor of 1, seconds: the pace of answers that run to their limit.
	baseTPOT             float64
	recentValueDensities []float64 // densities of the latest requests
	nextValueDensity     int
	shedRates            []classShedRates // by class
	shedFraction         float64          // part of the requests, the poorest, that is refused
	shedFractionAt       int64
}

// NeedsTimer tells that a timer's token still means something; the others may be forgotten.
func (r *Router) NeedsTimer(token int64) bool {
	return token == tokenTick || r.requests[token/tokenStep] != nil
}

// UpdateSettings takes on new settings. What was learned is kept, but for classes, kinds and tenants whose
// number has changed: which of them is which is then not known.
func (r *Router) UpdateSettings(settings Settings) {
	blank := New(settings, 0)
	if len(blank.sessionGain) != len(r.sessionGain) {
		r.sessionGain = blank.sessionGain
		r.classTPOTRatios = blank.classTPOTRatios
		r.shedRates = blank.shedRates
	}
	if len(blank.ttftModels) != len(r.ttftModels) {
		r.ttftModels = blank.ttftModels
		r.tpotModels = blank.tpotModels
	}
	if len(blank.tenants) != len(r.tenants) {
		r.tenants = blank.tenants
	}
	r.settings = settings
	r.unreachableByZone = blank.unreachableByZone // zones may have other numbers
	r.rebuildRings()
}

// countRequest follows the rate of own requests taken on, over the latest rateSpan seconds; over what
// there was of them where the router is younger, or it would take itself for one that has little to do,
// and cold engines for weaker than they are.
func (r *Router) countRequest() {
	if r.requestRateAt == 0 {
		r.firstRequestAt = r.now
	}
	span := min(rateSpan, max(minRateSpan, seconds(r.now-r.firstRequestAt)))
	r.requestRate *= math.Exp(-seconds(r.now-r.requestRateAt) / span)
	r.requestRate += 1 / span
	r.requestRateAt = r.now
}

const rateSpan, minRateSpan = 5.0, 2.0
