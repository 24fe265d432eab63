// Package lab simulates a fleet in virtual time: several nodes, each with the decision module and the tracker of its
// pools, a migration between two pools, emulated backends and an open workload of client sessions. The same seed gives
// the same run on every machine. The daemon never imports this package.
package lab

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"standpoint"
	"standpoint/internal/config"
	"standpoint/internal/lab/emulator"
	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
	"standpoint/internal/node"
	"standpoint/internal/pool"
)

const (
	networkDelay = 0.001 // one-way delay between a node and a backend, in seconds
	countsDelay  = 0.05  // delay of a node's counts on their way to the node that runs the migration, in seconds
)

// WorkClass is a class of requests and the behaviour of its clients. Sigmas are those of log-normal distributions.
type WorkClass struct {
	standpoint.Class
	RequestShare             float64 // share of all requests that belong to this class
	NewTokens, OutputTokens  float64 // mean number of tokens that a turn adds to the prompt, and of a response
	MeanTurns, ThinkTime     float64 // mean number of turns in a session, and mean time between them in seconds
	Prefixes                 int     // number of different shared prompt prefixes
	PrefixTokens             float64 // length of each shared prefix, in tokens
	MaxOutputTokens          float64 // output limit that requests carry, in tokens
	PromptSigma, OutputSigma float64 // sigmas of the tokens that a turn adds, and of a response's tokens
	MaxContextTokens         float64 // longest context, in tokens; not used by the simulation
}

// OperatorWorkload returns the two request classes of the operators' workload.
func OperatorWorkload() []WorkClass {
	ms := func(n int64) int64 { return n * int64(time.Millisecond) }
	return []WorkClass{
		{Class: standpoint.Class{Streamed: true, TTFTObjective: ms(2500), TTFTObjectivePer1000Tokens: ms(60),
			TPOTObjective: ms(50), Deadline: ms(10000), Weight: 2},
			RequestShare: 0.63, NewTokens: 900, OutputTokens: 75, MeanTurns: 1.2, ThinkTime: 4, Prefixes: 30,
			PrefixTokens: 700, MaxOutputTokens: 300, PromptSigma: 0.7, OutputSigma: 0.5},
		{Class: standpoint.Class{Streamed: true, TTFTObjective: ms(1200), TTFTObjectivePer1000Tokens: ms(30),
			TPOTObjective: ms(100), Deadline: ms(5000), Weight: 5},
			RequestShare: 0.37, NewTokens: 260, OutputTokens: 160, MeanTurns: 2.5, ThinkTime: 6, Prefixes: 20,
			PrefixTokens: 900, MaxOutputTokens: 600, PromptSigma: 0.7, OutputSigma: 0.5},
	}
}

// BackendKinds returns the parameters of the operators' three backend kinds, each at the middle of its given range.
func BackendKinds() []emulator.Parameters {
	common := emulator.Parameters{Queue: 40, Chunk: 2048, PerContext: 0.00005, ColdSpeedFactor: 0.13,
		WarmUp: 20, OverloadFactor: 4, OverloadTolerance: 3, ReportInterval: 0.8}
	fast, standard, slow := common, common, common
	fast.Slots, fast.Memory, fast.Step, fast.PerSequence, fast.PrefillRate = 26, 300_000, 0.013, 0.0003, 12_000
	standard.Slots, standard.Memory, standard.Step, standard.PerSequence, standard.PrefillRate = 24, 300_000, 0.015,
		0.00035, 10_000
	slow.Slots, slow.Memory, slow.Step, slow.PerSequence, slow.PrefillRate = 18, 250_000, 0.018, 0.0004, 9_000
	return []emulator.Parameters{fast, standard, slow}
}

// Setup describes a simulation.
type Setup struct {
	Seed                     uint64
	Nodes                    int
	Rate                     float64               // requests per second, without the clients' retries
	OldBackends, NewBackends int                   // number of backends in the pools "old" and "new"
	NewBackendsCold          bool                  // the backends of the new pool start, cold, at time 0
	Classes                  []WorkClass           // nil means OperatorWorkload
	Kinds                    []emulator.Parameters // nil means BackendKinds
	// SpeedSpread is the natural logarithm of the largest factor by which a backend is faster or slower.
	SpeedSpread float64
	UsePools    bool        // nodes assign requests to pools; otherwise a request may be sent to any backend
	Policy      string      // name of the policy that decides at each node; empty means the module
	Pattern     ratePattern // rate over time in place of Rate; may be nil
	// ListDelay is the longest delay, in seconds, with which a node receives an endpoint list. ReportDelay is the least
	// age, in seconds, of a load report when it arrives with a response. ReportLossRate is the share of the backends'
	// load reports that are lost, AttemptLossRate the share of the attempts that never reach their backend.
	ListDelay, ReportDelay, ReportLossRate, AttemptLossRate float64
}

