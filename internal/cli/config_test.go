package cli

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
)

const sharedConfigurationTestFile = `name = %q
listen = %q
[log]
level = "error"
[control]
listen = %q
token_file = "token"
[[class]]
name = "chat"
first_token = "2s"
give_up = "5s"
worth = 1.0
[[real_server]]
name = "box-1"
address = %q
%s[store]
kind = "raft"
id = %q
dir = "state"
heartbeat = "100ms"
settings = true
%s`

// configurationCluster are three nodes as processes, a, b and c, that share their configuration. c runs batches.
type configurationCluster struct {
	t       *testing.T
	dir     string
	program string
	running map[string]*exec.Cmd
}

func startConfigurationCluster(t *testing.T) *configurationCluster {
	t.Helper()
	c := &configurationCluster{t: t, dir: t.TempDir(), program: build(t), running: map[string]*exec.Cmd{}}
	backend := testpeer.StartBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.WriteEvent(w, "a")
		testpeer.WriteStreamEnd(w)
	})
	ids := []string{"a", "b", "c"}
	members := ""
	controls := map[string]string{}
	for _, id := range ids {
		controls[id] = testpeer.FreeAddress(t)
		members += fmt.Sprintf("[[store.member]]\nid = %q\naddress = %q\ncontrol = %q\n",
			id, testpeer.FreeAddress(t), controls[id])
	}
	t.Cleanup(func() {
		for _, process := range c.running {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	})
	for _, id := range ids {
		require.NoError(t, os.Mkdir(filepath.Join(c.dir, id), 0o700))
		token := filepath.Join(c.dir, id, "token")
		require.NoError(t, os.WriteFile(token, []byte("a-token-that-is-long-enough"), 0o600))
		batch := map[string]string{"c": "[batch]\nenabled = true\n"}[id]
		text := fmt.Sprintf(sharedConfigurationTestFile, id, testpeer.FreeAddress(t), controls[id], backend, batch,
			id, members)
		require.NoError(t, os.WriteFile(c.file(id), []byte(text), 0o600))
		c.start(id)
	}
	return c
}

func (c *configurationCluster) file(id string) string { return filepath.Join(c.dir, id, "node.toml") }

func (c *configurationCluster) start(id string) {
	c.t.Helper()
	process := exec.Command(c.program, "serve", "--config", c.file(id))
	require.NoError(c.t, process.Start())
	c.running[id] = process
}

func (c *configurationCluster) kill(id string) {
	c.t.Helper()
	require.NoError(c.t, c.running[id].Process.Kill())
	_ = c.running[id].Wait()
}

// command runs a config command at a node, and returns what it prints and its exit code.
func (c *configurationCluster) command(id string, args ...string) (string, int) {
	var out, errs bytes.Buffer
	words := append(append([]string{"config"}, args...), "--config", c.file(id))
	code := Main(c.t.Context(), words, Streams{Out: &out, Err: &errs})
	return out.String() + errs.String(), code
}

// requireCommand runs a config command that must end with a code, and returns what it prints.
func (c *configurationCluster) requireCommand(code int, id string, args ...string) string {
	c.t.Helper()
	text, got := c.command(id, args...)
	require.Equal(c.t, code, got, text)
	return text
}

func (c *configurationCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, 40*time.Second, 50*time.Millisecond, what)
}

// eventuallyDone repeats a command until it succeeds: there may be no leader yet.
func (c *configurationCluster) eventuallyDone(id string, args ...string) {
	c.t.Helper()
	c.eventually(strings.Join(args, " "), func() bool { _, code := c.command(id, args...); return code == OK })
}

// allServeBy tells whether all nodes serve by a version.
func (c *configurationCluster) allServeBy(version int) bool {
	text, code := c.command("a", "status")
	return code == OK && strings.Count(text, fmt.Sprintf("  %d  ", version)) >= 3
}

func (c *configurationCluster) eventuallyAllServeBy(version int) {
	c.t.Helper()
	c.eventually(fmt.Sprint("version ", version), func() bool { return c.allServeBy(version) })
}

// A change is checked as a whole and applied by all nodes, whichever of them it is sent to. One that is faulty is
// rejected with its key.
func TestSharedConfiguration(t *testing.T) {
	c := startConfigurationCluster(t)
	c.eventuallyDone("a", "init", "--by", "kim", "-m", "first")
	c.eventuallyAllServeBy(1)
	c.eventuallyDone("b", "set", "class[0].give_up", "6s", "--by", "kim")
	c.eventuallyAllServeBy(2)
	c.eventuallyDone("c", "set", "class[0].give_up", "7s", "--by", "kim")
	c.eventuallyAllServeBy(3)
	require.Equal(t, "7s\n", c.requireCommand(OK, "a", "get", "class[0].give_up"))
	text := c.requireCommand(InvalidUsage, "b", "set", "class[0].give_up", "1s", "--by", "kim")
	require.Contains(t, text, "class[0].give_up: shorter than first_token")
	c.requireCommand(InvalidUsage, "b", "set", "listen", "127.0.0.1:1", "--by", "kim")
	c.requireCommand(OK, "b", "set", "class[0].give_up", "9s", "--by", "kim", "--check")
	require.True(t, c.allServeBy(3), "nothing was written")
	c.changeWithoutMember()
	c.changeThatOneMemberRejects()
	require.Contains(t, c.requireCommand(OK, "b", "history"), "while c is down")
	text = c.requireCommand(OK, "b", "diff", "1", "2")
	require.Equal(t, "- class[0].give_up = \"5s\"\n+ class[0].give_up = \"6s\"\n", text)
}

// A node that was down while a setting changed comes back by the latest version.
func (c *configurationCluster) changeWithoutMember() {
	c.t.Helper()
	c.kill("c")
	c.eventuallyDone("a", "set", "class[0].worth", "3.0", "--by", "kim", "-m", "while c is down")
	c.requireCommand(Failed, "a", "status")
	c.start("c")
	c.eventuallyAllServeBy(4)
}

// c carries batches, and cannot rename its classes while they run. It says so and goes on by the version before.
// Where c leads, the change is rejected at once.
func (c *configurationCluster) changeThatOneMemberRejects() {
	c.t.Helper()
	var text string
	var code int
	c.eventually("rename", func() bool {
		text, code = c.command("a", "set", "class[0].name", "talk", "--by", "kim")
		return code == OK || code == InvalidUsage
	})
	if code == InvalidUsage {
		require.Contains(c.t, text, "cannot change while")
		return
	}
	c.eventually("c rejects it", func() bool {
		text, _ := c.command("a", "status")
		return strings.Contains(text, "cannot change while")
	})
	c.requireCommand(OK, "a", "rollback", "4", "--by", "kim")
	c.eventuallyAllServeBy(6)
}
