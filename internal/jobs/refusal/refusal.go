// Package refusal makes the refusal of a job final: an attempt to submit the job that began before the refusal does not store it later.
//
// The refusal is a row beside that of the job. It is written by a transaction that expects the job to be absent, and each submission expects
// the version of the row that it knows, 0 at first. So a submission that reaches the store after a refusal fails, and the process that has
// sent it learns the row. It then tells a new attempt of the client from one that was under way by the time at which the attempt arrived.
//
// Times are on the store's clock. A process knows this clock no better than by a lower bound, because replies take time to arrive. A row
// therefore names the time before which it refuses attempts, and a refusal counts only if the store's own clock shows that the row was
// written earlier than that.
//
// # Usage
//
//	row := refusal.New(decision.Outcome(), now, decision.RetryAfter()).After(found.Row)
//	// Commit refusal.Write(jobKey, found.Version, row). Then:
//	if row.Certain(result.Now) { ... answer the refusal }
//
//	// A submission commits refusal.Submit(jobKey, value, found.Version). After a conflict:
//	found := refusal.Find(jobKey, result.Current)
//	switch {
//	case found.Stored: // An earlier attempt has stored the job.
//	case found.Row.Refuses(arrived): // Refused, if found.Row.Certain(result.Now).
//	default: // Submit again with found.Version.
//	}
//
// # States
//
// A job is absent, refused or stored. A refusal may be followed by another one, with a later version of its row. Storing a refused job
// removes the row of the refusal in the same transaction. A job and its refusal are both there only if a process of an earlier build, which does not
// look at refusals, has stored the job.
package refusal

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/store"
)

const (
	// Table holds the refusals. It is a table of its own, since each process scans the rows of jobs when it becomes the leader.
	Table = "refused"
	// retryShare is the part of the time until a new attempt for which attempts are refused. Clients that come back a little early are new attempts.
	retryShare = 0.5
	// minSpan is the minimum time for which attempts are refused. It leaves a transaction of 10 to 20 ms time to be certain.
	minSpan = 500 * time.Millisecond
	// clockSlack is how much a process may overestimate the store's clock. Clocks drift apart by up to a few milliseconds a minute.
	clockSlack = 200 * time.Millisecond
	// minRetry is the minimum time until a new attempt.
	minRetry = time.Second
)

// Row is a refusal.
type Row struct {
	Reason admission.Outcome `cbor:"1,keyasint"`
	// Until is the time before which an attempt has to arrive to be refused. It is 0 if there is no refusal.
	Until time.Duration `cbor:"2,keyasint"`
	// RetryAt is the time at which the job may be sent again.
	RetryAt time.Duration `cbor:"3,keyasint"`
}

// New returns a refusal that is about to be written. now is a lower bound of the time.
func New(reason admission.Outcome, now, retryAfter time.Duration) Row {
	span := max(minSpan, time.Duration(retryShare*float64(retryAfter)))
	return Row{Reason: reason, Until: now + span, RetryAt: now + retryAfter}
}

// After returns the refusal so that it takes the place of an earlier one. It refuses what the earlier one refuses, because other processes
// may have answered by that one.
func (r Row) After(earlier Row) Row {
	r.Until = max(r.Until, earlier.Until)
	return r
}

// Refuses reports whether an attempt that arrived at a time is refused. arrived is a lower bound of the time, and 0 if it is not known.
func (r Row) Refuses(arrived time.Duration) bool { return arrived < r.Until }

// Certain reports whether no attempt that the refusal does not refuse can have arrived before it was written. seen is a time by which
// the row was written, as the store has told it, and 0 if there is none.
func (r Row) Certain(seen time.Duration) bool { return seen > 0 && seen <= r.Until-clockSlack }

// RetryAfter returns the time from now on, in whole seconds, after which the job may be sent again.
func (r Row) RetryAfter(now time.Duration) time.Duration {
	return max(minRetry, (r.RetryAt - now + time.Second - 1).Truncate(time.Second))
}

// Key returns the key of the refusal of a job. It is in the partition of the job, so that a transaction can hold both.
func Key(job store.Key) store.Key {
	return store.Key{Table: Table, Partition: job.Partition, Name: job.Name}
}

// Write returns the transaction that refuses a job. version is that of an earlier refusal, and 0 if none is known.
func Write(job store.Key, version uint64, r Row) (store.Tx, error) {
	value, err := cbor.Marshal(r)
	return store.Tx{
		Expected: []store.Expect{{Key: job}, {Key: Key(job), Version: version}},
		Puts:     []store.Put{{Key: Key(job), Value: value}},
	}, eris.Wrapf(err, "encode the refusal of job %s", job.Name)
}

// Submit returns the transaction that stores a job. version is that of the refusal that it takes back, and 0 if none is known.
func Submit(job store.Key, value []byte, version uint64) store.Tx {
	tx := store.Tx{
		Expected: []store.Expect{{Key: job}, {Key: Key(job), Version: version}},
		Puts:     []store.Put{{Key: job, Value: value}},
	}
	if version > 0 {
		tx.Removes = []store.Key{Key(job)}
	}
	return tx
}

// Found is what a reply of the store shows of a job.
type Found struct {
	// Stored means that the job is there.
	Stored bool
	// Version is that of the refusal, and 0 if there is none.
	Version uint64
	Row     Row
}

// Known reports whether any row was found.
func (f Found) Known() bool { return f.Stored || f.Version > 0 }

// Find looks for a job and its refusal among rows. A refusal that cannot be decoded refuses all attempts until it is removed.
func Find(job store.Key, rows []store.Row) Found {
	var f Found
	for _, row := range rows {
		switch {
		case row.Deleted || row.Version == 0:
		case row.Key == job:
			f.Stored = true
		case row.Key == Key(job):
			f.Version = row.Version
			if err := cbor.Unmarshal(row.Value, &f.Row); err != nil || f.Row.Until <= 0 {
				f.Row = Row{Until: math.MaxInt64}
			}
			// A later build may have more reasons.
			if f.Row.Reason != admission.NeverFits {
				f.Row.Reason = admission.Overloaded
			}
		}
	}
	return f
}
