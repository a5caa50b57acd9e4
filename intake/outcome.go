package intake

import "github.com/chivetiller/chivetiller/catalog"

// Outcome is what became of a call of a client.
type Outcome int

// Outcomes of a call.
const (
	OK Outcome = iota
	// NoConfig means that the node has no configuration that it may rely on. Nothing was done.
	NoConfig
	NoQueue
	BadKey
	// Refused means that the job was not accepted and never runs.
	Refused
	// Unknown means that the job may have been accepted.
	Unknown
	// NoJob means that no such job exists.
	NoJob
	// NoAnswer means that neither the holder nor the store told the state of a job.
	NoAnswer
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"ok", "noConfig", "noQueue", "badKey", "refused", "unknown", "gone", "noAnswer"}[o]
}

// Admission is a call whose queue and key are checked.
type Admission struct {
	Queue *catalog.Queue
	// Team owns the key. It is empty for a public queue.
	Team string
	// JobPath is the path after the prefix of the queue.
	JobPath string
	// ConfigVersion is the configuration that decided.
	ConfigVersion uint64
}
