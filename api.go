// Package standpoint decides to which LLM server (engine) a gateway sends each request.
//
// A Router holds the state of one gateway. It has no clock, I/O, goroutine or global state: its caller
// passes each event with its time, and carries out the actions that are returned. The same events, settings
// and seed always yield the same actions. A Router is not safe for concurrent use.
package standpoint

// Effect classifies requests by what executing one more than once may do.
type Effect uint8

// The effects of a request.
const (
	Safe   Effect = iota // may be executed any number of times
	Keyed                // engines within DedupScope drop a repeat that begins within DedupWindow
	Unsafe               // may be executed at most once
)

// Group is the scope within which engines deduplicate the repeats of a keyed request.
type Group uint8

// The deduplication scopes of a keyed request.
const (
	GroupAll  Group = iota // all engines
	GroupZone              // the engines of one zone
	GroupCell              // the engines of one cell
)

// ReportMode is the way in which engines' load reports reach the gateway.
type ReportMode uint8

// The ways in which load reports arrive.
const (
	ReportNone      ReportMode = iota // there are no load reports
	ReportResponses                   // with the outcomes of attempts and with probe results
	ReportProbes                      // with probe results only
)

// Class describes one class of requests. Times are in nanoseconds.
type Class struct {
	// Effect says whether requests of the class may be repeated.
	Effect Effect `json:"Effect"`
	// DedupScope is the scope within which engines drop repeats of a keyed request.
	DedupScope Group `json:"Group"`
	// DedupWindow is how long after an attempt was sent engines still drop a repeat of a keyed request.
	DedupWindow int64 `json:"Window"`
	// Streamed is set if responses arrive token by token.
	Streamed bool `json:"Streamed"`
	// TTFTObjective is the latency objective: the time from arrival to the first token, or to the end of a
	// response that is not streamed; 0 for none.
	TTFTObjective int64 `json:"TTFTAim"`
	// TTFTObjectivePer1000Tokens is added to TTFTObjective for each 1,000 prompt tokens.
	TTFTObjectivePer1000Tokens int64 `json:"AimPer1000"`
	// TPOTObjective is the objective for the time per output token (TPOT); 0 for none.
	TPOTObjective int64 `json:"TPOTAim"`
	// ObjectiveStretch comes from the settings; the Router does not use it.
	ObjectiveStretch float64 `json:"AimStretch"`
	// Deadline is how long after its arrival a request is given up. The Router uses Request.Deadline instead.
	Deadline int64 `json:"Deadline"`
	// Weight is the value of a request that meets its objectives, relative to requests of other classes.
	Weight float64 `json:"Worth"`
	// LateWeight is the value of a request that misses its latency objective. At 0 or less such a request is
	// given up.
	LateWeight float64 `json:"LateWorth"`
	// Name is the name of the class in the settings; the Router does not use it.
	Name string `json:"Description"`
}

// Tenant is one customer's agreed part of the service.
type Tenant struct {
	// Share comes from the settings; the Router does not use it.
	Share float64 `json:"Share"`
	// QuotaRPS is the tenant's quota in requests per second over all gateways together; 0 for none.
	QuotaRPS float64 `json:"QuotaRPS"`
}

// Settings configures a Router. Times are in nanoseconds.
type Settings struct {
	// Gateways is the number of gateways in the tier; Ordinal is the number of this one, counted from 0.
	Gateways, Ordinal int
	// Zone is the gateway's own zone. Zones and Kinds are the numbers of zones and of machine kinds.
	Zone, Zones, Kinds int
	// Classes are the request classes, indexed by Request.Class.
	Classes []Class
	// Tenants are the customers, indexed by Request.Tenant.
	Tenants []Tenant
	// OverQuotaWeight is the weight of a request beyond its tenant's quota, relative to one within it.
	OverQuotaWeight float64
	// Reports says how load reports arrive.
	Reports ReportMode
	// SubscribeDiscovery is set if discovery reports changes to subscribers only.
	SubscribeDiscovery bool
	// Resume is set if a client can have the rest of a broken stream from another gateway. The Router does
	// not use it.
	Resume bool
	// HedgedRequests allows hedged attempts: a second attempt of a request while another one is in flight.
	HedgedRequests bool
	// Cancel allows attempts to be cancelled.
	Cancel bool
	// Probes allows engines to be probed.
	Probes bool
	// Peers allows messages between the gateways.
	Peers bool
	// RetryAfter allows a rejection to state the time after which the client should retry.
	RetryAfter bool
	// MaxRetryAfter is the maximum of that time.
	MaxRetryAfter int64
	// MaxAttempts is the number of attempts that a request may have in all; less than 1 counts as 1.
	MaxAttempts int
	// EventInterval is the shortest time between two batches of events.
	EventInterval int64
	// DiscoveryTimeout is the time within which discovery has to be queried again. It also bounds how long an
	// engine that was unreachable is taken to have restarted without discovery reporting a start.
	DiscoveryTimeout int64
	// DrainGrace is how long attempts may still reach an engine that was reported as draining or removed.
	// The Router does not use it: it sends nothing from the report on.
	DrainGrace int64
	// WarmUp is how long after its start an engine has less than its full capacity; 0 turns slow start off.
	WarmUp int64
	// OverloadWindow is the span over which the load of a starting engine is measured against its capacity.
	OverloadWindow int64
	// ColdCapacityFraction is the fraction of its full capacity that an engine has at its start. It grows
	// linearly to 1 over WarmUp.
	ColdCapacityFraction float64
	// OverloadFactor is the multiple of its capacity at the time from which a starting engine is overloaded.
	OverloadFactor float64
	// CrossZonePrice is the price of sending a request to another zone; 0 if that is free.
	CrossZonePrice float64
	// ProbePrice is the price of a probe; the Router does not use it.
	ProbePrice float64
	// PeerPrice is the price of a message between gateways; the Router does not use it.
	PeerPrice float64
	// WastePrice is the price of work done in vain; the Router does not use it.
	WastePrice float64
	// LateFailPrice is the price of a late failure; the Router does not use it.
	LateFailPrice float64
}

