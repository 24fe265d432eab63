// Package lab is the laboratory: the decision module, pools and mover of several nodes before emulated boxes, with
// clients that come as they would, in virtual time. The same seed gives the same run, whatever the machine. The
// daemon never imports it.
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
	hop       = 0.001 // seconds one way between a node and a box
	reportLag = 0.05  // of a node's counts on their way to the one that carries moves on
)

// WorkClass is a class of requests and what its clients send.
type WorkClass struct {
	standpoint.Class
	Part              float64 // of the requests
	New, Out          float64 // tokens that a turn adds, and that an answer has, on average
	Turns, Think      float64 // turns of a session, and the seconds between them
	Prefixes          int     // shared beginnings
	PrefixTokens      float64
	MaxOut            float64
	Sigma, OutSpread  float64
	MostContextTokens float64
}

// Tabel is the work that the operators' brief describes.
func Tabel() []WorkClass {
	ms := func(n int64) int64 { return n * int64(time.Millisecond) }
	return []WorkClass{
		{Class: standpoint.Class{Streamed: true, TTFTObjective: ms(2500), TTFTObjectivePer1000Tokens: ms(60), TPOTObjective: ms(50), Deadline: ms(10000), Weight: 2},
			Part: 0.63, New: 900, Out: 75, Turns: 1.2, Think: 4, Prefixes: 30, PrefixTokens: 700, MaxOut: 300, Sigma: 0.7, OutSpread: 0.5},
		{Class: standpoint.Class{Streamed: true, TTFTObjective: ms(1200), TTFTObjectivePer1000Tokens: ms(30), TPOTObjective: ms(100), Deadline: ms(5000), Weight: 5},
			Part: 0.37, New: 260, Out: 160, Turns: 2.5, Think: 6, Prefixes: 20, PrefixTokens: 900, MaxOut: 600, Sigma: 0.7, OutSpread: 0.5},
	}
}

// Kinds are the figures of the brief's kinds of box, at the middle of their ranges.
func Kinds() []emulator.Figures {
	common := emulator.Figures{Queue: 40, Chunk: 2048, PerContext: 0.00005, ColdShare: 0.13, WarmUp: 20, FallFactor: 4, Fall: 3, ReportEvery: 0.8}
	fast, standard, slow := common, common, common
	fast.Slots, fast.Memory, fast.Step, fast.PerSequence, fast.ReadPerS = 26, 300_000, 0.013, 0.0003, 12_000
	standard.Slots, standard.Memory, standard.Step, standard.PerSequence, standard.ReadPerS = 24, 300_000, 0.015, 0.00035, 10_000
	slow.Slots, slow.Memory, slow.Step, slow.PerSequence, slow.ReadPerS = 18, 250_000, 0.018, 0.0004, 9_000
	return []emulator.Figures{fast, standard, slow}
}

// Setup is a world to be run.
type Setup struct {
	Seed     uint64
	Nodes    int
	Rate     float64 // requests a second; clients' retries are not counted
	Old, New int     // boxes in the pools "old" and "new"
	NewCold  bool    // the new pool's boxes start at time 0
	Classes  []WorkClass
	Kinds    []emulator.Figures
	Spread   float64 // of the boxes' true speeds, as a factor up and down
	Pools    bool    // false: every flow may go anywhere
	// Policy decides at each node; "" is the module. Pattern, if any, stands in for Rate.
	Policy  string
	Pattern rateOver
	// ListLate is how late, in seconds, a node may hear of the list; ReportLate how old a report is, at the least, when it
	// comes with an answer; ReportLost the part of the boxes' reports that is
	// lost; MessageLost the part of the attempts that never arrive.
	ListLate, ReportLate, ReportLost, MessageLost float64
}

// World runs one setup.
type World struct {
	Setup
	now     float64
	rng     *rand.Rand
	lost    *rand.Rand // of what gets lost, so that it does not shift the rest
	queue   events
	order   uint64
	boxes   []*machine
	byName  map[string]*machine
	nodes   []*gateway
	nextKey uint64
	trace   uint64

	lateSends int
	breaches  map[string]int // of the rules, by name
	attempts  int
	firsts    []float64 // seconds from a request's arrival to its first token, by when it came
	firstsAt  []float64

	// Totals of the run, by second of the request's arrival.
	Seconds []Second
}

// Second is what came of the requests that arrived in one second.
type Second struct {
	Asked, InTime  float64 // worth
	Requests, Shed int
	Boxes          []int // attempts sent in this second, by box; nil where there are more than sharesMost
	To             int   // that were assigned to the new pool
}

