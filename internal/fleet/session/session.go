// Package session decides what may happen to a session that pauses for a tool: who may go on with it, and when it is over. It is
// pure: the store's leader applies its operations, one after the other, each to the record as it stands, and time is passed in.
//
// A session is never decoded twice at once, over all nodes: whoever decodes holds a claim, under a fence that grows with each
// one, and ends its decoding before the claim ends, by its own clock less what clocks may differ; no further claim is given
// before that end plus what clocks may differ. A resume key names a session and the pause that it belongs to: it is used once.
package session

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"standpoint/internal/fleet/invariant"
)

// State is where a session is.
type State string

// The states. Running and pausing are a node's own; a session is on record from its first pause on.
const (
	Running  State = "running"  // its answer is being decoded, for the first time
	Pausing  State = "pausing"  // its decoding has ended at a call, which is being put on record
	Paused   State = "paused"   // it waits for its tools' results; anybody may claim it
	Claimed  State = "claimed"  // a node has its results, and may decode it
	Resuming State = "resuming" // something of what follows has been passed on
	Ended    State = "ended"    // it has had its final answer, or was called off
	Expired  State = "expired"  // its tools did not answer in time
)

// transitions is the table: which states may come after each.
var transitions = map[State][]State{
	Running:  {Pausing, Ended},
	Pausing:  {Paused, Ended},
	Paused:   {Claimed, Ended, Expired},
	Claimed:  {Resuming, Paused, Ended, Claimed},
	Resuming: {Paused, Ended, Claimed},
	Ended:    {},
	Expired:  {},
}

// CanTransition tells whether a state may come after another.
func CanTransition(from, to State) bool { return slices.Contains(transitions[from], to) }

// ToolCall is one call of a tool, as the model made it.
type ToolCall struct {
	ID   string `json:"id"`
	Name string `json:"name"`
}

// Record is a session as the store has it. Times are Unix nanoseconds, by the leader's clock.
type Record struct {
	ID           string     `json:"id"`
	Turn         int        `json:"turn"`  // of the pause: the key's second part
	State        State      `json:"state"` //
	FencingToken uint64     `json:"fence"` // of the latest claim
	Deadline     int64      `json:"until"` // paused: when it expires; claimed or resuming: when the claim ends; over: when it is forgotten
	ToolDeadline int64      `json:"wait"`  // paused: when its longest wait ends, kept while it is claimed
	Tenant       int        `json:"tenant"`
	Owner        Owner      `json:"by"`    // who paused it, or has the claim
	ClaimID      string     `json:"claim"` // the request that made the claim: once more it is the same
	Calls        []ToolCall `json:"calls"` // that wait for results
	Data         []byte     `json:"data,omitempty"`
	EndReason    string     `json:"last,omitempty"` // how it ended, in a word
}

// Owner is one life of a node.
type Owner struct {
	Slot        string `json:"seat"`
	Incarnation uint64 `json:"life"`
}

// ResumeKey is what a client resumes by.
func ResumeKey(id string, turn int) string { return id + "." + strconv.Itoa(turn) }

// ParseResumeKey takes a key apart.
func ParseResumeKey(key string) (id string, turn int, err error) {
	id, n, ok := strings.Cut(key, ".")
	if turn, err = strconv.Atoi(n); !ok || err != nil || turn < 1 || len(id) != 32 || strings.Trim(id, "0123456789abcdef") != "" {
		return "", 0, fmt.Errorf("%w: %q", ErrMalformedKey, key)
	}
	return id, turn, nil
}

// Why an operation is refused. What a client is told for each stands with the errors' texts.
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

// CommandKind is what is to be done.
type CommandKind string

// The operations.
const (
	Pause   CommandKind = "pause"   // a first pause makes the record; a later one is a claim holder's
	Claim   CommandKind = "claim"   // with the results of all calls
	Begin   CommandKind = "begin"   // the claim holder passes something on
	Release CommandKind = "release" // the claim holder gives it back, as it was: nothing of it is final
	End     CommandKind = "end"     // the claim holder has given the final answer
	Cancel  CommandKind = "cancel"  // by its client
	Expire  CommandKind = "expire"  // by the leader itself, when it is time
	Forget  CommandKind = "forget"  // likewise, of what is over
)

