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

// follows is the table: which states may come after each.
var follows = map[State][]State{
	Running:  {Pausing, Ended},
	Pausing:  {Paused, Ended},
	Paused:   {Claimed, Ended, Expired},
	Claimed:  {Resuming, Paused, Ended, Claimed},
	Resuming: {Paused, Ended, Claimed},
	Ended:    {},
	Expired:  {},
}

// May tells whether a state may come after another.
func May(from, to State) bool { return slices.Contains(follows[from], to) }

// Call is one call of a tool, as the model made it.
type Call struct {
	ID   string `json:"id"`
	Name string `json:"name"`
}

// Record is a session as the store has it. Times are Unix nanoseconds, by the leader's clock.
type Record struct {
	ID     string `json:"id"`
	Turn   int    `json:"turn"`  // of the pause: the key's second part
	State  State  `json:"state"` //
	Fence  uint64 `json:"fence"` // of the latest claim
	Until  int64  `json:"until"` // paused: when it expires; claimed or resuming: when the claim ends; over: when it is forgotten
	Wait   int64  `json:"wait"`  // paused: when its longest wait ends, kept while it is claimed
	Tenant int    `json:"tenant"`
	By     Owner  `json:"by"`    // who paused it, or has the claim
	Claim  string `json:"claim"` // the request that made the claim: once more it is the same
	Calls  []Call `json:"calls"` // that wait for results
	Data   []byte `json:"data,omitempty"`
	Last   string `json:"last,omitempty"` // how it ended, in a word
}

// Owner is one life of a node.
type Owner struct {
	Seat string `json:"seat"`
	Life uint64 `json:"life"`
}

// Key is what a client resumes by.
func Key(id string, turn int) string { return id + "." + strconv.Itoa(turn) }

// ParseKey takes a key apart.
func ParseKey(key string) (id string, turn int, err error) {
	id, n, ok := strings.Cut(key, ".")
	if turn, err = strconv.Atoi(n); !ok || err != nil || turn < 1 || len(id) != 32 || strings.Trim(id, "0123456789abcdef") != "" {
		return "", 0, fmt.Errorf("%w: %q", ErrKey, key)
	}
	return id, turn, nil
}

// Why an operation is refused. What a client is told for each stands with the errors' texts.
var (
	ErrKey      = errors.New("that is no resume key")
	ErrUnknown  = errors.New("no session has this key; it was over long ago, or never was")
	ErrUsed     = errors.New("this key has been used: the session has gone on from there")
	ErrExpired  = errors.New("the tool took too long: the session is over")
	ErrOver     = errors.New("the session is over")
	ErrClaimed  = errors.New("somebody goes on with the session now")
	ErrFence    = errors.New("the claim is another's by now")
	ErrFull     = errors.New("too many sessions are paused")
	ErrNotNow   = errors.New("that cannot follow")
	ErrResults  = errors.New("results and calls do not match")
	ErrTooLarge = errors.New("the session is too large to be kept")
)

// OpKind is what is to be done.
type OpKind string

// The operations.
const (
	Pause   OpKind = "pause"   // a first pause makes the record; a later one is a claim holder's
	Take    OpKind = "claim"   // with the results of all calls
	Begin   OpKind = "begin"   // the claim holder passes something on
	Release OpKind = "release" // the claim holder gives it back, as it was: nothing of it is final
	End     OpKind = "end"     // the claim holder has given the final answer
	Cancel  OpKind = "cancel"  // by its client
	Expire  OpKind = "expire"  // by the leader itself, when it is time
	Forget  OpKind = "forget"  // likewise, of what is over
)

// Op is one operation. Fence and Turn say which claim or pause it means.
type Op struct {
	Kind    OpKind   `json:"kind"`
	ID      string   `json:"id"`
	Turn    int      `json:"turn"`
	Fence   uint64   `json:"fence"`
	Claim   string   `json:"claim"`
	By      Owner    `json:"by"`
	Before  []uint64 `json:"before,omitempty"` // lives of the same seat that are known to be over
	Tenant  int      `json:"tenant"`
	Wait    int64    `json:"wait"`    // nanoseconds: of the tools, at the longest
	For     int64    `json:"for"`     // of a claim
	Results []string `json:"results"` // ids of the calls that have them
	Calls   []Call   `json:"calls"`
	Data    []byte   `json:"data,omitempty"`
	Last    string   `json:"last,omitempty"`
}

// Limits bound what is kept.
type Limits struct {
	Data int   // bytes of a session on record
	Keep int64 // nanoseconds for which what is over is remembered
	// Paused and Tenant are how many sessions may be paused or claimed, in all and of one tenant.
	Paused, Tenant int
}

// Counted is what stands on record besides.
type Counted struct{ Paused, Tenant int }

// Apply applies an operation to a record, nil where there is none; the next record is nil where it is to be forgotten. An error
// changes nothing.
func Apply(r *Record, o Op, now int64, clockError time.Duration, l Limits, have Counted, g *invariant.Guard) (*Record, error) {
	next, err := apply(r, o, now, int64(clockError), l, have)
	if err != nil || next == nil || r == nil {
		return next, err
	}
	if next.State != r.State && !May(r.State, next.State) {
		g.Broken(invariant.SessionTable, fmt.Sprintf("%s: %s after %s", r.ID, next.State, r.State))
		return r, fmt.Errorf("%w: %s after %s", ErrNotNow, next.State, r.State)
	}
	if next.Fence < r.Fence || next.Fence == r.Fence && next.Claim != r.Claim && next.Claim != "" {
		g.Broken(invariant.OneClaim, fmt.Sprintf("%s: fence %d of %q after %d of %q", r.ID, next.Fence, next.Claim, r.Fence, r.Claim))
		return r, ErrFence
	}
	return next, nil
}

