package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/provider"
)

const (
	entryPrefix = "entry/"
	// maxEntries bounds a scan of the registrations.
	maxEntries = 1000
	// forgetRow is how long a registration stays unchanged, on the clock of this process, before it is deleted.
	// An instance that was only cut off writes it again.
	forgetRow = 5 * time.Minute
)

// registration is the row of an entry instance.
type registration struct {
	ID          string `json:"id"`
	DataCentre  string `json:"dataCentre"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Renewal grows while the instance runs.
	Renewal uint64 `json:"renewal"`
}

// registry reads and writes the registrations of entry instances in the table. One task uses it at a time.
type registry struct {
	table  provider.Table
	logger hclog.Logger
	seen   map[string]seenRow
}

type seenRow struct {
	version uint64
	since   time.Time
}

func newRegistry(table provider.Table, logger hclog.Logger) *registry {
	return &registry{table: table, logger: logger, seen: make(map[string]seenRow)}
}

// incarnation returns one that is greater than those of earlier processes with the ID.
// The clock is enough if the table cannot be read, unless it was set back since.
func (r *registry) incarnation(ctx context.Context, id string) uint64 {
	const timeout = time.Second
	next := uint64(time.Now().UnixMilli())
	if r.table == nil {
		return next
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rows, err := r.table.Read(ctx, entryPrefix+id)
	if err != nil || len(rows) == 0 {
		return next
	}
	var old registration
	if err := json.Unmarshal(rows[0].Value, &old); err != nil {
		return next
	}
	return max(next, old.Incarnation+1)
}

// renew writes the own registration and returns all registrations.
func (r *registry) renew(ctx context.Context, self hello) ([]registration, error) {
	rows, err := r.table.Scan(ctx, entryPrefix, "", maxEntries)
	if err != nil {
		return nil, err
	}
	own := registration{ID: self.ID, DataCentre: self.DataCentre, Address: self.Address, Incarnation: self.Incarnation, Renewal: 1}
	var version uint64
	all := make([]registration, 0, len(rows))
	for _, row := range rows {
		var reg registration
		if err := json.Unmarshal(row.Value, &reg); err != nil {
			r.logger.Warn("Registration cannot be decoded.", "row", row.Key, "error", err)
			continue
		}
		if reg.ID != self.ID {
			all = append(all, reg)
			r.forget(ctx, row)
			continue
		}
		if reg.Incarnation > self.Incarnation {
			r.logger.Error("A later process has the name of this one. Its registration stays.", "id", self.ID, "incarnation", reg.Incarnation)
			return all, nil
		}
		version, own.Renewal = row.Version, reg.Renewal+1
	}
	value, err := json.Marshal(own)
	if err != nil {
		return nil, err
	}
	key := entryPrefix + self.ID
	return all, r.table.Commit(ctx, provider.Txn{
		OperationID: ident.New(),
		Checks:      []provider.Check{{Key: key, Version: version}},
		Writes:      []provider.Write{{Key: key, Value: value}},
	})
}

// forget deletes the registration of a process that has not renewed it for long.
func (r *registry) forget(ctx context.Context, row provider.Row) {
	now := time.Now()
	if seen, ok := r.seen[row.Key]; !ok || seen.version != row.Version {
		r.seen[row.Key] = seenRow{version: row.Version, since: now}
		return
	}
	if now.Sub(r.seen[row.Key].since) < forgetRow {
		return
	}
	delete(r.seen, row.Key)
	r.delete(ctx, row)
}

// remove deletes the own registration.
func (r *registry) remove(ctx context.Context, self hello) {
	if r.table == nil {
		return
	}
	rows, err := r.table.Read(ctx, entryPrefix+self.ID)
	if err != nil || len(rows) == 0 {
		return
	}
	var reg registration
	if json.Unmarshal(rows[0].Value, &reg) == nil && reg.Incarnation == self.Incarnation {
		r.delete(ctx, rows[0])
	}
}

func (r *registry) delete(ctx context.Context, row provider.Row) {
	err := r.table.Commit(ctx, provider.Txn{
		OperationID: ident.New(),
		Checks:      []provider.Check{{Key: row.Key, Version: row.Version}},
		Writes:      []provider.Write{{Key: row.Key, Delete: true}},
	})
	if err != nil {
		r.logger.Debug("Registration was not deleted.", "row", row.Key, "error", err)
	}
}

// register renews the registration and learns the addresses of peers.
func (n *Node) register(ctx context.Context) {
	for !n.leaving.Load() {
		all, err := n.renewOnce(ctx)
		if err != nil {
			n.logger.Debug("Registration was not renewed.", "error", err)
		}
		if all != nil {
			n.keepTargets(all)
		}
		if pause(ctx, n.options.RenewalInterval) != nil {
			return
		}
	}
}

func (n *Node) renewOnce(ctx context.Context) ([]registration, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.RenewalInterval)
	defer cancel()
	return n.registry.renew(ctx, n.self)
}
