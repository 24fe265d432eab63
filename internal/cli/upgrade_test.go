package cli

import (
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
)

// upgradeTest is a node on the platform before three backends, of which operators mark some down, and requests that
// outlive processes of the node.
type upgradeTest struct {
	t        *testing.T
	platform *platform
	address  string
	ledger   *testpeer.AttemptCounter // of the requests that reach backends
	begin    chan struct{}            // closed: the request "late" gets its first event
	release  chan struct{}            // closed: the requests "long" and "late" get the rest

	mu   sync.Mutex           // guards used
	used map[string]time.Time // when a backend got its last request
}

func newUpgradeTest(t *testing.T) *upgradeTest {
	t.Helper()
	u := &upgradeTest{
		t:       t,
		ledger:  testpeer.NewAttemptCounter(),
		begin:   make(chan struct{}),
		release: make(chan struct{}),
		used:    map[string]time.Time{},
	}
	backends := map[string]string{}
	for _, name := range []string{"box-1", "box-2", "box-3"} {
		backends[name] = testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) { u.answer(name, w, r) })
	}
	u.platform = newPlatform(t, backends)
	u.address = u.platform.listen.Addr().String()
	return u
}

// answer is a backend's answer. That to "long" is held back in the middle of an event.
func (u *upgradeTest) answer(name string, w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.used[name] = time.Now()
	u.mu.Unlock()
	id := r.Header.Get("X-Trace-Id")
	u.ledger.Begin(id)
	if id == "late" {
		<-u.begin
	}
	testpeer.WriteEvent(w, id)
	if id == "late" {
		<-u.release
	}
	if id == "long" {
		fmt.Fprint(w, `data: {"choices":[{"index":0,"de`)
		w.(http.Flusher).Flush()
		<-u.release
		fmt.Fprint(w, `lta":{"content":"the rest"}}]}`+"\n\n")
	}
	time.Sleep(20 * time.Millisecond) // the pace of a server, so that streams are under way at any time
	testpeer.WriteStreamEnd(w)
	u.ledger.End(id, true)
}

// unusedSince tells whether a backend has got no request since a time.
func (u *upgradeTest) unusedSince(name string, since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used[name].Before(since)
}

// startReady starts a process of the node, which must become ready in time.
func (u *upgradeTest) startReady(within time.Duration) *process {
	u.t.Helper()
	started := u.platform.start()
	require.Eventually(u.t, started.ready, within, 5*time.Millisecond)
	return started
}

// requireStatus calls a process's console.
func (u *upgradeTest) requireStatus(want int, p *process, target string) {
	u.t.Helper()
	status, _ := p.says("POST", target)
	require.Equal(u.t, want, status)
}

// sendLate sends a request that begins only once begin is closed. It returns once a backend has it.
func (u *upgradeTest) sendLate() <-chan string {
	u.t.Helper()
	answer := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(testpeer.ChatRequest(u.t, u.address, "late", "3000m"))
		if err != nil {
			answer <- err.Error()
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		answer <- fmt.Sprint(string(body), err)
	}()
	require.Eventually(u.t, func() bool { return u.ledger.Attempts()["late"] > 0 }, 2*time.Second, time.Millisecond)
	return answer
}

// A second process takes over what operators have set, what was learned, and half of the limits.
func (u *upgradeTest) takeOver(first *process) *process {
	second := u.startReady(6 * time.Second)
	require.Eventually(u.t, second.shows("app.hosts_down=1"), 2*time.Second, 5*time.Millisecond)
	learned := second.logged("learned state restored")
	require.Contains(u.t, learned, `"servers":3`)
	require.NotContains(u.t, learned, `"error"`)
	u.requireStatus(http.StatusOK, first, "/ops/engines/down?id=box-3")
	require.Eventually(u.t, second.shows("app.hosts_down=2"), time.Second, 5*time.Millisecond)
	require.Contains(u.t, second.logged("serving"), `"memory_mb":64,"sockets":256`, "half, while there are two")
	return second
}

