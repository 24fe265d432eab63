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

// SIGTERM while the program waits for a store that has no leader ends the wait.
func TestStopWhileStarting(t *testing.T) {
	path := operatorFile(t, testpeer.FreeAddress(t), testpeer.FreeAddress(t))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	more := "[control]\nlisten = \"unix:c.sock\"\n[store]\nkind = \"raft\"\nid = \"a\"\nsettings = true\nheartbeat = \"100ms\"\n"
	for _, id := range []string{"a", "b", "c"} { // the others are not there
		more += fmt.Sprintf("[[store.member]]\nid = %q\naddress = %q\n", id, testpeer.FreeAddress(t))
	}
	require.NoError(t, os.WriteFile(path, append(text, more...), 0o600))
	seen, logs := observer.New(zap.InfoLevel)
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.New(seen)}) }()
	require.Eventually(t, func() bool {
		_, err := os.Stat(filepath.Join(filepath.Dir(path), "c.sock")) // opened while the parts are put together
		return err == nil
	}, 5*time.Second, time.Millisecond)
	began := time.Now()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-exit)
	require.Less(t, time.Since(began), storeTimeout/2)
	require.Equal(t, 1, logs.FilterMessage("draining").Len())
}

// SIGHUP in every phase, beside calls that read what the daemon is: it is heard while draining too, for a drain told by
// the new file must be kept until the end.
func TestReloadInEveryPhase(t *testing.T) {
	release := make(chan struct{})
	server := testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.WriteEvent(w, "begun")
		<-release
		testpeer.WriteStreamEnd(w)
	})
	listen, controls := testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	path := operatorFile(t, listen, server)
	token := filepath.Join(filepath.Dir(path), "token")
	require.NoError(t, os.WriteFile(token, []byte("a-token-that-is-long-enough"), 0o600))
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = fmt.Fprintf(file, "[control]\nlisten = %q\ntoken_file = \"token\"\n", controls)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	seen, logs := observer.New(zap.InfoLevel)
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.New(seen)}) }()
	up := func() bool { return logs.FilterMessage("serving").Len() == 1 }
	require.Eventually(t, up, 5*time.Second, time.Millisecond)
	client := control.NewClient(controls, "")
	defer client.Close()
	ctx, done := context.WithCancel(t.Context())
	var reading sync.WaitGroup
	reading.Go(func() {
		for ctx.Err() == nil {
			var s statusAnswer
			_ = client.Call(ctx, http.MethodGet, "/v1/status", nil, &s)
		}
	})
	read := func() int { return logs.FilterMessage("configuration reloaded").Len() }
	hangup := func() {
		before := read()
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		require.Eventually(t, func() bool { return read() > before }, 5*time.Second, time.Millisecond)
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
	done()
	reading.Wait()
	close(release)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.NoError(t, <-exit)
}
