// Package worker describes workers as they report themselves, and the orders that they take.
//
// # Usage
//
//	reply, err := orders.Start(ctx, address, worker.StartOrder{Task: task, Run: 1, Until: until, Fence: fence})
//	if reply.Outcome == worker.NoRoom { ... }
package worker

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// Report is what a worker says of itself in the registry.
type Report struct {
	// ID names one life of an instance.
	ID         string
	Pool       string
	Address    string
	DataCentre string
	// Draining means that the worker leaves soon.
	Draining bool
	// Remaining is the least time that a draining worker still serves.
	Remaining time.Duration
	Capacity  work.Resources
	Labels    []string
	// Born tells two lives under one ID apart. It is in milliseconds since 1970.
	Born int64
}

// Rack returns the rack of the worker, which is the second label, and "" if the worker reports none.
func (r *Report) Rack() string {
	for _, l := range r.Labels {
		if strings.HasPrefix(l, "r") && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// HasLabel reports whether the worker carries a label. Each worker carries the empty one.
func (r *Report) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// Run is a task that runs on a worker.
type Run struct {
	Task       work.Task
	Number     int
	Checkpoint string
	// Percent is the share of its speed at which the task works; it is 100 once a service task serves.
	Percent int
	// Load is the tail of the response times in milliseconds for a service task, and the processors in use for any other.
	Load int64
}

// EndKind says how a run ended.
type EndKind int

// Kinds of ends.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come in time.
	EndAlone
)

// String returns the name of the kind.
func (k EndKind) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[k]
}

// End is a run that ended on a worker.
type End struct {
	// Seq numbers the ends of one life of the worker from 1.
	Seq        uint64
	Task       work.Task
	Number     int
	How        EndKind
	Checkpoint string
}

// Status is the answer of a worker to a lease renewal.
type Status struct {
	Reply
	Running []Run
	Ended   []End
}

// Outcome is what a worker did with an order.
type Outcome int

// Outcomes of an order. Only Unknown leaves open whether the order has an effect.
const (
	Accepted Outcome = iota
	// Unknown means that no answer came. The order may still be carried out.
	Unknown
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// Superseded means that the worker knows a run of the task that is as high.
	Superseded
	// Expired means that the lease in the order had run out.
	Expired
	NoRoom
	// NoTicket means that the ticket is missing or no longer valid.
	NoTicket
	Invalid
	// Unhealthy means that the worker refuses all orders for now.
	Unhealthy
	// OtherInstance means that another instance answers at the address.
	OtherInstance
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"accepted", "unknown", "fenced", "superseded", "expired", "noRoom", "noTicket", "invalid", "unhealthy", "otherInstance"}[o]
}

// Reply is an answer to an order.
type Reply struct {
	Outcome Outcome
	// Clock is the steady clock of the worker, and 0 if the answer has none.
	Clock time.Duration
	// Born is the life that answered, and 0 if the answer has none.
	Born int64
}

// StartOrder starts a task.
type StartOrder struct {
	Task work.Task
	Run  int
	Spec string
	// Until is the end of the lease on the clock of the worker.
	Until      time.Duration
	Fence      uint64
	Checkpoint string
	Ticket     string
}

// RunOrder names a run to stop or to slow down.
type RunOrder struct {
	Task  work.Task
	Run   int
	Fence uint64
	// Percent is the share of its speed that the task keeps.
	Percent int
}

// RenewOrder renews the lease on all that runs on a worker and acknowledges its ends.
type RenewOrder struct {
	// Until is the end of the lease on the clock of the worker. 0 leaves the lease as it is.
	Until time.Duration
	Fence uint64
	// Acknowledged is the highest end that is stored.
	Acknowledged uint64
	// Wait is how long the worker may hold its answer back until something ends.
	Wait time.Duration
}

// Orders sends orders to workers. The error explains an outcome that is not Accepted.
type Orders interface {
	Start(ctx context.Context, to Target, order StartOrder) (Reply, error)
	Stop(ctx context.Context, to Target, order RunOrder) (Reply, error)
	Pace(ctx context.Context, to Target, order RunOrder) (Reply, error)
	Renew(ctx context.Context, to Target, order RenewOrder) (Status, error)
}

// Target is the worker that an order is meant for. Another instance at the address refuses it.
type Target struct {
	ID      string
	Address string
}
