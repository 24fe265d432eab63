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

func roundTrip[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden.RoundTrip(t, name, value, func(v T) ([]byte, error) { return json.Marshal(v) }, func(raw []byte) (v T, err error) {
		return v, json.Unmarshal(raw, &v)
	})
}

// What a session needs to go on, as it stands on record, packed and plain; the leader's answer; and what a node shows.
func TestGoldenFormats(t *testing.T) {
	s := start(t, 1, nil).nodes[0]
	k := continuation{Body: json.RawMessage(`{"messages":[]}`), Class: 1, Tenant: 2, Session: 3, Prefix: 4, PrefixTokens: 5, MaxTokens: 6, Backend: "box", BackendStart: 7, PromptTokens: 8, ProducedTokens: 9, Parts: 10, MaxResultBytes: 11}
	roundTrip(t, "kept.json", k)
	golden.RoundTrip(t, "kept.zst", k, s.encode, s.decode)
	roundTrip(t, "reply.json", reply{Record: &session.Record{ID: "one", Turn: 2, State: session.Paused, FencingToken: 3, Deadline: 4, ToolDeadline: 5, Tenant: 6, Owner: session.Owner{Slot: "a", Incarnation: 7},
		ClaimID: "q", Calls: []session.ToolCall{{ID: "c", Name: "hours"}}, Data: []byte("packed"), EndReason: "served"}, Code: "used", Text: "a text"})
	roundTrip(t, "status.json", Status{Paused: 1, Resumed: 2, Rejected: 3, Unrecorded: 4, InFlight: 5, PausedHere: 6, Records: 7})
}

// Faults by the names and with the texts and statuses that others get.
func TestGoldenFaults(t *testing.T) {
	w := start(t, 2, nil)
	s := w.nodes[0]
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(errorsByCode)) {
		f := s.requestError(errorsByCode[name])
		lines = append(lines, fmt.Sprintf("%s: %d %q %v", name, f.Status, f.Message, f.RetryAfter))
	}
	add := func(f *RequestError) {
		t.Helper()
		require.NotNil(t, f)
		lines = append(lines, fmt.Sprintf("%d %q %v", f.Status, f.Message, f.RetryAfter))
	}
	k := pause(t, w, 0, "hours")
	resume := func(key string, tenant int, body string) {
		t.Helper()
		_, f := s.Resume(t.Context(), key, "q", tenant, []byte(body))
		add(f)
	}
	resume("spoilt", 2, "{}")
	resume(k, 2, "{")
	resume(k, 2, `{"messages":[{"role":"user","content":"x"}]}`)
	resume(k, 2, `{"messages":[]}`)
	resume(k, 1, string(answers("c0")))
	resume(k, 2, strings.Replace(string(answers("c0")), "Aidar", strings.Repeat("x", 200), 1))
	w.cut.Store(true)
	resume(k, 2, string(answers("c0")))
	add(s.Cancel(t.Context(), k))
	w.cut.Store(false)
	s.MaxConcurrentResumes = 0
	resume(k, 2, string(answers("c0")))
	golden.Bytes(t, "faults.txt", []byte(strings.Join(lines, "\n")+"\n"))
}

// The key of a record, and what a client's stream gets at a pause, at a call that may not be made, and where no key can be given.
func TestGoldenStream(t *testing.T) {
	w := start(t, 1, nil)
	h := w.hook(0)
	var out []string
	pass, _ := h.Event([]byte(says("the crew is ") + calls("hours")))
	last, _ := h.Stopped()
	k := key(last)
	require.NotEmpty(t, k)
	id, turn, err := session.ParseResumeKey(k)
	require.NoError(t, err)
	require.Equal(t, 1, turn)
	require.Equal(t, []string{"session/" + id}, w.keys.List(""))
	record, _, err := read(w.keys, id)
	require.NoError(t, err)
	decoded, err := w.nodes[0].decode(record.Data)
	require.NoError(t, err)
	text := strings.ReplaceAll(string(last), k, "KEY")
	before, rest, ok := strings.Cut(text, `"within_ms":`)
	require.True(t, ok)
	out = append(out, string(pass), before+`"within_ms":N`+strings.TrimLeft(rest, "0123456789"), string(decoded.Body))
	h = w.hook(0)
	pass, _ = h.Event([]byte(calls("pay")))
	last, _ = h.Stopped()
	out = append(out, string(pass), string(last))
	w.cut.Store(true)
	h = w.hook(0)
	_, _ = h.Event([]byte(calls("hours")))
	last, _ = h.Stopped()
	out = append(out, string(last))
	golden.Bytes(t, "stream.txt", []byte(strings.Join(out, "----\n")+"\n"))
	require.Equal(t, 30*time.Second, w.nodes[0].tool("hours").ResultTimeout)
}
