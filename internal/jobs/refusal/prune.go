package refusal

import (
	"time"

	"github.com/chivetiller/chivetiller/store"
)

const (
	// rowsPerTx is the number of refusals that a transaction removes, with a condition and a removal for each.
	rowsPerTx = store.MaxEntries / 2
	// minRetention is the minimum time for which a refusal is kept. A slow store carries out a submission up to seconds late.
	minRetention = time.Minute
)

// Pruner finds the refusals that are to be removed: those that have not changed for the retention since it has first seen them.
type Pruner struct {
	retention time.Duration
	seen      map[store.Key]sighting
}

type sighting struct {
	version uint64
	since   time.Duration
}

// NewPruner returns a pruner that has seen nothing. The retention is at least minRetention.
func NewPruner(retention time.Duration) *Pruner {
	return &Pruner{retention: max(retention, minRetention), seen: make(map[store.Key]sighting)}
}

// Due returns the transactions that remove the refusals that are due. rows are all refusals, by partition. Each transaction expects their
// versions: a job may be refused again at the same time.
func (p *Pruner) Due(rows []store.Row, now time.Duration) []store.Tx {
	seen := make(map[store.Key]sighting, len(rows))
	var due []store.Tx
	for _, row := range rows {
		s, ok := p.seen[row.Key]
		if !ok || s.version != row.Version {
			s = sighting{version: row.Version, since: now}
		}
		seen[row.Key] = s
		if now-s.since <= p.retention {
			continue
		}
		if n := len(due); n == 0 || len(due[n-1].Removes) == rowsPerTx || due[n-1].Removes[0].Partition != row.Partition {
			due = append(due, store.Tx{})
		}
		tx := &due[len(due)-1]
		tx.Expected = append(tx.Expected, store.Expect{Key: row.Key, Version: row.Version})
		tx.Removes = append(tx.Removes, row.Key)
	}
	p.seen = seen
	return due
}
