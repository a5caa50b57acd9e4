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

// operationLog collects a history of operations. Callers and endpoints run in the test process, so that all times come
// from one clock.
type operationLog struct {
	start time.Time
	list  []porcupine.Operation
}

func (o *operationLog) add(input, output any, call, end time.Time) {
	o.list = append(o.list, porcupine.Operation{
		ClientId: len(o.list), Input: input, Output: output,
		Call: call.Sub(o.start).Nanoseconds(), Return: max(end.Sub(o.start), call.Sub(o.start)).Nanoseconds(),
	})
}

// teamOfRun and idOfRun return the team and the caller's ID from the path of a run.
func teamOfRun(run standin.Run) string { return pathSegment(run, 2) }
func idOfRun(run standin.Run) string   { return pathSegment(run, 1) }

func pathSegment(run standin.Run, fromEnd int) string {
	parts := strings.Split(strings.Trim(run.Path, "/"), "/")
	return parts[len(parts)-fromEnd]
}

// admittedAt returns when the request of a run reached its endpoint. The run may begin later if the endpoint is slow, when
// nobody can take the request back.
func admittedAt(run standin.Run) time.Time {
	if run.Arrival.IsZero() {
		return run.Start
	}
	return run.Arrival
}

// checkHistories builds histories of the callers' results and of the runs that the endpoints recorded, and checks them
// against the models of the guarantees.
func (fleet *testFleet) checkHistories(t *testing.T) {
	all, atMostOnce := &operationLog{start: fleet.results[0].sentAt.Add(-time.Minute)}, &operationLog{start: fleet.results[0].sentAt.Add(-time.Minute)}
	isAtMostOnce := make(map[string]bool)
	answered := make(map[string]int)
	for _, c := range fleet.results {
		isAtMostOnce[c.id] = c.atMostOnce
		switch {
		case c.status == http.StatusOK:
			answered[c.team]++
			all.add(history.Exchange{ID: c.id}, c.digest, c.endedAt, c.endedAt)
		case c.notRun && !c.duplicate:
			// A rejection of one duplicate says nothing about the other.
			all.add(history.NotRun{ID: c.id}, nil, c.sentAt, c.endedAt)
		}
	}
	for _, e := range fleet.endpoints {
		for _, run := range e.Runs() {
			id, team := idOfRun(run), teamOfRun(run)
			end := run.End
			if end.IsZero() {
				end = time.Now()
			}
			if isAtMostOnce[id] {
				atMostOnce.add(history.Run{ID: id}, nil, run.Start, end)
			}
			all.add(history.Run{ID: id}, nil, run.Start, end)
			// The endpoint echoes the body and has recorded its digest.
			all.add(history.Response{ID: id, Body: run.Digest}, nil, run.Start, end)
			if team == openTeam {
				continue
			}
			all.add(history.RunBegin{Team: team, ID: run.RequestID}, nil, run.Start, run.Start)
			all.add(history.RunEnd{Team: team, ID: run.RequestID}, nil, end, end)
			admitted := admittedAt(run)
			all.add(history.AdmitWork{Key: team}, admitted.Sub(all.start), admitted, admitted)
		}
	}
	all.add(history.RevokeKey{Key: revokedTeam}, fleet.keyRevokedAt.Sub(all.start), fleet.keyRevokedAt, fleet.keyRevokedAt)
	t.Logf("%d requests, answered %v, %d operations", len(fleet.results), answered, len(all.list))
	fleet.logOutcomes(t)

	limits := map[string]int{"supervisors": teamLimit, revokedTeam: teamLimit}
	checks := map[string]struct {
		model history.Model
		list  []porcupine.Operation
	}{
		"upperLimit":    {model: history.UpperLimit(limits), list: all.list},
		"notRun":        {model: history.NotRunNeverRuns(), list: all.list},
		"ownAnswer":     {model: history.OwnAnswer(), list: all.list},
		"keyWithdrawal": {model: history.KeyRevocation(keyFreshness + dispatchSlack), list: all.list},
		"atMostOnce":    {model: history.AtMostOnce(), list: atMostOnce.list},
	}
	for name, c := range checks {
		qt.Check(t, history.Check(c.model, c.list), qt.IsNil, qt.Commentf("%s", name))
	}
	for _, name := range []string{"supervisors", revokedTeam, openTeam} {
		qt.Check(t, answered[name] > 50, qt.IsTrue, qt.Commentf("only %d requests of %s were answered", answered[name], name))
	}
}
