package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

// Name prefixes in the object store. The name of a history object ends with the first and last version of its changes.
const (
	historyPrefix  = "config/history/"
	snapshotPrefix = "config/snapshot/"
)

// maxCompactRows is the largest number of rows that one transaction of Compact deletes: half are changes, half operations.
const maxCompactRows = 200

// Compact moves all but the latest changes from the table to the object store and backs up the whole set.
// It returns how many changes it moved. It is idempotent and can run in several processes at once, because
// an object is written before its rows are deleted, and changes are immutable.
func (s *Store) Compact(ctx context.Context) (int, error) {
	if s.options.Objects == nil {
		return 0, eris.New("compact needs an object store")
	}
	h, err := s.readHead(ctx, "")
	if err != nil {
		return 0, err
	}
	moved := 0
	for {
		rows, err := s.table.Scan(ctx, changePrefix, "", maxCompactRows/2)
		if err != nil {
			return moved, err
		}
		changes, rows, err := decodeOldChanges(rows, h.version, uint64(s.options.KeepChanges))
		if err != nil || len(changes) == 0 {
			return moved, err
		}
		if moved == 0 {
			if err := s.Backup(ctx); err != nil {
				return moved, err
			}
		}
		if err := s.archiveChanges(ctx, changes, rows); err != nil {
			return moved, err
		}
		moved += len(changes)
	}
}

// decodeOldChanges returns the changes, and their rows, that are not among the latest keep changes.
func decodeOldChanges(rows []provider.Row, version, keep uint64) ([]Change, []provider.Row, error) {
	changes := make([]Change, 0, len(rows))
	for i, row := range rows {
		var c Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, nil, eris.Wrapf(err, "row %q", row.Key)
		}
		if c.Version+keep > version {
			return changes, rows[:i], nil
		}
		changes = append(changes, c)
	}
	return changes, rows, nil
}

// archiveChanges writes the changes to an object and then deletes their rows and operation rows.
func (s *Store) archiveChanges(ctx context.Context, changes []Change, rows []provider.Row) error {
	data, err := json.Marshal(changes)
	if err != nil {
		return eris.Wrap(err, "archive changes")
	}
	name := fmt.Sprintf("%s%020d-%020d", historyPrefix, changes[0].Version, changes[len(changes)-1].Version)
	if err := s.options.Objects.Put(ctx, name, data); err != nil {
		return err
	}
	operations := make([]string, len(changes))
	for i, c := range changes {
		operations[i] = operationKey(c.OperationID)
	}
	operationRows, err := s.table.Read(ctx, operations...)
	if err != nil {
		return err
	}
	txn := provider.Txn{OperationID: ident.New()}
	for _, row := range slices.Concat(rows, operationRows) {
		txn.Checks = append(txn.Checks, provider.Check{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, provider.Write{Key: row.Key, Delete: true})
	}
	return s.table.Commit(ctx, txn)
}

// Backup writes the whole set to an object that is named after its version. An import can read it.
func (s *Store) Backup(ctx context.Context) error {
	if s.options.Objects == nil {
		return eris.New("backup needs an object store")
	}
	snapshot, err := s.Load(ctx)
	if err != nil {
		return err
	}
	data, err := Encode(snapshot.Documents())
	if err != nil {
		return eris.Wrap(err, "backup")
	}
	return s.options.Objects.Put(ctx, fmt.Sprintf("%s%020d.yaml", snapshotPrefix, snapshot.version), data)
}

// History returns up to limit changes with versions lower than before, the latest first. If before is 0, it starts
// at the current version. Changes that are neither in the table nor in the object store are left out.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]Change, error) {
	h, err := s.readHead(ctx, "")
	if err != nil {
		return nil, err
	}
	last := h.version
	if before != 0 {
		last = min(last, before-1)
	}
	first := uint64(1)
	if last >= uint64(limit) {
		first = last - uint64(limit) + 1
	}
	found := make(map[uint64]Change, limit)
	keys := make([]string, 0, limit)
	for v := first; v <= last; v++ {
		keys = append(keys, changeKey(v))
	}
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		var c Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, eris.Wrapf(err, "row %q", row.Key)
		}
		found[c.Version] = c
	}
	if len(found) < len(keys) && s.options.Objects != nil {
		if err := s.readArchive(ctx, first, last, found); err != nil {
			return nil, err
		}
	}
	changes := make([]Change, 0, len(found))
	for _, c := range found {
		changes = append(changes, c)
	}
	slices.SortFunc(changes, func(a, b Change) int { return int(b.Version) - int(a.Version) })
	return changes, nil
}

// readArchive adds the archived changes from version first to version last to found.
func (s *Store) readArchive(ctx context.Context, first, last uint64, found map[uint64]Change) error {
	names, err := s.options.Objects.List(ctx, historyPrefix)
	if err != nil {
		return err
	}
	for _, name := range names {
		var from, to uint64
		if _, err := fmt.Sscanf(strings.TrimPrefix(name, historyPrefix), "%d-%d", &from, &to); err != nil || to < first || from > last {
			continue
		}
		data, err := s.options.Objects.Get(ctx, name)
		if errors.Is(err, provider.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		var changes []Change
		if err := json.Unmarshal(data, &changes); err != nil {
			return eris.Wrapf(err, "object %q", name)
		}
		for _, c := range changes {
			if c.Version >= first && c.Version <= last {
				found[c.Version] = c
			}
		}
	}
	return nil
}
