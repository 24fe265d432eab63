package session

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"standpoint/internal/fleet/invariant"
)

const (
	second     = int64(time.Second)
	clockError = 200 * time.Millisecond
)

var (
	limits         = Limits{MaxDataBytes: 100, Retention: 60 * second, MaxPaused: 10, MaxPausedPerTenant: 5}
	calls          = []ToolCall{{"c1", "hours"}, {"c2", "roster"}}
	resultIDs      = []string{"c1", "c2"}
	sessionID      = strings.Repeat("ab", 16)
	ownerA, ownerB = Owner{"a", 1}, Owner{"b", 1}
)

// step applies a command to *r, and replaces *r with the result unless the command is rejected.
func step(t *testing.T, r **Record, c Command, now int64) error {
	t.Helper()
	monitor := &invariant.Monitor{}
	c.ID = sessionID
	next, err := Apply(*r, c, now, clockError, limits, PausedCounts{}, monitor)
	require.Empty(t, monitor.Violations())
	if err == nil {
		*r = next
	}
	return err
}

// paused returns the record of a session that ownerA has paused at two calls, with 30 s for their results.
func paused(t *testing.T) *Record {
	t.Helper()
	var r *Record
	pause := Command{Kind: Pause, Owner: ownerA, ToolTimeout: 30 * second, Calls: calls, Data: []byte("x")}
	require.NoError(t, step(t, &r, pause, 0))
	return r
}

// claim returns a command that claims turn 1 with all results for 10 s.
func claim(owner Owner, claimID string) Command {
	return Command{
		Kind:          Claim,
		Turn:          1,
		Owner:         owner,
		ClaimID:       claimID,
		ClaimDuration: 10 * second,
		ResultIDs:     resultIDs,
	}
}

// withResults returns the command with other result IDs.
func withResults(c Command, ids ...string) Command {
	c.ResultIDs = ids
	return c
}

// A session pauses at several calls, is claimed, pauses again, ends and is deleted. On the way, results that do not
// match the calls, used keys and late commands of a lapsed claim are rejected, and repeated commands change nothing.
func TestSessionLifecycle(t *testing.T) {
	r := paused(t)
	require.ErrorIs(t, step(t, &r, withResults(claim(ownerB, "q1"), "c1"), second), ErrResultsMismatch)
	require.ErrorIs(t, step(t, &r, withResults(claim(ownerB, "q1"), "c1", "c2", "c3"), second), ErrResultsMismatch)
	require.ErrorIs(t, step(t, &r, withResults(claim(ownerB, "q1"), "c1", "another"), second), ErrResultsMismatch)
	require.NoError(t, step(t, &r, claim(ownerB, "q1"), second))
	require.EqualValues(t, 1, r.FencingToken)
	require.NoError(t, step(t, &r, claim(ownerB, "q1"), second), "the reply was lost, and the claim is repeated")
	require.EqualValues(t, 1, r.FencingToken)
	require.ErrorIs(t, step(t, &r, claim(ownerA, "q2"), 2*second), ErrClaimed)
	require.ErrorIs(t, step(t, &r, Command{Kind: Cancel}, 2*second), ErrClaimed, "the claim came first")
	require.NoError(t, step(t, &r, Command{Kind: Begin, FencingToken: 1, Owner: ownerB}, 2*second))
	require.ErrorIs(t, step(t, &r, claim(ownerA, "q2"), 11*second), ErrClaimed, "the holder's clock may be behind")
	require.NoError(t, step(t, &r, claim(ownerA, "q2"), 12*second), "the claim has lapsed by every clock")
	for _, late := range []Command{
		{Kind: Begin, FencingToken: 1, Owner: ownerB},
		{Kind: Release, FencingToken: 1, Owner: ownerB},
		{Kind: End, FencingToken: 1, Owner: ownerB},
		{Kind: Pause, Turn: 1, FencingToken: 1, Owner: ownerB, Calls: calls, ToolTimeout: 1},
	} {
		require.ErrorIs(t, step(t, &r, late, 12*second), ErrStaleFencingToken, late.Kind)
	}
	secondPause := Command{
		Kind:         Pause,
		Turn:         1,
		FencingToken: 2,
		Owner:        ownerA,
		ToolTimeout:  30 * second,
		Calls:        calls[:1],
	}
	secondPause.Data = []byte("xy")
	require.NoError(t, step(t, &r, secondPause, 13*second), "the resumed session pauses at another call")
	require.NoError(t, step(t, &r, secondPause, 13*second), "repeated command")
	require.Equal(t, 2, r.Turn)
	require.ErrorIs(t, step(t, &r, claim(ownerB, "q3"), 14*second), ErrKeyUsed)
	next := withResults(claim(ownerB, "q3"), "c1")
	next.Turn = 2
	require.NoError(t, step(t, &r, next, 14*second))
	end := Command{Kind: End, FencingToken: 3, Owner: ownerB, EndReason: ReasonServed}
	require.NoError(t, step(t, &r, end, 15*second))
	require.NoError(t, step(t, &r, end, 15*second), "repeated command")
	require.Nil(t, r.Data)
	require.ErrorIs(t, step(t, &r, next, 16*second), ErrKeyUsed)
	require.ErrorIs(t, step(t, &r, Command{Kind: Delete}, 16*second), ErrInvalidTransition)
	require.NoError(t, step(t, &r, Command{Kind: Delete}, 76*second))
	require.Nil(t, r)
	require.ErrorIs(t, step(t, &r, next, 77*second), ErrUnknownKey)
}

