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

// The encodings of a stored session and of a command to the leader do not change: other versions read both.
func TestGoldenRecordAndCommand(t *testing.T) {
	golden.JSON(t, "record.json", Record{
		ID:           sessionID,
		Turn:         2,
		State:        Claimed,
		FencingToken: 3,
		Deadline:     4,
		ToolDeadline: 5,
		Tenant:       6,
		Owner:        Owner{Slot: "node-1", Incarnation: 7},
		ClaimID:      "trace-8",
		Calls:        []ToolCall{{ID: "call-9", Name: "hours"}},
		Data:         []byte("packed"),
		EndReason:    "served",
	})
	golden.JSON(t, "operation.json", Command{
		Kind:          Claim,
		ID:            sessionID,
		Turn:          2,
		FencingToken:  3,
		ClaimID:       "trace-4",
		Owner:         Owner{Slot: "node-1", Incarnation: 5},
		Predecessors:  []uint64{6, 7},
		Tenant:        8,
		ToolTimeout:   9,
		ClaimDuration: 10,
		ResultIDs:     []string{"call-11"},
		Calls:         []ToolCall{{ID: "call-12", Name: "hours"}},
		Data:          []byte("packed"),
		EndReason:     "served",
	})
	raw, err := json.Marshal([]any{Record{}, Command{}})
	require.NoError(t, err)
	golden.Bytes(t, "empty.json", raw)
}

// The names of states and commands, the format of resume keys, and the error texts that clients get.
func TestGoldenNamesAndErrors(t *testing.T) {
	var lines []string
	for _, s := range []State{Running, Pausing, Paused, Claimed, Resuming, Ended, Expired} {
		lines = append(lines, "state "+string(s))
	}
	for _, k := range []CommandKind{Pause, Claim, Begin, Release, End, Cancel, Expire, Delete} {
		lines = append(lines, "operation "+string(k))
	}
	lines = append(lines, "key "+ResumeKey(sessionID, 2))
	for _, err := range []error{
		ErrMalformedKey,
		ErrUnknownKey,
		ErrKeyUsed,
		ErrExpired,
		ErrEnded,
		ErrClaimed,
		ErrStaleFencingToken,
		ErrTooManyPaused,
		ErrInvalidTransition,
		ErrResultsMismatch,
		ErrTooLarge,
	} {
		lines = append(lines, "error "+err.Error())
	}
	_, _, err := ParseResumeKey("spoilt")
	lines = append(lines, "error "+err.Error())
	r := paused(t)
	oneResult := claim(ownerB, "q1")
	oneResult.ResultIDs = resultIDs[:1]
	threeResults := claim(ownerB, "q1")
	threeResults.ResultIDs = append(append([]string{}, resultIDs...), "c3")
	for _, command := range []Command{oneResult, threeResults, {Kind: "another"}} {
		lines = append(lines, "error "+step(t, &r, command, second).Error())
	}
	require.True(t, errors.Is(step(t, &r, oneResult, second), ErrResultsMismatch))
	require.NoError(t, step(t, &r, Command{Kind: Cancel}, second))
	lines = append(lines, "last "+string(r.EndReason))
	r = paused(t)
	require.NoError(t, step(t, &r, Command{Kind: Expire}, 30*second))
	lines = append(lines, "last "+string(r.EndReason))
	golden.Bytes(t, "words.txt", fmt.Appendln(nil, strings.Join(lines, "\n")))
}
