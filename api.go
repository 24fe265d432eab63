// Package standpoint decides where a gateway in front of LLM servers sends each request.
//
// A Router holds what one gateway knows. It has no clock, I/O, goroutine or global state: its caller
// passes each event with the time, and carries out the returned actions. The same events, settings and
// seed always give the same actions. A Router is not safe for concurrent use.
package standpoint

// Effect says what repeating a request may do.
type Effect uint8

// The effects that repeating a request may have.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped inside Group within Window
	Unsafe               // may run once at the most
)

// Group is the set of engines that drop each other's repeats of a keyed request.
type Group uint8

// The scopes within which engines drop repeats of a keyed request.
const (
	GroupAll  Group = iota // all of the tier
	GroupZone              // those of its zone
	GroupCell              // those of its cell
)

// ReportMode says how load reports reach the gateway.
type ReportMode uint8

// The ways in which load reports arrive.
const (
	ReportNone    ReportMode = iota // no reports
	ReportReplies                   // with outcomes and probe results
	ReportProbes                    // with probe results only
)

// Class describes one class of requests. Times are in nanoseconds.
type Class struct {
	Effect                     Effect  `json:"Effect"`
	Group                      Group   `json:"Group"`
	Window                     int64   `json:"Window"`
	Streamed                   bool    `json:"Streamed"`
	TTFTObjective              int64   `json:"TTFTAim"`    // to the first token; not streamed: to the end
	TTFTObjectivePer1000Tokens int64   `json:"AimPer1000"` // added to TTFTObjective for each 1,000 prompt tokens
	TPOTObjective              int64   `json:"TPOTAim"`    // wanted gap between tokens; 0: none
	ObjectiveStretch           float64 `json:"AimStretch"`
	Deadline                   int64   `json:"Deadline"`
	Weight                     float64 `json:"Worth"`
	LateWeight                 float64 `json:"LateWorth"`
	Description                string  `json:"Description"`
}

// Tenant is one customer's agreed share of the service.
type Tenant struct {
	Share    float64 `json:"Share"`
	QuotaRPS float64 `json:"QuotaRPS"` // across all gateways
}

// Settings is what a gateway is told at its start. Times are in nanoseconds.
type Settings struct {
	Gateways, Ordinal    int // gateways in the tier, and this one's number
	Zone, Zones, Kinds   int // own zone; numbers of zones and machine kinds
	Classes              []Class
	Tenants              []Tenant
	OverQuotaWeight      float64
	Reports              ReportMode
	SubscribeDiscovery   bool // changes must be asked for
	Resume               bool // broken streams continue elsewhere
	SecondCopies         bool
	Cancel               bool
	Probes               bool
	Peers                bool
	RetryAfter           bool
	MaxRetryAfter        int64
	MaxAttempts          int
	Tick                 int64 // shortest time between two batches of events
	DiscoveryTimeout     int64
	DrainGrace           int64
	WarmUp               int64
	OverloadWindow       int64
	ColdCapacityFraction float64 // capacity a starting engine has at the least
	OverloadFactor       float64
	CrossZonePrice       float64
	ProbePrice           float64
	PeerPrice            float64
	WastePrice           float64
	LateFailPrice        float64
}

// State is an engine's place in its life, as discovery tells it.
type State uint8

// The states of an engine.
const (
	Ready    State = iota // takes requests
	Draining              // finishes what it has
	Gone                  // not listed any more
)

// Engine is one entry of discovery's list.
type Engine struct {
	Name       string
	Zone       int
	Kind       int
	Cell       int
	State      State
	Size       float64 // registered size, no unit
	ReadyAt    int64   // last start; 0: long ago
	Pool       int     // 0: none
	Reinstated bool    // put back by hand, as started then: wanted in use again soon
	Stale      bool    // last heard of long ago, and not told anew: tried last
}

// Report is an engine's load report.
type Report struct {
	MemoryUsage    float64 `json:"Memory"` // share of memory held by running requests
	PrefillBacklog float64 `json:"Unread"` // thousands of prompt tokens not yet read
	SlotUsage      float64 `json:"Slots"`  // share of slots in use
}

// Event is something the gateway observed; one of the pointer types below.
type Event interface{ event() }

// ListKind tells how to read an EngineList.
type ListKind uint8

