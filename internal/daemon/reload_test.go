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

// SIGHUP reads the file again: a faulty one changes nothing and is logged by its key, a good one changes the real
// servers.
func TestReloadOnHangup(t *testing.T) {
	server := func(name string) string {
		return testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			testpeer.WriteEvent(w, name)
			testpeer.WriteStreamEnd(w)
		})
	}
	listen := testpeer.FreeAddress(t)
	path := operatorFile(t, listen, server("old"))
	seen, logs := observer.New(zap.InfoLevel)
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.New(seen)}) }()
	asked := 0
	ask := func() string {
		asked++
		response, err := http.DefaultClient.Do(testpeer.ChatRequest(t, listen, fmt.Sprint("t-", asked), "3000m"))
		if err != nil {
			return ""
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return string(body)
	}
	answers := func(name string) func() bool { return func() bool { return strings.Contains(ask(), name) } }
	require.Eventually(t, answers("old"), 5*time.Second, 5*time.Millisecond)
	hangup := func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	}
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	hangup(strings.Replace(string(good), `first_token = "1s"`, `first_token = "-1s"`, 1))
	require.Eventually(t, func() bool {
		for _, e := range logs.FilterLevelExact(zap.ErrorLevel).All() {
			return strings.Contains(fmt.Sprint(e.ContextMap()["error"]), "class[0].first_token:")
		}
		return false
	}, 5*time.Second, 5*time.Millisecond)
	require.True(t, answers("old")())
	begin := strings.Index(string(good), "[[real_server]]")
	hangup(string(good[:begin]) + fmt.Sprintf("[[real_server]]\nname = \"box-2\"\naddress = %q\n", server("new")) +
		string(good[strings.Index(string(good), "[batch]"):]))
	require.Eventually(t, answers("new"), 5*time.Second, 5*time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.NoError(t, <-exit)
}
