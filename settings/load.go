package settings

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Line counts from 1. It is 0 if the fault has no position in the file.
	Line int
	// Path names the setting, such as "listen.callers". It may be empty.
	Path    string
	Message string
}

// Error returns "file:line: path: message".
func (f *Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Load reads and checks a settings file. The error joins all faults that were found.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Fault{File: file, Message: readErrorMessage(err)}
	}
	return Parse(file, data)
}

// Parse checks the content of a settings file. The name of the file is used in errors only.
func Parse(file string, data []byte) (Settings, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, newDecodeFault(file, nil, err)
	}
	spec := Default()
	// The decoder sets all fields to zero for an empty document, which would remove the defaults.
	if len(tree.Docs) > 0 && tree.Docs[0].Body != nil {
		if err := yaml.UnmarshalWithOptions(data, &spec, yaml.Strict()); err != nil {
			return Settings{}, newDecodeFault(file, tree, err)
		}
	}
	c := &checker{file: file, tree: tree}
	c.check(spec)
	if len(c.faults) > 0 {
		return Settings{}, errors.Join(c.faults...)
	}
	return Settings{spec: spec}, nil
}

// newDecodeFault converts an error of the YAML decoder to a fault with a line.
func newDecodeFault(file string, tree *ast.File, err error) error {
	fault := &Fault{File: file, Message: err.Error()}
	var decodeErr yaml.Error
	if !errors.As(err, &decodeErr) {
		fault.Line = lineOfQuoted(tree, fault.Message)
		return fault
	}
	fault.Message = decodeErr.GetMessage()
	if token := decodeErr.GetToken(); token != nil && token.Position != nil {
		fault.Line = token.Position.Line
		fault.Path = strings.TrimSpace(token.Value)
	}
	return fault
}

// lineOf returns the line of a setting, or of its nearest parent that is in the file, or 0.
func lineOf(tree *ast.File, path string) int {
	for path != "" {
		p, err := yaml.PathString("$." + path)
		if err != nil {
			return 0
		}
		if node, err := p.FilterFile(tree); err == nil && node != nil {
			if token := node.GetToken(); token != nil && token.Position != nil {
				return token.Position.Line
			}
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}

// readErrorMessage returns the cause of a failed read without the file name, which a fault already has.
func readErrorMessage(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}

// lineOfQuoted returns the line of the first scalar that the message quotes.
// Errors of time.ParseDuration carry no position, but they quote the value.
func lineOfQuoted(tree *ast.File, message string) int {
	if tree == nil {
		return 0
	}
	finder := &quotedFinder{message: message}
	for _, doc := range tree.Docs {
		ast.Walk(finder, doc.Body)
	}
	return finder.line
}

type quotedFinder struct {
	message string
	line    int
}

// Visit implements [ast.Visitor].
func (f *quotedFinder) Visit(node ast.Node) ast.Visitor {
	token := node.GetToken()
	if f.line == 0 && token != nil && strings.Contains(f.message, strconv.Quote(token.Value)) {
		f.line = token.Position.Line
	}
	return f
}
