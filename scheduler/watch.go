package scheduler

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, eris.Wrap(err, "encode a row")
}

func decode(data []byte, to any) error {
	return eris.Wrap(cbor.Unmarshal(data, to), "decode a row")
}

func addPut(tx *store.Tx, key store.Key, v any) error {
	data, err := encode(v)
	if err != nil {
		return err
	}
	tx.Puts = append(tx.Puts, store.Put{Key: key, Value: data})
	return nil
}

func waveName(number int) string { return wavePrefix + strconv.Itoa(number) }

// every calls f after each interval until the term ends.
func (e *Engine) every(interval time.Duration, f func(ctx context.Context)) {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, readTimeout)
		f(ctx)
		cancel()
		e.sleep(interval)
	}
}

// registryGap is after which time without a look at the registry its gaps are not believed, and registrySettle
// how long: workers whose entries have lapsed are back about two seconds after the store.
const (
	registryGap    = 1500 * time.Millisecond
	registrySettle = 2500 * time.Millisecond
)

// watchRegistry reads the registry of workers.
func (e *Engine) watchRegistry() {
	type entry struct {
		version uint64
		report  worker.Report
		err     error
	}
	cache := make(map[string]entry)
	var looked, settled time.Duration
	table, part := e.o.Registry.Table()
	e.every(registryInterval, func(ctx context.Context) {
		rows, err := e.o.Store.Scan(ctx, table, part, "", "")
		if err != nil {
			e.logger.Warn("Registry cannot be read.", "error", err)
			return
		}
		now := clock.Now()
		e.o.Clock.Note(rows.Now)
		if looked > 0 && now-looked > registryGap {
			settled = now + registrySettle
		}
		looked = now
		next := make(map[string]entry, len(rows.Rows))
		reports := make([]worker.Report, 0, len(rows.Rows))
		for _, row := range rows.Rows {
			known, ok := cache[row.Name]
			if !ok || known.version != row.Version {
				broken := known.err != nil
				known = entry{version: row.Version}
				known.report, known.err = e.o.Registry.Decode(row)
				if known.err != nil && !broken {
					e.logger.Warn("Entry of a worker cannot be used.", "worker", row.Name, "error", known.err)
				}
			}
			next[row.Name] = known
			if known.err == nil {
				reports = append(reports, known.report)
			}
		}
		if now < settled {
			for id, known := range cache {
				if _, ok := next[id]; !ok && known.err == nil {
					next[id] = known
					reports = append(reports, known.report)
				}
			}
		}
		cache = next
		e.post(func(c *Core) { c.SetWorkers(reports) })
	})
}

// watchJobs reads jobs and cancellations whose notices got lost.
func (e *Engine) watchJobs(after uint64) {
	e.every(feedInterval, func(ctx context.Context) {
		rows, err := e.o.Store.Changes(ctx, TableJobs, after, 0)
		if errors.Is(err, store.ErrHistoryGone) {
			e.logger.Warn("History of jobs is gone; all rows are read.", "after", after)
			rows, err = e.o.Store.Scan(ctx, TableJobs, "", "", "")
		}
		if err != nil {
			e.logger.Warn("New jobs cannot be read.", "after", after, "error", err)
			return
		}
		e.o.Clock.Note(rows.Now)
		after = rows.Version
		e.takeJobs(rows)
	})
}

func (e *Engine) takeJobs(rows store.Rows) {
	var jobs []work.Job
	var cancelled []string
	for _, row := range rows.Rows {
		if row.Deleted {
			continue
		}
		if id, ok := strings.CutSuffix(row.Name, cancelSuffix); ok {
			cancelled = append(cancelled, id)
			continue
		}
		j, err := DecodeJob(row)
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
			c.AddJob(j, nil, rows.Now)
		}
		for _, id := range cancelled {
			c.Cancel(id)
		}
	})
}

// watchWaves takes new requests for maintenance and the list of machines while one is open.
func (e *Engine) watchWaves(stored map[int]*WaveProgress) {
	e.every(machinesInterval, func(ctx context.Context) {
		waves := e.o.Waves.Waves()
		needed := false
		err := e.ask(ctx, func(c *Core) {
			for _, w := range waves {
				c.AddWave(w, stored[w.Number])
			}
			needed = c.NeedsMachines()
		})
		if err != nil || !needed {
			return
		}
		at := clock.Now()
		machines, err := e.o.Machines.List(ctx)
		if err != nil {
			e.logger.Warn("Machines cannot be listed.", "error", err)
			return
		}
		e.post(func(c *Core) { c.SetMachines(machines, at) })
	})
}
