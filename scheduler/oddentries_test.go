package scheduler

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/workers/misdirection"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// TestMalformedInstance guards against a log line for each list in which the same entry is malformed, and against a command for that
// instance.
func TestMalformedInstance(t *testing.T) {
	f := newFleetRig(t, 3, 5)
	var log bytes.Buffer
	f.core.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
	good := f.instances["s1"]
	for _, malformed := range []bool{true, true, true, false, true, true} {
		f.instances["s1"] = good
		if malformed {
			f.instances["s1"] = instance.Instance{ID: "s1", Pool: "off", State: instance.Down, Err: errors.New("malformed")}
		}
		f.instances["no ID"] = instance.Instance{Err: errors.New("entry has no ID")}
		f.listInstances()
		qt.Assert(t, f.core.fleet.instances, qt.HasLen, 8)
		qt.Assert(t, f.core.movable("s1", f.core.fleet.instances["s1"]), qt.Equals, !malformed)
	}
	qt.Assert(t, strings.Count(log.String(), "Entry of an instance is invalid."), qt.Equals, 3, qt.Commentf("%s", log.String()))
}

// TestMisdirectedEntry guards against an entry with the address of another worker that is added and removed again with each read of the
// registry, with two log lines and a row of the roster to store each time.
func TestMisdirectedEntry(t *testing.T) {
	tests := map[string]struct {
		change func(*worker.Report)
		// used is the time after which the worker is used once it answers itself.
		used time.Duration
	}{
		"same entry":      {func(*worker.Report) {}, misdirection.MaxPause + time.Second},
		"new address":     {func(report *worker.Report) { report.Address = "w2:2" }, 200 * time.Millisecond},
		"new incarnation": {func(report *worker.Report) { report.Incarnation++ }, 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			var log bytes.Buffer
			r.core.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
			good, odd := rigReport("w1", coresOnly(4)), rigReport("w2", coresOnly(4))
			odd.Address = good.Address
			read := func(outcome worker.Outcome) {
				r.advance(200 * time.Millisecond)
				r.core.SetWorkers([]worker.Report{good, odd})
				r.reply("w1")
				if renewal, ok := r.core.Renewal("w2"); ok {
					r.core.HandleStatus(renewal.call, worker.Status{Reply: worker.Reply{Outcome: outcome, Clock: r.now, Incarnation: odd.Incarnation}}, r.now, nil)
				}
				r.pass()
			}
			for range 300 {
				read(worker.OtherInstance)
			}
			qt.Assert(t, r.core.workers["w1"].listed, qt.IsTrue)
			added := strings.Count(log.String(), "Worker was added.")
			qt.Assert(t, added >= 2 && added <= 9, qt.IsTrue, qt.Commentf("added %d times", added))
			test.change(&odd)
			for end := r.now + test.used; r.now < end; {
				read(worker.Accepted)
			}
			qt.Assert(t, r.core.workers["w2"] != nil && r.core.workers["w2"].answered, qt.IsTrue)
			r.core.SetWorkers([]worker.Report{good})
			qt.Assert(t, r.core.misdirected, qt.HasLen, 0)
		})
	}
}

// TestEntryWithOtherAddress guards against a second run of a task: an entry of another writer under the ID of a worker counted as a change
// of its address, and the runs of the worker, which went on, as lost.
func TestEntryWithOtherAddress(t *testing.T) {
	tests := map[string]struct {
		known, entry int64
		// silence is the time for which the worker has not answered before the entry is read.
		silence time.Duration
		moved   bool
	}{
		"same incarnation":              {known: rigIncarnation, entry: rigIncarnation},
		"same incarnation, lease ended": {known: rigIncarnation, entry: rigIncarnation, silence: 20 * time.Second, moved: true},
		"next incarnation":              {known: rigIncarnation, entry: rigNextIncarnation, moved: true},
		"unknown incarnation":           {moved: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1)
			var log bytes.Buffer
			r.core.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
			good := rigReport("w1", coresOnly(4))
			good.Incarnation = test.known
			answer := func() {
				r.core.HandleStatus(r.callTo("w1"), worker.Status{Reply: worker.Reply{Clock: r.now, Incarnation: test.known}, Running: r.runs["w1"]}, r.now, nil)
				r.core.Renewal("w1")
			}
			r.core.SetWorkers([]worker.Report{good})
			answer()
			answer()
			r.addSteps("a", 1)
			r.accept(r.pass())
			qt.Assert(t, r.runs["w1"], qt.HasLen, 1)
			odd := good
			odd.Address, odd.Incarnation = "w9:1", test.entry
			for end := r.now + test.silence; r.now < end; {
				r.advance(500 * time.Millisecond)
				r.pass()
			}
			for range 10 {
				r.core.SetWorkers([]worker.Report{odd})
			}
			target, _ := r.core.Renewal("w1")
			if test.moved {
				qt.Assert(t, target.Target.Address, qt.Equals, odd.Address)
				qt.Assert(t, r.core.workers["w1"].runs, qt.HasLen, 0)
				return
			}
			qt.Assert(t, target.Target.Address, qt.Equals, good.Address)
			answer()
			r.addSteps("b", 1)
			r.advance(replanInterval)
			qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
			qt.Assert(t, r.core.workers["w1"].runs, qt.HasLen, 1)
			qt.Assert(t, strings.Count(log.String(), "has another address or pool"), qt.Equals, 1)
			r.core.SetWorkers([]worker.Report{good})
			answer()
			r.advance(replanInterval)
			qt.Assert(t, startsOf(r.pass()), qt.DeepEquals, []string{"b 0.0.0 1 w1"})
		})
	}
}