// Simulation is the state of one simulated setup.
type Simulation struct {
	Setup
	now            float64    // virtual time, in seconds
	rng            *rand.Rand // source of everything random but losses
	lossRNG        *rand.Rand // source of losses and list delays of its own, so that they do not shift the other draws
	queue          events
	sequence       uint64 // number of the last scheduled event
	backends       []*backend
	backendsByName map[string]*backend
	nodes          []*simNode
	lastSession    uint64 // number of the last session
	lastID         uint64 // number of the last submission or attempt

	sendsAfterDrain int            // attempts that reached a backend more than 500 ms after all nodes knew of its drain
	breaches        map[string]int // number of broken rules, by the rule's name
	attempts        int            // attempts sent
	// ttfts are the times from requests' arrivals to their first tokens, in seconds, in order of the first tokens.
	ttfts        []float64
	ttftArrivals []float64 // arrival times of the requests in ttfts, in seconds

	// Seconds has the totals of the run, by the second in which requests arrived.
	Seconds []SecondTotals
}

// SecondTotals counts the requests that arrived in one second.
type SecondTotals struct {
	OfferedWeight, OnTimeWeight float64 // weight of the requests, and of those of them that met their objectives
	Requests, Shed              int     // requests, and rejections of them, retries' rejections included
	// AttemptsByBackend counts the attempts sent in this second; it is nil with more than maxTrackedBackends backends.
	AttemptsByBackend []int
	ToNewPool         int // requests whose first submission was assigned to the new pool
}

// backend is an emulated backend and its state in the simulation.
type backend struct {
	*emulator.Backend
	name       string
	pool       int // 1 is the old pool, 2 the new one
	kind       int
	readyAt    int64 // start time in the endpoint list, in Unix nanoseconds; 0 means long ago
	state      standpoint.State
	stepSerial uint64             // number of the step that is due; events of earlier steps are ignored
	attempts   map[int64]*attempt // accepted attempts, by job ID

	drainedAt     float64 // when all nodes know of its drain, in seconds; 0 means never
	inTransit     int     // attempts that were sent and have not arrived yet
	collapsed     bool    // it was overloaded while cold and went down
	index         int
	recentReports []timedReport // load reports that may still be delivered, the oldest first
}

// timedReport is a load report and the virtual time at which it was made, in seconds.
type timedReport struct {
	madeAt float64
	report emulator.Report
}

// clientRequest is a client's request. Times are virtual times in seconds.
type clientRequest struct {
	request       standpoint.Request
	class         *WorkClass
	session       *session
	arrivedAt     float64 // when the client first sent it
	deadline      float64 // deadline of the present submission
	node          *simNode
	attempts      []*attempt
	done          bool    // no further result counts for this submission
	retries       int     // number of the client's retries so far
	firstTokenAt  float64 // when the first token reached the node; 0 means not yet
	arrivalSecond int     // index of arrivedAt's second in Simulation.Seconds
}

// session is a client's conversation.
type session struct {
	key, prefix   uint64
	class         int
	prefixTokens  float64 // length of the shared prefix
	contextTokens float64 // length of the conversation so far
	turnsLeft     int     // turns that are still to be sent
}

// attempt is an attempt of a request at one backend. Times are virtual times in seconds.
type attempt struct {
	req          *clientRequest
	index        int // position among the attempts of its request
	backend      *backend
	sentAt       float64
	jobID        int64
	firstTokenAt float64 // when its first token reached the node; 0 means not yet
	outputTokens int
	inFlight     bool
	cancelled    bool
}

// simNode is a simulated node: it feeds events to the policy and executes the actions that come back.
type simNode struct {
	sim           *Simulation
	policy        Policy
	settings      standpoint.Settings
	tracker       *controller.Tracker // tracker of the pools; nil without pools
	openRequests  map[int64]*clientRequest
	lastID        int64 // ID of the node's last request
	actions       []standpoint.Action
	pendingEvents []standpoint.Event
	handling      bool
}

// event is a function that is due at a virtual time; events of the same time run in the order of their scheduling.
type event struct {
	at       float64
	sequence uint64
	do       func()
}

// events is a heap of events by time and sequence.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// At schedules do at the given virtual time, in seconds; a time in the past means now.
func (sim *Simulation) At(at float64, do func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{max(at, sim.now), sim.sequence, do})
}