// Command is one operation. Fence and Turn say which claim or pause it means.
type Command struct {
	Kind          CommandKind `json:"kind"`
	ID            string      `json:"id"`
	Turn          int         `json:"turn"`
	FencingToken  uint64      `json:"fence"`
	ClaimID       string      `json:"claim"`
	Owner         Owner       `json:"by"`
	Predecessors  []uint64    `json:"before,omitempty"` // lives of the same seat that are known to be over
	Tenant        int         `json:"tenant"`
	ToolTimeout   int64       `json:"wait"`    // nanoseconds: of the tools, at the longest
	ClaimDuration int64       `json:"for"`     // of a claim
	ResultIDs     []string    `json:"results"` // ids of the calls that have them
	Calls         []ToolCall  `json:"calls"`
	Data          []byte      `json:"data,omitempty"`
	EndReason     string      `json:"last,omitempty"`
}

// Limits bound what is kept.
type Limits struct {
	MaxDataBytes int   // bytes of a session on record
	Retention    int64 // nanoseconds for which what is over is remembered
	// MaxPaused and MaxPausedPerTenant are how many sessions may be paused or claimed, in all and of one tenant.
	MaxPaused, MaxPausedPerTenant int
}

// PausedCounts is what stands on record besides.
type PausedCounts struct{ Total, Tenant int }

// Apply applies an operation to a record, nil where there is none; the next record is nil where it is to be forgotten. An error
// changes nothing.
func Apply(r *Record, o Command, now int64, clockError time.Duration, l Limits, have PausedCounts, g *invariant.Monitor) (*Record, error) {
	next, err := apply(r, o, now, int64(clockError), l, have)
	if err != nil || next == nil || r == nil {
		return next, err
	}
	if next.State != r.State && !CanTransition(r.State, next.State) {
		g.Violated(invariant.SessionTransition, fmt.Sprintf("%s: %s after %s", r.ID, next.State, r.State))
		return r, fmt.Errorf("%w: %s after %s", ErrInvalidTransition, next.State, r.State)
	}
	if next.FencingToken < r.FencingToken || next.FencingToken == r.FencingToken && next.ClaimID != r.ClaimID && next.ClaimID != "" {
		g.Violated(invariant.SingleClaim, fmt.Sprintf("%s: fence %d of %q after %d of %q", r.ID, next.FencingToken, next.ClaimID, r.FencingToken, r.ClaimID))
		return r, ErrStaleFencingToken
	}
	return next, nil
}

func apply(r *Record, o Command, now, clockError int64, l Limits, have PausedCounts) (*Record, error) {
	if o.Kind == Pause && o.FencingToken == 0 {
		return applyFirstPause(r, o, now, l, have)
	}
	if r == nil {
		return nil, ErrUnknownKey
	}
	n := *r
	holds := (r.State == Claimed || r.State == Resuming) && o.FencingToken == r.FencingToken && o.Owner == r.Owner
	switch o.Kind {
	case Pause: // once more, behind a result
		switch {
		case r.State == Paused && r.Turn == o.Turn+1 && o.FencingToken == r.FencingToken: // told twice
			return r, nil
		case !holds || o.Turn != r.Turn:
			return r, ErrStaleFencingToken
		case len(o.Data) > l.MaxDataBytes:
			return r, ErrTooLarge
		}
		n.State, n.Turn, n.Data, n.Calls, n.ToolDeadline, n.ClaimID = Paused, r.Turn+1, o.Data, o.Calls, now+o.ToolTimeout, ""
		n.Deadline = n.ToolDeadline
		return &n, nil
	case Claim:
		return applyClaim(r, o, now, clockError)
	case Begin:
		if !holds {
			return r, ErrStaleFencingToken
		}
		n.State = Resuming
		return &n, nil
	case Release:
		if !holds {
			return r, ErrStaleFencingToken
		}
		n.State, n.ClaimID, n.Deadline = Paused, "", max(r.ToolDeadline, now+int64(time.Second))
		return &n, nil
	case End:
		if r.State == Ended && o.FencingToken == r.FencingToken {
			return r, nil
		}
		if !holds {
			return r, ErrStaleFencingToken
		}
		return finished(n, Ended, o.EndReason, now, l), nil
	case Cancel:
		switch {
		case r.State == Ended || r.State == Expired:
			return r, nil // it is over, as is wished
		case r.State != Paused && !claimLapsed(r, now, clockError):
			return r, ErrClaimed
		}
		return finished(n, Ended, "called off", now, l), nil
	case Expire:
		if r.State != Paused || now < r.Deadline {
			return r, ErrInvalidTransition
		}
		return finished(n, Expired, "expired", now, l), nil
	case Forget:
		if r.State != Ended && r.State != Expired || now < r.Deadline {
			return r, ErrInvalidTransition
		}
		return nil, nil
	}
	return r, fmt.Errorf("%w: %q", ErrInvalidTransition, o.Kind)
}

