// Package examples embeds the sample manifests.
package examples

import (
	_ "embed"
	"sort"

	"github.com/egrethoist/egrethoist/internal/apikey"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Loblolly is the sample manifest of Loblolly Route Works.
//
//go:embed loblolly.jsonc
var Loblolly []byte

// Sangam is the sample manifest of Sangam Yatra Franquicias Central.
//
//go:embed sangam.jsonc
var Sangam []byte

// WorkspaceKey returns the development API key of a sample's workspace.
func WorkspaceKey(workspace string) string { return "sk-dev-" + workspace }

// DevKey returns the development key of the first workspace, by name, that has one; empty if none has.
func DevKey(w *world.World) string {
	names := make([]string, 0, len(w.Workspaces))
	for name := range w.Workspaces {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, k := range w.Workspaces[name].Keys {
			if k.SHA256 == apikey.Hash(WorkspaceKey(name)) {
				return WorkspaceKey(name)
			}
		}
	}
	return ""
}
