package wave_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/wave"
)

// members returns n members, two to a rack and six to a data centre, all pending.
func members(n int, change func(i int, m *wave.Member)) []wave.Member {
	all := make([]wave.Member, n)
	for i := range all {
		all[i] = wave.Member{ID: fmt.Sprintf("i%02d", i), Rack: fmt.Sprintf("r%d", i/2), DataCentre: fmt.Sprintf("dc%d", i/6), Pending: true}
		if change != nil {
			change(i, &all[i])
		}
	}
	return all
}

// TestPlan guards against stops that exceed the budget of the pool, a rack or a data centre, against ignoring
// instances that are down already, and against a wave that continues with a broken image.
func TestPlan(t *testing.T) {
	tests := map[string]struct {
		spec    pool.Spec
		members []wave.Member
		want    []string
	}{
		"spread over data centres":   {spec: pool.Spec{MaxUnavailable: "3"}, members: members(12, nil), want: []string{"i00", "i06", "i02"}},
		"one in a data centre":       {spec: pool.Spec{MaxUnavailable: "4", MaxUnavailablePerDataCentre: "1"}, members: members(12, nil), want: []string{"i00", "i06"}},
		"one in a rack":              {spec: pool.Spec{MaxUnavailable: "6", MaxUnavailablePerRack: "1"}, members: members(6, nil), want: []string{"i00", "i02", "i04"}},
		"down already":               {spec: pool.Spec{MaxUnavailable: "2"}, members: members(12, func(i int, m *wave.Member) { m.Down = i < 2 }), want: nil},
		"down in its data centre":    {spec: pool.Spec{MaxUnavailable: "2", MaxUnavailablePerDataCentre: "1"}, members: members(12, func(i int, m *wave.Member) { m.Down = i == 0 }), want: []string{"i06"}},
		"percentage is rounded down": {spec: pool.Spec{MaxUnavailable: "19%"}, members: members(12, nil), want: []string{"i00", "i06"}},
		"first two stops failed": {
			spec: pool.Spec{MaxUnavailable: "3"}, members: members(12, func(i int, m *wave.Member) { m.Failed, m.Down = i < 2, i < 2 }), want: nil,
		},
		"first stop failed": {
			spec: pool.Spec{MaxUnavailable: "2"}, members: members(12, func(i int, m *wave.Member) { m.Failed, m.Down = i == 0, i == 0 }), want: []string{"i06"},
		},
		"first stop failed, budget used": {
			spec: pool.Spec{MaxUnavailable: "1"}, members: members(12, func(i int, m *wave.Member) { m.Failed, m.Down = i == 0, i == 0 }), want: nil,
		},
		"one of six failed": {
			spec: pool.Spec{MaxUnavailable: "2"},
			members: members(12, func(i int, m *wave.Member) {
				m.Failed, m.Down, m.Ended, m.Pending = i == 0, i == 0, i > 0 && i < 6, i >= 6
			}),
			want: []string{"i06"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.spec.Name = "p"
			p, err := pool.New(tt.spec)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, wave.Plan(p, tt.members), qt.DeepEquals, tt.want)
		})
	}
}

