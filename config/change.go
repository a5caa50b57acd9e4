package config

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

// Request asks for a change of the configuration.
type Request struct {
	// OperationID names the change. A repeat with the same ID returns the result of the first.
	OperationID string
	// Base, if not 0, is the version that the author saw. Any change since then is a conflict.
	// If it is 0, only changes of the same documents during the request are conflicts.
	Base    uint64
	Author  string
	Reason  string
	Puts    []Document
	Deletes []Ref
	// Replace deletes all documents that are not in Puts. Operator keys stay if Puts has none.
	Replace bool
	// DryRun checks the change and returns the difference without writing.
	DryRun bool
}

// Result is the outcome of a change.
type Result struct {
	// Version is the version that the change made, or the current one if it changed nothing.
	Version uint64 `json:"version"`
	// Changed is false if the documents were already as requested, or in a dry run.
	Changed    bool         `json:"changed"`
	Difference []Difference `json:"difference,omitempty"`
	// AcceptedAt is an instant after the change took effect.
	AcceptedAt time.Time `json:"-"`
}

// Change checks the whole set with the change and writes it in one transaction.
// It fails with *[Invalid] or *[Conflict], in which case nothing was written,
// and with [provider.ErrUnknownOutcome] if the change may have taken effect.
func (s *Store) Change(ctx context.Context, r Request) (Result, error) {
	if r.OperationID == "" {
		return Result{}, eris.New("change has no operation ID")
	}
	var (
		base, now *Snapshot
		unknown   bool
	)
	for range maxCommits {
		h, err := s.head(ctx, r.OperationID)
		if err != nil {
			return Result{}, unknownOutcome(err, unknown)
		}
		if h.applied != 0 {
			return Result{Version: h.applied, Changed: true, AcceptedAt: time.Now()}, nil
		}
		now, err = s.advance(ctx, now, h.version)
		if err != nil {
			return Result{}, unknownOutcome(err, unknown)
		}
		if base == nil {
			base = now
		}
		if err := s.checkConflict(ctx, r, base, now); err != nil {
			return Result{}, err
		}
		change, difference, err := plan(r, now)
		if err != nil {
			return Result{}, err
		}
		if r.DryRun || len(difference) == 0 {
			return Result{Version: now.version, Difference: difference, AcceptedAt: time.Now()}, nil
		}
		if h.version != now.version {
			continue // the version moved on while it was read
		}
		err = s.commit(ctx, change, h)
		switch {
		case err == nil:
			return Result{Version: change.Version, Changed: true, Difference: difference, AcceptedAt: time.Now()}, nil
		case errors.Is(err, provider.ErrUnknownOutcome):
			// The next attempt either finds its operation row, or its commit makes the delayed one fail.
			unknown = true
			if err := sleep(ctx, commitPause); err != nil {
				return Result{}, unknownOutcome(err, true)
			}
		case !errors.Is(err, provider.ErrConflict):
			return Result{}, unknownOutcome(err, unknown)
		}
	}
	return Result{}, unknownOutcome(eris.Errorf("change was overtaken %d times", maxCommits), unknown)
}

