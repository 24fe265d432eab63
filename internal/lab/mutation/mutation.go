// Package mutation shows that the tests find what they are for: it takes guards out of the fleet's deciding packages, one
// by one, in a copy of the tree, and runs the tests. A guard whose loss no test finds is one that nothing proves.
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
	testTimeout    = 100 * time.Second
	// runTimeout is for the compiler and the tests.
	runTimeout = 2 * time.Minute
)

// ErrBaseline is the error of a package whose tests fail with all guards in place: what they find would mean nothing.
var ErrBaseline = errors.New("tests fail with all guards in place")

// drawnRuns finds how many runs a property test took to fail.
var drawnRuns = regexp.MustCompile(`failed after (\d+) tests`)

// Run takes each guard out in a copy of the tree at root, and writes what the tests say of it. It returns how many guards
// no test misses.
func Run(ctx context.Context, root string, out io.Writer) (missed int, err error) {
	directory, err := os.MkdirTemp("", "mutation-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a folder of its own
	if err := copyTree(root, directory); err != nil {
		return 0, err
	}
	if err := checkBaseline(ctx, directory); err != nil {
		return 0, err
	}
	for _, guard := range Guards {
		if err := ctx.Err(); err != nil {
			return missed, err
		}
		from := time.Now()
		finding, err := takeOut(ctx, directory, guard)
		if err != nil {
			return missed, err
		}
		if finding == notFound {
			missed++
		}
		fmt.Fprintf(out, "%-64s %-30s %.1f s\n", guard.What, finding, time.Since(from).Seconds())
	}
	return missed, nil
}

// checkBaseline runs the tests of all packages that have guards, with the guards in place.
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

// notFound is the finding of a guard that no test misses.
const notFound = "not found"

// takeOut takes one guard out, runs the tests of its package, and puts it back. It returns what found the loss.
func takeOut(ctx context.Context, directory string, guard Guard) (finding string, err error) {
	path := filepath.Join(directory, fleetDirectory, guard.Package, guard.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(source), guard.Text); count != 1 {
		return "", fmt.Errorf("%s: %q occurs %d times", guard.File, guard.Text, count)
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
		return notFound, nil
	}
	if strings.Contains(output, "[build failed]") {
		return "", fmt.Errorf("%s does not build without its guard:\n%s", guard.File, output)
	}
	if runs := drawnRuns.FindStringSubmatch(output); runs != nil {
		return "found after " + runs[1] + " drawn runs", nil
	}
	return "found", nil
}

// runTests runs the tests of a package below internal/fleet, and returns what they printed.
func runTests(ctx context.Context, directory, name string) (output string, err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	timeout := "-timeout=" + testTimeout.String()
	command := exec.CommandContext(ctx, "go", "test", "-count=1", timeout, "./"+fleetDirectory+"/"+name)
	command.Dir = directory
	printed, err := command.CombinedOutput()
	return string(printed), err
}

// skippedDirectories hold nothing that the tests of the fleet's packages need.
var skippedDirectories = map[string]bool{".git": true, "journal": true, "bin": true}

// copyTree copies the sources, the module's files and the files that tests read.
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

func isNeeded(path string) bool {
	name := filepath.Base(path)
	return strings.HasSuffix(name, ".go") ||
		name == "go.mod" ||
		name == "go.sum" ||
		strings.Contains(filepath.ToSlash(path), "testdata/")
}
