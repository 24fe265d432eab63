package session

import (
	"fmt"
	"slices"
	"time"

	"standpoint/internal/fleet/invariant"
)

// minReclaimWindow is the minimum time, in nanoseconds, for which a released session can be claimed again, even if its
// tools' deadline has already passed.
const minReclaimWindow = int64(time.Second)

// Apply applies a command to a session's record and returns the new record. r is the current record, nil if there is
// none; the result is nil if the record is to be deleted. now is the leader's clock in Unix nanoseconds, and clockError
// the maximum error of the clock of any node, including the leader. Apply does not modify r. A command that is
// repeated, with no other command in between, has no further effect.
func Apply(
	r *Record, c Command, now int64, clockError time.Duration,
	limits Limits, counts PausedCounts, invariants *invariant.Monitor,
) (*Record, error) {
	change := change{record: r, command: c, now: now, clockError: int64(clockError), limits: limits, counts: counts}
	next, err := change.apply()
	if err != nil {
		return nil, err
	}
	if r == nil || next == nil {
		return next, nil
	}
	if next.State != r.State && !CanTransition(r.State, next.State) {
		invariants.RecordViolation(invariant.SessionTransition, fmt.Sprintf("%s: %s after %s", r.ID, next.State, r.State))
		return nil, fmt.Errorf("%w: %s after %s", ErrInvalidTransition, next.State, r.State)
	}
	claimChanged := next.ClaimID != r.ClaimID && next.ClaimID != ""
	if next.FencingToken < r.FencingToken || next.FencingToken == r.FencingToken && claimChanged {
		detail := fmt.Sprintf("%s: fencing token %d of claim %q after %d of claim %q",
			r.ID, next.FencingToken, next.ClaimID, r.FencingToken, r.ClaimID)
		invariants.RecordViolation(invariant.SingleClaim, detail)
		return nil, ErrStaleFencingToken
	}
	return next, nil
}

// change is one command together with the record and the conditions that it is applied to.
type change struct {
	record     *Record // nil if the session has no record
	command    Command
	now        int64 // the leader's clock, in Unix nanoseconds
	clockError int64 // maximum error of the clock of any node, in nanoseconds
	limits     Limits
	counts     PausedCounts
}

func (c *change) apply() (*Record, error) {
	if c.command.Kind == Pause && c.command.FencingToken == 0 {
		return c.firstPause()
	}
	if c.record == nil {
		return nil, ErrUnknownKey
	}
	switch c.command.Kind {
	case Pause:
		return c.furtherPause()
	case Claim:
		return c.claim()
	case Begin:
		return c.begin()
	case Release:
		return c.release()
	case End:
		return c.end()
	case Cancel:
		return c.cancel()
	case Expire:
		return c.expire()
	case Delete:
		return c.delete()
	}
	return nil, fmt.Errorf("%w: %q", ErrInvalidTransition, c.command.Kind)
}

// holdsClaim reports whether the sender of the command holds the session's latest claim.
func (c *change) holdsClaim() bool {
	return c.record.claimed() && c.command.FencingToken == c.record.FencingToken && c.command.Owner == c.record.Owner
}

// claimLapsed reports whether the deadline of the claim has passed by the clock of every node. The clock of the claim's
// holder may be behind the true time by clockError while the leader's is ahead of it by clockError.
func (c *change) claimLapsed() bool {
	return c.record.claimed() && c.now >= c.record.Deadline+2*c.clockError
}

// firstPause returns the record of a session at its first pause.
func (c *change) firstPause() (*Record, error) {
	r := c.record
	switch {
	case r != nil && r.Turn == 1 && r.Owner == c.command.Owner && r.State == Paused: // repeated command
		return r, nil
	case r != nil:
		return nil, ErrInvalidTransition
	case len(c.command.Data) > c.limits.MaxDataBytes:
		return nil, ErrTooLarge
	case c.counts.Total >= c.limits.MaxPaused || c.counts.Tenant >= c.limits.MaxPausedPerTenant:
		return nil, ErrTooManyPaused
	case c.command.ToolTimeout <= 0 || len(c.command.Calls) == 0:
		return nil, ErrInvalidTransition
	}
	deadline := c.now + c.command.ToolTimeout
	return &Record{
		ID:           c.command.ID,
		Turn:         1,
		State:        Paused,
		Deadline:     deadline,
		ToolDeadline: deadline,
		Tenant:       c.command.Tenant,
		Owner:        c.command.Owner,
		Calls:        c.command.Calls,
		Data:         c.command.Data,
	}, nil
}

// furtherPause returns the record of a resumed session that pauses again.
func (c *change) furtherPause() (*Record, error) {
	r := c.record
	repeated := r.State == Paused && r.Turn == c.command.Turn+1 && c.command.FencingToken == r.FencingToken
	switch {
	case repeated:
		return r, nil
	case !c.holdsClaim() || c.command.Turn != r.Turn:
		return nil, ErrStaleFencingToken
	case len(c.command.Data) > c.limits.MaxDataBytes:
		return nil, ErrTooLarge
	}
	next := *r
	next.State = Paused
	next.Turn = r.Turn + 1
	next.Data = c.command.Data
	next.Calls = c.command.Calls
	next.ClaimID = ""
	next.ToolDeadline = c.now + c.command.ToolTimeout
	next.Deadline = next.ToolDeadline
	return &next, nil
}

