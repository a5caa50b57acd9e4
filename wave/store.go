package wave

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

const (
	wavePrefix = "wave/"
	// creationKey is the key of the row that each creation of a wave checks and rewrites, so that concurrent
	// creations conflict.
	creationKey = "waves"
	scanLimit   = 1000
)

// Stored is a wave with the version of its row.
type Stored struct {
	Wave
	Version uint64
}

// Check returns the transaction check that the wave is unchanged, so that no stop begins after a pause or abort.
func (s Stored) Check() provider.Check {
	return provider.Check{Key: wavePrefix + s.Name(), Version: s.Version}
}

// waveRow is the value of the row of a wave.
type waveRow struct {
	Spec  Spec      `json:"spec"`
	State State     `json:"state"`
	Begun time.Time `json:"begun"`
	Ended time.Time `json:"ended,omitzero"`
}

// Store reads and writes waves in the platform's table.
type Store struct{ table provider.Table }

// NewStore returns a store over the table.
func NewStore(table provider.Table) *Store { return &Store{table: table} }

// List returns all waves in order of their names. It fails if one of them cannot be read.
func (s *Store) List(ctx context.Context) ([]Stored, error) {
	var unreadable error
	all, err := s.ListReadable(ctx, func(_ string, err error) { unreadable = errors.Join(unreadable, err) })
	if err = errors.Join(err, unreadable); err != nil {
		return nil, err
	}
	return all, nil
}

