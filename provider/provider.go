// Package provider defines the interfaces of the project's trial platform: a transactional table, an object store, a list
// of instances, and tasks on workers. Its client limits and retries the calls.
//
// # Usage
//
//	rows, err := table.Read(ctx, "config/current")
//	err = table.Commit(ctx, provider.Txn{
//		OperationID: ident.New(),
//		Checks:      []provider.Check{{Key: "config/current", Version: rows[0].Version}},
//		Writes:      []provider.Write{{Key: "config/current", Value: next}},
//	})
package provider

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's services. All other errors are wrapped in one of these.
var (
	// ErrConflict means that a check did not hold and nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable means that the request had no effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnknownOutcome means that the request may have taken effect.
	ErrUnknownOutcome = errors.New("outcome is unknown")
	// ErrOverBudget means that the client did not send the request because the budget of the user is used up or its calls
	// are shed.
	ErrOverBudget = errors.New("platform budget is spent")
	// ErrNotFound means that the named object or instance does not exist.
	ErrNotFound = errors.New("not found")
)

// Row is a row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version comes from one counter for the whole table. It grows with each transaction and never repeats.
	Version uint64 `json:"version"`
}

// Check is a condition of a transaction: the row has this version, or is absent if the version is 0.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. All its writes take effect, or none.
type Txn struct {
	// OperationID identifies the transaction, so that a retry after an unknown outcome can detect that it has already
	// taken effect.
	OperationID string  `json:"operationId"`
	Checks      []Check `json:"checks,omitempty"`
	Writes      []Write `json:"writes,omitempty"`
}

// Table is the transactional table service. It is linearizable.
type Table interface {
	// Read returns those rows of the keys that exist, from one snapshot, in the order of keys.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix whose key is greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the writes if all checks hold, and fails with ErrConflict otherwise.
	Commit(ctx context.Context, txn Txn) error
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get fails with ErrNotFound if there is no such object.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names with the prefix in order.
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// InstanceState is the state of an instance as the platform reports it.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceGone    InstanceState = "gone"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Address is the IP address and port where the instance accepts requests.
	Address string `json:"address"`
	// Incarnation grows each time the instance starts.
	Incarnation uint64        `json:"incarnation"`
	State       InstanceState `json:"state"`
	// InFlight is the number of requests and tasks that were running at Reported.
	InFlight int       `json:"inFlight"`
	Reported time.Time `json:"reported"`
	Slots    int       `json:"slots"`
	Cores    float64   `json:"cores"`
	// Memory is in bytes.
	Memory       int64 `json:"memory"`
	Accelerators int   `json:"accelerators"`
}

// InstanceList is the whole list of instances or the changes since a cursor.
type InstanceList struct {
	// Cursor is passed to the next call to receive later changes only.
	Cursor    string     `json:"cursor"`
	Instances []Instance `json:"instances"`
}

// Instances lists, drains and reboots instances. The list is delayed, and can repeat or omit entries.
type Instances interface {
	// List returns the changes since the cursor, or the whole list if the cursor is empty.
	List(ctx context.Context, cursor string) (InstanceList, error)
	// Drain makes the instance refuse new requests while it finishes those in flight. It is idempotent.
	Drain(ctx context.Context, id string) error
	// Undrain makes a draining instance accept requests again. It is idempotent.
	Undrain(ctx context.Context, id string) error
	// Reboot restarts the instance if it has the given incarnation. Otherwise it does nothing.
	Reboot(ctx context.Context, id string, incarnation uint64) error
}

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// TaskSpec describes a task to start on a worker.
type TaskSpec struct {
	// ID identifies the run. A second start with the same ID has no effect.
	ID  string `json:"id"`
	Job string `json:"job"`
	// Token is the fencing token of the lease under which the task runs.
	Token  uint64  `json:"token"`
	Worker string  `json:"worker"`
	Kind   string  `json:"kind"`
	Cores  float64 `json:"cores"`
	// Memory is in bytes.
	Memory       int64  `json:"memory"`
	Accelerators int    `json:"accelerators"`
	Checkpoint   string `json:"checkpoint,omitempty"`
	// LeaseDuration is how long the worker continues without a renewal of the lease.
	LeaseDuration time.Duration `json:"term"`
}

// TaskStatus is the report of a worker on a task. Reports are delayed.
type TaskStatus struct {
	ID     string    `json:"id"`
	Job    string    `json:"job"`
	Worker string    `json:"worker"`
	State  TaskState `json:"state"`
	Token  uint64    `json:"token"`
	Cores  float64   `json:"cores"`
	// Memory is in bytes.
	Memory     int64     `json:"memory"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reported   time.Time `json:"reported"`
	Detail     string    `json:"detail,omitempty"`
}

// Tasks runs tasks on workers under leases. A call with a lower token than an earlier one for the job is refused with ErrConflict.
type Tasks interface {
	Start(ctx context.Context, spec TaskSpec) error
	// Renew extends the lease of the tasks by their lease duration.
	Renew(ctx context.Context, token uint64, ids ...string) error
	Stop(ctx context.Context, token uint64, id string) error
	// Throttle limits the task to a fraction of its processors, between 0 and 1.
	Throttle(ctx context.Context, token uint64, id string, fraction float64) error
	// Checkpoint saves the state of the task and returns its reference.
	Checkpoint(ctx context.Context, token uint64, id string) (string, error)
	// Status returns the tasks of the given workers, or of all workers if none is given.
	Status(ctx context.Context, workers ...string) ([]TaskStatus, error)
}
