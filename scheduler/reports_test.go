package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/work"
)

// listInstances gives each worker of a crowd an instance.
func (r *crowdRig) listInstances() {
	var list []instance.Instance
	for id, ws := range r.core.workers {
		list = append(list, instance.Instance{ID: "i" + id, Pool: "p", State: instance.Up, Capacity: ws.report.Capacity, Worker: id})
	}
	r.core.SetInstances(list, r.now)
}

// TestLoadReports guards against a team whose jobs are refused because of the crowd of another one, against a crowd that is admitted without
// bounds, and against reports that the configuration or the settings do not call for.
func TestLoadReports(t *testing.T) {
	features := serving.Scheduling{TeamShares: true, Admission: true}
	r := newCrowdRig(t, crowdWeight, features)
	qt.Assert(t, r.core.loadReports().queues, qt.HasLen, 0)
	r.listInstances()
	decide := func(team string, request work.Resources) admission.Outcome {
		reports := r.core.loadReports()
		q, _ := r.core.catalog.Queue("q")
		job := work.Job{ID: "a", Team: team, Steps: []work.Step{{Count: 4, Request: request, Estimate: time.Second}}}
		return admission.Decide(reports.queues["q"], r.now-reports.at, q, &job).Outcome()
	}
	one := work.Resources{CPU: 1000}
	qt.Assert(t, decide("t0", one), qt.Equals, admission.Admitted)
	qt.Assert(t, decide("t0", work.Resources{CPU: 4001}), qt.Equals, admission.NeverFits)
	for i := range 3000 {
		r.submit("t0", i, rand.New(rand.NewPCG(0, uint64(i))))
	}
	r.step()
	qt.Assert(t, decide("t0", one), qt.Equals, admission.Overloaded)
	qt.Assert(t, decide("t1", one), qt.Equals, admission.Admitted)

	for name, test := range map[string]struct {
		weight   float64
		features serving.Scheduling
	}{
		"no weights":   {0, features},
		"switched off": {crowdWeight, serving.Scheduling{TeamShares: true}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrowdRig(t, test.weight, test.features)
			r.listInstances()
			r.submit("t0", 0, rand.New(rand.NewPCG(0, 0)))
			qt.Assert(t, r.core.loadReports().queues, qt.HasLen, 0)
		})
	}
}

// BenchmarkLoadReports measures the reports of a leader with 3,700 workers and a backlog.
func BenchmarkLoadReports(b *testing.B) {
	const workers = 3700
	c, now := benchCore(workers, workers*8)
	c.options.Features = serving.Scheduling{TeamShares: true, Admission: true}
	list := make([]instance.Instance, 0, workers)
	for id, ws := range c.workers {
		list = append(list, instance.Instance{ID: fmt.Sprint("i", id), Pool: ws.report.Pool, State: instance.Up, Capacity: ws.report.Capacity, Worker: id})
	}
	c.SetInstances(list, now)
	c.SetCatalog(weightedCatalog(c.catalog.Queues))
	c.Schedule(now)
	b.ReportAllocs()
	for b.Loop() {
		c.loadReports()
	}
}
