package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint/internal/control"
	"standpoint/internal/testpeer"
)

// TestStopWhileStarting checks that SIGTERM ends the start's wait for a store that has no leader. Otherwise the process
// would wait for storeTimeout.
func TestStopWhileStarting(t *testing.T) {
	path := operatorFile(t, testpeer.FreeAddress(t), testpeer.FreeAddress(t))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	sections := "[control]\nlisten = \"unix:c.sock\"\n[store]\nkind = \"raft\"\nid = \"a\"\nsettings = true\n" +
		"heartbeat = \"100ms\"\n"
	for _, id := range []string{"a", "b", "c"} { // only a runs, so no leader can be elected
		sections += fmt.Sprintf("[[store.member]]\nid = %q\naddress = %q\n", id, testpeer.FreeAddress(t))
	}
	require.NoError(t, os.WriteFile(path, append(text, sections...), 0o600))
	core, logs := observer.New(zap.InfoLevel)
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.New(core)}) }()
	require.Eventually(t, func() bool {
		_, err := os.Stat(filepath.Join(filepath.Dir(path), "c.sock")) // opened while the components are constructed
		return err == nil
	}, 5*time.Second, time.Millisecond)
	signaledAt := time.Now()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-exit)
	require.Less(t, time.Since(signaledAt), storeTimeout/2)
	require.Equal(t, 1, logs.FilterMessage("draining").Len())
}

// TestReloadInEveryPhase sends SIGHUP while the daemon serves and while it drains, concurrently with status calls that
// read the daemon's state. A draining process must reload too: backends that the new file marks as draining have to be
// respected until the exit.
func TestReloadInEveryPhase(t *testing.T) {
	release := make(chan struct{})
	backend := testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.WriteEvent(w, "begun")
		<-release
		testpeer.WriteStreamEnd(w)
	})
	listen, controlAddress := testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	path := operatorFile(t, listen, backend)
	token := filepath.Join(filepath.Dir(path), "token")
	require.NoError(t, os.WriteFile(token, []byte("a-token-that-is-long-enough"), 0o600))
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = fmt.Fprintf(file, "[control]\nlisten = %q\ntoken_file = \"token\"\n", controlAddress)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	core, logs := observer.New(zap.InfoLevel)
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.New(core)}) }()
	serving := func() bool { return logs.FilterMessage("serving").Len() == 1 }
	require.Eventually(t, serving, 5*time.Second, time.Millisecond)
	client := control.NewClient(controlAddress, "")
	defer client.Close()
	ctx, stopReading := context.WithCancel(t.Context())
	var readers sync.WaitGroup
	readers.Go(func() {
		for ctx.Err() == nil {
			var status statusResponse
			_ = client.Call(ctx, http.MethodGet, "/v1/status", nil, &status)
		}
	})
	reloads := func() int { return logs.FilterMessage("configuration reloaded").Len() }
	hangup := func() {
		before := reloads()
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		require.Eventually(t, func() bool { return reloads() > before }, 5*time.Second, time.Millisecond)
	}
	for range 5 {
		hangup()
	}
	response, err := http.DefaultClient.Do(testpeer.ChatRequest(t, listen, "t", "3000m"))
	require.NoError(t, err)
	defer response.Body.Close()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Eventually(t, func() bool { return logs.FilterMessage("draining").Len() == 1 }, 5*time.Second,
		time.Millisecond)
	hangup()
	stopReading()
	readers.Wait()
	close(release)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.NoError(t, <-exit)
}
