package standpoint

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// known-red.sh tolerates failures of exactly the tests that KNOWN-RED.txt lists, and prints these tests. A script takes
// the place of the go command: it fails the tests that each case names.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("known-red.sh")
	if err != nil {
		t.Fatal(err)
	}
	const a, b = "./x TestA: half a line is lost: 7\n", "./x TestB: late: 8\n"
	for name, c := range map[string]struct {
		list, fail, output string
		ok                 bool
	}{
		"no list":                {ok: true},
		"no list, and one fails": {fail: "TestA"},
		"an empty list":          {list: "\n", ok: true},
		"just those listed": {
			list: a + b, fail: "TestA TestB", ok: true,
			output: "known red: ./x TestB: late: 8",
		},
		"another fails":       {list: a, fail: "TestA TestC"},
		"a listed one passes": {list: a + b, fail: "TestB", output: "passes, and its line is to go: ./x TestA"},
		"listed with a number of repeats": {
			list: "./x TestA -count=40: a race: 7\n", fail: "TestA", ok: true,
			output: "known red: ./x TestA -count=40: a race: 7",
		},
		"listed with repeats, and passes in all": {
			list: "./x TestA -count=40: a race: 7\n", output: "passes, and its line is to go: ./x TestA",
		},
		"listed with repeats, and another fails": {
			list: "./x TestA -count=40: a race: 7\n", fail: "TestA TestC",
		},
		"no number of repeats": {
			list: "./x TestA -count=0: a race: 7\n", fail: "TestA",
			output: "not './package TestName: cause: issue'",
		},
		"it does not build": {list: a, fail: "build", output: "did not fail as a test"},
		"four":              {list: a + b + a + b, fail: "TestA TestB", output: "three may be known to fail"},
		"no cause": {
			list: "./x TestA\n", fail: "TestA",
			output: "not './package TestName: cause: issue'",
		},
		"a name that two tests have": {
			list: "./x TestTwice: late: 8\n", fail: "TestTwice",
			output: "not the name of one test alone",
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			write := func(name, text string, mode os.FileMode) {
				if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), mode); err != nil {
					t.Fatal(err)
				}
			}
			write("x/x_test.go", "func TestA(\nfunc TestB(\nfunc TestC(\nfunc TestTwice(\n", 0o600)
			write("y/y_test.go", "func TestTwice(\n", 0o600)
			write("go", `#!/usr/bin/env bash
pattern=. skip='^$'
while [ $# -gt 0 ]; do
	case $1 in -run) pattern=$2 ;; -skip) skip=$2 ;; esac
	shift
done
for name in `+c.fail+`; do
	[ "$name" = build ] && [ "$pattern" != . ] && { echo "does not build"; exit 1; }
	if [[ $name =~ $pattern ]] && ! [[ $name =~ $skip ]] && [ "$name" != build ]; then
		echo "--- FAIL: $name (0.00s)"
		exit 1
	fi
done
`, 0o700)
			if c.list != "" {
				write("KNOWN-RED.txt", c.list, 0o600)
			}
			command := exec.Command("bash", script)
			command.Dir, command.Env = dir, append(os.Environ(), "GO="+filepath.Join(dir, "go"))
			output, err := command.CombinedOutput()
			if (err == nil) != c.ok || !strings.Contains(string(output), c.output) {
				t.Errorf("error %v, output %q", err, output)
			}
		})
	}
}
