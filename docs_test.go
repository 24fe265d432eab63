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

// renamedAway are the pages that speak of the tree as it was on a day that is past.
var renamedAway = []string{"docs/review-of-parts.md", "CHANGELOG.md"}

// The links of the documents lead somewhere, and the tests and packages that they name exist. A name may end in a star.
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
		if slices.Contains(renamedAway, page) {
			continue
		}
		for _, name := range testNamePattern.FindAllString(string(content), -1) {
			if !exists(tests, name) {
				t.Errorf("%s: no test %s", page, name)
			}
		}
		for _, name := range packagePattern.FindAllStringSubmatch(string(content), -1) {
			if info, err := os.Stat(name[1]); err != nil || !info.IsDir() {
				t.Errorf("%s: no package %s", page, name[1])
			}
		}
	}
}

func exists(tests []string, name string) bool {
	if prefix, star := strings.CutSuffix(name, "*"); star {
		return slices.ContainsFunc(tests, func(test string) bool { return strings.HasPrefix(test, prefix) })
	}
	return slices.Contains(tests, name)
}

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