// ListReadable returns the waves whose rows can be read, in order of their names. It calls unreadable with the name of each other wave.
func (s *Store) ListReadable(ctx context.Context, unreadable func(name string, err error)) ([]Stored, error) {
	var all []Stored
	for after := ""; ; {
		rows, err := s.table.Scan(ctx, wavePrefix, after, scanLimit)
		if err != nil {
			return nil, fmt.Errorf("list waves: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			stored, err := decode(row)
			if err != nil {
				unreadable(strings.TrimPrefix(row.Key, wavePrefix), err)
				continue
			}
			all = append(all, stored)
		}
		if len(rows) < scanLimit {
			return all, nil
		}
	}
}

// Get returns a wave by its name. It fails with [provider.ErrNotFound] if there is none.
func (s *Store) Get(ctx context.Context, name string) (Stored, error) {
	rows, err := s.table.Read(ctx, wavePrefix+name)
	if err != nil {
		return Stored{}, fmt.Errorf("read wave %q: %w", name, err)
	}
	if len(rows) == 0 {
		return Stored{}, fmt.Errorf("wave %q: %w", name, provider.ErrNotFound)
	}
	return decode(rows[0])
}

// Create stores a new wave. It fails if the document is invalid or names an unknown pool or instance, if the
// availability budget of a covered pool allows no stop at all, or if the wave overlaps an active one.
func (s *Store) Create(ctx context.Context, spec Spec, now time.Time, pools []pool.Pool, rows []pool.Stored) (Wave, error) {
	w, err := New(spec, now)
	if err != nil {
		return Wave{}, err
	}
	if err := w.checkFeasible(pools, rows); err != nil {
		return Wave{}, err
	}
	// This row is read before the waves and rewritten together with the new one. If two operators create
	// overlapping waves at the same time, one of them gets a conflict.
	created, err := s.table.Read(ctx, creationKey)
	if err != nil {
		return Wave{}, fmt.Errorf("read %q: %w", creationKey, err)
	}
	check := provider.Check{Key: creationKey}
	if len(created) > 0 {
		check.Version = created[0].Version
	}
	others, err := s.List(ctx)
	if err != nil {
		return Wave{}, err
	}
	for _, other := range others {
		if other.Name() == w.Name() {
			return Wave{}, eris.Errorf("wave %q exists already: it is %s", w.Name(), other.State())
		}
		if other.Active() && mayOverlap(w, other.Wave) {
			return Wave{}, eris.Errorf("wave %q covers a pool of wave %q, which is %s", w.Name(), other.Name(), other.State())
		}
	}
	return w, s.writeWave(ctx, w, 0, []provider.Write{{Key: creationKey, Value: []byte(`{}`)}}, check)
}

// mayOverlap reports whether two waves cover a common pool. Instances are not compared: waves over one pool conflict
// even if they name different instances of it.
func mayOverlap(a, b Wave) bool {
	if len(a.spec.Pools) == 0 || len(b.spec.Pools) == 0 {
		return true
	}
	return slices.ContainsFunc(a.spec.Pools, b.coversPool)
}

// SetState pauses, resumes or aborts a wave. It fails if the wave is aborted or done already, since these states are
// final.
func (s *Store) SetState(ctx context.Context, name string, to State) (Wave, error) {
	stored, err := s.Get(ctx, name)
	if err != nil {
		return Wave{}, err
	}
	if stored.state == to {
		return stored.Wave, nil
	}
	if !stored.Active() {
		return Wave{}, eris.Errorf("wave %q is %s already", name, stored.state)
	}
	w := stored.Wave
	w.state = to
	if to == StateAborted {
		w.ended = time.Now()
	}
	return w, s.writeWave(ctx, w, stored.Version, nil)
}

// MarkDone marks a running wave as done. Further checks, such as that of a lease, apply to the transaction.
func (s *Store) MarkDone(ctx context.Context, stored Stored, checks ...provider.Check) error {
	w := stored.Wave
	w.state, w.ended = StateDone, time.Now()
	return s.writeWave(ctx, w, stored.Version, nil, checks...)
}

// Remove deletes the row of a wave that has ended.
func (s *Store) Remove(ctx context.Context, stored Stored, checks ...provider.Check) error {
	return s.table.Commit(ctx, provider.Txn{
		OperationID: ident.New(),
		Checks:      append([]provider.Check{stored.Check()}, checks...),
		Writes:      []provider.Write{{Key: wavePrefix + stored.Name(), Delete: true}},
	})
}

func (s *Store) writeWave(ctx context.Context, w Wave, version uint64, writes []provider.Write, checks ...provider.Check) error {
	data, err := json.Marshal(waveRow{Spec: w.spec, State: w.state, Begun: w.created, Ended: w.ended})
	if err != nil {
		return eris.Wrapf(err, "encode wave %q", w.Name())
	}
	err = s.table.Commit(ctx, provider.Txn{
		OperationID: ident.New(),
		Checks:      append([]provider.Check{{Key: wavePrefix + w.Name(), Version: version}}, checks...),
		Writes:      append([]provider.Write{{Key: wavePrefix + w.Name(), Value: data}}, writes...),
	})
	if errors.Is(err, provider.ErrConflict) {
		return fmt.Errorf("wave %q was changed by another operator: %w", w.Name(), err)
	}
	if err != nil {
		return fmt.Errorf("write wave %q: %w", w.Name(), err)
	}
	return nil
}

func decode(row provider.Row) (Stored, error) {
	var d waveRow
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return Stored{}, eris.Wrapf(err, "row %q is not a wave", row.Key)
	}
	w, err := New(d.Spec, d.Begun)
	if err != nil {
		return Stored{}, eris.Wrapf(err, "row %q", row.Key)
	}
	w.state, w.ended = d.State, d.Ended
	return Stored{Wave: w, Version: row.Version}, nil
}

// checkFeasible returns an error if the wave could not complete under any load.
func (w Wave) checkFeasible(pools []pool.Pool, rows []pool.Stored) error {
	byName := make(map[string]pool.Pool, len(pools))
	for _, p := range pools {
		byName[p.Name()] = p
	}
	for _, name := range w.spec.Pools {
		if _, ok := byName[name]; !ok {
			return eris.Errorf("wave %q: unknown pool %q", w.Name(), name)
		}
	}
	sizes := make(map[string]int)
	known := make(map[string]bool, len(rows))
	for _, row := range rows {
		sizes[row.Pool]++
		known[row.ID] = w.coversPool(row.Pool)
	}
	for _, id := range w.spec.Instances {
		if !known[id] {
			return eris.Errorf("wave %q: instance %q is not in the wave's pools", w.Name(), id)
		}
	}
	for _, p := range pools {
		size := sizes[p.Name()]
		if size == 0 || !w.coversPool(p.Name()) {
			continue
		}
		if p.MaxUnavailable(size) < 1 || p.MaxUnavailablePerRack(size) < 1 || p.MaxUnavailablePerDataCentre(size) < 1 {
			return eris.Errorf("wave %q: the availability budget of pool %q allows no stop: %s of %d instances",
				w.Name(), p.Name(), p.Spec().MaxUnavailable, size)
		}
	}
	return nil
}
