package standin_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

var caller = standin.Identity{Client: "entry-1", DataCentre: "east"}

func insert(key string) provider.Txn {
	return provider.Txn{
		OperationID: key,
		Checks:      []provider.Check{{Key: key}},
		Writes:      []provider.Write{{Key: key, Value: []byte("v")}},
	}
}

// TestFaults guards against faults that are not injected, and against errors that contradict whether the call took effect.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults    standin.Faults
		partition *standin.Identity
		want      error
		effect    bool // after the call
		later     bool // a second later
		elapsed   time.Duration
	}{
		"none":                     {effect: true, later: true},
		"down":                     {faults: standin.Faults{Down: true}, want: provider.ErrUnavailable},
		"slow":                     {faults: standin.Faults{Delay: 100 * time.Millisecond}, effect: true, later: true, elapsed: 50 * time.Millisecond},
		"slower than deadline":     {faults: standin.Faults{Delay: 10 * time.Second}, want: provider.ErrUnknownOutcome, elapsed: 300 * time.Millisecond},
		"lost response":            {faults: standin.Faults{LoseResponse: 1}, want: provider.ErrUnknownOutcome, effect: true, later: true},
		"late":                     {faults: standin.Faults{Late: 1, LateBy: 200 * time.Millisecond}, want: provider.ErrUnknownOutcome, later: true},
		"client partitioned":       {partition: &standin.Identity{Client: "entry-1"}, want: provider.ErrUnavailable},
		"other client partitioned": {partition: &standin.Identity{Client: "entry-2"}, effect: true, later: true},
		"data centre partitioned":  {partition: &standin.Identity{DataCentre: "east"}, want: provider.ErrUnavailable},
	}
	for name, tt := range tests {
		run := func(t *testing.T, p *standin.Platform, table provider.Table) {
			p.SetFaults(tt.faults)
			if tt.partition != nil {
				p.Partition(*tt.partition)
			}
			// The deadline counts from before the context is made.
			begin := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			err := table.Commit(ctx, insert("k"))
			qt.Check(t, err, qt.ErrorIs, tt.want)
			qt.Check(t, time.Since(begin) >= tt.elapsed, qt.IsTrue)
			for _, want := range []bool{tt.effect, tt.later} {
				rows, err := p.Table().Read(t.Context(), "k")
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, len(rows) == 1, qt.Equals, want)
				time.Sleep(time.Second)
			}
			_, err = table.Read(t.Context(), "k")
			qt.Check(t, errors.Is(err, provider.ErrUnknownOutcome), qt.IsFalse)
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := standin.New(standin.Options{})
				run(t, p, p.Client(caller).Table())
			})
		})
		t.Run(name+", HTTP", func(t *testing.T) {
			t.Parallel()
			p := standin.New(standin.Options{})
			server, err := standin.Serve(p, "127.0.0.1:0", hclog.NewNullLogger())
			qt.Assert(t, err, qt.IsNil)
			defer server.Stop(context.Background())
			remote := standin.NewRemote(standin.RemoteOptions{Address: server.Address(), Identity: caller})
			defer remote.Close()
			run(t, p, remote.Table())
		})
	}
}

// TestDuplicate guards against a duplicate that does not arrive. Tests of version checks would then test nothing.
func TestDuplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Options{})
		p.SetFaults(standin.Faults{Duplicate: 1, LateBy: time.Second})
		table := p.Client(caller).Table()
		qt.Assert(t, table.Commit(t.Context(), insert("k")), qt.IsNil)
		qt.Assert(t, p.Table().Commit(t.Context(), provider.Txn{Writes: []provider.Write{{Key: "k", Delete: true}}}), qt.IsNil)
		time.Sleep(2 * time.Second)
		rows, err := p.Table().Read(t.Context(), "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, rows, qt.HasLen, 1)
	})
}

// fakeDriver is a driver that only records what it is called with.
type fakeDriver struct {
	inFlight    atomic.Int64
	draining    atomic.Bool
	incarnation atomic.Uint64
}

func (m *fakeDriver) Start(incarnation uint64) error { m.incarnation.Store(incarnation); return nil }
func (m *fakeDriver) Drain()                         { m.draining.Store(true) }
func (m *fakeDriver) Undrain()                       { m.draining.Store(false) }
func (m *fakeDriver) InFlight() int                  { return int(m.inFlight.Load()) }
func (m *fakeDriver) Reboot(incarnation uint64) error {
	time.Sleep(5 * time.Second)
	m.draining.Store(false)
	return m.Start(incarnation)
}

