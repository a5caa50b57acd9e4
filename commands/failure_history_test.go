package commands

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/history"
	"github.com/chivetiller/chivetiller/standin"
)

// operations collects a history on the clock of the test, in which callers and endpoints live.
type operations struct {
	start time.Time
	list  []porcupine.Operation
}

func (o *operations) add(input, output any, call, end time.Time) {
	o.list = append(o.list, porcupine.Operation{
		ClientId: len(o.list), Input: input, Output: output,
		Call: call.Sub(o.start).Nanoseconds(), Return: max(end.Sub(o.start), call.Sub(o.start)).Nanoseconds(),
	})
}

// teamOf and idOf read team and caller's ID from the path of a run.
func teamOf(run standin.Run) string { return pathPart(run, 2) }
func idOf(run standin.Run) string   { return pathPart(run, 1) }

func pathPart(run standin.Run, fromEnd int) string {
	parts := strings.Split(strings.Trim(run.Path, "/"), "/")
	return parts[len(parts)-fromEnd]
}

// check compares what callers were told with the records of the endpoints, as histories of the promises.
func (r *rig) check(t *testing.T) {
	all, once := &operations{start: r.results[0].at.Add(-time.Minute)}, &operations{start: r.results[0].at.Add(-time.Minute)}
	isOnce := make(map[string]bool)
	answered := make(map[string]int)
	for _, c := range r.results {
		isOnce[c.id] = c.once
		switch {
		case c.status == http.StatusOK:
			answered[c.team]++
			all.add(history.Exchange{ID: c.id}, c.digest, c.ended, c.ended)
		case c.notRun && !c.twin:
			// A rejection of one twin says nothing about the other.
			all.add(history.NotRun{ID: c.id}, nil, c.at, c.ended)
		}
	}
	for _, e := range r.endpoints {
		for _, run := range e.Runs() {
			id, team := idOf(run), teamOf(run)
			end := run.End
			if end.IsZero() {
				end = time.Now()
			}
			if isOnce[id] {
				once.add(history.Run{ID: id}, nil, run.Start, end)
			}
			all.add(history.Run{ID: id}, nil, run.Start, end)
			// The endpoint echoes the body, whose digest it has recorded.
			all.add(history.Response{ID: id, Body: run.Digest}, nil, run.Start, end)
			if team == openTeam {
				continue
			}
			all.add(history.RunBegin{Team: team, ID: run.RequestID}, nil, run.Start, run.Start)
			all.add(history.RunEnd{Team: team, ID: run.RequestID}, nil, end, end)
			all.add(history.AdmitWork{Key: team}, run.Start.Sub(all.start), run.Start, run.Start)
		}
	}
	all.add(history.RevokeKey{Key: withdrawnTeam}, r.withdrawn.Sub(all.start), r.withdrawn, r.withdrawn)
	t.Logf("%d requests, answered %v, %d operations", len(r.results), answered, len(all.list))

	limits := map[string]int{"supervisors": teamLimit, withdrawnTeam: teamLimit}
	checks := map[string]struct {
		model history.Model
		list  []porcupine.Operation
	}{
		"upperLimit":    {model: history.UpperLimit(limits), list: all.list},
		"notRun":        {model: history.NotRunNeverRuns(), list: all.list},
		"ownAnswer":     {model: history.OwnAnswer(), list: all.list},
		"keyWithdrawal": {model: history.KeyRevocation(keyFreshness + keySlack), list: all.list},
		"atMostOnce":    {model: history.AtMostOnce(), list: once.list},
	}
	for name, c := range checks {
		qt.Check(t, history.Check(c.model, c.list), qt.IsNil, qt.Commentf("%s", name))
	}
	for _, name := range []string{"supervisors", withdrawnTeam, openTeam} {
		qt.Check(t, answered[name] > 50, qt.IsTrue, qt.Commentf("only %d requests of %s were answered", answered[name], name))
	}
}
