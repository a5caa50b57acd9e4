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
	// pageSize is the number of rows of one scan request. A set of the largest expected size (about 1,000 documents)
	// takes two pages.
	pageSize = 500
	// maxVersionGap is the largest number of versions that are read as single changes. For a larger gap, reading
	// the whole set costs less.
	maxVersionGap = 64
	// maxCommitAttempts bounds how often a change is tried when other changes are committed first.
	maxCommitAttempts = 16
	// commitRetryDelay is the delay after which a change with an unknown outcome is tried again.
	commitRetryDelay = 50 * time.Millisecond
)

// ErrOlderVersion means that the platform returned an older version than one that was read before.
var ErrOlderVersion = errors.New("platform returned an older configuration version")

// StoreOptions are the options of a Store.
type StoreOptions struct {
	// Objects is the store of old changes and backups. Without it, Compact and Backup fail, and History returns only
	// the changes in the table.
	Objects provider.Objects
	// KeepChanges is the number of change rows that Compact leaves in the table. The default is 256.
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

type currentRow struct {
	Version uint64 `json:"version"`
}

type operationRow struct {
	Version uint64 `json:"version"`
}

func changeKey(version uint64) string        { return fmt.Sprintf("%s%020d", changePrefix, version) }
func documentKey(ref Ref) string             { return documentPrefix + ref.String() }
func operationKey(operationID string) string { return operationPrefix + operationID }

// head is the current version, together with the result of one operation.
type head struct {
	version    uint64
	rowVersion uint64
	// appliedVersion is the version that the operation created, or 0 if it has not been applied.
	appliedVersion uint64
}

// readHead reads the current version and, if the operation ID is not empty, the operation row.
func (s *Store) readHead(ctx context.Context, operationID string) (head, error) {
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
			var value currentRow
			if err := json.Unmarshal(row.Value, &value); err != nil {
				return head{}, eris.Wrapf(err, "row %q", row.Key)
			}
			h.version, h.rowVersion = value.Version, row.Version
			continue
		}
		var value operationRow
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return head{}, eris.Wrapf(err, "row %q", row.Key)
		}
		h.appliedVersion = value.Version
	}
	return h, nil
}

// Load reads the whole configuration.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	return s.Refresh(ctx, nil)
}

// Refresh returns the current configuration. If from is not nil, it is an earlier snapshot, and only the changes
// since then are read. Refresh fails with [ErrOlderVersion] if the platform has an older version than from.
func (s *Store) Refresh(ctx context.Context, from *Snapshot) (*Snapshot, error) {
	h, err := s.readHead(ctx, "")
	if err != nil {
		return nil, err
	}
	return s.refreshTo(ctx, from, h.version)
}

// refreshTo returns the snapshot at the version, which has just been read from the platform, or at a newer one.
func (s *Store) refreshTo(ctx context.Context, from *Snapshot, version uint64) (*Snapshot, error) {
	if from == nil {
		return s.readSnapshot(ctx, version)
	}
	if version < from.version {
		return nil, eris.Wrapf(ErrOlderVersion, "version %d after version %d", version, from.version)
	}
	if version-from.version > maxVersionGap {
		return s.readSnapshot(ctx, version)
	}
	changes, err := s.readChanges(ctx, from.version, version)
	if err != nil {
		return nil, err
	}
	if changes == nil {
		return s.readSnapshot(ctx, version)
	}
	return applyChanges(from, changes)
}

// applyChanges returns the snapshot after the changes, which must have consecutive versions.
func applyChanges(from *Snapshot, changes []Change) (*Snapshot, error) {
	next := from
	for _, c := range changes {
		var err error
		if next, err = next.apply(c); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// readChanges reads the changes after one version up to and including another. It returns nil if Compact has
// removed any of them from the table.
func (s *Store) readChanges(ctx context.Context, after, upTo uint64) ([]Change, error) {
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

// readSnapshot reads all documents and returns the snapshot at the version or at a newer one. The pages of the
// scan are not read at one time, so the changes that were made during the scan are applied afterwards. That is
// safe for documents that already include them, because a change holds whole documents.
func (s *Store) readSnapshot(ctx context.Context, version uint64) (*Snapshot, error) {
	for {
		documents, err := s.scanDocuments(ctx)
		if err != nil {
			return nil, err
		}
		h, err := s.readHead(ctx, "")
		if err != nil {
			return nil, err
		}
		if h.version < version {
			return nil, eris.Wrapf(ErrOlderVersion, "version %d after version %d", h.version, version)
		}
		changes, err := s.readChanges(ctx, version, h.version)
		if err != nil {
			return nil, err
		}
		if changes == nil {
			version = h.version
			continue
		}
		for _, c := range changes {
			documents = patchDocuments(documents, c)
		}
		return buildSnapshot(h.version, documents), nil
	}
}

// scanDocuments reads all document rows, page by page.
func (s *Store) scanDocuments(ctx context.Context) (map[Ref]Document, error) {
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
