package egretctl

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// An answer that is not the status of a process must not be shown as one without targets and at revision 0.
func TestIncompleteStatusFails(t *testing.T) {
	const whole = `{"name":"entry-1","role":"entry","revision":7,"targets":[]}`
	for name, c := range map[string]struct {
		status int
		body   string
		length int // stated length; zero: that of the body
		ok     bool
	}{
		"whole":                   {status: 200, body: whole, ok: true},
		"shorter than its length": {status: 200, body: whole, length: len(whole) + 1},
		"null":                    {status: 200, body: "null"},
		"empty object":            {status: 200, body: "{}"},
		"another object":          {status: 200, body: `{"status":"ok"}`},
		"empty":                   {status: 200},
		"page":                    {status: 200, body: "<html></html>"},
		"two values":              {status: 200, body: whole + whole},
		"partial content":         {status: 206, body: whole},
		"redirect":                {status: 302},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/elsewhere" {
				_, _ = fmt.Fprint(w, whole)
				return
			}
			w.Header().Set("Location", "/elsewhere")
			w.Header().Set("Content-Length", fmt.Sprint(max(c.length, len(c.body))))
			w.WriteHeader(c.status)
			_, _ = fmt.Fprint(w, c.body)
		}))
		if p, err := ask(t.Context(), newStatusClient(), strings.TrimPrefix(s.URL, "http://")); (err == nil) != c.ok {
			t.Errorf("%s: %+v, %v", name, p, err)
		}
		s.Close()
	}
	for name, raw := range rawhttp.Broken("", whole) {
		if p, err := ask(t.Context(), newStatusClient(), rawhttp.Serve(t, rawhttp.Always(raw))); err == nil {
			t.Errorf("%s: %+v", name, p)
		}
	}
	for name, raw := range rawhttp.Sound("", whole) {
		if _, err := ask(t.Context(), newStatusClient(), rawhttp.Serve(t, rawhttp.Always(raw))); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