// Now returns the virtual time, in seconds.
func (sim *Simulation) Now() float64 { return sim.now }

// epoch is virtual time 0 in Unix nanoseconds.
const epoch = int64(1_800_000_000) * int64(time.Second)

// clock returns the virtual time in Unix nanoseconds.
func (sim *Simulation) clock() int64 { return epoch + int64(sim.now*1e9) }

// Time returns the virtual time as a date.
func (sim *Simulation) Time() time.Time { return time.Unix(0, sim.clock()).UTC() }

// Run executes all events due until the given virtual time, in seconds.
func (sim *Simulation) Run(until float64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

// Plan returns the default migration plan, from the pool "old" to the pool "new".
func (s *Setup) Plan() migration.Plan {
	p := migration.Default()
	p.From, p.To = "old", "new"
	return p
}

// New builds a simulation at virtual time 0, with its backends, its nodes and the first session scheduled.
func New(s Setup) *Simulation {
	if s.Classes == nil {
		s.Classes = OperatorWorkload()
	}
	if s.Kinds == nil {
		s.Kinds = BackendKinds()
	}
	sim := &Simulation{Setup: s, rng: rand.New(rand.NewPCG(s.Seed, 0x1ab)), backendsByName: map[string]*backend{},
		breaches: map[string]int{},
		lossRNG:  rand.New(rand.NewPCG(s.Seed, 0x105))}
	settings := standpoint.Settings{Gateways: s.Nodes, Zones: 1, Kinds: len(s.Kinds), Reports: standpoint.ReportResponses,
		RetryAfter: true, MaxRetryAfter: int64(2 * time.Second), MaxAttempts: 3, EventInterval: int64(2 * time.Millisecond),
		DiscoveryTimeout: int64(10 * time.Second), DrainGrace: int64(500 * time.Millisecond),
		WarmUp:         int64(20 * time.Second),
		OverloadWindow: int64(3 * time.Second), ColdCapacityFraction: 0.13, OverloadFactor: 4, Cancel: true,
		Resume: true}
	for _, c := range s.Classes {
		settings.Classes = append(settings.Classes, c.Class)
	}
	cfg := &config.OperatorFile{Settings: settings, MigrationPlan: s.Plan()}
	for i := range s.Kinds {
		cfg.Names.Kinds = append(cfg.Names.Kinds, []string{"fast", "standard", "slow", "other"}[min(i, 3)])
	}
	cfg.PoolSet, _ = pool.NewSet(poolDefinitions())
	list := node.EndpointList{Kind: standpoint.ListFull}
	for i := range s.OldBackends + s.NewBackends {
		number, label, started := 1, "v1", emulator.LongAgo
		if i >= s.OldBackends {
			number, label = 2, "v2"
			if s.NewBackendsCold {
				started = 0
			}
		}
		kind := i % len(s.Kinds)
		parameters := s.Kinds[kind]
		parameters.Capacity = parameters.MaxRate(700, 1500, 105, 0.05)
		b := &backend{Backend: emulator.New(parameters, s.Seed*1000+uint64(i), started), name: backendName(i), pool: number,
			kind: kind, index: i, attempts: map[int64]*attempt{}}
		b.SetSlowdown(math.Exp((sim.rng.Float64()*2 - 1) * s.SpeedSpread))
		if started == 0 {
			b.readyAt = epoch
		}
		sim.backends = append(sim.backends, b)
		sim.backendsByName[b.name] = b
		list.Endpoints = append(list.Endpoints, node.Endpoint{Address: b.name,
			Labels: map[string]string{"version": label},
			Engine: standpoint.Engine{Name: b.name, Kind: kind, Size: 1, StartedAt: b.readyAt}})
	}
	for i := range s.Nodes {
		own := settings
		own.Ordinal = i
		n := &simNode{sim: sim, settings: own, policy: sim.newPolicy(own, int64(s.Seed)*64+int64(i)),
			openRequests: map[int64]*clientRequest{}}
		if s.UsePools {
			n.tracker = controller.NewTracker(cfg, nopLog)
		}
		sim.nodes = append(sim.nodes, n)
		n.updateEndpoints(list)
	}
	sim.scheduleArrival()
	return sim
}

// scheduleArrival schedules the next new session. Sessions arrive as a Poisson process; its rate is such that all their
// turns together make up the rate of requests.
func (sim *Simulation) scheduleArrival() {
	sessionsPerRequest := 0.0
	for _, c := range sim.Classes {
		sessionsPerRequest += c.RequestShare / c.MeanTurns
	}
	// The class is drawn so that the classes' shares hold for requests, not for sessions.
	sim.At(sim.now+sim.nextSessionDelay(sessionsPerRequest), func() {
		at := sim.rng.Float64() * sessionsPerRequest
		for i := range sim.Classes {
			c := &sim.Classes[i]
			if at -= c.RequestShare / c.MeanTurns; at > 0 && i < len(sim.Classes)-1 {
				continue
			}
			sim.lastSession++
			s := &session{key: splitmix(sim.lastSession + sim.Seed<<32), class: i, turnsLeft: 1}
			for sim.rng.Float64() > 1/c.MeanTurns && s.turnsLeft < 12 {
				s.turnsLeft++
			}
			s.prefix = splitmix(uint64(i+1)<<20 + uint64(zipf(sim.rng, c.Prefixes)))
			s.prefixTokens = c.PrefixTokens
			s.contextTokens = s.prefixTokens
			sim.sendTurn(s)
			break
		}
		sim.scheduleArrival()
	})
}

// maxTrackedBackends is the largest number of backends for which the attempts of each second are counted by backend.
const maxTrackedBackends = 64

// secondAt returns the totals of the second that contains the given virtual time.
func (sim *Simulation) secondAt(at float64) *SecondTotals {
	for len(sim.Seconds) <= int(at) {
		s := SecondTotals{}
		if len(sim.backends) <= maxTrackedBackends {
			s.AttemptsByBackend = make([]int, len(sim.backends))
		}
		sim.Seconds = append(sim.Seconds, s)
	}
	return &sim.Seconds[int(at)]
}

// currentReport returns the load report that a response of the backend carries now: the newest one that is at least
// ReportDelay old, or nil if there is none yet.
func (sim *Simulation) currentReport(b *backend) *standpoint.Report {
	l := b.Load(sim.now)
	if n := len(b.recentReports); n == 0 || b.recentReports[n-1].report != l {
		b.recentReports = append(b.recentReports, timedReport{sim.now, l})
	}
	newest := -1
	for newest+1 < len(b.recentReports) && b.recentReports[newest+1].madeAt <= sim.now-sim.ReportDelay {
		newest++
	}
	if newest < 0 {
		return nil
	}
	b.recentReports = b.recentReports[newest:]
	l = b.recentReports[0].report
	return &standpoint.Report{MemoryUsage: l.Memory, PrefillBacklog: l.PendingPrompt, SlotUsage: l.Slots}
}

// zipf draws a rank below n; the probability of a rank falls about as its reciprocal.
func zipf(r *rand.Rand, n int) int {
	return int(math.Pow(float64(n), r.Float64())) - 1
}

// splitmix is the SplitMix64 mixing function.
func splitmix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// logNormal draws from a log-normal distribution with the given mean and sigma.
func (sim *Simulation) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*sim.rng.NormFloat64()-sigma*sigma/2)
}

