package scheduler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
)

const (
	// rowHandover is the row of the record of leases. Earlier versions write it only when a leader stops.
	rowHandover = "handover"
	// doubtedAfter is the time without an answer after which a worker may be down when a leader stops. Renewals are answered more often.
	doubtedAfter = time.Second
	// storeClockError is how much the estimate of the store's clock may be behind it: the timeout of a call, since a reply may have
	// travelled that long.
	storeClockError = time.Second
)

// handoverRow is the record of leases.
type handoverRow struct {
	// Term is the term of the leader that has written the row.
	Term int `cbor:"1,keyasint"`
	// LeasesUntil holds the time on the store's clock at which the leases of a worker have certainly expired, by worker ID.
	LeasesUntil map[string]time.Duration `cbor:"2,keyasint,omitempty"`
	// Incarnations holds the incarnations of the workers, in the order of their IDs. Rows of earlier versions have none.
	Incarnations []int64 `cbor:"3,keyasint,omitempty"`
}

// newHandoverRow returns the row of a record. It sets the ends on the store's clock where they are not known yet.
func (e *Engine) newHandoverRow(entries leaserecord.Entries) handoverRow {
	row := handoverRow{Term: e.Term(), LeasesUntil: make(map[string]time.Duration, len(entries)), Incarnations: make([]int64, 0, len(entries))}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		entry := entries[id]
		if entry.StoredEnd == 0 {
			at, _ := e.options.Clock.At(entry.End)
			entry.StoredEnd = at + storeClockError
			entries[id] = entry
			e.core.leaseRecord.SetStoredEnd(id, entry.StoredEnd)
		}
		row.LeasesUntil[id] = entry.StoredEnd
		row.Incarnations = append(row.Incarnations, entry.Incarnation)
	}
	return row
}

// entries returns the record that a row holds. offset is what is added to a time on the store's clock.
func (row handoverRow) entries(offset time.Duration) (leaserecord.Entries, error) {
	if n := len(row.Incarnations); n != 0 && n != len(row.LeasesUntil) {
		return nil, eris.Errorf("record of leases has %d incarnations for %d workers", n, len(row.LeasesUntil))
	}
	entries := make(leaserecord.Entries, len(row.LeasesUntil))
	for i, id := range slices.Sorted(maps.Keys(row.LeasesUntil)) {
		entry := leaserecord.Entry{End: row.LeasesUntil[id] + offset, StoredEnd: row.LeasesUntil[id]}
		if len(row.Incarnations) > 0 {
			entry.Incarnation = row.Incarnations[i]
		}
		entries[id] = entry
	}
	return entries, nil
}

// addLeaseRecord adds the record of a batch to its transaction. A record that cannot be encoded is left out of both.
func (e *Engine) addLeaseRecord(tx *store.Tx, b *Batch) {
	if b.LeaseEnds == nil {
		return
	}
	value, err := e.encode(e.newHandoverRow(b.LeaseEnds))
	put := store.Put{Key: leaseRecordKey, Value: value}
	if err == nil {
		err = put.Validate()
	}
	if err != nil {
		e.logRefusedRow(leaseRecordKey, err)
		b.LeaseEnds = nil
		e.core.leaseRecord.Failed()
		return
	}
	tx.Puts = append(tx.Puts, put)
}

// HandOver stores the last record of leases. It is called once the engine has stopped for good.
func (e *Engine) HandOver(ctx context.Context) {
	defer func() {
		if p := recover(); p != nil {
			e.handlePanic(p)
		}
	}()
	if !e.options.Leadership.IsLeader(e.Fence()) {
		// What a scheduler believes that has panicked is not handed over.
		return
	}
	now := clock.Now()
	e.core.SetTime(now)
	entries := e.core.LeaseEnds()
	if _, known := e.options.Clock.At(now); !known || len(entries) == 0 {
		return
	}
	value, err := e.encode(e.newHandoverRow(entries))
	if err != nil {
		e.logger.Error("What is handed over cannot be encoded.", "fence", e.Fence(), "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err = e.options.Store.Commit(ctx, store.Tx{
		Expected: []store.Expect{{Key: leadershipKey("holder"), Version: e.Fence()}},
		Puts:     []store.Put{{Key: leaseRecordKey, Value: value}},
	})
	if err != nil {
		e.logger.Warn("The next leader is not told which workers may be down.", "fence", e.Fence(), "workers", len(entries), "error", err)
		return
	}
	e.logger.Info("The next leader is told which workers may be down.", "fence", e.Fence(), "workers", len(entries))
}

// takeHandover gives the core the record of leases that earlier leaders have stored.
func (e *Engine) takeHandover(row handoverRow, readable bool, now time.Duration) {
	record := e.core.leaseRecord
	// All leaders from the term before this one, or from the first one that observes records, have kept to the row since.
	observed := e.options.Core.LeasesBoundedFrom != 0 && row.Term >= e.options.Core.LeasesBoundedFrom
	if readable && (row.Term == 0 || row.Term > e.Term() || row.Term < e.Term()-1 && !observed) {
		return
	}
	storeNow, known := e.options.Clock.At(now)
	entries, err := row.entries(now - storeNow)
	if !readable || !known || err != nil {
		e.logger.Error("Record of leases cannot be used; no lease is extended before it is replaced.", "fence", e.Fence(), "error", err)
		record.AdoptUnreadable()
		return
	}
	e.core.SetLeaseEnds(entries)
	if !observed {
		record.Replace()
	}
	e.logger.Info("Earlier leaders have told which workers may be down.", "workers", len(entries), "tenure", row.Term)
}
