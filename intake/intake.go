// Package intake handles the requests of clients: it checks queue and key, stores submissions and cancellations, and returns the
// state of jobs. Every process runs an intake.
//
// # Usage
//
//	admission, outcome := in.Admit(host, path, key)
//	if outcome == intake.OK {
//		outcome, retryAfter = in.Submit(ctx, admission, job)
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
	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/internal/jobs/refusal"
	"github.com/chivetiller/chivetiller/internal/store/latency"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

const (
	// storeTimeout limits one call of the store. A slow store takes up to 0.5 s.
	storeTimeout = 700 * time.Millisecond
	// leaderTimeout limits one query to the leader.
	leaderTimeout = 400 * time.Millisecond
	// retryPause is the time between two attempts to store a row.
	retryPause = 30 * time.Millisecond
	// configMargin is subtracted from the maximum age of the configuration, so that requests are rejected in time.
	configMargin = 300 * time.Millisecond
)

// cancelMark is the value of the row of a cancellation. The store rejects empty values.
var cancelMark = []byte{1}

// Leader is the process that decides where jobs run. It may be this process or another node.
type Leader interface {
	// NotifySubmitted and NotifyCancelled notify the leader of a stored row. If the message is lost, the leader reads the row
	// from the store later.
	NotifySubmitted(ctx context.Context, job work.Job)
	NotifyCancelled(ctx context.Context, id string)
	// State returns the state of a job. queue is the queue of the request, whose load the leader tells with its answer.
	State(ctx context.Context, queue, id string) (state work.State, known bool, err error)
	Waiting(ctx context.Context, queue string) (int, error)
}

// Relay lets another node commit transactions for this one.
type Relay interface {
	Commit(ctx context.Context, tx store.Tx) (store.Result, error)
	// Partitioned reports whether this node can reach neither the store nor another data centre.
	Partitioned(ctx context.Context) bool
}

// Configuration returns the current configuration and the time since it was last confirmed to be the newest.
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
	// Reports tell the load. They may be nil.
	Reports Reports
	Bounds  scheduler.Bounds
	// Latency tells how long the store takes. It may be nil.
	Latency *latency.Tracker
	Logger  hclog.Logger
}

// Intake handles the requests of clients. It is safe for concurrent use.
type Intake struct {
	options Options
	logger  hclog.Logger
	closing atomic.Bool
	// attempts are the submissions under way.
	attempts attempts
	refusals refusals
	// storeNow returns a lower bound of the time on the store's clock, and false before the first reply.
	storeNow func() (time.Duration, bool)
}

// New returns an intake.
func New(o Options) *Intake {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Latency == nil {
		o.Latency = latency.New()
	}
	return &Intake{options: o, logger: o.Logger.Named("intake"), storeNow: o.Clock.Now}
}

// Close makes clients open their next connection to another process.
func (i *Intake) Close() { i.closing.Store(true) }

// Closing reports whether the process is about to stop.
func (i *Intake) Closing() bool { return i.closing.Load() }

// MaxBody returns the maximum size of a submission in bytes, and 0 if the configuration sets none.
func (i *Intake) MaxBody() int64 { return i.options.Configuration.Current().MaxBody }

// maxLoggedText is how many bytes of a text of a client go into a log line. A job has an ID of 16 bytes.
const maxLoggedText = 200

// Admit checks the queue and the key of a request.
func (i *Intake) Admit(host, path, key string) (Admission, Outcome) {
	arrived, _ := i.storeNow()
	c := i.options.Configuration.Current()
	age := i.options.Configuration.Age()
	if c.Version == 0 || age > i.options.Bounds.ConfigDelay+i.options.Bounds.ConfigOutageDelay-configMargin {
		i.logger.Warn("Request is refused because the configuration is missing or too old.", "version", c.Version, "age", age)
		return Admission{}, NoConfig
	}
	q, ok := c.Match(host, path)
	if !ok {
		i.logger.Info("Request matches no queue.", "host", logging.Shorten(host, maxLoggedText), "path", logging.Shorten(path, maxLoggedText), "config", c.Version, "age", age)
		return Admission{}, NoQueue
	}
	a := Admission{Queue: q, JobPath: path[len(q.Prefix):], ConfigVersion: c.Version, ArrivedAt: arrived}
	team, known := c.TeamOf(key)
	if !known && !q.Public {
		i.logger.Info("Request has no valid key.", "queue", q.Name, "job", logging.Shorten(a.JobPath, maxLoggedText), "config", c.Version, "age", age)
		return Admission{}, BadKey
	}
	a.Team = team
	return a, OK
}

