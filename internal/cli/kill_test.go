package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// build makes the program as operators have it.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "standpoint")
	out, err := exec.Command("go", "build", "-o", program, "standpoint/cmd/standpoint").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// victim is a node as a process, with its store on disk.
type victim struct {
	t             *testing.T
	program, file string
	url           string
	running       *exec.Cmd
}

func newVictim(t *testing.T, box, lineTime string) *victim {
	v := &victim{t: t, program: build(t), file: filepath.Join(t.TempDir(), "node.toml"), url: "http://" +
		testpeer.FreeAddress(t)}
	require.NoError(t, os.WriteFile(v.file, []byte(fmt.Sprintf(`listen = %q
[log]
level = "error"
[[class]]
name = "chat"
first_token = "5s"
give_up = "20s"
worth = 1.0
[[real_server]]
name = "box"
address = %q
[batch]
enabled = true
line_time = %q
[batch.defaults]
class = "chat"
[store]
kind = "raft"
id = "a"
dir = "state"
heartbeat = "100ms"
[[store.member]]
id = "a"
address = %q
`, strings.TrimPrefix(v.url, "http://"), box, lineTime, testpeer.FreeAddress(t))), 0o600))
	v.start()
	t.Cleanup(v.kill)
	return v
}

// start starts it and waits until it serves and its store may be written.
func (v *victim) start() {
	v.running = exec.Command(v.program, "serve", "--config", v.file)
	v.running.Stderr = os.Stderr
	require.NoError(v.t, v.running.Start())
	require.Eventually(v.t, func() bool {
		status, _ := v.call("POST", "/v1/batches", "application/json", strings.NewReader("{}"))
		return status == http.StatusBadRequest
	}, 30*time.Second, 10*time.Millisecond)
}

func (v *victim) kill() {
	_ = v.running.Process.Kill()
	_ = v.running.Wait()
}

// call asks once; status 0: no answer.
func (v *victim) call(method, path, kind string, body io.Reader) (int, string) {
	r, err := http.NewRequest(method, v.url+path, body)
	require.NoError(v.t, err)
	r.Header.Set("Content-Type", kind)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(raw)
}

func (v *victim) upload(content string) (id string, ok bool) {
	kind, body := testpeer.BatchUpload(content)
	status, said := v.call("POST", "/v1/files", kind, body)
	var file struct{ ID string }
	ok = status == http.StatusOK && json.Unmarshal([]byte(said), &file) == nil
	return file.ID, ok
}

func (v *victim) chat(ctx context.Context, trace string) (*http.Response, error) {
	return http.DefaultClient.Do(testpeer.ChatRequest(v.t, strings.TrimPrefix(v.url, "http://"), trace,
		"15000m").WithContext(ctx))
}