// The first process passes its streams and exits. An answer that stood in the middle of an event goes on without it, as
// does one that had not begun.
func (u *upgradeTest) handOver(first *process, long *http.Response) {
	late := u.sendLate()
	require.NoError(u.t, first.Process.Signal(syscall.SIGTERM))
	require.Eventually(u.t, func() bool { return first.logged("streams passed to sibling process") != "" },
		4*time.Second, time.Millisecond)
	close(u.begin)
	require.NoError(u.t, first.Wait(), first.said)
	close(u.release)
	rest, err := io.ReadAll(long.Body)
	require.NoError(u.t, err)
	require.Contains(u.t, string(rest), "long")
	require.Contains(u.t, string(rest), `data: {"choices":[{"index":0,"delta":{"content":"the rest"}}]}`+"\n\n")
	require.Contains(u.t, string(rest), "[DONE]")
	require.Equal(u.t, 1, u.ledger.Attempts()["long"])
	require.Contains(u.t, <-late, "[DONE]")
	require.Equal(u.t, 1, u.ledger.Attempts()["late"])
}

// A process that cannot come up, because its descriptor is no listening socket, says so and leaves the other serving.
func (u *upgradeTest) failToStart(serving *process) {
	for _, bad := range []string{"77", "three", "1"} {
		failing := u.platform.start("PROXY_SOCKET_FD=" + bad)
		require.Error(u.t, failing.Wait())
		require.Equal(u.t, InvalidUsage, failing.ProcessState.ExitCode())
		require.Contains(u.t, failing.said.String(), "PROXY_SOCKET_FD: ")
	}
	require.True(u.t, serving.ready())
}

// A third process takes over from the second while a backend is marked up at the second.
func (u *upgradeTest) takeOverAgain(second *process) *process {
	third := u.startReady(6 * time.Second)
	markedUp := time.Now()
	u.requireStatus(http.StatusOK, second, "/ops/engines/up?id=box-3")
	require.Eventually(u.t, third.shows("app.hosts_down=1"), time.Second, 5*time.Millisecond)
	require.NoError(u.t, second.Process.Signal(syscall.SIGTERM))
	require.NoError(u.t, second.Wait(), second.said)
	require.Eventually(u.t, func() bool { return !u.unusedSince("box-3", markedUp) }, 5*time.Second, 5*time.Millisecond)
	return third
}

// A process that is killed leaves its part of the limits, and what operators have set, to the one that lives.
func (u *upgradeTest) killOld(old *process) {
	last := u.startReady(6 * time.Second)
	require.NoError(u.t, old.Process.Kill())
	_ = old.Wait() // killed
	const limits = `"siblings":0,"limits":{"cores":1,"memory_mb":128,"sockets":512}`
	require.Eventually(u.t, func() bool {
		return strings.Contains(last.logged("sibling process count changed"),
			limits)
	},
		2*time.Second, 5*time.Millisecond)
	require.True(u.t, last.shows("app.hosts_down=1")())
}

// A second process takes over beside the first, and a third from the second, under clients who never stop: each
// request has its one complete answer and was sent once, and a backend that is marked down stays so, whichever
// process was told.
func TestUpgradeUnderClients(t *testing.T) {
	u := newUpgradeTest(t)
	first := u.startReady(10 * time.Second)
	long, err := http.DefaultClient.Do(testpeer.ChatRequest(t, u.address, "long", "3000m"))
	require.NoError(t, err)
	defer long.Body.Close()
	clients := startClients(t, u.address, 4)
	u.requireStatus(http.StatusOK, first, "/ops/engines/down?id=box-2")
	down := time.Now().Add(500 * time.Millisecond)
	u.requireStatus(http.StatusNotFound, first, "/ops/engines/down?id=box-9")
	second := u.takeOver(first)
	u.handOver(first, long)
	require.True(t, u.unusedSince("box-2", down))
	u.failToStart(second)
	third := u.takeOverAgain(second)
	require.True(t, u.unusedSince("box-2", down), "down over two upgrades")
	served := clients.stop()
	u.killOld(third)
	require.NotEmpty(t, served)
	require.Empty(t, clients.failures)
	require.Equal(t, 1, u.ledger.MaximumInFlight())
	for _, id := range served {
		require.Equal(t, 1, u.ledger.Attempts()[id], "%v", id)
	}
}
