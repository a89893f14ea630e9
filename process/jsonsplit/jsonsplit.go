// Package jsonsplit splits a JSON text of which others write parts, so that a part that can't be
// read doesn't hide the rest.
package jsonsplit

import (
	"encoding/json"
	"errors"
	"fmt"
)

var errEnds = errors.New("the text ends within a value")

// Splitter splits JSON objects and arrays into their values by brackets and quotes alone, with
// neither recursion nor a limit on nesting. It doesn't check what the values contain.
type Splitter struct {
	data []byte
	at   int
}

// New returns a Splitter of the text.
func New(text []byte) *Splitter { return &Splitter{data: text} }

// peek returns the next byte that is no white space; 0 at the end.
func (s *Splitter) peek() byte {
	for s.at < len(s.data) {
		switch b := s.data[s.at]; b {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return b
		}
	}
	return 0
}

// Ended reports whether nothing but white space is left.
func (s *Splitter) Ended() bool {
	s.peek()
	return s.at >= len(s.data)
}

// expect consumes the byte.
func (s *Splitter) expect(b byte) error {
	if found := s.peek(); s.at >= len(s.data) {
		return errEnds
	} else if found != b {
		return fmt.Errorf("%q at byte %d; want %q", found, s.at, b)
	}
	s.at++
	return nil
}

// Object calls field with each key of an object; field consumes the value.
func (s *Splitter) Object(field func(key string) error) error {
	if err := s.expect('{'); err != nil {
		return err
	}
	if s.peek() == '}' {
		s.at++
		return nil
	}
	for {
		if s.peek() != '"' {
			return fmt.Errorf("no key at byte %d", s.at)
		}
		start := s.at
		if err := s.text(); err != nil {
			return err
		}
		var key string
		if err := json.Unmarshal(s.data[start:s.at], &key); err != nil {
			return fmt.Errorf("key at byte %d: %w", start, err)
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		if err := field(key); err != nil {
			return err
		}
		if s.peek() == ',' {
			s.at++
			continue
		}
		return s.expect('}')
	}
}

// Array calls element with each element of an array.
func (s *Splitter) Array(element func(raw []byte, depth int)) error {
	if err := s.expect('['); err != nil {
		return err
	}
	if s.peek() == ']' {
		s.at++
		return nil
	}
	for {
		raw, depth, err := s.Value()
		if err != nil {
			return err
		}
		element(raw, depth)
		if s.peek() == ',' {
			s.at++
			continue
		}
		return s.expect(']')
	}
}

// Value consumes the bytes up to a comma or a closing bracket that isn't theirs. It returns them
// and the greatest depth of their brackets.
func (s *Splitter) Value() (raw []byte, greatest int, err error) {
	s.peek()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case '"':
			if err := s.text(); err != nil {
				return nil, 0, err
			}
			continue
		case '[', '{':
			depth++
			greatest = max(greatest, depth)
		case ']', '}':
			if depth == 0 {
				return s.data[start:s.at], greatest, nil
			}
			depth--
		case ',':
			if depth == 0 {
				return s.data[start:s.at], greatest, nil
			}
		}
		s.at++
	}
	return nil, 0, errEnds
}

// text consumes a text in quotes.
func (s *Splitter) text() error {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return nil
		}
	}
	return errEnds
}

// Leading returns the length and depth of the object or array with which the text begins, if its
// brackets and quotes match and its depth is at most maxDepth. If not, the length is that of what was read.
func Leading(text []byte, maxDepth int) (length, depth int, ok bool) {
	s := New(text)
	var open []byte
	for s.at < len(text) {
		switch b := text[s.at]; b {
		case '"':
			if s.text() != nil {
				return s.at, 0, false
			}
			continue
		case '[', '{':
			open = append(open, b+2) // the closing one of both is two further on in ASCII
			if depth = max(depth, len(open)); depth > maxDepth {
				return s.at, 0, false
			}
		case ']', '}':
			if len(open) == 0 || open[len(open)-1] != b {
				return s.at, 0, false
			}
			open = open[:len(open)-1]
		}
		s.at++
		if len(open) == 0 {
			return s.at, depth, true
		}
	}
	return s.at, 0, false
}
