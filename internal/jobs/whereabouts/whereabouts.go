// Package whereabouts describes where a job would go at a time, and why, without that it is sent. It holds the question and the answer.
// The scheduler fills the answer with the decisions that it would take.
//
// # Usage
//
//	q := whereabouts.Question{Queue: "reports", Count: 1, CPU: 2000}
//	job := q.Job()                        // the job that is asked about
//	a := whereabouts.NewAnswer(pool, decision)
//	a.AddWorker(w, w.ID == chosen)        // for each worker of the pool
//	a.SetTimes(expectation, delay, room, ahead, job.ServiceTasks() > 0)
//	a.Rows()                              // the text form
//
// # States
//
// The worker that is chosen is empty if the first task would wait. [Answer.Wait] then tells why.
package whereabouts

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/internal/teams/share"
	"github.com/chivetiller/chivetiller/work"
)

// ErrUnknownQueue means that the configuration has no such queue.
var ErrUnknownQueue = errors.New("the configuration has no such queue")

// Path is the path on the metrics listener of a process to which a question is posted.
const Path = "/where"

// Failure is the document of a question that was not answered.
type Failure struct {
	Error string `json:"error"`
	// LastLeader is the last known leader, if the leader has not answered.
	LastLeader string `json:"lastLeader,omitempty"`
}

