package pool

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

// scanLimit is the largest number of rows that one scan returns. With 3,700 workers, List takes four scans.
const scanLimit = 1000

// Stored is an instance row with the version that was read.
type Stored struct {
	Instance
	Version uint64
}

// Check returns the transaction check that the row is unchanged.
func (s Stored) Check() provider.Check {
	return provider.Check{Key: InstanceKey(s.ID), Version: s.Version}
}

// Store reads and changes instance rows. It is not safe for concurrent use.
type Store struct {
	table provider.Table
	// cache holds the rows that List has decoded, because most rows are unchanged from one call to the next.
	cache map[string]Stored
}

// NewStore returns a store over the table.
func NewStore(table provider.Table) *Store {
	return &Store{table: table, cache: make(map[string]Stored)}
}

// List returns all instance rows in key order. It fails if one of them cannot be read.
func (s *Store) List(ctx context.Context) ([]Stored, error) {
	var unreadable error
	all, err := s.ListReadable(ctx, func(_ string, err error) { unreadable = errors.Join(unreadable, err) })
	if err = errors.Join(err, unreadable); err != nil {
		return nil, err
	}
	return all, nil
}

// ListReadable returns the instance rows that can be read, in key order. It calls unreadable with the ID of each other instance.
func (s *Store) ListReadable(ctx context.Context, unreadable func(id string, err error)) ([]Stored, error) {
	var all []Stored
	next := make(map[string]Stored, len(s.cache))
	for after := ""; ; {
		rows, err := s.table.Scan(ctx, instancePrefix, after, scanLimit)
		if err != nil {
			return nil, fmt.Errorf("list instances: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			stored, err := s.decode(row)
			if err != nil {
				unreadable(strings.TrimPrefix(row.Key, instancePrefix), err)
				continue
			}
			next[row.Key] = stored
			all = append(all, stored)
		}
		if len(rows) < scanLimit {
			s.cache = next
			return all, nil
		}
	}
}

// Get returns the row of an instance. It fails with [provider.ErrNotFound] if there is none.
func (s *Store) Get(ctx context.Context, id string) (Stored, error) {
	rows, err := s.table.Read(ctx, InstanceKey(id))
	if err != nil {
		return Stored{}, fmt.Errorf("read instance %q: %w", id, err)
	}
	if len(rows) == 0 {
		return Stored{}, fmt.Errorf("instance %q: %w", id, provider.ErrNotFound)
	}
	return s.decode(rows[0])
}

func (s *Store) decode(row provider.Row) (Stored, error) {
	if cached, ok := s.cache[row.Key]; ok && cached.Version == row.Version {
		return cached, nil
	}
	instance, err := decodeInstance(row.Key, row.Value)
	if err != nil {
		return Stored{}, err
	}
	return Stored{Instance: instance, Version: row.Version}, nil
}

// PlannedStopVersions returns the versions of the pools' rows of planned stops, by the names of the pools. They
// are to be read before the instance rows, for BeginStops.
func (s *Store) PlannedStopVersions(ctx context.Context, names ...string) (map[string]uint64, error) {
	keys := make([]string, 0, len(names))
	for _, name := range names {
		keys = append(keys, PlannedStopsKey(name))
	}
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("read planned stops: %w", err)
	}
	versions := make(map[string]uint64, len(names))
	for _, row := range rows {
		versions[row.Key] = row.Version
	}
	byName := make(map[string]uint64, len(names))
	for _, name := range names {
		byName[name] = versions[PlannedStopsKey(name)]
	}
	return byName, nil
}

// Update replaces a row by its next generation. The transaction includes the given further checks, such as
// that of a lease. It fails with [provider.ErrConflict] if another process has changed the row or a check fails.
func (s *Store) Update(ctx context.Context, old Stored, next Instance, checks ...provider.Check) error {
	data, err := next.encode()
	if err != nil {
		return err
	}
	return s.commit(ctx, "change instance "+old.ID, provider.Txn{
		Checks: append([]provider.Check{old.Check()}, checks...),
		Writes: []provider.Write{{Key: InstanceKey(old.ID), Value: data}},
	})
}

// BeginStops begins planned stops in the pool with the given name: all of them or none. It replaces the stored
// rows by the next ones, which have the same order. The version is that of the pool's row of planned stops, which
// was read before the rows from which the instances were chosen.
func (s *Store) BeginStops(ctx context.Context, name string, version uint64, stored []Stored, next []Instance, checks ...provider.Check) error {
	txn := provider.Txn{
		Checks: append([]provider.Check{{Key: PlannedStopsKey(name), Version: version}}, checks...),
		Writes: []provider.Write{{Key: PlannedStopsKey(name), Value: []byte(`{}`)}},
	}
	for i, old := range stored {
		data, err := next[i].encode()
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, old.Check())
		txn.Writes = append(txn.Writes, provider.Write{Key: InstanceKey(old.ID), Value: data})
	}
	return s.commit(ctx, "begin stops in pool "+name, txn)
}

// Adopt creates the row of an instance that the platform lists and that has no row yet. It returns false if
// the row exists already. The instance then stays in its pool.
func (s *Store) Adopt(ctx context.Context, now time.Time, listed provider.Instance, name string, checks ...provider.Check) (bool, error) {
	if listed.ID == "" || name == "" {
		return false, eris.Errorf("adopt instance %q into pool %q: both need a name", listed.ID, name)
	}
	data, err := Instance{
		ID: listed.ID, Pool: name, HomePool: name, DataCentre: listed.DataCentre, Rack: listed.Rack, Generation: 1,
		State: StateServing, Incarnation: listed.Incarnation, StateSince: now,
	}.encode()
	if err != nil {
		return false, err
	}
	err = s.commit(ctx, "adopt instance "+listed.ID, provider.Txn{
		Checks: append([]provider.Check{{Key: InstanceKey(listed.ID)}}, checks...),
		Writes: []provider.Write{{Key: InstanceKey(listed.ID), Value: data}},
	})
	if errors.Is(err, provider.ErrConflict) {
		if _, getErr := s.Get(ctx, listed.ID); getErr == nil {
			return false, nil
		}
	}
	return err == nil, err
}

// Remove deletes the row of an instance that is in no operation or has failed to return from one. The caller has
// checked that the platform does not list the instance as live.
func (s *Store) Remove(ctx context.Context, id string) error {
	stored, err := s.Get(ctx, id)
	if err != nil {
		return err
	}
	if stored.Operation != "" && stored.State != StateFailed {
		return eris.Errorf("instance %q is %s under %s: abort that first", id, stored.State, stored.Operation)
	}
	return s.commit(ctx, "remove instance "+id, provider.Txn{
		Checks: []provider.Check{stored.Check()},
		Writes: []provider.Write{{Key: InstanceKey(id), Delete: true}},
	})
}

func (s *Store) commit(ctx context.Context, operation string, txn provider.Txn) error {
	txn.OperationID = ident.New()
	if err := s.table.Commit(ctx, txn); err != nil {
		return fmt.Errorf("%s: %w", operation, err)
	}
	return nil
}
