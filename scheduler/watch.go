package scheduler

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/store/retrying"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/internal/workers/registry"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, eris.Wrap(err, "encode a row")
}

func decode(data []byte, to any) error {
	return eris.Wrap(cbor.Unmarshal(data, to), "decode a row")
}

// repeat calls f, with a pause of interval after each call, until the term ends.
func (e *Engine) repeat(interval time.Duration, f func(ctx context.Context)) {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, readTimeout)
		f(ctx)
		cancel()
		e.sleep(interval)
	}
}

// watchRegistry follows the worker registry until the term ends.
func (e *Engine) watchRegistry() {
	v := registry.NewView(registry.Options{Store: e.options.Store, Clock: e.options.Clock, Registry: e.options.Registry, Now: clock.Now, Logger: e.logger})
	e.repeat(registryInterval, func(ctx context.Context) { e.refreshRegistry(ctx, v) })
}

func (e *Engine) refreshRegistry(ctx context.Context, v *registry.View) {
	// With enough rows, a complete scan would never end within the timeout of a read.
	reports, err := v.Refresh(ctx, e.ctx)
	if err != nil {
		e.logger.Warn("Registry could not be read.", "error", err)
		return
	}
	e.post(func(c *Core) { c.SetWorkers(reports) })
}

// jobsView follows the table of jobs.
type jobsView struct {
	e *Engine
	// version is the version from which on changes are read.
	version uint64
}

// watchJobs reads jobs and cancellations whose notifications were lost, until the term ends.
func (e *Engine) watchJobs(after uint64) {
	v := &jobsView{e: e, version: after}
	// With enough rows, a read would never end within a timeout as a whole.
	e.repeat(jobsInterval, func(context.Context) { v.refresh(e.ctx) })
}

func (v *jobsView) refresh(ctx context.Context) {
	e := v.e
	rows, err := e.options.Store.Changes(ctx, rowkeys.TableJobs, v.version, 0)
	var progress map[string]*work.Progress
	if errors.Is(err, store.ErrHistoryGone) {
		e.logger.Warn("Changes of jobs are no longer available, reading all rows.", "after", v.version)
		rows, progress, err = e.readAllJobs(ctx)
	}
	if err != nil {
		e.logger.Warn("New jobs could not be read.", "after", v.version, "error", err)
		return
	}
	e.options.Clock.Update(rows.Now)
	v.version = rows.Version
	e.applyJobRows(rows, progress)
}

// readAllJobs returns the rows of all jobs and their progress. Among them may be jobs that ended long ago and that the core has forgotten.
// The progress is read first: it is removed after the rows of its job, and a job without progress would run again.
func (e *Engine) readAllJobs(ctx context.Context) (store.Rows, map[string]*work.Progress, error) {
	s := retrying.Reads{Store: e.options.Store, Logger: e.logger}
	stored, err := s.Scan(ctx, rowkeys.TableProgress, "", "", "")
	if err != nil {
		return store.Rows{}, nil, err
	}
	l := newLoadedRows()
	for _, row := range stored.Rows {
		if err := l.decodeProgress(row); err != nil {
			e.logRow(row, err)
		}
	}
	l.joinParts(e.logRow)
	rows, err := store.ScanAll(ctx, s, rowkeys.TableJobs)
	return rows, l.progress, err
}

// applyJobRows adds jobs and cancellations, the jobs with the progress that is given for them.
func (e *Engine) applyJobRows(rows store.Rows, progress map[string]*work.Progress) {
	var jobs []work.Job
	var cancelled []string
	for _, row := range rows.Rows {
		if row.Deleted {
			continue
		}
		if id, ok := strings.CutSuffix(row.Name, rowkeys.CancelSuffix); ok {
			cancelled = append(cancelled, id)
			continue
		}
		j, err := rowkeys.DecodeJob(row)
		if err != nil {
			e.logger.Error("Row of a job cannot be read.", "row", row.Name, "error", err)
			continue
		}
		jobs = append(jobs, j)
	}
	if len(jobs)+len(cancelled) == 0 {
		return
	}
	e.post(func(c *Core) {
		for _, j := range jobs {
			c.AddJob(j, progress[j.ID], rows.Now)
		}
		for _, id := range cancelled {
			c.Cancel(id)
		}
	})
}

// watchWaves reads requests for maintenance, and the list of instances while it is needed.
func (e *Engine) watchWaves(stored map[int]*WaveProgress) {
	e.repeat(instancesInterval, func(ctx context.Context) {
		waves := e.options.Waves.Waves()
		needed := false
		err := e.query(ctx, func(c *Core) {
			for _, w := range waves {
				c.AddWave(w, stored[w.Number])
			}
			needed = c.NeedsInstances()
		})
		if err != nil {
			e.logger.Warn("Scheduler did not take the waves in time.", "error", err)
			return
		}
		if !needed {
			return
		}
		at := clock.Now()
		instances, err := e.options.Instances.List(ctx)
		if err != nil {
			e.logger.Warn("Instances could not be listed.", "error", err)
			return
		}
		e.post(func(c *Core) { c.SetInstances(instances, at) })
		e.sleep(listInterval(len(instances)) - instancesInterval)
	})
}

// listInterval returns the time between two lists of that many instances. It leaves time for a list that fails before the last one
// is too old to base commands on.
func listInterval(instances int) time.Duration {
	return min(max(instancesInterval, time.Duration(instances)*perInstanceInterval), maxListAge/2)
}
