package pool

import (
	"context"
	"fmt"

	"github.com/chivetiller/chivetiller/platform"
)

// fullListEvery is after how many partial lists the whole list is read, since a partial one can drop entries.
const fullListEvery = 10

// Reports holds the newest report of each instance. The platform's list lags, repeats entries and drops
// some; a report never replaces a newer one. It is not safe for concurrent use.
type Reports struct {
	source platform.Instances
	cursor string
	since  int
	newest map[string]platform.Instance
}

// NewReports returns reports read from the platform's list.
func NewReports(source platform.Instances) *Reports {
	return &Reports{source: source, newest: make(map[string]platform.Instance)}
}

// Refresh reads the changes of the list.
func (r *Reports) Refresh(ctx context.Context) error {
	if r.since >= fullListEvery {
		r.cursor, r.since = "", 0
	}
	list, err := r.source.List(ctx, r.cursor)
	if err != nil {
		return fmt.Errorf("list instances of the platform: %w", err)
	}
	r.cursor = list.Cursor
	r.since++
	for _, entry := range list.Instances {
		r.Add(entry)
	}
	return nil
}

// Add takes a report unless a newer one is known.
func (r *Reports) Add(entry platform.Instance) {
	known, ok := r.newest[entry.ID]
	if ok && (entry.Incarnation < known.Incarnation ||
		entry.Incarnation == known.Incarnation && entry.Reported.Before(known.Reported)) {
		return
	}
	r.newest[entry.ID] = entry
}

// Get returns the newest report of an instance.
func (r *Reports) Get(id string) (platform.Instance, bool) {
	entry, ok := r.newest[id]
	return entry, ok
}

// All returns the newest report of every instance.
func (r *Reports) All() map[string]platform.Instance { return r.newest }
