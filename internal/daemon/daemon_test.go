package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"standpoint/internal/config"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

func operatorFile(t *testing.T, listen, server string) string {
	path := filepath.Join(t.TempDir(), "operator.toml")
	require.NoError(t, os.WriteFile(path, []byte(fmt.Sprintf(`listen = %q
[[class]]
name = "chat"
first_token = "1s"
give_up = "5s"
worth = 1.0
[[real_server]]
name = "box-1"
address = %q
[batch]
enabled = true
`, listen, server)), 0o600))
	return path
}

// After SIGTERM the program goes on accepting for as long as clients may still come, answers all it took, a
// stream under way too, and then exits.
func TestTermination(t *testing.T) {
	release := make(chan struct{})
	server := testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		testpeer.Event(w, "begun")
		if r.Header.Get("X-Trace-Id") == "slow-1" {
			<-release
		}
		testpeer.Finish(w)
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
		response, err := client.Do(testpeer.Ask(t, listen, fmt.Sprintf("%s-%d", trace, asked), "3000m"))
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

// SIGHUP reads the file again: a faulty one changes nothing and is logged by its key, a good one changes the real
// servers.
func TestHangup(t *testing.T) {
	server := func(name string) string {
		return testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
			testpeer.Event(w, name)
			testpeer.Finish(w)
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
		response, err := http.DefaultClient.Do(testpeer.Ask(t, listen, fmt.Sprint("t-", asked), "3000m"))
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

// The leader's shared settings stand in the store.
// The level of the log changes while the program runs; the form is that of its start.
func TestLogLevel(t *testing.T) {
	level := zap.NewAtomicLevel()
	log := newLog(deployment{operator: &config.OperatorFile{}}.logging(), level)
	require.False(t, log.Core().Enabled(zap.DebugLevel))
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	require.Equal(t, logging{level: zap.InfoLevel}, fromOperator(cfg).logging())
	cfg.Log.Level, cfg.Log.Format = "debug", "console"
	require.Equal(t, logging{zap.DebugLevel, true}, fromOperator(cfg).logging())
	level.SetLevel(fromOperator(cfg).logging().level)
	require.True(t, log.Core().Enabled(zap.DebugLevel))
}

func TestAgree(t *testing.T) {
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	keys := store.NewMemory()
	go maintainMemberSettings(keys, cfg, zap.NewNop())(t.Context())
	require.Eventually(t, func() bool { return strings.Contains(string(keys.Get(memberSettingsKey).Data), `"chat"`) }, time.Second, time.Millisecond)
}
