package session

import "errors"

// Errors of commands that are rejected. Clients get their texts.
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

// CommandKind says what a command does.
type CommandKind string

// The commands.
const (
	Pause   CommandKind = "pause"   // records a first pause, or by its claim's holder a further one
	Claim   CommandKind = "claim"   // claims a paused session, with the results of all calls
	Begin   CommandKind = "begin"   // the claim's holder passes output on
	Release CommandKind = "release" // the claim's holder gives the session back as it was
	End     CommandKind = "end"     // the claim's holder has given the final answer
	Cancel  CommandKind = "cancel"  // the client gives a paused session up
	Expire  CommandKind = "expire"  // by the leader itself, once the tools' deadline has passed
	Forget  CommandKind = "forget"  // by the leader itself, once a session has been over for the retention time
)

// Command asks for a change of one session. Which fields count depends on its kind.
type Command struct {
	Kind         CommandKind `json:"kind"`
	ID           string      `json:"id"`
	Turn         int         `json:"turn"`  // the pause that is meant
	FencingToken uint64      `json:"fence"` // the claim that is meant; 0 for a first pause
	ClaimID      string      `json:"claim"` // of Claim: the request that makes it
	Owner        Owner       `json:"by"`    // who gives the command
	// Predecessors are those of the owner's member that are known to be over: their claims may be taken at once.
	Predecessors  []uint64   `json:"before,omitempty"`
	Tenant        int        `json:"tenant"`
	ToolTimeout   int64      `json:"wait"`    // nanoseconds; of Pause: the longest wait for results
	ClaimDuration int64      `json:"for"`     // nanoseconds; of Claim
	ResultIDs     []string   `json:"results"` // of Claim: IDs of the calls that have results
	Calls         []ToolCall `json:"calls"`   // of Pause
	Data          []byte     `json:"data,omitempty"`
	EndReason     EndReason  `json:"last,omitempty"` // of End
}

// Limits bound what is recorded.
type Limits struct {
	MaxDataBytes int   // of a session's data
	Retention    int64 // nanoseconds for which a session that is over is remembered
	// MaxPaused and MaxPausedPerTenant are how many sessions may be paused or claimed, in all and of one tenant.
	MaxPaused          int
	MaxPausedPerTenant int
}

// PausedCounts are how many other sessions are paused or claimed.
type PausedCounts struct {
	Total  int
	Tenant int // of the command's tenant
}
