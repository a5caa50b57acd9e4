package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/jobs/order"
	"github.com/chivetiller/chivetiller/work"
)

func cores(n int64) work.Resources { return work.Resources{CPU: n * 1000, Memory: n * 1000} }

var queue = &catalog.Queue{Name: "q", Priority: 1, Stretch: 1.6, BaseTarget: 600 * time.Millisecond}

// sampleJob has 8 core-seconds, a target of 2.2 s, and no value after 6.6 s.
func sampleJob(change func(*work.Job)) *work.Job {
	j := &work.Job{ID: "a", Team: "t", Steps: []work.Step{{Count: 8, Request: cores(1), Estimate: time.Second}}}
	if change != nil {
		change(j)
	}
	return j
}

// loaded is a report of a pool with 100 cores and an amount of work for each of the places in the order.
func loaded(add func(l *Load), teams ...string) Report {
	rooms := NewRooms("spare", false)
	for range 5 {
		rooms.Add("p", cores(10), false)
		rooms.Add("spare", cores(10), false)
	}
	var l Load
	if add != nil {
		add(&l)
	}
	return l.Report(0, queue.Priority, rooms.Of("p", work.Resources{}), teams)
}

// TestDecide guards against refusing a job that can be served, and against accepting one that certainly cannot.
func TestDecide(t *testing.T) {
	// fill adds 120 s of work for all processors in jobs of 4 core-seconds.
	fill := func(tier order.Tier, beyond bool, priority int) func(*Load) {
		return func(l *Load) {
			for range 3000 {
				l.Add(tier, beyond, priority, 4)
			}
		}
	}
	tests := map[string]struct {
		report Report
		age    time.Duration
		job    *work.Job
		want   Outcome
	}{
		"no load":                  {report: loaded(nil), job: sampleJob(nil)},
		"no report":                {job: sampleJob(nil)},
		"overload":                 {report: loaded(fill(order.InTime, false, 1)), job: sampleJob(nil), want: Overloaded},
		"old report":               {report: loaded(fill(order.InTime, false, 1)), age: MaxAge + 1, job: sampleJob(nil)},
		"smaller than the others":  {report: loaded(fill(order.InTime, false, 1)), job: sampleJob(func(j *work.Job) { j.Steps[0].Count = 1 })},
		"more urgent jobs":         {report: loaded(fill(order.InTime, false, 0)), job: sampleJob(nil), want: Overloaded},
		"less urgent jobs":         {report: loaded(fill(order.InTime, false, 2)), job: sampleJob(nil)},
		"late jobs":                {report: loaded(fill(order.Late, false, 1)), job: sampleJob(nil)},
		"expired jobs":             {report: loaded(fill(order.Expired, false, 1)), job: sampleJob(nil)},
		"others beyond their rate": {report: loaded(fill(order.InTime, true, 1), "other"), job: sampleJob(nil)},
		"beyond the rate":          {report: loaded(fill(order.InTime, true, 1), "t"), job: sampleJob(nil), want: Overloaded},
		"beyond, late jobs":        {report: loaded(fill(order.Late, false, 1), "t"), job: sampleJob(nil), want: Overloaded},
		"beyond, less urgent jobs": {report: loaded(fill(order.InTime, false, 2), "t"), job: sampleJob(nil), want: Overloaded},
		"service":                  {report: loaded(fill(order.InTime, false, 0)), job: sampleJob(func(j *work.Job) { j.Steps[0].Service = true })},
		"scheduled":                {report: loaded(fill(order.InTime, false, 0)), job: sampleJob(func(j *work.Job) { j.ScheduledOccurrences = 2 })},
		"best effort":              {report: loaded(fill(order.InTime, false, 0)), job: sampleJob(func(j *work.Job) { j.Steps[0].BestEffort = true })},
		"largest task":             {report: loaded(nil), job: sampleJob(func(j *work.Job) { j.Steps[0].Request = cores(10) })},
		"task too large":           {report: loaded(nil), job: sampleJob(func(j *work.Job) { j.Steps[0].Request = work.Resources{CPU: 10001} }), want: NeverFits},
		"too much memory":          {report: loaded(nil), job: sampleJob(func(j *work.Job) { j.Steps[0].Request = work.Resources{CPU: 1, Memory: 10001} }), want: NeverFits},
		"service too large":        {report: loaded(nil), job: sampleJob(func(j *work.Job) { j.Steps[0].Request, j.Steps[0].Service = cores(11), true }), want: NeverFits},
		"many large tasks":         {report: loaded(nil), job: sampleJob(func(j *work.Job) { j.Steps[0].Request, j.Steps[0].Count = cores(10), 500 })},
		"gang":                     {report: loaded(nil), job: sampleJob(func(j *work.Job) { j.Steps[0].Gang, j.Steps[0].Request, j.Steps[0].Count = true, cores(5), 20 })},
		"gang too wide":            {report: loaded(nil), job: sampleJob(func(j *work.Job) { j.Steps[0].Gang, j.Steps[0].Request, j.Steps[0].Count = true, cores(5), 21 }), want: NeverFits},
		"gang, one per worker":     {report: loaded(nil), job: sampleJob(func(j *work.Job) { j.Steps[0].Gang, j.Steps[0].MaxPerWorker, j.Steps[0].Count = true, 1, 11 }), want: NeverFits},
		"too large, old report":    {report: loaded(nil), age: MaxAge + 1, job: sampleJob(func(j *work.Job) { j.Steps[0].Request = cores(11) })},
		"no processors":            {report: Report{Urgent: 1e9}, job: sampleJob(nil)},
		"hardly any processors":    {report: Report{Urgent: 1e300, Cores: 1e-300}, job: sampleJob(nil), want: Overloaded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := Decide(test.report, test.age, queue, test.job)
			qt.Assert(t, d.Outcome(), qt.Equals, test.want)
			qt.Assert(t, d.RetryAfter() > 0, qt.Equals, test.want != Admitted)
		})
	}
}