// claim grants a claim. An existing claim is replaced if it has lapsed, or at once if its holder's incarnation is known
// to have ended.
func (c *change) claim() (*Record, error) {
	if repeated, err := c.checkClaim(); repeated || err != nil {
		return c.record, err
	}
	if err := c.checkResults(); err != nil {
		return nil, err
	}
	if c.command.ClaimDuration <= 0 || c.command.ClaimID == "" {
		return nil, ErrInvalidTransition
	}
	next := *c.record
	next.State = Claimed
	next.FencingToken = c.record.FencingToken + 1
	next.ClaimID = c.command.ClaimID
	next.Owner = c.command.Owner
	next.Deadline = c.now + c.command.ClaimDuration
	return &next, nil
}

// checkClaim returns an error if the session cannot be claimed. repeated is true if the command has already been
// granted its claim.
func (c *change) checkClaim() (repeated bool, err error) {
	r := c.record
	turn := c.command.Turn
	switch {
	case r.State == Expired:
		return false, ErrExpired
	case turn < r.Turn:
		return false, ErrKeyUsed
	case r.State == Ended && turn == r.Turn && r.EndReason != ReasonCancelled:
		return false, ErrKeyUsed
	case r.State == Ended:
		return false, ErrEnded
	case turn > r.Turn:
		return false, ErrUnknownKey
	case c.repeatsClaim():
		return true, nil
	case r.State == Paused && c.now >= r.Deadline:
		return false, ErrExpired
	case r.State != Paused && !c.ownerEnded() && !c.claimLapsed():
		return false, ErrClaimed
	}
	return false, nil
}

// repeatsClaim reports whether the command repeats the one that made the session's current claim.
func (c *change) repeatsClaim() bool {
	r := c.record
	return r.claimed() && r.ClaimID == c.command.ClaimID && r.Owner == c.command.Owner && c.command.ClaimID != ""
}

// ownerEnded reports whether the claim's holder is an earlier incarnation of the sender's slot that is known to have
// ended.
func (c *change) ownerEnded() bool {
	owner := c.record.Owner
	return c.record.claimed() && owner.Slot == c.command.Owner.Slot &&
		slices.Contains(c.command.Predecessors, owner.Incarnation)
}

// checkResults returns an error if the results of a claim do not match the session's calls.
func (c *change) checkResults() error {
	for _, call := range c.record.Calls {
		if !slices.Contains(c.command.ResultIDs, call.ID) {
			return fmt.Errorf("%w: call %q of %s has no result", ErrResultsMismatch, call.ID, call.Name)
		}
	}
	if len(c.command.ResultIDs) != len(c.record.Calls) {
		return fmt.Errorf("%w: %d results of %d calls",
			ErrResultsMismatch, len(c.command.ResultIDs), len(c.record.Calls))
	}
	return nil
}

func (c *change) begin() (*Record, error) {
	if !c.holdsClaim() {
		return nil, ErrStaleFencingToken
	}
	next := *c.record
	next.State = Resuming
	return &next, nil
}

func (c *change) release() (*Record, error) {
	if !c.holdsClaim() {
		return nil, ErrStaleFencingToken
	}
	next := *c.record
	next.State = Paused
	next.ClaimID = ""
	next.Deadline = max(c.record.ToolDeadline, c.now+minReclaimWindow)
	return &next, nil
}

func (c *change) end() (*Record, error) {
	if c.record.State == Ended && c.command.FencingToken == c.record.FencingToken {
		return c.record, nil
	}
	if !c.holdsClaim() {
		return nil, ErrStaleFencingToken
	}
	return c.finished(Ended, c.command.EndReason), nil
}

func (c *change) cancel() (*Record, error) {
	switch {
	case c.record.State == Ended || c.record.State == Expired:
		return c.record, nil // the session has already ended
	case c.record.State != Paused && !c.claimLapsed():
		return nil, ErrClaimed
	}
	return c.finished(Ended, ReasonCancelled), nil
}

func (c *change) expire() (*Record, error) {
	if c.record.State != Paused || c.now < c.record.Deadline {
		return nil, ErrInvalidTransition
	}
	return c.finished(Expired, ReasonExpired), nil
}

func (c *change) delete() (*Record, error) {
	over := c.record.State == Ended || c.record.State == Expired
	if !over || c.now < c.record.Deadline {
		return nil, ErrInvalidTransition
	}
	return nil, nil
}

// finished returns the record of a session that has ended or expired, without its data.
func (c *change) finished(state State, reason EndReason) *Record {
	next := *c.record
	next.State = state
	next.EndReason = reason
	next.Data = nil
	next.Deadline = c.now + c.limits.Retention
	return &next
}
