package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Difference describes the effect of a change on one document.
type Difference struct {
	Ref Ref `json:"ref"`
	// Action is "add", "change" or "delete".
	Action string `json:"action"`
	// Fields holds one line for each changed field, as "share: 0.2 -> 0.4".
	Fields []string `json:"fields,omitempty"`
}

// String returns the difference as one line and an indented line for each field.
func (d Difference) String() string {
	marks := map[string]string{"add": "+", "change": "~", "delete": "-"}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", marks[d.Action], d.Ref)
	for _, field := range d.Fields {
		fmt.Fprintf(&b, "\n    %s", field)
	}
	return b.String()
}

// sameSpec reports whether two documents have the same spec, regardless of their versions.
func sameSpec(a, b Document) bool {
	left, errLeft := json.Marshal(a.Spec)
	right, errRight := json.Marshal(b.Spec)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

// diffDocuments returns the effect of the change on each document, ordered by kind and name.
func diffDocuments(latest *Snapshot, c Change) []Difference {
	all := make([]Difference, 0, len(c.Puts)+len(c.Deletes))
	for _, d := range c.Puts {
		old, ok := latest.documents[d.Ref()]
		if !ok {
			all = append(all, Difference{Ref: d.Ref(), Action: "add", Fields: changedFields(nil, fieldTexts(d))})
			continue
		}
		all = append(all, Difference{Ref: d.Ref(), Action: "change", Fields: changedFields(fieldTexts(old), fieldTexts(d))})
	}
	for _, ref := range c.Deletes {
		all = append(all, Difference{Ref: ref, Action: "delete"})
	}
	slices.SortFunc(all, func(a, b Difference) int { return compareRefs(a.Ref, b.Ref) })
	return all
}

// fieldTexts returns the field values of a spec as text, by field name. A key is a field "key ID" with an
// abbreviated hash as its value, so that a difference never shows a whole hash.
func fieldTexts(d Document) map[string]string {
	data, err := json.Marshal(d.Spec)
	if err != nil {
		return nil
	}
	var values map[string]any
	if err := json.Unmarshal(data, &values); err != nil {
		return nil
	}
	texts := make(map[string]string, len(values))
	for name, value := range values {
		switch v := value.(type) {
		case []any:
			for _, key := range v {
				addKeyField(texts, key)
			}
		case map[string]any:
			addKeyField(texts, v)
		default:
			if name != "name" {
				texts[name] = fmt.Sprint(v)
			}
		}
	}
	return texts
}

func addKeyField(texts map[string]string, key any) {
	const shownHashDigits = 8
	values, ok := key.(map[string]any)
	if !ok {
		return
	}
	hash := fmt.Sprint(values["hash"])
	texts[fmt.Sprintf("key %v", values["id"])] = hash[:min(shownHashDigits, len(hash))] + "..."
}

// changedFields returns a sorted line for each field that was added, changed or removed.
func changedFields(before, after map[string]string) []string {
	var lines []string
	for name, value := range after {
		old, ok := before[name]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s: %s", name, value))
		case old != value:
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, old, value))
		}
	}
	for name, value := range before {
		if _, ok := after[name]; !ok {
			lines = append(lines, fmt.Sprintf("%s: %s -> removed", name, value))
		}
	}
	slices.Sort(lines)
	return lines
}
