package gateway

import (
	"strconv"
	"strings"
)

// CacheScope is the scope within which requests share cached parts: a weight version of a model, and either a workspace or a scope that
// workspaces share.
type CacheScope struct {
	Model     string
	Version   int
	Workspace string // name of the only workspace that uses the scope; empty if it is shared
	Shared    string // name of the shared scope; empty if no workspaces are declared
}

// String returns the scope as the text under which targets and KV-cache stores cache its parts.
func (s CacheScope) String() string {
	version := strconv.Itoa(s.Version)
	if s.Shared != "" {
		version += sharedMark + s.Shared
	}
	return version + "/" + s.Workspace + "/" + s.Model
}

const (
	// sharedMark precedes the name of a shared scope in the text of a scope.
	sharedMark = "+"
	// keylessScope is the name of the scope of requests without a key while no shared scope is usable. IDs of shared scopes are hexadecimal.
	keylessScope = "keyless"
)

// parseCacheScope is the inverse of CacheScope.String. It returns false if the text is not a scope.
func parseCacheScope(text string) (CacheScope, bool) {
	version, rest, ok := strings.Cut(text, "/")
	workspace, model, more := strings.Cut(rest, "/")
	if !ok || !more {
		return CacheScope{}, false
	}
	version, shared, _ := strings.Cut(version, sharedMark)
	number, err := strconv.Atoi(version)
	return CacheScope{Model: model, Version: number, Workspace: workspace, Shared: shared}, err == nil
}

// cacheScope returns the scope in which the request's prompt parts are cached by targets on a weight version, if it is sent now. No scope is
// shared by old metadata: a workspace may have been isolated since.
func (rq *request) cacheScope(version int) CacheScope {
	s := CacheScope{Model: rq.call.Model, Version: version}
	shared := rq.view.shared
	if shared != nil && !rq.gateway.opts.State.sharesCache() {
		shared = nil
	}
	switch {
	case rq.view.catalog.Workspaces == 0:
	case rq.workspace == nil && shared != nil:
		s.Shared = shared.name()
	case rq.workspace == nil:
		s.Shared = keylessScope
	case !rq.workspace.Isolated && shared != nil && shared.has(rq.workspace.Name):
		s.Shared = shared.name()
	default:
		s.Workspace = rq.workspace.Name
	}
	return s
}
