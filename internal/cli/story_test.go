package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/daemon"
	"standpoint/internal/migration/controller"
	"standpoint/internal/testpeer"
)

// A move on the whole daemon, by the commands that an operator gives: traffic moves, the new boxes begin to fail, all
// of it goes back; meanwhile SIGHUP may not take a pool away, and a box that drains gets nothing new.
func TestMove(t *testing.T) {
	var failing atomic.Bool
	var mu sync.Mutex
	last := map[string]time.Time{}
	count := map[string]int{}
	server := func(name string) string {
		return testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			last[name] = time.Now()
			count[name]++
			mu.Unlock()
			if strings.HasPrefix(name, "new") && failing.Load() {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			testpeer.Event(w, name)
			testpeer.Finish(w)
		})
	}
	listen := testpeer.FreeAddress(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "operator.toml")
	boxes := ""
	for _, name := range []string{"old-1", "old-2", "new-1", "new-2"} {
		version := map[byte]string{'o': "v1", 'n': "v2"}[name[0]]
		boxes += fmt.Sprintf("[[real_server]]\nname = %q\naddress = %q\nlabels = { version = %q }\n", name, server(name), version)
	}
	head := fmt.Sprintf(`listen = %q
[control]
listen = "unix:c.sock"
[module]
resume = true
[move]
warm = "1s"
hold = "4s"
samples = 10
steps = [0.3, 0.6, 1.0]
[[class]]
name = "chat"
first_token = "2s"
give_up = "5s"
worth = 1.0
`, listen)
	pools := "[[pool]]\nname = \"old\"\nselect = 'version == \"v1\"'\n[[pool]]\nname = \"new\"\nselect = 'version == \"v2\"'\n"
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(head + pools + boxes)
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(daemon.Options{ConfigFile: path, Log: zap.NewNop()}) }()
	command := func(args ...string) (string, int) {
		var out, errs bytes.Buffer
		code := Main(t.Context(), append(args, "--config", path), Streams{Out: &out, Err: &errs})
		return out.String() + errs.String(), code
	}
	status := func() (s controller.Status) {
		text, code := command("move", "status", "-o", "json")
		require.Zero(t, code, text)
		require.NoError(t, json.Unmarshal([]byte(text), &s))
		return s
	}
	require.Eventually(t, func() bool { _, code := command("move", "status"); return code == 0 }, 20*time.Second, 20*time.Millisecond)

	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var asked, served atomic.Int64
	for c := range 6 {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				r, err := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader(`{"messages":[]}`))
				if err != nil {
					return
				}
				for k, v := range map[string]string{"X-Trace-Id": fmt.Sprintf("c%d-%d", c, i), "X-Qos": "chat", "X-Expires-In": "4000m",
					"X-Object": fmt.Sprintf("%016x", c*1_000_000+i+1)} {
					r.Header.Set(k, v)
				}
				asked.Add(1)
				if response, err := http.DefaultClient.Do(r); err == nil {
					if body, err := io.ReadAll(response.Body); err == nil && strings.Contains(string(body), "[DONE]") {
						served.Add(1)
					}
					response.Body.Close()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	require.Zero(t, count["new-1"]+count["new-2"], "before a move the first pool has all")
	mu.Unlock()

	text, code := command("entries", "list")
	require.Zero(t, code, text)
	require.Contains(t, text, "old-1")
	text, code = command("entries", "explain", "new-2")
	require.Zero(t, code, text)
	require.Contains(t, text, "the operator's file")
	text, code = command("entries", "explain", "new-9")
	require.Equal(t, Failed, code, text)
	text, code = command("pools")
	require.Zero(t, code, text)
	require.Contains(t, text, "new-2")
	text, code = command("move", "start", "--to", "newer")
	require.Equal(t, InvalidUsage, code, text)
	require.Contains(t, text, `to: "newer" is no pool; there are: old, new`)
	text, code = command("move", "start", "--to", "new", "--note", "build 118")
	require.Zero(t, code, text)
	text, code = command("move", "start", "--to", "new")
	require.Equal(t, Rejected, code, text)
	require.Eventually(t, func() bool { return status().Migration.Step == 1 }, 60*time.Second, 50*time.Millisecond)

	// A file without the new pool is refused while the move runs.
	write(head + pools[:strings.LastIndex(pools, "[[pool]]")] + boxes)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	// One in which a box drains is taken on; nothing new goes there 500 ms later.
	time.Sleep(200 * time.Millisecond)
	write(head + pools + strings.Replace(boxes, "name = \"new-1\"", "name = \"new-1\"\ndraining = true", 1))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	told := time.Now()
	require.Eventually(t, func() bool { text, _ := command("pools"); return strings.Contains(text, "draining") }, 10*time.Second, 20*time.Millisecond)
	known := time.Now()
	time.Sleep(time.Second)
	mu.Lock()
	require.Less(t, last["new-1"].Sub(told), known.Sub(told)+500*time.Millisecond)
	mu.Unlock()

	failing.Store(true)
	text, code = command("move", "watch")
	require.Equal(t, MigrationReverted, code, text)
	require.Contains(t, text, "returning")
	require.Zero(t, status().Migration.Shares.Share)
	text, code = command("move", "history")
	require.Zero(t, code, text)
	require.Contains(t, text, "undone")
	mu.Lock()
	before := count["new-2"]
	mu.Unlock()
	time.Sleep(time.Second)
	mu.Lock()
	require.Equal(t, before, count["new-2"], "nothing goes to the new pool any more")
	mu.Unlock()
	cancel()
	clients.Wait()
	require.GreaterOrEqual(t, float64(served.Load()), 0.97*float64(asked.Load()), "of %d", asked.Load())
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-ended)
}
