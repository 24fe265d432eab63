package session

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer/golden"
)

func roundTrip[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden.RoundTrip(t, name, value, func(v T) ([]byte, error) { return json.Marshal(v) }, func(raw []byte) (v T, err error) {
		return v, json.Unmarshal(raw, &v)
	})
}

// A session as the store has it, and what a node asks of the leader.
func TestGoldenRecordAndOperation(t *testing.T) {
	roundTrip(t, "record.json", Record{ID: id, Turn: 2, State: Claimed, Fence: 3, Until: 4, Wait: 5, Tenant: 6, By: Owner{Seat: "node-1", Life: 7}, Claim: "trace-8",
		Calls: []Call{{ID: "call-9", Name: "hours"}}, Data: []byte("packed"), Last: "served"})
	roundTrip(t, "operation.json", Op{Kind: Take, ID: id, Turn: 2, Fence: 3, Claim: "trace-4", By: Owner{Seat: "node-1", Life: 5}, Before: []uint64{6, 7}, Tenant: 8, Wait: 9, For: 10,
		Results: []string{"call-11"}, Calls: []Call{{ID: "call-12", Name: "hours"}}, Data: []byte("packed"), Last: "served"})
	raw, err := json.Marshal([]any{Record{}, Op{}})
	require.NoError(t, err)
	golden.Bytes(t, "empty.json", raw)
}

// The words that stand in records and operations, keys, and the texts that clients get.
func TestGoldenWords(t *testing.T) {
	var lines []string
	for _, s := range []State{Running, Pausing, Paused, Claimed, Resuming, Ended, Expired} {
		lines = append(lines, "state "+string(s))
	}
	for _, k := range []OpKind{Pause, Take, Begin, Release, End, Cancel, Expire, Forget} {
		lines = append(lines, "operation "+string(k))
	}
	lines = append(lines, "key "+Key(id, 2))
	for _, err := range []error{ErrKey, ErrUnknown, ErrUsed, ErrExpired, ErrOver, ErrClaimed, ErrFence, ErrFull, ErrNotNow, ErrResults, ErrTooLarge} {
		lines = append(lines, "error "+err.Error())
	}
	_, _, err := ParseKey("spoilt")
	lines = append(lines, "error "+err.Error())
	r := paused(t)
	one := claim(b, "q1")
	one.Results = both[:1]
	three := claim(b, "q1")
	three.Results = append(append([]string{}, both...), "c3")
	for _, o := range []Op{one, three, {Kind: "another"}} {
		lines = append(lines, "error "+step(t, &r, o, second).Error())
	}
	require.True(t, errors.Is(step(t, &r, one, second), ErrResults))
	require.NoError(t, step(t, &r, Op{Kind: Cancel}, second))
	lines = append(lines, "last "+r.Last)
	r = paused(t)
	require.NoError(t, step(t, &r, Op{Kind: Expire}, 30*second))
	lines = append(lines, "last "+r.Last)
	golden.Bytes(t, "words.txt", fmt.Appendln(nil, strings.Join(lines, "\n")))
}