// Submit stores a job, or refuses it if it cannot be served. The duration is the time after which a refused job may be sent again, and 0
// if there is none.
func (i *Intake) Submit(ctx context.Context, a Admission, job work.Job) (outcome Outcome, retryAfter time.Duration) {
	job.Queue, job.Pool, job.Team, job.Attempts = a.Queue.Name, a.Queue.Pool, a.Team, a.Queue.Attempts
	i.attempts.begin(job.ID)
	// An attempt that panics may have stored the job.
	outcome = Unknown
	defer func() { i.attempts.end(job.ID, outcome == Unknown, clock.Now()) }()
	if refused, after := i.refuse(ctx, &job, a); refused != OK {
		outcome = refused
		return outcome, after
	}
	return i.store(ctx, a, job)
}

// maxSubmissions is the maximum number of transactions of one attempt after conflicts. Each one after the first has a refusal before it.
const maxSubmissions = 4

// store stores a job, unless it was refused after the attempt began.
func (i *Intake) store(ctx context.Context, a Admission, job work.Job) (outcome Outcome, retryAfter time.Duration) {
	now, known := i.storeNow()
	if !known {
		i.logger.Warn("Job is refused because the store has not replied since the start.", "job", job.ID)
		return Refused, 0
	}
	job.AcceptedAt = now
	since := clock.Now()
	value, err := rowkeys.EncodeJob(job)
	if err != nil {
		i.logger.Error("Job cannot be encoded.", "job", job.ID, "error", err)
		return Refused, 0
	}
	key := rowkeys.Job(job.ID)
	var found refusal.Found
	for range maxSubmissions {
		result, err := i.commit(ctx, refusal.Submit(key, value, found.Version))
		took := clock.Now() - since
		switch {
		case err == nil:
			i.logger.Info("Job is accepted.", "job", job.ID, "queue", job.Queue, "team", job.Team, "steps", len(job.Steps), "serviceTasks", job.ServiceTasks(), "config", a.ConfigVersion, "took", took)
			i.options.Leader.NotifySubmitted(ctx, job)
			return OK, 0
		case errors.Is(err, store.ErrNotDone):
			i.logger.Warn("Job is refused because it cannot be stored.", "job", job.ID, "queue", job.Queue, "took", took, "error", err)
			return Refused, 0
		case !errors.Is(err, store.ErrConflict):
			i.logger.Warn("Job may have been stored.", "job", job.ID, "queue", job.Queue, "took", took, "error", err)
			return Unknown, 0
		}
		if found, err = i.find(ctx, key, result); err != nil {
			i.logger.Warn("Rows of a job cannot be read after a conflict.", "job", job.ID, "queue", job.Queue, "took", took, "error", err)
			return Unknown, 0
		}
		if found.Stored {
			// An earlier attempt of the client has already stored the job.
			i.logger.Info("Job is already stored.", "job", job.ID, "queue", job.Queue)
			return OK, 0
		}
		if found.Row.Refuses(a.ArrivedAt) {
			return i.refuseLate(ctx, &job, a, found, result.Now)
		}
	}
	i.logger.Warn("Job may have been stored: it is refused again and again.", "job", job.ID, "queue", job.Queue)
	return Unknown, 0
}

// errPartitioned means that nothing was sent because this node can reach neither the store nor another data centre. The client gets
// this outcome at once, since another node may be able to store its job.
var errPartitioned = fmt.Errorf("%w: neither the store nor another data centre is reachable", store.ErrNotDone)

