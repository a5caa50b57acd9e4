package whereabouts

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/work"
)

// TestReason guards against a worker that is counted under a reason that would not keep the task away by itself, such as a full worker that is
// quarantined as well.
func TestReason(t *testing.T) {
	suited := Worker{State: "inUse", Accepts: true, Labelled: true, Fits: true, LeavesReserved: true, Eligible: true}
	for name, test := range map[string]struct {
		change func(*Worker)
		want   Reason
	}{
		"suited":               {func(*Worker) {}, LessSuited},
		"quarantined and full": {func(w *Worker) { w.State, w.Accepts, w.Fits = "quarantined", false, false }, "quarantined"},
		"silent":               {func(w *Worker) { w.Silent, w.Accepts = true, false }, Silent},
		"short lease":          {func(w *Worker) { w.Accepts = false }, Doubted},
		"overcommitted":        {func(w *Worker) { w.State, w.Fits = "overcommitted", false }, Full},
		"no label, full":       {func(w *Worker) { w.Labelled, w.Fits = false, false }, OtherLabel},
		"kept free":            {func(w *Worker) { w.LeavesReserved = false }, KeptFree},
		"not eligible":         {func(w *Worker) { w.Eligible = false }, NotEligible},
		"far and slower":       {func(w *Worker) { w.DataRack, w.Rack, w.Slower = "r1-1", "r1-2", true }, FarFromData},
		"near and slower":      {func(w *Worker) { w.DataRack, w.Rack, w.Slower = "r1-1", "r1-1", true }, Slower},
	} {
		t.Run(name, func(t *testing.T) {
			w := suited
			test.change(&w)
			qt.Assert(t, w.reason(), qt.Equals, test.want)
			if test.want != "inUse" {
				_, described := meanings[test.want]
				qt.Assert(t, described, qt.IsTrue)
			}
		})
	}
}

// TestSetTimes guards against an end that comes before the start, a service that ends, and a task that waits and starts before the jobs ahead.
func TestSetTimes(t *testing.T) {
	e := runtimes.Fixed(2 * time.Second)
	a := NewAnswer("p", admission.Decision{})
	a.AddWorker(Worker{ID: "w1", State: "inUse", Accepts: true, Cores: 4}, true)
	a.SetTimes(e, 2, 0, 100, false)
	qt.Assert(t, *a.Start, qt.Equals, Spread{})
	qt.Assert(t, a.End.Earliest <= a.End.Expected && a.End.Expected <= a.End.Latest, qt.IsTrue)
	qt.Assert(t, a.End.Expected >= 2, qt.IsTrue)

	a.Wait = waiting.ForRoom
	a.SetTimes(e, 1, time.Second, 8, false)
	qt.Assert(t, *a.Start, qt.Equals, Spread{Earliest: 1, Expected: 2, Latest: 3})

	a = NewAnswer("p", admission.Decision{})
	a.SetTimes(e, 1, 0, 0, true)
	qt.Assert(t, a.End, qt.IsNil)
}

// TestWaitsForOthers guards against a start that is foretold although the task waits for something else than room.
func TestWaitsForOthers(t *testing.T) {
	for wait, others := range map[waiting.Reason]bool{waiting.ForRoom: false, waiting.ForTeamLimit: true, waiting.ForPolicy: true} {
		a := Answer{Wait: wait}
		qt.Assert(t, a.WaitsForOthers(false), qt.Equals, others)
	}
	a := Answer{Wait: waiting.ForPlacement}
	qt.Assert(t, a.WaitsForOthers(true), qt.IsTrue)
	qt.Assert(t, a.Wait, qt.Equals, waiting.ForGang)
}

// TestDocuments guards against a field that is lost on its way to the leader or back.
func TestDocuments(t *testing.T) {
	q := Question{
		Queue: "q", Team: "t", CPU: 1, Memory: 2, GPU: 3, Count: 4, EstimateSeconds: 1.5, Rack: "r1-1", Label: "l", MaxPerWorker: 5, Service: true, Gang: true, Speculative: true,
	}
	a := Answer{
		Leader: "n", Pool: "p", Admission: "admitted", RetryAfterSeconds: 1, Ahead: 2, Waiting: 3, Share: &Share{Used: 0.5, Owed: 0.25, BeyondRate: true}, Worker: "w", Rack: "r",
		Wait: waiting.ForRoom, Start: &Spread{1, 2, 3}, End: &Spread{4, 5, 6}, Runs: 7, Workers: 8, Others: map[Reason]int{Full: 8},
	}
	for name, codec := range map[string]struct {
		encode func(any) ([]byte, error)
		decode func([]byte, any) error
	}{"json": {json.Marshal, json.Unmarshal}, "cbor": {cbor.Marshal, cbor.Unmarshal}} {
		t.Run(name, func(t *testing.T) {
			var gotQ Question
			data, err := codec.encode(q)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, codec.decode(data, &gotQ), qt.IsNil)
			qt.Assert(t, gotQ, qt.Equals, q)
			data, err = codec.encode(a)
			qt.Assert(t, err, qt.IsNil)
			got := Answer{}
			qt.Assert(t, codec.decode(data, &got), qt.IsNil)
			again, err := codec.encode(got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(again), qt.Equals, string(data))
			qt.Assert(t, got.Rows(), qt.DeepEquals, a.Rows())
		})
	}
	job := q.Job()
	qt.Assert(t, job.Validate(), qt.IsNil)
	qt.Assert(t, job.Steps, qt.DeepEquals, []work.Step{{
		Count: 4, Request: work.Resources{CPU: 1, Memory: 2, GPU: 3}, Estimate: 1500 * time.Millisecond, DataRack: "r1-1", RequiredLabel: "l", MaxPerWorker: 5, Service: true,
		Gang: true, Speculative: true,
	}})
}

// TestValidate guards against a question that takes the loop of the leader for long, or whose estimate is not a duration.
func TestValidate(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Question)
		want   string
	}{
		"valid":            {func(*Question) {}, ""},
		"many tasks":       {func(q *Question) { q.Count = maxTasks }, ""},
		"too many tasks":   {func(q *Question) { q.Count = maxTasks + 1 }, "count 1001 .*"},
		"gang":             {func(q *Question) { q.Gang, q.Count = true, maxGang }, ""},
		"too large a gang": {func(q *Question) { q.Gang, q.Count = true, maxGang+1 }, "count 129 .*"},
		"no tasks":         {func(q *Question) { q.Count = 0 }, ".*count 0 .*"},
		"negative":         {func(q *Question) { q.EstimateSeconds = -1 }, ".*negative.*"},
		"too long":         {func(q *Question) { q.EstimateSeconds = 1e300 }, "estimate .*"},
		"not a number":     {func(q *Question) { q.EstimateSeconds = math.NaN() }, "estimate .*"},
	} {
		t.Run(name, func(t *testing.T) {
			q := Question{Queue: "q", Count: 1, EstimateSeconds: 1}
			test.change(&q)
			err := q.Validate()
			if test.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}
