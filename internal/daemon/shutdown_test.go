package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer"
)

// After SIGTERM the program goes on accepting for as long as clients may still come, answers all it took, a
// stream under way too, and then exits.
func TestDrainAcceptsLateClients(t *testing.T) {
	release := make(chan struct{})
	server := testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
		testpeer.WriteEvent(w, "begun")
		if r.Header.Get("X-Trace-Id") == "slow-1" {
			<-release
		}
		testpeer.WriteStreamEnd(w)
	})
	listen := testpeer.FreeAddress(t)
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: operatorFile(t, listen, server), Log: zap.NewNop()}) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(t, func() bool {
		response, err := client.Get("http://" + listen + "/_health")
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}, 5*time.Second, 5*time.Millisecond)
	asked := 0
	ask := func(trace string) *http.Response {
		asked++
		response, err := client.Do(testpeer.ChatRequest(t, listen, fmt.Sprintf("%s-%d", trace, asked), "3000m"))
		require.NoError(t, err)
		return response
	}
	slow := ask("slow")
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	began := time.Now()
	for time.Since(began) < 400*time.Millisecond {
		late := ask("late")
		body, err := io.ReadAll(late.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), "[DONE]")
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	_, err := net.Dial("tcp", listen)
	require.Error(t, err, "the listener is closed by now")
	close(release)
	body, err := io.ReadAll(slow.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.NoError(t, <-exit)
}

// Where nobody kills the program, what it still holds at the end of its time to stop is answered, and told when to come
// back: its exit is no answer.
func TestRequestsLeftAtTheEndAreAnswered(t *testing.T) {
	came := make(chan struct{})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Endpoint("s", testpeer.StartBackend(t, func(_ http.ResponseWriter,
		r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(came)
		<-r.Context().Done()
	})))
	a := &assembly{core: n.Core, lifecycle: n.Lifecycle, clients: n.Connections, processLog: zap.NewNop()}
	ended := make(chan error, 1)
	go func() {
		<-came
		ended <- a.drain(0, 1500*time.Millisecond)
	}()
	status, header, _, err := n.Do(n.Chat(t.Context(), func(r *http.Request) {
		r.Header.Set("X-Expires-In",
			"60000m")
	}))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.NoError(t, <-ended)
}
