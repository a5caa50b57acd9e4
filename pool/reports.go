package pool

import (
	"context"
	"errors"
	"fmt"

	"github.com/chivetiller/chivetiller/provider"
)

// fullListInterval is the number of lists after which the full list is read again, because lists of changes can
// drop entries.
const fullListInterval = 30

// Reports holds the newest report of each instance. The platform's list lags, repeats entries and drops some.
// An older report therefore never replaces a newer one. Reports is not safe for concurrent use.
type Reports struct {
	source         provider.Instances
	cursor         string
	listsSinceFull int
	fullLists      int
	newest         map[string]provider.Instance
	// missedLists counts the full lists since the newest report of an instance.
	missedLists map[string]int
}

// missingAfterLists is the number of full lists without an instance after which the instance counts as missing.
// A single list may have dropped it, and the entry that reports it as gone may have been dropped as well.
const missingAfterLists = 3

// NewReports returns reports read from the platform's list.
func NewReports(source provider.Instances) *Reports {
	return &Reports{source: source, newest: make(map[string]provider.Instance), missedLists: make(map[string]int)}
}

// Refresh reads the changes of the list, or the full list if there is no cursor. It fails with
// [provider.ErrNotFound] if the platform does not know the cursor. The next call then reads the full list.
func (r *Reports) Refresh(ctx context.Context) error {
	if r.listsSinceFull >= fullListInterval {
		r.cursor, r.listsSinceFull = "", 0
	}
	list, err := r.source.List(ctx, r.cursor)
	if errors.Is(err, provider.ErrNotFound) {
		r.cursor = ""
	}
	if err != nil {
		return fmt.Errorf("list instances of the platform: %w", err)
	}
	if r.cursor == "" {
		r.fullLists++
		for id := range r.newest {
			r.missedLists[id]++
		}
	}
	r.cursor = list.Cursor
	r.listsSinceFull++
	for _, entry := range list.Instances {
		r.Add(entry)
	}
	return nil
}

// Add records a report unless a newer one is known.
func (r *Reports) Add(entry provider.Instance) {
	known, ok := r.newest[entry.ID]
	if ok && (entry.Incarnation < known.Incarnation ||
		entry.Incarnation == known.Incarnation && entry.Reported.Before(known.Reported)) {
		return
	}
	r.newest[entry.ID] = entry
	delete(r.missedLists, entry.ID)
}

// Get returns the newest report of an instance.
func (r *Reports) Get(id string) (provider.Instance, bool) {
	entry, ok := r.newest[id]
	return entry, ok
}

// Missing reports whether the platform lists an instance as gone, or has not listed it in missingAfterLists full
// lists.
func (r *Reports) Missing(id string) bool {
	entry, ok := r.newest[id]
	if !ok {
		return r.fullLists >= missingAfterLists
	}
	return entry.State == provider.InstanceGone || r.missedLists[id] >= missingAfterLists
}

// All returns the newest report of every instance.
func (r *Reports) All() map[string]provider.Instance { return r.newest }
