package history_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/history"
)

// op is an operation that follows the one before.
func op(input, output any) func(*history.Recorder) {
	return func(r *history.Recorder) { r.Add(0, input, output) }
}

// during is an operation that overlaps others.
func during(input, output any, others ...func(*history.Recorder)) func(*history.Recorder) {
	return func(r *history.Recorder) {
		end := r.Begin(1, input)
		for _, o := range others {
			o(r)
		}
		end(output)
	}
}

// TestModels guards against a model that accepts an invalid history, so that faults would pass unnoticed, and
// against one that rejects a valid history.
func TestModels(t *testing.T) {
	type steps = []func(*history.Recorder)
	v := func(n uint64) any { return n }
	begin := func(team, id string) func(*history.Recorder) { return op(history.RunBegin{Team: team, ID: id}, nil) }
	end := func(team, id string) func(*history.Recorder) { return op(history.RunEnd{Team: team, ID: id}, nil) }
	limits := history.UpperLimit(map[string]int{"a": 2, "b": 1})
	revocation := history.KeyRevocation(2 * time.Second)
	budget, leaving := history.AvailabilityBudget(map[string]int{"p": 2, "q": 1}), history.Leaving(3*time.Second)
	stop := func(pool, id string) func(*history.Recorder) {
		return op(history.PlannedStop{Pool: pool, Instance: id}, nil)
	}
	fail := op(history.InstanceFailure{Pool: "p", Instance: "x"}, nil)
	back := op(history.InstanceReturn{Pool: "p", Instance: "a"}, nil)
	join := func(pool string) func(*history.Recorder) {
		return op(history.JoinPool{Instance: "i", Pool: pool}, nil)
	}
	leave := func(pool string) func(*history.Recorder) {
		return op(history.LeavePool{Instance: "i", Pool: pool}, nil)
	}
	work, done := op(history.WorkBegin{Endpoint: "e", ID: "1"}, nil), op(history.WorkEnd{Endpoint: "e", ID: "1"}, nil)
	shutdown := op(history.Shutdown{Endpoint: "e"}, nil)
	tests := map[string]struct {
		model  history.Model
		steps  steps
		broken bool
	}{
		"limit kept":             {model: limits, steps: steps{begin("a", "1"), begin("a", "2"), begin("b", "3"), end("a", "1"), begin("a", "4")}},
		"limit exceeded":         {model: limits, steps: steps{begin("a", "1"), begin("a", "2"), begin("a", "3")}, broken: true},
		"limit of another team":  {model: limits, steps: steps{begin("b", "1"), end("a", "1"), begin("b", "2")}, broken: true},
		"limit lowered":          {model: limits, steps: steps{begin("a", "1"), begin("a", "2"), end("a", "1"), op(history.LimitInForce{Team: "a"}, 1), end("a", "2"), begin("a", "3")}},
		"lowered too early":      {model: limits, steps: steps{begin("a", "1"), begin("a", "2"), op(history.LimitInForce{Team: "a"}, 1)}, broken: true},
		"lowered and exceeded":   {model: limits, steps: steps{op(history.LimitInForce{Team: "a"}, 1), begin("a", "1"), begin("a", "2")}, broken: true},
		"end without begin":      {model: limits, steps: steps{end("a", "1")}, broken: true},
		"runs once":              {model: history.AtMostOnce(), steps: steps{op(history.Run{ID: "1"}, nil), op(history.Run{ID: "2"}, nil)}},
		"runs twice":             {model: history.AtMostOnce(), steps: steps{op(history.Run{ID: "1"}, nil), op(history.Run{ID: "2"}, nil), op(history.Run{ID: "1"}, nil)}, broken: true},
		"runs twice at a time":   {model: history.AtMostOnce(), steps: steps{during(history.Run{ID: "1"}, nil, op(history.Run{ID: "1"}, nil))}, broken: true},
		"rejected":               {model: history.NotRunNeverRuns(), steps: steps{op(history.NotRun{ID: "1"}, nil), op(history.Run{ID: "2"}, nil)}},
		"rejected, then runs":    {model: history.NotRunNeverRuns(), steps: steps{op(history.NotRun{ID: "1"}, nil), op(history.Run{ID: "1"}, nil)}, broken: true},
		"runs, then rejected":    {model: history.NotRunNeverRuns(), steps: steps{op(history.Run{ID: "1"}, nil), op(history.NotRun{ID: "1"}, nil)}, broken: true},
		"own answer":             {model: history.OwnAnswer(), steps: steps{during(history.Exchange{ID: "1"}, "x", op(history.Response{ID: "1", Body: "x"}, nil))}},
		"second response":        {model: history.OwnAnswer(), steps: steps{during(history.Exchange{ID: "1"}, "y", op(history.Response{ID: "1", Body: "x"}, nil), op(history.Response{ID: "1", Body: "y"}, nil))}},
		"empty answer":           {model: history.OwnAnswer(), steps: steps{during(history.Exchange{ID: "1"}, "", op(history.Response{ID: "1"}, nil))}},
		"answer of another":      {model: history.OwnAnswer(), steps: steps{op(history.Response{ID: "2", Body: "y"}, nil), during(history.Exchange{ID: "1"}, "y", op(history.Response{ID: "1", Body: "x"}, nil))}, broken: true},
		"truncated answer":       {model: history.OwnAnswer(), steps: steps{during(history.Exchange{ID: "1"}, "x", op(history.Response{ID: "1", Body: "xy"}, nil))}, broken: true},
		"answer before response": {model: history.OwnAnswer(), steps: steps{op(history.Exchange{ID: "1"}, "x"), op(history.Response{ID: "1", Body: "x"}, nil)}, broken: true},
		"versions grow":          {model: history.ConfigForward(), steps: steps{op(history.AcceptChange{}, v(1)), op(history.ObserveVersion{Process: "a"}, v(1)), op(history.AcceptChange{}, v(2)), op(history.ObserveVersion{Process: "b"}, v(2)), op(history.ObserveVersion{Process: "a"}, v(1))}},
		"seen while accepted":    {model: history.ConfigForward(), steps: steps{during(history.AcceptChange{}, v(1), op(history.ObserveVersion{Process: "a"}, v(1)))}},
		"process goes back":      {model: history.ConfigForward(), steps: steps{op(history.AcceptChange{}, v(1)), op(history.AcceptChange{}, v(2)), op(history.ObserveVersion{Process: "a"}, v(2)), op(history.ObserveVersion{Process: "a"}, v(1))}, broken: true},
		"never accepted":         {model: history.ConfigForward(), steps: steps{op(history.AcceptChange{}, v(1)), op(history.ObserveVersion{Process: "a"}, v(2))}, broken: true},
		"version accepted twice": {model: history.ConfigForward(), steps: steps{op(history.AcceptChange{}, v(1)), op(history.AcceptChange{}, v(1))}, broken: true},
		"within bound":           {model: revocation, steps: steps{op(history.AdmitWork{Key: "k"}, time.Minute), op(history.RevokeKey{Key: "k"}, time.Minute), op(history.AdmitWork{Key: "k"}, time.Minute+2*time.Second), op(history.AdmitWork{Key: "l"}, time.Hour)}},
		"after bound":            {model: revocation, steps: steps{op(history.RevokeKey{Key: "k"}, time.Minute), op(history.AdmitWork{Key: "k"}, time.Minute+2*time.Second+1)}, broken: true},
		"revoked again":          {model: revocation, steps: steps{op(history.RevokeKey{Key: "k"}, time.Minute), op(history.RevokeKey{Key: "k"}, time.Hour), op(history.AdmitWork{Key: "k"}, time.Hour)}, broken: true},
		"tokens":                 {model: history.Fencing(), steps: steps{op(history.AcquireDuty{Duty: "d"}, v(1)), op(history.FencedWrite{Duty: "d"}, v(1)), op(history.AcquireDuty{Duty: "d"}, v(2)), op(history.FencedWrite{Duty: "d"}, v(1)), op(history.FencedWrite{Duty: "d"}, v(2))}},
		"write after higher":     {model: history.Fencing(), steps: steps{op(history.AcquireDuty{Duty: "d"}, v(1)), op(history.AcquireDuty{Duty: "d"}, v(2)), op(history.FencedWrite{Duty: "d"}, v(2)), op(history.FencedWrite{Duty: "d"}, v(1))}, broken: true},
		"token used again":       {model: history.Fencing(), steps: steps{op(history.AcquireDuty{Duty: "d"}, v(1)), op(history.AcquireDuty{Duty: "d"}, v(1))}, broken: true},
		"token never taken":      {model: history.Fencing(), steps: steps{op(history.AcquireDuty{Duty: "d"}, v(1)), op(history.FencedWrite{Duty: "d"}, v(2))}, broken: true},
	}
	for name, tt := range map[string]struct {
		model  history.Model
		steps  steps
		broken bool
	}{
		"budget kept":               {model: budget, steps: steps{stop("p", "a"), stop("p", "b"), stop("q", "c"), back, stop("p", "d")}},
		"budget exceeded":           {model: budget, steps: steps{stop("p", "a"), stop("p", "b"), stop("p", "c")}, broken: true},
		"budget spent by a failure": {model: budget, steps: steps{fail, stop("p", "a"), stop("p", "b")}, broken: true},
		"failures may exceed":       {model: budget, steps: steps{stop("p", "a"), stop("p", "b"), fail}},
		"same stop twice":           {model: budget, steps: steps{stop("p", "a"), stop("p", "a"), stop("p", "b")}},
		"moves":                     {model: history.OnePool(), steps: steps{join("p"), leave("p"), join("q")}},
		"in two pools":              {model: history.OnePool(), steps: steps{join("p"), join("q")}, broken: true},
		"parts from another":        {model: history.OnePool(), steps: steps{join("p"), leave("q")}, broken: true},
		"work within bound":         {model: leaving, steps: steps{op(history.AnnounceLeave{Endpoint: "e"}, time.Second), op(history.Dispatch{Endpoint: "e"}, 4*time.Second), op(history.AcceptAgain{Endpoint: "e"}, nil), op(history.Dispatch{Endpoint: "e"}, time.Hour)}},
		"work after bound":          {model: leaving, steps: steps{op(history.AnnounceLeave{Endpoint: "e"}, time.Second), op(history.Dispatch{Endpoint: "e"}, 4*time.Second+1)}, broken: true},
		"announced again":           {model: leaving, steps: steps{op(history.AnnounceLeave{Endpoint: "e"}, time.Second), op(history.AnnounceLeave{Endpoint: "e"}, time.Hour), op(history.Dispatch{Endpoint: "e"}, time.Hour)}, broken: true},
		"stop after the work":       {model: history.GracefulStop(), steps: steps{work, done, shutdown, work}},
		"stop during the work":      {model: history.GracefulStop(), steps: steps{work, shutdown, done}, broken: true},
		"end without a begin":       {model: history.GracefulStop(), steps: steps{done}, broken: true},
	} {
		tests[name] = tt
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r history.Recorder
			r.Add(0, "operation of no model", nil)
			for _, step := range tt.steps {
				step(&r)
			}
			err := history.Check(tt.model, r.Operations())
			if tt.broken {
				qt.Check(t, err, qt.ErrorMatches, `(?s)`+tt.model.Name+` is broken: .*`)
			} else {
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
}

// TestOrder guards against a recorder that orders operations by their ends or by a clock.
func TestOrder(t *testing.T) {
	var r history.Recorder
	during("outer", 1, op("inner", 2))(&r)
	qt.Check(t, r.Operations(), qt.DeepEquals, []porcupine.Operation{
		{ClientId: 0, Input: "inner", Call: 2, Output: 2, Return: 3},
		{ClientId: 1, Input: "outer", Call: 1, Output: 1, Return: 4},
	})
}
