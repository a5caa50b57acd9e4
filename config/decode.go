package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/chivetiller/chivetiller/team"
)

// File is a YAML file with one or more documents.
type File struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

// Positions holds the file and lines from which each document was read.
type Positions map[Ref]position

type position struct {
	file   string
	line   int
	fields map[string]int
}

// Locate adds the file and line to the problems of an *[Invalid] error. It returns other errors unchanged.
func (p Positions) Locate(err error) error {
	var invalid *Invalid
	if !errors.As(err, &invalid) {
		return err
	}
	for i, problem := range invalid.Problems {
		at, ok := p[problem.Ref]
		if !ok || problem.File != "" {
			continue
		}
		invalid.Problems[i].File = at.file
		invalid.Problems[i].Line = at.lineOf(problem.Detail)
	}
	return invalid
}

// lineOf returns the line of the field that the text names, or else the first line of the document.
func (p position) lineOf(text string) int {
	line, length := p.line, 0
	for field, at := range p.fields {
		if len(field) > length && strings.Contains(text, field) {
			line, length = at, len(field)
		}
	}
	return line
}

// Decode reads the documents of YAML files. Unknown fields are errors. It fails with an *[Invalid] whose problems
// have a file and line.
func Decode(files ...File) ([]Document, Positions, error) {
	var (
		documents []Document
		problems  []Problem
		positions = make(Positions)
	)
	for _, file := range files {
		parsed, err := parser.ParseBytes([]byte(file.Data), 0)
		if err != nil {
			problems = append(problems, yamlProblem(file.Name, 1, err))
			continue
		}
		for _, node := range parsed.Docs {
			if node.Body == nil || node.Body.Type() == ast.NullType || node.Body.Type() == ast.CommentType {
				continue
			}
			at := position{file: file.Name, line: node.Body.GetToken().Position.Line}
			if mapping, ok := node.Body.(*ast.MappingNode); ok {
				at.line = mapping.Values[0].Key.GetToken().Position.Line
			}
			d, spec, err := decodeDocument(node.Body)
			if err != nil {
				problems = append(problems, yamlProblem(file.Name, at.line, err))
				continue
			}
			at.fields = fieldLines(spec)
			if first, ok := positions[d.Ref()]; ok {
				problems = append(problems, Problem{
					Ref: d.Ref(), File: at.file, Line: at.line,
					Detail: "document " + d.Ref().String() + " is given twice, first at " + Problem{File: first.file, Line: first.line}.location(),
				})
				continue
			}
			positions[d.Ref()] = at
			documents = append(documents, d)
		}
	}
	if len(problems) > 0 {
		return nil, nil, &Invalid{Problems: problems}
	}
	return documents, positions, nil
}

func decodeDocument(body ast.Node) (Document, ast.Node, error) {
	var header struct {
		Kind    Kind     `yaml:"kind"`
		Version uint64   `yaml:"version"`
		Spec    ast.Node `yaml:"spec"`
	}
	if err := yaml.NodeToValue(body, &header, yaml.Strict()); err != nil {
		return Document{}, nil, err
	}
	spec, err := newSpec(header.Kind)
	if err != nil {
		return Document{}, nil, err
	}
	if header.Spec == nil {
		return Document{}, nil, errors.New("document has no spec")
	}
	if err := yaml.NodeToValue(header.Spec, spec, yaml.Strict()); err != nil {
		return Document{}, nil, err
	}
	d := Document{Kind: header.Kind, Version: header.Version, Spec: specValue(spec)}
	if d.Ref().Name == "" {
		return Document{}, nil, errors.New("document has no name: set spec.name")
	}
	return d, header.Spec, nil
}

// fieldLines returns the line of each top-level field of a spec.
func fieldLines(spec ast.Node) map[string]int {
	lines := make(map[string]int)
	if mapping, ok := spec.(*ast.MappingNode); ok {
		for _, value := range mapping.Values {
			token := value.Key.GetToken()
			lines[token.Value] = token.Position.Line
		}
	}
	return lines
}

// yamlProblem converts an error of the YAML library to a problem. It uses the short message, because the full one
// spans several lines, and the position in the error, or else the given line.
func yamlProblem(file string, line int, err error) Problem {
	var located yaml.Error
	if errors.As(err, &located) {
		if token := located.GetToken(); token != nil && token.Position != nil {
			line = token.Position.Line
		}
		return Problem{File: file, Line: line, Detail: located.GetMessage()}
	}
	return Problem{File: file, Line: line, Detail: err.Error()}
}

// Encode writes the documents as YAML in the form that Decode reads.
func Encode(documents []Document) ([]byte, error) {
	var b bytes.Buffer
	for i, d := range documents {
		if i > 0 {
			b.WriteString("---\n")
		}
		data, err := yaml.MarshalWithOptions(struct {
			Kind    Kind   `yaml:"kind"`
			Version uint64 `yaml:"version,omitempty"`
			Spec    any    `yaml:"spec"`
		}{d.Kind, d.Version, d.Spec}, yaml.IndentSequence(true))
		if err != nil {
			return nil, err
		}
		b.Write(data)
	}
	return b.Bytes(), nil
}

// KeepStoredKeys adds the stored keys to team documents without keys, so that an apply does not revoke them.
// An apply can revoke keys by listing only the others, but it cannot add one: KeepStoredKeys fails with *[Invalid]
// if a team lists a key that is not stored, because an old file could otherwise restore a revoked key.
func KeepStoredKeys(latest *Snapshot, documents []Document) error {
	var problems []Problem
	for i, d := range documents {
		spec, ok := d.Spec.(team.Spec)
		if !ok {
			continue
		}
		var stored []team.KeySpec
		if t, ok := latest.Team(spec.Name); ok {
			stored = t.Spec().Keys
		}
		if spec.Keys == nil {
			spec.Keys = stored
			documents[i].Spec = spec
			continue
		}
		known := make(map[team.KeySpec]bool, len(stored))
		for _, key := range stored {
			known[key] = true
		}
		for _, key := range spec.Keys {
			if !known[key] {
				problems = append(problems, Problem{Ref: d.Ref(), Detail: "keys: key \"" + key.ID + "\" is not stored: issue keys with \"team key create\", or restore an export with \"config import\""})
			}
		}
	}
	if len(problems) > 0 {
		return &Invalid{Problems: problems}
	}
	return nil
}
