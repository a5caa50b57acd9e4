package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/provider"
)

// Row keys of the configuration.
const (
	currentKey      = "config/current"
	documentPrefix  = "config/doc/"
	changePrefix    = "config/change/"
	operationPrefix = "config/op/"
)

const (
	// pageSize bounds a scan. A full set of the large size (about 1,000 documents) takes two pages.
	pageSize = 500
	// maxDelta is the largest number of versions that are fetched one by one. A larger gap costs less as a full read.
	maxDelta = 64
	// maxCommits bounds how often a change is tried again after another change came first.
	maxCommits = 16
	// commitPause is the pause before a change is tried again after an unknown outcome.
	commitPause = 50 * time.Millisecond
)

// ErrOlderVersion means that the platform returned an older version than one seen before.
var ErrOlderVersion = errors.New("platform returned an older configuration version")

// StoreOptions are the optional parts of a Store.
type StoreOptions struct {
	// Objects keeps old changes and snapshots. It may be nil if neither Compact, History nor Backup is used.
	Objects provider.Objects
	// KeepChanges is how many change rows Compact leaves in the table. The default is 256.
	KeepChanges int
}

// Store reads and changes the configuration in the platform's table. It is safe for concurrent use.
type Store struct {
	table   provider.Table
	options StoreOptions
}

// NewStore returns a store on the table.
func NewStore(table provider.Table, o StoreOptions) *Store {
	if o.KeepChanges <= 0 {
		o.KeepChanges = 256
	}
	return &Store{table: table, options: o}
}

type current struct {
	Version uint64 `json:"version"`
}

type operation struct {
	Version uint64 `json:"version"`
}

func changeKey(version uint64) string        { return fmt.Sprintf("%s%020d", changePrefix, version) }
func documentKey(ref Ref) string             { return documentPrefix + ref.String() }
func operationKey(operationID string) string { return operationPrefix + operationID }

// head is what one read of the current version returned.
type head struct {
	version    uint64
	rowVersion uint64
	// applied is the version that the operation made, or 0.
	applied uint64
}

func (s *Store) head(ctx context.Context, operationID string) (head, error) {
	keys := []string{currentKey}
	if operationID != "" {
		keys = append(keys, operationKey(operationID))
	}
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return head{}, err
	}
	var h head
	for _, row := range rows {
		if row.Key == currentKey {
			var value current
			if err := json.Unmarshal(row.Value, &value); err != nil {
				return head{}, eris.Wrapf(err, "row %q", row.Key)
			}
			h.version, h.rowVersion = value.Version, row.Version
			continue
		}
		var value operation
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return head{}, eris.Wrapf(err, "row %q", row.Key)
		}
		h.applied = value.Version
	}
	return h, nil
}

// Load reads the whole configuration.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	return s.Refresh(ctx, nil)
}

// Refresh returns the current configuration. From, if not nil, is an earlier snapshot, so that
// only changes have to be read. It fails with [ErrOlderVersion] if the platform has an older version than from.
func (s *Store) Refresh(ctx context.Context, from *Snapshot) (*Snapshot, error) {
	h, err := s.head(ctx, "")
	if err != nil {
		return nil, err
	}
	return s.advance(ctx, from, h.version)
}

// advance returns the snapshot at the version, which was current a moment ago, or at a later one.
func (s *Store) advance(ctx context.Context, from *Snapshot, version uint64) (*Snapshot, error) {
	if from == nil {
		return s.load(ctx, version)
	}
	if version < from.version {
		return nil, eris.Wrapf(ErrOlderVersion, "version %d after version %d", version, from.version)
	}
	if version-from.version > maxDelta {
		return s.load(ctx, version)
	}
	changes, err := s.changes(ctx, from.version, version)
	if err != nil {
		return nil, err
	}
	if changes == nil {
		return s.load(ctx, version)
	}
	return applyAll(from, changes)
}

func applyAll(from *Snapshot, changes []Change) (*Snapshot, error) {
	next := from
	for _, c := range changes {
		var err error
		if next, err = next.apply(c); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// changes reads the changes after one version up to another. It returns nil if any of them has been cleaned up.
func (s *Store) changes(ctx context.Context, after, upTo uint64) ([]Change, error) {
	if upTo == after {
		return []Change{}, nil
	}
	keys := make([]string, 0, upTo-after)
	for v := after + 1; v <= upTo; v++ {
		keys = append(keys, changeKey(v))
	}
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, nil
	}
	changes := make([]Change, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &changes[i]); err != nil {
			return nil, eris.Wrapf(err, "row %q", row.Key)
		}
	}
	return changes, nil
}

// load reads all documents. The pages of the scan are no single snapshot, so the changes that were
// made during the scan are applied afterwards; a change holds whole documents, so that a second application does no harm.
func (s *Store) load(ctx context.Context, version uint64) (*Snapshot, error) {
	for {
		documents, err := s.scan(ctx)
		if err != nil {
			return nil, err
		}
		h, err := s.head(ctx, "")
		if err != nil {
			return nil, err
		}
		if h.version < version {
			return nil, eris.Wrapf(ErrOlderVersion, "version %d after version %d", h.version, version)
		}
		changes, err := s.changes(ctx, version, h.version)
		if err != nil {
			return nil, err
		}
		if changes == nil {
			version = h.version
			continue
		}
		for _, c := range changes {
			documents = patch(documents, c)
		}
		return build(h.version, documents), nil
	}
}

func (s *Store) scan(ctx context.Context) (map[Ref]Document, error) {
	documents := make(map[Ref]Document)
	for after := ""; ; {
		rows, err := s.table.Scan(ctx, documentPrefix, after, pageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var d Document
			if err := json.Unmarshal(row.Value, &d); err != nil {
				return nil, eris.Wrapf(err, "row %q", row.Key)
			}
			documents[d.Ref()] = d
		}
		if len(rows) < pageSize {
			return documents, nil
		}
		after = rows[len(rows)-1].Key
	}
}