// State is an engine's state in discovery.
type State uint8

// The states of an engine.
const (
	Ready    State = iota // accepts requests
	Draining              // finishes the requests it has, accepts no new ones
	Removed               // no longer listed
)

// Engine is an LLM server as discovery lists it.
type Engine struct {
	// Name identifies the engine; it may be its address.
	Name string
	// Zone is the number of the engine's zone, Kind that of its machine kind.
	Zone int
	Kind int
	// Cell is the number of the deduplication cell that the engine belongs to; see GroupCell.
	Cell int
	// State says whether the engine accepts requests.
	State State
	// Size is the registered capacity relative to other engines, without a unit; 0 if it is not known.
	Size float64
	// StartedAt is when the engine's process started, in nanoseconds on the clock that Handle is called with;
	// 0 if that is long ago. A new value stands for a new process.
	StartedAt int64
	// Pool is the number of the engine's pool; 0 for none.
	Pool int
	// Reinstated is set if an operator put the engine back into service. StartedAt is then at or after that
	// time, and the engine is preferred until it has been sent an attempt.
	Reinstated bool
	// Stale is set if the entry expired without being confirmed. Such an engine is used only if there is no
	// other.
	Stale bool
}

// Report is an engine's load report.
type Report struct {
	// MemoryUsage is the fraction of memory that running requests hold.
	MemoryUsage float64 `json:"Memory"`
	// PrefillBacklog is the number of prompt tokens that have yet to be prefilled, in thousands.
	PrefillBacklog float64 `json:"Unread"`
	// SlotUsage is the fraction of slots in use.
	SlotUsage float64 `json:"Slots"`
}

// Event is something the gateway observed: a pointer to one of the event types below.
type Event interface{ event() }

// ListKind says how to apply an EngineList.
type ListKind uint8

// The kinds of engine lists.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries: an engine absent from the list counts as Removed
	ListFailed                 // a discovery call failed: there are no entries
)

// EngineList is an update from discovery.
type EngineList struct {
	// Kind says what the entries stand for.
	Kind ListKind
	// Engines are the entries.
	Engines []Engine
}

// Request is a client's request that has arrived. It gets exactly one final response, unless its client
// disconnects before.
type Request struct {
	// ID identifies the request at this gateway; it is below 2^52.
	ID int64
	// Deadline is when the request is given up, in nanoseconds on the clock that Handle is called with.
	Deadline int64
	// Class is an index into Settings.Classes. A request of an unknown class counts as Unsafe.
	Class int
	// Tenant is an index into Settings.Tenants; any other value means that the tenant is not known.
	Tenant int
	// Session is a hash that identifies the conversation; 0 for none.
	Session uint64
	// Prefix is a hash of the beginning that the prompt shares with other sessions; 0 for none.
	Prefix uint64
	// PromptTokens is the length of the prompt.
	PromptTokens float64
	// PrefixTokens is the length of the shared prefix.
	PrefixTokens float64
	// MaxTokens is the largest number of output tokens that the request allows.
	MaxTokens float64
	// Retry is set if the client said that it repeats an earlier request. The Router does not use it.
	Retry bool
	// Resumed is set if the client requests the rest of a response that broke off.
	Resumed bool
	// Pool is the pool that the request is assigned to; 0 for any. If none of its engines can be used, one of
	// another pool is.
	Pool int
}

// OutcomeCode says how an attempt ended.
type OutcomeCode uint8

