// Package unstoredexits holds the exits that a worker has reported and whose effects may not be stored yet. They are acknowledged to the
// worker in the order of their numbers, each once the effects of all up to it are stored.
//
// # Usage
//
//	var q unstoredexits.Queue[*job]
//	q.Add(exit.Seq, job)
//	if seq := q.StoredWith(changed); seq > q.Stored() {
//		// Once the batch is stored: q.SetStored(seq)
//	}
package unstoredexits

// Exit is an exit with the job, or whatever else J names, on which it has an effect.
type Exit[J any] struct {
	Seq uint64
	Job J
}

// Queue holds the exits of a worker. The zero value is that of a worker without exits.
type Queue[J any] struct {
	stored uint64
	exits  []Exit[J]
}

// Add adds an exit that was processed. Its number is higher than those before.
func (q *Queue[J]) Add(seq uint64, job J) { q.exits = append(q.exits, Exit[J]{Seq: seq, Job: job}) }

// Len returns the number of exits whose effects may not be stored.
func (q *Queue[J]) Len() int { return len(q.exits) }

// Exits returns these exits, in order.
func (q *Queue[J]) Exits() []Exit[J] { return q.exits }

// Stored returns the number of the last exit up to which the effects of all are stored.
func (q *Queue[J]) Stored() uint64 { return q.stored }

// StoredWith returns the number of the last exit up to which the effects of all are stored once the present batch is. unstored reports whether
// an effect on a job is in no batch yet. The exits stay until SetStored.
func (q *Queue[J]) StoredWith(unstored func(J) bool) uint64 {
	seq := q.stored
	for _, e := range q.exits {
		if unstored(e.Job) {
			break
		}
		seq = e.Seq
	}
	return seq
}

// SetStored records that the effects of the exits up to a number are stored.
func (q *Queue[J]) SetStored(seq uint64) {
	q.stored = max(q.stored, seq)
	n := 0
	for n < len(q.exits) && q.exits[n].Seq <= q.stored {
		n++
	}
	q.exits = q.exits[n:]
}
