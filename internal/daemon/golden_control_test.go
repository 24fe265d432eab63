package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/testpeer"
	"standpoint/internal/testpeer/golden"
)

// goldenOperatorFile has every section that a single process may have, so that every route of the control interface
// exists.
const goldenOperatorFile = `name = "node-a"
listen = %q
console = %q
[module]
zones = ["hall-a"]
zone = "hall-a"
[control]
listen = "unix:c.sock"
[metrics]
listen = %q
[[class]]
name = "chat"
first_token = "1s"
give_up = "5s"
worth = 1.0
[[tenant]]
name = "office"
share = 1.0
[[pool]]
name = "old"
select = 'version == "v1"'
[[pool]]
name = "new"
select = 'version == "v2"'
[[real_server]]
name = "box-1"
address = "127.0.0.1:9"
zone = "hall-a"
labels = { version = "v1" }
[[real_server]]
name = "box-2"
address = "127.0.0.1:9"
zone = "hall-a"
labels = { version = "v2" }
[nodes]
server = "127.0.0.1:9"
domain = "nodes.test"
[batch]
enabled = true
[store]
kind = "memory"
settings = true
[fleet]
listen = %q
[[fleet.seat]]
name = "node-a"
address = "127.0.0.1:7301"
[[fleet.budget]]
tenant = "office"
amount = 1000
[[tool]]
name = "look_up"
[ledger]
dir = "ledger"
`

// shape lists the paths in a JSON value, each with the type of its value.
func shape(value any, path string) []string {
	switch value := value.(type) {
	case map[string]any:
		lines := []string{path + " object"}
		for key, v := range value {
			lines = append(lines, shape(v, path+"."+key)...)
		}
		slices.Sort(lines)
		return lines
	case []any:
		lines := []string{path + " array"}
		for _, v := range value {
			lines = append(lines, shape(v, path+"[]")...)
		}
		slices.Sort(lines)
		return slices.Compact(lines)
	}
	return []string{fmt.Sprintf("%s %T", path, value)}
}

// goldenDaemon runs the daemon with goldenOperatorFile until the test ends. It returns a function that calls its
// control interface, and the address of its metrics.
func goldenDaemon(t *testing.T) (call func(method, path, body string) (status string, content []byte), metrics string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "golden") // the path of t.TempDir may be too long for a unix socket
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	metrics = testpeer.FreeAddress(t)
	path := filepath.Join(dir, "operator.toml")
	text := fmt.Sprintf(goldenOperatorFile,
		testpeer.FreeAddress(t), testpeer.FreeAddress(t), metrics, testpeer.FreeAddress(t))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	exit := make(chan error, 1)
	go func() { exit <- Run(Options{ConfigFile: path, Log: zap.NewNop()}) }()
	t.Cleanup(func() {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		require.NoError(t, <-exit)
	})
	socket := filepath.Join(dir, "c.sock")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) { return net.Dial("unix", socket) }}}
	call = func(method, path, body string) (string, []byte) {
		r, err := http.NewRequestWithContext(t.Context(), method, "http://localhost"+path, strings.NewReader(body))
		require.NoError(t, err)
		response, err := client.Do(r)
		if err != nil {
			return "", nil
		}
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.Status, content
	}
	require.Eventually(t, func() bool {
		_, response := call(http.MethodGet, "/v1/status", "")
		return strings.Contains(string(response), `"serving"`)
	}, 10*time.Second, 10*time.Millisecond)
	return call, metrics
}

// TestGoldenControlInterface compares the control interface with golden files: its paths, the keys and types in its
// responses, and the texts of its errors. It also compares the names and the help of the metrics that are served.
func TestGoldenControlInterface(t *testing.T) {
	call, metrics := goldenDaemon(t)
	var shapes strings.Builder
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/v1/status", ""},
		{"GET", "/v1/pools", ""},
		{"GET", "/v1/entries", ""},
		{"GET", "/v1/nodes", ""},
		{"GET", "/v1/fleet", ""},
		{"GET", "/v1/ledger", ""},
		{"GET", "/v1/sessions", ""},
		{"GET", "/v1/move", ""},
		{"GET", "/v1/move/history", ""},
		{"POST", "/v1/move/plan", `{"to":"new","note":"build 118"}`},
		{"GET", "/v1/config", ""},
		{"GET", "/v1/config/history", ""},
	} {
		status, response := call(c.method, c.path, c.body)
		var value any
		require.NoError(t, json.Unmarshal(response, &value), string(response))
		fmt.Fprintf(&shapes, "%s %s\n\t%s\n\t%s\n", c.method, c.path, status, strings.Join(shape(value, "$"), "\n\t"))
	}
	golden.Bytes(t, "control-shapes.txt", []byte(shapes.String()))

	timestamp := regexp.MustCompile(`"at":"[^"]*"`)
	var messages strings.Builder
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/v1/none", ""},
		{"GET", "/v1/move?wait=soon", ""},
		{"POST", "/v1/move/start", `{"to":"nowhere"}`},
		{"POST", "/v1/move/start", `{"to":"new","hold":"1"}`},
		{"POST", "/v1/move/start", `{"to":"new","floor":2}`},
		{"POST", "/v1/move/start", `{"into":"new"}`},
		{"POST", "/v1/move/pause", `{}`},
		{"POST", "/v1/move/resume", `{}`},
		{"POST", "/v1/move/undo", `{}`},
		{"POST", "/v1/move/dance", `{}`},
		{"POST", "/v1/move/report", `[{"node":""}]`},
		{"GET", "/v1/config/version/7", ""},
		{"GET", "/v1/config/version/seven", ""},
		{"POST", "/v1/config", `{"base":9,"text":"[module]\ncold_share = 0.5\n","author":"kim"}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 0.5\n"}`},
		{"POST", "/v1/config", `{"text":"listen = \"127.0.0.1:1\"\n","author":"kim"}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 5.0\n","author":"kim"}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = \n","author":"kim"}`},
		{"POST", "/v1/config", `{"text":"","author":"kim","why":"x"}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 0.5\n","author":"kim","note":"try","check":true}`},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 0.5\n","author":"kim","note":"first"}`},
		{"GET", "/v1/config/version/1", ""},
		{"GET", "/v1/config/history", ""},
		{"POST", "/v1/config", `{"text":"[module]\ncold_share = 0.6\n","author":"kim"}`},
	} {
		status, response := call(c.method, c.path, c.body)
		fmt.Fprintf(&messages, "%s %s %s\n\t%s\n\t%s", c.method, c.path, c.body, status,
			timestamp.ReplaceAll(response, []byte(`"at":"AT"`)))
	}
	golden.Bytes(t, "control-words.txt", []byte(messages.String()))

	response, err := http.Get("http://" + metrics + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	golden.Bytes(t, "metrics-served.txt", []byte(strings.Join(ownMetrics(string(text), false), "\n")+"\n"))
}
