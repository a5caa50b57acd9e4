// Package waiting tells why tasks do not run, and limits the log lines about them.
//
// # Usage
//
//	log := waiting.NewLog(reasons, longest)
//	log.Count(waiting.ForRoom, waited)
//	if log.Admits() {
//		// Log the task.
//	}
//	if log.Omitted() > 0 { ... }
//
// The wait of each task is kept between the checks:
//
//	var wait waiting.Wait
//	wait.Begin(now)
//	log.Count(reason, now-wait.Since())
//	if wait.LogDue(now) && log.Admits() { ... }
//	wait.End() // the task runs
package waiting

import "time"

// maxLines is the maximum number of log lines of one check.
const maxLines = 5

// Reason tells why a task of a service, or a suspect of a crash, does not run.
type Reason string

// Reasons, in the order in which they are checked.
const (
	ForBatch          Reason = "batch not stored"
	ForPreviousLeader Reason = "leases of a previous leader"
	ForStorableJob    Reason = "progress of the job cannot be stored"
	AfterRun          Reason = "pause after the last run"
	ForPolicy         Reason = "no policy decision"
	ForTeamLimit      Reason = "limit of the team"
	ForWorker         Reason = "no worker in use"
	ForQuarantine     Reason = "workers with room are quarantined"
	ForDrained        Reason = "workers with room are drained"
	ForEligibleWorker Reason = "no eligible worker"
	ForRoom           Reason = "no room on a worker"
	ForPlacement      Reason = "not placed yet"
	// ForGang is for a gang of which some tasks have room.
	ForGang Reason = "no room for all tasks of the gang"
)

// Reasons after crashes of workers under the task.
const (
	AfterCrash       Reason = "pause after a crash"
	ForLikelyCauses  Reason = "as many likely causes run as may"
	ForIdleWorker    Reason = "no worker that runs nothing"
	ForTestsToEnd    Reason = "workers test other suspects"
	ForSteadyWorkers Reason = "workers at the addresses of crashes have just started"
)

// Log counts the tasks of a check that do not run, by reason, with the longest wait of each reason, and the log lines about them.
type Log struct {
	reasons        map[Reason]int
	longest        map[Reason]time.Duration
	lines, omitted int
}

// NewLog returns a log that counts in maps.
func NewLog(reasons map[Reason]int, longest map[Reason]time.Duration) *Log {
	return &Log{reasons: reasons, longest: longest}
}

// Count counts a task that has not run for a time.
func (l *Log) Count(reason Reason, idle time.Duration) {
	l.reasons[reason]++
	l.longest[reason] = max(l.longest[reason], idle)
}

// Admits reports whether there may be one more line, and counts it.
func (l *Log) Admits() bool {
	if l.lines == maxLines {
		l.omitted++
		return false
	}
	l.lines++
	return true
}

// Omitted returns the number of lines that were not admitted.
func (l *Log) Omitted() int { return l.omitted }

// Reasons returns the number of tasks by reason.
func (l *Log) Reasons() map[Reason]int { return l.reasons }

// LogAfter is how long a task has not run when that is logged, and again after as long.
const LogAfter = 3 * time.Second

// Wait is how long a task has not run. The zero value is a task that runs.
type Wait struct {
	// since is the time since which the task was seen not to run, and 0 while it runs. loggedAt is the time of the latest log line about
	// it, or since.
	since    time.Duration
	loggedAt time.Duration
}

// Begin records that the task does not run.
func (w *Wait) Begin(now time.Duration) {
	if w.since == 0 {
		w.since, w.loggedAt = now, now
	}
}

// End records that the task runs.
func (w *Wait) End() { w.since = 0 }

// Since returns the time since which the task was seen not to run, and 0 while it runs.
func (w *Wait) Since() time.Duration { return w.since }

// LogDue reports whether the wait is to be logged now, and counts it as logged.
func (w *Wait) LogDue(now time.Duration) bool {
	if now-w.loggedAt < LogAfter {
		return false
	}
	w.loggedAt = now
	return true
}
