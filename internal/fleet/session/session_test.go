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
	limits = Limits{MaxDataBytes: 100, Retention: 60 * second, MaxPaused: 10, MaxPausedPerTenant: 5}
	calls  = []ToolCall{{"c1", "hours"}, {"c2", "roster"}}
	both   = []string{"c1", "c2"}
	id     = strings.Repeat("ab", 16)
	a, b   = Owner{"a", 1}, Owner{"b", 1}
)

// step replaces a record by the one that a command leads to.
func step(t *testing.T, r **Record, c Command, now int64) error {
	t.Helper()
	monitor := &invariant.Monitor{}
	c.ID = id
	next, err := Apply(*r, c, now, clockError, limits, PausedCounts{}, monitor)
	require.Empty(t, monitor.Violations())
	if err == nil {
		*r = next
	}
	return err
}

func paused(t *testing.T) *Record {
	t.Helper()
	var r *Record
	pause := Command{Kind: Pause, Owner: a, ToolTimeout: 30 * second, Calls: calls, Data: []byte("x")}
	require.NoError(t, step(t, &r, pause, 0))
	return r
}

func claim(by Owner, claimID string) Command {
	return Command{Kind: Claim, Turn: 1, Owner: by, ClaimID: claimID, ClaimDuration: 10 * second, ResultIDs: both}
}

func withResults(c Command, ids ...string) Command {
	c.ResultIDs = ids
	return c
}

// A key presented twice, a claim whose holder has ended, several calls, a call behind a result, and the ends.
func TestSessionFromPauseToForgotten(t *testing.T) {
	r := paused(t)
	require.ErrorIs(t, step(t, &r, withResults(claim(b, "q1"), "c1"), second), ErrResultsMismatch)
	require.ErrorIs(t, step(t, &r, withResults(claim(b, "q1"), "c1", "c2", "c3"), second), ErrResultsMismatch)
	require.ErrorIs(t, step(t, &r, withResults(claim(b, "q1"), "c1", "another"), second), ErrResultsMismatch)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.EqualValues(t, 1, r.FencingToken)
	require.NoError(t, step(t, &r, claim(b, "q1"), second), "its answer was lost, and it is claimed once more")
	require.EqualValues(t, 1, r.FencingToken)
	require.ErrorIs(t, step(t, &r, claim(a, "q2"), 2*second), ErrClaimed)
	require.ErrorIs(t, step(t, &r, Command{Kind: Cancel}, 2*second), ErrClaimed, "the result was first")
	require.NoError(t, step(t, &r, Command{Kind: Begin, FencingToken: 1, Owner: b}, 2*second))
	require.ErrorIs(t, step(t, &r, claim(a, "q2"), 11*second), ErrClaimed, "its clock may be behind")
	require.NoError(t, step(t, &r, claim(a, "q2"), 12*second), "the claim has ended by any clock")
	for _, late := range []Command{
		{Kind: Begin, FencingToken: 1, Owner: b},
		{Kind: Release, FencingToken: 1, Owner: b},
		{Kind: End, FencingToken: 1, Owner: b},
		{Kind: Pause, Turn: 1, FencingToken: 1, Owner: b, Calls: calls, ToolTimeout: 1},
	} {
		require.ErrorIs(t, step(t, &r, late, 12*second), ErrStaleFencingToken, late.Kind)
	}
	again := Command{Kind: Pause, Turn: 1, FencingToken: 2, Owner: a, ToolTimeout: 30 * second, Calls: calls[:1]}
	again.Data = []byte("xy")
	require.NoError(t, step(t, &r, again, 13*second), "a call behind a result")
	require.NoError(t, step(t, &r, again, 13*second), "given twice")
	require.Equal(t, 2, r.Turn)
	require.ErrorIs(t, step(t, &r, claim(b, "q3"), 14*second), ErrKeyUsed)
	next := withResults(claim(b, "q3"), "c1")
	next.Turn = 2
	require.NoError(t, step(t, &r, next, 14*second))
	end := Command{Kind: End, FencingToken: 3, Owner: b, EndReason: ReasonServed}
	require.NoError(t, step(t, &r, end, 15*second))
	require.NoError(t, step(t, &r, end, 15*second), "given twice")
	require.Nil(t, r.Data)
	require.ErrorIs(t, step(t, &r, next, 16*second), ErrKeyUsed)
	require.ErrorIs(t, step(t, &r, Command{Kind: Forget}, 16*second), ErrInvalidTransition)
	require.NoError(t, step(t, &r, Command{Kind: Forget}, 76*second))
	require.Nil(t, r)
	require.ErrorIs(t, step(t, &r, next, 77*second), ErrUnknownKey)
}

