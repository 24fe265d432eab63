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

// configurationCluster is a cluster of three node processes, a, b and c, that share their configuration. c runs
// batches.
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
	controlAddresses := map[string]string{}
	for _, id := range ids {
		controlAddresses[id] = testpeer.FreeAddress(t)
		members += fmt.Sprintf("[[store.member]]\nid = %q\naddress = %q\ncontrol = %q\n",
			id, testpeer.FreeAddress(t), controlAddresses[id])
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
		text := fmt.Sprintf(sharedConfigurationTestFile,
			id, testpeer.FreeAddress(t), controlAddresses[id], backend, batch, id, members)
		require.NoError(t, os.WriteFile(c.file(id), []byte(text), 0o600))
		c.start(id)
	}
	return c
}

func (c *configurationCluster) file(id string) string { return filepath.Join(c.dir, id, "node.toml") }

func (c *configurationCluster) start(id string) {
	c.t.Helper()
	process := exec.Command(c.program, "serve", "--config", c.file(id))
	output := &processLog{}
	process.Stderr = output
	require.NoError(c.t, process.Start())
	c.t.Cleanup(func() {
		if c.t.Failed() { // a member that could not start, since its address was taken, says so
			c.t.Logf("output of %s:\n%s", id, output)
		}
	})
	c.running[id] = process
}

func (c *configurationCluster) kill(id string) {
	c.t.Helper()
	require.NoError(c.t, c.running[id].Process.Kill())
	_ = c.running[id].Wait()
}

// command runs a config command at a node and returns its output and its exit code.
func (c *configurationCluster) command(id string, args ...string) (string, int) {
	var out, errs bytes.Buffer
	words := append(append([]string{"config"}, args...), "--config", c.file(id))
	code := Main(c.t.Context(), words, Streams{Out: &out, Err: &errs})
	return out.String() + errs.String(), code
}

// requireCommand runs a config command that must end with this exit code, and returns its output.
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

// eventuallySucceeds repeats a command until it succeeds, since the cluster may have no leader yet.
func (c *configurationCluster) eventuallySucceeds(id string, args ...string) {
	c.t.Helper()
	c.eventually(strings.Join(args, " "), func() bool { _, code := c.command(id, args...); return code == OK })
}

// allApplied reports whether all nodes have applied this version of the shared configuration.
func (c *configurationCluster) allApplied(version int) bool {
	text, code := c.command("a", "status")
	return code == OK && strings.Count(text, fmt.Sprintf("  %d  ", version)) >= 3
}

func (c *configurationCluster) eventuallyAllApplied(version int) {
	c.t.Helper()
	c.eventually(fmt.Sprint("version ", version), func() bool { return c.allApplied(version) })
}

// TestSharedConfiguration checks that a change to the shared configuration is validated and applied by all nodes,
// whichever node it is sent to. An invalid change is rejected with its key, and --check writes nothing.
func TestSharedConfiguration(t *testing.T) {
	c := startConfigurationCluster(t)
	c.eventuallySucceeds("a", "init", "--by", "kim", "-m", "first")
	c.eventuallyAllApplied(1)
	c.eventuallySucceeds("b", "set", "class[0].give_up", "6s", "--by", "kim")
	c.eventuallyAllApplied(2)
	c.eventuallySucceeds("c", "set", "class[0].give_up", "7s", "--by", "kim")
	c.eventuallyAllApplied(3)
	require.Equal(t, "7s\n", c.requireCommand(OK, "a", "get", "class[0].give_up"))
	text := c.requireCommand(InvalidUsage, "b", "set", "class[0].give_up", "1s", "--by", "kim")
	require.Contains(t, text, "class[0].give_up: shorter than first_token")
	c.requireCommand(InvalidUsage, "b", "set", "listen", "127.0.0.1:1", "--by", "kim")
	c.requireCommand(OK, "b", "set", "class[0].give_up", "9s", "--by", "kim", "--check")
	require.True(t, c.allApplied(3), "nothing was written")
	c.changeWithoutMember()
	c.changeThatOneMemberRejects()
	require.Contains(t, c.requireCommand(OK, "b", "history"), "while c is down")
	text = c.requireCommand(OK, "b", "diff", "1", "2")
	require.Equal(t, "- class[0].give_up = \"5s\"\n+ class[0].give_up = \"6s\"\n", text)
}

// changeWithoutMember changes a setting while c is down. After its restart c applies the latest version.
func (c *configurationCluster) changeWithoutMember() {
	c.t.Helper()
	c.kill("c")
	c.eventuallySucceeds("a", "set", "class[0].worth", "3.0", "--by", "kim", "-m", "while c is down")
	c.requireCommand(Failed, "a", "status")
	c.start("c")
	c.eventuallyAllApplied(4)
}

// changeThatOneMemberRejects renames a class, which c cannot do while it runs batches. c reports the reason and
// continues with the previous version. If c is the leader, the change is rejected immediately.
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
	c.eventuallyAllApplied(6)
}
