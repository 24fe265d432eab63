package service

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/fleet/session"
	"standpoint/internal/testpeer/golden"
)

// The encodings of a continuation, compressed and plain, of the leader's reply and of a node's status do not change:
// other versions and clients read them.
func TestGoldenFormats(t *testing.T) {
	service := newCluster(t, 1, nil).nodes[0]
	next := continuation{
		Body:           json.RawMessage(`{"messages":[]}`),
		Class:          1,
		Tenant:         2,
		Session:        3,
		Prefix:         4,
		PrefixTokens:   5,
		MaxTokens:      6,
		Backend:        "box",
		BackendStart:   7,
		PromptTokens:   8,
		ProducedTokens: 9,
		PauseCount:     10,
		MaxResultBytes: 11,
	}
	golden.JSON(t, "kept.json", next)
	golden.RoundTrip(t, "kept.zst", next, service.encode, service.decode)
	golden.JSON(t, "reply.json", reply{
		Record: &session.Record{
			ID:           "one",
			Turn:         2,
			State:        session.Paused,
			FencingToken: 3,
			Deadline:     4,
			ToolDeadline: 5,
			Tenant:       6,
			Owner:        session.Owner{Slot: "a", Incarnation: 7},
			ClaimID:      "q",
			Calls:        []session.ToolCall{{ID: "c", Name: "hours"}},
			Data:         []byte("packed"),
			EndReason:    "served",
		},
		Code: "used",
		Text: "a text",
	})
	golden.JSON(t, "status.json", Status{
		Paused:     1,
		Resumed:    2,
		Rejected:   3,
		Unrecorded: 4,
		InFlight:   5,
		PausedHere: 6,
		Records:    7,
	})
}

// The codes of errors between nodes, and the statuses, texts and retry delays that clients get.
func TestGoldenRequestErrors(t *testing.T) {
	c := newCluster(t, 2, nil)
	s := c.nodes[0]
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(errorsByCode)) {
		rejection := newRequestError(errorsByCode[name])
		lines = append(lines,
			fmt.Sprintf("%s: %d %q %v", name, rejection.Status, rejection.Message, rejection.RetryAfter))
	}
	add := func(rejection *RequestError) {
		t.Helper()
		require.NotNil(t, rejection)
		lines = append(lines, fmt.Sprintf("%d %q %v", rejection.Status, rejection.Message, rejection.RetryAfter))
	}
	key := c.pause(t, 0, "hours")
	resume := func(resumeKey string, tenant int, body string) {
		t.Helper()
		_, rejection := s.Resume(t.Context(), resumeKey, "q", tenant, []byte(body))
		add(rejection)
	}
	resume("spoilt", 2, "{}")
	resume(key, 2, "{")
	resume(key, 2, `{"messages":[{"role":"user","content":"x"}]}`)
	resume(key, 2, `{"messages":[]}`)
	resume(key, 1, string(resultsFor("c0")))
	resume(key, 2, strings.Replace(string(resultsFor("c0")), "Aidar", strings.Repeat("x", 200), 1))
	c.leaderless.Store(true)
	resume(key, 2, string(resultsFor("c0")))
	add(s.Cancel(t.Context(), key))
	c.leaderless.Store(false)
	s.MaxConcurrentResumes = 0
	resume(key, 2, string(resultsFor("c0")))
	golden.Bytes(t, "faults.txt", []byte(strings.Join(lines, "\n")+"\n"))
}

// The store key of a record, and the events that a client gets at a pause, at a rejected call, and if no resume key can
// be given.
func TestGoldenStream(t *testing.T) {
	c := newCluster(t, 1, nil)
	h := c.hook(0)
	var out []string
	pass, _ := h.Event([]byte(contentEvent("the crew is ") + callEvents("hours")))
	last, _, err := h.Stopped()
	require.NoError(t, err)
	key := resumeKeyIn(last)
	require.NotEmpty(t, key)
	id, turn, err := session.ParseResumeKey(key)
	require.NoError(t, err)
	require.Equal(t, 1, turn)
	require.Equal(t, []string{"session/" + id}, c.store.List(""))
	record, _, err := readRecord(c.store, id)
	require.NoError(t, err)
	decoded, err := c.nodes[0].decode(record.Data)
	require.NoError(t, err)
	text := strings.ReplaceAll(string(last), key, "KEY")
	before, rest, ok := strings.Cut(text, `"within_ms":`)
	require.True(t, ok)
	out = append(out, string(pass), before+`"within_ms":N`+strings.TrimLeft(rest, "0123456789"), string(decoded.Body))
	h = c.hook(0)
	pass, _ = h.Event([]byte(callEvents("pay")))
	last, _, err = h.Stopped()
	require.NoError(t, err)
	out = append(out, string(pass), string(last))
	c.leaderless.Store(true)
	h = c.hook(0)
	_, _ = h.Event([]byte(callEvents("hours")))
	last, _, err = h.Stopped()
	require.NoError(t, err)
	out = append(out, string(last))
	golden.Bytes(t, "stream.txt", []byte(strings.Join(out, "----\n")+"\n"))
	require.Equal(t, 30*time.Second, c.nodes[0].tool("hours").ResultTimeout)
}
