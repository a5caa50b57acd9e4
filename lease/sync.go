package lease

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

// Start acquires leases and renews them until Stop. It returns after the first round, also if that failed.
func (m *Manager) Start(ctx context.Context) error {
	if err := m.Sync(ctx); err != nil {
		m.logger.Warn("Leases are not read yet.", "error", err)
	}
	m.renewal.Start()
	return nil
}

func (m *Manager) round(ctx context.Context) {
	if err := m.Sync(ctx); err != nil && ctx.Err() == nil {
		m.logger.Debug("Leases are not renewed.", "error", err)
	}
}

// Stop gives up all leases. Their duties must have ended.
func (m *Manager) Stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.renewal.Stop()
	return m.Sync(ctx)
}

// Sync does one round: it reads all leases, renews its own ones in one transaction, and takes over those
// that are free or whose holder has not renewed them. Start does this in the background.
func (m *Manager) Sync(ctx context.Context) error {
	m.syncing.Lock()
	defer m.syncing.Unlock()
	for repeat := 0; ; repeat++ {
		if err := m.read(ctx, m.o.Duties); err != nil {
			return err
		}
		// After two conflicts only the own leases are renewed, so that contention for free ones cannot end them.
		txn := m.prepare(repeat < 2)
		if len(txn.Writes) == 0 {
			return nil
		}
		err := m.o.Table.Commit(ctx, txn)
		if err == nil {
			// The versions that guards need are known only from the rows.
			return m.read(ctx, m.o.Duties)
		}
		if !errors.Is(err, provider.ErrConflict) || repeat == maxRoundRepeats {
			return err
		}
	}
}

// read reads the rows of the duties.
func (m *Manager) read(ctx context.Context, names []string) error {
	keys := make([]string, 0, 2*len(names))
	for _, name := range names {
		keys = append(keys, leasePrefix+name, fencePrefix+name)
	}
	rows, err := m.o.Table.Read(ctx, keys...)
	if err != nil {
		return err
	}
	byKey := make(map[string]provider.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, name := range names {
		if err := m.absorb(m.duties[name], byKey[leasePrefix+name], byKey[fencePrefix+name], now); err != nil {
			return err
		}
	}
	return nil
}

// absorb takes over what the rows of a duty say. The zero row is an absent one.
func (m *Manager) absorb(d *duty, leaseOf, fence provider.Row, now time.Time) error {
	if d.since.IsZero() {
		d.since = now
	}
	if leaseOf.Version != d.leaseVersion {
		var value leaseRow
		if err := decode(leaseOf, &value); err != nil {
			return err
		}
		if value.Holder != m.o.Holder && d.held(m.o.Holder, now) {
			m.logger.Warn("Duty was taken over by a peer before its term ended.", "duty", d.name, "peer", value.Holder)
		}
		d.lease, d.leaseVersion, d.since = value, leaseOf.Version, now
	}
	if fence.Version != d.fenceVersion {
		if err := decode(fence, &d.fence); err != nil {
			return err
		}
		d.fenceVersion = fence.Version
	}
	if !d.own(m.o.Holder) {
		d.until = time.Time{}
		return nil
	}
	if sent, ok := d.sent[d.lease.Count]; ok {
		d.until = sent.Add(m.o.LeaseDuration)
		maps.DeleteFunc(d.sent, func(count uint64, _ time.Time) bool { return count <= d.lease.Count })
	}
	return nil
}

// prepare builds the transaction of a round, with or without takeovers.
func (m *Manager) prepare(contend bool) provider.Txn {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	txn := provider.Txn{OperationID: ident.New()}
	var own, free, unclaimed []*duty
	for _, name := range m.o.Duties {
		d := m.duties[name]
		idle := now.Sub(d.since)
		switch {
		case d.own(m.o.Holder):
			own = append(own, d)
		case d.lease.Holder != "" && idle <= m.o.LeaseDuration+m.o.Margin:
		case idle > 2*m.o.LeaseDuration+m.o.Margin:
			unclaimed = append(unclaimed, d)
		default:
			free = append(free, d)
		}
	}
	if m.stopping {
		for _, d := range own {
			m.release(&txn, d)
		}
		return txn
	}
	if len(own) > m.limit {
		m.release(&txn, own[len(own)-1])
		own = own[:len(own)-1]
	}
	for _, d := range own {
		m.renew(&txn, d, now)
	}
	if !contend {
		return txn
	}
	for _, d := range unclaimed {
		m.takeOver(&txn, d, now)
	}
	// Contenders begin at different duties, so that they seldom conflict.
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	room := max(m.limit-len(own)-len(unclaimed), 0)
	for _, d := range slices.Clip(free)[:min(room, len(free))] {
		m.takeOver(&txn, d, now)
	}
	return txn
}

func (m *Manager) renew(txn *provider.Txn, d *duty, now time.Time) {
	m.writeLease(txn, d, m.o.Holder, now)
}

// release makes the lease free at once, for others and for this process.
func (m *Manager) release(txn *provider.Txn, d *duty) {
	m.writeLease(txn, d, "", time.Time{})
	d.until = time.Time{}
}

func (m *Manager) takeOver(txn *provider.Txn, d *duty, now time.Time) {
	m.writeLease(txn, d, m.o.Holder, now)
	next := fenceRow{Token: d.fence.Token + 1, Holder: m.o.Holder}
	txn.Checks = append(txn.Checks, provider.Check{Key: fencePrefix + d.name, Version: d.fenceVersion})
	txn.Writes = append(txn.Writes, provider.Write{Key: fencePrefix + d.name, Value: encode(next)})
}

// writeLease adds the write of a lease row. The term counts from now, before the transaction is sent.
func (m *Manager) writeLease(txn *provider.Txn, d *duty, holder string, now time.Time) {
	// Counts are not used again, so that the count in the row tells which of several renewals took effect.
	d.count = max(d.count, d.lease.Count) + 1
	if holder != "" {
		// A renewal that took longer than the term is of no use.
		maps.DeleteFunc(d.sent, func(_ uint64, at time.Time) bool { return now.Sub(at) >= m.o.LeaseDuration })
		d.sent[d.count] = now
	}
	txn.Checks = append(txn.Checks, provider.Check{Key: leasePrefix + d.name, Version: d.leaseVersion})
	txn.Writes = append(txn.Writes, provider.Write{Key: leasePrefix + d.name, Value: encode(leaseRow{Holder: holder, Count: d.count})})
}
