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
