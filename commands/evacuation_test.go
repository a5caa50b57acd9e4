package commands

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/metrics"
)

// TestEvacuationList guards against a list that lacks a data centre which only some processes know to be evacuated, that shows no runs
// although the leader was asked, or that is empty since a process does not answer.
func TestEvacuationList(t *testing.T) {
	serve := func(s metrics.JobStats) string {
		server := httptest.NewServer(metrics.NewJobs(func(context.Context) metrics.JobStats { return s }).Handler())
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	leader := serve(metrics.JobStats{
		EvacuatedFor: map[string]time.Duration{"dc-2": 90 * time.Second, "dc 1/\"x\"": time.Second}, EvacuationRuns: map[string]float64{"dc-2": 7, "dc 1/\"x\"": 0},
	})
	other := serve(metrics.JobStats{EvacuatedFor: map[string]time.Duration{"dc-2": 91500 * time.Millisecond, "dc-3": 2 * time.Second}})
	idle := serve(metrics.JobStats{})
	failing := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(failing.Close)
	for name, test := range map[string]struct {
		args []string
		code int
		want string
	}{
		"table": {[]string{"--metrics", leader + "," + other}, exitOK, `DATA CENTRE  FOR    PROCESSES  RUNS
dc 1/"x"     1s     1          0
dc-2         1m31s  2          7
dc-3         2s     1          -
`},
		"json": {[]string{"--metrics", other, "--output", "json"}, exitOK, `[
  {
    "dataCentre": "dc-2",
    "forSeconds": 91.5,
    "processes": 1
  },
  {
    "dataCentre": "dc-3",
    "forSeconds": 2,
    "processes": 1
  }
]
`},
		"none":          {[]string{"--metrics", idle}, exitOK, "DATA CENTRE  FOR  PROCESSES  RUNS\n"},
		"none in JSON":  {[]string{"--metrics", idle, "--output", "json"}, exitOK, "[]\n"},
		"one fails":     {[]string{"--metrics", leader, "--metrics", failing.URL}, exitFailure, ""},
		"no address":    {nil, exitFailure, ""},
		"wrong output":  {[]string{"--metrics", leader, "--output", "xml"}, exitUsage, ""},
		"wrong address": {[]string{"--metrics", "127.0.0.1:1"}, exitFailure, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := Execute(append([]string{"evacuation", "list"}, test.args...), &stdout, &stderr)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s", stderr.String()))
			qt.Assert(t, stdout.String(), qt.Equals, test.want)
			qt.Assert(t, stderr.Len() > 0, qt.Equals, code != exitOK)
		})
	}
}
