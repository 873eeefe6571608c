// Package sourcecheck parses the code of the module, for tests that hold where something may be done.
package sourcecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// minFiles is the least number of files that a check must see, so that it does not pass because it has found no code.
const minFiles = 100

// Files calls check with each file of the module that is neither a test nor in one of the given directories, which are relative to the module's root, like
// the names of the files. root is the path of the module's root.
func Files(t *testing.T, root string, without []string, check func(name string, files *token.FileSet, file *ast.File)) {
	t.Helper()
	checked := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if d.IsDir() {
			if name != "." && strings.HasPrefix(d.Name(), ".") || d.Name() == "testdata" || slices.Contains(without, name) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		checked++
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		check(name, files, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < minFiles {
		t.Errorf("only %d files checked, want all of the module", checked)
	}
}

// Import returns the name by which a file uses a package, empty if it does not import it. With a dot import, whose names can't be followed, the name is ".".
func Import(file *ast.File, path string) (name string, at token.Pos) {
	for _, spec := range file.Imports {
		if imported, err := strconv.Unquote(spec.Path.Value); err != nil || imported != path {
			continue
		}
		if spec.Name != nil {
			return spec.Name.Name, spec.Pos()
		}
		return path[strings.LastIndex(path, "/")+1:], spec.Pos()
	}
	return "", token.NoPos
}

// Selected returns the name that an expression selects from a package, empty if it selects none.
func Selected(e ast.Expr, pkg string) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if x, ok := s.X.(*ast.Ident); !ok || x.Name != pkg {
		return ""
	}
	return s.Sel.Name
}
