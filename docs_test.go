package standpoint_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	linkPattern     = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)]*)?\)`)
	testNamePattern = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*\b\*?`)
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]*)\(`)
	packagePattern  = regexp.MustCompile("`(internal/[a-z0-9/]+)`")
)

// historicalPages describe earlier states of the tree, so the tests and packages that they name need not exist any
// more.
var historicalPages = []string{"docs/review-of-parts.md", "CHANGELOG.md"}

// The files that documents link to exist, and so do the tests and packages that they name. The name of a test may end
// in a star, which stands for any ending.
func TestDocumentsNameWhatExists(t *testing.T) {
	t.Parallel()
	tests := declaredTests(t)
	for _, page := range documents(t) {
		content, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, link := range linkPattern.FindAllStringSubmatch(string(content), -1) {
			if strings.Contains(link[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link[1]))
			require.NoError(t, err, "%s: link to %s", page, link[1])
		}
		if slices.Contains(historicalPages, page) {
			continue
		}
		for _, name := range testNamePattern.FindAllString(string(content), -1) {
			if !isDeclared(tests, name) {
				t.Errorf("%s: test %s does not exist", page, name)
			}
		}
		for _, name := range packagePattern.FindAllStringSubmatch(string(content), -1) {
			if info, err := os.Stat(name[1]); err != nil || !info.IsDir() {
				t.Errorf("%s: package %s does not exist", page, name[1])
			}
		}
	}
}

// isDeclared reports whether a test of this name exists, or, for a name that ends in a star, one that begins with it.
func isDeclared(tests []string, name string) bool {
	if prefix, star := strings.CutSuffix(name, "*"); star {
		return slices.ContainsFunc(tests, func(test string) bool { return strings.HasPrefix(test, prefix) })
	}
	return slices.Contains(tests, name)
}

// documents returns the paths of the Markdown pages.
func documents(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md", "CHANGELOG.md"}
	err := filepath.WalkDir("docs", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	})
	require.NoError(t, err)
	return pages
}

// declaredTests returns the names of all tests, fuzz tests and benchmarks of the module.
func declaredTests(t *testing.T) []string {
	t.Helper()
	var names []string
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, declaration := range testDeclaration.FindAllStringSubmatch(string(content), -1) {
			names = append(names, declaration[1])
		}
		return nil
	})
	require.NoError(t, err)
	return names
}
