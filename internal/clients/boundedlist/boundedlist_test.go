package boundedlist_test

import (
	"encoding/json"
	"errors"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/clients/boundedlist"
)

const limit = 3

type element struct {
	Name  string  `json:"name"`
	Items []int   `json:"items"`
	Room  [50]int `json:"-"`
}

type list []element

// UnmarshalJSON implements [json.Unmarshaler].
func (l *list) UnmarshalJSON(data []byte) error {
	return boundedlist.Decode(data, (*[]element)(l), limit)
}

type document struct {
	List list `json:"list"`
}

// TestDecode guards against lists at the limit that are refused, and against commas and brackets of strings and of inner values that count
// as elements.
func TestDecode(t *testing.T) {
	tests := map[string]struct {
		text    string
		length  int
		tooLong bool
	}{
		"none":            {`{"list":[]}`, 0, false},
		"white space":     {"{\"list\":[ \n]}", 0, false},
		"null":            {`{"list":null}`, 0, false},
		"at the limit":    {`{"list":[{},{},{}]}`, 3, false},
		"above":           {`{"list":[{},{},{},{}]}`, 0, true},
		"above, spaces":   {`{"list": [ {} , {} , {} , {} ] }`, 0, true},
		"inner lists":     {`{"list":[{"items":[1,2,3,4,5]},{"items":[[]]}]}`, 2, false},
		"strings":         {`{"list":[{"name":"],[\",{},{},{}"},{"name":"\\"},{}]}`, 3, false},
		"unknown fields":  {`{"other":[1,2,3,4,5],"list":[{"other":[1,2,3,4,5]}]}`, 1, false},
		"above, repeated": {`{"list":[{}],"list":[{},{},{},{}]}`, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d document
			err := json.Unmarshal([]byte(test.text), &d)
			var tooLong *boundedlist.TooLongError
			qt.Assert(t, errors.As(err, &tooLong), qt.Equals, test.tooLong)
			if !test.tooLong {
				var mismatch *json.UnmarshalTypeError
				if err != nil {
					qt.Assert(t, errors.As(err, &mismatch), qt.IsTrue, qt.Commentf("%v", err))
				}
				qt.Assert(t, d.List, qt.HasLen, test.length)
			}
		})
	}
}

// TestNoList guards against a value of another kind that is taken for a list.
func TestNoList(t *testing.T) {
	for _, text := range []string{`{"list":7}`, `{"list":"[,,,,,]"}`, `{"list":{"a":1,"b":2,"c":3,"d":4,"e":5}}`} {
		var d document
		err := json.Unmarshal([]byte(text), &d)
		var mismatch *json.UnmarshalTypeError
		qt.Assert(t, errors.As(err, &mismatch), qt.IsTrue, qt.Commentf("%s: %v", text, err))
	}
}

// TestMemory guards against elements that are decoded before the list is refused.
func TestMemory(t *testing.T) {
	const elements, most = 100_000, 64 << 10
	text := []byte(`{"list":[` + strings.Repeat("{},", elements) + `{}]}`)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var d document
	qt.Assert(t, json.Unmarshal(text, &d), qt.IsNotNil)
	runtime.ReadMemStats(&after)
	qt.Assert(t, after.TotalAlloc-before.TotalAlloc < most, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
}

// FuzzDecode guards against lists that are refused or accepted other than by their number of elements.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`[]`, `[1,2,3]`, `[1,2,3,4]`, `["a,b\"]",[1,2],{"a":[]},null]`, ` [ ] `, `{"a":1,"b":2,"c":3,"d":4,"e":5}`, `"[1,2,3,4,5]"`, `7`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if !json.Valid(data) {
			return
		}
		var want, got []json.RawMessage
		wantErr := json.Unmarshal(data, &want)
		err := boundedlist.Decode(data, &got, limit)
		var tooLong *boundedlist.TooLongError
		if errors.As(err, &tooLong) != (wantErr == nil && len(want) > limit) {
			t.Fatalf("%q has %d elements: %v", data, len(want), err)
		}
	})
}
