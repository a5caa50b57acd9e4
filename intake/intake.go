// Package intake decides about the calls of clients: it checks queue and key, stores submissions and
// cancellations, and tells the state of jobs. Every process runs one.
//
// # Usage
//
//	admission, outcome := in.Admit(host, path, key)
//	if outcome == intake.OK {
//		outcome = in.Submit(ctx, admission, job)
//	}
package intake

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

const (
	// storeTimeout bounds one call of the store. A slow store takes up to 0.5 s.
	storeTimeout = 700 * time.Millisecond
	// holderTimeout bounds a question to the holder of the duty.
	holderTimeout = 400 * time.Millisecond
	// repeatPause is the time before a submission with an unknown outcome is repeated.
	repeatPause = 30 * time.Millisecond
	// configMargin is taken off the time within which a configuration has to be in force.
	configMargin = 300 * time.Millisecond
)

// cancelled is the value of the row of a cancellation. The store refuses empty values.
var cancelled = []byte{1}

// Leader is the process that decides where jobs run, here or on another node.
type Leader interface {
	// NotifySubmitted and Cancelled tell the holder. A message that gets lost is read from the store later.
	NotifySubmitted(ctx context.Context, job work.Job)
	NotifyCancelled(ctx context.Context, id string)
	State(ctx context.Context, id string) (state work.State, known bool, err error)
	Waiting(ctx context.Context, queue string) (int, error)
}

// Relay lets another node store rows for this one.
type Relay interface {
	Commit(ctx context.Context, tx store.Tx) (store.Result, error)
	// Partitioned reports whether this node reaches neither the store nor another data centre.
	Partitioned(ctx context.Context) bool
}

// Configuration is the configuration in force.
type Configuration interface {
	Current() *catalog.Catalog
	Age() time.Duration
}

// Options are the options of an intake.
type Options struct {
	Store         store.Store
	Clock         *store.Clock
	Configuration Configuration
	Leader        Leader
	Relay         Relay
	Bounds        scheduler.Bounds
	Logger        hclog.Logger
}

// Intake takes the calls of clients. It is safe for concurrent use.
type Intake struct {
	o       Options
	logger  hclog.Logger
	closing atomic.Bool
}

// New returns an intake.
func New(o Options) *Intake {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Intake{o: o, logger: o.Logger.Named("intake")}
}

// Close makes clients open their next connection elsewhere.
func (i *Intake) Close() { i.closing.Store(true) }

// Closing reports whether the process is about to stop.
func (i *Intake) Closing() bool { return i.closing.Load() }

// MaxBody returns the largest submission in bytes, and 0 if the configuration does not say.
func (i *Intake) MaxBody() int64 { return i.o.Configuration.Current().MaxBody }

// Admit checks the queue and the key of a call.
func (i *Intake) Admit(host, path, key string) (Admission, Outcome) {
	c := i.o.Configuration.Current()
	age := i.o.Configuration.Age()
	if c.Version == 0 || age > i.o.Bounds.ConfigDelay+i.o.Bounds.ConfigOutageDelay-configMargin {
		i.logger.Warn("Call is refused without a configuration to rely on.", "version", c.Version, "age", age)
		return Admission{}, NoConfig
	}
	q, ok := c.Match(host, path)
	if !ok {
		i.logger.Info("Call has no queue.", "host", host, "path", path, "config", c.Version, "age", age)
		return Admission{}, NoQueue
	}
	a := Admission{Queue: q, JobPath: path[len(q.Prefix):], ConfigVersion: c.Version}
	team, known := c.TeamOf(key)
	if !known && !q.Public {
		i.logger.Info("Call has no valid key.", "queue", q.Name, "job", a.JobPath, "config", c.Version, "age", age)
		return Admission{}, BadKey
	}
	a.Team = team
	return a, OK
}

// Submit stores a job.
func (i *Intake) Submit(ctx context.Context, a Admission, job work.Job) Outcome {
	job.Queue, job.Pool, job.Team = a.Queue.Name, a.Queue.Pool, a.Team
	now, known := i.o.Clock.Now()
	if !known {
		i.logger.Warn("Job is refused before the store has answered once.", "job", job.ID)
		return Refused
	}
	job.AcceptedAt = now
	since := clock.Now()
	value, err := scheduler.EncodeJob(job)
	if err != nil {
		i.logger.Error("Job cannot be encoded.", "job", job.ID, "error", err)
		return Refused
	}
	tx := store.Tx{
		Expected: []store.Expect{{Key: scheduler.JobKey(job.ID)}},
		Puts:     []store.Put{{Key: scheduler.JobKey(job.ID), Value: value}},
	}
	err = i.commit(ctx, tx)
	took := clock.Now() - since
	switch {
	case err == nil:
		i.logger.Info("Job is accepted.", "job", job.ID, "queue", job.Queue, "team", job.Team, "steps", len(job.Steps), "config", a.ConfigVersion, "took", took)
		i.o.Leader.NotifySubmitted(ctx, job)
		return OK
	case errors.Is(err, store.ErrConflict):
		// The job was stored by an earlier attempt of the client.
		i.logger.Info("Job is known already.", "job", job.ID, "queue", job.Queue)
		return OK
	case errors.Is(err, store.ErrNotDone):
		i.logger.Warn("Job is refused: it cannot be stored.", "job", job.ID, "queue", job.Queue, "took", took, "error", err)
		return Refused
	}
	i.logger.Warn("Job may have been stored.", "job", job.ID, "queue", job.Queue, "took", took, "error", err)
	return Unknown
}

