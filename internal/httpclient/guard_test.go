package httpclient

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"github.com/egrethoist/egrethoist/internal/sourcecheck"
)

// ownClients are the directories whose code may read answers on its own: this package, clients between our processes, which speak HTTP/2, and the
// users' review.
var ownClients = []string{"internal/httpclient", "internal/peer", "review"}

// Guards against readers of answers beside this package, tools included, which would take an answer that breaks HTTP for one, or a cut one for whole.
func TestNoOtherPackageReadsAnswers(t *testing.T) {
	sourcecheck.Files(t, filepath.Join("..", ".."), ownClients, func(name string, files *token.FileSet, file *ast.File) {
		for _, pos := range uncheckedReaders(file) {
			t.Errorf("%s:%d: reads answers of HTTP; use internal/httpclient", name, files.Position(pos).Line)
		}
	})
}

// Guards against ways to read answers that the check overlooks, and against findings where there are none.
func TestUncheckedReaders(t *testing.T) {
	for body, want := range map[string]int{
		"var t = &http.Transport{}":                                              1,
		"var t = http.Transport{}":                                               1,
		"var t http.Transport":                                                   1,
		"var t = new(http.Transport)":                                            1,
		"type t struct { http.Transport }":                                       1,
		"var c = &http.Client{}":                                                 1,
		"var c = http.Client{Timeout: 1}":                                        1,
		"var c http.Client":                                                      1,
		"var c = new(http.Client)":                                               1,
		"var c = &http.Client{Transport: http.DefaultTransport}":                 1,
		"var c = &http.Client{Transport: &http.Transport{}}":                     1,
		"var c = http.DefaultClient":                                             1,
		"func f() { http.Get(u) }":                                               1,
		"func f() { http.Post(u, t, b) }":                                        1,
		"func f() { http.PostForm(u, v) }":                                       1,
		"func f() { http.Head(u) }":                                              1,
		"func f() { http.ReadResponse(r, nil) }":                                 1,
		"var read = http.ReadResponse":                                           1,
		"var t = other.New(&http.Transport{})":                                   1,
		"var t = httpclient.New(&http.Transport{})":                              0,
		"var c = &http.Client{Transport: httpclient.New(&http.Transport{})}":     0,
		"var c = &http.Client{Transport: t, Timeout: 1}":                         0,
		"func f(c *http.Client, t *http.Transport) { c.Get(u); t.RoundTrip(r) }": 0,
		"func f(r *http.Request) { http.ReadRequest(b) }":                        0,
	} {
		for _, source := range []string{
			"package p\nimport \"net/http\"\n" + body,
			"package p\nimport web \"net/http\"\n" + strings.ReplaceAll(body, "http.", "web."),
		} {
			file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			if got := len(uncheckedReaders(file)); got != want {
				t.Errorf("%q: %d findings, want %d", source, got, want)
			}
		}
	}
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", "package p\nimport . \"net/http\"\nvar c Client", parser.SkipObjectResolution)
	if err != nil || len(uncheckedReaders(file)) != 1 {
		t.Errorf("import without a name not found, %v", err)
	}
}

// uncheckedReaders returns where a file makes a client or a transport of net/http, or uses one that net/http has made, or reads a response itself. A transport
// may be made for New, and a client with a transport.
func uncheckedReaders(file *ast.File) []token.Pos {
	pkg, at := sourcecheck.Import(file, "net/http")
	if pkg == "." {
		return []token.Pos{at}
	}
	var found []token.Pos
	var inspect func(n ast.Node) bool
	inspect = func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if sourcecheck.Selected(n.Fun, "httpclient") == "New" && len(n.Args) == 1 {
				if literal := transportLiteral(n.Args[0], pkg); literal != nil {
					for _, field := range literal.Elts {
						ast.Inspect(field, inspect)
					}
					return false
				}
			}
		case *ast.CompositeLit:
			if sourcecheck.Selected(n.Type, pkg) == "Client" && hasField(n, "Transport") {
				for _, field := range n.Elts {
					ast.Inspect(field, inspect)
				}
				return false
			}
		case *ast.StarExpr: // a pointer type makes none
			switch sourcecheck.Selected(n.X, pkg) {
			case "Client", "Transport":
				return false
			}
		case *ast.SelectorExpr:
			switch sourcecheck.Selected(n, pkg) {
			case "Client", "Transport", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm", "ReadResponse":
				found = append(found, n.Pos())
			}
		}
		return true
	}
	ast.Inspect(file, inspect)
	return found
}

// transportLiteral returns the literal of a pointer to a new transport, nil if the expression is something else.
func transportLiteral(e ast.Expr, pkg string) *ast.CompositeLit {
	address, ok := e.(*ast.UnaryExpr)
	if !ok || address.Op != token.AND {
		return nil
	}
	literal, ok := address.X.(*ast.CompositeLit)
	if !ok || sourcecheck.Selected(literal.Type, pkg) != "Transport" {
		return nil
	}
	return literal
}

// hasField reports whether a literal of a struct sets a field.
func hasField(literal *ast.CompositeLit, name string) bool {
	for _, e := range literal.Elts {
		if pair, ok := e.(*ast.KeyValueExpr); ok {
			if key, ok := pair.Key.(*ast.Ident); ok && key.Name == name {
				return true
			}
		}
	}
	return false
}
