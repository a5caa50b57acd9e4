// Package boundedlist decodes JSON lists whose number of elements is limited. It counts the elements before it decodes the first one: an
// empty element takes three bytes in a document, and as many as the whole structure once it is decoded.
//
// # Usage
//
//	type steps []step
//
//	func (s *steps) UnmarshalJSON(data []byte) error {
//		return boundedlist.Decode(data, (*[]step)(s), maxSteps)
//	}
//
// [encoding/json] checks the syntax of a document before it calls such a method.
package boundedlist

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// TooLongError means that a list has more elements than are permitted.
type TooLongError struct {
	// Max is the permitted number of elements.
	Max int
}

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("list has more than %d elements", e.Max) }

// Decode decodes a list of valid JSON into to. It fails with a [TooLongError] if the list has more than limit elements.
func Decode[T any](data []byte, to *[]T, limit int) error {
	if exceeds(data, limit) {
		return &TooLongError{limit}
	}
	return json.Unmarshal(data, to)
}

// exceeds reports whether a valid JSON value is a list of more than limit elements.
func exceeds(data []byte, limit int) bool {
	if !bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("[")) {
		return false
	}
	depth, elements, inString := 0, 0, false
	// between means that the next byte that is not white space begins an element, unless it ends the list.
	between := false
	for i := 0; i < len(data); i++ {
		c := data[i]
		if inString {
			switch c {
			case '\\':
				i++
			case '"':
				inString = false
			}
			continue
		}
		if between && c > ' ' {
			between = false
			if c != ']' {
				elements++
			}
			if elements > limit {
				return true
			}
		}
		switch c {
		case '"':
			inString = true
		case '[', '{':
			depth++
			between = depth == 1
		case ']', '}':
			depth--
		case ',':
			between = depth == 1
		}
	}
	return false
}
