package standpoint_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// uncommented is how many exported items without a doc comment each package still has. A count may only fall.
var uncommented = map[string]int{}

// Every package, and every exported item of it, has a doc comment.
func TestDocComments(t *testing.T) {
	t.Parallel()
	packages, missing := map[string]bool{}, map[string][]string{} // by folder: whether it has a package comment, and what has none
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (strings.HasPrefix(d.Name(), ".") && path != "." || d.Name() == "journal") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		folder := filepath.Dir(path)
		packages[folder] = packages[folder] || file.Doc != nil
		for _, item := range bare(file) {
			missing[folder] = append(missing[folder], fmt.Sprintf("%s: %s", path, item))
		}
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, packages)
	for folder, has := range packages {
		require.True(t, has, "%s has no package comment", folder)
	}
	for folder := range maps.Keys(uncommented) {
		require.Contains(t, packages, folder, "no such package")
	}
	for folder := range packages {
		if len(missing[folder]) != uncommented[folder] {
			t.Errorf(
				"%s: %d items may lack a doc comment, and do: %s",
				folder,
				uncommented[folder],
				strings.Join(missing[folder], "; "),
			)
		}
	}
}

// bare are a file's exported items that have no doc comment: types, functions, methods of exported types, and groups
// of values.
func bare(file *ast.File) []string {
	var all []string
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && exportedReceiver(d) {
				all = append(all, d.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if name, doc := commentOf(spec); name != "" && doc == nil && d.Doc == nil {
					all = append(all, name)
				}
			}
		}
	}
	return all
}

func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	receiver := d.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}

// commentOf is the first exported name that a declaration makes, and its comment.
func commentOf(spec ast.Spec) (string, *ast.CommentGroup) {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		if s.Name.IsExported() {
			return s.Name.Name, s.Doc
		}
	case *ast.ValueSpec:
		for _, name := range s.Names {
			if name.IsExported() {
				if s.Doc != nil {
					return name.Name, s.Doc
				}
				return name.Name, s.Comment
			}
		}
	}
	return "", nil
}

// The check itself finds what has no comment.
func TestDocCommentsAreMissed(t *testing.T) {
	t.Parallel()
	file, err := parser.ParseFile(token.NewFileSet(), "", `package p
type Bare struct{}
// Has one.
type Has struct{}
func (Bare) Method() {}
func (bare) Method() {}
func Bare2[T any]() {}
const (
	A = 1 // has one
	B = 2
	c = 3
)
var D, e = 1, 2
`, parser.ParseComments)
	require.NoError(t, err)
	require.Equal(t, []string{"Bare", "Method", "Bare2", "B", "D"}, bare(file))
}
