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
	// OperationID identifies the change. A repeated request with the same ID returns the result of the first
	// and changes nothing.
	OperationID string
	// Base, if not 0, is the version that the author read. Any later change is a conflict.
	// If it is 0, only changes of the same documents during the request are conflicts.
	Base    uint64
	Author  string
	Reason  string
	Puts    []Document
	Deletes []Ref
	// Replace deletes all documents that are not in Puts. If Puts has no operator key, the stored ones are kept.
	Replace bool
	// DryRun checks the change and returns the difference without writing.
	DryRun bool
}

// Result is the outcome of a change.
type Result struct {
	// Version is the version that the change created, or the current one if it changed nothing.
	Version uint64 `json:"version"`
	// Changed is false if the documents were already as requested, or in a dry run.
	Changed    bool         `json:"changed"`
	Difference []Difference `json:"difference,omitempty"`
	// AcceptedAt is a time after the change took effect.
	AcceptedAt time.Time `json:"-"`
}

// Change applies the request to the latest configuration, checks the whole result and writes it in one transaction.
// It fails with *[Invalid] or *[Conflict] if nothing was written, and with [provider.ErrUnknownOutcome]
// if the change may have taken effect.
func (s *Store) Change(ctx context.Context, r Request) (Result, error) {
	if r.OperationID == "" {
		return Result{}, eris.New("change has no operation ID")
	}
	var (
		base, latest *Snapshot
		maybeApplied bool
	)
	for range maxCommitAttempts {
		h, err := s.readHead(ctx, r.OperationID)
		if err != nil {
			return Result{}, joinUnknownOutcome(err, maybeApplied)
		}
		if h.appliedVersion != 0 {
			return Result{Version: h.appliedVersion, Changed: true, AcceptedAt: time.Now()}, nil
		}
		latest, err = s.refreshTo(ctx, latest, h.version)
		if err != nil {
			return Result{}, joinUnknownOutcome(err, maybeApplied)
		}
		if base == nil {
			base = latest
		}
		if err := s.checkConflict(ctx, r, base, latest); err != nil {
			return Result{}, err
		}
		change, difference, err := planChange(r, latest)
		if err != nil {
			return Result{}, err
		}
		if r.DryRun || len(difference) == 0 {
			return Result{Version: latest.version, Difference: difference, AcceptedAt: time.Now()}, nil
		}
		if h.version != latest.version {
			continue // another change was committed during the read
		}
		err = s.commitChange(ctx, change, h)
		switch {
		case err == nil:
			return Result{Version: change.Version, Changed: true, Difference: difference, AcceptedAt: time.Now()}, nil
		case errors.Is(err, provider.ErrUnknownOutcome):
			// If the transaction took effect, the next attempt finds its operation row. Otherwise the commit of the
			// next attempt makes the delayed transaction fail.
			maybeApplied = true
			if err := sleep(ctx, commitRetryDelay); err != nil {
				return Result{}, joinUnknownOutcome(err, true)
			}
		case !errors.Is(err, provider.ErrConflict):
			return Result{}, joinUnknownOutcome(err, maybeApplied)
		}
	}
	return Result{}, joinUnknownOutcome(eris.Errorf("other changes were committed first in %d attempts", maxCommitAttempts), maybeApplied)
}