// errCut means that nothing was sent, because this node reaches neither the store nor another data centre. The client is told
// at once, since another node may be able to store its job.
var errCut = fmt.Errorf("%w: neither the store nor another data centre is in reach", store.ErrNotDone)

// commit carries out a transaction that may be repeated without harm, here or through another node. The error
// is ErrNotDone only if no attempt can have an effect.
func (i *Intake) commit(ctx context.Context, tx store.Tx) error {
	var unknown, direct error
	if i.o.Relay.Partitioned(ctx) {
		return errCut
	}
	for attempt := 0; ; attempt++ {
		commit := i.o.Store.Commit
		if attempt%2 == 1 {
			commit = i.o.Relay.Commit
		}
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		result, err := commit(limited, tx)
		cancel()
		if attempt%2 == 0 {
			i.o.Clock.Update(result.Now)
		}
		if err == nil || errors.Is(err, store.ErrConflict) {
			return err
		}
		if errors.Is(err, store.ErrUnknown) {
			unknown = err
		}
		if attempt == 0 {
			direct = err
		}
		if unknown == nil && attempt > 0 {
			return errors.Join(direct, fmt.Errorf("through another node: %w", err))
		}
		if ctx.Err() != nil || i.o.Relay.Partitioned(ctx) {
			if unknown != nil {
				return unknown
			}
			return err
		}
		if attempt > 0 {
			select {
			case <-time.After(repeatPause):
			case <-ctx.Done():
			}
		}
	}
}

// State returns the state of a job.
func (i *Intake) State(ctx context.Context, _ Admission, id string) (work.State, Outcome) {
	limited, cancel := context.WithTimeout(ctx, holderTimeout)
	state, known, err := i.o.Leader.State(limited, id)
	cancel()
	if err == nil && known {
		return state, OK
	}
	reading, cancelRead := context.WithTimeout(ctx, storeTimeout)
	defer cancelRead()
	state, found, readErr := scheduler.ReadJobState(reading, i.o.Store, id)
	if readErr != nil {
		i.logger.Warn("State of a job cannot be told.", "job", id, "holder", err, "store", readErr)
		return 0, NoAnswer
	}
	if !found {
		i.logger.Info("Job does not exist.", "job", id, "holderKnows", known, "holder", err)
		return 0, NoJob
	}
	return state, OK
}

// Cancel stores the cancellation of a job.
func (i *Intake) Cancel(ctx context.Context, a Admission, id string) Outcome {
	limited, cancel := context.WithTimeout(ctx, holderTimeout)
	_, known, err := i.o.Leader.State(limited, id)
	cancel()
	if err != nil || !known {
		reading, cancelRead := context.WithTimeout(ctx, storeTimeout)
		_, found, readErr := scheduler.ReadJobState(reading, i.o.Store, id)
		cancelRead()
		if readErr == nil && !found {
			i.logger.Info("Cancelled job does not exist.", "job", id)
			return NoJob
		}
	}
	key := scheduler.CancelKey(id)
	err = i.commit(ctx, store.Tx{Expected: []store.Expect{{Key: key}}, Puts: []store.Put{{Key: key, Value: cancelled}}})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		i.logger.Warn("Cancellation is not known to be stored.", "job", id, "queue", a.Queue.Name, "error", err)
		if errors.Is(err, store.ErrNotDone) {
			return Refused
		}
		return Unknown
	}
	i.logger.Info("Job is cancelled.", "job", id, "queue", a.Queue.Name)
	i.o.Leader.NotifyCancelled(ctx, id)
	return OK
}

// Waiting returns how many jobs of a queue have not begun.
func (i *Intake) Waiting(ctx context.Context, a Admission) (int, Outcome) {
	limited, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	n, err := i.o.Leader.Waiting(limited, a.Queue.Name)
	if err != nil {
		i.logger.Warn("Waiting jobs cannot be counted.", "queue", a.Queue.Name, "error", err)
		return 0, NoAnswer
	}
	return n, OK
}
