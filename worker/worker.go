// Package worker describes the workers as they appear in the registry, and the commands that the leader sends them.
//
// # Usage
//
//	reply, err := commander.Start(ctx, target, worker.StartCommand{Task: task, Run: 1, LeaseExpiry: expiry, Fence: fence})
//	if reply.Outcome == worker.NoRoom { ... }
package worker

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// Report is the entry that a worker writes about itself in the registry.
type Report struct {
	// ID identifies the worker. An instance gets a new worker, with a new ID, when it moves or returns from maintenance.
	ID         string
	Pool       string
	Address    string
	DataCentre string
	// Draining means that the worker is about to leave.
	Draining bool
	// Remaining is the minimum time for which a draining worker goes on serving.
	Remaining time.Duration
	Capacity  work.Resources
	Labels    []string
	// Incarnation distinguishes starts of the worker process under one ID. It is the start time in Unix milliseconds, and 0 if
	// it is not known.
	Incarnation int64
}

// Rack returns the rack of the worker, and "" if it reports none. It is the second label, which begins with "r" and contains a "-".
func (r *Report) Rack() string {
	for _, l := range r.Labels {
		if strings.HasPrefix(l, "r") && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}

// HasLabel reports whether the worker has a label. Every worker has the empty label.
func (r *Report) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// Run is one start of a task that is running on a worker.
type Run struct {
	Task       work.Task `cbor:"1,keyasint,omitempty"`
	Number     int       `cbor:"2,keyasint,omitempty"`
	Checkpoint string    `cbor:"3,keyasint,omitempty"`
	// SpeedPercent is the current speed of the task in percent of its full speed. A service task that is ready to serve has 100.
	SpeedPercent int `cbor:"4,keyasint,omitempty"`
	// Load is the tail latency in milliseconds for a service task, and the processor usage for any other task.
	Load int64 `cbor:"5,keyasint,omitempty"`
}

// ExitReason says why a run ended.
type ExitReason int

// Reasons of an exit.
const (
	ExitDone ExitReason = iota
	ExitFailed
	ExitStopped
	// ExitLeaseExpired means that the lease was not renewed in time.
	ExitLeaseExpired
	// ExitGangBroken means that another task of the gang exited.
	ExitGangBroken
	// ExitGangIncomplete means that the other tasks of the gang did not start in time.
	ExitGangIncomplete
)

// exitReasonNames holds the names of the reasons as they appear in logs.
var exitReasonNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the reason as it appears in logs. Nodes of a newer version may send reasons without a name here.
func (k ExitReason) String() string {
	if k < 0 || int(k) >= len(exitReasonNames) {
		return "ExitReason(" + strconv.Itoa(int(k)) + ")"
	}
	return exitReasonNames[k]
}

// Exit is a run that has ended on a worker.
type Exit struct {
	// Seq numbers the exits within one incarnation of the worker, starting at 1.
	Seq        uint64     `cbor:"1,keyasint,omitempty"`
	Task       work.Task  `cbor:"2,keyasint,omitempty"`
	Number     int        `cbor:"3,keyasint,omitempty"`
	Reason     ExitReason `cbor:"4,keyasint,omitempty"`
	Checkpoint string     `cbor:"5,keyasint,omitempty"`
}

// Status is the reply of a worker to a lease renewal: its runs, and the exits that are not acknowledged yet.
type Status struct {
	Reply
	Running []Run  `cbor:"4,keyasint,omitempty"`
	Exited  []Exit `cbor:"5,keyasint,omitempty"`
}

// Outcome is the result of a command.
type Outcome int

// Outcomes of a command. Only Unknown leaves open whether the command takes effect.
const (
	Accepted Outcome = iota
	// Unknown means that no reply was received. The command may still be executed.
	Unknown
	// Fenced means that the worker has seen a higher fencing token.
	Fenced
	// Superseded means that the worker already knows a run of the task with the same or a higher number.
	Superseded
	// Expired means that the lease in the command had already expired.
	Expired
	// NoRoom means that the worker has too few free resources.
	NoRoom
	// NoTicket means that the ticket is missing or no longer valid.
	NoTicket
	Invalid
	// Unhealthy means that the worker rejects all commands for now.
	Unhealthy
	// OtherInstance means that another instance replied at the address.
	OtherInstance
	// NotSent means that no part of the command has left, because there was no connection to the worker.
	NotSent
)

// outcomeNames holds the names of the outcomes as they appear in logs.
var outcomeNames = [...]string{"accepted", "unknown", "fenced", "superseded", "expired", "noRoom", "noTicket", "invalid", "unhealthy", "otherInstance", "notSent"}

// String returns the name of the outcome as it appears in logs. Nodes of a newer version may send outcomes without a name here.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "Outcome(" + strconv.Itoa(int(o)) + ")"
	}
	return outcomeNames[o]
}

// Reply is the reply to a command.
type Reply struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	// Clock is the monotonic time of the worker, and 0 if the reply has none.
	Clock time.Duration `cbor:"2,keyasint,omitempty"`
	// Incarnation is the incarnation of the worker that replied, and 0 if the reply has none.
	Incarnation int64 `cbor:"3,keyasint,omitempty"`
}

// StartCommand starts a task.
type StartCommand struct {
	Task work.Task `cbor:"1,keyasint,omitempty"`
	Run  int       `cbor:"2,keyasint,omitempty"`
	Spec string    `cbor:"3,keyasint,omitempty"`
	// LeaseExpiry is the time at which the lease expires, in monotonic time of the worker.
	LeaseExpiry time.Duration `cbor:"4,keyasint,omitempty"`
	Fence       uint64        `cbor:"5,keyasint,omitempty"`
	Checkpoint  string        `cbor:"6,keyasint,omitempty"`
	Ticket      string        `cbor:"7,keyasint,omitempty"`
}

// RunCommand stops or throttles a run.
type RunCommand struct {
	Task  work.Task `cbor:"1,keyasint,omitempty"`
	Run   int       `cbor:"2,keyasint,omitempty"`
	Fence uint64    `cbor:"3,keyasint,omitempty"`
	// SpeedPercent is the speed to which a throttled task is limited, in percent of its full speed.
	SpeedPercent int `cbor:"4,keyasint,omitempty"`
}

// RenewCommand renews the lease on all runs of a worker and acknowledges exits.
type RenewCommand struct {
	// LeaseExpiry is the time at which the lease expires, in monotonic time of the worker. 0 leaves the lease as it is.
	LeaseExpiry time.Duration `cbor:"1,keyasint,omitempty"`
	Fence       uint64        `cbor:"2,keyasint,omitempty"`
	// AcknowledgedSeq is the sequence number up to which all exits are stored by the leader.
	AcknowledgedSeq uint64 `cbor:"3,keyasint,omitempty"`
	// MaxWait is how long the worker may delay its reply while there is no new exit (long polling).
	MaxWait time.Duration `cbor:"4,keyasint,omitempty"`
}

// Commander sends commands to workers. The error explains an outcome that is not Accepted.
type Commander interface {
	Start(ctx context.Context, to Target, command StartCommand) (Reply, error)
	Stop(ctx context.Context, to Target, command RunCommand) (Reply, error)
	Throttle(ctx context.Context, to Target, command RunCommand) (Reply, error)
	Renew(ctx context.Context, to Target, command RenewCommand) (Status, error)
}

// Target is the worker that a command is addressed to. Another instance at the same address rejects the command, but a later life of the
// worker does not.
type Target struct {
	Life
	Address string `cbor:"2,keyasint"`
	// DataCentre is the one of the worker, and empty if it is not known.
	DataCentre string `cbor:"3,keyasint,omitempty"`
}