// TestEntryWithOtherAddressAfterFailover guards against the same second run if the entry is read before the worker has answered the next
// leader.
func TestEntryWithOtherAddressAfterFailover(t *testing.T) {
	r := newRig(t, 2)
	j := work.Job{ID: "a", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(1), Estimate: time.Second}}}
	progress := work.NewProgress()
	r.core.SetRoster([]RosterEntry{{ID: "w1", Pool: "p", Address: "w1:1", Incarnation: rigIncarnation, Capacity: coresOnly(4)}})
	progress.Occurrences[0] = &work.OccurrenceProgress{Workers: []string{"w1"}, Steps: make([]work.StepProgress, 1)}
	r.core.AddJob(j, progress, 0)
	odd := rigReport("w1", coresOnly(4))
	odd.Address = "w9:1"
	other := rigReport("w2", coresOnly(4))
	r.core.SetWorkers([]worker.Report{odd, other})
	r.reply("w2")
	qt.Assert(t, startsOf(r.pass()), qt.HasLen, 0)
	target, _ := r.core.Renewal("w1")
	qt.Assert(t, target.Target.Address, qt.Equals, "w1:1")
}

// TestEntryWithOtherPool guards against tasks that are placed on a worker of another pool, also after that has been removed, because an entry
// of another writer gave it another pool.
func TestEntryWithOtherPool(t *testing.T) {
	tests := map[string]struct {
		entry int64
		pool  string
	}{
		"same incarnation": {entry: rigIncarnation, pool: "p"},
		"next incarnation": {entry: rigNextIncarnation, pool: "other"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1")
			r.addSteps("a", 1)
			r.accept(r.pass())
			r.core.SetCatalog(catalog.New(2, 0, nil, []catalog.Pool{{Name: "p"}, {Name: "other"}}, nil))
			odd := rigReport("w1", coresOnly(4))
			odd.Pool, odd.Incarnation = "other", test.entry
			r.core.SetWorkers([]worker.Report{odd})
			qt.Assert(t, r.core.workers["w1"].report.Pool, qt.Equals, test.pool)
			qt.Assert(t, r.core.workers["w1"].runs, qt.HasLen, map[bool]int{true: 1}[test.pool == "p"])
			for _, name := range []string{"p", "other"} {
				for _, ws := range r.core.pool(name).workers {
					qt.Assert(t, ws.report.Pool, qt.Equals, name)
				}
			}
			r.core.dropWorker(r.core.workers["w1"], "test")
			qt.Assert(t, r.core.pool("p").workers, qt.HasLen, 0)
			qt.Assert(t, r.core.pool("other").workers, qt.HasLen, 0)
		})
	}
}

// TestEntryWithUnknownPool guards against commands to the address of an entry whose pool the configuration does not name.
func TestEntryWithUnknownPool(t *testing.T) {
	r := newRig(t, 1, "w1")
	var log bytes.Buffer
	r.core.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
	good, odd := rigReport("w1", coresOnly(4)), rigReport("w2", coresOnly(4))
	odd.Pool = "unknown"
	for range 10 {
		r.core.SetWorkers([]worker.Report{good, odd})
	}
	qt.Assert(t, r.core.Workers(), qt.DeepEquals, []string{"w1"})
	qt.Assert(t, strings.Count(log.String(), "\n"), qt.Equals, 1, qt.Commentf("%s", log.String()))
	r.core.SetWorkers([]worker.Report{good})
	qt.Assert(t, r.core.unknownPools, qt.HasLen, 0)
	r.core.SetCatalog(catalog.New(2, 0, nil, []catalog.Pool{{Name: "p"}, {Name: "unknown"}}, nil))
	r.core.SetWorkers([]worker.Report{good, odd})
	qt.Assert(t, r.core.Workers(), qt.HasLen, 2)
	// The runs of a pool that is removed go on.
	r.core.SetCatalog(catalog.New(3, 0, nil, []catalog.Pool{{Name: "p"}}, nil))
	r.core.SetWorkers([]worker.Report{good, odd})
	qt.Assert(t, r.core.Workers(), qt.HasLen, 2)
	qt.Assert(t, r.core.workers["w2"].listed, qt.IsTrue)
}
