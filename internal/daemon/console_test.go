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

// withConsole is an operator's file with a console, and its address.
func withConsole(t *testing.T, listen, server string) (path, console string) {
	path, console = operatorFile(t, listen, server), testpeer.FreeAddress(t)
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, append([]byte("console = \""+console+"\"\n"), raw...), 0o600))
	return path, console
}

func ops(t *testing.T, console, method, target string) (int, string) {
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

// A whole node and its staff: ready, figures that are read again, sent away and called back more than once, told to
// stop in the middle, after which there is no way back; a console's address that is taken is named.
func TestStaff(t *testing.T) {
	release := make(chan struct{})
	var sent atomic.Int32
	server := testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		sent.Add(1)
		testpeer.Event(w, "x")
		if r.Header.Get("X-Trace-Id") == "held" {
			<-release
		}
		testpeer.Finish(w)
	})
	listen := testpeer.FreeAddress(t)
	path, console := withConsole(t, listen, server)
	taken, err := net.Listen("tcp", console)
	require.NoError(t, err)
	require.ErrorContains(t, Run(Options{ConfigFile: path, Log: zap.NewNop()}), "console: ")
	require.NoError(t, taken.Close())
	exit := make(chan error, 1)
	seen, logs := observer.New(zap.InfoLevel)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.New(seen)}) }()
	health := func() int {
		response, err := http.Get("http://" + listen + "/_health")
		require.NoError(t, err)
		response.Body.Close()
		return response.StatusCode
	}
	says := func(method, target string) int {
		status, _ := ops(t, console, method, target)
		return status
	}
	require.Eventually(t, func() bool { return says("GET", "/ops/readiness") == 200 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, 200, health())
	for range 2 {
		for range 2 {
			require.Equal(t, 200, says("POST", "/ops/drain/start"))
			require.Equal(t, 503, health())
			require.Equal(t, 503, says("GET", "/ops/readiness"))
		}
		for range 2 {
			require.Equal(t, 200, says("POST", "/ops/drain/stop"))
			require.Equal(t, 200, health())
		}
	}
	held, err := http.DefaultClient.Do(testpeer.Ask(t, listen, "held", "3000m"))
	require.NoError(t, err)
	defer held.Body.Close()
	_, text := ops(t, console, "GET", "/ops/stats")
	require.Contains(t, text, "app.inflight=1\n")
	// The only server is out: who asks waits, and is sent on once it is back, cold as it is.
	require.Equal(t, 200, says("POST", "/ops/engines/down?id=box-1"))
	waits := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(testpeer.Ask(t, listen, "waits", "4900m"))
		if err != nil {
			waits <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		waits <- string(body)
	}()
	require.Eventually(t, func() bool {
		_, text := ops(t, console, "GET", "/ops/stats")
		return strings.Contains(text, "app.inflight=2\n") && strings.Contains(text, "app.hosts_down=1\n")
	}, 2*time.Second, 5*time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP)) // the list is told anew, the server as ready
	require.Eventually(t, func() bool { return logs.FilterMessage("the configuration was read again").Len() == 1 }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 1, sent.Load(), "what it has runs on, and nothing new comes")
	require.Equal(t, 200, says("POST", "/ops/engines/up?id=box-1"))
	require.Contains(t, <-waits, "[DONE]")
	require.EqualValues(t, 2, sent.Load())
	require.Equal(t, 200, says("POST", "/ops/drain/start"))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Eventually(t, func() bool { return says("POST", "/ops/drain/stop") == 409 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, 200, says("POST", "/ops/drain/start"))
	close(release)
	body, err := io.ReadAll(held.Body)
	require.NoError(t, err)
	require.True(t, strings.Contains(string(body), "[DONE]"))
	require.NoError(t, <-exit)
	require.Zero(t, says("GET", "/ops/readiness"), "nobody listens any longer")
}
