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

const migrationTestHead = `listen = %q
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
`

const (
	oldPool = "[[pool]]\nname = \"old\"\nselect = 'version == \"v1\"'\n"
	newPool = "[[pool]]\nname = \"new\"\nselect = 'version == \"v2\"'\n"
)

// migrationTest is a daemon with two pools of two backends each. Its methods run clients and operator commands.
type migrationTest struct {
	t        *testing.T
	listen   string
	path     string     // the operator's file
	head     string     // the part of the operator's file before the pools
	backends string     // its part with the backends
	exit     chan error // the result of the daemon

	failing atomic.Bool // the new pool's backends fail

	mu    sync.Mutex           // guards count and last
	count map[string]int       // of requests, by backend
	last  map[string]time.Time // when each backend got its last request
}

func startMigrationTest(t *testing.T) *migrationTest {
	t.Helper()
	m := &migrationTest{
		t:      t,
		listen: testpeer.FreeAddress(t),
		path:   filepath.Join(t.TempDir(), "operator.toml"),
		exit:   make(chan error, 1),
		count:  map[string]int{},
		last:   map[string]time.Time{},
	}
	for _, name := range []string{"old-1", "old-2", "new-1", "new-2"} {
		version := map[byte]string{'o': "v1", 'n': "v2"}[name[0]]
		m.backends += fmt.Sprintf("[[real_server]]\nname = %q\naddress = %q\nlabels = { version = %q }\n",
			name, m.backend(name), version)
	}
	m.head = fmt.Sprintf(migrationTestHead, m.listen)
	m.write(m.head + oldPool + newPool + m.backends)
	go func() { m.exit <- daemon.Run(daemon.Options{ConfigFile: m.path, Log: zap.NewNop()}) }()
	require.Eventually(t, func() bool { _, code := m.command("move", "status"); return code == OK },
		20*time.Second, 20*time.Millisecond)
	return m
}

// backend starts a backend that records its requests, and returns its address.
func (m *migrationTest) backend(name string) string {
	return testpeer.StartBackend(m.t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		m.mu.Lock()
		m.last[name] = time.Now()
		m.count[name]++
		m.mu.Unlock()
		if strings.HasPrefix(name, "new") && m.failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		testpeer.WriteEvent(w, name)
		testpeer.WriteStreamEnd(w)
	})
}

// requests returns the number of requests that a backend has got, and when it got the last.
func (m *migrationTest) requests(name string) (int, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count[name], m.last[name]
}

func (m *migrationTest) write(text string) {
	m.t.Helper()
	require.NoError(m.t, os.WriteFile(m.path, []byte(text), 0o600))
}

func (m *migrationTest) signal(s syscall.Signal) {
	m.t.Helper()
	require.NoError(m.t, syscall.Kill(os.Getpid(), s))
}

// command runs a command line and returns its output and its exit code.
func (m *migrationTest) command(args ...string) (string, int) {
	var out, errs bytes.Buffer
	code := Main(m.t.Context(), append(args, "--config", m.path), Streams{Out: &out, Err: &errs})
	return out.String() + errs.String(), code
}

// requireCommand runs a command line that must end with this exit code and print these texts.
func (m *migrationTest) requireCommand(code int, args []string, texts ...string) {
	m.t.Helper()
	printed, got := m.command(args...)
	require.Equal(m.t, code, got, printed)
	for _, text := range texts {
		require.Contains(m.t, printed, text)
	}
}

func (m *migrationTest) status() (s controller.Status) {
	m.t.Helper()
	text, code := m.command("move", "status", "-o", "json")
	require.Zero(m.t, code, text)
	require.NoError(m.t, json.Unmarshal([]byte(text), &s))
	return s
}

// migrationClients is a group of clients that send requests until they are stopped.
type migrationClients struct {
	running sync.WaitGroup
	cancel  context.CancelFunc
	sent    atomic.Int64
	served  atomic.Int64
}