// A node is killed while a request waits at a box, a stream is passed on, and lines of a batch are out. What it held
// is the client's to ask again, and ends at the box; what its store had acknowledged holds after the restart: the
// file, the batch, and that no line is sent again before the time until which it was out.
func TestKilledInTheMiddle(t *testing.T) {
	t.Parallel()
	const lineTime = 3 * time.Second
	ledger := testpeer.NewAttemptCounter()
	var healthy atomic.Bool
	var mu sync.Mutex
	sent := map[string][]time.Time{}
	came, ended := make(chan string, 100), make(chan string, 100)
	box := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Messages []struct{ Content string } }
		_ = json.NewDecoder(r.Body).Decode(&body)
		_, _ = io.Copy(io.Discard, r.Body)
		name := body.Messages[0].Content
		ledger.Begin(name)
		mu.Lock()
		sent[name] = append(sent[name], time.Now())
		mu.Unlock()
		if healthy.Load() {
			testpeer.WriteEvent(w, "answer to "+name)
			testpeer.WriteStreamEnd(w)
			ledger.End(name, true)
			return
		}
		if name == "stream" {
			testpeer.WriteEvent(w, "begun")
		}
		came <- name
		<-r.Context().Done()
		ledger.End(name, false)
		ended <- name
	})
	v := newVictim(t, box, lineTime.String())
	var content strings.Builder
	for i := range 3 {
		fmt.Fprintf(&content,
			`{"custom_id":"c%d","method":"POST","url":"/v1/chat/completions","body":{"messages":[{"role":"user","content":"line %d"}]}}`+"\n", i, i)
	}
	file, ok := v.upload(content.String())
	require.True(t, ok)
	status, said := v.call("POST", "/v1/batches", "application/json",
		strings.NewReader(fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"1h"}`, file)))
	require.Equal(t, http.StatusOK, status, said)
	var b struct {
		ID, Status   string
		OutputFileID string `json:"output_file_id"`
	}
	require.NoError(t, json.Unmarshal([]byte(said), &b))
	stream, err := v.chat(t.Context(), "stream")
	require.NoError(t, err)
	defer stream.Body.Close()
	waits := make(chan error, 1)
	go func() {
		response, err := v.chat(t.Context(), "waits")
		if err == nil {
			response.Body.Close()
		}
		waits <- err
	}()
	for range 5 { // three lines, the stream, and the one that waits
		<-came
	}
	v.kill()
	healthy.Store(true)
	for range 5 { // at the box too
		<-ended
	}
	require.Error(t, <-waits)
	half, err := io.ReadAll(stream.Body)
	require.Error(t, err, "no last chunk")
	require.Contains(t, string(half), "begun")
	v.start()
	_, back := v.call("GET", "/v1/files/"+file+"/content", "", nil)
	require.Equal(t, content.String(), back)
	require.Eventually(t, func() bool {
		_, said = v.call("GET", "/v1/batches/"+b.ID, "", nil)
		return json.Unmarshal([]byte(said), &b) == nil && b.Status == "completed"
	}, 30*time.Second, 20*time.Millisecond, said)
	_, output := v.call("GET", "/v1/files/"+b.OutputFileID+"/content", "", nil)
	require.Equal(t, 3, strings.Count(output, "answer to line"))
	mu.Lock()
	defer mu.Unlock()
	for i := range 3 {
		at := sent[fmt.Sprintf("line %d", i)]
		require.Len(t, at, 2)
		require.Greater(t, at[1].Sub(at[0]), lineTime*9/10, "the store had it out until then")
	}
	require.Len(t, sent["waits"], 1, "a killed node owes nothing that it held; its client asks again")
	require.Equal(t, 1, ledger.MaximumInFlight())
}

// A node is killed again and again in the middle of uploads. What it had acknowledged is there and whole; of the others
// nothing can be seen that is not whole.
func TestKilledInTheMiddleOfUploads(t *testing.T) {
	t.Parallel()
	v := newVictim(t, testpeer.FreeAddress(t), "3s")
	rng := rand.New(rand.NewPCG(1, 2))
	given := map[string]bool{}
	kept := map[string]string{}
	for round := range 4 {
		after := time.Duration(rng.IntN(150)) * time.Millisecond // a kill at any moment is what is tested
		killed := make(chan struct{})
		time.AfterFunc(after, func() { v.kill(); close(killed) })
		for i := range 1000 {
			content := fmt.Sprintf("%d %d %s\n", round, i, strings.Repeat("x", rng.IntN(900<<10)))
			given[content] = true
			id, ok := v.upload(content)
			if !ok {
				break
			}
			kept[id] = content
		}
		<-killed
		v.start()
		for id, content := range kept {
			_, back := v.call("GET", "/v1/files/"+id+"/content", "", nil)
			require.True(t, content == back, "round %d: %s of %d bytes came back with %d", round, id, len(content),
				len(back))
		}
	}
	_, said := v.call("GET", "/v1/files?limit=100", "", nil)
	var all struct{ Data []struct{ ID string } }
	require.NoError(t, json.Unmarshal([]byte(said), &all))
	for _, file := range all.Data {
		_, back := v.call("GET", "/v1/files/"+file.ID+"/content", "", nil)
		require.True(t, given[back], "%s is none of those that were given", file.ID)
	}
}
