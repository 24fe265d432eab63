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

// What a session is resumed with, as its record holds it, compressed and plain; the leader's answer; and what a node
// shows.
func TestGoldenFormats(t *testing.T) {
	s := newCluster(t, 1, nil).nodes[0]
	k := continuation{
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
		Parts:          10,
		MaxResultBytes: 11,
	}
	golden.JSON(t, "kept.json", k)
	golden.RoundTrip(t, "kept.zst", k, s.encode, s.decode)
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

// Faults by the names and with the texts and statuses that others get.
func TestGoldenFaults(t *testing.T) {
	c := newCluster(t, 2, nil)
	s := c.nodes[0]
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(errorsByCode)) {
		f := newRequestError(errorsByCode[name])
		lines = append(lines, fmt.Sprintf("%s: %d %q %v", name, f.Status, f.Message, f.RetryAfter))
	}
	add := func(f *RequestError) {
		t.Helper()
		require.NotNil(t, f)
		lines = append(lines, fmt.Sprintf("%d %q %v", f.Status, f.Message, f.RetryAfter))
	}
	k := c.pause(t, 0, "hours")
	resume := func(key string, tenant int, body string) {
		t.Helper()
		_, f := s.Resume(t.Context(), key, "q", tenant, []byte(body))
		add(f)
	}
	resume("spoilt", 2, "{}")
	resume(k, 2, "{")
	resume(k, 2, `{"messages":[{"role":"user","content":"x"}]}`)
	resume(k, 2, `{"messages":[]}`)
	resume(k, 1, string(resultsFor("c0")))
	resume(k, 2, strings.Replace(string(resultsFor("c0")), "Aidar", strings.Repeat("x", 200), 1))
	c.leaderless.Store(true)
	resume(k, 2, string(resultsFor("c0")))
	add(s.Cancel(t.Context(), k))
	c.leaderless.Store(false)
	s.MaxConcurrentResumes = 0
	resume(k, 2, string(resultsFor("c0")))
	golden.Bytes(t, "faults.txt", []byte(strings.Join(lines, "\n")+"\n"))
}

// The key of a record, and what a client's stream gets at a pause, at a call that may not be made, and where no key
// can be given.
func TestGoldenStream(t *testing.T) {
	c := newCluster(t, 1, nil)
	h := c.hook(0)
	var out []string
	pass, _ := h.Event([]byte(contentEvent("the crew is ") + callEvents("hours")))
	last, _ := h.Stopped()
	k := resumeKeyIn(last)
	require.NotEmpty(t, k)
	id, turn, err := session.ParseResumeKey(k)
	require.NoError(t, err)
	require.Equal(t, 1, turn)
	require.Equal(t, []string{"session/" + id}, c.store.List(""))
	record, _, err := readRecord(c.store, id)
	require.NoError(t, err)
	decoded, err := c.nodes[0].decode(record.Data)
	require.NoError(t, err)
	text := strings.ReplaceAll(string(last), k, "KEY")
	before, rest, ok := strings.Cut(text, `"within_ms":`)
	require.True(t, ok)
	out = append(out, string(pass), before+`"within_ms":N`+strings.TrimLeft(rest, "0123456789"), string(decoded.Body))
	h = c.hook(0)
	pass, _ = h.Event([]byte(callEvents("pay")))
	last, _ = h.Stopped()
	out = append(out, string(pass), string(last))
	c.leaderless.Store(true)
	h = c.hook(0)
	_, _ = h.Event([]byte(callEvents("hours")))
	last, _ = h.Stopped()
	out = append(out, string(last))
	golden.Bytes(t, "stream.txt", []byte(strings.Join(out, "----\n")+"\n"))
	require.Equal(t, 30*time.Second, c.nodes[0].tool("hours").ResultTimeout)
}
