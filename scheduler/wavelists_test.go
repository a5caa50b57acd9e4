package scheduler

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/pools/absence"
)

// TestWaveBesideIncompleteLists guards against a wave that is said to be finished without an instance that a list lacks although it exists,
// because the list is older than the wave or incomplete, and against a wave that waits for an instance that does not exist.
func TestWaveBesideIncompleteLists(t *testing.T) {
	const id, stays = "m-w4", true
	present := func(time.Duration) bool { return true }
	absentUntil := func(end time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at >= end }
	}
	tests := map[string]struct {
		// listAge is the age of the list at hand when the wave is read. The instance joins after it was read.
		listAge time.Duration
		// listed reports whether lists have the instance, at a time since the wave was read, and unnamed whether they have an entry without ID.
		listed, unnamed func(time.Duration) bool
		// outcome is that of the first command for the instance.
		outcome instance.Outcome
		stays   bool
	}{
		"list older than the wave":          {listAge: 100 * time.Millisecond, listed: present, stays: stays},
		"oldest list that commands rest on": {listAge: maxListAge - 100*time.Millisecond, listed: present, stays: stays},
		"one list lacks it":                 {listed: absentUntil(300 * time.Millisecond), stays: stays},
		"several lists lack it":             {listed: absentUntil(absence.MinTime), stays: stays},
		"lists with an entry without ID":    {listed: absentUntil(4 * time.Second), unnamed: func(at time.Duration) bool { return at < 4*time.Second }, stays: stays},
		"platform does not know it yet":     {listed: present, outcome: instance.Invalid, stays: stays},
		"instance does not exist":           {listed: func(time.Duration) bool { return false }},
		"instance is taken away":            {listed: func(at time.Duration) bool { return at < 200*time.Millisecond }, outcome: instance.Invalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetRig(t, 4, 0)
			all := maps.Clone(f.instances)
			list := func(since time.Duration) {
				f.instances = maps.Clone(all)
				if !test.listed(since) {
					delete(f.instances, id)
				}
				if test.unnamed != nil && test.unnamed(since) {
					f.instances[""] = instance.Instance{State: instance.Down}
				}
				f.listInstances()
			}
			if test.listAge > 0 {
				delete(f.instances, id)
				f.listInstances()
				f.advance(test.listAge)
			}
			f.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1", "m-w2", "m-w3", id}, MaxDuration: 20 * time.Second, MaxUnavailable: 4}, nil)
			added, commands := f.now, 0
			w := f.core.fleet.waves[1]
			for f.now < added+12*time.Second && !w.finished {
				for _, cmd := range f.instanceCommands() {
					outcome := instance.Accepted
					if cmd.Instance == id {
						commands++
						if commands == 1 {
							outcome = test.outcome
						}
					}
					f.core.HandleInstanceReply(cmd, outcome, nil)
				}
				f.advance(100 * time.Millisecond)
				for worker := range f.core.workers {
					f.reply(worker)
				}
				list(f.now - added)
			}
			qt.Assert(t, w.finished, qt.IsTrue)
			_, begun := w.begun[id]
			qt.Assert(t, begun, qt.Equals, test.stays)
			qt.Assert(t, len(w.begun) >= 3, qt.IsTrue)
		})
	}
}

// TestWaveLimitBesideIncompleteLists guards against more instances of a wave in maintenance than it allows, because a list lacks one of them.
func TestWaveLimitBesideIncompleteLists(t *testing.T) {
	f := newFleetRig(t, 4, 0)
	f.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-w1", "m-w2", "m-w3", "m-w4"}, MaxDuration: time.Second, MaxUnavailable: 1}, nil)
	begun := ""
	for end := f.now + 1200*time.Millisecond; f.now < end; {
		f.advance(100 * time.Millisecond)
		for worker := range f.core.workers {
			f.reply(worker)
		}
		f.listInstances()
		for _, cmd := range f.instanceCommands() {
			qt.Assert(t, begun, qt.Equals, "", qt.Commentf("%s beside %s", cmd.Instance, begun))
			begun = cmd.Instance
			f.acceptInstances([]InstanceCommand{cmd})
			delete(f.instances, begun)
		}
	}
	qt.Assert(t, begun, qt.Not(qt.Equals), "")
}