// Late commands of a node's lapsed claim do not affect the same node's later claim: the fencing token has to match, not
// just the owner.
func TestLateCommandsOfTheSameNode(t *testing.T) {
	r := paused(t)
	require.NoError(t, step(t, &r, claim(ownerB, "q1"), second))
	require.NoError(t, step(t, &r, claim(ownerB, "q2"), 20*second))
	for _, kind := range []CommandKind{End, Release, Begin} {
		late := Command{Kind: kind, FencingToken: 1, Owner: ownerB}
		require.ErrorIs(t, step(t, &r, late, 21*second), ErrStaleFencingToken)
	}
	require.NoError(t, step(t, &r, Command{Kind: End, FencingToken: 2, Owner: ownerB}, 21*second))
}

func TestExpiredSessionsCannotBeClaimed(t *testing.T) {
	r := paused(t)
	require.ErrorIs(t, step(t, &r, Command{Kind: Expire}, 29*second), ErrInvalidTransition)
	require.ErrorIs(t, step(t, &r, claim(ownerB, "q1"), 30*second), ErrExpired, "even before the expiry is recorded")
	require.NoError(t, step(t, &r, Command{Kind: Expire}, 30*second))
	require.ErrorIs(t, step(t, &r, claim(ownerB, "q1"), 31*second), ErrExpired)
}

func TestCancelledAndReleasedSessions(t *testing.T) {
	r := paused(t)
	require.NoError(t, step(t, &r, Command{Kind: Cancel}, second))
	require.ErrorIs(t, step(t, &r, claim(ownerB, "q1"), 2*second), ErrEnded)
	r = paused(t)
	require.NoError(t, step(t, &r, claim(ownerB, "q1"), second))
	require.NoError(t, step(t, &r, Command{Kind: Release, FencingToken: 1, Owner: ownerB}, 2*second))
	require.NoError(t, step(t, &r, claim(ownerA, "q2"), 3*second), "a released session can be claimed at once")
	successor := claim(Owner{"a", 2}, "q3")
	successor.Predecessors = []uint64{1}
	require.NoError(t, step(t, &r, successor, 4*second), "the holder's incarnation is known to have ended")
}

func TestFirstPauseIsBounded(t *testing.T) {
	pause := Command{Kind: Pause, ToolTimeout: 1, Calls: calls}
	_, err := Apply(nil, pause, 0, clockError, limits, PausedCounts{Total: 10}, nil)
	require.ErrorIs(t, err, ErrTooManyPaused)
	pause.Data = make([]byte, 101)
	_, err = Apply(nil, pause, 0, clockError, limits, PausedCounts{}, nil)
	require.ErrorIs(t, err, ErrTooLarge)
}

