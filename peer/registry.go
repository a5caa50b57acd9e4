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
	// maxRegistrations bounds a scan of the registrations.
	maxRegistrations = 1000
	// staleAfter is how long a registration may stay unchanged, in monotonic time of this process, before it is deleted.
	// An instance that was only unreachable writes it again.
	staleAfter = 5 * time.Minute
)

// registration is the content of the row of an entry instance.
type registration struct {
	ID          string `json:"id"`
	DataCentre  string `json:"dataCentre"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Renewal counts the renewals, so that the row changes as long as the instance runs.
	Renewal uint64 `json:"renewal"`
}

// registry reads and writes the registrations of entry instances in the table. It is not safe for concurrent use.
type registry struct {
	table    provider.Table
	logger   hclog.Logger
	observed map[string]observedRow
}

type observedRow struct {
	version   uint64
	firstRead time.Time
}

func newRegistry(table provider.Table, logger hclog.Logger) *registry {
	return &registry{table: table, logger: logger, observed: make(map[string]observedRow)}
}

// nextIncarnation returns an incarnation that is greater than those of earlier processes with the ID.
// If the table cannot be read, only the wall clock is used, which is wrong if the clock was set back since.
func (r *registry) nextIncarnation(ctx context.Context, id string) uint64 {
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

// renew writes the registration of this instance and returns those of the others.
func (r *registry) renew(ctx context.Context, self hello) ([]registration, error) {
	rows, err := r.table.Scan(ctx, entryPrefix, "", maxRegistrations)
	if err != nil {
		return nil, err
	}
	own := registration{ID: self.ID, DataCentre: self.DataCentre, Address: self.Address, Incarnation: self.Incarnation, Renewal: 1}
	var version uint64
	others := make([]registration, 0, len(rows))
	for _, row := range rows {
		var reg registration
		if err := json.Unmarshal(row.Value, &reg); err != nil {
			r.logger.Warn("Registration cannot be decoded.", "row", row.Key, "error", err)
			continue
		}
		if reg.ID != self.ID {
			others = append(others, reg)
			r.deleteIfStale(ctx, row)
			continue
		}
		if reg.Incarnation > self.Incarnation {
			r.logger.Error("A later process uses the ID of this instance; its registration is kept.", "id", self.ID, "incarnation", reg.Incarnation)
			return others, nil
		}
		version, own.Renewal = row.Version, reg.Renewal+1
	}
	value, err := json.Marshal(own)
	if err != nil {
		return nil, err
	}
	key := entryPrefix + self.ID
	return others, r.table.Commit(ctx, provider.Txn{
		OperationID: ident.New(),
		Checks:      []provider.Check{{Key: key, Version: version}},
		Writes:      []provider.Write{{Key: key, Value: value}},
	})
}

// deleteIfStale deletes a registration that has not been renewed for staleAfter.
func (r *registry) deleteIfStale(ctx context.Context, row provider.Row) {
	now := time.Now()
	if last, ok := r.observed[row.Key]; !ok || last.version != row.Version {
		r.observed[row.Key] = observedRow{version: row.Version, firstRead: now}
		return
	}
	if now.Sub(r.observed[row.Key].firstRead) < staleAfter {
		return
	}
	delete(r.observed, row.Key)
	r.deleteRow(ctx, row)
}

// deleteOwn deletes the registration of this process.
func (r *registry) deleteOwn(ctx context.Context, self hello) {
	if r.table == nil {
		return
	}
	rows, err := r.table.Read(ctx, entryPrefix+self.ID)
	if err != nil || len(rows) == 0 {
		return
	}
	var reg registration
	if json.Unmarshal(rows[0].Value, &reg) == nil && reg.Incarnation == self.Incarnation {
		r.deleteRow(ctx, rows[0])
	}
}

func (r *registry) deleteRow(ctx context.Context, row provider.Row) {
	err := r.table.Commit(ctx, provider.Txn{
		OperationID: ident.New(),
		Checks:      []provider.Check{{Key: row.Key, Version: row.Version}},
		Writes:      []provider.Write{{Key: row.Key, Delete: true}},
	})
	if err != nil {
		r.logger.Debug("Registration was not deleted.", "row", row.Key, "error", err)
	}
}

// renewRegistration renews the registration until the node leaves, and updates the addresses to dial from those of the others.
func (n *Node) renewRegistration(ctx context.Context) {
	for !n.leaving.Load() {
		others, err := n.renewOnce(ctx)
		if err != nil {
			n.logger.Debug("Registration was not renewed.", "error", err)
		}
		if others != nil {
			n.updateDialTargets(others)
		}
		if sleep(ctx, n.options.RenewalInterval) != nil {
			return
		}
	}
}

func (n *Node) renewOnce(ctx context.Context) ([]registration, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.RenewalInterval)
	defer cancel()
	return n.registry.renew(ctx, n.self)
}
