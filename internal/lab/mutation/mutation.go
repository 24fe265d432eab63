// Package mutation does mutation testing of the fleet's decision packages: in a copy of the source tree it removes
// guards from the code, one at a time, and runs the tests. A guard whose removal fails no test is not covered by any.
package mutation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

const (
	fleetDirectory = "internal/fleet"
	testTimeout    = 100 * time.Second // for the tests of one package
	runTimeout     = 2 * time.Minute   // for compiling and running the tests of one package
)

// ErrBaseline is the error of a package whose tests fail with all guards in place. Their failures without a guard would
// prove nothing.
var ErrBaseline = errors.New("tests fail with all guards in place")

// randomRuns matches the number of random runs after which a property test failed.
var randomRuns = regexp.MustCompile(`failed after (\d+) tests`)

// Run removes each guard in a copy of the source tree at root and writes to out, one line a guard, whether the tests of
// its package detect that. It returns the number of guards whose removal no test detects.
func Run(ctx context.Context, root string, out io.Writer) (undetected int, err error) {
	directory, err := os.MkdirTemp("", "mutation-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // created above
	if err := copyTree(root, directory); err != nil {
		return 0, err
	}
	if err := checkBaseline(ctx, directory); err != nil {
		return 0, err
	}
	for _, guard := range Guards {
		if err := ctx.Err(); err != nil {
			return undetected, err
		}
		start := time.Now()
		finding, err := testWithout(ctx, directory, guard)
		if err != nil {
			return undetected, err
		}
		if finding == notDetected {
			undetected++
		}
		fmt.Fprintf(out, "%-64s %-30s %.1f s\n", guard.Effect, finding, time.Since(start).Seconds())
	}
	return undetected, nil
}

// checkBaseline runs the tests of all packages that have guards, with all guards in place.
func checkBaseline(ctx context.Context, directory string) error {
	checked := map[string]bool{}
	for _, guard := range Guards {
		if checked[guard.Package] {
			continue
		}
		checked[guard.Package] = true
		if output, err := runTests(ctx, directory, guard.Package); err != nil {
			return fmt.Errorf("%s: %w:\n%s", guard.Package, ErrBaseline, output)
		}
	}
	return nil
}

// notDetected is the finding for a guard whose removal fails no test.
const notDetected = "not detected"

// testWithout removes one guard, runs the tests of its package and restores the guard. It returns the finding: whether
// the tests detect the removal, and after how many random runs if a property test does.
func testWithout(ctx context.Context, directory string, guard Guard) (finding string, err error) {
	path := filepath.Join(directory, fleetDirectory, guard.Package, guard.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(source), guard.Text); count != 1 {
		return "", fmt.Errorf("%s: guard %q occurs %d times, want 1", guard.File, guard.Text, count)
	}
	mutant := strings.Replace(string(source), guard.Text, guard.Without, 1)
	if err := os.WriteFile(path, []byte(mutant), 0o600); err != nil {
		return "", err
	}
	output, failure := runTests(ctx, directory, guard.Package)
	if err := os.WriteFile(path, source, 0o600); err != nil {
		return "", err
	}
	if failure == nil {
		return notDetected, nil
	}
	if strings.Contains(output, "[build failed]") {
		return "", fmt.Errorf("%s does not build without its guard:\n%s", guard.File, output)
	}
	if runs := randomRuns.FindStringSubmatch(output); runs != nil {
		return "detected after " + runs[1] + " random runs", nil
	}
	return "detected", nil
}

// runTests runs the tests of a package below internal/fleet and returns their output.
func runTests(ctx context.Context, directory, name string) (output string, err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	timeout := "-timeout=" + testTimeout.String()
	command := exec.CommandContext(ctx, "go", "test", "-count=1", timeout, "./"+fleetDirectory+"/"+name)
	command.Dir = directory
	printed, err := command.CombinedOutput()
	return string(printed), err
}

// skippedDirectories are the names of directories without files that the tests of the fleet's packages need.
var skippedDirectories = map[string]bool{".git": true, "journal": true, "bin": true}

// copyTree copies the Go sources, the module files and the test data of a source tree.
func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, relative)
		if entry.IsDir() {
			if skippedDirectories[entry.Name()] {
				return filepath.SkipDir
			}
			return os.MkdirAll(target, 0o700)
		}
		if !entry.Type().IsRegular() || !isNeeded(relative) {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(target, content, 0o600)
	})
}

// isNeeded reports whether copyTree copies the file at a path relative to the source tree.
func isNeeded(path string) bool {
	name := filepath.Base(path)
	return strings.HasSuffix(name, ".go") ||
		name == "go.mod" ||
		name == "go.sum" ||
		strings.Contains(filepath.ToSlash(path), "testdata/")
}
