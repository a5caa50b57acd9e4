package pool

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// State is the state of an instance in its pool.
type State string

// States of an instance. Only a serving instance receives work.
const (
	StateServing State = "serving"
	// StateDraining is the drain of a maintenance wave.
	StateDraining State = "draining"
	// StateMoving is the drain of a move to another pool.
	StateMoving    State = "moving"
	StateRebooting State = "rebooting"
	StateReturning State = "returning"
	// StateFailed means that the instance did not return in time from a planned stop.
	StateFailed State = "failed"
)

// Instance is the row of an instance. It holds everything that another entry instance needs to
// continue a stop that has begun.
type Instance struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	// Home is the pool that the instance belongs to. Another Pool means that it is lent.
	Home       string `json:"home"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Generation grows by one with each change of the row.
	Generation uint64 `json:"generation"`
	State      State  `json:"state"`
	// FailedIn is the state in which the instance was when it became failed.
	FailedIn State `json:"failedIn,omitempty"`
	// Operation names the wave or move that has the instance stopped. It is empty while serving.
	Operation string `json:"operation,omitempty"`
	// Incarnation is the one that the operation stops, and afterwards the one that returned.
	Incarnation uint64 `json:"incarnation"`
	// Target is the pool that the instance joins at the end of a move.
	Target string `json:"target,omitempty"`
	// Seen is the time of the newest report when the operation began or the instance was undrained.
	// Only later reports count as an effect. It is on the platform's clock.
	Seen time.Time `json:"seen,omitzero"`
	// Noticed is the time of the first report in which the instance refuses new requests, on the platform's clock.
	Noticed time.Time `json:"noticed,omitzero"`
	// Since is when the state was entered, on the clock of the entry instance that wrote it. It serves
	// limits of minutes only, where a clock error means an early or late limit and no lost request.
	Since time.Time `json:"since,omitzero"`
	// Done is the last wave that has finished with the instance, and Result how.
	Done   string `json:"done,omitempty"`
	Result Result `json:"result,omitempty"`
}

// Result says how a wave has finished with an instance.
type Result string

// Results of a wave.
const (
	ResultRebooted Result = "rebooted"
	// ResultSkipped means that requests were still running at the drain limit.
	ResultSkipped Result = "skipped"
)

// Down reports whether a planned stop keeps the instance out of service.
func (i Instance) Down() bool { return i.State != StateServing }

// Phase returns the state, or the one before the failure if the instance is failed.
func (i Instance) Phase() State {
	if i.State == StateFailed {
		return i.FailedIn
	}
	return i.State
}

// Next returns the row of the next generation in the state.
func (i Instance) Next(now time.Time, state State) Instance {
	next := i
	next.Generation++
	next.FailedIn = ""
	if state == StateFailed {
		next.FailedIn = i.Phase()
	}
	next.State = state
	next.Since = now
	return next
}

// InstanceKey returns the key of the row of an instance.
func InstanceKey(id string) string { return instancePrefix + id }

const instancePrefix = "instance/"

// PlannedKey returns the key of a pool's row of planned stops. Every transaction that begins a stop in
// the pool checks and rewrites the row, so that two of them cannot spend one budget.
func PlannedKey(name string) string { return "planned/" + name }

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