// The outcomes of an attempt.
const (
	Served         OutcomeCode = iota // the response is complete
	ServerError                       // an error response: the request may have run
	Rejected                          // rejected without being processed: it never ran
	NoAnswer                          // no response in time: it may have run, or may run yet
	NoConnection                      // no connection could be opened: it never ran
	ConnectionLost                    // the connection broke after the request was written: it may have run
	Cancelled                         // the gateway cancelled the attempt
	NotSent                           // nothing was sent: it never ran
)

var outcomeCodeNames = [...]string{
	"served",
	"server_error",
	"turned_away",
	"no_answer",
	"no_connection",
	"connection_lost",
	"called_off",
	"not_sent",
}

// String returns the code's name on the wire and in logs.
func (c OutcomeCode) String() string {
	if int(c) >= len(outcomeCodeNames) {
		return "unknown"
	}
	return outcomeCodeNames[c]
}

// NeverRan reports whether the code proves that the attempt had no effect.
func (c OutcomeCode) NeverRan() bool { return c == Rejected || c == NoConnection || c == NotSent }

// Outcome reports the end of an attempt.
type Outcome struct {
	// Request is the ID of the request.
	Request int64
	// Attempt is the attempt's number within its request, counted from 0.
	Attempt int
	// Last is set if the request itself is over too.
	Last bool
	// Code says how the attempt ended.
	Code OutcomeCode
	// CachedTokens is the number of prompt tokens that the engine had cached, if Code is Served.
	CachedTokens float64
	// OutputTokens is the length of the response if Code is Served; 0 if it is not known.
	OutputTokens float64
	// Engine is the name of the engine.
	Engine string
	// Elapsed is the time since the attempt was sent, in nanoseconds.
	Elapsed int64
	// ClientStalled is set if the client was slow to take the response, so that Elapsed is no evidence of the
	// engine's speed.
	ClientStalled bool
	// Report is the engine's load report; nil if none came with the response.
	Report *Report
	// LocalFault is set if the attempt failed because this gateway's machine lacked a resource, so that it is
	// no evidence against the engine.
	LocalFault bool
}

// FirstToken reports that the response to an attempt has begun.
type FirstToken struct {
	// Request and Attempt identify the attempt.
	Request int64
	Attempt int
	// Elapsed is the time since the attempt was sent, in nanoseconds.
	Elapsed int64
}

// ClientDisconnected reports that the client of a request, named by its ID, has disconnected. The request
// needs no final response any more.
type ClientDisconnected struct{ Request int64 }

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// Engine is the name of the engine.
	Engine string
	// OK is set if the engine responded.
	OK bool
	// Elapsed is how long the probe took, in nanoseconds.
	Elapsed int64
	// Report is the engine's load report; nil if none came with the response.
	Report *Report
}

// Suspicion is evidence of other gateways against one process of an engine.
type Suspicion struct {
	// Engine is the name of the engine, and StartedAt the start of the process.
	Engine    string
	StartedAt int64
	// At is the time of the latest evidence, in nanoseconds. A sign of life that this gateway saw at that
	// time or later outweighs it.
	At int64
}

// Advice carries the suspicions of other gateways, which the Router weighs against what it saw itself.
type Advice struct{ Suspicions []Suspicion }

// PeerMessage is a message from another gateway of the tier.
type PeerMessage struct {
	// From is the sender's ordinal.
	From int
	// Data is the message in base64.
	Data string
}

// TimerFired reports that a timer, named by the token of its Timer action, expired.
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

// ActionKind says what an Action requests.
type ActionKind uint8

// The actions that a Router requests, and the fields of Action that each uses.
const (
	Send      ActionKind = iota // start an attempt: Request, Engine, Deadline, StartBefore
	Cancel                      // cancel an attempt: Request, Attempt
	Shed                        // final response, a rejection that is safe to retry: Request, Wait
	Fail                        // final response, a failure that may not be safe to retry: Request
	Timer                       // report TimerFired with Token after Wait
	Probe                       // probe Engine for its load report
	Subscribe                   // subscribe to discovery's changes
	SendPeer                    // send Data to the gateway Peer
)

// Action is one thing for the caller to carry out. Fields that its kind does not use are zero.
type Action struct {
	// Kind says what to do.
	Kind ActionKind
	// Request is the ID of the request.
	Request int64
	// Attempt is the attempt's number within its request, counted from 0.
	Attempt int
	// Engine is the name of the engine.
	Engine string
	// Deadline is when an attempt is given up, in nanoseconds on the clock that Handle is called with.
	Deadline int64
	// StartBefore is the time from which an attempt may no longer begin, on the same clock; 0 if only
	// Deadline bounds it.
	StartBefore int64
	// Wait is the delay of a timer, or the time after which a client should retry (0: not stated), in
	// nanoseconds.
	Wait int64
	// Token identifies a timer.
	Token int64
	// Peer is the ordinal of the gateway that a message goes to.
	Peer int
	// Data is a message to another gateway, in base64.
	Data string
}
