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

// wallTimeAllowed are the files that may turn times into Unix numbers, and why. What is marked open is not mended
// yet; ROADMAP lists it.
var wallTimeAllowed = map[string]string{
	"internal/clock/clock.go":             "owns time",
	"internal/batch/model.go":             "created_at and expires_at are shown as Unix seconds",
	"internal/batch/line.go":              "open: windows and lines' times are kept as wall time",
	"internal/config/endpoints.go":        "a start that an operator's file tells is a wall time",
	"internal/endpoints/stored.go":        "a time that is past; open: ends of records are kept as wall time",
	"internal/endpoints/service.go":       "shows waits to people",
	"internal/endpoints/origin.go":        "shows starts to people",
	"internal/edge/read_ahead.go":         "a deadline that is past",
	"internal/dnssd/resolver/exchange.go": "a deadline that is past",
	"internal/fleet/lease/lease.go":       "shows a lease's end in an error",
	"internal/testpeer/batch_backend.go":  "a stand-in",
	"internal/testpeer/drain/check.go":    "compares moments of one process",
}

// Guards against instants that are numbers of the wall clock, which may be stepped: internal/clock alone makes them.
// The laboratory has a time of its own.
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
				t.Errorf("%s: %s makes an instant of the wall clock; internal/clock is for that", path, name.Sel.Name)
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
			t.Errorf("%s is allowed wall time, and does not use it", path)
		}
	}
}
