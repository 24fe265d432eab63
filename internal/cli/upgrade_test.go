package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

// platform is what a node on the platform finds: its list, the clients' socket and its folder.
type platform struct {
	t         *testing.T
	program   string
	dir       string
	listen    *net.TCPListener
	discovery string
	known     json.RawMessage // the list that processes are started with; nil: none
}

// log is what a process says, read while it goes on.
type log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// process is one process of the node.
type process struct {
	*exec.Cmd
	console string
	said    *log
}

func newPlatform(t *testing.T, boxes map[string]string) *platform {
	p := &platform{t: t, program: build(t), dir: t.TempDir()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	p.listen = l.(*net.TCPListener)
	var hosts []string
	for name, address := range boxes {
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","health":"ready","share":1}`, name, address))
	}
	p.discovery = testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "1" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ","))
	})
	return p
}

// platformConfig is what the platform tells a node; more are further keys, or others in their place.
func platformConfig(listen, discovery string, more map[string]any) map[string]any {
	settings := map[string]any{"balancers": 1, "discovery": "on_request", "period": 2000000, "zones": []string{"a"}, "shapes": []string{"m"},
		"classes": []any{map[string]any{"name": "chat", "onTime": 1e9, "hardLimit": 3e9, "worth": 1, "semantics": "safe", "streamed": true}},
		"limits":  map[string]any{"cancel": true, "retryAfter": true, "maxRetryAfter": 2e9, "sendCap": 3},
		"rules":   map[string]any{"askWithin": 10e9, "stopSendingWithin": 5e8}}
	all := map[string]any{"name": "n", "listen": listen, "discovery": discovery,
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512}, "settings": settings}
	maps.Copy(all, more)
	return all
}

// start starts a process of the node, with further variables.
func (p *platform) start(variables ...string) *process {
	return p.startProgram(p.program, variables...)
}

// startProgram starts a process of the node that runs another program than the platform's.
func (p *platform) startProgram(program string, variables ...string) *process {
	q := &process{console: testpeer.FreeAddress(p.t), said: &log{}}
	more := map[string]any{"console": q.console}
	if p.known != nil {
		more["known"] = p.known
	}
	raw, err := json.Marshal(platformConfig(p.listen.Addr().String(), p.discovery, more))
	require.NoError(p.t, err)
	file := filepath.Join(p.t.TempDir(), "config.json")
	require.NoError(p.t, os.WriteFile(file, raw, 0o600))
	socket, err := p.listen.File()
	require.NoError(p.t, err)
	defer func() { _ = socket.Close() }()
	q.Cmd = exec.Command(program)
	q.ExtraFiles = []*os.File{socket}
	q.Env = append(append(os.Environ(), "PROXY_CONFIG="+file, "TMPDIR="+p.dir, "PROXY_SOCKET_FD=3"), variables...)
	q.Stderr = q.said
	require.NoError(p.t, q.Start())
	p.t.Cleanup(func() {
		_ = q.Process.Kill()
		_ = q.Wait()
	})
	return q
}