// commit executes a transaction that may safely be repeated. It alternates between the store and the relay to another node until an
// attempt succeeds, both have rejected it, or ctx is done. While the store is slow, the relay would only add to its load. The error is ErrNotDone only if no attempt can have taken effect.
func (i *Intake) commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	var unknown, direct error
	if i.options.Relay.Partitioned(ctx) {
		return store.Result{}, errPartitioned
	}
	for attempt := 0; ; attempt++ {
		now := time.Now()
		relayed := attempt%2 == 1 && !i.options.Latency.Slow(now)
		commit := i.options.Store.Commit
		if relayed {
			commit = i.options.Relay.Commit
		}
		limited, cancel := context.WithTimeout(ctx, i.options.Latency.Timeout(now, storeTimeout))
		result, err := commit(limited, tx)
		cancel()
		if !relayed {
			i.options.Clock.Update(result.Now)
		}
		if err == nil || errors.Is(err, store.ErrConflict) {
			return result, err
		}
		if errors.Is(err, store.ErrUnknown) {
			unknown = err
		}
		if attempt == 0 {
			direct = err
		}
		if unknown == nil && attempt > 0 {
			return result, errors.Join(direct, fmt.Errorf("through another node: %w", err))
		}
		if ctx.Err() != nil || i.options.Relay.Partitioned(ctx) {
			if unknown != nil {
				return result, unknown
			}
			return result, err
		}
		if attempt > 0 {
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
		}
	}
}

// State returns the state of a job. It queries the leader first, and reads the state from the store if the leader does not reply or
// does not know the job.
func (i *Intake) State(ctx context.Context, a Admission, id string) (work.State, Outcome) {
	limited, cancel := context.WithTimeout(ctx, leaderTimeout)
	state, known, err := i.options.Leader.State(limited, a.queueName(), id)
	cancel()
	if err == nil && known {
		return state, OK
	}
	reading, cancelRead := context.WithTimeout(ctx, storeTimeout)
	defer cancelRead()
	state, found, readErr := readState(reading, i.options.Store, id)
	if readErr != nil {
		i.logger.Warn("State of a job cannot be read.", "job", id, "holder", err, "store", readErr)
		return 0, NoAnswer
	}
	if !found {
		i.logger.Info("Job is in no row of the store.", "job", id, "holderKnows", known, "holder", err)
		return 0, NoJob
	}
	return state, OK
}

// Cancel stores the cancellation of a job. It also stores that of a job that does not exist, and returns NoJob then: the submission may
// still be on its way to the store, and the job must not run when it arrives there.
func (i *Intake) Cancel(ctx context.Context, a Admission, id string) Outcome {
	limited, cancel := context.WithTimeout(ctx, leaderTimeout)
	_, known, err := i.options.Leader.State(limited, a.queueName(), id)
	cancel()
	outcome := OK
	if err != nil || !known {
		reading, cancelRead := context.WithTimeout(ctx, storeTimeout)
		_, found, readErr := readState(reading, i.options.Store, id)
		cancelRead()
		if readErr == nil && !found {
			outcome = NoJob
		}
	}
	key := rowkeys.Cancel(id)
	_, err = i.commit(ctx, store.Tx{Expected: []store.Expect{{Key: key}}, Puts: []store.Put{{Key: key, Value: cancelMark}}})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		i.logger.Warn("Cancellation may not have been stored.", "job", id, "queue", a.Queue.Name, "known", outcome == OK, "error", err)
		if errors.Is(err, store.ErrNotDone) {
			return Refused
		}
		return Unknown
	}
	if outcome == NoJob {
		i.logger.Info("Job to be cancelled does not exist; its cancellation is stored.", "job", id, "queue", a.Queue.Name)
	} else {
		i.logger.Info("Job is cancelled.", "job", id, "queue", a.Queue.Name)
	}
	i.options.Leader.NotifyCancelled(ctx, id)
	return outcome
}

// Waiting returns how many jobs of a queue have not started.
func (i *Intake) Waiting(ctx context.Context, a Admission) (int, Outcome) {
	limited, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	n, err := i.options.Leader.Waiting(limited, a.Queue.Name)
	if err != nil {
		i.logger.Warn("Waiting jobs cannot be counted.", "queue", a.Queue.Name, "error", err)
		return 0, NoAnswer
	}
	return n, OK
}
