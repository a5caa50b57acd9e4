package scheduler

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/chivetiller/chivetiller/internal/store/retrying"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/internal/store/snapshot"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// loadedRows is the stored state of the scheduler.
type loadedRows struct {
	jobs      map[string]work.Job
	cancelled []string
	progress  map[string]*work.Progress
	// parts holds the further rows of the progress of jobs by name, and staleParts those that belong to no progress any more.
	parts      map[string]*work.Progress
	staleParts []string
	waves      map[int]*WaveProgress
	roster     []RosterEntry
	// oldRoster is the roster of an earlier version.
	oldRoster []RosterEntry
	// version is the version from which on changes of jobs are to be read.
	version uint64
	now     time.Duration
	chain   uint64
	clock   rowkeys.Clock
	// handover is the record of leases.
	handover           leaserecord.Row
	handoverUnreadable bool
	// instances holds the time of the latest command for each instance, on the store's clock.
	instances map[string]time.Duration
	snapshots []snapshot.Row
	// hasOldRows means that the roster or the command times are in the rows of an earlier version.
	hasOldRows bool
	// rows and bytes are the number of the rows that were read and the size of their values.
	rows  int
	bytes int
}

func newLoadedRows() *loadedRows {
	return &loadedRows{
		jobs: make(map[string]work.Job), progress: make(map[string]*work.Progress), parts: make(map[string]*work.Progress), waves: make(map[int]*WaveProgress), instances: make(map[string]time.Duration),
	}
}

// load reads all rows of the scheduler, the tables at the same time. It calls bad for each row that cannot be decoded. The rows
// of different tables may be of different moments: no other leader stores progress any more, since the batches of a leader expect
// its version of the leader row.
func load(ctx context.Context, s store.Store, logger hclog.Logger, bad func(row store.Row, err error)) (*loadedRows, error) {
	l := newLoadedRows()
	s = retrying.Reads{Store: s, Logger: logger}
	var jobs store.Rows
	decoders := map[string]func(store.Row) error{rowkeys.TableProgress: l.decodeProgress, rowkeys.TableLeadership: l.decodeLeadershipRow, rowkeys.TableFleet: l.decodeFleetRow}
	tables := make(map[string]*store.Rows, len(decoders))
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		jobs, err = store.ScanAll(groupCtx, s, rowkeys.TableJobs)
		return err
	})
	for table := range decoders {
		rows := &store.Rows{}
		tables[table] = rows
		group.Go(func() (err error) {
			*rows, err = s.Scan(groupCtx, table, "", "", "")
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	l.version, l.now = jobs.Version, jobs.Now
	for _, row := range jobs.Rows {
		if err := l.decodeJobRow(row); err != nil {
			bad(row, err)
		}
	}
	l.count(jobs)
	for table, decode := range decoders {
		l.count(*tables[table])
		for _, row := range tables[table].Rows {
			if err := decode(row); err != nil {
				bad(row, err)
			}
		}
	}
	l.joinParts(bad)
	return l, nil
}

// joinParts adds the further rows of the progress of jobs. A progress that an earlier build has stored since has none.
func (l *loadedRows) joinParts(bad func(row store.Row, err error)) {
	for id, p := range l.progress {
		for part := 1; part <= p.Parts; part++ {
			name := rowkeys.PartName(id, part)
			further, ok := l.parts[name]
			if !ok {
				bad(store.Row{Key: rowkeys.Progress(name)}, errPartMissing)
				break
			}
			p.Join(further)
			delete(l.parts, name)
		}
	}
	l.staleParts = slices.Sorted(maps.Keys(l.parts))
}

// errPartMissing means that a further row of the progress of a job is missing or cannot be read.
var errPartMissing = errors.New("part of the progress is missing")

func (l *loadedRows) count(read store.Rows) {
	l.rows += len(read.Rows)
	for _, row := range read.Rows {
		l.bytes += len(row.Value)
	}
}

func (l *loadedRows) decodeJobRow(row store.Row) error {
	if id, ok := strings.CutSuffix(row.Name, rowkeys.CancelSuffix); ok {
		l.cancelled = append(l.cancelled, id)
		return nil
	}
	j, err := rowkeys.DecodeJob(row)
	if err != nil {
		return err
	}
	l.jobs[j.ID] = j
	return nil
}

func (l *loadedRows) decodeProgress(row store.Row) error {
	if name, ok := strings.CutPrefix(row.Name, rowkeys.WavePrefix); ok {
		return l.decodeWaveRow(name, row.Value)
	}
	var p work.Progress
	if err := cbor.Unmarshal(row.Value, &p); err != nil {
		return err
	}
	if strings.Contains(row.Name, rowkeys.PartSeparator) {
		l.parts[row.Name] = &p
		return nil
	}
	l.progress[row.Name] = &p
	return nil
}

// decodeWaveRow decodes the row of a wave, or of an instance whose maintenance has begun.
func (l *loadedRows) decodeWaveRow(name string, value []byte) error {
	number, instance, isInstance := strings.Cut(name, rowkeys.WaveInstanceSeparator)
	n, err := strconv.Atoi(number)
	if err != nil {
		return err
	}
	w, ok := l.waves[n]
	if !ok {
		w = &WaveProgress{}
		l.waves[n] = w
	}
	if w.Begun == nil {
		w.Begun = make(map[string]string)
	}
	if !isInstance {
		// Unmarshalling adds the entries of Begun to those of the rows read so far.
		return cbor.Unmarshal(value, w)
	}
	var worker string
	if err := cbor.Unmarshal(value, &worker); err != nil {
		return err
	}
	w.Begun[instance] = worker
	return nil
}

func (l *loadedRows) decodeFleetRow(row store.Row) error {
	if id, ok := strings.CutPrefix(row.Name, rowkeys.CommandPrefix); ok {
		var at time.Duration
		if err := cbor.Unmarshal(row.Value, &at); err != nil {
			return err
		}
		l.instances[id] = max(l.instances[id], at)
		return nil
	}
	if name, ok := strings.CutPrefix(row.Name, rowkeys.LearnedPrefix); ok {
		learned := snapshot.Row{Name: name}
		err := cbor.Unmarshal(row.Value, &learned)
		if err == nil {
			l.snapshots = append(l.snapshots, learned)
		}
		return err
	}
	var entry RosterEntry
	if err := cbor.Unmarshal(row.Value, &entry); err != nil {
		return err
	}
	l.roster = append(l.roster, entry)
	return nil
}

func (l *loadedRows) decodeLeadershipRow(row store.Row) error {
	switch row.Name {
	case rowkeys.RowChain:
		l.chain = row.Version
	case rowkeys.RowRoster:
		l.hasOldRows = true
		return cbor.Unmarshal(row.Value, &l.oldRoster)
	case rowkeys.RowHandover:
		err := cbor.Unmarshal(row.Value, &l.handover)
		l.handoverUnreadable = err != nil
		return err
	case rowkeys.RowClock:
		return cbor.Unmarshal(row.Value, &l.clock)
	case rowkeys.RowInstances:
		l.hasOldRows = true
		var times map[string]time.Duration
		if err := cbor.Unmarshal(row.Value, &times); err != nil {
			return err
		}
		for id, at := range times {
			l.instances[id] = max(l.instances[id], at)
		}
	}
	return nil
}
