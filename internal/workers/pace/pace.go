// Package pace finds workers on which tasks take longer than elsewhere. It answers workers that become slow without failing: they keep the
// tasks that they have for several times as long, and look like any other worker otherwise.
//
// # Usage
//
//	t := pace.New(20 * time.Second)
//	t.Observe(worker, job, took/expected, now) // each finished run
//	t.Factor(worker)                           // 1 if nothing is known
//	t.Rate(worker)                             // the same, for logs
//
// # States
//
// A worker is unknown until runs of several jobs have finished there. Then its factor is the median over its latest jobs, since few tasks
// take several times as long anywhere and the runs of one job share the error of what was expected. It returns to 1 if no run finishes there
// any more, so that a worker that was avoided is tried again.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// maxJobs is the number of jobs of a worker that are kept, and minJobs that from which on its factor is known.
	maxJobs = 9
	minJobs = 3
	// assumedJobs is the number of jobs for which the factor 1 counts.
	assumedJobs = 1
	// usual is the factor up to which a worker counts as usual. The median of a few jobs is off by as much.
	usual = 1.25
	// maxFactor limits the effect of wrong expectations.
	maxFactor = 8
	// maxWorkers limits the memory, and maxStored the snapshot, of about 40 bytes a worker.
	maxWorkers = 8192
	maxStored  = 1000
	// maxName is the length of the names of workers from which on they are not followed.
	maxName = 128
)

// observation is what the runs of a job on a worker have taken.
type observation struct {
	job string
	// sum adds the logarithms of the ratios of its runs.
	sum  float64
	runs int
}

func (o observation) mean() float64 { return o.sum / float64(o.runs) }

// history is what is known of a worker.
type history struct {
	jobs []observation
	// factor is the logarithm of the factor at the time of the latest run.
	factor float64
	at     time.Duration
	// slow means that the worker was last named so.
	slow bool
}

// Tracker follows the pace of all workers. It is not safe for concurrent use.
type Tracker struct {
	halfLife time.Duration
	now      time.Duration
	workers  map[string]*history
}

// New returns a tracker that knows nothing. A factor loses half of its effect in a time without runs.
func New(halfLife time.Duration) *Tracker {
	return &Tracker{halfLife: halfLife, workers: make(map[string]*history)}
}

// Advance sets the time to which factors refer.
func (t *Tracker) Advance(now time.Duration) { t.now = max(t.now, now) }

// Observe records that a run of a job on a worker took a multiple of what was expected.
func (t *Tracker) Observe(worker, job string, ratio float64, now time.Duration) {
	t.Advance(now)
	if !(ratio > 0) || math.IsInf(ratio, 1) || len(worker) > maxName {
		return
	}
	log := min(max(math.Log(ratio), -math.Log(maxFactor)), math.Log(maxFactor))
	h := t.workers[worker]
	if h == nil {
		if len(t.workers) >= maxWorkers {
			t.forgetOldest()
		}
		h = &history{}
		t.workers[worker] = h
	}
	fade := h.fade(t)
	if fade < minFade {
		fade, h.jobs = 0, nil
	}
	h.factor, h.at = h.factor*fade, t.now
	i := slices.IndexFunc(h.jobs, func(o observation) bool { return o.job == job })
	if i < 0 {
		if len(h.jobs) >= maxJobs {
			h.jobs = slices.Delete(h.jobs, 0, 1)
		}
		h.jobs, i = append(h.jobs, observation{job: job}), len(h.jobs)
	}
	h.jobs[i].sum += log
	h.jobs[i].runs++
	// A factor that an earlier leader has learned holds until as many jobs have ended in this term.
	if len(h.jobs) >= minJobs {
		h.factor = h.median()
	}
}

// minFade is the effect of a factor from which on it is forgotten.
const minFade = 0.1

// fade returns the effect that a factor has kept.
func (h *history) fade(t *Tracker) float64 {
	return math.Exp2(-float64(t.now-h.at) / float64(t.halfLife))
}

// median returns the median of the jobs, nearer to the usual pace if they are few.
func (h *history) median() float64 {
	means := make([]float64, 0, maxJobs)
	for _, o := range h.jobs {
		means = append(means, o.mean())
	}
	slices.Sort(means)
	middle := (means[(len(means)-1)/2] + means[len(means)/2]) / 2
	return middle * float64(len(means)) / float64(len(means)+assumedJobs)
}

// Factor returns how many times as long as usual tasks take on a worker, and 1 if nothing is known.
func (t *Tracker) Factor(worker string) float64 {
	h := t.workers[worker]
	if h == nil {
		return 1
	}
	factor := math.Exp(h.factor * h.fade(t))
	if factor < usual && factor > 1/usual {
		return 1
	}
	return factor
}

const (
	// slowFrom is the factor from which on a worker is named slow, and slowUntil that from which on it is named usual again.
	slowFrom  = 1.6
	slowUntil = 1.3
)

// Rate returns the factor of a worker, and its name ("slow" or "usual") if that is another one than before.
func (t *Tracker) Rate(worker string) (factor float64, changed string) {
	factor = t.Factor(worker)
	h := t.workers[worker]
	switch {
	case h == nil:
	case !h.slow && factor >= slowFrom:
		h.slow = true
		return factor, "slow"
	case h.slow && factor < slowUntil:
		h.slow = false
		return factor, "usual"
	}
	return factor, ""
}

// Known reports whether runs of several jobs have finished on a worker.
func (t *Tracker) Known(worker string) bool {
	h := t.workers[worker]
	return h != nil && (len(h.jobs) >= minJobs || h.factor != 0) && h.fade(t) >= minFade
}

// Forget forgets a worker, of which a new life has begun.
func (t *Tracker) Forget(worker string) { delete(t.workers, worker) }

func (t *Tracker) forgetOldest() {
	found, first := "", time.Duration(math.MaxInt64)
	for name, h := range t.workers {
		if h.at < first {
			found, first = name, h.at
		}
	}
	delete(t.workers, found)
}

// row is a worker as it is stored. Age is the time since its latest run.
type row struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Factor float64
	Age    time.Duration
}

// Snapshot implements snapshot.Learner. It has the workers that are not of usual pace.
func (t *Tracker) Snapshot(now time.Duration) ([]byte, error) {
	t.Advance(now)
	var rows []row
	size := 0
	for name, h := range t.workers {
		if t.Factor(name) != 1 {
			rows = append(rows, row{Worker: name, Factor: h.factor, Age: t.now - h.at})
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Worker, b.Worker)) })
	rows = rows[:min(len(rows), maxStored)]
	for i := range rows {
		if size += len(rows[i].Worker) + 20; size > maxStored*40 {
			rows = rows[:i]
			break
		}
	}
	if len(rows) == 0 {
		return nil, nil
	}
	data, err := cbor.Marshal(rows)
	return data, eris.Wrap(err, "encode the pace of workers")
}

// Restore implements snapshot.Learner.
func (t *Tracker) Restore(value []byte, takenAt time.Duration) error {
	var rows []row
	if err := cbor.Unmarshal(value, &rows); err != nil {
		return eris.Wrap(err, "decode the pace of workers")
	}
	workers := make(map[string]*history, len(rows))
	for _, r := range rows {
		if !(math.Abs(r.Factor) <= math.Log(maxFactor)+1e-3) || r.Age < 0 || len(rows) > maxStored {
			return eris.Errorf("pace of worker %q is out of range", r.Worker)
		}
		workers[r.Worker] = &history{factor: r.Factor, at: takenAt - r.Age}
	}
	t.workers = workers
	return nil
}
