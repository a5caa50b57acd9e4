package commands

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/standin"
)

// logOutcomes logs what became of the requests of each team and where their time went, so that a failed check can be
// traced to callers, entry instances, platform or endpoints.
func (fleet *testFleet) logOutcomes(t *testing.T) {
	outcomes := make(map[string]map[string]int)
	results := make(map[string]callResult)
	var bySecond []map[string]int
	var lastSentAt time.Time
	for _, c := range fleet.results {
		if outcomes[c.team] == nil {
			outcomes[c.team] = make(map[string]int)
		}
		outcomes[c.team][c.outcome()]++
		results[c.id] = c
		if c.sentAt.After(lastSentAt) {
			lastSentAt = c.sentAt
		}
		if c.team != revokedTeam {
			continue
		}
		second := int(c.sentAt.Sub(fleet.loadStartedAt) / time.Second)
		for len(bySecond) <= second {
			bySecond = append(bySecond, make(map[string]int))
		}
		bySecond[second][c.outcome()]++
	}
	var untilRun, run, untilAnswer, arrivals, starts, inEndpoint []time.Duration
	for _, e := range fleet.endpoints {
		for _, r := range e.Runs() {
			c, ok := results[idOfRun(r)]
			if !ok || c.duplicate || c.status != http.StatusOK {
				continue
			}
			untilRun = append(untilRun, r.Start.Sub(c.sentAt))
			run = append(run, r.End.Sub(r.Start))
			untilAnswer = append(untilAnswer, c.endedAt.Sub(r.End))
		}
	}
	for _, r := range fleet.runsOf(revokedTeam) {
		arrivals = append(arrivals, admittedAt(r).Sub(fleet.keyRevokedAt))
		starts = append(starts, r.Start.Sub(fleet.keyRevokedAt))
		inEndpoint = append(inEndpoint, r.Start.Sub(admittedAt(r)))
	}
	for _, team := range slices.Sorted(maps.Keys(outcomes)) {
		t.Logf("requests of %s by outcome: %v", team, outcomes[team])
	}
	for second, counts := range bySecond {
		t.Logf("requests of %s sent in second %d: %v", revokedTeam, second, counts)
	}
	t.Logf("%d requests were sent in %s", len(results), lastSentAt.Sub(fleet.loadStartedAt).Round(time.Millisecond))
	for i, cmd := range fleet.entries {
		t.Logf("entry instance %d used %s of processor time", i, (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Round(time.Millisecond))
	}
	t.Logf("answered requests: until run %s, run %s, until answer %s", quantiles(untilRun), quantiles(run), quantiles(untilAnswer))
	t.Logf("requests of %s: arrival after the revocation %s, start after the revocation %s, from arrival to start %s",
		revokedTeam, quantiles(arrivals), quantiles(starts), quantiles(inEndpoint))
}

// outcome returns "answered", the problem of a rejected request, or "no response".
func (c callResult) outcome() string {
	switch c.status {
	case 0:
		return "no response"
	case http.StatusOK:
		return "answered"
	}
	return c.problem
}

// runsOf returns the runs of a team at all endpoints.
func (fleet *testFleet) runsOf(team string) []standin.Run {
	var runs []standin.Run
	for _, e := range fleet.endpoints {
		runs = append(runs, slices.DeleteFunc(e.Runs(), func(r standin.Run) bool { return teamOfRun(r) != team })...)
	}
	return runs
}

// quantiles returns the median, the 90th percentile and the maximum.
func quantiles(list []time.Duration) string {
	if len(list) == 0 {
		return "none"
	}
	slices.SortFunc(list, cmp.Compare)
	at := func(fraction float64) time.Duration {
		return list[int(fraction*float64(len(list)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %s p90 %s max %s", at(0.5), at(0.9), at(1))
}
