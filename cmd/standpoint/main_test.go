package main

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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listen := l.Addr().String()
	l.Close()
	exit := make(chan error, 1)
	go func() { exit <- run(operatorFile(t, listen, server), zap.NewNop()) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(t, func() bool {
		response, err := client.Get("http://" + listen + "/_health")
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}, 5*time.Second, 5*time.Millisecond)
	asked := 0
	ask := func(trace string) *http.Response {
		asked++
		r, err := http.NewRequest("POST", "http://"+listen+"/v1/chat/completions", strings.NewReader(`{"messages":[]}`))
		require.NoError(t, err)
		r.Header.Set("X-Trace-Id", fmt.Sprintf("%s-%d", trace, asked))
		r.Header.Set("X-Qos", "chat")
		r.Header.Set("X-Expires-In", "3000m")
		response, err := client.Do(r)
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
	_, err = net.Dial("tcp", listen)
	require.Error(t, err, "the listener is closed by now")
	close(release)
	body, err := io.ReadAll(slow.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.NoError(t, <-exit)
}

// The leader's shared settings stand in the store.
func TestAgree(t *testing.T) {
	cfg, err := config.ReadOperator(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	keys := store.NewMemory()
	go agree(keys, cfg, zap.NewNop())(t.Context())
	require.Eventually(t, func() bool { return strings.Contains(string(keys.Get(sharedKey).Data), `"chat"`) }, time.Second, time.Millisecond)
}
