package duty_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/lease"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/wave"
)

// TestOperationsRefuse guards against accepting operators' requests that can never succeed, and against refusals
// without a reason.
func TestOperationsRefuse(t *testing.T) {
	table, fleet := standin.NewTable(), newFakeFleet(time.Second)
	pools := []pool.Pool{mustPool(pool.Spec{Name: "desk", MaxUnavailable: "50%"}), mustPool(pool.Spec{Name: "office", MaxUnavailable: "1"})}
	fleet.addPool(table, "desk", 3)
	fleet.addPool(table, "office", 3)
	ops := duty.NewOperations(duty.OperationsOptions{
		Table: table, Instances: fleet, Pools: func() []pool.Pool { return pools }, HasTeam: func(name string) bool { return name == "planning" },
	})
	ctx := context.Background()
	fits := job.Spec{Kind: "k", Team: "planning", Cores: 1, Memory: 1}
	submit := func(change func(*job.Spec)) func() error {
		return func() error {
			spec := fits
			change(&spec)
			_, err := ops.SubmitJob(ctx, spec)
			return err
		}
	}
	assign := func(id, name string) func() error {
		return func() error { _, err := ops.AssignInstance(ctx, id, name); return err }
	}
	tests := map[string]struct {
		call     func() error
		want     string
		notFound bool
	}{
		"too many cores":      {call: submit(func(s *job.Spec) { s.Cores = 65 }), want: `.*larger than every worker in data centre "dc0": 65 cores, .*`},
		"accelerators":        {call: submit(func(s *job.Spec) { s.Accelerators = 1 }), want: `.*larger than every worker .*`},
		"unknown team":        {call: submit(func(s *job.Spec) { s.Team = "x" }), want: `.*unknown team "x"`},
		"unknown data centre": {call: submit(func(s *job.Spec) { s.DataCentre = "dc9" }), want: `.*data centre "dc9" has no workers`},
		"no memory":           {call: submit(func(s *job.Spec) { s.Memory = 0 }), want: `.*memory 0 is not greater than 0`},
		"unknown pool":        {call: assign("desk-000", "dusk"), want: `.*unknown pool "dusk"`},
		"unknown instance":    {call: assign("x", "desk"), want: `.*the platform lists no instance "x"`},
		"remove a live one":   {call: func() error { return ops.RemoveInstance(ctx, "desk-000") }, want: `.*instance "desk-000" is live according to the platform`},
		"wave action":         {call: func() error { _, err := ops.ChangeWave(ctx, "w", "stop"); return err }, want: `.*action "stop" is none of pause, resume and abort`},
		"unknown wave":        {call: func() error { _, err := ops.GetWave(ctx, "w"); return err }, want: `wave "w": not found`, notFound: true},
		"unknown job":         {call: func() error { _, err := ops.CancelJob(ctx, "dc0.x"); return err }, want: `job "dc0.x": not found`, notFound: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := tt.call()
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
			qt.Assert(t, errors.Is(err, provider.ErrNotFound), qt.Equals, tt.notFound)
			qt.Assert(t, errors.Is(err, duty.ErrInvalid), qt.Equals, !tt.notFound)
		})
	}
	moved, err := ops.AssignInstance(ctx, "desk-000", "office")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, moved.State, qt.Equals, pool.StateMoving)
	again, err := ops.AssignInstance(ctx, "desk-000", "office")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Generation, qt.Equals, moved.Generation)
	fleet.addPool(table, "deleted", 1)
	_, err = ops.AssignInstance(ctx, "deleted-000", "office")
	qt.Assert(t, err, qt.IsNil)
	_, err = ops.AssignInstance(ctx, "desk-001", "office")
	qt.Assert(t, err, qt.ErrorMatches, `.*pool "desk" has 1 of 3 instances out of service, and its budget allows no more in the pool, rack or data centre of "desk-001": try again later`)
}

// TestRunnersTakeOver guards against a wave that stops, or reboots instances twice, when the entry instance that
// runs it disappears halfway. The leases are real ones of package lease.
func TestRunnersTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, fleet := standin.NewTable(), newFakeFleet(time.Second)
		pools := []pool.Pool{mustPool(pool.Spec{Name: "desk", MaxUnavailable: "2"}), mustPool(pool.Spec{Name: "office", MaxUnavailable: "1"})}
		fleet.addPool(table, "desk", 8)
		fleet.addPool(table, "office", 4)
		begin := func(holder string) (stop func()) {
			manager := lease.NewManager(lease.Options{Table: table, Holder: holder, Duties: duty.Names([]string{"dc0"})})
			qt.Assert(t, manager.Start(t.Context()), qt.IsNil)
			runner := duty.NewRunner(duty.Options{Leases: duty.LeasesFromManager(manager)},
				duty.NewFleet(duty.FleetOptions{Table: table, Instances: fleet, Pools: func() []pool.Pool { return pools }}))
			qt.Assert(t, runner.Start(t.Context()), qt.IsNil)
			return func() {
				qt.Assert(t, runner.Stop(context.Background()), qt.IsNil)
				qt.Assert(t, manager.Stop(context.Background()), qt.IsNil)
			}
		}
		stopFirst, stopSecond := begin("a/1"), begin("b/1")
		time.Sleep(30 * time.Second)
		createWave(t, table, wave.Spec{Name: "w"}, pools, listInstances(t, table))
		time.Sleep(100 * time.Second)
		stopFirst()
		for range 1000 {
			for _, p := range pools {
				n, size := countDown(table, p.Name())
				qt.Assert(t, n <= p.MaxUnavailable(size), qt.IsTrue)
			}
			time.Sleep(time.Second)
		}
		qt.Assert(t, waveState(t, table, "w"), qt.Equals, wave.StateDone)
		qt.Assert(t, fleet.interrupted, qt.HasLen, 0)
		for id, m := range fleet.instances {
			qt.Assert(t, m.reboots, qt.Equals, 1, qt.Commentf("%s", id))
		}
		stopSecond()
	})
}
