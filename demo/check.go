package demo

import (
	"fmt"
	"strings"

	"github.com/chivetiller/chivetiller/standin"
)

// maxExamples bounds the faults that a report describes.
const maxExamples = 10

// Report is the outcome of a run.
type Report struct {
	// Answered requests got their own whole response.
	Answered int `json:"answered"`
	// Refused requests were rejected as not run, and did not run.
	Refused int `json:"refused"`
	// Lost requests got neither, or were answered or rejected against the records of the endpoints.
	Lost int `json:"lost"`
	// Doubled requests must run at most once and ran more often.
	Doubled int `json:"doubled"`
	// Cut requests got a response that was not whole or not their own, or were interrupted at an endpoint.
	Cut int `json:"cut"`
	// WaveSeconds is how long the maintenance wave took.
	WaveSeconds float64 `json:"waveSeconds"`
	// Faults describe some of the requests that were lost, doubled or cut.
	Faults []string `json:"faults,omitempty"`
}

// String returns the counts in one line.
func (r Report) String() string {
	return fmt.Sprintf("answered %d, refused %d, lost %d, doubled %d, cut %d", r.Answered, r.Refused, r.Lost, r.Doubled, r.Cut)
}

// OK reports whether no request was lost, doubled or cut.
func (r Report) OK() bool { return r.Lost == 0 && r.Doubled == 0 && r.Cut == 0 }

func (r *Report) fault(c call, format string, args ...any) {
	if len(r.Faults) < maxExamples {
		what := fmt.Sprintf(format, args...)
		r.Faults = append(r.Faults, fmt.Sprintf("%s request %s: %s (status %d, %s)", c.class.Name, c.id, what, c.status, c.detail))
	}
}

// runsOf is what the endpoints recorded of a request.
type runsOf struct {
	total       int
	sent        int
	interrupted int
}

// check compares what callers were told with what the endpoints recorded.
func check(calls []call, endpoints []*standin.Endpoint) Report {
	recorded := make(map[string]runsOf)
	for _, e := range endpoints {
		for _, run := range e.Runs() {
			id := run.Path[strings.LastIndexByte(run.Path, '/')+1:]
			r := recorded[id]
			r.total++
			if run.Sent {
				r.sent++
			}
			if run.Interrupted {
				r.interrupted++
			}
			recorded[id] = r
		}
	}
	var report Report
	for _, c := range calls {
		report.add(c, recorded[c.id])
	}
	return report
}

func (r *Report) add(c call, runs runsOf) {
	if c.once && runs.total > 1 {
		r.Doubled++
		r.fault(c, "ran %d times", runs.total)
	}
	switch {
	case c.result == resultCut:
		r.Cut++
		r.fault(c, "response is not whole")
	case c.result == resultAnswered && runs.sent == 0:
		r.Lost++
		r.fault(c, "answered although no endpoint has sent a response")
	case c.result == resultAnswered:
		r.Answered++
	case c.result == resultRefused && runs.total > 0:
		r.Lost++
		r.fault(c, "rejected as not run although it ran %d times", runs.total)
	case c.result == resultRefused:
		r.Refused++
	case runs.interrupted > 0:
		r.Cut++
		r.fault(c, "interrupted at the endpoint")
	default:
		r.Lost++
		r.fault(c, "neither answered nor rejected as not run")
	}
}
