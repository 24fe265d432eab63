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

// step applies an operation to a record that it replaces.
func step(t *testing.T, r **Record, o Command, now int64) error {
	g := &invariant.Monitor{}
	o.ID = id
	next, err := Apply(*r, o, now, clockError, limits, PausedCounts{}, g)
	require.Empty(t, g.Violations())
	if err == nil {
		*r = next
	}
	return err
}

func paused(t *testing.T) *Record {
	var r *Record
	require.NoError(t, step(t, &r, Command{Kind: Pause, Owner: a, ToolTimeout: 30 * second, Calls: calls, Data: []byte("x")}, 0))
	return r
}

func claim(by Owner, name string) Command {
	return Command{Kind: Claim, Turn: 1, Owner: by, ClaimID: name, ClaimDuration: 10 * second, ResultIDs: both}
}

// A key presented twice, a claim whose holder is gone, several calls, a call behind a result, and the ends.
func TestSession(t *testing.T) {
	r := paused(t)
	require.ErrorIs(t, step(t, &r, Command{Kind: Claim, Turn: 1, Owner: b, ClaimID: "q1", ClaimDuration: second, ResultIDs: []string{"c1"}}, second), ErrResultsMismatch)
	require.ErrorIs(t, step(t, &r, Command{Kind: Claim, Turn: 1, Owner: b, ClaimID: "q1", ClaimDuration: second, ResultIDs: []string{"c1", "c2", "c3"}}, second), ErrResultsMismatch)
	require.ErrorIs(t, step(t, &r, Command{Kind: Claim, Turn: 1, Owner: b, ClaimID: "q1", ClaimDuration: second, ResultIDs: []string{"c1", "another"}}, second), ErrResultsMismatch)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.EqualValues(t, 1, r.FencingToken)
	require.NoError(t, step(t, &r, claim(b, "q1"), second), "its answer was lost, and it is asked for again")
	require.EqualValues(t, 1, r.FencingToken)
	require.ErrorIs(t, step(t, &r, claim(a, "q2"), 2*second), ErrClaimed)
	require.ErrorIs(t, step(t, &r, Command{Kind: Cancel}, 2*second), ErrClaimed, "the result was first")
	require.NoError(t, step(t, &r, Command{Kind: Begin, FencingToken: 1, Owner: b}, 2*second))
	require.ErrorIs(t, step(t, &r, claim(a, "q2"), 11*second), ErrClaimed, "its clock may be behind")
	require.NoError(t, step(t, &r, claim(a, "q2"), 12*second), "the claim has ended by any clock")
	for _, late := range []Command{{Kind: Begin, FencingToken: 1, Owner: b}, {Kind: Release, FencingToken: 1, Owner: b}, {Kind: End, FencingToken: 1, Owner: b}, {Kind: Pause, Turn: 1, FencingToken: 1, Owner: b, Calls: calls, ToolTimeout: 1}} {
		require.ErrorIs(t, step(t, &r, late, 12*second), ErrStaleFencingToken)
	}
	again := Command{Kind: Pause, Turn: 1, FencingToken: 2, Owner: a, ToolTimeout: 30 * second, Calls: calls[:1], Data: []byte("xy")}
	require.NoError(t, step(t, &r, again, 13*second), "a call behind a result")
	require.NoError(t, step(t, &r, again, 13*second), "told twice")
	require.Equal(t, 2, r.Turn)
	require.ErrorIs(t, step(t, &r, claim(b, "q3"), 14*second), ErrKeyUsed)
	second2 := Command{Kind: Claim, Turn: 2, Owner: b, ClaimID: "q3", ClaimDuration: 10 * second, ResultIDs: both[:1]}
	require.NoError(t, step(t, &r, second2, 14*second))
	require.NoError(t, step(t, &r, Command{Kind: End, FencingToken: 3, Owner: b, EndReason: "served"}, 15*second))
	require.NoError(t, step(t, &r, Command{Kind: End, FencingToken: 3, Owner: b, EndReason: "served"}, 15*second))
	require.Nil(t, r.Data)
	require.ErrorIs(t, step(t, &r, second2, 16*second), ErrKeyUsed)
	require.ErrorIs(t, step(t, &r, Command{Kind: Forget}, 16*second), ErrInvalidTransition)
	require.NoError(t, step(t, &r, Command{Kind: Forget}, 76*second))
	require.Nil(t, r)
	require.ErrorIs(t, step(t, &r, second2, 77*second), ErrUnknownKey)
}