// machine is a box with its place in the world.
type machine struct {
	*emulator.Box
	name    string
	pool    int
	kind    int
	readyAt int64
	state   standpoint.State
	serial  uint64 // of the step that is due
	jobs    map[int64]*try

	drainedAt float64 // when its drain was told; 0: never
	coming    int     // attempts on their way
	fell      bool    // pushed over while it was cold
	index     int
	reports   []dated // the latest that it made, the oldest first
}

// dated is a report and when it was made.
type dated struct {
	at     float64
	report emulator.Report
}

// ask is a request of a client.
type ask struct {
	request  standpoint.Request
	class    *WorkClass
	session  *session
	arrived  float64
	deadline float64
	node     *gateway
	tries    []*try
	done     bool
	again    int // the client's own tries so far
	first    float64
	second   int
}

type session struct {
	key, prefix uint64
	class       int
	shared      float64
	length      float64
	left        int
}

// try is an attempt.
type try struct {
	ask    *ask
	leg    int
	box    *machine
	sent   float64
	id     int64
	begun  float64
	made   int
	out    bool
	called bool
}

// gateway is a node: the module, the tracker of its pools, and the carrying out of actions.
type gateway struct {
	w        *World
	router   Policy
	settings standpoint.Settings
	tracker  *controller.Tracker
	open     map[int64]*ask
	nextID   int64
	acts     []standpoint.Action
	pending  []standpoint.Event
	handling bool
}

