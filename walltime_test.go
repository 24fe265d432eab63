package standpoint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// wallTimeAllowed lists the files that may convert times to Unix numbers, each with the reason. Those marked as open
// are to be fixed.
var wallTimeAllowed = map[string]string{
	"internal/clock/clock.go":             "the only package that makes instants",
	"internal/batch/model.go":             "created_at and expires_at are shown as Unix seconds",
	"internal/batch/line.go":              "open: windows and times of lines are stored as wall time",
	"internal/config/endpoints.go":        "start times in an operator's file are wall time",
	"internal/endpoints/stored.go":        "a time in the past; open: ends of records are stored as wall time",
	"internal/endpoints/service.go":       "displays waits",
	"internal/endpoints/origin.go":        "displays start times",
	"internal/edge/read_ahead.go":         "a deadline in the past",
	"internal/dnssd/resolver/exchange.go": "a deadline in the past",
	"internal/fleet/lease/lease.go":       "prints the end of a lease in an error",
	"internal/testpeer/batch_backend.go":  "an emulated backend for tests",
	"internal/testpeer/drain/check.go":    "compares times of one process",
}

// Guards against instants taken from the wall clock, which may be stepped: only internal/clock makes instants. The
// simulations in internal/lab have a clock of their own.
func TestNoWallTime(t *testing.T) {
	seen := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") ||
			strings.HasPrefix(path, "internal/lab/") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			name, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || !slices.Contains([]string{"Unix", "UnixNano", "UnixMicro", "UnixMilli"}, name.Sel.Name) {
				return true
			}
			seen[path] = true
			if wallTimeAllowed[path] == "" {
				t.Errorf("%s: %s makes an instant from the wall clock, use internal/clock instead", path, name.Sel.Name)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for path := range wallTimeAllowed {
		if !seen[path] {
			t.Errorf("%s is listed in wallTimeAllowed but does not use wall time", path)
		}
	}
}