func apply(r *Record, o Op, now, clockError int64, l Limits, have Counted) (*Record, error) {
	if o.Kind == Pause && o.Fence == 0 {
		return first(r, o, now, l, have)
	}
	if r == nil {
		return nil, ErrUnknown
	}
	n := *r
	holds := (r.State == Claimed || r.State == Resuming) && o.Fence == r.Fence && o.By == r.By
	switch o.Kind {
	case Pause: // once more, behind a result
		switch {
		case r.State == Paused && r.Turn == o.Turn+1 && o.Fence == r.Fence: // told twice
			return r, nil
		case !holds || o.Turn != r.Turn:
			return r, ErrFence
		case len(o.Data) > l.Data:
			return r, ErrTooLarge
		}
		n.State, n.Turn, n.Data, n.Calls, n.Wait, n.Claim = Paused, r.Turn+1, o.Data, o.Calls, now+o.Wait, ""
		n.Until = n.Wait
		return &n, nil
	case Take:
		return take(r, o, now, clockError)
	case Begin:
		if !holds {
			return r, ErrFence
		}
		n.State = Resuming
		return &n, nil
	case Release:
		if !holds {
			return r, ErrFence
		}
		n.State, n.Claim, n.Until = Paused, "", max(r.Wait, now+int64(time.Second))
		return &n, nil
	case End:
		if r.State == Ended && o.Fence == r.Fence {
			return r, nil
		}
		if !holds {
			return r, ErrFence
		}
		return over(n, Ended, o.Last, now, l), nil
	case Cancel:
		switch {
		case r.State == Ended || r.State == Expired:
			return r, nil // it is over, as is wished
		case r.State != Paused && !lapsed(r, now, clockError):
			return r, ErrClaimed
		}
		return over(n, Ended, "called off", now, l), nil
	case Expire:
		if r.State != Paused || now < r.Until {
			return r, ErrNotNow
		}
		return over(n, Expired, "expired", now, l), nil
	case Forget:
		if r.State != Ended && r.State != Expired || now < r.Until {
			return r, ErrNotNow
		}
		return nil, nil
	}
	return r, fmt.Errorf("%w: %q", ErrNotNow, o.Kind)
}

// first puts a session on record.
func first(r *Record, o Op, now int64, l Limits, have Counted) (*Record, error) {
	switch {
	case r != nil && r.Turn == 1 && r.By == o.By && r.State == Paused: // told twice
		return r, nil
	case r != nil:
		return r, ErrNotNow
	case len(o.Data) > l.Data:
		return nil, ErrTooLarge
	case have.Paused >= l.Paused || have.Tenant >= l.Tenant:
		return nil, ErrFull
	case o.Wait <= 0 || len(o.Calls) == 0:
		return nil, ErrNotNow
	}
	return &Record{ID: o.ID, Turn: 1, State: Paused, Until: now + o.Wait, Wait: now + o.Wait, Tenant: o.Tenant, By: o.By, Calls: o.Calls, Data: o.Data}, nil
}

// lapsed tells that a claim is over, by any clock.
func lapsed(r *Record, now, clockError int64) bool {
	return (r.State == Claimed || r.State == Resuming) && now >= r.Until+2*clockError
}

// take gives a claim. A holder that is gone loses it when it ends; one whose life is known to be over, at once.
func take(r *Record, o Op, now, clockError int64) (*Record, error) {
	n := *r
	same := (r.State == Claimed || r.State == Resuming) && r.Claim == o.Claim && r.By == o.By && o.Claim != ""
	dead := (r.State == Claimed || r.State == Resuming) && r.By.Seat == o.By.Seat && slices.Contains(o.Before, r.By.Life)
	switch {
	case r.State == Expired:
		return r, ErrExpired
	case o.Turn < r.Turn:
		return r, ErrUsed
	case r.State == Ended && o.Turn == r.Turn && r.Last != "called off":
		return r, ErrUsed
	case r.State == Ended:
		return r, ErrOver
	case o.Turn > r.Turn:
		return r, ErrUnknown
	case same:
		return r, nil
	case r.State == Paused && now >= r.Until:
		return r, ErrExpired
	case r.State != Paused && !dead && !lapsed(r, now, clockError):
		return r, ErrClaimed
	}
	for _, c := range r.Calls {
		if !slices.Contains(o.Results, c.ID) {
			return r, fmt.Errorf("%w: call %q of %s has no result", ErrResults, c.ID, c.Name)
		}
	}
	if len(o.Results) != len(r.Calls) {
		return r, fmt.Errorf("%w: %d results of %d calls", ErrResults, len(o.Results), len(r.Calls))
	}
	if o.For <= 0 || o.Claim == "" {
		return r, ErrNotNow
	}
	n.State, n.Fence, n.Claim, n.By, n.Until = Claimed, r.Fence+1, o.Claim, o.By, now+o.For
	return &n, nil
}

func over(n Record, s State, last string, now int64, l Limits) *Record {
	n.State, n.Last, n.Data, n.Until = s, last, nil, now+l.Keep
	return &n
}