// TestNextStep guards against a reboot that is based on a report from before the notice or that interrupts requests
// in flight, and against stops that never end.
func TestNextStep(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	rules := wave.StopRules{Notice: 3 * time.Second, DrainLimit: time.Minute, ReturnLimit: time.Minute, Policy: wave.PolicySkip}
	abort := rules
	abort.Abort = true
	draining := pool.Instance{State: pool.StateDraining, Operation: "wave/w", Incarnation: 1, ReportBaseline: at(10), StateSince: at(10)}
	noticed := draining
	noticed.RefusingSince = at(12)
	rebooting := noticed.Transition(at(20), pool.StateRebooting)
	returning := rebooting.Transition(at(30), pool.StateReturning)
	returning.ReportBaseline = at(30)
	report := func(state provider.InstanceState, incarnation uint64, second, inFlight int) provider.Instance {
		return provider.Instance{State: state, Incarnation: incarnation, Reported: at(second), InFlight: inFlight}
	}
	tests := map[string]struct {
		in     pool.Instance
		report provider.Instance
		now    int
		rules  wave.StopRules
		state  pool.State
		call   wave.Call
	}{
		"report from before the drain":   {in: draining, report: report("leaving", 1, 10, 0), now: 11, rules: rules, state: pool.StateDraining, call: wave.CallDrain},
		"notice not over":                {in: noticed, report: report("leaving", 1, 14, 0), now: 20, rules: rules, state: pool.StateDraining},
		"requests in flight":             {in: noticed, report: report("leaving", 1, 16, 1), now: 20, rules: rules, state: pool.StateDraining},
		"quiet":                          {in: noticed, report: report("leaving", 1, 15, 0), now: 20, rules: rules, state: pool.StateRebooting},
		"drain limit":                    {in: noticed, report: report("leaving", 1, 16, 1), now: 70, rules: rules, state: pool.StateReturning},
		"restarted by itself":            {in: draining, report: report("live", 2, 13, 4), now: 14, rules: rules, state: pool.StateServing},
		"abort":                          {in: noticed, report: report("leaving", 1, 16, 0), now: 20, rules: abort, state: pool.StateReturning},
		"abort after the reboot":         {in: rebooting, report: report("leaving", 1, 21, 0), now: 22, rules: abort, state: pool.StateRebooting, call: wave.CallReboot},
		"drain was undone":               {in: rebooting, report: report("live", 1, 21, 2), now: 22, rules: rules, state: pool.StateDraining},
		"new incarnation":                {in: rebooting, report: report("live", 2, 25, 0), now: 25, rules: rules, state: pool.StateServing},
		"new incarnation, not yet live":  {in: rebooting, report: report("gone", 2, 25, 0), now: 25, rules: rules, state: pool.StateReturning},
		"does not return":                {in: rebooting, report: report("gone", 1, 25, 0), now: 90, rules: rules, state: pool.StateFailed},
		"returns late":                   {in: rebooting.Transition(at(90), pool.StateFailed), report: report("live", 2, 95, 0), now: 95, rules: rules, state: pool.StateServing},
		"undrained, report from before":  {in: returning, report: report("live", 1, 30, 0), now: 31, rules: rules, state: pool.StateReturning, call: wave.CallUndrain},
		"undrained, report from after":   {in: returning, report: report("live", 1, 31, 0), now: 31, rules: rules, state: pool.StateServing},
		"failed in a reboot that hanged": {in: returning.Transition(at(90), pool.StateFailed), report: report("gone", 1, 95, 0), now: 95, rules: rules, state: pool.StateFailed, call: wave.CallReboot},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := wave.NextStep(at(tt.now), tt.in, tt.report, true, tt.rules)
			qt.Assert(t, d.Next.State, qt.Equals, tt.state)
			qt.Assert(t, d.Call, qt.Equals, tt.call)
			qt.Assert(t, d.Changed, qt.Equals, d.Next.Generation == tt.in.Generation+1)
		})
	}
}

