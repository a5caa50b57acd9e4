package whereabouts

import "time"

// WaitReason tells why a task of a service, or a suspect of a crash, does not run.
type WaitReason string

// Reasons of a wait, in the order in which they are checked.
const (
	WaitForBatch          WaitReason = "batch not stored"
	WaitForPreviousLeader WaitReason = "leases of a previous leader"
	WaitForStorableJob    WaitReason = "progress of the job cannot be stored"
	WaitAfterRun          WaitReason = "pause after the last run"
	WaitForPolicy         WaitReason = "no policy decision"
	WaitForTeamLimit      WaitReason = "limit of the team"
	WaitForWorker         WaitReason = "no worker in use"
	WaitForQuarantine     WaitReason = "workers with room are quarantined"
	WaitForDrained        WaitReason = "workers with room are drained"
	WaitForEligibleWorker WaitReason = "no eligible worker"
	WaitForRoom           WaitReason = "no room on a worker"
	WaitForPlacement      WaitReason = "not placed yet"
	// WaitForGang is for a gang of which some tasks have room.
	WaitForGang WaitReason = "no room for all tasks of the gang"
)

// Reasons after crashes of workers under the task.
const (
	WaitAfterCrash       WaitReason = "pause after a crash"
	WaitForLikelyCauses  WaitReason = "as many likely causes run as may"
	WaitForIdleWorker    WaitReason = "no worker that runs nothing"
	WaitForTestsToEnd    WaitReason = "workers test other suspects"
	WaitForSteadyWorkers WaitReason = "workers at the addresses of crashes have just started"
)

// maxWaitLines is the maximum number of log lines of one check.
const maxWaitLines = 5

// Waits counts the tasks of a check that do not run, by reason, with the longest wait of each reason, and the log lines about them.
type Waits struct {
	reasons        map[WaitReason]int
	longest        map[WaitReason]time.Duration
	lines, omitted int
}

// NewWaits returns waits that count into maps.
func NewWaits(reasons map[WaitReason]int, longest map[WaitReason]time.Duration) *Waits {
	return &Waits{reasons: reasons, longest: longest}
}

// Record counts a task that has waited for a time.
func (w *Waits) Record(reason WaitReason, waited time.Duration) {
	w.reasons[reason]++
	w.longest[reason] = max(w.longest[reason], waited)
}

// AdmitLine reports whether one more task may have a log line of its own, and counts the line or the omission.
func (w *Waits) AdmitLine() bool {
	if w.lines == maxWaitLines {
		w.omitted++
		return false
	}
	w.lines++
	return true
}

// Reasons returns the number of tasks for each reason.
func (w *Waits) Reasons() map[WaitReason]int { return w.reasons }

// Omitted returns the number of tasks without a log line.
func (w *Waits) Omitted() int { return w.omitted }

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