type event struct {
	at    float64
	order uint64
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
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

// At has something done at a time.
func (w *World) At(at float64, do func()) {
	w.order++
	heap.Push(&w.queue, event{max(at, w.now), w.order, do})
}

// Now is the virtual time in seconds.
func (w *World) Now() float64 { return w.now }

const epoch = int64(1_800_000_000) * int64(time.Second)

func (w *World) clock() int64 { return epoch + int64(w.now*1e9) }

// Time is the virtual time as a date.
func (w *World) Time() time.Time { return time.Unix(0, w.clock()).UTC() }

// Run runs until a time.
func (w *World) Run(until float64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Plan is the default plan with what is told of boxes here.
func (s *Setup) Plan() migration.Plan {
	p := migration.Default()
	p.From, p.To = "old", "new"
	return p
}

// New builds a world.
func New(s Setup) *World {
	if s.Classes == nil {
		s.Classes = Tabel()
	}
	if s.Kinds == nil {
		s.Kinds = Kinds()
	}
	w := &World{Setup: s, rng: rand.New(rand.NewPCG(s.Seed, 0x1ab)), byName: map[string]*machine{}, breaches: map[string]int{},
		lost: rand.New(rand.NewPCG(s.Seed, 0x105))}
	settings := standpoint.Settings{Gateways: s.Nodes, Zones: 1, Kinds: len(s.Kinds), Reports: standpoint.ReportResponses,
		RetryAfter: true, MaxRetryAfter: int64(2 * time.Second), MaxAttempts: 3, EventInterval: int64(2 * time.Millisecond),
		DiscoveryTimeout: int64(10 * time.Second), DrainGrace: int64(500 * time.Millisecond), WarmUp: int64(20 * time.Second),
		OverloadWindow: int64(3 * time.Second), ColdCapacityFraction: 0.13, OverloadFactor: 4, Cancel: true, Resume: true}
	for _, c := range s.Classes {
		settings.Classes = append(settings.Classes, c.Class)
	}
	cfg := &config.OperatorFile{Settings: settings, MigrationPlan: s.Plan()}
	for i := range s.Kinds {
		cfg.Names.Kinds = append(cfg.Names.Kinds, []string{"fast", "standard", "slow", "other"}[min(i, 3)])
	}
	cfg.PoolSet, _ = pool.NewSet(poolDefinitions())
	list := node.EndpointList{Kind: standpoint.ListFull}
	for i := range s.Old + s.New {
		number, label, started := 1, "v1", emulator.LongAgo
		if i >= s.Old {
			number, label = 2, "v2"
			if s.NewCold {
				started = 0
			}
		}
		kind := i % len(s.Kinds)
		f := s.Kinds[kind]
		f.Capacity = f.Able(700, 1500, 105, 0.05)
		m := &machine{Box: emulator.New(f, s.Seed*1000+uint64(i), started), name: boxName(i), pool: number, kind: kind, index: i, jobs: map[int64]*try{}}
		m.Slow(math.Exp((w.rng.Float64()*2 - 1) * s.Spread))
		if started == 0 {
			m.readyAt = epoch
		}
		w.boxes = append(w.boxes, m)
		w.byName[m.name] = m
		list.Endpoints = append(list.Endpoints, node.Endpoint{Address: m.name, Labels: map[string]string{"version": label},
			Engine: standpoint.Engine{Name: m.name, Kind: kind, Size: 1, StartedAt: m.readyAt}})
	}
	for i := range s.Nodes {
		own := settings
		own.Ordinal = i
		g := &gateway{w: w, settings: own, router: w.policy(own, int64(s.Seed)*64+int64(i)), open: map[int64]*ask{}}
		if s.Pools {
			g.tracker = controller.NewTracker(cfg, nopLog)
		}
		w.nodes = append(w.nodes, g)
		g.news(list)
	}
	w.arrive()
	return w
}

// arrive brings new sessions, as a Poisson process whose rate counts all of their turns.
func (w *World) arrive() {
	turns := 0.0
	for _, c := range w.Classes {
		turns += c.Part / c.Turns
	}
	// Classes are drawn so that requests, not sessions, have the classes' parts.
	w.At(w.now+w.wait(turns), func() {
		at := w.rng.Float64() * turns
		for i := range w.Classes {
			c := &w.Classes[i]
			if at -= c.Part / c.Turns; at > 0 && i < len(w.Classes)-1 {
				continue
			}
			w.nextKey++
			s := &session{key: splitmix(w.nextKey + w.Seed<<32), class: i, left: 1}
			for w.rng.Float64() > 1/c.Turns && s.left < 12 {
				s.left++
			}
			s.prefix = splitmix(uint64(i+1)<<20 + uint64(zipf(w.rng, c.Prefixes)))
			s.shared = c.PrefixTokens
			s.length = s.shared
			w.turn(s)
			break
		}
		w.arrive()
	})
}

// sharesMost is up to how many boxes it is kept which of them the attempts of each second went to.
const sharesMost = 64

// second is the figures of the second in which a moment lies.
func (w *World) second(at float64) *Second {
	for len(w.Seconds) <= int(at) {
		s := Second{}
		if len(w.boxes) <= sharesMost {
			s.Boxes = make([]int, len(w.boxes))
		}
		w.Seconds = append(w.Seconds, s)
	}
	return &w.Seconds[int(at)]
}

// reported is the report that an answer of a box brings now: the newest that is as old as reports are late. Nil: there is
// none yet.
func (w *World) reported(m *machine) *standpoint.Report {
	l := m.Load(w.now)
	if n := len(m.reports); n == 0 || m.reports[n-1].report != l {
		m.reports = append(m.reports, dated{w.now, l})
	}
	newest := -1
	for newest+1 < len(m.reports) && m.reports[newest+1].at <= w.now-w.ReportLate {
		newest++
	}
	if newest < 0 {
		return nil
	}
	m.reports = m.reports[newest:]
	l = m.reports[0].report
	return &standpoint.Report{MemoryUsage: l.Memory, PrefillBacklog: l.Unread, SlotUsage: l.Slots}
}

func zipf(r *rand.Rand, n int) int {
	return int(math.Pow(float64(n), r.Float64())) - 1
}

func splitmix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (w *World) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2)
}

// turn has a session send its next request.
func (w *World) turn(s *session) {
	c := &w.Classes[s.class]
	s.left--
	s.length = min(30_000, s.length+max(20, w.logNormal(c.New, c.Sigma)))
	a := &ask{class: c, session: s, arrived: w.now, second: int(w.now)}
	a.request = standpoint.Request{Class: s.class, Session: s.key, Prefix: s.prefix, PromptTokens: s.length, PrefixTokens: s.shared,
		MaxTokens: c.MaxOut}
	w.second(w.now).Requests++
	w.Seconds[a.second].Asked += c.Weight
	w.present(a)
}

// present brings a client's try to some node.
func (w *World) present(a *ask) {
	w.trace++
	a.node = w.nodes[w.rng.IntN(len(w.nodes))]
	a.deadline = w.now + float64(a.class.Deadline)/1e9
	a.tries, a.first, a.done = nil, 0, false
	g := a.node
	g.nextID++
	a.request.ID, a.request.Deadline = g.nextID, epoch+int64(a.deadline*1e9)
	if g.tracker != nil {
		a.request.Pool = g.tracker.Assign(&a.request)
		if a.request.Pool == 2 && a.again == 0 {
			w.Seconds[a.second].To++
		}
	}
	g.open[a.request.ID] = a
	r := a.request
	g.handle(&r)
}
