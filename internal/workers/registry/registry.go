// Package registry follows the rows in which workers register.
//
// # Usage
//
//	v := registry.NewView(registry.Options{Store: rows, Clock: clock, Registry: decoder, Now: clock.Now, Logger: logger})
//	reports, err := v.Refresh(ctx, ctx)
package registry

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/worker"
)

// Decoder decodes worker entries.
type Decoder interface {
	Table() (table, partition string)
	Decode(row store.Row) (worker.Report, error)
}

// MaxGap is the time without a read of the registry after which missing entries are not trusted, and
// SettleTime how long that lasts. Workers whose entries have expired register again within about two seconds
// after the store is back.
const (
	MaxGap     = 1500 * time.Millisecond
	SettleTime = 2500 * time.Millisecond
)

// refreshInterval is the time between two complete scans of the registry.
const refreshInterval = 10 * time.Second

// entry is a decoded row of the registry.
type entry struct {
	report worker.Report
	err    error
}

// Options are the options of a view.
type Options struct {
	Store    store.Store
	Clock    *store.Clock
	Registry Decoder
	// Now returns the present monotonic time.
	Now    func() time.Duration
	Logger hclog.Logger
}

// View follows the worker registry. It is not safe for concurrent use.
type View struct {
	options Options
	entries map[string]entry
	// version is the version from which on changes are read.
	version uint64
	// completeAt is the time of the last complete scan and readAt that of the last read. Before settledAt, missing entries
	// are not trusted.
	completeAt time.Duration
	readAt     time.Duration
	settledAt  time.Duration
}

// NewView returns a view that has read nothing.
func NewView(o Options) *View {
	return &View{options: o, entries: make(map[string]entry)}
}

// Refresh reads what has changed and returns the reports of the workers that are listed. Reads of changes end with ctx, and complete scans,
// which may take long, with scans.
func (v *View) Refresh(ctx, scans context.Context) ([]worker.Report, error) {
	rows, all, err := v.read(ctx, scans)
	if err != nil {
		return nil, err
	}
	now := v.options.Now()
	v.options.Clock.Update(rows.Now)
	if v.readAt > 0 && now-v.readAt > MaxGap {
		v.settledAt = now + SettleTime
	}
	v.readAt, v.version = now, rows.Version
	listed := make(map[string]bool, len(rows.Rows))
	for _, row := range rows.Rows {
		listed[row.Name] = true
		v.applyRow(row, now)
	}
	if all {
		v.completeAt = now
		for id := range v.entries {
			if !listed[id] && now >= v.settledAt {
				delete(v.entries, id)
			}
		}
	}
	reports := make([]worker.Report, 0, len(v.entries))
	for _, known := range v.entries {
		if known.err == nil {
			reports = append(reports, known.report)
		}
	}
	return reports, nil
}

// read returns the rows that have changed. It returns all rows from time to time, and after an outage until missing entries are trusted:
// only then does a complete scan drop those that are gone.
func (v *View) read(ctx, scans context.Context) (rows store.Rows, all bool, err error) {
	table, partition := v.options.Registry.Table()
	now := v.options.Now()
	if v.version > 0 && now-v.completeAt < refreshInterval && now-v.readAt < MaxGap && v.completeAt >= v.settledAt {
		rows, err = v.options.Store.Changes(ctx, table, v.version, 0)
		if !errors.Is(err, store.ErrHistoryGone) {
			return rows, false, err
		}
	}
	rows, err = v.options.Store.Scan(scans, table, partition, "", "")
	return rows, true, err
}

func (v *View) applyRow(row store.Row, now time.Duration) {
	if row.Deleted {
		if now >= v.settledAt {
			delete(v.entries, row.Name)
		}
		return
	}
	before := v.entries[row.Name]
	report, err := v.options.Registry.Decode(row)
	if err != nil && before.err == nil {
		v.options.Logger.Warn("Registry entry of a worker is invalid.", "worker", row.Name, "error", err)
	}
	v.entries[row.Name] = entry{report: report, err: err}
}