// says asks a process's console; status 0: no answer.
func (q *process) says(method, target string) (int, string) {
	r, _ := http.NewRequest(method, "http://"+q.console+target, nil) // a constant form: cannot fail
	response, err := (&http.Client{Timeout: time.Second}).Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func (q *process) ready() bool {
	status, _ := q.says("GET", "/ops/readiness")
	return status == http.StatusOK
}

func (q *process) shows(line string) func() bool {
	return func() bool {
		_, text := q.says("GET", "/ops/stats")
		return strings.Contains(text, line+"\n")
	}
}

// logged is the first line of its log with some text. The process has written it by then.
func (q *process) logged(text string) string {
	for _, line := range strings.Split(q.said.String(), "\n") {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// A second process takes over beside the first, twice, under clients who never stop: each request has its one whole
// answer and went out once; who is out by hand stays out, whichever process was told; one that cannot come up, for its
// descriptor is none, says so and leaves the others serving.
func TestUpgradeUnderClients(t *testing.T) {
	ledger := testpeer.NewLedger()
	boxes, release, begin := map[string]string{}, make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	used := map[string]time.Time{}
	for _, name := range []string{"box-1", "box-2", "box-3"} {
		boxes[name] = testpeer.Server(t, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			used[name] = time.Now()
			mu.Unlock()
			id := r.Header.Get("X-Trace-Id")
			ledger.Begin(id)
			if id == "late" {
				<-begin
			}
			testpeer.Event(w, id)
			if id == "late" {
				<-release
			}
			if id == "long" {
				fmt.Fprint(w, `data: {"choices":[{"index":0,"de`)
				w.(http.Flusher).Flush()
				<-release
				fmt.Fprint(w, `lta":{"content":"the rest"}}]}`+"\n\n")
			}
			time.Sleep(20 * time.Millisecond) // the pace of a server, so that streams are under way at any time
			testpeer.Finish(w)
			ledger.End(id, true)
		})
	}
	quietSince := func(name string, since time.Time) bool {
		mu.Lock()
		defer mu.Unlock()
		return used[name].Before(since)
	}
	p := newPlatform(t, boxes)
	address := p.listen.Addr().String()
	first := p.start()
	require.Eventually(t, first.ready, 10*time.Second, 5*time.Millisecond)

	long, err := http.DefaultClient.Do(testpeer.Ask(t, address, "long", "3000m"))
	require.NoError(t, err)
	defer long.Body.Close()
	asking, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var asked, turnedBack sync.Map
	for c := range 4 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for i := 0; asking.Err() == nil; i++ {
				id := fmt.Sprintf("c%d-%d", c, i)
				response, err := client.Do(testpeer.Ask(t, address, id, "3000m"))
				if err != nil {
					turnedBack.Store(id, err)
					continue
				}
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(body), "[DONE]") || !strings.Contains(string(body), id) {
					turnedBack.Store(id, fmt.Sprint(response.StatusCode, err, string(body)))
				}
				asked.Store(id, true)
			}
		})
	}
	status, _ := first.says("POST", "/ops/engines/down?id=box-2")
	require.Equal(t, http.StatusOK, status)
	out := time.Now().Add(500 * time.Millisecond)
	status, _ = first.says("POST", "/ops/engines/down?id=box-9")
	require.Equal(t, http.StatusNotFound, status)

	second := p.start()
	require.Eventually(t, second.ready, 6*time.Second, 5*time.Millisecond)
	require.Eventually(t, second.shows("app.hosts_down=1"), 2*time.Second, 5*time.Millisecond)
	learned := second.logged("learned state restored")
	require.Contains(t, learned, `"servers":3`)
	require.NotContains(t, learned, `"error"`)
	status, _ = first.says("POST", "/ops/engines/down?id=box-3")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, second.shows("app.hosts_down=2"), time.Second, 5*time.Millisecond)
	require.Contains(t, second.logged("serving"), `"memory_mb":64,"sockets":256`, "half of the node's, while there are two")
	// One more begins only once the others have moved.
	late := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(testpeer.Ask(t, address, "late", "3000m"))
		if err != nil {
			late <- err.Error()
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		late <- fmt.Sprint(string(body), err)
	}()
	require.Eventually(t, func() bool { return ledger.Sent()["late"] > 0 }, 2*time.Second, time.Millisecond)
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return first.logged("streams passed to sibling process") != "" }, 4*time.Second, time.Millisecond)
	close(begin)
	require.NoError(t, first.Wait(), first.said)
	require.True(t, quietSince("box-2", out))
	// The long answer stood in the middle of an event; its process is gone, and it goes on.
	close(release)
	rest, err := io.ReadAll(long.Body)
	require.NoError(t, err)
	require.Contains(t, string(rest), "long")
	require.Contains(t, string(rest), `data: {"choices":[{"index":0,"delta":{"content":"the rest"}}]}`+"\n\n")
	require.Contains(t, string(rest), "[DONE]")
	require.Equal(t, 1, ledger.Sent()["long"])
	require.Contains(t, <-late, "[DONE]")
	require.Equal(t, 1, ledger.Sent()["late"])

	for _, bad := range []string{"77", "three", "1"} {
		failing := p.start("PROXY_SOCKET_FD=" + bad)
		require.Error(t, failing.Wait())
		require.Equal(t, InvalidUsage, failing.ProcessState.ExitCode())
		require.Contains(t, failing.said.String(), "PROXY_SOCKET_FD: ")
	}
	require.True(t, second.ready())

	third := p.start()
	require.Eventually(t, third.ready, 6*time.Second, 5*time.Millisecond)
	back := time.Now()
	status, _ = second.says("POST", "/ops/engines/up?id=box-3")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, third.shows("app.hosts_down=1"), time.Second, 5*time.Millisecond)
	require.NoError(t, second.Process.Signal(syscall.SIGTERM))
	require.NoError(t, second.Wait(), second.said)
	require.Eventually(t, func() bool { return !quietSince("box-3", back) }, 5*time.Second, 5*time.Millisecond)
	require.True(t, quietSince("box-2", out), "out over two upgrades")
	stop()
	clients.Wait()
	// An old process that is killed leaves its part of the limits, and what staff decided, to the one that lives.
	last := p.start()
	require.Eventually(t, last.ready, 6*time.Second, 5*time.Millisecond)
	require.NoError(t, third.Process.Kill())
	_ = third.Wait() // killed
	require.Eventually(t, func() bool {
		return strings.Contains(last.logged("sibling process count changed"), `"siblings":0,"limits":{"cores":1,"memory_mb":128,"sockets":512}`)
	}, 2*time.Second, 5*time.Millisecond)
	require.True(t, last.shows("app.hosts_down=1")())
	turnedBack.Range(func(id, what any) bool {
		t.Errorf("%v: %v", id, what)
		return true
	})
	require.Equal(t, 1, ledger.Most())
	asked.Range(func(id, _ any) bool {
		require.Equal(t, 1, ledger.Sent()[id.(string)], "%v", id)
		return true
	})
}
