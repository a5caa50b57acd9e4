package member

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/store"
)

// sendHeartbeats sends a heartbeat each interval. A heartbeat without a reply does not delay the next one.
func (m *Member) sendHeartbeats(ctx context.Context) {
	var sent sync.WaitGroup
	defer sent.Wait()
	pending := make(chan struct{}, maxPendingHeartbeats)
	for {
		interval := heartbeatInterval
		if _, leading := m.Term(); leading {
			interval = leaderHeartbeatInterval
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
		if m.Following() {
			continue
		}
		select {
		case pending <- struct{}{}:
			partition := m.options.Self.Name
			if len(pending) > 1 {
				partition += alternateSuffix
			}
			sent.Go(func() {
				m.tryHeartbeat(ctx, partition)
				<-pending
			})
		default:
			m.logger.Warn("Heartbeat is skipped because earlier ones have no reply.", "pending", maxPendingHeartbeats)
		}
	}
}

// tryHeartbeat sends a heartbeat and logs a failure.
func (m *Member) tryHeartbeat(ctx context.Context, partition string) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.writeHeartbeat(limited, partition); err != nil && ctx.Err() == nil {
		m.logger.Warn("Heartbeat was not stored.", "part", partition, "error", err)
	}
}

// writeHeartbeat writes the row of this node. Each node has a table partition of its own, because the store executes the
// transactions of a partition one after the other: while it is slow, heartbeats of many nodes in one partition would delay each
// other. While a heartbeat has no reply, the next ones go to an alternate partition, because only some partitions of the store
// may be unavailable.
func (m *Member) writeHeartbeat(ctx context.Context, partition string) error {
	m.mu.Lock()
	m.heartbeats++
	row := m.options.Self
	row.Count, row.Leaving = m.heartbeats, m.leaving
	if m.term != nil {
		row.LeaderFence, row.EarlierUntil = m.term.Fence, m.toStoreTime(m.earlierActiveUntil(*m.term))
	}
	m.mu.Unlock()
	value, err := cbor.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode the heartbeat")
	}
	result, err := m.options.Store.Commit(ctx, store.Tx{
		Puts: []store.Put{{Key: store.Key{Table: tableNodes, Partition: partition, Name: row.Name}, Value: value}},
	})
	m.options.Clock.Update(result.Now)
	return err
}

// maxCores is more than the processor share of any node. A node with more would precede all others in the election.
const maxCores = 1_000_000

// decodeNode decodes the row of a node. It fails if the row is malformed, names another node, or has a processor share out of range.
func decodeNode(row store.Row) (Node, error) {
	var n Node
	if err := cbor.Unmarshal(row.Value, &n); err != nil {
		return Node{}, eris.Wrap(err, "decode a node")
	}
	switch {
	case n.Name != row.Name || n.Name == "":
		return Node{}, eris.New("the row names another node")
	case math.IsNaN(n.Cores) || n.Cores < 0 || n.Cores > maxCores:
		return Node{}, eris.Errorf("processor share of %g cores is out of range", n.Cores)
	}
	return n, nil
}

// readLeaderHeartbeat adds the last heartbeat of the leader to its row. It fails if neither of the two partitions with heartbeats can be
// read, since a live leader would count as dead without one.
func (m *Member) readLeaderHeartbeat(ctx context.Context, leader store.Rows) (store.Rows, error) {
	if len(leader.Rows) == 0 {
		return leader, nil
	}
	var row leaderRow
	if err := cbor.Unmarshal(leader.Rows[0].Value, &row); err != nil {
		return store.Rows{}, eris.Wrap(err, "decode the leader row")
	}
	partitions := [...]string{row.Leader, row.Leader + alternateSuffix}
	var read [len(partitions)]store.Rows
	var errs [len(partitions)]error
	var reads sync.WaitGroup
	for i, partition := range partitions {
		reads.Go(func() {
			read[i], errs[i] = m.options.Store.Scan(ctx, tableNodes, partition, row.Leader, row.Leader+"\x00")
		})
	}
	reads.Wait()
	if errs[0] != nil && errs[1] != nil {
		return store.Rows{}, errors.Join(errs[:]...)
	}
	for i := range read {
		leader.Rows = append(leader.Rows, read[i].Rows...)
	}
	return leader, nil
}