// sendTurn sends the next request of a session.
func (sim *Simulation) sendTurn(s *session) {
	c := &sim.Classes[s.class]
	s.turnsLeft--
	s.contextTokens = min(30_000, s.contextTokens+max(20, sim.logNormal(c.NewTokens, c.PromptSigma)))
	req := &clientRequest{class: c, session: s, arrivedAt: sim.now, arrivalSecond: int(sim.now)}
	req.request = standpoint.Request{Class: s.class, Session: s.key, Prefix: s.prefix, PromptTokens: s.contextTokens,
		PrefixTokens: s.prefixTokens,
		MaxTokens:    c.MaxOutputTokens}
	sim.secondAt(sim.now).Requests++
	sim.Seconds[req.arrivalSecond].OfferedWeight += c.Weight
	sim.submit(req)
}

// submit sends a client's request, or a retry of it, to a randomly chosen node.
func (sim *Simulation) submit(req *clientRequest) {
	sim.lastID++
	req.node = sim.nodes[sim.rng.IntN(len(sim.nodes))]
	req.deadline = sim.now + float64(req.class.Deadline)/1e9
	req.attempts, req.firstTokenAt, req.done = nil, 0, false
	n := req.node
	n.lastID++
	req.request.ID, req.request.Deadline = n.lastID, epoch+int64(req.deadline*1e9)
	if n.tracker != nil {
		req.request.Pool = n.tracker.Assign(&req.request)
		if req.request.Pool == 2 && req.retries == 0 {
			sim.Seconds[req.arrivalSecond].ToNewPool++
		}
	}
	n.openRequests[req.request.ID] = req
	r := req.request
	n.handle(&r)
}
