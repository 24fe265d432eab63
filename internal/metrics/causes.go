package metrics

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes of a request, in the order of OutcomeNames.
const (
	Succeeded Outcome = iota // answered in full
	Rejected                 // not admitted; the client may retry
	Failed                   // failed, or broken off
	outcomeCount
)

// OutcomeNames are the names under which outcomes are shown.
var OutcomeNames = [outcomeCount]string{"success", "busy", "failure"}

// UnsentCause is why a request was answered as failed though no attempt was sent.
type UnsentCause int

// The causes of requests that failed unsent, in the order of UnsentCauseNames.
const (
	Malformed   UnsentCause = iota // it cannot be understood
	DuplicateID                    // its id is that of another request
	SlowBody                       // its body did not arrive in time
	Abandoned                      // the decision module gave it up before any attempt
	unsentCauseCount
)

// UnsentCauseNames are the names under which these causes are shown.
var UnsentCauseNames = [unsentCauseCount]string{"malformed", "repeated", "slow_body", "given_up"}

// SilentCloseCause is why this node closed a client's connection without having written anything to it.
type SilentCloseCause int

// The causes of silent closes, in the order of SilentCloseCauseNames.
const (
	NoCapacity SilentCloseCause = iota // it was idle while the bound on connections was reached
	SlowHeader                         // no complete header arrived in time
	Stopping                           // the node is stopping, or drained by hand
	Unreadable                         // what arrived was no request that may be answered
	silentCloseCauseCount
)

// SilentCloseCauseNames are the names under which these causes are shown.
var SilentCloseCauseNames = [silentCloseCauseCount]string{"no_room", "slow_head", "stopping", "unread"}
