package gateway

import (
	"fmt"
	"strconv"
	"strings"
)

// CacheScope is the scope within which requests share cached parts: a weight version of a model and, if isolated, a workspace.
type CacheScope struct {
	Model     string
	Version   int
	Workspace string // name of an isolated workspace; empty for all others, which share parts
}

// String returns the scope in the form that targets and stores use.
func (s CacheScope) String() string { return fmt.Sprintf("%d/%s/%s", s.Version, s.Workspace, s.Model) }

// parseCacheScope is the inverse of CacheScope.String. It returns false if the text is not a scope.
func parseCacheScope(text string) (CacheScope, bool) {
	version, rest, ok := strings.Cut(text, "/")
	workspace, model, more := strings.Cut(rest, "/")
	if !ok || !more {
		return CacheScope{}, false
	}
	number, err := strconv.Atoi(version)
	return CacheScope{Model: model, Version: number, Workspace: workspace}, err == nil
}

// cacheScope returns the scope in which the request's prompt parts are cached by targets on a weight version.
func (rq *request) cacheScope(version int) CacheScope {
	s := CacheScope{Model: rq.call.Model, Version: version}
	if rq.workspace != nil && rq.workspace.Isolated {
		s.Workspace = rq.workspace.Name
	}
	return s
}
