package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

// generationBits is the room for the row's generation in the incarnation that the dispatcher sees.
const generationBits = 20

// view is what the directory knows. It belongs to the task of the directory.
type view struct {
	dispatcher Dispatcher
	members    func() []endpoint.Member
	quotas     *endpoint.Quotas

	rows    map[string]pool.Instance
	reports map[string]provider.Instance
	// parts caches the slots of each endpoint. Splitting them for 3,700 endpoints at each
	// publication would cost more than all the rest of the directory.
	parts       map[string]int
	lastMembers []endpoint.Member
	stable      bool
	// read says that the rows were read, and joined that this entry instance got its part of the slots.
	read   bool
	joined bool
	// published is what the dispatcher was told last.
	published map[string][]endpoint.Endpoint
}

func newView(o Options) *view {
	return &view{
		dispatcher: o.Dispatcher,
		members:    o.Members,
		quotas:     endpoint.NewQuotas(o.Self, o.StabilityDelay),
		rows:       make(map[string]pool.Instance),
		reports:    make(map[string]provider.Instance),
		parts:      make(map[string]int),
		published:  make(map[string][]endpoint.Endpoint),
	}
}

// replace takes all rows. A row that was announced with a later generation stays.
func (v *view) replace(rows []pool.Stored, reports map[string]provider.Instance) {
	next := make(map[string]pool.Instance, len(rows))
	for _, row := range rows {
		next[row.ID] = row.Instance
		if known, ok := v.rows[row.ID]; ok && known.Generation > row.Generation {
			next[row.ID] = known
		}
	}
	v.rows = next
	v.reports = reports
	v.read = true
}

// complete reports whether work can be dispatched.
func (v *view) complete() bool { return v.read && v.joined }

// announce takes changed rows. An announcement can arrive late, after a later generation was read.
func (v *view) announce(changed []pool.Instance) {
	for _, instance := range changed {
		if known, ok := v.rows[instance.ID]; ok && known.Generation < instance.Generation {
			v.rows[instance.ID] = instance
		}
	}
}

// forgetPublished makes the next publication tell everything again.
func (v *view) forgetPublished() { clear(v.published) }

func (v *view) counts() map[string]int {
	counts := make(map[string]int)
	for _, row := range v.rows {
		counts[string(row.State)]++
	}
	return counts
}

// publish tells the dispatcher the endpoints of each pool that has changed.
func (v *view) publish(now time.Time) {
	v.refreshQuotas(now)
	next := make(map[string][]endpoint.Endpoint, len(v.published))
	for name := range v.published {
		next[name] = nil
	}
	for _, id := range slices.Sorted(maps.Keys(v.rows)) {
		row := v.rows[id]
		report, ok := v.reports[id]
		if !ok || report.Address == "" || report.State == provider.InstanceGone {
			continue
		}
		next[row.Pool] = append(next[row.Pool], v.endpointOf(now, row, report))
	}
	for name, endpoints := range next {
		if !slices.Equal(endpoints, v.published[name]) {
			v.dispatcher.SetEndpoints(name, endpoints)
			v.published[name] = endpoints
		}
	}
}

// refreshQuotas forgets the cached parts when the membership has changed or has become stable.
func (v *view) refreshQuotas(now time.Time) {
	members := v.members()
	v.quotas.Update(now, members)
	stable := v.quotas.Stable(now)
	if stable == v.stable && slices.Equal(members, v.lastMembers) {
		return
	}
	v.stable = stable
	v.joined = v.joined || stable
	v.lastMembers = members
	clear(v.parts)
}

func (v *view) endpointOf(now time.Time, row pool.Instance, report provider.Instance) endpoint.Endpoint {
	part, ok := v.parts[row.ID]
	if !ok {
		part = v.quotas.Quota(now, slotsOf(report), row.ID, report.DataCentre)
		v.parts[row.ID] = part
	}
	return endpoint.Endpoint{
		ID:         row.ID,
		DataCentre: report.DataCentre,
		Address:    report.Address,
		// A row that serves again after a cancelled drain has the same incarnation. With its generation
		// the endpoint counts as new, so that it is no longer treated as leaving.
		Incarnation: report.Incarnation<<generationBits | row.Generation,
		Quota:       part,
		Leaving:     row.State != pool.StateServing || isLeaving(row, report),
	}
}

// isLeaving reports whether the list says that the instance leaves. The list lags: an entry from before
// the last return to service says nothing about the present.
func isLeaving(row pool.Instance, report provider.Instance) bool {
	return report.State == provider.InstanceLeaving &&
		report.Incarnation >= row.Incarnation && report.Reported.After(row.ReportBaseline)
}

func slotsOf(report provider.Instance) int {
	if report.Slots > 0 {
		return report.Slots
	}
	return endpoint.SlotsPerEndpoint
}
