package httpserver

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"github.com/egrethoist/egrethoist/internal/sourcecheck"
)

// ownServers are the directories whose code may make an http.Server: this package, servers for peers, which speak HTTP/2 over TLS, and
// stand-ins and tools that are no part of the product.
var ownServers = []string{
	"internal/httpserver", "internal/peer", "platform/standin", "internal/soak", "internal/fake", "internal/standin", "internal/bench",
	"internal/dev", "cmd/egret-bench", "cmd/egret-dev", "cmd/egret-standin", "review",
}

// Guards against servers beside this package, whose planned stops and time limits close connections with requests that nobody has read.
func TestNoOtherPackageMakesServers(t *testing.T) {
	sourcecheck.Files(t, filepath.Join("..", ".."), ownServers, func(name string, files *token.FileSet, file *ast.File) {
		for _, pos := range madeServers(file) {
			t.Errorf("%s:%d: makes an HTTP server; use internal/httpserver", name, files.Position(pos).Line)
		}
	})
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
	http, at := sourcecheck.Import(file, "net/http")
	if http == "." {
		return []token.Pos{at}
	}
	var found []token.Pos
	isServer := func(e ast.Expr) bool { return sourcecheck.Selected(e, http) == "Server" }
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
			ofHTTP := sourcecheck.Selected(n, http) != ""
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
