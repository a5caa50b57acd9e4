package member

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/store"
)

// keepBeating sends a beat each interval. One that gets no answer does not hold up the next.
func (m *Member) keepBeating(ctx context.Context) {
	var sent sync.WaitGroup
	defer sent.Wait()
	pending := make(chan struct{}, maxBeats)
	for {
		interval := beatInterval
		if _, held := m.Term(); held {
			interval = holderBeatInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
		select {
		case pending <- struct{}{}:
			part := m.o.Self.Name
			if len(pending) > 1 {
				part += otherPart
			}
			sent.Go(func() {
				m.tryBeat(ctx, part)
				<-pending
			})
		default:
			m.logger.Warn("Beat is left out: earlier ones have no answer.", "pending", maxBeats)
		}
	}
}

// tryBeat sends a beat and logs a failure.
func (m *Member) tryBeat(ctx context.Context, part string) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.beat(limited, part); err != nil && ctx.Err() == nil {
		m.logger.Warn("Beat was not stored.", "part", part, "error", err)
	}
}

// beat writes the own row. Each node has a part of its own: the store carries out the transactions of a part one after the
// other, so that the beats of many nodes would hold each other up while it is slow. While a beat has no answer the next ones go
// to another part, since the store may be away in part only.
func (m *Member) beat(ctx context.Context, part string) error {
	m.mu.Lock()
	m.count++
	row := m.o.Self
	row.Count, row.Leaving = m.count, m.leaving
	m.mu.Unlock()
	value, err := cbor.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode the beat")
	}
	result, err := m.o.Store.Commit(ctx, store.Tx{
		Puts: []store.Put{{Key: store.Key{Table: tableNodes, Partition: part, Name: row.Name}, Value: value}},
	})
	m.o.Clock.Update(result.Now)
	return err
}
