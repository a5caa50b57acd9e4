// Package config stores the versioned configuration of the fleet: pools, teams, classes and operator keys.
// All documents together form the set, which has one version number. Each change is one transaction that
// creates the next version of the set.
//
// # Usage
//
//	store := config.NewStore(table, config.StoreOptions{Objects: objects})
//	result, err := store.Change(ctx, config.Request{OperationID: ident.New(), Author: "nadia", Puts: documents})
//
//	source := config.NewSource(store, config.SourceOptions{Policy: config.Policy{KeyFreshness: 2 * time.Second}})
//	err = source.Start(ctx)
//	err = source.WaitReady(ctx) // returns once the configuration is confirmed to be current after the start
//	c, ok := source.Snapshot().Class("counterQuote")
//	t, err := source.Authenticate(key)
package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/team"
)

// Kind is the kind of a document.
type Kind string

// Kinds of documents.
const (
	KindPool        Kind = "Pool"
	KindTeam        Kind = "Team"
	KindClass       Kind = "Class"
	KindOperatorKey Kind = "OperatorKey"
)

// Kinds lists all kinds in the order in which they are exported.
var Kinds = []Kind{KindPool, KindTeam, KindClass, KindOperatorKey}

// Ref names a document.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the reference in the form Kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// ParseRef reads a reference in the form Kind/name.
func ParseRef(text string) (Ref, error) {
	kind, name, ok := strings.Cut(text, "/")
	ref := Ref{Kind: Kind(kind), Name: name}
	if !ok || name == "" {
		return Ref{}, eris.Errorf("%q is not of the form Kind/name", text)
	}
	if _, err := newSpec(ref.Kind); err != nil {
		return Ref{}, err
	}
	return ref, nil
}

// OperatorKeySpec is the spec of an operator key.
type OperatorKeySpec struct {
	Name string       `yaml:"name" json:"name"`
	Key  team.KeySpec `yaml:"key" json:"key"`
}

// Document is one document of the configuration.
type Document struct {
	Kind Kind
	// Version is the version of the set that last changed the document.
	// In a change, a version other than 0 makes the change fail if the document has been changed since.
	Version uint64
	// Spec is a pool.Spec, team.Spec, class.Spec or OperatorKeySpec, according to Kind.
	Spec any
}

// NewDocument returns the document of a spec.
func NewDocument(spec any) Document {
	switch spec.(type) {
	case pool.Spec:
		return Document{Kind: KindPool, Spec: spec}
	case team.Spec:
		return Document{Kind: KindTeam, Spec: spec}
	case class.Spec:
		return Document{Kind: KindClass, Spec: spec}
	}
	return Document{Kind: KindOperatorKey, Spec: spec}
}

// Ref returns the reference of the document.
func (d Document) Ref() Ref {
	ref := Ref{Kind: d.Kind}
	switch spec := d.Spec.(type) {
	case pool.Spec:
		ref.Name = spec.Name
	case team.Spec:
		ref.Name = spec.Name
	case class.Spec:
		ref.Name = spec.Name
	case OperatorKeySpec:
		ref.Name = spec.Name
	}
	return ref
}

// newSpec returns a pointer to an empty spec of the kind.
func newSpec(kind Kind) (any, error) {
	switch kind {
	case KindPool:
		return new(pool.Spec), nil
	case KindTeam:
		return new(team.Spec), nil
	case KindClass:
		return new(class.Spec), nil
	case KindOperatorKey:
		return new(OperatorKeySpec), nil
	}
	return nil, eris.Errorf("unknown kind %q: use Pool, Team, Class or OperatorKey", kind)
}

// specValue returns the value that a pointer from newSpec points to.
func specValue(pointer any) any {
	switch p := pointer.(type) {
	case *pool.Spec:
		return *p
	case *team.Spec:
		return *p
	case *class.Spec:
		return *p
	case *OperatorKeySpec:
		return *p
	}
	return nil
}

type documentJSON struct {
	Kind    Kind            `json:"kind"`
	Version uint64          `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// MarshalJSON implements [json.Marshaler].
func (d Document) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(d.Spec)
	if err != nil {
		return nil, err
	}
	return json.Marshal(documentJSON{Kind: d.Kind, Version: d.Version, Spec: spec})
}

// UnmarshalJSON implements [json.Unmarshaler]. It ignores unknown fields, because during a rolling
// upgrade a newer process may already have written fields that this one does not know.
func (d *Document) UnmarshalJSON(data []byte) error {
	var wire documentJSON
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	spec, err := newSpec(wire.Kind)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(wire.Spec, spec); err != nil {
		return err
	}
	*d = Document{Kind: wire.Kind, Version: wire.Version, Spec: specValue(spec)}
	return nil
}

// Change is the record of how the configuration went from one version to the next.
type Change struct {
	Version     uint64     `json:"version"`
	OperationID string     `json:"operationId"`
	Author      string     `json:"author"`
	Reason      string     `json:"reason,omitempty"`
	Time        time.Time  `json:"time"`
	Puts        []Document `json:"puts,omitempty"`
	Deletes     []Ref      `json:"deletes,omitempty"`
}

// Refs returns the documents that the change writes or deletes.
func (c Change) Refs() []Ref {
	refs := make([]Ref, 0, len(c.Puts)+len(c.Deletes))
	for _, d := range c.Puts {
		refs = append(refs, d.Ref())
	}
	return append(refs, c.Deletes...)
}

// summary describes the change in one line.
func (c Change) summary() string {
	names := make([]string, 0, len(c.Puts)+len(c.Deletes))
	for _, ref := range c.Refs() {
		names = append(names, ref.String())
	}
	return fmt.Sprintf("version %d by %s changed %s", c.Version, c.Author, strings.Join(names, ", "))
}

// Conflict is the error of a change that is based on an old version: documents have changed since its author read them.
type Conflict struct {
	// Base is the version that the author read. Current is the latest version.
	Base, Current uint64
	// Documents lists the documents of the refused change that have changed since Base.
	Documents []Ref
	// Changes lists the changes between Base and Current that are still in the table.
	Changes []Change
}

// Error implements [error]. It names the changed documents and the authors of the changes.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "configuration is at version %d, not %d", c.Current, c.Base)
	for _, ref := range c.Documents {
		fmt.Fprintf(&b, "; %s has changed", ref)
	}
	for _, change := range c.Changes {
		fmt.Fprintf(&b, "; %s", change.summary())
	}
	return b.String()
}

// Problem is a fault of a document.
type Problem struct {
	Ref    Ref    `json:"ref"`
	Detail string `json:"detail"`
	// File and Line are the position of the document, if it was read from a file. Line counts from 1.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
}

// String returns the detail after the position, or after the reference if there is no position.
func (p Problem) String() string {
	switch {
	case p.File != "":
		return p.location() + ": " + p.Detail
	case p.Ref.Name != "":
		return fmt.Sprintf("%s: %s", p.Ref, p.Detail)
	}
	return p.Detail
}

func (p Problem) location() string { return fmt.Sprintf("%s:%d", p.File, p.Line) }

// Invalid is the error of a change that was refused because of its content. Nothing was written.
type Invalid struct{ Problems []Problem }

// Error implements [error] with one line for each problem.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
