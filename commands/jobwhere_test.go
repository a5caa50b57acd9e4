package commands

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/waiting"
	"github.com/chivetiller/chivetiller/internal/jobs/whereabouts"
)

// TestJobWhere guards against flags that do not reach the leader, an answer without its reasons, and an exit code that hides a lost leader.
func TestJobWhere(t *testing.T) {
	var asked whereabouts.Question
	answer := func(status int, document any) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != whereabouts.Path || r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&asked) != nil {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(document)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	starts := answer(http.StatusOK, whereabouts.Answer{
		Leader: "n1", Pool: "p", Admission: "admitted", Ahead: 2, Waiting: 5, Share: &whereabouts.Share{Used: 0.25, Owed: 0.125, BeyondRate: true}, Worker: "w1", Rack: "r1-1",
		Start: &whereabouts.Spread{}, End: &whereabouts.Spread{Earliest: 0.5, Expected: 1, Latest: 2.25}, Runs: 12, Workers: 4, Others: map[whereabouts.Reason]int{whereabouts.Full: 2, "drained": 1},
	})
	waits := answer(http.StatusOK, whereabouts.Answer{
		Leader: "n1", Pool: "p", Admission: "overloaded", RetryAfterSeconds: 3, Waiting: 1, Wait: waiting.ForPolicy, Workers: 1,
		Others: map[whereabouts.Reason]int{whereabouts.NotEligible: 1},
	})
	lost := answer(http.StatusServiceUnavailable, whereabouts.Failure{Error: "no node is the leader", LastLeader: "n7"})
	unknown := answer(http.StatusBadRequest, whereabouts.Failure{Error: "the configuration has no such queue"})
	old := answer(http.StatusMethodNotAllowed, "")
	for name, test := range map[string]struct {
		args   []string
		code   int
		stdout string
		stderr string
	}{
		"starts": {[]string{"--metrics", starts, "--queue", "q"}, exitOK, `WHAT        NOW
leader      n1
pool        p
admission   admitted
jobs ahead  2 of 5
team        beyond its rate, uses 25.0% of the pool, is owed 12.5%
worker      w1 in rack r1-1
start       in 0s (0s to 0s)
end         in 1s (500ms to 2.25s), from 12 runs
workers     4
  full      2 have no room
  drained   1 are drained for a move or for maintenance
`, ""},
		"waits": {[]string{"--metrics", waits, "--queue", "q"}, exitOK, `WHAT           NOW
leader         n1
pool           p
admission      overloaded, again after 3s
jobs ahead     0 of 1
worker         none; the first task waits: no policy decision
start          not known
end            not known
workers        1
  notEligible  1 are ruled out by the policy, the limit per worker or a test
`, ""},
		"JSON": {[]string{"--metrics", waits, "--queue", "q", "--output", "json"}, exitOK, `{
  "leader": "n1",
  "pool": "p",
  "admission": "overloaded",
  "retryAfterSeconds": 3,
  "ahead": 0,
  "waiting": 1,
  "wait": "no policy decision",
  "runs": 0,
  "workers": 1,
  "others": {
    "notEligible": 1
  }
}
`, ""},
		"leader lost":    {[]string{"--metrics", lost, "--queue", "q"}, exitFailure, "", "last known leader: n7"},
		"unknown queue":  {[]string{"--metrics", unknown, "--queue", "q"}, exitUsage, "", "no such queue"},
		"older process":  {[]string{"--metrics", old, "--queue", "q"}, exitFailure, "", "status 405"},
		"no address":     {[]string{"--queue", "q"}, exitFailure, "", "metrics"},
		"wrong output":   {[]string{"--metrics", starts, "--queue", "q", "--output", "xml"}, exitUsage, "", "xml"},
		"no such server": {[]string{"--metrics", "127.0.0.1:1", "--queue", "q"}, exitFailure, "", "127.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := Execute(append([]string{"job", "where"}, test.args...), &stdout, &stderr)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s", stderr.String()))
			qt.Assert(t, stdout.String(), qt.Equals, test.stdout)
			qt.Assert(t, stderr.String(), qt.Contains, test.stderr)
		})
	}
	var stdout, stderr bytes.Buffer
	args := []string{
		"job", "where", "--metrics", starts, "--queue", "q", "--team", "t", "--cores", "2.5", "--memory", "100", "--accelerators", "1", "--count", "3", "--estimate", "1500ms",
		"--rack", "r1-1", "--label", "ssd", "--max-per-worker", "2", "--service", "--gang", "--speculative",
	}
	qt.Assert(t, Execute(args, &stdout, &stderr), qt.Equals, exitOK, qt.Commentf("%s", stderr.String()))
	qt.Assert(t, asked, qt.Equals, whereabouts.Question{
		Queue: "q", Team: "t", CPU: 2500, Memory: 100, GPU: 1, Count: 3, EstimateSeconds: 1.5, Rack: "r1-1", Label: "ssd", MaxPerWorker: 2, Service: true, Gang: true, Speculative: true,
	})
}