// unknownOutcome marks err if an earlier attempt of the same change may have taken effect.
func unknownOutcome(err error, unknown bool) error {
	if !unknown || errors.Is(err, provider.ErrUnknownOutcome) {
		return err
	}
	return errors.Join(provider.ErrUnknownOutcome, err)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// checkConflict compares the documents of the request with what its author saw.
func (s *Store) checkConflict(ctx context.Context, r Request, base, now *Snapshot) error {
	conflict := &Conflict{Base: base.version, Current: now.version}
	for _, d := range r.Puts {
		before, known := base.documents[d.Ref()]
		after, exists := now.documents[d.Ref()]
		overtaken := known != exists || before.Version != after.Version
		if overtaken || d.Version != 0 && d.Version != after.Version {
			conflict.Documents = append(conflict.Documents, d.Ref())
			if d.Version != 0 {
				conflict.Base = min(conflict.Base, d.Version)
			}
		}
	}
	for _, ref := range r.Deletes {
		if base.documents[ref].Version != now.documents[ref].Version {
			conflict.Documents = append(conflict.Documents, ref)
		}
	}
	if r.Base != 0 && r.Base != now.version {
		conflict.Base = r.Base
	} else if len(conflict.Documents) == 0 && (!r.Replace || base.version == now.version) {
		return nil
	}
	from := conflict.Base
	if now.version > maxDelta {
		from = max(from, now.version-maxDelta)
	}
	if from < now.version {
		// Without the changes the conflict is still right, it only names less.
		conflict.Changes, _ = s.changes(ctx, from, now.version)
	}
	return conflict
}

// plan returns the change that the request makes to the snapshot, after checking the whole result.
func plan(r Request, now *Snapshot) (Change, []Difference, error) {
	change := Change{
		Version:     now.version + 1,
		OperationID: r.OperationID,
		Author:      r.Author,
		Reason:      r.Reason,
		Time:        time.Now().UTC(),
	}
	var problems []Problem
	seen := make(map[Ref]bool, len(r.Puts))
	operators := false
	for _, d := range r.Puts {
		ref := d.Ref()
		operators = operators || d.Kind == KindOperatorKey
		if seen[ref] {
			problems = append(problems, Problem{Ref: ref, Detail: "document " + ref.String() + " is given twice"})
		}
		seen[ref] = true
		if old, ok := now.documents[ref]; ok && sameSpec(old, d) {
			continue
		}
		d.Version = change.Version
		change.Puts = append(change.Puts, d)
	}
	for _, ref := range r.Deletes {
		if _, ok := now.documents[ref]; !ok || seen[ref] {
			problems = append(problems, Problem{Ref: ref, Detail: "document " + ref.String() + " cannot be deleted: it does not exist or is also written"})
		}
	}
	change.Deletes = slices.Clone(r.Deletes)
	if r.Replace {
		for _, d := range now.Documents() {
			if !seen[d.Ref()] && (d.Kind != KindOperatorKey || operators) {
				change.Deletes = append(change.Deletes, d.Ref())
			}
		}
	}
	next := build(change.Version, patch(now.documents, change))
	problems = append(problems, next.problems...)
	if now.HasOperators() && !next.HasOperators() {
		problems = append(problems, Problem{Detail: "the last operator key cannot be deleted, because nobody could make changes any more"})
	}
	if len(problems) > 0 {
		return Change{}, nil, &Invalid{Problems: problems}
	}
	return change, differences(now, change), nil
}

// commit writes the change in one transaction. Every write carries a check of its row, so that a delayed
// duplicate of the transaction fails. The row versions are read here; if the documents change after the
// read, so does the row of the current version, whose check then fails.
func (s *Store) commit(ctx context.Context, c Change, h head) error {
	refs := c.Refs()
	keys := make([]string, len(refs))
	for i, ref := range refs {
		keys[i] = documentKey(ref)
	}
	versions, err := s.rowVersions(ctx, keys)
	if err != nil {
		return err
	}
	// Each attempt is an operation of its own for the platform; the row of the operation tells whether one took effect.
	txn := provider.Txn{OperationID: ident.New()}
	var failed error
	put := func(key string, rowVersion uint64, value any) {
		data, err := json.Marshal(value)
		if err != nil {
			failed = eris.Wrapf(err, "row %q", key)
		}
		txn.Checks = append(txn.Checks, provider.Check{Key: key, Version: rowVersion})
		txn.Writes = append(txn.Writes, provider.Write{Key: key, Value: data})
	}
	put(currentKey, h.rowVersion, current{Version: c.Version})
	put(changeKey(c.Version), 0, c)
	put(operationKey(c.OperationID), 0, operation{Version: c.Version})
	for _, d := range c.Puts {
		key := documentKey(d.Ref())
		put(key, versions[key], d)
	}
	for _, ref := range c.Deletes {
		key := documentKey(ref)
		txn.Checks = append(txn.Checks, provider.Check{Key: key, Version: versions[key]})
		txn.Writes = append(txn.Writes, provider.Write{Key: key, Delete: true})
	}
	if failed != nil {
		return failed
	}
	return s.table.Commit(ctx, txn)
}

// rowVersions returns the versions of those rows that exist.
func (s *Store) rowVersions(ctx context.Context, keys []string) (map[string]uint64, error) {
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	versions := make(map[string]uint64, len(rows))
	for _, row := range rows {
		versions[row.Key] = row.Version
	}
	return versions, nil
}
