// Package jsonc decodes JSON with comments into structs. It reports all errors at once, each with its file, line, column and JSON path.
package jsonc

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
)

// maxDepth bounds the nesting of arrays and objects, so that a malicious file can't overflow the stack.
const maxDepth = 64

// Source is a decoded file. It collects the errors found by decoding and by later checks.
type Source struct {
	name         string
	lineOffsets  []int           // offset of the first byte of each line
	valueOffsets map[string]int  // JSON path to the offset of its value
	rejected     map[string]bool // JSON paths whose value could not be decoded
	errs         Errors
}

func newSource(name string, src []byte) *Source {
	s := &Source{name: name, lineOffsets: []int{0}, valueOffsets: map[string]int{}, rejected: map[string]bool{}}
	for i, b := range src {
		if b == '\n' {
			s.lineOffsets = append(s.lineOffsets, i+1)
		}
	}
	return s
}

// Errorf records an error in the value at path. If the path is absent from the file, the error gets the position of its nearest
// ancestor.
func (s *Source) Errorf(path, format string, args ...any) {
	s.errorAt(s.offset(path), path, format, args...)
}

// Has reports whether the file has a value at path that could be decoded and so can be checked further.
func (s *Source) Has(path string) bool {
	_, ok := s.valueOffsets[path]
	return ok && !s.rejected[path]
}

// Err returns all recorded errors ordered by position, or nil if there are none.
func (s *Source) Err() *Errors {
	if len(s.errs.List) == 0 {
		return nil
	}
	s.errs.sort()
	return &s.errs
}

// offset returns the offset of the value at path or of its nearest ancestor in the file.
func (s *Source) offset(path string) int {
	for path != "" {
		if offset, ok := s.valueOffsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// errorAt records an error at a byte offset.
func (s *Source) errorAt(offset int, path, format string, args ...any) {
	line := sort.SearchInts(s.lineOffsets, offset+1)
	s.errs.List = append(s.errs.List, Error{
		File:    s.name,
		Line:    line,
		Column:  offset - s.lineOffsets[line-1] + 1,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// depthExceeds returns the offset at which the nesting of src first exceeds limit, or -1 if it never does.
func depthExceeds(src []byte, limit int) int {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '"':
			i = skipString(src, i)
		case '/':
			i = skipComment(src, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > limit {
			return i
		}
	}
	return -1
}

// skipString returns the offset of the closing quote of the string that starts at i, or an offset past the end of src.
func skipString(src []byte, i int) int {
	for i++; i < len(src) && src[i] != '"'; i++ {
		if src[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i. It returns i if none starts there, and len(src) if
// the comment is not closed.
func skipComment(src []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(src[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(src[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(src[i+2:], []byte(end))
	if n < 0 {
		return len(src)
	}
	return i + 2 + n + len(end) - 1
}
