package httpserver

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// ownServers are the directories whose code may make an http.Server: this package, servers for peers, which speak HTTP/2 over TLS, and
// stand-ins and tools that are no part of the product.
var ownServers = []string{
	"internal/httpserver", "internal/peer", "platform/standin", "internal/soak", "internal/fake", "internal/standin", "internal/bench",
	"internal/dev", "cmd/egret-bench", "cmd/egret-dev", "cmd/egret-standin", "review",
}

// Guards against servers beside this package, whose planned stops and time limits close connections with requests that nobody has read.
func TestNoOtherPackageMakesServers(t *testing.T) {
	root := filepath.Join("..", "..")
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
			if name != "." && strings.HasPrefix(d.Name(), ".") || d.Name() == "testdata" {
				return filepath.SkipDir
			}
			for _, dir := range ownServers {
				if name == dir {
					return filepath.SkipDir
				}
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
		for _, pos := range madeServers(file) {
			t.Errorf("%s:%d: makes an HTTP server; use internal/httpserver", name, files.Position(pos).Line)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 100 {
		t.Errorf("only %d files checked, want all of the module", checked)
	}
}

// Guards against ways to make a server that the check overlooks, and against findings where none is made.
func TestMadeServers(t *testing.T) {
	for body, want := range map[string]int{
		"var s = http.Server{}":                               1,
		"var s = &http.Server{Addr: a}":                       1,
		"var s = new(http.Server)":                            1,
		"var s http.Server":                                   1,
		"type t struct { http.Server }":                       1,
		"type t struct { s http.Server }":                     1,
		"type t http.Server":                                  1,
		"type t = http.Server":                                1,
		"var s = []http.Server{{}}":                           1,
		"var s = []*http.Server{{}}":                          1,
		"func f() { http.Serve(l, h) }":                       1,
		"func f() { http.ServeTLS(l, h, c, k) }":              1,
		"func f() { run(http.ListenAndServe) }":               1,
		"func f() { http.ListenAndServeTLS(a, c, k, h) }":     1,
		"func f() { s.ListenAndServe() }":                     1,
		"func f(s *http.Server) { s.Serve(l) }":               0,
		"type t struct { s *http.Server }":                    0,
		"func f(w http.ResponseWriter) { http.NewServeMux()}": 0,
	} {
		for _, source := range []string{
			"package p\nimport \"net/http\"\n" + body,
			"package p\nimport web \"net/http\"\n" + strings.ReplaceAll(body, "http.", "web."),
		} {
			file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			if got := len(madeServers(file)); got != want {
				t.Errorf("%q: %d findings, want %d", source, got, want)
			}
		}
	}
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", "package p\nimport . \"net/http\"\nvar s Server", parser.SkipObjectResolution)
	if err != nil || len(madeServers(file)) != 1 {
		t.Errorf("import without a name not found, %v", err)
	}
}

// madeServers returns where a file makes a server of net/http: any use of the type but in a pointer type, and the functions that make
// one. A dot import of net/http counts as well, since its names can't be followed.
func madeServers(file *ast.File) []token.Pos {
	var found []token.Pos
	http := ""
	for _, spec := range file.Imports {
		if path, err := strconv.Unquote(spec.Path.Value); err != nil || path != "net/http" {
			continue
		}
		http = "http"
		if spec.Name != nil {
			http = spec.Name.Name
		}
		if http == "." {
			found = append(found, spec.Pos())
		}
	}
	isServer := func(e ast.Expr) bool {
		s, ok := e.(*ast.SelectorExpr)
		if !ok || s.Sel.Name != "Server" {
			return false
		}
		pkg, ok := s.X.(*ast.Ident)
		return ok && pkg.Name == http
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CompositeLit: // of pointers: elements without a type make servers
			if list, ok := n.Type.(*ast.ArrayType); ok {
				if star, ok := list.Elt.(*ast.StarExpr); ok && isServer(star.X) {
					found = append(found, n.Pos())
				}
			}
		case *ast.StarExpr:
			return !isServer(n.X)
		case *ast.SelectorExpr:
			pkg, _ := n.X.(*ast.Ident)
			ofHTTP := pkg != nil && pkg.Name == http
			switch n.Sel.Name {
			case "ListenAndServe", "ListenAndServeTLS":
				found = append(found, n.Pos())
			case "Server", "Serve", "ServeTLS":
				if ofHTTP {
					found = append(found, n.Pos())
				}
			}
		}
		return true
	})
	return found
}
