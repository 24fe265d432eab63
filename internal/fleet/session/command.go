package session

import "errors"

// Errors for which a command is rejected. Their texts are sent to clients.
var (
	ErrMalformedKey      = errors.New("that is no resume key")
	ErrUnknownKey        = errors.New("no session has this key; it was over long ago, or never was")
	ErrKeyUsed           = errors.New("this key has been used: the session has gone on from there")
	ErrExpired           = errors.New("the tool took too long: the session is over")
	ErrEnded             = errors.New("the session is over")
	ErrClaimed           = errors.New("somebody goes on with the session now")
	ErrStaleFencingToken = errors.New("the claim is another's by now")
	ErrTooManyPaused     = errors.New("too many sessions are paused")
	ErrInvalidTransition = errors.New("that cannot follow")
	ErrResultsMismatch   = errors.New("results and calls do not match")
	ErrTooLarge          = errors.New("the session is too large to be kept")
)

// CommandKind is the operation of a Command.
type CommandKind string

// The kinds of commands.
const (
	Pause   CommandKind = "pause"   // records the first pause, or, from the claim's holder, a further one
	Claim   CommandKind = "claim"   // claims a session, paused or with a lapsed claim; needs the results of all its calls
	Begin   CommandKind = "begin"   // records that the claim's holder has begun to forward output
	Release CommandKind = "release" // returns a claimed session to its pause, from the claim's holder
	End     CommandKind = "end"     // records the final response, from the claim's holder
	Cancel  CommandKind = "cancel"  // ends a session that is paused or whose claim has lapsed, at its client's request
	Expire  CommandKind = "expire"  // expires a session after the tools' deadline; issued by the leader
	Delete  CommandKind = "forget"  // deletes a finished session after the retention time; issued by the leader
)

// Command requests a change of one session. Which fields are used depends on its kind.
type Command struct {
	Kind         CommandKind `json:"kind"`
	ID           string      `json:"id"`    // session ID
	Turn         int         `json:"turn"`  // Pause: number of the previous pause, 0 if none; Claim: of the claimed pause
	FencingToken uint64      `json:"fence"` // fencing token of the sender's claim; 0 for a first pause
	ClaimID      string      `json:"claim"` // Claim: ID of the request that makes the claim
	Owner        Owner       `json:"by"`    // sender of the command
	// Predecessors are earlier incarnations of the sender's slot that are known to have ended. Their claims can be
	// replaced at once.
	Predecessors  []uint64   `json:"before,omitempty"`
	Tenant        int        `json:"tenant"`
	ToolTimeout   int64      `json:"wait"`    // Pause: maximum wait for the results, in nanoseconds
	ClaimDuration int64      `json:"for"`     // Claim: time from the claim to its deadline, in nanoseconds
	ResultIDs     []string   `json:"results"` // Claim: IDs of the calls that have results
	Calls         []ToolCall `json:"calls"`   // Pause: the calls to wait for
	Data          []byte     `json:"data,omitempty"`
	EndReason     EndReason  `json:"last,omitempty"` // End: how the session ended
}

// Limits bound the recorded sessions.
type Limits struct {
	MaxDataBytes int   // maximum size of a session's data
	Retention    int64 // time for which the record of an ended or expired session remains, in nanoseconds
	// MaxPaused and MaxPausedPerTenant are the maximum numbers of paused or claimed sessions, overall and per tenant.
	MaxPaused          int
	MaxPausedPerTenant int
}

// PausedCounts are the numbers of other sessions that are paused or claimed.
type PausedCounts struct {
	Total  int
	Tenant int // sessions of the command's tenant
}
