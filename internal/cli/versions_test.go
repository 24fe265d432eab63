package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
	"standpoint/internal/testpeer/release"
)

// TestUpgradeBetweenVersions checks that an upgrade from the previous release to this program and a rollback, under
// load, lose nothing: the learned state and the backends that operators marked down are taken over, a stream in
// progress continues, and every request is sent once and gets one complete response.
func TestUpgradeBetweenVersions(t *testing.T) {
	earlier, present := release.Program(t), build(t)
	for name, programs := range map[string][2]string{
		"upgrade":   {earlier, present},
		"roll back": {present, earlier},
	} {
		t.Run(name, func(t *testing.T) { upgradeBetween(t, programs[0], programs[1]) })
	}
}

func upgradeBetween(t *testing.T, from, to string) {
	t.Helper()
	counter := testpeer.NewAttemptCounter()
	release := make(chan struct{})
	backends := map[string]string{}
	for _, name := range []string{"box-1", "box-2", "box-3"} {
		backends[name] = testpeer.StartBackend(t, answerOnceReleased(counter, release))
	}
	p := newPlatform(t, backends)
	address := p.listen.Addr().String()
	first := p.startProgram(from)
	require.Eventually(t, first.ready, 10*time.Second, 5*time.Millisecond)
	long, err := http.DefaultClient.Do(testpeer.ChatRequest(t, address, "long", "8000m"))
	require.NoError(t, err)
	defer long.Body.Close()
	clients := startClients(t, address, 4)
	status, _ := first.callConsole("POST", "/ops/engines/down?id=box-2")
	require.Equal(t, http.StatusOK, status)

	next := p.startProgram(to)
	require.Eventually(t, next.ready, 6*time.Second, 5*time.Millisecond)
	require.Eventually(t, next.showsStat("app.hosts_down=1"), 2*time.Second, 5*time.Millisecond)
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	require.NoError(t, first.Wait(), first.output)
	close(release)
	rest, err := io.ReadAll(long.Body)
	require.NoError(t, err)
	require.Contains(t, string(rest), "[DONE]")
	require.Equal(t, 1, counter.Attempts()["long"])
	served := clients.stop()
	require.NotEmpty(t, served)
	require.Empty(t, clients.failures)
	for _, id := range served {
		require.Equal(t, 1, counter.Attempts()[id], id)
	}
	require.Equal(t, 1, counter.MaximumInFlight())
	require.True(t, next.showsStat("app.hosts_down=1")())
	require.Contains(t, next.output.String(), `"servers":3`, "learned state restored")
}

// answerOnceReleased returns the handler of a backend that withholds the second half of the response to the request
// "long" until release is closed.
func answerOnceReleased(counter *testpeer.AttemptCounter, release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Trace-Id")
		counter.Begin(id)
		testpeer.WriteEvent(w, id)
		if id == "long" {
			<-release
		}
		time.Sleep(20 * time.Millisecond) // so that streams are in progress at any time
		testpeer.WriteStreamEnd(w)
		counter.End(id, true)
	}
}

// clientGroup is a group of clients that each send one request after another until they are stopped.
type clientGroup struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex // guards served and failures
	served   []string   // ids of requests with a complete response
	failures []string   // of the other requests, the id and the error
}

func startClients(t *testing.T, address string, number int) *clientGroup {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	g := &clientGroup{cancel: cancel}
	for c := range number {
		g.wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := 0; ctx.Err() == nil; i++ {
				g.send(t, client, address, fmt.Sprintf("c%d-%d", c, i))
			}
		})
	}
	return g
}

func (g *clientGroup) send(t *testing.T, client *http.Client, address, id string) {
	response, err := client.Do(testpeer.ChatRequest(t, address, id, "3000m"))
	problem := ""
	if err != nil {
		problem = err.Error()
	} else {
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(body),
			"[DONE]") || !strings.Contains(string(body), id) {
			problem = fmt.Sprint(response.StatusCode, err, string(body))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if problem != "" {
		g.failures = append(g.failures, id+": "+problem)
		return
	}
	g.served = append(g.served, id)
}

// stop stops the clients after their last response, and returns the ids of the requests that were served.
func (g *clientGroup) stop() []string {
	g.cancel()
	g.wait.Wait()
	return g.served
}
