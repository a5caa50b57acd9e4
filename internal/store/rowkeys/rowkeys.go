// Package rowkeys names the rows in which the scheduler keeps its state in the store, and encodes those of jobs.
//
// # Usage
//
//	value, err := rowkeys.EncodeJob(job)
//	put := store.Put{Key: rowkeys.Job(job.ID), Value: value}
//	job, err := rowkeys.DecodeJob(row)
package rowkeys

import (
	"strconv"
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
	// TableProgress holds the progress of jobs and waves. Only the leader writes to it.
	TableProgress   = "progress"
	TableLeadership = "duty"
	// RowChain is rewritten by each batch, which expects its version. So a batch that is carried out late fails.
	RowChain = "chain"
	RowClock = "clock"
	// RowHandover is the row of the record of leases. Earlier versions write it only when a leader stops.
	RowHandover = "handover"
	// CancelSuffix marks the row of a cancellation. It sorts after the row of the job.
	CancelSuffix = ".cancel"
	// PartSeparator separates the ID of a job from the number of a further row of its progress.
	PartSeparator = "/"
	WavePrefix    = "wave."
	// WaveInstanceSeparator separates the name of a wave from an instance whose maintenance has begun. The row of the instance
	// holds the worker that ran on it before.
	WaveInstanceSeparator = "/"
	// TableFleet holds a row for each worker in the roster, for each recent command for an instance its time on the store's
	// clock, and for each part of the scheduler that learns what it has learned. They are not in one row, because the size of a row is limited and each change would rewrite all of it.
	TableFleet    = "fleet"
	RosterPrefix  = "worker/"
	CommandPrefix = "command/"
	// LearnedPrefix marks the rows of what was learned.
	LearnedPrefix = "learned/"
	// RowRoster and RowInstances are where earlier versions kept the rows of TableFleet.
	RowRoster    = "roster"
	RowInstances = "instances"
)

// Job returns the key of a job. Jobs are spread over table partitions, since the store runs the transactions of a
// partition one after the other.
func Job(id string) store.Key {
	return store.Key{Table: TableJobs, Partition: JobPartition(id), Name: id}
}

// Cancel returns the key of the cancellation of a job.
func Cancel(id string) store.Key {
	return store.Key{Table: TableJobs, Partition: JobPartition(id), Name: id + CancelSuffix}
}

// JobPartition returns the table partition of a job: one of sixteen, by the first digit of its ID.
func JobPartition(id string) string { return id[:min(1, len(id))] }

// Progress returns the key of the progress of a job or a wave.
func Progress(name string) store.Key { return store.Key{Table: TableProgress, Name: name} }

// PartName returns the name of a row of the progress of a job. The first one has the number 0.
func PartName(id string, part int) string {
	if part == 0 {
		return id
	}
	return id + PartSeparator + strconv.Itoa(part)
}

// WaveName returns the name of the row of a wave.
func WaveName(number int) string { return WavePrefix + strconv.Itoa(number) }

// Fleet returns the key of a row of the fleet.
func Fleet(name string) store.Key { return store.Key{Table: TableFleet, Name: name} }

// Snapshot returns the key of what a part of the scheduler has learned.
func Snapshot(name string) store.Key { return Fleet(LearnedPrefix + name) }

// Leadership returns the key of a row of the leadership.
func Leadership(name string) store.Key { return store.Key{Table: TableLeadership, Name: name} }

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

// Chain is the content of the chain row.
type Chain struct {
	Fence uint64 `cbor:"1,keyasint"`
	Batch uint64 `cbor:"2,keyasint"`
}

// Clock relates the store's clock to wall clock time, so that all leaders agree on when an occurrence is due.
type Clock struct {
	Store     time.Duration `cbor:"1,keyasint"`
	WallClock time.Duration `cbor:"2,keyasint"`
}
