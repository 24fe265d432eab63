package server

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/lab/emulator"
)

var parameters = emulator.Parameters{Slots: 4, Queue: 1, Memory: 20_000, Chunk: 1000, Step: 0.002, PrefillRate: 100_000,
	ColdSpeedFactor: 0.2, WarmUp: 5}

func start(t *testing.T, f emulator.Parameters) *Server {
	s, err := Start(Options{Name: "box-1", Listen: "127.0.0.1:0", Parameters: f, Seed: 1, MeanTokens: 12})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s
}

// send sends a chat request with the given trace id and body to the server, and reads the whole response.
func send(s *Server, id, body string) (status int, header http.Header, text string, err error) {
	r, err := http.NewRequest("POST", "http://"+s.Address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, "", err
	}
	r.Header.Set("X-Trace-Id", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(raw), err
}

// requestBody is the body of a chat request; the argument is the text of the system message.
const requestBody = `{"max_tokens":12,"messages":[{"role":"system","content":"%s"},` +
	`{"role":"user","content":"how many hours"}]}`

func TestResponsesAreStreamsWithUsageAndLoadReport(t *testing.T) {
	s := start(t, parameters)
	body := fmt.Sprintf(requestBody, strings.Repeat("word", 500))
	status, header, text, err := send(s, "a-1", body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "text/event-stream", header.Get("Content-Type"))
	require.Contains(t, text, `"finish_reason":"stop"`)
	require.Contains(t, text, `"cached_tokens":0`)
	require.Contains(t, text, "data: [DONE]\n\n: Endpoint-Load-Metrics: TEXT x0=")
	_, _, text, err = send(s, "a-2", body)
	require.NoError(t, err)
	require.Contains(t, text, `"prompt_tokens":504`)
	require.NotContains(t, text, `"cached_tokens":0`, "the prompt is cached")
	for wrong, want := range map[string]int{"": http.StatusNotFound, "b-1": http.StatusBadRequest} {
		status, _, _, err = send(s, wrong, `{"messages":[]}`)
		require.NoError(t, err)
		require.Equal(t, want, status)
	}
}

func TestBackendFailuresOverHTTP(t *testing.T) {
	s := start(t, parameters)
	body := fmt.Sprintf(requestBody, "short")
	s.Update(func(b *emulator.Backend, _ float64) { b.SetErrorShare(1) })
	status, _, _, err := send(s, "a", body)
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, status)
	s.Update(func(b *emulator.Backend, _ float64) { b.SetErrorShare(0); b.Drain() })
	status, header, _, err := send(s, "b", body)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", header.Get("X-Never-Ran"))
	s.Kill()
	_, _, _, err = send(s, "c", body)
	require.Error(t, err)
	s.Restart()
	require.Eventually(t, func() bool {
		status, _, _, err := send(s, "d", body)
		return err == nil && status == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond)
	doubles, _ := s.AttemptCounts()
	require.Zero(t, doubles)

	// A backend that is killed in the middle of a stream aborts the connection.
	s.Update(func(b *emulator.Backend, _ float64) { b.SetSlowdown(100) })
	result := make(chan error, 1)
	go func() {
		_, _, _, err := send(s, "e", body)
		result <- err
	}()
	require.Eventually(t, func() bool { return s.Load().Slots > 0 }, 10*time.Second, time.Millisecond)
	s.Kill()
	require.Error(t, <-result)
}

func TestFleetFileErrorsNameTheKey(t *testing.T) {
	example, err := os.ReadFile("../../../../deploy/lab/two-pools.toml")
	require.NoError(t, err)
	read := func(text string) error {
		path := filepath.Join(t.TempDir(), "fleet.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadFleet(path)
		return err
	}
	require.NoError(t, read(string(example)))
	for _, c := range []struct{ from, to, key string }{
		{"slots = 24", "slots = 0", "box[0].slots:"},
		{`name = "old-2"`, `name = "old-1"`, "box[1].name:"},
		{"read_per_s = 10000", "read_per_s = -1", "box[0].read_per_s:"},
		{"cold_share = 0.13", "cold_share = 2.0", "box[0].cold_share:"},
		{`do = "slow"`, `do = "sing"`, "event[0].do:"},
		{`boxes = ["new-1", "new-2"]`, `boxes = ["new-9"]`, "event[0].boxes:"},
		{"slots = 24", "slotz = 24", "box.slotz: unknown key"},
	} {
		require.Contains(t, string(example), c.from)
		require.ErrorContains(t, read(strings.Replace(string(example), c.from, c.to, 1)), c.key)
	}
}

// A group's parameters are drawn from its ranges; the same seed gives the same parameters.
func TestGroupsAreDrawnFromRanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := `seed = 3
[[group]]
name = "fast"
count = 9
address = "127.0.0.1:9100"
slots = [17, 32]
queue = 40
memory = [130000, 490000]
chunk = 2048
step = [0.010, 0.018]
per_sequence = [0.00005, 0.00035]
read_per_s = [8300, 30000]
`
	read := func(text string) (*Fleet, error) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return ReadFleet(path)
	}
	f, err := read(text)
	require.NoError(t, err)
	require.Len(t, f.Backends, 9)
	require.Equal(t, "fast-9", f.Backends[8].Name)
	require.Equal(t, "127.0.0.1:9108", f.Backends[8].Address)
	drawn := map[float64]bool{}
	for _, b := range f.Backends {
		require.True(t, b.Slots >= 17 && b.Slots <= 32 && b.Step >= 0.010 && b.Step <= 0.018, "%+v", b)
		drawn[b.Step] = true
	}
	require.Len(t, drawn, 9)
	again, err := read(text)
	require.NoError(t, err)
	require.Equal(t, f.Backends, again.Backends)
	for from, key := range map[string]string{"count = 9": "group[0].count:", "[17, 32]": "group.slots",
		":9100": "group[0].address:"} {
		to := map[string]string{"count = 9": "count = 0", "[17, 32]": "[32, 17]", ":9100": ":65530"}[from]
		_, err := read(strings.Replace(text, from, to, 1))
		require.ErrorContains(t, err, key)
	}
}

// Each wire fault shows the client what its name says, and ends when its share is set to 0.
func TestWireFaults(t *testing.T) {
	s := start(t, parameters)
	body := fmt.Sprintf(requestBody, "word")
	client := &http.Client{Timeout: 300 * time.Millisecond}
	once := func() (string, error) {
		r, err := http.NewRequest("POST", "http://"+s.Address+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("X-Trace-Id", "a")
		response, err := client.Do(r)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		raw, err := io.ReadAll(response.Body)
		return string(raw), err
	}
	for fault, check := range map[string]func(text string, err error){
		"reset":   func(_ string, err error) { require.ErrorContains(t, err, "reset") },
		"silence": func(_ string, err error) { require.ErrorContains(t, err, "deadline") },
		"garbage": func(text string, err error) { require.NoError(t, err); require.NotContains(t, text, "[DONE]") },
		"half":    func(text string, err error) { require.Error(t, err); require.Contains(t, text, "word") },
	} {
		require.NoError(t, (&RunningFleet{Servers: []*Server{s}}).Apply(fault, "1"))
		check(once())
		s.SetWireFault(fault, 0)
	}
	s.Update(func(_ *emulator.Backend, _ float64) {})
	text, err := once()
	require.NoError(t, err)
	require.Contains(t, text, "[DONE]")
}
