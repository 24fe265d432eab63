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

// The earlier program is upgraded to this one under clients, and rolled back, with nothing lost on the way: what was
// learned and what staff decided goes over, a stream that has begun moves, and every request has one whole answer and
// went out once.
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
	ledger := testpeer.NewAttemptCounter()
	release := make(chan struct{})
	backends := map[string]string{}
	for _, name := range []string{"box-1", "box-2", "box-3"} {
		backends[name] = testpeer.StartBackend(t, answerOnceReleased(ledger, release))
	}
	p := newPlatform(t, backends)
	address := p.listen.Addr().String()
	old := p.startProgram(from)
	require.Eventually(t, old.ready, 10*time.Second, 5*time.Millisecond)
	long, err := http.DefaultClient.Do(testpeer.ChatRequest(t, address, "long", "8000m"))
	require.NoError(t, err)
	defer long.Body.Close()
	clients := startClients(t, address, 4)
	status, _ := old.says("POST", "/ops/engines/down?id=box-2")
	require.Equal(t, http.StatusOK, status)

	next := p.startProgram(to)
	require.Eventually(t, next.ready, 6*time.Second, 5*time.Millisecond)
	require.Eventually(t, next.shows("app.hosts_down=1"), 2*time.Second, 5*time.Millisecond)
	require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait(), old.said)
	close(release)
	rest, err := io.ReadAll(long.Body)
	require.NoError(t, err)
	require.Contains(t, string(rest), "[DONE]")
	require.Equal(t, 1, ledger.Attempts()["long"])
	served := clients.stop()
	require.NotEmpty(t, served)
	require.Empty(t, clients.failures)
	for _, id := range served {
		require.Equal(t, 1, ledger.Attempts()[id], id)
	}
	require.Equal(t, 1, ledger.MaximumInFlight())
	require.True(t, next.shows("app.hosts_down=1")())
	require.Contains(t, next.said.String(), `"servers":3`, "learned state restored")
}

// answerOnceReleased is a backend that holds the second half of the answer to the request "long" back until release
// is closed.
func answerOnceReleased(ledger *testpeer.AttemptCounter, release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Trace-Id")
		ledger.Begin(id)
		testpeer.WriteEvent(w, id)
		if id == "long" {
			<-release
		}
		time.Sleep(20 * time.Millisecond) // the pace of a server, so that streams are under way at any time
		testpeer.WriteStreamEnd(w)
		ledger.End(id, true)
	}
}

// clientGroup is clients that send one request after another until they are stopped.
type clientGroup struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu       sync.Mutex // guards served and failures
	served   []string
	failures []string
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

// stop ends the clients once each has its answer, and returns the requests that were served.
func (g *clientGroup) stop() []string {
	g.cancel()
	g.wait.Wait()
	return g.served
}
