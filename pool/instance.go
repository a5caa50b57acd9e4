package pool

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// State is the state of an instance in its pool.
type State string

// States of an instance. Only a serving instance gets new work. A planned stop goes through draining or moving,
// rebooting and returning back to serving.
const (
	StateServing State = "serving"
	// StateDraining means that the instance is drained for a maintenance wave.
	StateDraining State = "draining"
	// StateMoving means that the instance is drained for a move to another pool.
	StateMoving State = "moving"
	// StateRebooting means that the drain has ended and the instance is rebooted.
	StateRebooting State = "rebooting"
	// StateReturning means that the instance is undrained and has not yet been reported as live.
	StateReturning State = "returning"
	// StateFailed means that the instance did not return in time from a planned stop.
	StateFailed State = "failed"
)

// Instance is the row of an instance. It holds everything that another entry instance needs to
// continue a planned stop that has begun.
type Instance struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	// HomePool is the pool that the instance belongs to. Pool differs from it after a temporary move.
	HomePool   string `json:"home"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Generation grows by one with each change of the row.
	Generation uint64 `json:"generation"`
	State      State  `json:"state"`
	// FailedIn is the state from which the instance entered StateFailed.
	FailedIn State `json:"failedIn,omitempty"`
	// Operation names the wave or move that has stopped the instance. It is empty while the instance serves.
	Operation string `json:"operation,omitempty"`
	// Incarnation is the one that the operation stops, and afterwards the one that returned.
	Incarnation uint64 `json:"incarnation"`
	// TargetPool is the pool that the instance joins at the end of a move.
	TargetPool string `json:"target,omitempty"`
	// ReportBaseline is the time of the newest report when the operation began or the instance was
	// undrained, on the platform's clock. Only later reports can show an effect of the operation.
	ReportBaseline time.Time `json:"seen,omitzero"`
	// RefusingSince is the time of the first report in which the instance refuses new requests, on the
	// platform's clock.
	RefusingSince time.Time `json:"noticed,omitzero"`
	// StateSince is the time at which the state was entered, on the clock of the entry instance that wrote
	// it. Only limits of minutes are measured from it: a clock error makes such a limit early or late, but
	// loses no request.
	StateSince time.Time `json:"since,omitzero"`
	// LastWave is the last wave that has finished with the instance, and LastWaveResult its result.
	LastWave       string `json:"done,omitempty"`
	LastWaveResult Result `json:"result,omitempty"`
}

// Result is the result of a wave for an instance.
type Result string

// Results of a wave for an instance.
const (
	// ResultRebooted means that the instance was rebooted or restarted by itself.
	ResultRebooted Result = "rebooted"
	// ResultSkipped means that requests were still running at the drain limit.
	ResultSkipped Result = "skipped"
)

// Down reports whether the instance is out of service because of a planned stop.
func (i Instance) Down() bool { return i.State != StateServing }

// Phase returns the state, or for a failed instance the state before the failure.
func (i Instance) Phase() State {
	if i.State == StateFailed {
		return i.FailedIn
	}
	return i.State
}

// Transition returns the next generation of the row, in the given state.
func (i Instance) Transition(now time.Time, state State) Instance {
	next := i
	next.Generation++
	next.FailedIn = ""
	if state == StateFailed {
		next.FailedIn = i.Phase()
	}
	next.State = state
	next.StateSince = now
	return next
}

// InstanceKey returns the key of the row of an instance.
func InstanceKey(id string) string { return instancePrefix + id }

const instancePrefix = "instance/"

// PlannedStopsKey returns the key of a pool's row of planned stops. Every transaction that begins a stop in
// the pool checks and rewrites this row, so that two of them cannot spend the same availability budget.
func PlannedStopsKey(name string) string { return "planned/" + name }

func (i Instance) encode() ([]byte, error) {
	data, err := json.Marshal(i)
	return data, eris.Wrapf(err, "encode instance %q", i.ID)
}

func decodeInstance(key string, data []byte) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(data, &i); err != nil {
		return Instance{}, eris.Wrapf(err, "row %q is not an instance", key)
	}
	return i, nil
}