// A node that claims a session again, behind a claim of its own that ended, does not end it by what the first had left to say.
func TestTheSameNodeTwice(t *testing.T) {
	r := paused(t)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.NoError(t, step(t, &r, claim(b, "q2"), 20*second))
	for _, late := range []Command{{Kind: End, FencingToken: 1, Owner: b}, {Kind: Release, FencingToken: 1, Owner: b}, {Kind: Begin, FencingToken: 1, Owner: b}} {
		require.ErrorIs(t, step(t, &r, late, 21*second), ErrStaleFencingToken)
	}
	require.NoError(t, step(t, &r, Command{Kind: End, FencingToken: 2, Owner: b}, 21*second))
}

func TestEndsOfSessions(t *testing.T) {
	r := paused(t)
	require.ErrorIs(t, step(t, &r, Command{Kind: Expire}, 29*second), ErrInvalidTransition)
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 30*second), ErrExpired, "whether or not that is on record yet")
	require.NoError(t, step(t, &r, Command{Kind: Expire}, 30*second))
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 31*second), ErrExpired)
	r = paused(t)
	require.NoError(t, step(t, &r, Command{Kind: Cancel}, second))
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 2*second), ErrEnded)
	r = paused(t)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.NoError(t, step(t, &r, Command{Kind: Release, FencingToken: 1, Owner: b}, 2*second))
	require.NoError(t, step(t, &r, claim(a, "q2"), 3*second), "given back, it may be claimed at once")
	heir := claim(Owner{"a", 2}, "q3")
	heir.Predecessors = []uint64{1}
	require.NoError(t, step(t, &r, heir, 4*second), "the life that had it is known to be over")
	var none *Record
	_, err := Apply(none, Command{Kind: Pause, ToolTimeout: 1, Calls: calls}, 0, clockError, limits, PausedCounts{Total: 10}, nil)
	require.ErrorIs(t, err, ErrTooManyPaused)
	_, err = Apply(none, Command{Kind: Pause, ToolTimeout: 1, Calls: calls, Data: make([]byte, 101)}, 0, clockError, limits, PausedCounts{}, nil)
	require.ErrorIs(t, err, ErrTooLarge)
	for _, bad := range []string{"", "x", id, id + ".0", id + ".x", strings.ToUpper(id) + ".1"} {
		_, _, err := ParseResumeKey(bad)
		require.ErrorIs(t, err, ErrMalformedKey, bad)
	}
}

// Whatever comes in whatever order, told twice or late, by clocks that differ: of two claims' times no moment is shared, each
// key gives at most one session a final answer, and the table is kept.
func TestNeverTwoAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &invariant.Monitor{}
		var r *Record
		now := int64(0)
		type held struct {
			fence      uint64
			from, till int64 // when its holder may decode, by true time
		}
		var all []held
		ended := map[int]int{}
		var past []Command
		owners := []Owner{{"a", 1}, {"b", 1}, {"c", 1}}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 3*second).Draw(t, "by")
			o := Command{Kind: rapid.SampledFrom([]CommandKind{Pause, Claim, Claim, Begin, Release, End, Cancel, Expire, Forget}).Draw(t, "kind"), ID: id,
				Turn: rapid.IntRange(0, 3).Draw(t, "turn"), FencingToken: rapid.Uint64Range(0, 4).Draw(t, "fence"), Owner: rapid.SampledFrom(owners).Draw(t, "by whom"),
				ClaimID: rapid.SampledFrom([]string{"p", "q", ""}).Draw(t, "claim"), ToolTimeout: 20 * second, ClaimDuration: 5 * second, ResultIDs: both, Calls: calls}
			if len(past) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
				o = rapid.SampledFrom(past).Draw(t, "which")
			}
			past = append(past, o)
			off := rapid.Int64Range(-int64(clockError), int64(clockError)).Draw(t, "leader's clock")
			was := r
			next, err := Apply(r, o, now+off, clockError, limits, PausedCounts{}, g)
			if err != nil {
				continue
			}
			if r = next; r == nil {
				all, past, ended = nil, nil, map[int]int{}
				continue
			}
			if r.State == Claimed && (was == nil || was.FencingToken != r.FencingToken) {
				// Its holder decodes until the end that it was told, by its own clock, which may be late.
				h := held{r.FencingToken, now, r.Deadline + int64(clockError)}
				for i := range all {
					if all[i].till > h.from {
						t.Fatalf("claim %d begins at %d, claim %d lasts until %d", h.fence, h.from, all[i].fence, all[i].till)
					}
				}
				all = append(all, h)
			}
			if was != nil && was.State != r.State && (r.State == Paused || r.State == Ended) && len(all) > 0 {
				all[len(all)-1].till = now // given back, paused or ended by its holder: it decodes no more
			}
			if r.State == Ended && was.State != Ended {
				if ended[r.Turn]++; ended[r.Turn] > 1 {
					t.Fatal("two final answers")
				}
			}
			if len(g.Violations()) > 0 {
				t.Fatal(g.Violations())
			}
		}
	})
}
