package daemon

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint/internal/testpeer"
)

// operatorFileWithConsole writes an operator's file that enables the console, and returns the file's path and the
// console's address.
func operatorFileWithConsole(t *testing.T, listen, backend string) (path, console string) {
	t.Helper()
	path = operatorFile(t, listen, backend)
	console = testpeer.FreeAddress(t)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append([]byte("console = \""+console+"\"\n"), raw...), 0o600))
	return path, console
}

// callConsole returns the status and the body of a response; the status is 0 if there is no response.
func callConsole(t *testing.T, console, method, target string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+console+target, nil)
	require.NoError(t, err)
	response, err := (&http.Client{Timeout: time.Second}).Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// consoleNode is a daemon with a console and one backend. The backend delays the end of its response to the request
// with the trace ID "held" until release is closed.
type consoleNode struct {
	t        *testing.T
	listen   string
	console  string
	logs     *observer.ObservedLogs
	exit     chan error
	release  chan struct{}
	received atomic.Int32 // requests that the backend has received
}

func startConsoleNode(t *testing.T) *consoleNode {
	t.Helper()
	n := &consoleNode{t: t, listen: testpeer.FreeAddress(t), exit: make(chan error, 1), release: make(chan struct{})}
	backend := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		n.received.Add(1)
		testpeer.WriteEvent(w, "x")
		if r.Header.Get("X-Trace-Id") == "held" {
			<-n.release
		}
		testpeer.WriteStreamEnd(w)
	})
	var path string
	path, n.console = operatorFileWithConsole(t, n.listen, backend)
	occupied, err := net.Listen("tcp", n.console)
	require.NoError(t, err)
	require.ErrorContains(t, Run(Options{ConfigFile: path, Log: zap.NewNop()}), "console: ",
		"the error for an address in use names its key in the operator's file")
	require.NoError(t, occupied.Close())
	core, logs := observer.New(zap.InfoLevel)
	n.logs = logs
	go func() { n.exit <- Run(Options{ConfigFile: path, Log: zap.New(core)}) }()
	n.eventually(func() bool { return n.status("GET", "/ops/readiness") == 200 })
	return n
}

func (n *consoleNode) status(method, target string) int {
	status, _ := callConsole(n.t, n.console, method, target)
	return status
}

func (n *consoleNode) statistics() string {
	status, text := callConsole(n.t, n.console, "GET", "/ops/stats")
	require.Equal(n.t, 200, status)
	return text
}

func (n *consoleNode) health() int {
	response, err := http.Get("http://" + n.listen + "/_health")
	require.NoError(n.t, err)
	require.NoError(n.t, response.Body.Close())
	return response.StatusCode
}

func (n *consoleNode) eventually(condition func() bool) {
	n.t.Helper()
	require.Eventually(n.t, condition, 5*time.Second, 5*time.Millisecond)
}

func (n *consoleNode) signal(s syscall.Signal) {
	n.t.Helper()
	require.NoError(n.t, syscall.Kill(os.Getpid(), s))
}

// drainAndResume checks that a manual drain can be requested repeatedly, ended, and begun again.
func (n *consoleNode) drainAndResume() {
	for range 2 {
		for range 2 {
			require.Equal(n.t, 200, n.status("POST", "/ops/drain/start"))
			require.Equal(n.t, 503, n.health())
			require.Equal(n.t, 503, n.status("GET", "/ops/readiness"))
		}
		for range 2 {
			require.Equal(n.t, 200, n.status("POST", "/ops/drain/stop"))
			require.Equal(n.t, 200, n.health())
		}
	}
}

// markDownAndUp checks that a request waits while the only backend is marked down, even across a reload that lists the
// backend as ready, and that it is sent once the backend is marked up.
func (n *consoleNode) markDownAndUp() {
	require.Equal(n.t, 200, n.status("POST", "/ops/engines/down?id=box-1"))
	answer := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(testpeer.ChatRequest(n.t, n.listen, "waits", "4900m"))
		if err != nil {
			answer <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		answer <- string(body)
	}()
	require.Eventually(n.t, func() bool {
		text := n.statistics()
		return strings.Contains(text, "app.inflight=2\n") && strings.Contains(text, "app.hosts_down=1\n")
	}, 2*time.Second, 5*time.Millisecond)
	n.signal(syscall.SIGHUP)
	n.eventually(func() bool { return n.logs.FilterMessage("configuration reloaded").Len() == 1 })
	require.EqualValues(n.t, 1, n.received.Load(), "the attempt in progress continues, and no new one is sent")
	require.Equal(n.t, 200, n.status("POST", "/ops/engines/up?id=box-1"))
	require.Contains(n.t, <-answer, "[DONE]")
	require.EqualValues(n.t, 2, n.received.Load())
}

// stopWhileDrained checks that a node that received SIGTERM stays drained, and serves the console until it exits.
func (n *consoleNode) stopWhileDrained() {
	require.Equal(n.t, 200, n.status("POST", "/ops/drain/start"))
	require.Equal(n.t, 503, n.health())
	n.signal(syscall.SIGTERM)
	n.eventually(func() bool { return n.status("POST", "/ops/drain/stop") == 409 })
	require.Equal(n.t, 200, n.status("POST", "/ops/drain/start"))
}

// TestConsoleOperations covers the console of a running daemon: readiness, statistics, manual drains, a backend that is
// marked down, and the shutdown.
func TestConsoleOperations(t *testing.T) {
	n := startConsoleNode(t)
	require.Equal(t, 200, n.health())
	n.drainAndResume()
	held, err := http.DefaultClient.Do(testpeer.ChatRequest(t, n.listen, "held", "3000m"))
	require.NoError(t, err)
	defer held.Body.Close()
	require.Contains(t, n.statistics(), "app.inflight=1\n")
	n.markDownAndUp()
	n.stopWhileDrained()
	close(n.release)
	body, err := io.ReadAll(held.Body)
	require.NoError(t, err)
	require.True(t, strings.Contains(string(body), "[DONE]"))
	require.NoError(t, <-n.exit)
	require.Zero(t, n.status("GET", "/ops/readiness"), "the console is closed")
}