// The kinds of endpoint lists.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // everything; an engine absent from it is gone
	ListFailed                 // a discovery call failed; no entries
)

// EngineList is discovery's news.
type EngineList struct {
	Kind    ListKind
	Engines []Engine
}

// Request is a client's try that has arrived and is owed one final answer.
type Request struct {
	ID           int64
	Deadline     int64
	Class        int
	Tenant       int
	Session      uint64 // 0: none
	Prefix       uint64 // shared beginning; 0: none
	PromptTokens float64
	PrefixTokens float64
	MaxTokens    float64
	Retry        bool
	Resumed      bool
	Pool         int // where it belongs; 0: anywhere
}

// OutcomeCode is how an attempt ended.
type OutcomeCode uint8

// The outcomes of an attempt.
const (
	Served         OutcomeCode = iota // whole
	ServerError                       // answered as failed; it may have run
	Rejected                          // rejected unseen: it never ran
	NoAnswer                          // none in time; it may run yet
	NoConnection                      // none came up: it never ran
	ConnectionLost                    // after the request was written; it may have run
	Cancelled                         // given up by this node
	NotSent                           // nothing of it was
)

var codeNames = [...]string{
	"served",
	"server_error",
	"turned_away",
	"no_answer",
	"no_connection",
	"connection_lost",
	"called_off",
	"not_sent",
}

// String is the code's name on the wire and in logs.
func (c OutcomeCode) String() string {
	if int(c) >= len(codeNames) {
		return "unknown"
	}
	return codeNames[c]
}

// NeverRan reports whether the code proves that the attempt had no effect.
func (c OutcomeCode) NeverRan() bool { return c == Rejected || c == NoConnection || c == NotSent }

// Outcome is the end of an attempt.
type Outcome struct {
	Request       int64
	Attempt       int
	Last          bool // the request is over
	Code          OutcomeCode
	CachedTokens  float64 // prompt tokens the engine still held, with Served
	OutputTokens  float64 // of the answer, with Served; 0: not told
	Engine        string
	Elapsed       int64
	ClientStalled bool // the client was slow to take the answer: Elapsed says nothing of the engine
	Report        *Report
	LocalFault    bool // it failed for a shortage of this gateway's own machine: it says nothing of the engine
}

// FirstToken tells that an attempt's answer has begun.
type FirstToken struct {
	Request int64
	Attempt int
	Elapsed int64
}

// ClientDisconnected tells that a client has gone; nothing more is owed.
type ClientDisconnected struct{ Request int64 }

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Engine  string
	OK      bool
	Elapsed int64
	Report  *Report
}

// Suspicion is that other gateways' evidence speaks against an engine's process. At is the latest of it: a
// sign of life since then outweighs it.
type Suspicion struct {
	Engine  string
	ReadyAt int64
	At      int64
}

// Advice is what the gateways have seen of the engines together, for this one to weigh.
type Advice struct{ Suspicions []Suspicion }

// PeerMessage is what another gateway of the tier sent.
type PeerMessage struct {
	From int
	Data string
}

// TimerFired is a timer that came due.
type TimerFired struct{ Token int64 }

func (*EngineList) event()         {}
func (*Request) event()            {}
func (*Outcome) event()            {}
func (*FirstToken) event()         {}
func (*ClientDisconnected) event() {}
func (*ProbeResult) event()        {}
func (*PeerMessage) event()        {}
func (*Advice) event()             {}
func (*TimerFired) event()         {}

// ActionKind names what is to be done.
type ActionKind uint8

// The actions that a Router asks for.
const (
	Send      ActionKind = iota // start an attempt: Request, Engine, Until
	Cancel                      // stop waiting for one: Request, Attempt
	Shed                        // final answer, harmless to retry: Request, Wait
	Fail                        // final answer, no promise: Request
	Timer                       // fire Token after Wait
	Probe                       // ask Engine for its state
	Subscribe                   // ask discovery for changes
	SendPeer                    // send Data to gateway Peer
)

// Action is one thing for the caller to carry out; unused fields are zero.
type Action struct {
	Kind        ActionKind
	Request     int64
	Attempt     int
	Engine      string
	Deadline    int64
	StartBefore int64 // Send: may not begin from then on; 0: until Until
	Wait        int64
	Token       int64
	Peer        int
	Data        string
}
