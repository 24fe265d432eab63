package cli

import (
	"bytes"
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
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","health":"ready","share":1}`,
			name, address))
	}
	p.discovery = testpeer.StartBackend(t, func(w http.ResponseWriter, r *http.Request) {
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
	settings := map[string]any{"balancers": 1, "discovery": "on_request", "period": 2000000, "zones": []string{"a"},
		"shapes": []string{"m"},
		"classes": []any{map[string]any{"name": "chat", "onTime": 1e9, "hardLimit": 3e9, "worth": 1,
			"semantics": "safe", "streamed": true}},
		"limits": map[string]any{"cancel": true, "retryAfter": true, "maxRetryAfter": 2e9, "sendCap": 3},
		"rules":  map[string]any{"askWithin": 10e9, "stopSendingWithin": 5e8}}
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
