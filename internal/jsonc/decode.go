package jsonc

import (
	"encoding"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// Decode decodes src into out, a pointer to a struct with json tags. name is the file name for error messages. Syntax errors, unknown
// and duplicate keys, wrong types, and text that a field's UnmarshalText rejects are recorded in the returned Source. A missing field
// with the tag `check:"required"` is recorded as well.
func Decode(name string, src []byte, out any) *Source {
	s := newSource(name, src)
	if offset := depthExceeds(src, maxDepth); offset >= 0 {
		s.errorAt(offset, "$", "nested deeper than %d levels", maxDepth)
		return s
	}
	v, err := hujson.Parse(src)
	if err != nil {
		s.recordSyntaxError(err)
		return s
	}
	s.decodeValue("$", v, reflect.ValueOf(out).Elem())
	return s
}

// recordSyntaxError records a hujson syntax error at the position that its message names.
func (s *Source) recordSyntaxError(err error) {
	m := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		s.errorAt(0, "$", "%v", err)
		return
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	s.errs.List = append(s.errs.List, Error{File: s.name, Line: line, Column: column, Path: "$", Message: m[3]})
}

// decodeValue decodes v into out, using UnmarshalText if out has it.
func (s *Source) decodeValue(path string, v hujson.Value, out reflect.Value) {
	s.valueOffsets[path] = v.StartOffset
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	if u, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		s.decodeText(path, v, u)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		s.decodeObject(path, v, out)
	case reflect.Slice:
		s.decodeArray(path, v, out)
	default:
		s.decodeLiteral(path, v, out)
	}
}

func (s *Source) decodeText(path string, v hujson.Value, u encoding.TextUnmarshaler) {
	if v.Value.Kind() != '"' {
		s.rejectValue(path, v, "want a string, got %s", kindName(v))
		return
	}
	if err := u.UnmarshalText([]byte(v.Value.(hujson.Literal).String())); err != nil {
		s.rejectValue(path, v, "%v", err)
	}
}

// rejectValue records that the value at path can't be decoded, and why.
func (s *Source) rejectValue(path string, v hujson.Value, format string, args ...any) {
	s.rejected[path] = true
	s.errorAt(v.StartOffset, path, format, args...)
}

func (s *Source) decodeObject(path string, v hujson.Value, out reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		s.rejectValue(path, v, "want an object, got %s", kindName(v))
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		key := m.Name.Value.(hujson.Literal).String()
		memberPath := path + "." + key
		if seen[key] {
			s.errorAt(m.Name.StartOffset, memberPath, "duplicate key %q", key)
			continue
		}
		seen[key] = true
		f := fieldByKey(out.Type(), key)
		if f == nil {
			s.errorAt(m.Name.StartOffset, memberPath, "unknown key %q", key)
			continue
		}
		s.decodeValue(memberPath, m.Value, out.FieldByIndex(f.Index))
	}
	s.checkRequired(path, v, out.Type(), seen)
}

// checkRequired records an error for each required field of t whose key is not in seen.
func (s *Source) checkRequired(path string, v hujson.Value, t reflect.Type, seen map[string]bool) {
	for _, f := range reflect.VisibleFields(t) {
		key := jsonKey(f)
		if f.Tag.Get("check") == "required" && !seen[key] {
			s.errorAt(v.StartOffset, path+"."+key, "missing key %q", key)
		}
	}
}

func (s *Source) decodeArray(path string, v hujson.Value, out reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		s.rejectValue(path, v, "want an array, got %s", kindName(v))
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		s.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, out.Index(i))
	}
}

func (s *Source) decodeLiteral(path string, v hujson.Value, out reflect.Value) {
	lit, _ := v.Value.(hujson.Literal)
	switch kind := v.Value.Kind(); out.Kind() {
	case reflect.String:
		if kind == '"' {
			out.SetString(lit.String())
			return
		}
		s.rejectValue(path, v, "want a string, got %s", kindName(v))
	case reflect.Bool:
		if kind == 't' || kind == 'f' {
			out.SetBool(lit.Bool())
			return
		}
		s.rejectValue(path, v, "want true or false, got %s", kindName(v))
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(lit), 10, 64)
		if kind == '0' && err == nil {
			out.SetInt(n)
			return
		}
		s.rejectValue(path, v, "want a whole number, got %s", kindName(v))
	case reflect.Uint64:
		n, err := strconv.ParseUint(string(lit), 10, 64)
		if kind == '0' && err == nil {
			out.SetUint(n)
			return
		}
		s.rejectValue(path, v, "want a whole number of at least zero, got %s", kindName(v))
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(lit), 64)
		if kind == '0' && err == nil {
			out.SetFloat(f)
			return
		}
		s.rejectValue(path, v, "want a number, got %s", kindName(v))
	default:
		panic("jsonc: unsupported field type " + out.Type().String())
	}
}

// fieldByKey returns the field with the given JSON key, also from embedded structs, or nil.
func fieldByKey(t reflect.Type, key string) *reflect.StructField {
	for _, f := range reflect.VisibleFields(t) {
		if k := jsonKey(f); k == key && k != "" {
			return &f
		}
	}
	return nil
}

// jsonKey returns the key in a field's json tag, or "" if it has none.
func jsonKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return key
}

// kindName describes the kind of a JSON value for an error message.
func kindName(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "the number " + string(v.Value.(hujson.Literal))
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}