// TestDrainAndReboot guards against a stand-in that reports a drain or a reboot that it did not pass to the driver.
func TestDrainAndReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := standin.New(standin.Options{ListLag: time.Second})
		list := p.Client(caller).Instances()
		m := &fakeDriver{}
		m.inFlight.Store(2)
		cursor := ""
		expect := func(state provider.InstanceState, incarnation uint64, inFlight int) {
			t.Helper()
			// The first call collects a report, and the second one returns it after the lag.
			time.Sleep(100 * time.Millisecond)
			_, err := list.List(ctx, cursor)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(1100 * time.Millisecond)
			got, err := list.List(ctx, cursor)
			qt.Assert(t, err, qt.IsNil)
			cursor = got.Cursor
			qt.Assert(t, got.Instances, qt.HasLen, 1)
			in := got.Instances[0]
			qt.Check(t, fmt.Sprint(in.State, in.Incarnation, in.InFlight), qt.Equals, fmt.Sprint(state, incarnation, inFlight))
		}
		qt.Assert(t, p.Instances().Add(provider.Instance{ID: "w"}, m), qt.IsNil)
		before, err := list.List(ctx, "")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, before.Instances, qt.HasLen, 0, qt.Commentf("entry appeared before its lag"))
		expect(provider.InstanceLive, 1, 2)
		qt.Assert(t, list.Drain(ctx, "w"), qt.IsNil)
		qt.Check(t, m.draining.Load(), qt.IsTrue)
		m.inFlight.Store(0)
		expect(provider.InstanceLeaving, 1, 0)
		qt.Assert(t, list.Reboot(ctx, "w", 1), qt.IsNil)
		qt.Assert(t, list.Reboot(ctx, "w", 1), qt.IsNil, qt.Commentf("a repeated reboot has no effect"))
		expect(provider.InstanceGone, 2, 0)
		time.Sleep(5 * time.Second)
		expect(provider.InstanceLive, 2, 0)
		qt.Check(t, m.incarnation.Load(), qt.Equals, uint64(2))
		qt.Check(t, list.Drain(ctx, "x"), qt.ErrorIs, provider.ErrNotFound)
	})
}

// TestListFaults guards against a list without faults. Tests of its users would then pass although the users need a complete
// list.
func TestListFaults(t *testing.T) {
	tests := map[string]struct {
		faults   standin.ListFaults
		min, max int
	}{
		"none":   {min: 100, max: 100},
		"lag":    {faults: standin.ListFaults{Lag: time.Minute}},
		"drop":   {faults: standin.ListFaults{Drop: 0.5}, min: 20, max: 80},
		"repeat": {faults: standin.ListFaults{Repeat: 1}, min: 101, max: 101},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := standin.New(standin.Options{Seed: 1})
			for i := range 100 {
				qt.Assert(t, p.Instances().Add(provider.Instance{ID: fmt.Sprint(i)}, nil), qt.IsNil)
			}
			p.SetFaults(standin.Faults{List: tt.faults})
			list, err := p.Client(caller).Instances().List(t.Context(), "")
			qt.Assert(t, err, qt.IsNil)
			n := len(list.Instances)
			qt.Check(t, n >= tt.min && n <= tt.max, qt.IsTrue, qt.Commentf("%d entries", n))
		})
	}
}

