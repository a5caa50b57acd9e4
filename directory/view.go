package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

// generationBits is the number of low bits that hold the row's generation in the incarnation given to the dispatcher.
const generationBits = 20

// view is the state of the directory. Only the goroutine of [Directory.run] uses it.
type view struct {
	dispatcher Dispatcher
	members    func() []endpoint.Member
	quotas     *endpoint.Quotas

	rows    map[string]pool.Instance
	reports map[string]provider.Instance
	// cachedQuotas caches this entry instance's quota of the slots of each endpoint. Computing it for 3,700 endpoints
	// at each publication would cost more than all the rest of the directory.
	cachedQuotas map[string]int
	lastMembers  []endpoint.Member
	stable       bool
	// rowsRead is set once the rows have been read, and hasQuotas once this entry instance has its quota of the slots.
	rowsRead  bool
	hasQuotas bool
	// lastPublished holds the endpoints of each pool that the dispatcher received last.
	lastPublished map[string][]endpoint.Endpoint
}

func newView(o Options) *view {
	return &view{
		dispatcher:    o.Dispatcher,
		members:       o.Members,
		quotas:        endpoint.NewQuotas(o.Self, o.StabilityDelay),
		rows:          make(map[string]pool.Instance),
		reports:       make(map[string]provider.Instance),
		cachedQuotas:  make(map[string]int),
		lastPublished: make(map[string][]endpoint.Endpoint),
	}
}

// replaceRows replaces all rows, except those that were announced with a later generation.
func (v *view) replaceRows(rows []pool.Stored, reports map[string]provider.Instance) {
	next := make(map[string]pool.Instance, len(rows))
	for _, row := range rows {
		next[row.ID] = row.Instance
		if known, ok := v.rows[row.ID]; ok && known.Generation > row.Generation {
			next[row.ID] = known
		}
	}
	v.rows = next
	v.reports = reports
	v.rowsRead = true
}

// ready reports whether endpoints and quotas are known, so that work can be dispatched.
func (v *view) ready() bool { return v.rowsRead && v.hasQuotas }

// applyAnnouncement applies changed rows. It ignores rows of an earlier generation than the known one, since an announcement
// can arrive after a later generation was read.
func (v *view) applyAnnouncement(changed []pool.Instance) {
	for _, instance := range changed {
		if known, ok := v.rows[instance.ID]; ok && known.Generation < instance.Generation {
			v.rows[instance.ID] = instance
		}
	}
}

// clearPublished makes the next call of publish send all endpoints again.
func (v *view) clearPublished() { clear(v.lastPublished) }

func (v *view) stateCounts() map[string]int {
	counts := make(map[string]int)
	for _, row := range v.rows {
		counts[string(row.State)]++
	}
	return counts
}

// publish sends the endpoints of each pool whose endpoints have changed to the dispatcher.
func (v *view) publish(now time.Time) {
	v.refreshQuotas(now)
	next := make(map[string][]endpoint.Endpoint, len(v.lastPublished))
	for name := range v.lastPublished {
		next[name] = nil
	}
	for _, id := range slices.Sorted(maps.Keys(v.rows)) {
		row := v.rows[id]
		report, ok := v.reports[id]
		if !ok || report.Address == "" || report.State == provider.InstanceGone {
			continue
		}
		next[row.Pool] = append(next[row.Pool], v.newEndpoint(now, row, report))
	}
	for name, endpoints := range next {
		if !slices.Equal(endpoints, v.lastPublished[name]) {
			v.dispatcher.SetEndpoints(name, endpoints)
			v.lastPublished[name] = endpoints
		}
	}
}

// refreshQuotas discards the cached quotas when the membership has changed or has become stable.
func (v *view) refreshQuotas(now time.Time) {
	members := v.members()
	v.quotas.Update(now, members)
	stable := v.quotas.Stable(now)
	if stable == v.stable && slices.Equal(members, v.lastMembers) {
		return
	}
	v.stable = stable
	v.hasQuotas = v.hasQuotas || stable
	v.lastMembers = members
	clear(v.cachedQuotas)
}

// newEndpoint returns the endpoint of an instance for the dispatcher.
func (v *view) newEndpoint(now time.Time, row pool.Instance, report provider.Instance) endpoint.Endpoint {
	quota, ok := v.cachedQuotas[row.ID]
	if !ok {
		quota = v.quotas.Quota(now, slotCount(report), row.ID, report.DataCentre)
		v.cachedQuotas[row.ID] = quota
	}
	return endpoint.Endpoint{
		ID:         row.ID,
		DataCentre: report.DataCentre,
		Address:    report.Address,
		// An instance that serves again after a cancelled drain has the same incarnation. The generation makes
		// the dispatcher treat it as a new endpoint, which is no longer leaving.
		Incarnation: report.Incarnation<<generationBits | row.Generation,
		Quota:       quota,
		Leaving:     row.State != pool.StateServing || isLeaving(row, report),
	}
}

// isLeaving reports whether the platform's list shows the instance as leaving. The list lags behind the rows:
// an entry from before the instance last returned to service is ignored.
func isLeaving(row pool.Instance, report provider.Instance) bool {
	return report.State == provider.InstanceLeaving &&
		report.Incarnation >= row.Incarnation && report.Reported.After(row.ReportBaseline)
}

func slotCount(report provider.Instance) int {
	if report.Slots > 0 {
		return report.Slots
	}
	return endpoint.SlotsPerEndpoint
}
