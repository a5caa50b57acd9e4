package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/intake"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/refusal"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// weightedDecoder adds a team with a weight to the configuration.
type weightedDecoder struct{ fakeDecoder }

func (d weightedDecoder) DecodeConfig(value []byte) (*catalog.Catalog, error) {
	c, err := d.fakeDecoder.DecodeConfig(value)
	return catalog.New(c.Version, 0, c.Queues, []catalog.Pool{{Name: "p"}, {Name: "spare", Spare: true}}, []catalog.Team{{Name: "t", Weight: 2}}), err
}

// oneInstance is a fleet with the instance of the worker.
type oneInstance struct{ noInstances }

func (oneInstance) List(context.Context) ([]instance.Instance, error) {
	return []instance.Instance{{ID: "i1", Pool: "p", State: instance.Up, DataCentre: "z0", Capacity: work.Resources{CPU: 8000, Memory: 8000}, Worker: "w1"}}, nil
}

// TestRefuseOnAnyNode guards against a refusal that only the leader can decide on, and against one of a job that is stored already: the
// replies of the leader carry its reports.
func TestRefuseOnAnyNode(t *testing.T) {
	serve, err := serving.Parse([]byte("scheduling:\n  admission: true\n"))
	qt.Assert(t, err, qt.IsNil)
	c := newClusterWith(t, 2, func(s store.Store) store.Store { return s }, func(s *Settings, d *Dependencies) {
		s.Serving, d.Decoder, d.Instances = serve, weightedDecoder{}, oneInstance{}
	})
	for _, n := range c.nodes {
		defer func() { _ = n.Stop(context.Background()) }()
	}
	for i, n := range c.nodes {
		eventually(t, 5*time.Second, func() bool { return n.Ready(t.Context()) == nil })
		a, outcome := n.intake.Admit("h", "/q/x", "")
		qt.Assert(t, outcome, qt.Equals, intake.OK)
		large := work.Job{Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 8001}, Estimate: fakeRunTime}}}
		attempt := 0
		// Jobs that fit bring reports. Until the first one, any job is accepted.
		eventually(t, 10*time.Second, func() bool {
			attempt++
			c.submit(t, n, fmt.Sprintf("%d%015x", i, attempt))
			_, _, ok := n.peers.LoadReport("q")
			return ok
		})
		large.ID = fmt.Sprintf("%d%015x", i, 0xfffff)
		outcome, retryAfter := n.intake.Submit(t.Context(), a, large)
		qt.Assert(t, outcome, qt.Equals, intake.NeverFits)
		qt.Assert(t, retryAfter >= time.Minute, qt.IsTrue)
		_, outcome = n.intake.State(t.Context(), a, large.ID)
		qt.Assert(t, outcome, qt.Equals, intake.NoJob)
		large.ID = fmt.Sprintf("%d%015x", i, 1)
		outcome, _ = n.intake.Submit(t.Context(), a, large)
		qt.Assert(t, outcome, qt.Equals, intake.OK)
	}
}

// TestRefuseThroughRelay guards against a job that is taken for one that is stored because the node that relays a submission does not tell which
// row has caused the conflict.
func TestRefuseThroughRelay(t *testing.T) {
	c := newClusterWith(t, 2, func(s store.Store) store.Store { return s }, func(*Settings, *Dependencies) {})
	for _, n := range c.nodes {
		defer func() { _ = n.Stop(context.Background()) }()
	}
	cut := c.nodes[1]
	eventually(t, 5*time.Second, func() bool {
		return c.nodes[0].Ready(t.Context()) == nil && cut.Ready(t.Context()) == nil && len(cut.peers.nearestPeers()) > 0
	})
	const id = "0000000000000001"
	now, known := cut.clock.Now()
	qt.Assert(t, known, qt.IsTrue)
	tx, err := refusal.Write(rowkeys.Job(id), 0, refusal.New(admission.NeverFits, now, time.Minute))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.store.Commit(t.Context(), tx)
	qt.Assert(t, err, qt.IsNil)
	a, outcome := cut.intake.Admit("h", "/q/"+id, "")
	qt.Assert(t, outcome, qt.Equals, intake.OK)
	c.stores[1].Disconnect(store.ErrNotDone)
	job := work.Job{ID: id, Steps: []work.Step{{Count: 1, Estimate: fakeRunTime}}}
	outcome, retryAfter := cut.intake.Submit(t.Context(), a, job)
	qt.Assert(t, outcome, qt.Equals, intake.NeverFits)
	qt.Assert(t, retryAfter > time.Second, qt.IsTrue)

	// An attempt that arrives after the refusal is accepted through the same relay.
	a.ArrivedAt += time.Minute
	outcome, _ = cut.intake.Submit(t.Context(), a, job)
	qt.Assert(t, outcome, qt.Equals, intake.OK)
	outcome, _ = cut.intake.Submit(t.Context(), a, job)
	qt.Assert(t, outcome, qt.Equals, intake.OK)
}
