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
	limits = Limits{Data: 100, Keep: 60 * second, Paused: 10, Tenant: 5}
	calls  = []Call{{"c1", "hours"}, {"c2", "roster"}}
	both   = []string{"c1", "c2"}
	id     = strings.Repeat("ab", 16)
	a, b   = Owner{"a", 1}, Owner{"b", 1}
)

// step applies an operation to a record that it replaces.
func step(t *testing.T, r **Record, o Op, now int64) error {
	g := &invariant.Guard{}
	o.ID = id
	next, err := Apply(*r, o, now, clockError, limits, Counted{}, g)
	require.Empty(t, g.Counts())
	if err == nil {
		*r = next
	}
	return err
}

func paused(t *testing.T) *Record {
	var r *Record
	require.NoError(t, step(t, &r, Op{Kind: Pause, By: a, Wait: 30 * second, Calls: calls, Data: []byte("x")}, 0))
	return r
}

func claim(by Owner, name string) Op {
	return Op{Kind: Take, Turn: 1, By: by, Claim: name, For: 10 * second, Results: both}
}

// A key presented twice, a claim whose holder is gone, several calls, a call behind a result, and the ends.
func TestSession(t *testing.T) {
	r := paused(t)
	require.ErrorIs(t, step(t, &r, Op{Kind: Take, Turn: 1, By: b, Claim: "q1", For: second, Results: []string{"c1"}}, second), ErrResults)
	require.ErrorIs(t, step(t, &r, Op{Kind: Take, Turn: 1, By: b, Claim: "q1", For: second, Results: []string{"c1", "c2", "c3"}}, second), ErrResults)
	require.ErrorIs(t, step(t, &r, Op{Kind: Take, Turn: 1, By: b, Claim: "q1", For: second, Results: []string{"c1", "another"}}, second), ErrResults)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.EqualValues(t, 1, r.Fence)
	require.NoError(t, step(t, &r, claim(b, "q1"), second), "its answer was lost, and it is asked for again")
	require.EqualValues(t, 1, r.Fence)
	require.ErrorIs(t, step(t, &r, claim(a, "q2"), 2*second), ErrClaimed)
	require.ErrorIs(t, step(t, &r, Op{Kind: Cancel}, 2*second), ErrClaimed, "the result was first")
	require.NoError(t, step(t, &r, Op{Kind: Begin, Fence: 1, By: b}, 2*second))
	require.ErrorIs(t, step(t, &r, claim(a, "q2"), 11*second), ErrClaimed, "its clock may be behind")
	require.NoError(t, step(t, &r, claim(a, "q2"), 12*second), "the claim has ended by any clock")
	for _, late := range []Op{{Kind: Begin, Fence: 1, By: b}, {Kind: Release, Fence: 1, By: b}, {Kind: End, Fence: 1, By: b}, {Kind: Pause, Turn: 1, Fence: 1, By: b, Calls: calls, Wait: 1}} {
		require.ErrorIs(t, step(t, &r, late, 12*second), ErrFence)
	}
	again := Op{Kind: Pause, Turn: 1, Fence: 2, By: a, Wait: 30 * second, Calls: calls[:1], Data: []byte("xy")}
	require.NoError(t, step(t, &r, again, 13*second), "a call behind a result")
	require.NoError(t, step(t, &r, again, 13*second), "told twice")
	require.Equal(t, 2, r.Turn)
	require.ErrorIs(t, step(t, &r, claim(b, "q3"), 14*second), ErrUsed)
	second2 := Op{Kind: Take, Turn: 2, By: b, Claim: "q3", For: 10 * second, Results: both[:1]}
	require.NoError(t, step(t, &r, second2, 14*second))
	require.NoError(t, step(t, &r, Op{Kind: End, Fence: 3, By: b, Last: "served"}, 15*second))
	require.NoError(t, step(t, &r, Op{Kind: End, Fence: 3, By: b, Last: "served"}, 15*second))
	require.Nil(t, r.Data)
	require.ErrorIs(t, step(t, &r, second2, 16*second), ErrUsed)
	require.ErrorIs(t, step(t, &r, Op{Kind: Forget}, 16*second), ErrNotNow)
	require.NoError(t, step(t, &r, Op{Kind: Forget}, 76*second))
	require.Nil(t, r)
	require.ErrorIs(t, step(t, &r, second2, 77*second), ErrUnknown)
}

