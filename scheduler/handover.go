package scheduler

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/internal/workers/leaserecord"
	"github.com/chivetiller/chivetiller/store"
)

const (
	// doubtedAfter is the time without an answer after which a worker may be down when a leader stops. Renewals are answered more often.
	doubtedAfter = time.Second
	// storeClockError is how much the estimate of the store's clock may be behind it: the timeout of a call, since a reply may have
	// travelled that long.
	storeClockError = time.Second
)

// newHandoverRow returns the row of a record. It sets the ends on the store's clock where they are not known yet.
func (e *Engine) newHandoverRow(entries leaserecord.Entries) leaserecord.Row {
	return e.core.leaseRecord.Row(e.Term(), entries, func(end time.Duration) time.Duration {
		at, _ := e.options.Clock.At(end)
		return at + storeClockError
	})
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
		Expected: []store.Expect{{Key: rowkeys.Leadership("holder"), Version: e.Fence()}},
		Puts:     []store.Put{{Key: leaseRecordKey, Value: value}},
	})
	if err != nil {
		e.logger.Warn("The next leader is not told which workers may be down.", "fence", e.Fence(), "workers", len(entries), "error", err)
		return
	}
	e.logger.Info("The next leader is told which workers may be down.", "fence", e.Fence(), "workers", len(entries))
}

// takeHandover gives the core the record of leases that earlier leaders have stored.
func (e *Engine) takeHandover(row leaserecord.Row, readable bool, now time.Duration) {
	record := e.core.leaseRecord
	// All leaders from the term before this one, or from the first one that observes records, have kept to the row since.
	observed := e.options.Core.LeasesBoundedFrom != 0 && row.Term >= e.options.Core.LeasesBoundedFrom
	if readable && (row.Term == 0 || row.Term > e.Term() || row.Term < e.Term()-1 && !observed) {
		return
	}
	storeNow, known := e.options.Clock.At(now)
	entries, err := row.Entries(now - storeNow)
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
