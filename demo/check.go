package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/standin"
)

// maxExamples is the largest number of faults that a report describes.
const maxExamples = 10

// Report is the outcome of a demo run.
type Report struct {
	// Answered counts requests that got a complete response which is their own.
	Answered int `json:"answered"`
	// Refused counts requests that were rejected as not run, and did not run.
	Refused int `json:"refused"`
	// Lost counts requests that were neither answered nor rejected as not run, and those whose answer or rejection
	// contradicts the records of the endpoints.
	Lost int `json:"lost"`
	// Doubled counts requests that must run at most once and ran more often.
	Doubled int `json:"doubled"`
	// Cut counts requests that got an incomplete response or that of another request, or that were interrupted at an
	// endpoint.
	Cut int `json:"cut"`
	// WaveSeconds is the duration of the maintenance wave in seconds.
	WaveSeconds float64 `json:"waveSeconds"`
	// Faults describes the first requests that were lost, doubled or cut.
	Faults []string `json:"faults,omitempty"`
}

// String returns the counts on one line.
func (r Report) String() string {
	return fmt.Sprintf("answered %d, refused %d, lost %d, doubled %d, cut %d", r.Answered, r.Refused, r.Lost, r.Doubled, r.Cut)
}

// OK reports whether no request was lost, doubled or cut.
func (r Report) OK() bool { return r.Lost == 0 && r.Doubled == 0 && r.Cut == 0 }

func (r *Report) addFault(c call, format string, args ...any) {
	if len(r.Faults) < maxExamples {
		description := fmt.Sprintf(format, args...)
		r.Faults = append(r.Faults, fmt.Sprintf("%s request %s: %s (status %d, %s)", c.class.Name, c.id, description, c.status, c.detail))
	}
}

const (
	// recordTimeout is how long the endpoints may take to record their last responses.
	recordTimeout = 5 * time.Second
	// recordPollInterval is the time between two checks whether they have.
	recordPollInterval = 5 * time.Millisecond
)

// waitForRecords waits until no endpoint handles a request. An endpoint records a response when it has been sent, so that its caller may
// have received it before.
func waitForRecords(ctx context.Context, endpoints []*standin.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for slices.ContainsFunc(endpoints, func(e *standin.Endpoint) bool { return e.InFlight() > 0 }) {
		if err := sleep(ctx, recordPollInterval); err != nil {
			return eris.Wrap(err, "wait for the endpoints to record their responses")
		}
	}
	return nil
}

// recordedRuns counts the runs of one request that the endpoints recorded.
type recordedRuns struct {
	total       int
	sent        int
	interrupted int
}

// compareWithRecords compares the results of the callers with the runs that the endpoints recorded.
func compareWithRecords(calls []call, endpoints []*standin.Endpoint) Report {
	recorded := make(map[string]recordedRuns)
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
		report.addCall(c, recorded[c.id])
	}
	return report
}

func (r *Report) addCall(c call, runs recordedRuns) {
	if c.atMostOnce && runs.total > 1 {
		r.Doubled++
		r.addFault(c, "ran %d times", runs.total)
	}
	switch {
	case c.result == resultCut:
		r.Cut++
		r.addFault(c, "response is not whole")
	case c.result == resultAnswered && runs.sent == 0:
		r.Lost++
		r.addFault(c, "answered although no endpoint has sent a response")
	case c.result == resultAnswered:
		r.Answered++
	case c.result == resultRefused && runs.total > 0:
		r.Lost++
		r.addFault(c, "rejected as not run although it ran %d times", runs.total)
	case c.result == resultRefused:
		r.Refused++
	case runs.interrupted > 0:
		r.Cut++
		r.addFault(c, "interrupted at the endpoint")
	default:
		r.Lost++
		r.addFault(c, "neither answered nor rejected as not run")
	}
}
