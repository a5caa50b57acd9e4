package intake

import (
	"time"

	"github.com/chivetiller/chivetiller/catalog"
)

// Outcome is the result of a request of a client.
type Outcome int

// Outcomes of a request.
const (
	OK Outcome = iota
	// NoConfig means that the node has no configuration that was confirmed recently enough. Nothing was done.
	NoConfig
	// NoQueue means that no queue matches the host and the path.
	NoQueue
	// BadKey means that the queue requires a key and the key is missing or unknown.
	BadKey
	// Refused means that the job or the cancellation was not accepted and never takes effect.
	Refused
	// Unknown means that the job or the cancellation may have been accepted.
	Unknown
	// NoJob means that no such job exists.
	NoJob
	// NoAnswer means that a state or count could be read neither from the leader nor from the store.
	NoAnswer
	// Overloaded means that the job was refused, because it could not be done before it has lost its value. It never runs.
	Overloaded
	// NeverFits means that the job was refused, because no instance that its pool can get is large enough. It never runs.
	NeverFits
)

// String returns the name of the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"ok", "noConfig", "noQueue", "badKey", "refused", "unknown", "gone", "noAnswer", "overloaded", "neverFits"}[o]
}

// Admission is the result of checking the queue and the key of a request.
type Admission struct {
	Queue *catalog.Queue
	// Team owns the key. It is empty for a public queue.
	Team string
	// JobPath is the rest of the path after the prefix of the queue.
	JobPath string
	// ConfigVersion is the version of the configuration that was used.
	ConfigVersion uint64
	// ArrivedAt is a lower bound of the time on the store's clock at which the request arrived, and 0 if it is not known.
	ArrivedAt time.Duration
}

func (a Admission) queueName() string {
	if a.Queue == nil {
		return ""
	}
	return a.Queue.Name
}
