package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/refusal"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

const (
	// writeTimeout limits the transactions that make a refusal final. A refusal is sent within 50 ms, and a job for which they take longer
	// is accepted, unless its refusal turns out to be stored.
	writeTimeout = 35 * time.Millisecond
	// maxWrites is the number of transactions that write a refusal: the second one takes the place of an earlier refusal.
	maxWrites = 2
	// refusalLogInterval is the minimum time between two log lines about refused jobs.
	refusalLogInterval = time.Second
	// pruneTimeout limits the reading of all refusals. There are those of the retention.
	pruneTimeout = 10 * time.Second
)

// Reports are what the leader last said about the load.
type Reports interface {
	// LoadReport returns the latest report of a queue and the time since it was made.
	LoadReport(queue string) (r admission.Report, age time.Duration, ok bool)
}

// refusals counts the refused jobs since the log line at loggedAt.
type refusals struct {
	mu       sync.Mutex
	count    int
	loggedAt time.Duration
}

// refuse decides whether a job is refused, and stores the refusal. It returns OK if it is not refused, and otherwise the time after which
// the job may be sent again. A job that is stored already, by an earlier attempt of the client, is not refused.
func (i *Intake) refuse(ctx context.Context, job *work.Job, a Admission) (Outcome, time.Duration) {
	if i.options.Reports == nil {
		return OK, 0
	}
	report, age, ok := i.options.Reports.LoadReport(a.Queue.Name)
	if !ok {
		return OK, 0
	}
	decision := admission.Decide(report, age, a.Queue, job)
	if decision.Outcome() == admission.Admitted {
		return OK, 0
	}
	// While the store has trouble, a refusal would take too long, and would be one more transaction for each job.
	if i.options.Clock.Unreachable() || i.options.Latency.Slow(time.Now()) || !i.attempts.alone(job.ID, clock.Now()) {
		return OK, 0
	}
	now, known := i.storeNow()
	if !known {
		return OK, 0
	}
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	row := refusal.New(decision.Outcome(), now, decision.RetryAfter())
	row, _, certain := i.writeRefusal(limited, rowkeys.Job(job.ID), row, refusal.Found{}, a.ArrivedAt)
	if !certain {
		return OK, 0
	}
	i.logRefusal(job, decision, age)
	return outcomes[row.Reason], row.RetryAfter(now)
}

// outcomes maps the reasons for refusals.
var outcomes = map[admission.Outcome]Outcome{admission.NeverFits: NeverFits, admission.Overloaded: Overloaded}

// refuseLate answers an attempt that began before its job was refused. seen is the time of the reply that has shown the refusal.
func (i *Intake) refuseLate(ctx context.Context, job *work.Job, a Admission, found refusal.Found, seen time.Duration) (Outcome, time.Duration) {
	row, certain := found.Row, found.Row.Certain(seen)
	now, _ := i.storeNow()
	if !certain {
		// The refusal may have been written so late that other attempts take themselves for new ones.
		again := refusal.New(row.Reason, now, row.RetryAfter(now))
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		row, found, certain = i.writeRefusal(limited, rowkeys.Job(job.ID), again, found, a.ArrivedAt)
	}
	switch {
	case certain:
		i.logger.Info("Job is refused because it was refused after the attempt began.", "job", job.ID, "queue", job.Queue, "reason", row.Reason.String(), "arrived", a.ArrivedAt, "until", row.Until)
		return outcomes[row.Reason], row.RetryAfter(now)
	case found.Stored:
		i.logger.Info("Job is already stored.", "job", job.ID, "queue", job.Queue)
		return OK, 0
	}
	i.logger.Warn("Refusal of a job may not have been stored.", "job", job.ID, "queue", job.Queue)
	return Unknown, 0
}

// writeRefusal stores a refusal in the place of the one that was found. It returns the refusal that is stored and what was found last. The
// refusal is certain if no attempt that began before it can store the job any more, unless the client sends it again.
func (i *Intake) writeRefusal(ctx context.Context, key store.Key, row refusal.Row, found refusal.Found, arrived time.Duration) (refusal.Row, refusal.Found, bool) {
	for range maxWrites {
		row = row.After(found.Row)
		tx, err := refusal.Write(key, found.Version, row)
		if err != nil {
			i.logger.Error("Refusal cannot be encoded.", "job", key.Name, "error", err)
			return row, found, false
		}
		result, err := i.options.Store.Commit(ctx, tx)
		i.options.Clock.Update(result.Now)
		if err == nil {
			return row, found, row.Certain(result.Now)
		}
		if !errors.Is(err, store.ErrConflict) {
			return row, found, false
		}
		found = refusal.Find(key, result.Current)
		if found.Stored || !found.Known() {
			return row, found, false
		}
		if found.Row.Refuses(arrived) && found.Row.Certain(result.Now) {
			// Another process has refused the job since the attempt began.
			return found.Row, found, true
		}
	}
	return row, found, false
}

// find returns what the store has of a job after a conflict. It reads the rows if the reply does not show them.
func (i *Intake) find(ctx context.Context, key store.Key, result store.Result) (refusal.Found, error) {
	if found := refusal.Find(key, result.Current); found.Known() {
		return found, nil
	}
	reading, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var rows []store.Row
	for _, k := range []store.Key{refusal.Key(key), key} {
		read, err := i.options.Store.Scan(reading, k.Table, k.Partition, k.Name, k.Name+"\x00")
		if err != nil {
			return refusal.Found{}, err
		}
		rows = append(rows, read.Rows...)
	}
	return refusal.Find(key, rows), nil
}

// PruneRefusals removes the refusals that the pruner finds to be due.
func (i *Intake) PruneRefusals(ctx context.Context, p *refusal.Pruner) {
	reading, cancel := context.WithTimeout(ctx, pruneTimeout)
	defer cancel()
	rows, err := store.ScanAll(reading, i.options.Store, refusal.Table)
	if err != nil {
		i.logger.Warn("Refusals could not be read.", "error", err)
		return
	}
	for _, tx := range p.Due(rows.Rows, clock.Now()) {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := i.options.Store.Commit(limited, tx)
		cancel()
		if err != nil {
			i.logger.Warn("Refusals could not be removed; they are tried again.", "part", tx.Removes[0].Partition, "rows", len(tx.Removes), "error", err)
		}
	}
}

// logRefusal logs refused jobs, at most one a second.
func (i *Intake) logRefusal(job *work.Job, d admission.Decision, age time.Duration) {
	r := &i.refusals
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if now := clock.Now(); r.loggedAt == 0 || now-r.loggedAt >= refusalLogInterval {
		i.logger.Warn("Jobs are refused.", "reason", d.Outcome().String(), "job", job.ID, "queue", job.Queue, "team", job.Team, "queued", d.Queued(), "left", d.Left(),
			"coreSeconds", job.CoreSeconds(), "retryAfter", d.RetryAfter(), "reportAge", age, "jobs", r.count)
		r.loggedAt, r.count = now, 0
	}
}
