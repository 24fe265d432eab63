package metrics

// Outcome is the result of a request as its client sees it.
type Outcome int

// The outcomes of a request, in the order of OutcomeNames.
const (
	Succeeded Outcome = iota // received a complete response
	Rejected                 // was not admitted; the client may retry
	Failed                   // received an error, or an incomplete response
	outcomeCount
)

// OutcomeNames are the names of the outcomes in metrics.
var OutcomeNames = [outcomeCount]string{"success", "busy", "failure"}

// UnsentCause is the reason why a request failed although no attempt for it was sent to a backend.
type UnsentCause int

// The causes of requests that failed without an attempt, in the order of UnsentCauseNames.
const (
	Malformed   UnsentCause = iota // the request could not be parsed
	DuplicateID                    // its id is in use by another request
	SlowBody                       // its body did not arrive in time
	Abandoned                      // the decision module abandoned it before any attempt
	unsentCauseCount
)

// UnsentCauseNames are the names of these causes in metrics.
var UnsentCauseNames = [unsentCauseCount]string{"malformed", "repeated", "slow_body", "given_up"}

// SilentCloseCause is the reason why this node closed a client connection without writing anything to it.
type SilentCloseCause int

// The causes of silently closed connections, in the order of SilentCloseCauseNames.
const (
	NoCapacity SilentCloseCause = iota // it was idle when the maximum number of connections was reached
	SlowHeader                         // no complete request header arrived in time
	Stopping                           // the node is shutting down or manually drained
	Unreadable                         // the received data is not a request that may be answered
	silentCloseCauseCount
)

// SilentCloseCauseNames are the names of these causes in metrics.
var SilentCloseCauseNames = [silentCloseCauseCount]string{"no_room", "slow_head", "stopping", "unread"}
