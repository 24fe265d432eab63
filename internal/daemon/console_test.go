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

// withConsole returns an operator's file with a console, and the console's address.
func withConsole(t *testing.T, listen, server string) (path, console string) {
	t.Helper()
	path = operatorFile(t, listen, server)
	console = testpeer.FreeAddress(t)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append([]byte("console = \""+console+"\"\n"), raw...), 0o600))
	return path, console
}

// callConsole returns the status and text of an answer; status 0 where there is none.
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

// operatedNode is a daemon with a console, before one backend that holds the answer to the request "held" back until
// release is closed.
type operatedNode struct {
	t       *testing.T
	listen  string
	console string
	logs    *observer.ObservedLogs
	exit    chan error
	release chan struct{}
	sent    atomic.Int32 // requests that the backend got
}

func startOperatedNode(t *testing.T) *operatedNode {
	t.Helper()
	n := &operatedNode{t: t, listen: testpeer.FreeAddress(t), exit: make(chan error, 1), release: make(chan struct{})}
	server := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		n.sent.Add(1)
		testpeer.WriteEvent(w, "x")
		if r.Header.Get("X-Trace-Id") == "held" {
			<-n.release
		}
		testpeer.WriteStreamEnd(w)
	})
	var path string
	path, n.console = withConsole(t, n.listen, server)
	taken, err := net.Listen("tcp", n.console)
	require.NoError(t, err)
	require.ErrorContains(t, Run(Options{ConfigFile: path, Log: zap.NewNop()}), "console: ",
		"an address in use is named")
	require.NoError(t, taken.Close())
	core, logs := observer.New(zap.InfoLevel)
	n.logs = logs
	go func() { n.exit <- Run(Options{ConfigFile: path, Log: zap.New(core)}) }()
	n.eventually(func() bool { return n.status("GET", "/ops/readiness") == 200 })
	return n
}

func (n *operatedNode) status(method, target string) int {
	status, _ := callConsole(n.t, n.console, method, target)
	return status
}

func (n *operatedNode) statistics() string {
	status, text := callConsole(n.t, n.console, "GET", "/ops/stats")
	require.Equal(n.t, 200, status)
	return text
}

func (n *operatedNode) health() int {
	response, err := http.Get("http://" + n.listen + "/_health")
	require.NoError(n.t, err)
	require.NoError(n.t, response.Body.Close())
	return response.StatusCode
}

func (n *operatedNode) eventually(condition func() bool) {
	n.t.Helper()
	require.Eventually(n.t, condition, 5*time.Second, 5*time.Millisecond)
}

func (n *operatedNode) signal(s syscall.Signal) {
	n.t.Helper()
	require.NoError(n.t, syscall.Kill(os.Getpid(), s))
}

// Draining by hand can be repeated and ended, more than once.
func (n *operatedNode) drainAndResume() {
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

// While the only backend is marked down a request waits, also over a reload, which lists the backend as ready. It is
// sent once the backend is marked up.
func (n *operatedNode) markDownAndUp() {
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
	require.EqualValues(n.t, 1, n.sent.Load(), "the attempt in progress goes on, and no new one is sent")
	require.Equal(n.t, 200, n.status("POST", "/ops/engines/up?id=box-1"))
	require.Contains(n.t, <-answer, "[DONE]")
	require.EqualValues(n.t, 2, n.sent.Load())
}

// A node that was told to stop stays drained, and answers the console until it exits.
func (n *operatedNode) stopWhileDrained() {
	require.Equal(n.t, 200, n.status("POST", "/ops/drain/start"))
	require.Equal(n.t, 503, n.health())
	n.signal(syscall.SIGTERM)
	n.eventually(func() bool { return n.status("POST", "/ops/drain/stop") == 409 })
	require.Equal(n.t, 200, n.status("POST", "/ops/drain/start"))
}

// A daemon and its operators: readiness, statistics, drains by hand, a backend that is marked down, and the end.
func TestConsoleOperations(t *testing.T) {
	n := startOperatedNode(t)
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
