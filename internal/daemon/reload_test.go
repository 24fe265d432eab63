package daemon

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint/internal/testpeer"
)

// TestReloadOnHangup checks that SIGHUP reads the file again: an invalid file changes nothing and its key is logged; a
// valid file replaces the backends.
func TestReloadOnHangup(t *testing.T) {
	startBackend := func(name string) string {
		return testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			testpeer.WriteEvent(w, name)
			testpeer.WriteStreamEnd(w)
		})
	}
	listen := testpeer.FreeAddress(t)
	path := operatorFile(t, listen, startBackend("old"))
	core, logs := observer.New(zap.InfoLevel)
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.New(core)}) }()
	requests := 0
	request := func() string {
		requests++
		response, err := http.DefaultClient.Do(testpeer.ChatRequest(t, listen, fmt.Sprint("t-", requests), "3000m"))
		if err != nil {
			return ""
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return string(body)
	}
	servedBy := func(name string) func() bool { return func() bool { return strings.Contains(request(), name) } }
	require.Eventually(t, servedBy("old"), 5*time.Second, 5*time.Millisecond)
	hangup := func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	valid, err := os.ReadFile(path)
	require.NoError(t, err)
	hangup(strings.Replace(string(valid), `first_token = "1s"`, `first_token = "-1s"`, 1))
	require.Eventually(t, func() bool {
		for _, e := range logs.FilterLevelExact(zap.ErrorLevel).All() {
			return strings.Contains(fmt.Sprint(e.ContextMap()["error"]), "class[0].first_token:")
		}
		return false
	}, 5*time.Second, 5*time.Millisecond)
	require.True(t, servedBy("old")())
	begin := strings.Index(string(valid), "[[real_server]]")
	hangup(string(valid[:begin]) + fmt.Sprintf("[[real_server]]\nname = \"box-2\"\naddress = %q\n", startBackend("new")) +
		string(valid[strings.Index(string(valid), "[batch]"):]))
	require.Eventually(t, servedBy("new"), 5*time.Second, 5*time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-exit)
}
