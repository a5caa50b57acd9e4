package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

const (
	jobPrefix = "job/"
	scanLimit = 1000
	// batchSize is the maximum number of jobs that are changed in one transaction.
	batchSize = 50
	// archivePrefix begins the names of the objects that hold ended jobs.
	archivePrefix = "jobs/"
)

// Stored is a job with the version of its row.
type Stored struct {
	Job
	Version uint64
}

// Change is the change of the row of one job.
type Change struct {
	Old  Stored
	Next Job
}

// Store reads and writes jobs in the platform's table. The keys of their rows begin with the data centre, so that the
// duty of a data centre reads only the jobs there. A store is not safe for concurrent use.
type Store struct {
	table  provider.Table
	limits Limits
	cache  map[string]Stored
}

// NewStore returns a store over the table. Limits may be nil, which means that teams have no limits.
func NewStore(table provider.Table, limits Limits) *Store {
	return &Store{table: table, limits: limits, cache: make(map[string]Stored)}
}

// List returns the jobs of a data centre in order of submission, or all jobs if dataCentre is empty. It fails if one of them cannot be
// read.
func (s *Store) List(ctx context.Context, dataCentre string) ([]Stored, error) {
	var unreadable error
	all, err := s.ListReadable(ctx, dataCentre, func(_ string, err error) { unreadable = errors.Join(unreadable, err) })
	if err = errors.Join(err, unreadable); err != nil {
		return nil, err
	}
	return all, nil
}