// A node that claims a session again, after a claim of its own that lapsed, does not end it by late commands of the
// first claim.
func TestLateCommandsOfTheSameNode(t *testing.T) {
	r := paused(t)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.NoError(t, step(t, &r, claim(b, "q2"), 20*second))
	for _, kind := range []CommandKind{End, Release, Begin} {
		late := Command{Kind: kind, FencingToken: 1, Owner: b}
		require.ErrorIs(t, step(t, &r, late, 21*second), ErrStaleFencingToken)
	}
	require.NoError(t, step(t, &r, Command{Kind: End, FencingToken: 2, Owner: b}, 21*second))
}

func TestExpiredSessionsCannotBeClaimed(t *testing.T) {
	r := paused(t)
	require.ErrorIs(t, step(t, &r, Command{Kind: Expire}, 29*second), ErrInvalidTransition)
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 30*second), ErrExpired, "whether or not that is on record yet")
	require.NoError(t, step(t, &r, Command{Kind: Expire}, 30*second))
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 31*second), ErrExpired)
}

func TestCancelledAndReleasedSessions(t *testing.T) {
	r := paused(t)
	require.NoError(t, step(t, &r, Command{Kind: Cancel}, second))
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 2*second), ErrEnded)
	r = paused(t)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.NoError(t, step(t, &r, Command{Kind: Release, FencingToken: 1, Owner: b}, 2*second))
	require.NoError(t, step(t, &r, claim(a, "q2"), 3*second), "released, it may be claimed at once")
	successor := claim(Owner{"a", 2}, "q3")
	successor.Predecessors = []uint64{1}
	require.NoError(t, step(t, &r, successor, 4*second), "the incarnation that held it is known to be over")
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
	for _, malformed := range []string{"", "x", id, id + ".0", id + ".x", strings.ToUpper(id) + ".1"} {
		_, _, err := ParseResumeKey(malformed)
		require.ErrorIs(t, err, ErrMalformedKey, malformed)
	}
}

// Whatever comes in whatever order, repeatedly or late, by clocks that differ: of two claims' times no moment is
// shared, each key gives at most one session a final answer, and states follow the table.
func TestNeverTwoAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor := &invariant.Monitor{}
		var r *Record
		now := int64(0)
		var spans []decodingSpan
		ended := map[int]int{} // final answers, by turn
		var past []Command
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 3*second).Draw(t, "by")
			c := drawCommand(t, past)
			past = append(past, c)
			offset := rapid.Int64Range(-int64(clockError), int64(clockError)).Draw(t, "leader's clock")
			before := r
			next, err := Apply(r, c, now+offset, clockError, limits, PausedCounts{}, monitor)
			if err != nil {
				continue
			}
			if r = next; r == nil { // forgotten
				spans = nil
				past = nil
				ended = map[int]int{}
				continue
			}
			if r.State == Claimed && (before == nil || before.FencingToken != r.FencingToken) {
				spans = addSpan(t, spans, r, now)
			}
			if before != nil && before.State != r.State && (r.State == Paused || r.State == Ended) && len(spans) > 0 {
				spans[len(spans)-1].end = now // released, paused or ended by its holder: it decodes no more
			}
			if r.State == Ended && before.State != Ended {
				if ended[r.Turn]++; ended[r.Turn] > 1 {
					t.Fatal("two final answers")
				}
			}
			if len(monitor.Violations()) > 0 {
				t.Fatal(monitor.Violations())
			}
		}
	})
}

// decodingSpan is when a claim's holder may decode, by true time.
type decodingSpan struct {
	fencingToken uint64
	begin, end   int64
}

// addSpan adds the span of a claim that was given now. Its holder decodes until the deadline by its own clock, which
// may be late.
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

// drawCommand draws a command, or one of the past once more.
func drawCommand(t *rapid.T, past []Command) Command {
	kinds := []CommandKind{Pause, Claim, Claim, Begin, Release, End, Cancel, Expire, Forget}
	owners := []Owner{{"a", 1}, {"b", 1}, {"c", 1}}
	c := Command{
		Kind:          rapid.SampledFrom(kinds).Draw(t, "kind"),
		ID:            id,
		Turn:          rapid.IntRange(0, 3).Draw(t, "turn"),
		FencingToken:  rapid.Uint64Range(0, 4).Draw(t, "fence"),
		Owner:         rapid.SampledFrom(owners).Draw(t, "by whom"),
		ClaimID:       rapid.SampledFrom([]string{"p", "q", ""}).Draw(t, "claim"),
		ToolTimeout:   20 * second,
		ClaimDuration: 5 * second,
		ResultIDs:     both,
		Calls:         calls,
	}
	if len(past) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		return rapid.SampledFrom(past).Draw(t, "which")
	}
	return c
}
