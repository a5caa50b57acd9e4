package config

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/team"
)

const validYAML = `# Pools of the lab.
kind: Pool
spec:
  name: pricing
  maxUnavailable: 20%
---
kind: Class
version: 3
spec:
  name: counter
  pool: pricing
  target: 300ms
  share: 0.5
`

// Guards against an error in a file that is ignored, or reported without its position.
func TestDecodeReportsFileAndLine(t *testing.T) {
	tests := map[string]struct{ data, want string }{
		"valid":          {validYAML, ""},
		"comment only":   {"# nothing\n", ""},
		"unknown field":  {"kind: Pool\nspec:\n  name: a\n  budget: 2\n", `f.yaml:4: unknown field "budget"`},
		"unknown header": {"kind: Pool\nname: a\n", `f.yaml:2: unknown field "name"`},
		"unknown kind":   {"\nkind: Queue\nspec: {}\n", `f.yaml:2: unknown kind "Queue": .*`},
		"wrong type":     {"kind: Team\nspec:\n  name: a\n  upperLimit: many\n", `f.yaml:4: .*`},
		"syntax":         {"kind: [Pool\n", `f.yaml:1: .*`},
		"no spec":        {"kind: Pool\n", `f.yaml:1: document has no spec`},
		"no name":        {"kind: Pool\nspec:\n  maxUnavailable: 1\n", `f.yaml:1: document has no name: set spec.name`},
		"given twice":    {"kind: Pool\nspec: {name: a, maxUnavailable: 1}\n---\nkind: Pool\nspec: {name: a, maxUnavailable: 2}\n", `f.yaml:4: document Pool/a is given twice, first at f.yaml:1`},
		"duplicate key":  {"kind: Pool\nspec:\n  name: a\n  name: b\n", `f.yaml:4: .*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, _, err := Decode(File{Name: "f.yaml", Data: test.data})
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

// Guards against an error between documents that is reported without a line, and against an export that cannot be read back.
func TestPositionsAndRoundTrip(t *testing.T) {
	c := qt.New(t)
	documents, positions, err := Decode(File{Name: "lab.yaml", Data: validYAML})
	c.Assert(err, qt.IsNil)
	_, err = NewSnapshot(1, documents[1:])
	c.Assert(positions.Locate(err), qt.ErrorMatches, `lab.yaml:11: class "counter" uses pool "pricing", which does not exist`)

	_, key := newKey(c, "k1")
	documents = append(documents, teamDocument("board", key), NewDocument(OperatorKeySpec{Name: "nadia", Key: key}))
	data, err := Encode(documents)
	c.Assert(err, qt.IsNil)
	again, _, err := Decode(File{Data: string(data)})
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, documents)
}

// Guards against an apply that removes the keys of a team, or restores a revoked key.
func TestKeepStoredKeys(t *testing.T) {
	c := qt.New(t)
	_, stored := newKey(c, "stored")
	_, revoked := newKey(c, "withdrawn")
	latest, err := NewSnapshot(1, []Document{teamDocument("board", stored)})
	c.Assert(err, qt.IsNil)
	documents := []Document{teamDocument("board")}
	c.Assert(KeepStoredKeys(latest, documents), qt.IsNil)
	c.Assert(documents[0].Spec.(team.Spec).Keys, qt.DeepEquals, []team.KeySpec{stored})
	c.Assert(KeepStoredKeys(latest, []Document{teamDocument("board", revoked)}), qt.ErrorMatches, `.*key "withdrawn" is not stored.*`)
}