// ListReadable returns the jobs whose rows can be read, in order of submission. It calls unreadable with the ID of each other job.
func (s *Store) ListReadable(ctx context.Context, dataCentre string, unreadable func(id string, err error)) ([]Stored, error) {
	prefix := jobPrefix
	if dataCentre != "" {
		prefix += dataCentre + "."
	}
	var all []Stored
	next := make(map[string]Stored, len(s.cache))
	for after := ""; ; {
		rows, err := s.table.Scan(ctx, prefix, after, scanLimit)
		if err != nil {
			return nil, fmt.Errorf("list jobs: %w", err)
		}
		for _, row := range rows {
			after = row.Key
			stored, ok := s.cache[row.Key]
			if !ok || stored.Version != row.Version {
				if stored, err = decode(row); err != nil {
					unreadable(strings.TrimPrefix(row.Key, jobPrefix), err)
					continue
				}
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

// Get returns a job. It fails with [provider.ErrNotFound] if there is none.
func (s *Store) Get(ctx context.Context, id string) (Stored, error) {
	rows, err := s.table.Read(ctx, jobPrefix+id)
	if err != nil {
		return Stored{}, fmt.Errorf("read job %q: %w", id, err)
	}
	if len(rows) == 0 {
		return Stored{}, fmt.Errorf("job %q: %w", id, provider.ErrNotFound)
	}
	return decode(rows[0])
}

// Submit stores a new job.
func (s *Store) Submit(ctx context.Context, j Job) error {
	return s.commitChanges(ctx, []Change{{Old: Stored{Job: Job{ID: j.ID}}, Next: j}})
}

// Cancel cancels a job and returns it. A queued job is cancelled at once. For a running job, the process that holds the
// duty of the data centre stops the task. Cancel retries if the job changes meanwhile, and does nothing if the job has
// ended.
func (s *Store) Cancel(ctx context.Context, id string, now time.Time) (Job, error) {
	for {
		stored, err := s.Get(ctx, id)
		if err != nil || stored.State.Ended() || stored.State == StateCancelling {
			return stored.Job, err
		}
		next := stored.Job
		if stored.State == StateQueued {
			next = stored.End(now, StateCancelled, "cancelled while queued")
		} else {
			next.State, next.Reason = StateCancelling, "cancelled while running"
		}
		err = s.commitChanges(ctx, []Change{{Old: stored, Next: next}})
		if !errors.Is(err, provider.ErrConflict) {
			return next, err
		}
	}
}

// Apply writes changes in few transactions and returns those that certainly took effect. If another process changed a
// row of a transaction, or a team is at its limit, the changes of that transaction are written one by one, so that one
// cancellation does not undo the placement of other jobs. The result limited contains the teams that are at their
// limits. Each transaction includes the checks.
func (s *Store) Apply(ctx context.Context, changes []Change, checks ...provider.Check) (applied []Change, limited map[string]bool, err error) {
	limited = make(map[string]bool)
	for len(changes) > 0 {
		chunk := changes[:min(batchSize, len(changes))]
		changes = changes[len(chunk):]
		err := s.commitChanges(ctx, chunk, checks...)
		if err == nil {
			applied = append(applied, chunk...)
			continue
		}
		if !concernsOneChange(err) {
			return applied, limited, err
		}
		done, err := s.applyEach(ctx, chunk, limited, checks)
		applied = append(applied, done...)
		if err != nil {
			return applied, limited, err
		}
	}
	return applied, limited, nil
}

// concernsOneChange reports whether an error may be due to a single change, so that the others may succeed.
func concernsOneChange(err error) bool {
	return errors.Is(err, provider.ErrConflict) || errors.Is(err, allotment.ErrLimit)
}

// applyEach writes changes one by one. It adds teams that are at their limits to limited, and skips further starts of
// their jobs.
func (s *Store) applyEach(ctx context.Context, chunk []Change, limited map[string]bool, checks []provider.Check) ([]Change, error) {
	var applied []Change
	var conflict error
	for _, c := range chunk {
		if limited[c.Next.Spec.Team] && c.runningDelta() > 0 {
			continue
		}
		err := s.commitChanges(ctx, []Change{c}, checks...)
		switch {
		case err == nil:
			applied = append(applied, c)
		case errors.Is(err, allotment.ErrLimit):
			limited[c.Next.Spec.Team] = true
		case errors.Is(err, provider.ErrConflict):
			conflict = err
		default:
			return applied, err
		}
	}
	if len(applied) == 0 && len(chunk) > 1 {
		// Most likely this process has lost the lease, and every further write would fail too.
		return nil, conflict
	}
	return applied, nil
}

// kindsKey returns the key of the row that holds what is learned for all kinds of job in a data centre.
func kindsKey(dataCentre string) string { return "jobkinds/" + dataCentre }

// Kinds returns what is learned for the kinds of job in a data centre. It is nil if there is nothing yet.
func (s *Store) Kinds(ctx context.Context, dataCentre string) (map[string]Kind, error) {
	rows, err := s.table.Read(ctx, kindsKey(dataCentre))
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	var kinds map[string]Kind
	if err := json.Unmarshal(rows[0].Value, &kinds); err != nil {
		return nil, eris.Wrapf(err, "row %q does not hold kinds of jobs", rows[0].Key)
	}
	return kinds, nil
}

// SaveKinds stores what is learned for the kinds of job in a data centre. The checks have to include that of a fencing
// token, so that only the holder of the duty writes the row.
func (s *Store) SaveKinds(ctx context.Context, dataCentre string, kinds map[string]Kind, checks ...provider.Check) error {
	data, err := json.Marshal(kinds)
	if err != nil {
		return eris.Wrap(err, "encode kinds of jobs")
	}
	rows, err := s.table.Read(ctx, kindsKey(dataCentre))
	if err != nil {
		return err
	}
	check := provider.Check{Key: kindsKey(dataCentre)}
	if len(rows) > 0 {
		check.Version = rows[0].Version
	}
	return s.table.Commit(ctx, provider.Txn{
		OperationID: ident.New(), Checks: append([]provider.Check{check}, checks...),
		Writes: []provider.Write{{Key: check.Key, Value: data}},
	})
}

// Archive moves up to 50 ended jobs of a data centre from the table to an object, or only deletes them if objects is
// nil. The object is written first and has the name of its first job, so that a retry after a failure writes the same
// object again.
func (s *Store) Archive(ctx context.Context, objects provider.Objects, dataCentre string, ended []Stored, checks ...provider.Check) error {
	ended = ended[:min(batchSize, len(ended))]
	if len(ended) == 0 {
		return nil
	}
	if objects != nil {
		jobs := make([]Job, 0, len(ended))
		for _, j := range ended {
			jobs = append(jobs, j.Job)
		}
		data, err := json.Marshal(jobs)
		if err != nil {
			return eris.Wrap(err, "encode ended jobs")
		}
		if err := objects.Put(ctx, archivePrefix+dataCentre+"/"+ended[0].ID+".json", data); err != nil {
			return fmt.Errorf("archive ended jobs: %w", err)
		}
	}
	return s.removeRows(ctx, ended, checks...)
}

func (s *Store) removeRows(ctx context.Context, ended []Stored, checks ...provider.Check) error {
	txn := provider.Txn{OperationID: ident.New(), Checks: checks}
	for _, j := range ended {
		txn.Checks = append(txn.Checks, provider.Check{Key: jobPrefix + j.ID, Version: j.Version})
		txn.Writes = append(txn.Writes, provider.Write{Key: jobPrefix + j.ID, Delete: true})
	}
	if err := s.table.Commit(ctx, txn); err != nil {
		return fmt.Errorf("remove ended jobs: %w", err)
	}
	return nil
}

func (s *Store) commitChanges(ctx context.Context, changes []Change, checks ...provider.Check) error {
	txn := provider.Txn{OperationID: ident.New(), Checks: append([]provider.Check(nil), checks...)}
	for _, c := range changes {
		data, err := json.Marshal(c.Next)
		if err != nil {
			return eris.Wrapf(err, "encode job %q", c.Next.ID)
		}
		txn.Checks = append(txn.Checks, provider.Check{Key: jobPrefix + c.Next.ID, Version: c.Old.Version})
		txn.Writes = append(txn.Writes, provider.Write{Key: jobPrefix + c.Next.ID, Value: data})
	}
	if err := s.addLimits(ctx, &txn, changes); err != nil {
		return fmt.Errorf("count jobs against the limits: %w", err)
	}
	if err := s.table.Commit(ctx, txn); err != nil {
		return fmt.Errorf("write jobs: %w", err)
	}
	return nil
}

func decode(row provider.Row) (Stored, error) {
	var j Job
	if err := json.Unmarshal(row.Value, &j); err != nil {
		return Stored{}, eris.Wrapf(err, "row %q is not a job", row.Key)
	}
	return Stored{Job: j, Version: row.Version}, nil
}