// joinUnknownOutcome adds [provider.ErrUnknownOutcome] to err if an earlier attempt of the same change may have been applied.
func joinUnknownOutcome(err error, maybeApplied bool) error {
	if !maybeApplied || errors.Is(err, provider.ErrUnknownOutcome) {
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

// checkConflict returns a *[Conflict] if the documents of the request have changed between base, which is the
// configuration at the start of the request, and latest, or since the versions that the request names.
func (s *Store) checkConflict(ctx context.Context, r Request, base, latest *Snapshot) error {
	conflict := &Conflict{Base: base.version, Current: latest.version}
	for _, d := range r.Puts {
		before, known := base.documents[d.Ref()]
		after, exists := latest.documents[d.Ref()]
		changedSince := known != exists || before.Version != after.Version
		if changedSince || d.Version != 0 && d.Version != after.Version {
			conflict.Documents = append(conflict.Documents, d.Ref())
			if d.Version != 0 {
				conflict.Base = min(conflict.Base, d.Version)
			}
		}
	}
	for _, ref := range r.Deletes {
		if base.documents[ref].Version != latest.documents[ref].Version {
			conflict.Documents = append(conflict.Documents, ref)
		}
	}
	if r.Base != 0 && r.Base != latest.version {
		conflict.Base = r.Base
	} else if len(conflict.Documents) == 0 && (!r.Replace || base.version == latest.version) {
		return nil
	}
	from := conflict.Base
	if latest.version > maxVersionGap {
		from = max(from, latest.version-maxVersionGap)
	}
	if from < latest.version {
		// The changes only add detail, so an error of the read does not matter.
		conflict.Changes, _ = s.readChanges(ctx, from, latest.version)
	}
	return conflict
}

// planChange returns the change that the request makes to the latest snapshot, and the difference for operators.
// It checks the whole result and fails with *[Invalid].
func planChange(r Request, latest *Snapshot) (Change, []Difference, error) {
	change := Change{
		Version:     latest.version + 1,
		OperationID: r.OperationID,
		Author:      r.Author,
		Reason:      r.Reason,
		Time:        time.Now().UTC(),
	}
	var problems []Problem
	written := make(map[Ref]bool, len(r.Puts))
	putsOperatorKey := false
	for _, d := range r.Puts {
		ref := d.Ref()
		putsOperatorKey = putsOperatorKey || d.Kind == KindOperatorKey
		if written[ref] {
			problems = append(problems, Problem{Ref: ref, Detail: "document " + ref.String() + " is given twice"})
		}
		written[ref] = true
		if old, ok := latest.documents[ref]; ok && sameSpec(old, d) {
			continue
		}
		d.Version = change.Version
		change.Puts = append(change.Puts, d)
	}
	for _, ref := range r.Deletes {
		if _, ok := latest.documents[ref]; !ok || written[ref] {
			problems = append(problems, Problem{Ref: ref, Detail: "document " + ref.String() + " cannot be deleted: it does not exist or is also written"})
		}
	}
	change.Deletes = slices.Clone(r.Deletes)
	if r.Replace {
		for _, d := range latest.Documents() {
			if !written[d.Ref()] && (d.Kind != KindOperatorKey || putsOperatorKey) {
				change.Deletes = append(change.Deletes, d.Ref())
			}
		}
	}
	next := buildSnapshot(change.Version, patchDocuments(latest.documents, change))
	problems = append(problems, next.problems...)
	if latest.HasOperators() && !next.HasOperators() {
		problems = append(problems, Problem{Detail: "the last operator key cannot be deleted, because nobody could make changes any more"})
	}
	if len(problems) > 0 {
		return Change{}, nil, &Invalid{Problems: problems}
	}
	return change, diffDocuments(latest, change), nil
}

// commitChange writes the change in one transaction. Every write has a check of its row version, so that a delayed
// duplicate of the transaction fails. The versions of the document rows are read here, without a lock: any change of
// a document after that read also changes the row of the current version, whose check then fails.
func (s *Store) commitChange(ctx context.Context, c Change, h head) error {
	refs := c.Refs()
	keys := make([]string, len(refs))
	for i, ref := range refs {
		keys[i] = documentKey(ref)
	}
	versions, err := s.rowVersions(ctx, keys)
	if err != nil {
		return err
	}
	// Each attempt has its own operation ID at the platform. The operation row shows whether one of them took effect.
	txn := provider.Txn{OperationID: ident.New()}
	var encodeErr error
	put := func(key string, rowVersion uint64, value any) {
		data, err := json.Marshal(value)
		if err != nil {
			encodeErr = eris.Wrapf(err, "row %q", key)
		}
		txn.Checks = append(txn.Checks, provider.Check{Key: key, Version: rowVersion})
		txn.Writes = append(txn.Writes, provider.Write{Key: key, Value: data})
	}
	put(currentKey, h.rowVersion, currentRow{Version: c.Version})
	put(changeKey(c.Version), 0, c)
	put(operationKey(c.OperationID), 0, operationRow{Version: c.Version})
	for _, d := range c.Puts {
		key := documentKey(d.Ref())
		put(key, versions[key], d)
	}
	for _, ref := range c.Deletes {
		key := documentKey(ref)
		txn.Checks = append(txn.Checks, provider.Check{Key: key, Version: versions[key]})
		txn.Writes = append(txn.Writes, provider.Write{Key: key, Delete: true})
	}
	if encodeErr != nil {
		return encodeErr
	}
	return s.table.Commit(ctx, txn)
}

// rowVersions returns the versions of the existing rows by key.
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