// Question describes a job of one step. The leader and the other processes send it with the names of the JSON document.
type Question struct {
	Queue string `json:"queue"`
	Team  string `json:"team,omitempty"`
	// CPU is what a task requests, in thousandths of a core.
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memory"`
	GPU    int64 `json:"gpu,omitempty"`
	Count  int   `json:"count"`
	// EstimateSeconds is the declared run time of a task.
	EstimateSeconds float64 `json:"estimateSeconds,omitempty"`
	// Rack is the rack with the data, and Label the label that a worker must have.
	Rack         string `json:"rack,omitempty"`
	Label        string `json:"label,omitempty"`
	MaxPerWorker int    `json:"maxPerWorker,omitempty"`
	Service      bool   `json:"service,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
}

const (
	// maxTasks and maxGang limit the tasks of a job and of a gang that are asked about, since the time for the answer grows with them and is
	// taken from the loop of the leader.
	maxTasks = 1000
	maxGang  = 128
	// maxEstimateSeconds is what a duration holds, with room for sums.
	maxEstimateSeconds = 1e8
)

// Validate returns an error if the job could not be sent, or is too large to be asked about.
func (q *Question) Validate() error {
	switch {
	case q.Count > maxTasks, q.Gang && q.Count > maxGang:
		return fmt.Errorf("count %d is above %d, or above %d for a gang", q.Count, maxTasks, maxGang)
	case !(q.EstimateSeconds <= maxEstimateSeconds):
		return fmt.Errorf("estimate is above %g seconds", maxEstimateSeconds)
	}
	job := q.Job()
	return job.Validate()
}

// Job returns the job. It has no pool, and an ID that no job has.
func (q *Question) Job() work.Job {
	return work.Job{Queue: q.Queue, Team: q.Team, Steps: []work.Step{{
		Count: q.Count, Request: work.Resources{CPU: q.CPU, Memory: q.Memory, GPU: q.GPU}, Estimate: time.Duration(q.EstimateSeconds * float64(time.Second)),
		DataRack: q.Rack, RequiredLabel: q.Label, MaxPerWorker: q.MaxPerWorker, Service: q.Service, Gang: q.Gang, Speculative: q.Speculative,
	}}}
}

// Reason tells why a worker is not chosen.
type Reason string

// Reasons besides the states of workers in the metrics, in the order in which they are checked.
const (
	Silent      Reason = "silent"
	Doubted     Reason = "doubted"
	OtherLabel  Reason = "label"
	Full        Reason = "full"
	KeptFree    Reason = "keptFree"
	NotEligible Reason = "notEligible"
	FarFromData Reason = "farFromData"
	Slower      Reason = "slower"
	LessSuited  Reason = "lessSuited"
)

// Worker is what speaks for and against a worker.
type Worker struct {
	ID, Rack string
	// DataRack is the rack with the data of the task, if there is one.
	DataRack string
	// State is the state in the metrics. Accepts means that tasks may be started on the worker.
	State   string
	Cores   float64
	Accepts bool
	Silent  bool
	// Labelled means that it has the label, Fits that it has room, and LeavesReserved that what is kept for services is left.
	Labelled       bool
	Fits           bool
	LeavesReserved bool
	Eligible       bool
	// Slower means that it is slower than the one that is chosen.
	Slower bool
}

// statesInUse are the states in the metrics that do not keep tasks from a worker.
var statesInUse = []string{"inUse", "overcommitted"}

// reason returns why a worker is not chosen.
func (w Worker) reason() Reason {
	switch {
	case !w.Accepts && !slices.Contains(statesInUse, w.State):
		return Reason(w.State)
	case w.Silent:
		return Silent
	case !w.Accepts:
		return Doubted
	case !w.Labelled:
		return OtherLabel
	case !w.Fits:
		return Full
	case !w.LeavesReserved:
		return KeptFree
	case !w.Eligible:
		return NotEligible
	case w.DataRack != "" && w.Rack != w.DataRack:
		return FarFromData
	case w.Slower:
		return Slower
	}
	return LessSuited
}

// meanings describes the reasons and the states of workers in the text form.
var meanings = map[Reason]string{
	Silent: "have not answered lately", Doubted: "may still carry out earlier commands, or have a short lease", OtherLabel: "lack the label", Full: "have no room",
	KeptFree: "are kept free for services", NotEligible: "are ruled out by the policy, the limit per worker or a test", FarFromData: "are in a rack away from the data",
	Slower: "are slower", LessSuited: "would do, but others are preferred",
	"notReached": "have not answered this leader", "lapsed": "have no lease any more", "leaving": "are leaving", "evacuated": "are in an evacuated data centre",
	"drained": "are drained for a move or for maintenance", "quarantined": "are quarantined because of failures", "notListed": "are not in the registry",
}

// Spread is a time that is not certain, in seconds from now.
type Spread struct {
	Earliest float64 `json:"earliestSeconds"`
	Expected float64 `json:"expectedSeconds"`
	Latest   float64 `json:"latestSeconds"`
}

// NewSpread returns a spread of times from now.
func NewSpread(earliest, expected, latest time.Duration) Spread {
	return Spread{Earliest: earliest.Seconds(), Expected: expected.Seconds(), Latest: latest.Seconds()}
}

func (s Spread) String() string {
	round := func(seconds float64) time.Duration {
		return time.Duration(seconds * float64(time.Second)).Round(10 * time.Millisecond)
	}
	return fmt.Sprintf("in %s (%s to %s)", round(s.Expected), round(s.Earliest), round(s.Latest))
}

// Share is what a team uses of a pool and what it is owed, as parts of the pool.
type Share struct {
	Used       float64 `json:"used"`
	Owed       float64 `json:"owed"`
	BeyondRate bool    `json:"beyondRate"`
}

// Answer is what would happen to the job now.
type Answer struct {
	// Leader is the process that has answered.
	Leader string `json:"leader,omitempty"`
	Pool   string `json:"pool"`
	// Admission is admitted, or why the job would be refused. Then it may be sent again after RetryAfterSeconds.
	Admission         string  `json:"admission"`
	RetryAfterSeconds float64 `json:"retryAfterSeconds,omitempty"`
	// Ahead is the number of jobs that are served first, of the Waiting jobs of the pool.
	Ahead   int `json:"ahead"`
	Waiting int `json:"waiting"`
	// Share is nil if the weights of teams do not order the jobs.
	Share *Share `json:"share,omitempty"`
	// Worker and Rack are of the worker for the first task. Wait tells why there is none.
	Worker string         `json:"worker,omitempty"`
	Rack   string         `json:"rack,omitempty"`
	Wait   waiting.Reason `json:"wait,omitempty"`
	// Start and End are of the first task. They are nil if they are not known, and End is nil for a service.
	Start *Spread `json:"start,omitempty"`
	End   *Spread `json:"end,omitempty"`
	// Runs is the number of earlier runs on which the expected run time rests.
	Runs int `json:"runs"`
	// Workers is the number of workers of the pool, and Others the number of those that are not chosen, by reason.
	Workers int            `json:"workers"`
	Others  map[Reason]int `json:"others,omitempty"`
	// cores is what the workers have that accept tasks.
	cores float64
}

// NewAnswer returns an answer for a job of a pool about whose admission was decided.
func NewAnswer(pool string, d admission.Decision) Answer {
	return Answer{Pool: pool, Admission: d.Outcome().String(), RetryAfterSeconds: d.RetryAfter().Seconds(), Others: make(map[Reason]int)}
}

// SetShare sets what the team uses of the pool.
func (a *Answer) SetShare(beyondRate bool, p *share.Pool, team string) {
	used, owed := p.Used(team)
	a.Share = &Share{Used: used, Owed: owed, BeyondRate: beyondRate}
}

// AddWorker adds a worker of the pool, which is chosen or not.
func (a *Answer) AddWorker(w Worker, chosen bool) {
	a.Workers++
	if w.Accepts {
		a.cores += w.Cores
	}
	if chosen {
		a.Worker, a.Rack = w.ID, w.Rack
		return
	}
	a.Others[w.reason()]++
}

// WaitsForOthers reports whether the first task waits for something else than room on one worker. A gang waits for room on all of its own.
func (a *Answer) WaitsForOthers(gang bool) bool {
	if gang && a.Wait == waiting.ForPlacement {
		a.Wait = waiting.ForGang
	}
	return a.Wait != waiting.ForRoom
}

// SetTimes sets when the first task starts and ends. delay is how many times as long as expected it takes on its worker, room the time until
// there is room, and ahead the core-seconds of the jobs that are served first. A task that waits starts at the latest once these are done.
func (a *Answer) SetTimes(e runtimes.Expectation, delay float64, room time.Duration, ahead float64, lasting bool) {
	latest := room
	if a.Wait != "" {
		latest += time.Duration(ahead / max(1, a.cores) * float64(time.Second))
	}
	expected := (room + latest) / 2
	start := NewSpread(room, expected, latest)
	a.Start, a.Runs = &start, e.Runs()
	if lasting {
		return
	}
	took := func(d time.Duration) time.Duration { return time.Duration(delay * float64(d)) }
	end := NewSpread(room+took(e.Quantile(lowQuantile)), expected+took(e.Median()), latest+took(e.Quantile(1-lowQuantile)))
	a.End = &end
}

// lowQuantile is the share of the run times below the spread of an end, and above it.
const lowQuantile = 0.1

// Rows returns the text form: what is told, and its value. The most frequent reasons come first.
func (a *Answer) Rows() [][]string {
	admission := a.Admission
	if a.RetryAfterSeconds > 0 {
		admission += fmt.Sprintf(", again after %gs", a.RetryAfterSeconds)
	}
	rows := [][]string{
		{"leader", cmp.Or(a.Leader, "-")}, {"pool", a.Pool}, {"admission", admission}, {"jobs ahead", fmt.Sprintf("%d of %d", a.Ahead, a.Waiting)},
	}
	if s := a.Share; s != nil {
		rate := "within its rate"
		if s.BeyondRate {
			rate = "beyond its rate"
		}
		rows = append(rows, []string{"team", fmt.Sprintf("%s, uses %.1f%% of the pool, is owed %.1f%%", rate, 100*s.Used, 100*s.Owed)})
	}
	worker := a.Worker
	if a.Rack != "" {
		worker += " in rack " + a.Rack
	}
	if a.Wait != "" {
		worker = "none; the first task waits: " + string(a.Wait)
	}
	end := describe(a.End)
	if a.End != nil {
		end += fmt.Sprintf(", from %d runs", a.Runs)
	}
	rows = append(rows, []string{"worker", worker}, []string{"start", describe(a.Start)}, []string{"end", end}, []string{"workers", strconv.Itoa(a.Workers)})
	reasons := slices.SortedFunc(maps.Keys(a.Others), func(x, y Reason) int { return cmp.Or(cmp.Compare(a.Others[y], a.Others[x]), cmp.Compare(x, y)) })
	for _, why := range reasons {
		rows = append(rows, []string{"  " + string(why), fmt.Sprintf("%d %s", a.Others[why], meanings[why])})
	}
	return rows
}

func describe(s *Spread) string {
	if s == nil {
		return "not known"
	}
	return s.String()
}
