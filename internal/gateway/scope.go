package gateway

import (
	"fmt"
	"strconv"
	"strings"
)

// Scope keeps apart what must not share cached parts: models, their weight versions, and isolated workspaces.
type CacheScope struct {
	Model     string
	Version   int
	Workspace string // empty for those that share parts
}

// String returns the form in which targets and stores know the scope.
func (s CacheScope) String() string { return fmt.Sprintf("%d/%s/%s", s.Version, s.Workspace, s.Model) }

// parseScope is the reverse of String.
func parseCacheScope(text string) (CacheScope, bool) {
	version, rest, ok := strings.Cut(text, "/")
	workspace, model, more := strings.Cut(rest, "/")
	if !ok || !more {
		return CacheScope{}, false
	}
	number, err := strconv.Atoi(version)
	return CacheScope{Model: model, Version: number, Workspace: workspace}, err == nil
}
