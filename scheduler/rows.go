package scheduler

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

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
	rowChain  = "chain"
	rowRoster = "roster"
	rowClock  = "clock"
	// cancelSuffix marks the row of a cancellation. It sorts after the row of the job.
	cancelSuffix = ".cancel"
	wavePrefix   = "wave."
	// rowInstances holds the time of the latest command for each instance, on the store's clock.
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

func progressKey(name string) store.Key { return store.Key{Table: tableProgress, Name: name} }

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
	return j, nil
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

// ReadJobState reads the state of a job from its rows. It is used while the leader does not answer.
func ReadJobState(ctx context.Context, s store.Store, id string) (state work.State, found bool, err error) {
	rows, err := s.Scan(ctx, TableJobs, jobPartition(id), id, id+"\xff")
	if err != nil {
		return 0, false, err
	}
	cancelled := false
	for _, row := range rows.Rows {
		found = found || row.Name == id
		cancelled = cancelled || row.Name == id+cancelSuffix
	}
	if !found {
		return 0, false, nil
	}
	progress, err := s.Scan(ctx, tableProgress, "", id, id+"\x00")
	if err != nil {
		return 0, true, err
	}
	if len(progress.Rows) == 1 {
		var p work.Progress
		if err := cbor.Unmarshal(progress.Rows[0].Value, &p); err != nil {
			return 0, true, eris.Wrapf(err, "decode the progress of job %q", id)
		}
		if p.State.Ended() {
			return p.State, true, nil
		}
		state = work.Running
	}
	if cancelled {
		state = work.Cancelled
	}
	return state, true, nil
}

// loadedRows is the stored state of the scheduler.
type loadedRows struct {
	jobs      map[string]work.Job
	cancelled []string
	progress  map[string]*work.Progress
	waves     map[int]*WaveProgress
	roster    []RosterEntry
	// version is the version from which on changes of jobs are to be read.
	version uint64
	now     time.Duration
	chain   uint64
	clock   clockRow
	// instances holds the time of the latest command for each instance, on the store's clock.
	instances map[string]time.Duration
}

// loadReadTimeout is the timeout of one read at the start of a term. A slow store takes up to 0.3 s, and decoding 500 rows
// takes about 0.1 s on a fifth of a core. A store that does not answer on one connection answers on another one.
const loadReadTimeout = 800 * time.Millisecond

// readWithRetry repeats a read that gets no answer, until the context ends.
func readWithRetry(ctx context.Context, read func(ctx context.Context) (store.Rows, error)) (store.Rows, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, loadReadTimeout)
		rows, err := read(limited)
		unanswered := limited.Err() != nil
		cancel()
		if err == nil || !unanswered || ctx.Err() != nil {
			return rows, err
		}
	}
}

// load reads all rows of the scheduler. It calls bad for each row that cannot be decoded.
func load(ctx context.Context, s store.Store, bad func(row store.Row, err error)) (*loadedRows, error) {
	l := &loadedRows{jobs: make(map[string]work.Job), progress: make(map[string]*work.Progress), waves: make(map[int]*WaveProgress)}
	scan := func(table string) (store.Rows, error) {
		return readWithRetry(ctx, func(ctx context.Context) (store.Rows, error) { return s.Scan(ctx, table, "", "", "") })
	}
	jobs, err := readWithRetry(ctx, func(ctx context.Context) (store.Rows, error) { return store.ScanAll(ctx, s, TableJobs) })
	if err != nil {
		return nil, err
	}
	l.version, l.now = jobs.Version, jobs.Now
	for _, row := range jobs.Rows {
		if id, ok := strings.CutSuffix(row.Name, cancelSuffix); ok {
			l.cancelled = append(l.cancelled, id)
			continue
		}
		j, err := DecodeJob(row)
		if err != nil {
			bad(row, err)
			continue
		}
		l.jobs[j.ID] = j
	}
	progress, err := scan(tableProgress)
	if err != nil {
		return nil, err
	}
	for _, row := range progress.Rows {
		if err := l.decodeProgress(row); err != nil {
			bad(row, err)
		}
	}
	leadership, err := scan(tableLeadership)
	if err != nil {
		return nil, err
	}
	for _, row := range leadership.Rows {
		if err := l.decodeLeadershipRow(row); err != nil {
			bad(row, err)
		}
	}
	return l, nil
}

func (l *loadedRows) decodeProgress(row store.Row) error {
	if number, ok := strings.CutPrefix(row.Name, wavePrefix); ok {
		n, err := strconv.Atoi(number)
		if err != nil {
			return err
		}
		var w WaveProgress
		if err := cbor.Unmarshal(row.Value, &w); err != nil {
			return err
		}
		l.waves[n] = &w
		return nil
	}
	var p work.Progress
	if err := cbor.Unmarshal(row.Value, &p); err != nil {
		return err
	}
	l.progress[row.Name] = &p
	return nil
}

func (l *loadedRows) decodeLeadershipRow(row store.Row) error {
	switch row.Name {
	case rowChain:
		l.chain = row.Version
	case rowRoster:
		return cbor.Unmarshal(row.Value, &l.roster)
	case rowClock:
		return cbor.Unmarshal(row.Value, &l.clock)
	case rowInstances:
		return cbor.Unmarshal(row.Value, &l.instances)
	}
	return nil
}
