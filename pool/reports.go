package pool

import (
	"context"
	"errors"
	"fmt"

	"github.com/chivetiller/chivetiller/provider"
)

// fullListEvery is after how many partial lists the whole list is read, since a partial one can drop entries.
const fullListEvery = 30

// Reports holds the newest report of each instance. The platform's list lags, repeats entries and drops
// some; a report never replaces a newer one. It is not safe for concurrent use.
type Reports struct {
	source provider.Instances
	cursor string
	since  int
	whole  int
	newest map[string]provider.Instance
	// missed counts the whole lists since the last one with the instance.
	missed map[string]int
}

// missingAfter is the number of whole lists without an instance after which it counts as missing. One list
// may have dropped it, and the entry that says that it is gone may have been dropped as well.
const missingAfter = 3

// NewReports returns reports read from the platform's list.
func NewReports(source provider.Instances) *Reports {
	return &Reports{source: source, newest: make(map[string]provider.Instance), missed: make(map[string]int)}
}

// Refresh reads the changes of the list.
func (r *Reports) Refresh(ctx context.Context) error {
	if r.since >= fullListEvery {
		r.cursor, r.since = "", 0
	}
	list, err := r.source.List(ctx, r.cursor)
	if errors.Is(err, provider.ErrNotFound) {
		// The platform no longer knows the cursor. The next call reads the whole list.
		r.cursor = ""
	}
	if err != nil {
		return fmt.Errorf("list instances of the platform: %w", err)
	}
	if r.cursor == "" {
		r.whole++
		for id := range r.newest {
			r.missed[id]++
		}
	}
	r.cursor = list.Cursor
	r.since++
	for _, entry := range list.Instances {
		r.Add(entry)
	}
	return nil
}

// Add takes a report unless a newer one is known.
func (r *Reports) Add(entry provider.Instance) {
	known, ok := r.newest[entry.ID]
	if ok && (entry.Incarnation < known.Incarnation ||
		entry.Incarnation == known.Incarnation && entry.Reported.Before(known.Reported)) {
		return
	}
	r.newest[entry.ID] = entry
	delete(r.missed, entry.ID)
}

// Get returns the newest report of an instance.
func (r *Reports) Get(id string) (provider.Instance, bool) {
	entry, ok := r.newest[id]
	return entry, ok
}

// Missing reports whether the platform no longer lists an instance, or lists it as gone.
func (r *Reports) Missing(id string) bool {
	entry, ok := r.newest[id]
	if !ok {
		return r.whole >= missingAfter
	}
	return entry.State == provider.InstanceGone || r.missed[id] >= missingAfter
}

// All returns the newest report of every instance.
func (r *Reports) All() map[string]provider.Instance { return r.newest }
