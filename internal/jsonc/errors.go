package jsonc

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one error in a source file. Line and Column count from 1; Column counts bytes.
type Error struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"` // JSON path from the root, such as $.services[0].name
	Message string `json:"message"`
}

func (e Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Path, e.Message)
}

// Errors holds all errors in a source file, ordered by position.
type Errors struct {
	List []Error `json:"errors"`
}

func (e *Errors) Error() string {
	lines := make([]string, len(e.List))
	for i := range e.List {
		lines[i] = e.List[i].Error()
	}
	return strings.Join(lines, "\n")
}

func (e *Errors) sort() {
	sort.SliceStable(e.List, func(i, j int) bool {
		a, b := e.List[i], e.List[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
