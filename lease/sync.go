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

// Start acquires leases and renews them in the background until Stop. It returns nil after the first attempt, even if
// the leases could not be read or written.
func (m *Manager) Start(ctx context.Context) error {
	if err := m.Sync(ctx); err != nil {
		m.logger.Warn("Cannot acquire leases yet, will retry.", "error", err)
	}
	m.renewal.Start()
	return nil
}

// renewPeriodically synchronises at intervals that vary by up to a quarter, and soon after the lease of a peer has expired. A takeover that
// waited for the next interval would come up to 3 s later, beyond the 4 s that it may take after the lease and the margin.
func (m *Manager) renewPeriodically(ctx context.Context) {
	for {
		timer := time.NewTimer(m.nextPause())
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		m.syncAndLog(ctx)
	}
}

// takeoverJitter is the share of the interval over which processes spread takeovers of a lease that has expired.
const takeoverJitter = 0.1

// nextPause returns the time until the next synchronisation.
func (m *Manager) nextPause() time.Duration {
	pause := m.o.Interval*3/4 + rand.N(m.o.Interval/2)
	spread := time.Millisecond + time.Duration(takeoverJitter*rand.Float64()*float64(m.o.Interval))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, d := range m.duties {
		if d.lease.Holder == "" || d.assignedTo(m.o.Holder) {
			continue
		}
		if left := d.unchangedSince.Add(m.o.LeaseDuration + m.o.Margin).Sub(now); left >= 0 {
			pause = min(pause, left+spread)
		}
	}
	return pause
}

func (m *Manager) syncAndLog(ctx context.Context) {
	if err := m.Sync(ctx); err != nil && ctx.Err() == nil {
		m.logger.Debug("Cannot renew leases.", "error", err)
	}
}

// Stop releases all leases. The control loops of their duties must have ended before.
func (m *Manager) Stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.renewal.Stop()
	return m.Sync(ctx)
}

// Sync reads all leases. In one transaction it renews those that this process holds and takes over those that are free
// or have expired. [Manager.Start] calls it periodically.
func (m *Manager) Sync(ctx context.Context) error {
	m.syncMutex.Lock()
	defer m.syncMutex.Unlock()
	for repeat := 0; ; repeat++ {
		if err := m.readRows(ctx, m.o.Duties); err != nil {
			return err
		}
		// After two conflicts, only the leases of this process are renewed. Otherwise, contention for free leases
		// could make them expire.
		txn := m.buildTxn(repeat < 2)
		if len(txn.Writes) == 0 {
			return nil
		}
		err := m.o.Table.Commit(ctx, txn)
		if err == nil {
			// Guards need the new versions of the rows, which are known only from reading them.
			return m.readRows(ctx, m.o.Duties)
		}
		if !errors.Is(err, provider.ErrConflict) || repeat == maxConflictRetries {
			return err
		}
	}
}

// readRows reads the rows of the duties.
func (m *Manager) readRows(ctx context.Context, names []string) error {
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
		if err := m.updateDuty(m.duties[name], byKey[leasePrefix+name], byKey[fencePrefix+name], now); err != nil {
			return err
		}
	}
	return nil
}

// updateDuty updates a duty from its rows. A zero row means that there is no such row.
func (m *Manager) updateDuty(d *duty, leaseData, fenceData provider.Row, now time.Time) error {
	if d.unchangedSince.IsZero() {
		d.unchangedSince = now
	}
	if leaseData.Version != d.leaseVersion {
		var value leaseRow
		if err := decode(leaseData, &value); err != nil {
			return err
		}
		if value.Holder != m.o.Holder && d.heldBy(m.o.Holder, now) {
			m.logger.Warn("Duty was taken over by a peer before its lease expired.", "duty", d.name, "peer", value.Holder)
		}
		d.lease, d.leaseVersion, d.unchangedSince = value, leaseData.Version, now
	}
	if fenceData.Version != d.fenceVersion {
		if err := decode(fenceData, &d.fence); err != nil {
			return err
		}
		d.fenceVersion = fenceData.Version
	}
	if !d.assignedTo(m.o.Holder) {
		d.expiresAt = time.Time{}
		return nil
	}
	if sentTime, ok := d.sentAt[d.lease.Count]; ok {
		d.expiresAt = sentTime.Add(m.o.LeaseDuration)
		maps.DeleteFunc(d.sentAt, func(count uint64, _ time.Time) bool { return count <= d.lease.Count })
	}
	return nil
}

// buildTxn returns the transaction that renews and releases leases, and with takeovers also acquires some.
func (m *Manager) buildTxn(takeovers bool) provider.Txn {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	txn := provider.Txn{OperationID: ident.New()}
	var own, free, unclaimed []*duty
	for _, name := range m.o.Duties {
		d := m.duties[name]
		idle := now.Sub(d.unchangedSince)
		switch {
		case d.assignedTo(m.o.Holder):
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
			m.releaseLease(&txn, d)
		}
		return txn
	}
	if len(own) > m.limit {
		m.releaseLease(&txn, own[len(own)-1])
		own = own[:len(own)-1]
	}
	for _, d := range own {
		m.renewLease(&txn, d, now)
	}
	if !takeovers {
		return txn
	}
	for _, d := range unclaimed {
		m.takeOver(&txn, d, now)
	}
	// Each process tries the free leases in random order, so that conflicts between processes are rare.
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	vacancies := max(m.limit-len(own)-len(unclaimed), 0)
	for _, d := range slices.Clip(free)[:min(vacancies, len(free))] {
		m.takeOver(&txn, d, now)
	}
	return txn
}

func (m *Manager) renewLease(txn *provider.Txn, d *duty, now time.Time) {
	m.writeLease(txn, d, m.o.Holder, now)
}

// releaseLease adds the release of a lease to a transaction. This process treats the lease as released at once.
func (m *Manager) releaseLease(txn *provider.Txn, d *duty) {
	m.writeLease(txn, d, "", time.Time{})
	d.expiresAt = time.Time{}
}

func (m *Manager) takeOver(txn *provider.Txn, d *duty, now time.Time) {
	m.writeLease(txn, d, m.o.Holder, now)
	next := fenceRow{Token: d.fence.Token + 1, Holder: m.o.Holder}
	txn.Checks = append(txn.Checks, provider.Check{Key: fencePrefix + d.name, Version: d.fenceVersion})
	txn.Writes = append(txn.Writes, provider.Write{Key: fencePrefix + d.name, Value: encode(next)})
}

// writeLease adds the write of a lease row to a transaction. The lease duration starts at the time now, which is
// before the transaction is sent.
func (m *Manager) writeLease(txn *provider.Txn, d *duty, holder string, now time.Time) {
	// A count is never used twice, so that the count in the row tells which of several renewals took effect.
	d.count = max(d.count, d.lease.Count) + 1
	if holder != "" {
		// A renewal that was sent longer ago than the lease duration would have expired already.
		maps.DeleteFunc(d.sentAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= m.o.LeaseDuration })
		d.sentAt[d.count] = now
	}
	txn.Checks = append(txn.Checks, provider.Check{Key: leasePrefix + d.name, Version: d.leaseVersion})
	txn.Writes = append(txn.Writes, provider.Write{Key: leasePrefix + d.name, Value: encode(leaseRow{Holder: holder, Count: d.count})})
}