func TestMalformedResumeKeys(t *testing.T) {
	for _, malformed := range []string{
		"", "x", sessionID, sessionID + ".0", sessionID + ".x", strings.ToUpper(sessionID) + ".1",
	} {
		_, _, err := ParseResumeKey(malformed)
		require.ErrorIs(t, err, ErrMalformedKey, malformed)
	}
}

// With commands in any order, late or repeated, and clocks that differ by up to clockError, no two claims overlap in
// time, each resume key leads to at most one final response, and states change only as the table allows.
func TestClaimsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor := &invariant.Monitor{}
		var r *Record
		now := int64(0)
		var spans []decodingSpan
		finalResponses := map[int]int{} // number of final responses, by turn
		var issued []Command
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 3*second).Draw(t, "elapsed")
			c := drawCommand(t, issued)
			issued = append(issued, c)
			offset := rapid.Int64Range(-int64(clockError), int64(clockError)).Draw(t, "leader's clock")
			before := r
			next, err := Apply(r, c, now+offset, clockError, limits, PausedCounts{}, monitor)
			if err != nil {
				continue
			}
			if r = next; r == nil { // the record was deleted
				spans = nil
				issued = nil
				finalResponses = map[int]int{}
				continue
			}
			if r.State == Claimed && (before == nil || before.FencingToken != r.FencingToken) {
				spans = addSpan(t, spans, r, now)
			}
			if before != nil && before.State != r.State && (r.State == Paused || r.State == Ended) && len(spans) > 0 {
				spans[len(spans)-1].end = now // its holder no longer decodes
			}
			if r.State == Ended && before.State != Ended {
				if finalResponses[r.Turn]++; finalResponses[r.Turn] > 1 {
					t.Fatal("two final responses")
				}
			}
			if len(monitor.Violations()) > 0 {
				t.Fatal(monitor.Violations())
			}
		}
	})
}

// decodingSpan is the time in which a claim's holder may decode, in Unix nanoseconds of true time.
type decodingSpan struct {
	fencingToken uint64
	begin, end   int64
}

// addSpan adds the span of a claim that is granted now, and fails if it overlaps another. The holder may decode until
// the deadline by its own clock, which may be behind by clockError.
func addSpan(t *rapid.T, spans []decodingSpan, r *Record, now int64) []decodingSpan {
	span := decodingSpan{fencingToken: r.FencingToken, begin: now, end: r.Deadline + int64(clockError)}
	for _, earlier := range spans {
		if earlier.end > span.begin {
			t.Fatalf("claim %d begins at %d, claim %d lasts until %d",
				span.fencingToken, span.begin, earlier.fencingToken, earlier.end)
		}
	}
	return append(spans, span)
}

// drawCommand draws a new command, or repeats one that was issued before.
func drawCommand(t *rapid.T, issued []Command) Command {
	kinds := []CommandKind{Pause, Claim, Claim, Begin, Release, End, Cancel, Expire, Delete}
	owners := []Owner{{"a", 1}, {"b", 1}, {"c", 1}}
	c := Command{
		Kind:          rapid.SampledFrom(kinds).Draw(t, "kind"),
		ID:            sessionID,
		Turn:          rapid.IntRange(0, 3).Draw(t, "turn"),
		FencingToken:  rapid.Uint64Range(0, 4).Draw(t, "fencing token"),
		Owner:         rapid.SampledFrom(owners).Draw(t, "owner"),
		ClaimID:       rapid.SampledFrom([]string{"p", "q", ""}).Draw(t, "claim"),
		ToolTimeout:   20 * second,
		ClaimDuration: 5 * second,
		ResultIDs:     resultIDs,
		Calls:         calls,
	}
	if len(issued) > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		return rapid.SampledFrom(issued).Draw(t, "repeated command")
	}
	return c
}
