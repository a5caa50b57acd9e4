package wave

import (
	"time"

	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

// Call is an order to the platform.
type Call string

// Calls to the platform.
const (
	CallNone    Call = ""
	CallDrain   Call = "drain"
	CallUndrain Call = "undrain"
	CallReboot  Call = "reboot"
)

// StopRules are the limits of a stop.
type StopRules struct {
	// Notice is the time between the leaving announcement and the report that may allow the reboot.
	Notice time.Duration
	// DrainLimit is how long a drain may take before the policy applies.
	DrainLimit time.Duration
	// ReturnLimit is how long a reboot or return may take before the instance is failed.
	ReturnLimit time.Duration
	// Policy applies to requests that are still running at the drain limit.
	Policy Policy
	// Abort returns draining instances to service.
	Abort bool
}

// Policy says what happens to an instance with requests running at the drain limit.
type Policy string

// Policies.
const (
	// PolicyWait keeps waiting.
	PolicyWait Policy = "wait"
	// PolicySkip returns the instance to service without a reboot.
	PolicySkip Policy = "skip"
)

// Decision is the next step of a stop: a change of the row, or a call, or neither.
type Decision struct {
	Next    pool.Instance
	Changed bool
	// Call is to be made if the row did not change. It may be repeated.
	Call Call
}

// BeginStop returns the row of an instance whose stop begins. State is draining for a wave or moving for a move.
func BeginStop(now time.Time, in pool.Instance, report provider.Instance, state pool.State, operation string) pool.Instance {
	next := in.Next(now, state)
	next.Operation = operation
	next.Incarnation = report.Incarnation
	next.Seen = report.Reported
	next.Noticed = time.Time{}
	return next
}

// NextStep decides the next step of a stopped instance from its row and its newest report. It keeps no
// state, so any entry instance can continue a stop that another one began.
func NextStep(now time.Time, in pool.Instance, report provider.Instance, known bool, rules StopRules) Decision {
	current := known && report.Incarnation >= in.Incarnation
	switch in.Phase() {
	case pool.StateDraining, pool.StateMoving:
		return stepDrain(now, in, report, current, rules)
	case pool.StateRebooting:
		if current && report.Incarnation > in.Incarnation {
			return returned(now, in, report)
		}
		if current && report.State == provider.InstanceLive && report.Reported.After(in.Noticed) {
			// A late call of an earlier holder has undone the drain, and the instance accepts requests.
			return change(drainAgain(now, in, report))
		}
		return waitReturn(now, in, CallReboot, rules)
	case pool.StateReturning:
		if current && (report.Incarnation > in.Incarnation || report.Reported.After(in.Seen)) && report.State == provider.InstanceLive {
			return change(finish(now, in, report))
		}
		call := CallUndrain
		if in.State == pool.StateFailed && (!current || report.State == provider.InstanceGone) {
			// The reboot has begun and did not end. The instance serves nobody, so it may be rebooted again.
			call = CallReboot
		}
		return waitReturn(now, in, call, rules)
	}
	return Decision{Next: in}
}

func stepDrain(now time.Time, in pool.Instance, report provider.Instance, current bool, rules StopRules) Decision {
	if current && report.Incarnation > in.Incarnation {
		// The instance restarted by itself, which does what the reboot would have done.
		return returned(now, in, report)
	}
	if rules.Abort {
		return change(undrain(now, in, report))
	}
	refuses := current && report.State != provider.InstanceLive && report.Reported.After(in.Seen)
	if refuses {
		switch {
		case in.Noticed.IsZero():
			next := in
			next.Generation++
			next.Noticed = report.Reported
			return change(next)
		case report.InFlight == 0 && !report.Reported.Before(in.Noticed.Add(rules.Notice)):
			// Both times are on the platform's clock. The instance has refused new requests since
			// Noticed, so the count cannot rise again.
			return change(in.Next(now, pool.StateRebooting))
		}
	}
	if rules.Policy == PolicySkip && rules.DrainLimit > 0 && now.Sub(in.Since) >= rules.DrainLimit {
		next := undrain(now, in, report)
		if IsWave(in.Operation) {
			next.Done, next.Result = in.Operation, pool.ResultSkipped
		}
		return change(next)
	}
	if !refuses {
		return Decision{Next: in, Call: CallDrain}
	}
	return Decision{Next: in}
}

// drainAgain returns the row of an instance whose drain begins again.
func drainAgain(now time.Time, in pool.Instance, report provider.Instance) pool.Instance {
	state := pool.StateDraining
	if in.Target != "" {
		state = pool.StateMoving
	}
	next := in.Next(now, state)
	next.Seen, next.Noticed = report.Reported, time.Time{}
	return next
}

// DrainedByLateCall reports whether an instance that should serve refuses requests because of a late drain call of an
// earlier holder. That is assumed for some minutes after the end of a stop only: at other times the
// platform itself may have reason to make the instance leave.
func DrainedByLateCall(now time.Time, in pool.Instance, report provider.Instance) bool {
	return in.State == pool.StateServing && in.Generation > 1 && now.Sub(in.Since) < strayWindow &&
		report.State == provider.InstanceLeaving && report.Incarnation == in.Incarnation && report.Reported.After(in.Seen)
}

// strayWindow is longer than a pause of a holder that is not replaced by then.
const strayWindow = 10 * time.Minute

// undrain returns the row of an instance that goes back to service without a reboot.
func undrain(now time.Time, in pool.Instance, report provider.Instance) pool.Instance {
	next := in.Next(now, pool.StateReturning)
	next.Target = ""
	if report.Reported.After(next.Seen) {
		next.Seen = report.Reported
	}
	return next
}

// returned handles a new incarnation: it serves if it is live, and is undrained otherwise.
func returned(now time.Time, in pool.Instance, report provider.Instance) Decision {
	next := in
	if IsWave(in.Operation) {
		next.Done, next.Result = in.Operation, pool.ResultRebooted
	}
	if report.State == provider.InstanceLive {
		return change(finish(now, next, report))
	}
	next = next.Next(now, pool.StateReturning)
	next.Incarnation = report.Incarnation
	next.Seen = report.Reported
	return change(next)
}

// finish ends a stop. An instance that moves changes its pool in the same transaction, so that it is
// counted as down by the pool that gave it and never by the one that receives it.
func finish(now time.Time, in pool.Instance, report provider.Instance) pool.Instance {
	next := in.Next(now, pool.StateServing)
	if in.Target != "" {
		next.Pool, next.Target = in.Target, ""
	}
	next.Operation = ""
	next.Incarnation = report.Incarnation
	next.Seen = report.Reported
	next.Noticed = time.Time{}
	return next
}

func waitReturn(now time.Time, in pool.Instance, call Call, rules StopRules) Decision {
	if in.State != pool.StateFailed && rules.ReturnLimit > 0 && now.Sub(in.Since) >= rules.ReturnLimit {
		return change(in.Next(now, pool.StateFailed))
	}
	return Decision{Next: in, Call: call}
}

func change(next pool.Instance) Decision { return Decision{Next: next, Changed: true} }