// A node that claims a session again, behind a claim of its own that ended, does not end it by what the first had left to say.
func TestTheSameNodeTwice(t *testing.T) {
	r := paused(t)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.NoError(t, step(t, &r, claim(b, "q2"), 20*second))
	for _, late := range []Op{{Kind: End, Fence: 1, By: b}, {Kind: Release, Fence: 1, By: b}, {Kind: Begin, Fence: 1, By: b}} {
		require.ErrorIs(t, step(t, &r, late, 21*second), ErrFence)
	}
	require.NoError(t, step(t, &r, Op{Kind: End, Fence: 2, By: b}, 21*second))
}

func TestEndsOfSessions(t *testing.T) {
	r := paused(t)
	require.ErrorIs(t, step(t, &r, Op{Kind: Expire}, 29*second), ErrNotNow)
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 30*second), ErrExpired, "whether or not that is on record yet")
	require.NoError(t, step(t, &r, Op{Kind: Expire}, 30*second))
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 31*second), ErrExpired)
	r = paused(t)
	require.NoError(t, step(t, &r, Op{Kind: Cancel}, second))
	require.ErrorIs(t, step(t, &r, claim(b, "q1"), 2*second), ErrOver)
	r = paused(t)
	require.NoError(t, step(t, &r, claim(b, "q1"), second))
	require.NoError(t, step(t, &r, Op{Kind: Release, Fence: 1, By: b}, 2*second))
	require.NoError(t, step(t, &r, claim(a, "q2"), 3*second), "given back, it may be claimed at once")
	heir := claim(Owner{"a", 2}, "q3")
	heir.Before = []uint64{1}
	require.NoError(t, step(t, &r, heir, 4*second), "the life that had it is known to be over")
	var none *Record
	_, err := Apply(none, Op{Kind: Pause, Wait: 1, Calls: calls}, 0, clockError, limits, Counted{Paused: 10}, nil)
	require.ErrorIs(t, err, ErrFull)
	_, err = Apply(none, Op{Kind: Pause, Wait: 1, Calls: calls, Data: make([]byte, 101)}, 0, clockError, limits, Counted{}, nil)
	require.ErrorIs(t, err, ErrTooLarge)
	for _, bad := range []string{"", "x", id, id + ".0", id + ".x", strings.ToUpper(id) + ".1"} {
		_, _, err := ParseKey(bad)
		require.ErrorIs(t, err, ErrKey, bad)
	}
}

// Whatever comes in whatever order, told twice or late, by clocks that differ: of two claims' times no moment is shared, each
// key gives at most one session a final answer, and the table is kept.
func TestNeverTwoAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &invariant.Guard{}
		var r *Record
		now := int64(0)
		type held struct {
			fence      uint64
			from, till int64 // when its holder may decode, by true time
		}
		var all []held
		ended := map[int]int{}
		var past []Op
		owners := []Owner{{"a", 1}, {"b", 1}, {"c", 1}}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 3*second).Draw(t, "by")
			o := Op{Kind: rapid.SampledFrom([]OpKind{Pause, Take, Take, Begin, Release, End, Cancel, Expire, Forget}).Draw(t, "kind"), ID: id,
				Turn: rapid.IntRange(0, 3).Draw(t, "turn"), Fence: rapid.Uint64Range(0, 4).Draw(t, "fence"), By: rapid.SampledFrom(owners).Draw(t, "by whom"),
				Claim: rapid.SampledFrom([]string{"p", "q", ""}).Draw(t, "claim"), Wait: 20 * second, For: 5 * second, Results: both, Calls: calls}
			if len(past) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
				o = rapid.SampledFrom(past).Draw(t, "which")
			}
			past = append(past, o)
			off := rapid.Int64Range(-int64(clockError), int64(clockError)).Draw(t, "leader's clock")
			was := r
			next, err := Apply(r, o, now+off, clockError, limits, Counted{}, g)
			if err != nil {
				continue
			}
			if r = next; r == nil {
				all, past, ended = nil, nil, map[int]int{}
				continue
			}
			if r.State == Claimed && (was == nil || was.Fence != r.Fence) {
				// Its holder decodes until the end that it was told, by its own clock, which may be late.
				h := held{r.Fence, now, r.Until + int64(clockError)}
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
			if len(g.Counts()) > 0 {
				t.Fatal(g.Counts())
			}
		}
	})
}
