package scheduler

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/timeline"
)

// TestLoggedStarts guards against a start that no log line names, and against a line for each start of a batch.
func TestLoggedStarts(t *testing.T) {
	var log bytes.Buffer
	r := newRig(t, 1, "w1", "w2")
	r.setCapacity(coresOnly(500), "w1", "w2")
	r.core.logger = hclog.New(&hclog.LoggerOptions{Name: "chivetiller", Output: &log, TimeFormat: "2006-01-02T15:04:05Z"})
	r.core.workers["w2"].fence += 5
	for id, tasks := range map[string]int{"one": 1, "few": 3, "many": 5*maxLoggedStarts + 1} {
		r.addSteps(id, tasks)
	}
	starts := startsOf(r.pass())
	var logged []string
	for text := range strings.Lines(log.String()) {
		e, ok := timeline.Parse(strings.TrimSpace(text))
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, text, qt.Matches, `(?s).* cpu=1000 fence=\d+ waited=\S+ sincePlan=\S+ contactAge=\S+ config=1\n`)
		for _, one := range e.Split() {
			logged = append(logged, strings.Join([]string{one.Field("job"), one.Field("task"), one.Field("run"), one.Field("worker")}, " "))
		}
	}
	slices.Sort(starts)
	slices.Sort(logged)
	qt.Assert(t, logged, qt.DeepEquals, starts)
	qt.Assert(t, strings.Count(log.String(), "\n") <= 10, qt.IsTrue, qt.Commentf("%s", log.String()))
}