// TestCreate guards against waves that can never end or that compete for instances, and against unclear errors.
func TestCreate(t *testing.T) {
	table := standin.NewTable()
	var pools []pool.Pool
	for _, spec := range []pool.Spec{{Name: "desk", MaxUnavailable: "20%"}, {Name: "tiny", MaxUnavailable: "5%"}} {
		p, err := pool.New(spec)
		qt.Assert(t, err, qt.IsNil)
		pools = append(pools, p)
	}
	rows := make([]pool.Stored, 0, 20)
	for i := range 20 {
		rows = append(rows, pool.Stored{Instance: pool.Instance{ID: fmt.Sprintf("i%d", i), Pool: pools[i%2].Name()}})
	}
	store := wave.NewStore(table)
	create := func(spec wave.Spec) error {
		_, err := store.Create(t.Context(), spec, time.Now(), pools, rows)
		return err
	}
	qt.Assert(t, create(wave.Spec{Name: "first", Pools: []string{"desk"}}), qt.IsNil)
	tests := map[string]struct {
		spec wave.Spec
		want string
	}{
		"no name":          {wave.Spec{}, `wave name "" is empty or contains a slash`},
		"unknown pool":     {wave.Spec{Name: "w", Pools: []string{"dusk"}}, `wave "w": unknown pool "dusk"`},
		"unknown instance": {wave.Spec{Name: "w", Instances: []string{"x"}}, `wave "w": instance "x" is not in the wave's pools`},
		"no budget":        {wave.Spec{Name: "w", Pools: []string{"tiny"}}, `wave "w": the availability budget of pool "tiny" allows no stop: 5% of 10 instances`},
		"overlap":          {wave.Spec{Name: "w", Pools: []string{"desk"}}, `wave "w" covers a pool of wave "first", which is running`},
		"same name":        {wave.Spec{Name: "first", Pools: []string{"desk"}}, `wave "first" exists already: it is running`},
		"policy":           {wave.Spec{Name: "w", Policy: "kill"}, `wave "w": policy "kill" is neither "wait" nor "skip"`},
		"limit":            {wave.Spec{Name: "w", DrainLimit: "-1s"}, `wave "w": drainLimit "-1s" is not a positive duration`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, create(tt.spec), qt.ErrorMatches, tt.want)
		})
	}
	_, err := store.SetState(t.Context(), "first", wave.StateAborted)
	qt.Assert(t, err, qt.IsNil)
	_, err = store.SetState(t.Context(), "first", wave.StateRunning)
	qt.Assert(t, err, qt.ErrorMatches, `wave "first" is aborted already`)
}

// TestProgress guards against counts that omit an instance, and against an expected end that cannot be estimated.
func TestProgress(t *testing.T) {
	begun := time.Unix(0, 0)
	w, err := wave.New(wave.Spec{Name: "w", Pools: []string{"desk"}}, begun)
	qt.Assert(t, err, qt.IsNil)
	rows := func(states ...pool.State) []pool.Stored {
		all := []pool.Stored{{Instance: pool.Instance{ID: "other", Pool: "office", State: pool.StateServing}}}
		for i, state := range states {
			in := pool.Instance{ID: fmt.Sprintf("i%d", i), Pool: "desk", State: state, Operation: w.Operation()}
			if state == "" {
				in.State, in.Operation, in.LastWave, in.LastWaveResult = pool.StateServing, "", w.Operation(), pool.ResultRebooted
			}
			if state == pool.StateServing {
				in.Operation = ""
			}
			all = append(all, pool.Stored{Instance: in})
		}
		return all
	}
	const done = pool.State("")
	tests := map[string]struct {
		rows []pool.Stored
		want wave.PoolProgress
		end  time.Time
	}{
		"not begun":    {rows: rows(pool.StateServing, pool.StateServing), want: wave.PoolProgress{Pool: "desk", Size: 2, Pending: 2}},
		"half":         {rows: rows(done, done, pool.StateServing, pool.StateServing), want: wave.PoolProgress{Pool: "desk", Size: 4, Rebooted: 2, Pending: 2}, end: begun.Add(2 * time.Minute)},
		"one stopping": {rows: rows(pool.StateRebooting, pool.StateServing), want: wave.PoolProgress{Pool: "desk", Size: 2, Stopping: 1, Pending: 1}, end: begun.Add(4 * time.Minute)},
		"stuck":        {rows: rows(done, pool.StateFailed, pool.StateFailed), want: wave.PoolProgress{Pool: "desk", Size: 3, Rebooted: 1, Failed: 2, Stuck: true}},
		"all":          {rows: rows(done, done), want: wave.PoolProgress{Pool: "desk", Size: 2, Rebooted: 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := w.Progress(begun.Add(time.Minute), tt.rows)
			qt.Assert(t, p.Pools, qt.DeepEquals, []wave.PoolProgress{tt.want})
			qt.Assert(t, p.ExpectedEnd.Equal(tt.end), qt.IsTrue, qt.Commentf("%v", p.ExpectedEnd))
		})
	}
}