// TestTasks guards against tasks that outlive their lease, restart from the beginning despite a checkpoint, or accept an old token.
func TestTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		p := standin.New(standin.Options{StatusLag: time.Second})
		p.Tasks().SetBehaviour("dyeRun", standin.Behaviour{RunTime: 30 * time.Second, Cores: 3})
		p.Tasks().SetWorkerBroken("bad", true)
		tasks := p.Client(caller).Tasks()
		start := func(id, worker, checkpoint string, token uint64) error {
			return tasks.Start(ctx, provider.TaskSpec{ID: id, Job: "job", Token: token, Worker: worker, Kind: "dyeRun", Cores: 1, LeaseDuration: 10 * time.Second, Checkpoint: checkpoint})
		}
		state := func(id string) provider.TaskState {
			t.Helper()
			all, err := tasks.Status(ctx)
			qt.Assert(t, err, qt.IsNil)
			for _, s := range all {
				if s.ID == id {
					return s.State
				}
			}
			return "unknown"
		}
		qt.Assert(t, start("a", "w", "", 2), qt.IsNil)
		qt.Check(t, state("a"), qt.Equals, provider.TaskState("unknown"), qt.Commentf("status has no lag"))
		time.Sleep(9 * time.Second)
		qt.Assert(t, tasks.Renew(ctx, 2, "a"), qt.IsNil)
		time.Sleep(9 * time.Second)
		qt.Check(t, state("a"), qt.Equals, provider.TaskRunning)
		reference, err := tasks.Checkpoint(ctx, 2, "a")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * time.Second)
		qt.Check(t, state("a"), qt.Equals, provider.TaskStopped, qt.Commentf("lease expired"))
		qt.Check(t, start("b", "w", "", 1), qt.ErrorIs, provider.ErrConflict)
		qt.Assert(t, start("c", "w", reference, 3), qt.IsNil)
		qt.Check(t, tasks.Stop(ctx, 2, "c"), qt.ErrorIs, provider.ErrConflict)
		qt.Assert(t, tasks.Renew(ctx, 3, "c"), qt.IsNil)
		time.Sleep(9 * time.Second)
		qt.Assert(t, tasks.Renew(ctx, 3, "c"), qt.IsNil)
		time.Sleep(5 * time.Second)
		qt.Check(t, state("c"), qt.Equals, provider.TaskDone, qt.Commentf("18 s of 30 s were in the checkpoint"))
		qt.Assert(t, start("d", "bad", "", 3), qt.IsNil)
		time.Sleep(2 * time.Second)
		qt.Check(t, state("d"), qt.Equals, provider.TaskFailed)
	})
}

// TestRemote guards against a call whose arguments or results the HTTP protocol does not transmit completely.
func TestRemote(t *testing.T) {
	ctx := t.Context()
	p := standin.New(standin.Options{})
	server, err := standin.Serve(p, "127.0.0.1:0", hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	defer server.Stop(context.Background())
	r := standin.NewRemote(standin.RemoteOptions{Address: server.Address(), Identity: caller})
	defer r.Close()
	qt.Assert(t, r.Table().Commit(ctx, insert("k")), qt.IsNil)
	qt.Check(t, r.Table().Commit(ctx, insert("k")), qt.ErrorIs, provider.ErrConflict)
	rows, err := r.Table().Scan(ctx, "k", "", 10)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, rows, qt.DeepEquals, []provider.Row{{Key: "k", Value: []byte("v"), Version: 1}})
	qt.Assert(t, r.Objects().Put(ctx, "o", []byte("data")), qt.IsNil)
	data, err := r.Objects().Get(ctx, "o")
	qt.Check(t, string(data), qt.Equals, "data", qt.Commentf("%v", err))
	names, err := r.Objects().List(ctx, "")
	qt.Check(t, names, qt.DeepEquals, []string{"o"}, qt.Commentf("%v", err))
	qt.Assert(t, r.Objects().Delete(ctx, "o"), qt.IsNil)
	_, err = r.Objects().Get(ctx, "o")
	qt.Check(t, err, qt.ErrorIs, provider.ErrNotFound)
	qt.Assert(t, r.Register(ctx, provider.Instance{ID: "w"}, ""), qt.IsNil)
	qt.Assert(t, r.Instances().Drain(ctx, "w"), qt.IsNil)
	qt.Assert(t, r.Instances().Undrain(ctx, "w"), qt.IsNil)
	qt.Assert(t, r.Instances().Reboot(ctx, "w", 1), qt.IsNil)
	list, err := r.Instances().List(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, list.Instances[0].Incarnation, qt.Equals, uint64(2))
	qt.Assert(t, r.Tasks().Start(ctx, provider.TaskSpec{ID: "t", Job: "j", Worker: "w", Token: 1}), qt.IsNil)
	qt.Assert(t, r.Tasks().Renew(ctx, 1, "t"), qt.IsNil)
	qt.Assert(t, r.Tasks().Throttle(ctx, 1, "t", 0.5), qt.IsNil)
	reference, err := r.Tasks().Checkpoint(ctx, 1, "t")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Tasks().Stop(ctx, 1, "t"), qt.IsNil)
	status, err := r.Tasks().Status(ctx, "w")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status[0].Checkpoint, qt.Equals, reference)
	qt.Check(t, status[0].State, qt.Equals, provider.TaskStopped)
	qt.Assert(t, r.SetFaults(ctx, standin.Faults{Down: true}), qt.IsNil)
	_, err = r.Table().Read(ctx, "k")
	qt.Check(t, err, qt.ErrorIs, provider.ErrUnavailable)
	closed := standin.NewRemote(standin.RemoteOptions{Address: "127.0.0.1:1"})
	qt.Check(t, closed.Table().Commit(ctx, insert("x")), qt.ErrorIs, provider.ErrUnavailable)
}
