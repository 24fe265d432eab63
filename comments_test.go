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

// undocumentedAllowed is the number of exported items without a doc comment that each package still has, by folder. A
// number may only be lowered.
var undocumentedAllowed = map[string]int{}

// Every package, and every exported item of it, has a doc comment.
func TestDocComments(t *testing.T) {
	t.Parallel()
	// By folder: whether the package has a doc comment, and its exported items that have none.
	packages, missing := map[string]bool{}, map[string][]string{}
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
		for _, item := range undocumented(file) {
			missing[folder] = append(missing[folder], fmt.Sprintf("%s: %s", path, item))
		}
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, packages)
	for folder, has := range packages {
		require.True(t, has, "%s has no package comment", folder)
	}
	for folder := range maps.Keys(undocumentedAllowed) {
		require.Contains(t, packages, folder, "undocumentedAllowed names a package that does not exist")
	}
	for folder := range packages {
		if len(missing[folder]) != undocumentedAllowed[folder] {
			t.Errorf(
				"%s: %d items may lack a doc comment, and these do: %s",
				folder,
				undocumentedAllowed[folder],
				strings.Join(missing[folder], "; "),
			)
		}
	}
}

// undocumented returns the names of a file's exported items that have no doc comment: types, functions, methods of
// exported types, constants and variables.
func undocumented(file *ast.File) []string {
	var all []string
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && exportedReceiver(d) {
				all = append(all, d.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if name, doc := exportedNameAndDoc(spec); name != "" && doc == nil && d.Doc == nil {
					all = append(all, name)
				}
			}
		}
	}
	return all
}

// exportedReceiver reports whether d is a function, or a method of an exported type.
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

// exportedNameAndDoc returns the first exported name that a declaration introduces, and its doc comment.
func exportedNameAndDoc(spec ast.Spec) (string, *ast.CommentGroup) {
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

// The check finds each kind of exported item that has no doc comment.
func TestMissingDocCommentsAreFound(t *testing.T) {
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
	require.Equal(t, []string{"Bare", "Method", "Bare2", "B", "D"}, undocumented(file))
}
