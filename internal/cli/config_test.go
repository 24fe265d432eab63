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

// Three nodes as processes share their configuration: a change is checked whole and taken on by all; what is faulty is
// refused with its key; a node that is down comes back by the latest version; one that cannot take a version on says so
// and goes on.
func TestSharedConfiguration(t *testing.T) {
	dir := t.TempDir()
	program := build(t)
	box := testpeer.Server(t, func(w http.ResponseWriter, _ *http.Request) {
		testpeer.Event(w, "a")
		testpeer.Finish(w)
	})
	ids := []string{"a", "b", "c"}
	members, fronts, controls := "", map[string]string{}, map[string]string{}
	for _, id := range ids {
		fronts[id], controls[id] = testpeer.FreeAddress(t), testpeer.FreeAddress(t)
		members += fmt.Sprintf("[[store.member]]\nid = %q\naddress = %q\ncontrol = %q\n", id, testpeer.FreeAddress(t), controls[id])
	}
	file := func(id string) string { return filepath.Join(dir, id, "node.toml") }
	running := map[string]*exec.Cmd{}
	start := func(id string) {
		c := exec.Command(program, "serve", "--config", file(id))
		require.NoError(t, c.Start())
		running[id] = c
	}
	for _, id := range ids {
		require.NoError(t, os.Mkdir(filepath.Join(dir, id), 0o700))
		require.NoError(t, os.WriteFile(filepath.Join(dir, id, "token"), []byte("a-token-that-is-long-enough"), 0o600))
		batch := map[string]string{"c": "[batch]\nenabled = true\n"}[id]
		require.NoError(t, os.WriteFile(file(id), []byte(fmt.Sprintf(`name = %q
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
%s`, id, fronts[id], controls[id], box, batch, id, members)), 0o600))
		start(id)
	}
	defer func() {
		for _, c := range running {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}()
	command := func(id string, args ...string) (string, int) {
		var out, errs bytes.Buffer
		code := Main(t.Context(), append(append([]string{"config"}, args...), "--config", file(id)), Streams{Out: &out, Err: &errs})
		return out.String() + errs.String(), code
	}
	eventually := func(what string, ok func() bool) {
		t.Helper()
		require.Eventually(t, ok, 40*time.Second, 50*time.Millisecond, what)
	}
	all := func(n int) func() bool {
		return func() bool {
			text, code := command("a", "status")
			return code == OK && strings.Count(text, fmt.Sprintf("  %d  ", n)) >= 3
		}
	}
	eventually("init", func() bool { _, code := command("a", "init", "--by", "kim", "-m", "first"); return code == OK })
	eventually("all by version 1", all(1))
	// Through any node; the leader writes.
	for i, id := range []string{"b", "c"} {
		eventually("set", func() bool {
			_, code := command(id, "set", "class[0].give_up", fmt.Sprintf("%ds", 6+i), "--by", "kim")
			return code == OK
		})
		eventually("all by the next", all(2+i))
	}
	text, code := command("a", "get", "class[0].give_up")
	require.Equal(t, OK, code, text)
	require.Equal(t, "7s\n", text)
	text, code = command("b", "set", "class[0].give_up", "1s", "--by", "kim")
	require.Equal(t, InvalidUsage, code, text)
	require.Contains(t, text, "class[0].give_up: shorter than first_token")
	text, code = command("b", "set", "listen", "127.0.0.1:1", "--by", "kim")
	require.Equal(t, InvalidUsage, code, text)
	text, code = command("b", "set", "class[0].give_up", "9s", "--by", "kim", "--check")
	require.Equal(t, OK, code, text)
	require.True(t, all(3)(), "nothing was written")

	// c is killed; the others change a setting; it comes back by the latest.
	require.NoError(t, running["c"].Process.Kill())
	_ = running["c"].Wait()
	eventually("set without c", func() bool {
		_, code := command("a", "set", "class[0].worth", "3.0", "--by", "kim", "-m", "while c is down")
		return code == OK
	})
	text, code = command("a", "status")
	require.Equal(t, Failed, code, text)
	start("c")
	eventually("c is back", all(4))

	// c carries batches, and cannot have its classes renamed while they run: it says so and goes on.
	eventually("rename", func() bool {
		text, code = command("a", "set", "class[0].name", "talk", "--by", "kim")
		return code == OK || code == InvalidUsage
	})
	if code == OK { // the leader was a or b
		eventually("c refuses", func() bool {
			text, _ := command("a", "status")
			return strings.Contains(text, "cannot change while")
		})
		text, code = command("a", "rollback", "4", "--by", "kim")
		require.Equal(t, OK, code, text)
		eventually("all are together again", all(6))
	} else {
		require.Contains(t, text, "cannot change while")
	}
	text, code = command("b", "history")
	require.Equal(t, OK, code, text)
	require.Contains(t, text, "while c is down")
	text, code = command("b", "diff", "1", "2")
	require.Equal(t, OK, code, text)
	require.Equal(t, "- class[0].give_up = \"5s\"\n+ class[0].give_up = \"6s\"\n", text)
}