// TestRetryAfter guards against refused clients that return together, or before there is room.
func TestRetryAfter(t *testing.T) {
	r := loaded(func(l *Load) { l.Add(order.InTime, false, 0, 5000) })
	counts := make(map[time.Duration]int)
	for i := range 1000 {
		d := Decide(r, 0, queue, sampleJob(func(j *work.Job) { j.ID = fmt.Sprintf("%016x", i) }))
		expected := d.Queued() - d.Left()
		qt.Assert(t, d.RetryAfter() >= expected.Truncate(time.Second) && d.RetryAfter() <= 2*expected+time.Second, qt.IsTrue)
		qt.Assert(t, d.RetryAfter()%time.Second, qt.Equals, time.Duration(0))
		counts[d.RetryAfter()]++
	}
	// 19.4 s are spread over twenty seconds.
	qt.Assert(t, len(counts) >= 19, qt.IsTrue)
	for after, n := range counts {
		qt.Assert(t, n < 100, qt.IsTrue, qt.Commentf("%d clients return after %s", n, after))
	}
}

// TestOldLoad guards against jobs that are refused because of others that have ended since.
func TestOldLoad(t *testing.T) {
	l := NewLoad(time.Minute)
	l.Add(order.InTime, false, 0, 5000)
	rooms := NewRooms("", false)
	qt.Assert(t, l.Report(time.Minute+MaxAge, 1, rooms.Of("p", cores(0)), nil).Urgent, qt.Equals, 5000.0)
	qt.Assert(t, l.Report(time.Minute+MaxAge+1, 1, rooms.Of("p", cores(0)), nil).Urgent, qt.Equals, 0.0)
}

// TestRooms guards against instances that count twice, and against instances of other pools that are in use.
func TestRooms(t *testing.T) {
	rooms := NewRooms("spare", false)
	rooms.Add("p", cores(10), true)
	rooms.Add("p", cores(10), false)
	rooms.Add("other", cores(20), true)
	rooms.Add("other", cores(40), false)
	rooms.Add("spare", cores(10), true)
	qt.Assert(t, rooms.Of("p", cores(5)).cores(), qt.Equals, 45.0)
	qt.Assert(t, rooms.Of("other", cores(0)).cores(), qt.Equals, 80.0)
	qt.Assert(t, rooms.Of("new", cores(0)).cores(), qt.Equals, 40.0)
	qt.Assert(t, rooms.Of("p", cores(0)).shapes(), qt.HasLen, 2)
	unknown := NewRooms("spare", true)
	unknown.Add("p", cores(10), true)
	qt.Assert(t, unknown.Of("p", cores(0)).shapes(), qt.HasLen, 0)
	rooms.Add("p", work.Resources{}, true)
	qt.Assert(t, rooms.Of("p", cores(0)).shapes(), qt.HasLen, 0)
}

// TestModel checks that a refused job could not be done in time even if half of the work before it did not exist, that more processors and
// less work never lead to a refusal, and that a report survives its encoding.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Load
		total := 0.0
		for range rapid.IntRange(0, 40).Draw(t, "entries") {
			size := rapid.Float64Range(0, 400).Draw(t, "size")
			tier := rapid.SampledFrom([]order.Tier{order.InTime, order.Late, order.Expired}).Draw(t, "tier")
			l.Add(tier, rapid.Bool().Draw(t, "beyond"), rapid.IntRange(0, 2).Draw(t, "priority"), size)
			total += size
		}
		rooms := NewRooms("", false)
		for range rapid.IntRange(1, 30).Draw(t, "instances") {
			rooms.Add("p", cores(4), false)
		}
		var teams []string
		if rapid.Bool().Draw(t, "exhausted") {
			teams = []string{"t"}
		}
		r := l.Report(0, 1, rooms.Of("p", cores(0)), teams)
		job := sampleJob(func(j *work.Job) {
			j.Steps[0].Count = rapid.IntRange(1, 20).Draw(t, "tasks")
			j.Steps[0].Estimate = time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		})
		d := Decide(r, 0, queue, job)
		if d.Outcome() == NeverFits {
			t.Fatal("a task of one core does not fit")
		}
		if d.Outcome() == Overloaded && total/r.Cores < 2*d.Left().Seconds()-1e-6 {
			t.Fatalf("refused with %g core-seconds on %g cores and %s left", total, r.Cores, d.Left())
		}
		rooms.Add("p", cores(4), false)
		if more := Decide(l.Report(0, 1, rooms.Of("p", cores(0)), teams), 0, queue, job); more.Outcome() > d.Outcome() {
			t.Fatal("refused with more processors")
		}
		data, err := cbor.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var received Report
		if err := cbor.Unmarshal(data, &received); err != nil {
			t.Fatal(err)
		}
		if got := Decide(received, 0, queue, job); got != d {
			t.Fatalf("decision %v after encoding, %v before", got, d)
		}
	})
}
