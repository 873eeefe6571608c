package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
)

// errNotCanonical says that a text isn't in the form that Encode writes.
var errNotCanonical = errors.New("not a canonical manifest")

// member is one member of an object, as it stands in the text.
type member struct {
	key   string
	value []byte
}

// members splits an object without white space into its members.
func members(object []byte) ([]member, error) {
	var list []member
	err := split(object, '{', '}', func(item []byte) error {
		n := stringEnd(item)
		if n < 0 || n >= len(item) || item[n] != ':' {
			return errNotCanonical
		}
		var key string
		if err := json.Unmarshal(item[:n], &key); err != nil {
			return err
		}
		list = append(list, member{key, item[n+1:]})
		return nil
	})
	return list, err
}

// elements splits an array without white space into its elements.
func elements(array []byte) ([][]byte, error) {
	var list [][]byte
	err := split(array, '[', ']', func(item []byte) error {
		list = append(list, item)
		return nil
	})
	return list, err
}

// split hands out the parts between the outermost commas of one object or array.
func split(text []byte, open, end byte, part func([]byte) error) error {
	last := len(text) - 1
	if last < 1 || text[0] != open || text[last] != end {
		return errNotCanonical
	}
	for at := 1; at < last; at++ {
		n := valueEnd(text[at:last])
		if n <= 0 {
			return errNotCanonical
		}
		if err := part(text[at : at+n]); err != nil {
			return err
		}
		at += n
		if at < last && text[at] != ',' {
			return errNotCanonical
		}
	}
	return nil
}

// valueEnd returns where the text's first part ends: before an outermost comma, or with the text. It is negative
// if brackets or quotes don't match.
func valueEnd(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			n := stringEnd(text[i:])
			if n < 0 {
				return -1
			}
			i += n - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return -1
			}
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	if depth != 0 {
		return -1
	}
	return len(text)
}

// stringEnd returns the length of the string that begins the text, with its quotes, or less than zero.
func stringEnd(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return -1
	}
	for i := 1; ; i++ {
		n := bytes.IndexByte(text[i:], '"')
		if n < 0 {
			return -1
		}
		i += n
		if !escaped(text[:i]) {
			return i + 1
		}
	}
}

// escaped reports whether what follows the text is escaped: an odd number of backslashes ends it.
func escaped(text []byte) bool {
	n := len(text)
	for n > 0 && text[n-1] == '\\' {
		n--
	}
	return (len(text)-n)%2 == 1
}
