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
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/chivetiller/chivetiller/internal/store/retrying"
	"github.com/chivetiller/chivetiller/internal/store/snapshot"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// Tables and rows of the scheduler.
const (
	// TableJobs holds accepted jobs and cancellations. Every process writes to it.
	TableJobs = "job"
	// tableProgress holds the progress of jobs and waves. Only the leader writes to it.
	tableProgress   = "progress"
	tableLeadership = "duty"
	// rowChain is rewritten by each batch, which expects its version. So a batch that is carried out late fails.
	rowChain = "chain"
	rowClock = "clock"
	// cancelSuffix marks the row of a cancellation. It sorts after the row of the job.
	cancelSuffix = ".cancel"
	// partSeparator separates the ID of a job from the number of a further row of its progress.
	partSeparator = "/"
	wavePrefix    = "wave."
	// waveInstanceSeparator separates the name of a wave from an instance whose maintenance has begun. The row of the instance
	// holds the worker that ran on it before.
	waveInstanceSeparator = "/"
	// tableFleet holds a row for each worker in the roster, for each recent command for an instance its time on the store's
	// clock, and for each part of the scheduler that learns what it has learned. They are not in one row, because the size of a row is limited and each change would rewrite all of it.
	tableFleet    = "fleet"
	rosterPrefix  = "worker/"
	commandPrefix = "command/"
	// learnedPrefix marks the rows of what was learned.
	learnedPrefix = "learned/"
	// rowRoster and rowInstances are where earlier versions kept the rows of tableFleet.
	rowRoster    = "roster"
	rowInstances = "instances"
)

// JobKey returns the key of a job. Jobs are spread over table partitions, since the store runs the transactions of a
// partition one after the other.
func JobKey(id string) store.Key {
	return store.Key{Table: TableJobs, Partition: jobPartition(id), Name: id}
}

// CancelKey returns the key of the cancellation of a job.
func CancelKey(id string) store.Key {
	return store.Key{Table: TableJobs, Partition: jobPartition(id), Name: id + cancelSuffix}
}

// jobPartition returns the table partition of a job: one of sixteen, by the first digit of its ID.
func jobPartition(id string) string { return id[:min(1, len(id))] }

// ProgressKey returns the key of the progress of a job.
func ProgressKey(id string) store.Key { return progressKey(id) }

func progressKey(name string) store.Key { return store.Key{Table: tableProgress, Name: name} }

// partName returns the name of a row of the progress of a job. The first one has the number 0.
func partName(id string, part int) string {
	if part == 0 {
		return id
	}
	return id + partSeparator + strconv.Itoa(part)
}

func fleetKey(name string) store.Key { return store.Key{Table: tableFleet, Name: name} }

func snapshotKey(name string) store.Key { return fleetKey(learnedPrefix + name) }

func leadershipKey(name string) store.Key { return store.Key{Table: tableLeadership, Name: name} }

// EncodeJob returns the row of an accepted job.
func EncodeJob(j work.Job) ([]byte, error) {
	data, err := cbor.Marshal(j)
	return data, eris.Wrapf(err, "encode job %s", j.ID)
}

// DecodeJob decodes the row of a job.
func DecodeJob(row store.Row) (work.Job, error) {
	var j work.Job
	if err := cbor.Unmarshal(row.Value, &j); err != nil {
		return work.Job{}, eris.Wrapf(err, "decode the row of job %q", row.Name)
	}
	return j, eris.Wrapf(j.Validate(), "row of job %q", row.Name)
}

// chainRow is the content of the chain row.
type chainRow struct {
	Fence uint64 `cbor:"1,keyasint"`
	Batch uint64 `cbor:"2,keyasint"`
}

// clockRow relates the store's clock to wall clock time, so that all leaders agree on when an occurrence is due.
type clockRow struct {
	Store     time.Duration `cbor:"1,keyasint"`
	WallClock time.Duration `cbor:"2,keyasint"`
}

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
	clock   clockRow
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
	decoders := map[string]func(store.Row) error{tableProgress: l.decodeProgress, tableLeadership: l.decodeLeadershipRow, tableFleet: l.decodeFleetRow}
	tables := make(map[string]*store.Rows, len(decoders))
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		jobs, err = store.ScanAll(groupCtx, s, TableJobs)
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
			name := partName(id, part)
			further, ok := l.parts[name]
			if !ok {
				bad(store.Row{Key: progressKey(name)}, errPartMissing)
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
	if id, ok := strings.CutSuffix(row.Name, cancelSuffix); ok {
		l.cancelled = append(l.cancelled, id)
		return nil
	}
	j, err := DecodeJob(row)
	if err != nil {
		return err
	}
	l.jobs[j.ID] = j
	return nil
}

func (l *loadedRows) decodeProgress(row store.Row) error {
	if name, ok := strings.CutPrefix(row.Name, wavePrefix); ok {
		return l.decodeWaveRow(name, row.Value)
	}
	var p work.Progress
	if err := cbor.Unmarshal(row.Value, &p); err != nil {
		return err
	}
	if strings.Contains(row.Name, partSeparator) {
		l.parts[row.Name] = &p
		return nil
	}
	l.progress[row.Name] = &p
	return nil
}

// decodeWaveRow decodes the row of a wave, or of an instance whose maintenance has begun.
func (l *loadedRows) decodeWaveRow(name string, value []byte) error {
	number, instance, isInstance := strings.Cut(name, waveInstanceSeparator)
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
	if id, ok := strings.CutPrefix(row.Name, commandPrefix); ok {
		var at time.Duration
		if err := cbor.Unmarshal(row.Value, &at); err != nil {
			return err
		}
		l.instances[id] = max(l.instances[id], at)
		return nil
	}
	if name, ok := strings.CutPrefix(row.Name, learnedPrefix); ok {
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
	case rowChain:
		l.chain = row.Version
	case rowRoster:
		l.hasOldRows = true
		return cbor.Unmarshal(row.Value, &l.oldRoster)
	case rowHandover:
		err := cbor.Unmarshal(row.Value, &l.handover)
		l.handoverUnreadable = err != nil
		return err
	case rowClock:
		return cbor.Unmarshal(row.Value, &l.clock)
	case rowInstances:
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