// applyFirstPause puts a session on record.
func applyFirstPause(r *Record, o Command, now int64, l Limits, have PausedCounts) (*Record, error) {
	switch {
	case r != nil && r.Turn == 1 && r.Owner == o.Owner && r.State == Paused: // told twice
		return r, nil
	case r != nil:
		return r, ErrInvalidTransition
	case len(o.Data) > l.MaxDataBytes:
		return nil, ErrTooLarge
	case have.Total >= l.MaxPaused || have.Tenant >= l.MaxPausedPerTenant:
		return nil, ErrTooManyPaused
	case o.ToolTimeout <= 0 || len(o.Calls) == 0:
		return nil, ErrInvalidTransition
	}
	return &Record{ID: o.ID, Turn: 1, State: Paused, Deadline: now + o.ToolTimeout, ToolDeadline: now + o.ToolTimeout, Tenant: o.Tenant, Owner: o.Owner, Calls: o.Calls, Data: o.Data}, nil
}

// claimLapsed tells that a claim is over, by any clock.
func claimLapsed(r *Record, now, clockError int64) bool {
	return (r.State == Claimed || r.State == Resuming) && now >= r.Deadline+2*clockError
}

// applyClaim gives a claim. A holder that is gone loses it when it ends; one whose life is known to be over, at once.
func applyClaim(r *Record, o Command, now, clockError int64) (*Record, error) {
	n := *r
	same := (r.State == Claimed || r.State == Resuming) && r.ClaimID == o.ClaimID && r.Owner == o.Owner && o.ClaimID != ""
	dead := (r.State == Claimed || r.State == Resuming) && r.Owner.Slot == o.Owner.Slot && slices.Contains(o.Predecessors, r.Owner.Incarnation)
	switch {
	case r.State == Expired:
		return r, ErrExpired
	case o.Turn < r.Turn:
		return r, ErrKeyUsed
	case r.State == Ended && o.Turn == r.Turn && r.EndReason != "called off":
		return r, ErrKeyUsed
	case r.State == Ended:
		return r, ErrEnded
	case o.Turn > r.Turn:
		return r, ErrUnknownKey
	case same:
		return r, nil
	case r.State == Paused && now >= r.Deadline:
		return r, ErrExpired
	case r.State != Paused && !dead && !claimLapsed(r, now, clockError):
		return r, ErrClaimed
	}
	for _, c := range r.Calls {
		if !slices.Contains(o.ResultIDs, c.ID) {
			return r, fmt.Errorf("%w: call %q of %s has no result", ErrResultsMismatch, c.ID, c.Name)
		}
	}
	if len(o.ResultIDs) != len(r.Calls) {
		return r, fmt.Errorf("%w: %d results of %d calls", ErrResultsMismatch, len(o.ResultIDs), len(r.Calls))
	}
	if o.ClaimDuration <= 0 || o.ClaimID == "" {
		return r, ErrInvalidTransition
	}
	n.State, n.FencingToken, n.ClaimID, n.Owner, n.Deadline = Claimed, r.FencingToken+1, o.ClaimID, o.Owner, now+o.ClaimDuration
	return &n, nil
}

func finished(n Record, s State, last string, now int64, l Limits) *Record {
	n.State, n.EndReason, n.Data, n.Deadline = s, last, nil, now+l.Retention
	return &n
}
