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

	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/node"
	"standpoint/internal/store"
	"standpoint/internal/testpeer"
)

// SIGHUP in every phase, beside calls that read what the daemon is: it is heard while draining too, for a drain told by
// the new file must be kept until the end.
func TestHangupInEveryPhase(t *testing.T) {
	release := make(chan struct{})
	server := testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.Event(w, "begun")
		<-release
		testpeer.Finish(w)
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
	read := func() int { return logs.FilterMessage("the configuration was read again").Len() }
	hangup := func() {
		before := read()
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		require.Eventually(t, func() bool { return read() > before }, 5*time.Second, time.Millisecond)
	}
	for range 5 {
		hangup()
	}
	response, err := http.DefaultClient.Do(testpeer.Ask(t, listen, "t", "3000m"))
	require.NoError(t, err)
	defer response.Body.Close()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Eventually(t, func() bool { return logs.FilterMessage("draining").Len() == 1 }, 5*time.Second, time.Millisecond)
	hangup()
	done()
	reading.Wait()
	close(release)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.NoError(t, <-exit)
}

// Whatever changes something needs the token: the shared configuration too.
func TestTheSharedConfigurationNeedsTheToken(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("a-token-that-is-long-enough"), 0o600))
	cfg := config.OperatorFile{}
	cfg.Store.SharedSettings = true
	keys := store.NewMemory()
	a := &assembly{deployment: deployment{operator: &cfg}, store: keys, settingsRequests: make(chan settingsRequest), log: zap.NewNop()}
	_, err := settingsComponent(a)
	require.NoError(t, err)
	go func() {
		for w := range a.settingsRequests {
			w.result <- nil
		}
	}()
	s, err := control.Listen("127.0.0.1:0", token, a.routes, zap.NewNop())
	require.NoError(t, err)
	go func() { _ = s.Serve() }()
	defer s.Close()
	change := func(token string) error {
		c := control.NewClient(s.Address(), token)
		defer c.Close()
		return c.Call(t.Context(), http.MethodPost, "/v1/config", SettingsChange{Text: "[module]\ncold_share = 0.5\n", Author: "kim"}, nil)
	}
	var said *control.Error
	require.ErrorAs(t, change(""), &said)
	require.Equal(t, http.StatusUnauthorized, said.Status)
	require.Empty(t, keys.List(""))
	require.NoError(t, change("a-token-that-is-long-enough"))
}

// An operator's list that has another address for a name has another box: cold, where the file tells no start, and it
// stays the same box when the file is read again.
func TestAnotherAddressInTheFile(t *testing.T) {
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	a := &assembly{deployment: fromOperator(cfg), store: store.NewMemory(), log: zap.NewNop()}
	_, err = backendsComponent(a)
	require.NoError(t, err)
	p, err := operatorEndpointsComponent(a)
	require.NoError(t, err)
	_, err = coreComponent(a)
	require.NoError(t, err)
	a.endpointSource.Run(t.Context())
	entry := func() node.Endpoint { return a.endpointCache.Current()[0] }
	require.Zero(t, entry().ReadyAt)
	p.reload(a.deployment)
	require.Zero(t, entry().ReadyAt)
	cfg.Backends[0].Address = "127.0.0.1:3"
	p.reload(fromOperator(cfg))
	began := entry().ReadyAt
	require.WithinDuration(t, time.Now(), time.Unix(0, began), time.Minute)
	p.reload(fromOperator(cfg))
	require.Equal(t, began, entry().ReadyAt)
}

// SIGTERM while the program waits for a store that has no leader ends the wait.
func TestToldToStopWhileStarting(t *testing.T) {
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

// A record of the shared configuration that is torn is named once, and what is in force stays.
func TestATornSharedConfiguration(t *testing.T) {
	seen, logs := observer.New(zap.ErrorLevel)
	keys := store.NewMemory()
	f := &settingsFollower{assembly: &assembly{store: keys, log: zap.New(seen)}}
	_, err := keys.Write(t.Context(), store.Op{Key: currentKey, Data: []byte("3")}, store.Op{Key: versionsKey + "0000000003", Data: []byte(`{"number":3,"te`)})
	require.NoError(t, err)
	for range 3 {
		f.follow(func(settingsRequest) error { t.Fatal("taken on"); return nil })
	}
	require.Len(t, logs.All(), 1)
	require.Equal(t, versionsKey+"0000000003", logs.All()[0].ContextMap()["key"])
}

// Where nobody kills the program, what it still holds at the end of its time to stop is answered, and told when to come
// back: its exit is no answer.
func TestWhatIsLeftAtTheEnd(t *testing.T) {
	came := make(chan struct{})
	n := testpeer.Start(t, testpeer.Settings(), testpeer.Entry("s", testpeer.Server(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(came)
		<-r.Context().Done()
	})))
	a := &assembly{core: n.Core, lifecycle: n.Life}
	ended := make(chan error, 1)
	go func() {
		<-came
		ended <- a.drain(n.Room, 0, 1500*time.Millisecond, zap.NewNop())
	}()
	status, header, _, err := n.Do(n.Chat(t.Context(), func(r *http.Request) { r.Header.Set("X-Expires-In", "60000m") }))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.NoError(t, <-ended)
}