func (m *migrationTest) startClients(count int) *migrationClients {
	ctx, cancel := context.WithCancel(m.t.Context())
	clients := &migrationClients{cancel: cancel}
	for client := range count {
		clients.running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				clients.sendRequest(m.listen, client, i)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return clients
}

// sendRequest sends one request and waits for the end of the response. It counts the request as served if the response
// is complete.
func (c *migrationClients) sendRequest(listen string, client, number int) {
	r, err := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader(`{"messages":[]}`))
	if err != nil {
		return
	}
	r.Header.Set("X-Trace-Id", fmt.Sprintf("c%d-%d", client, number))
	r.Header.Set("X-Qos", "chat")
	r.Header.Set("X-Expires-In", "4000m")
	r.Header.Set("X-Object", fmt.Sprintf("%016x", client*1_000_000+number+1))
	c.sent.Add(1)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err == nil && strings.Contains(string(body), "[DONE]") {
		c.served.Add(1)
	}
}

func (c *migrationClients) stop() {
	c.cancel()
	c.running.Wait()
}

// startMigration starts a migration and waits for its first step. Before that it checks the commands that need no
// migration; a second start is rejected.
func (m *migrationTest) startMigration() {
	first, _ := m.requests("new-1")
	second, _ := m.requests("new-2")
	require.Zero(m.t, first+second, "the new pool has no requests before the migration")
	m.requireCommand(OK, []string{"entries", "list"}, "old-1")
	m.requireCommand(OK, []string{"entries", "explain", "new-2"}, "the operator's file")
	m.requireCommand(Failed, []string{"entries", "explain", "new-9"})
	m.requireCommand(OK, []string{"pools"}, "new-2")
	m.requireCommand(InvalidUsage, []string{"move", "start", "--to", "newer"},
		`to: "newer" is no pool; there are: old, new`)
	m.requireCommand(OK, []string{"move", "start", "--to", "new", "--note", "build 118"})
	m.requireCommand(Rejected, []string{"move", "start", "--to", "new"})
	require.Eventually(m.t, func() bool { return m.status().Migration.Step == 1 }, 60*time.Second, 50*time.Millisecond)
}

// reloadDuringMigration reloads a file without the new pool, which is rejected, and then one in which a backend of the
// new pool drains, which is applied: later than 500 ms after that the backend gets no request.
func (m *migrationTest) reloadDuringMigration() {
	m.write(m.head + oldPool + m.backends)
	m.signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	draining := strings.Replace(m.backends, "name = \"new-1\"", "name = \"new-1\"\ndraining = true", 1)
	m.write(m.head + oldPool + newPool + draining)
	m.signal(syscall.SIGHUP)
	require.Eventually(m.t, func() bool { text, _ := m.command("pools"); return strings.Contains(text, "draining") },
		10*time.Second, 20*time.Millisecond)
	applied := time.Now()
	time.Sleep(time.Second)
	_, last := m.requests("new-1")
	require.Less(m.t, last.Sub(applied), 500*time.Millisecond)
}

// failNewPool has the backends of the new pool fail. The migration is reverted, and the pool gets no more requests.
func (m *migrationTest) failNewPool() {
	m.failing.Store(true)
	m.requireCommand(MigrationReverted, []string{"move", "watch"}, "returning")
	require.Zero(m.t, m.status().Migration.Shares.Share)
	m.requireCommand(OK, []string{"move", "history"}, "undone")
	before, _ := m.requests("new-2")
	time.Sleep(time.Second)
	after, _ := m.requests("new-2")
	require.Equal(m.t, before, after, "requests sent to the new pool after the migration was reverted")
}

// TestMigration covers a migration with a complete daemon, run by operator commands: traffic moves to the new pool
// until its backends fail, then all of it returns to the old pool.
func TestMigration(t *testing.T) {
	m := startMigrationTest(t)
	clients := m.startClients(6)
	time.Sleep(300 * time.Millisecond)
	m.startMigration()
	m.reloadDuringMigration()
	m.failNewPool()
	clients.stop()
	require.GreaterOrEqual(t, float64(clients.served.Load()), 0.97*float64(clients.sent.Load()),
		"of %d", clients.sent.Load())
	m.signal(syscall.SIGTERM)
	require.NoError(t, <-m.exit)
}
