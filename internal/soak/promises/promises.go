// Package promises judges, from what clients and workers have seen, whether the promises of the project held. It counts how often each
// promise was checked, so that a promise that nothing tried is not mistaken for one that held.
//
// # Usage
//
//	h := promises.NewHistory()
//	answered := h.Submit("front-1", key, job)
//	...
//	answered(promises.Answer{Status: 200})
//	h.RunBegan(promises.Run{Task: task, Number: 1, Worker: "w-1", Life: 1})
//	h.RunEnded(promises.Run{Task: task, Number: 1, Worker: "w-1", Life: 1}, promises.Done)
//	...
//	for _, v := range promises.Check(h, promises.DefaultBounds()) {
//		fmt.Println(v.Promise, v.Checked, v.Violations)
//	}
//
// A [History] may grow while it is checked: Check judges what has been recorded until then, and what is still within its bound is left for
// the next check.
package promises

import (
	"fmt"
	"slices"
	"time"
)

// Promise names a promise.
type Promise string

// The promises.
const (
	// AcceptedKept: an accepted job stays known, is not shown as failed or cancelled without cause, and its tasks run while there is room.
	AcceptedKept Promise = "acceptedKept"
	// AcceptedOnce: all answers for a job fit one register: submissions, cancellations and states.
	AcceptedOnce Promise = "acceptedOnce"
	// OneRun: no two runs of a task are at work at the same time.
	OneRun Promise = "oneRun"
	// NoneAfterDone: no run of a task begins after an acknowledged end as done.
	NoneAfterDone Promise = "noneAfterDone"
	// StepOrder: no task begins before the tasks of all earlier steps are done.
	StepOrder Promise = "stepOrder"
	// Attempts: no run of a task begins after all attempts have failed.
	Attempts Promise = "attempts"
	// GangsWhole: no member of a gang gives up because the others did not start.
	GangsWhole Promise = "gangsWhole"
	// TeamLimits: no start brings a team above its limit.
	TeamLimits Promise = "teamLimits"
	// DisruptionBudget: a stop leaves enough tasks of a step at work.
	DisruptionBudget Promise = "disruptionBudget"
	// KeysWithdrawn: a withdrawn key is refused after its bound, and a key that no configuration held at any time.
	KeysWithdrawn Promise = "keysWithdrawn"
	// RefusedNeverRun: a job whose submissions were all refused never runs.
	RefusedNeverRun Promise = "refusedNeverRun"
	// CancelledEnds: nothing of a cancelled job begins after the bound, or is still at work after the next one.
	CancelledEnds Promise = "cancelledEnds"
	// WholeAnswers: a planned stop of a process breaks off no answer.
	WholeAnswers Promise = "wholeAnswers"
	// DrainingSpared: a draining worker gets nothing new after the bound.
	DrainingSpared Promise = "drainingSpared"
	// ConfigForward: a process applies an acknowledged configuration within its bound, and never an older one after a newer one.
	ConfigForward Promise = "configForward"
	// StatesTrue: a job that is shown as finished is done.
	StatesTrue Promise = "statesTrue"
)

// Names returns all promises in the order of the verdicts.
func Names() []Promise {
	names := make([]Promise, 0, len(checks))
	for _, c := range checks {
		names = append(names, c.promise)
	}
	return names
}

// Bounds are the times within which promises have to be kept.
type Bounds struct {
	// Contact is how long there must have been no disruption until a bound in time holds.
	Contact time.Duration
	// Config is the time from the acknowledgement of a configuration until every process applies it.
	Config time.Duration
	// RollbackSlack is the time from the first effect of a configuration at a process until that process no longer applies an older one.
	RollbackSlack time.Duration
	// Drain is the time from the acknowledgement that a worker drains until it gets nothing new.
	Drain time.Duration
	// Cancel is the time from an acknowledged cancellation until nothing of the job begins.
	Cancel time.Duration
	// StopTimeout is the time that a stop may take.
	StopTimeout time.Duration
	// Visible is the time from the acceptance of a job until all processes know it.
	Visible time.Duration
	// Finish is the time from the end of the load until jobs have to be known and at work.
	Finish time.Duration
	// Grace is the time that a process has to end after a planned stop.
	Grace time.Duration
	// LossSlack is the time from the last byte of a request until a process counts as having read it.
	LossSlack time.Duration
	// Notice is the time for which a task must have been absent to count as missing.
	Notice time.Duration
	// Idle is how long a task whose turn has come may wait while there is room for it twice over.
	Idle time.Duration
	// Restart is the time from the last run of a task that lasts until Idle counts.
	Restart time.Duration
	// TeamOver is the share by which a team may be above its limit.
	TeamOver float64
}

// DefaultBounds returns the bounds of a usual deployment.
func DefaultBounds() Bounds {
	return Bounds{
		Contact: 3 * time.Second, Config: 2 * time.Second, RollbackSlack: 250 * time.Millisecond, Drain: 2 * time.Second,
		Cancel: 3 * time.Second, StopTimeout: 900 * time.Millisecond, Visible: 3 * time.Second, Finish: 14 * time.Second, Grace: 6 * time.Second,
		LossSlack: 200 * time.Millisecond, Notice: 4500 * time.Millisecond, Idle: 3 * time.Second, Restart: 6 * time.Second, TeamOver: 0.1,
	}
}

// Violation is one case in which a promise was broken.
type Violation struct {
	// At is the time at which it was broken.
	At time.Time
	// Text names the job, task, run and worker or process.
	Text string
}

// Verdict says whether a promise held.
type Verdict struct {
	Promise Promise
	// Checked is the number of occasions on which the promise could have been broken.
	Checked    int
	Violations []Violation
}

// Held reports whether the promise was checked and not broken.
func (v Verdict) Held() bool { return v.Checked > 0 && len(v.Violations) == 0 }

// add adds a violation.
func (v *Verdict) add(s *snapshot, at moment, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{At: s.start.Add(at), Text: fmt.Sprintf(format, args...)})
}

// check judges one promise.
type check struct {
	promise Promise
	judge   func(s *snapshot, b Bounds, v *Verdict)
}

// checks holds the check of each promise, in the order of the verdicts.
var checks = []check{
	{AcceptedKept, judgeKept},
	{AcceptedOnce, judgeOnce},
	{OneRun, judgeOneRun},
	{NoneAfterDone, judgeNoneAfterDone},
	{StepOrder, judgeStepOrder},
	{Attempts, judgeAttempts},
	{GangsWhole, judgeGangs},
	{TeamLimits, judgeTeamLimits},
	{DisruptionBudget, judgeDisruptionBudget},
	{KeysWithdrawn, judgeKeys},
	{RefusedNeverRun, judgeRefused},
	{CancelledEnds, judgeCancelled},
	{WholeAnswers, judgeWholeAnswers},
	{DrainingSpared, judgeDraining},
	{ConfigForward, judgeConfiguration},
	{StatesTrue, judgeStates},
}

// Check judges each promise by what has been recorded.
func Check(h *History, b Bounds) []Verdict {
	s := h.snapshot()
	verdicts := make([]Verdict, 0, len(checks))
	for _, c := range checks {
		v := Verdict{Promise: c.promise}
		c.judge(s, b, &v)
		slices.SortStableFunc(v.Violations, func(x, y Violation) int { return x.At.Compare(y.At) })
		verdicts = append(verdicts, v)
	}
	return verdicts
}
