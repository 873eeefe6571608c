package entry

import (
	"net/http"

	"github.com/egrethoist/egrethoist/internal/apikey"
	"github.com/egrethoist/egrethoist/internal/world"
)

// headerAPIKey contains the API key if there is no bearer token.
const headerAPIKey = "X-Api-Key"

// authenticate returns the caller's workspace. It depends only on the API key, not on anything else that a caller can
// set. It also returns the view that it used, so that further lookups use the same configuration. It returns an error if
// there is no configuration yet or no workspace has the key.
func (e *Entry) authenticate(r *http.Request) (*view, *world.Workspace, *Error) {
	v := e.views.current()
	if v == nil {
		return nil, nil, notRun(CodeNotReady, "authenticate", e.opts.Name, "no configuration yet")
	}
	key := apikey.Bearer(r.Header.Get("Authorization"))
	if key == "" {
		key = r.Header.Get(headerAPIKey)
	}
	m, ok := v.keys.Find(key)
	if !ok {
		return nil, nil, notRun(CodeUnauthorized, "authenticate", e.opts.Name, "no workspace has this API key")
	}
	return v, m.Workspace, nil
}
