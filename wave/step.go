package wave

import (
	"time"

	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

// Call names an operation of the platform's API on an instance.
type Call string

// Calls to the platform. CallNone means that there is nothing to call.
const (
	CallNone    Call = ""
	CallDrain   Call = "drain"
	CallUndrain Call = "undrain"
	CallReboot  Call = "reboot"
)

// StopRules are the time limits of a stop and what to do when they are exceeded.
type StopRules struct {
	// Notice is the minimum time between the first report that the instance refuses new requests and the report
	// that allows the reboot.
	Notice time.Duration
	// DrainLimit is how long a drain may take before the policy applies.
	DrainLimit time.Duration
	// ReturnLimit is how long a reboot or return may take before the instance is marked as failed.
	ReturnLimit time.Duration
	// Policy decides about an instance whose requests are still running at the drain limit.
	Policy Policy
	// Abort returns draining instances to service.
	Abort bool
}

// Policy says what happens to an instance that still has running requests at the drain limit.
type Policy string

// Policies.
const (
	// PolicyWait keeps waiting.
	PolicyWait Policy = "wait"
	// PolicySkip returns the instance to service without a reboot.
	PolicySkip Policy = "skip"
)

// Decision is the next step of a stop: a change of the row, a call to the platform, or neither.
type Decision struct {
	// Next is the row after the step.
	Next pool.Instance
	// Changed reports whether Next differs from the row before the step and has to be written.
	Changed bool
	// Call is the call to make if the row did not change. It may be repeated.
	Call Call
}

// BeginStop returns the row of an instance whose stop begins. The state is [pool.StateDraining] for a wave and
// [pool.StateMoving] for a move.
func BeginStop(now time.Time, in pool.Instance, report provider.Instance, state pool.State, operation string) pool.Instance {
	next := in.Transition(now, state)
	next.Operation = operation
	next.Incarnation = report.Incarnation
	next.ReportBaseline = report.Reported
	next.RefusingSince = time.Time{}
	return next
}

// NextStep decides the next step of a stop from the row of the instance and its newest report. Known is false if
// there is no report. The function keeps no state, so any entry instance can continue a stop that another one began.
func NextStep(now time.Time, in pool.Instance, report provider.Instance, known bool, rules StopRules) Decision {
	current := known && report.Incarnation >= in.Incarnation
	switch in.Phase() {
	case pool.StateDraining, pool.StateMoving:
		return stepDrain(now, in, report, current, rules)
	case pool.StateRebooting:
		if current && report.Incarnation > in.Incarnation {
			return handleRestart(now, in, report)
		}
		if current && report.State == provider.InstanceLive && report.Reported.After(in.RefusingSince) {
			// A delayed call of a previous lease holder has undone the drain, and the instance accepts requests again.
			return changeRow(restartDrain(now, in, report))
		}
		return awaitReturn(now, in, CallReboot, rules)
	case pool.StateReturning:
		if current && (report.Incarnation > in.Incarnation || report.Reported.After(in.ReportBaseline)) && report.State == provider.InstanceLive {
			return changeRow(endStop(now, in, report))
		}
		call := CallUndrain
		if in.State == pool.StateFailed && (!current || report.State == provider.InstanceGone) {
			// The reboot began and did not complete. The instance serves no requests, so it may be rebooted again.
			call = CallReboot
		}
		return awaitReturn(now, in, call, rules)
	}
	return Decision{Next: in}
}

func stepDrain(now time.Time, in pool.Instance, report provider.Instance, current bool, rules StopRules) Decision {
	if current && report.Incarnation > in.Incarnation {
		// The instance restarted by itself, which has the same effect as the planned reboot.
		return handleRestart(now, in, report)
	}
	if rules.Abort {
		return changeRow(undrain(now, in, report))
	}
	refuses := current && report.State != provider.InstanceLive && report.Reported.After(in.ReportBaseline)
	if refuses {
		switch {
		case in.RefusingSince.IsZero():
			next := in
			next.Generation++
			next.RefusingSince = report.Reported
			return changeRow(next)
		case report.InFlight == 0 && !report.Reported.Before(in.RefusingSince.Add(rules.Notice)):
			// Both times are on the platform's clock. The instance has refused new requests since
			// RefusingSince, so the number of requests in flight cannot rise again.
			return changeRow(in.Transition(now, pool.StateRebooting))
		}
	}
	if rules.Policy == PolicySkip && rules.DrainLimit > 0 && now.Sub(in.StateSince) >= rules.DrainLimit {
		next := undrain(now, in, report)
		if IsWave(in.Operation) {
			next.LastWave, next.LastWaveResult = in.Operation, pool.ResultSkipped
		}
		return changeRow(next)
	}
	if !refuses {
		return Decision{Next: in, Call: CallDrain}
	}
	return Decision{Next: in}
}

// restartDrain returns the row of an instance whose drain has to begin again.
func restartDrain(now time.Time, in pool.Instance, report provider.Instance) pool.Instance {
	state := pool.StateDraining
	if in.TargetPool != "" {
		state = pool.StateMoving
	}
	next := in.Transition(now, state)
	next.ReportBaseline, next.RefusingSince = report.Reported, time.Time{}
	return next
}

// DrainedByLateCall reports whether an instance that should serve refuses requests because of a delayed drain call
// of a previous lease holder. This is assumed only within lateCallWindow after the end of a stop: at other times the
// platform itself may have a reason to drain the instance.
func DrainedByLateCall(now time.Time, in pool.Instance, report provider.Instance) bool {
	return in.State == pool.StateServing && in.Generation > 1 && now.Sub(in.StateSince) < lateCallWindow &&
		report.State == provider.InstanceLeaving && report.Incarnation == in.Incarnation && report.Reported.After(in.ReportBaseline)
}

// lateCallWindow is longer than a lease holder can be paused without being replaced.
const lateCallWindow = 10 * time.Minute

// undrain returns the row of an instance that goes back to service without a reboot.
func undrain(now time.Time, in pool.Instance, report provider.Instance) pool.Instance {
	next := in.Transition(now, pool.StateReturning)
	next.TargetPool = ""
	if report.Reported.After(next.ReportBaseline) {
		next.ReportBaseline = report.Reported
	}
	return next
}

// handleRestart decides about an instance that has restarted: it serves if it is live, and is undrained otherwise.
func handleRestart(now time.Time, in pool.Instance, report provider.Instance) Decision {
	next := in
	if IsWave(in.Operation) {
		next.LastWave, next.LastWaveResult = in.Operation, pool.ResultRebooted
	}
	if report.State == provider.InstanceLive {
		return changeRow(endStop(now, next, report))
	}
	next = next.Transition(now, pool.StateReturning)
	next.Incarnation = report.Incarnation
	next.ReportBaseline = report.Reported
	return changeRow(next)
}

// endStop returns the row of an instance that is back in service. A moving instance changes its pool in the same
// transaction, so that it counts as down in its old pool and never in the new one.
func endStop(now time.Time, in pool.Instance, report provider.Instance) pool.Instance {
	next := in.Transition(now, pool.StateServing)
	if in.TargetPool != "" {
		next.Pool, next.TargetPool = in.TargetPool, ""
	}
	next.Operation = ""
	next.Incarnation = report.Incarnation
	next.ReportBaseline = report.Reported
	next.RefusingSince = time.Time{}
	return next
}

// awaitReturn marks an instance as failed that has not returned within the limit, and repeats the call otherwise.
func awaitReturn(now time.Time, in pool.Instance, call Call, rules StopRules) Decision {
	if in.State != pool.StateFailed && rules.ReturnLimit > 0 && now.Sub(in.StateSince) >= rules.ReturnLimit {
		return changeRow(in.Transition(now, pool.StateFailed))
	}
	return Decision{Next: in, Call: call}
}

func changeRow(next pool.Instance) Decision { return Decision{Next: next, Changed: true} }
