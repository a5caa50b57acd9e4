package caller_test

import (
	"cmp"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/standin"
)

// endpointFault is a fault of an endpoint and the response that callers must receive.
type endpointFault struct {
	fault standin.FaultKind
	// drain and crash replace the fault: the endpoint is draining or down.
	drain, crash bool
	path         string
	// The want fields are for a request that may not be repeated.
	wantStatus int
	wantNotRun bool
	wantRuns   int
	wantFault  connection.FaultKind
	wantLines  int
}

var endpointFaults = map[string]endpointFault{
	"garbage":              {fault: standin.FaultGarbage, wantStatus: 502, wantRuns: 1, wantFault: connection.FaultMalformed, wantLines: 1},
	"half a response":      {fault: standin.FaultHalfResponse, wantStatus: 502, wantRuns: 1, wantFault: connection.FaultTruncated, wantLines: 1},
	"wrong request id":     {fault: standin.FaultWrongRequestID, wantStatus: 502, wantRuns: 1, wantFault: connection.FaultRequestID, wantLines: 1},
	"wrong digest":         {fault: standin.FaultWrongDigest, wantStatus: 502, wantRuns: 1, wantFault: connection.FaultDigest, wantLines: 1},
	"no length":            {fault: standin.FaultNoLength, wantStatus: 502, wantRuns: 1, wantFault: connection.FaultTruncated, wantLines: 1},
	"huge header":          {fault: standin.FaultHugeHeader, wantStatus: 502, wantRuns: 1, wantFault: connection.FaultTooLarge, wantLines: 1},
	"huge body":            {fault: standin.FaultHugeBody, wantStatus: 502, wantRuns: 1, wantFault: connection.FaultTooLarge, wantLines: 1},
	"close before reading": {fault: standin.FaultCloseBeforeReading, wantStatus: 502, wantFault: connection.FaultConnection, wantLines: 1},
	"close after running":  {fault: standin.FaultCloseAfterRunning, wantStatus: 502, wantRuns: 1, wantFault: connection.FaultConnection, wantLines: 1},
	"no response":          {fault: standin.FaultNoResponse, path: "/work/brief/a", wantStatus: 504, wantRuns: 1, wantFault: connection.FaultTimeout, wantLines: 1},
	"slow":                 {fault: standin.FaultSlow, path: "/work/brief/a", wantStatus: 504, wantRuns: 1, wantFault: connection.FaultTimeout, wantLines: 1},
	"fails fast":           {fault: standin.FaultFailFast, wantStatus: 500, wantRuns: 1},
	"two responses":        {fault: standin.FaultTwoResponses, wantStatus: 200, wantRuns: 1},
	"draining":             {drain: true, wantStatus: 503, wantNotRun: true},
	"down":                 {crash: true, wantStatus: 503, wantNotRun: true, wantFault: connection.FaultConnection, wantLines: 1},
}

func (f endpointFault) apply(e *standin.Endpoint, times int) {
	switch {
	case f.drain:
		e.Drain()
	case f.crash:
		_ = e.Crash()
	default:
		e.SetFault(standin.Fault{Kind: f.fault, Times: times, Delay: time.Second})
	}
}

// TestEndpointFault guards against responses that contradict the runs that the endpoint has recorded, and against
// repeated attempts of requests that may not be repeated.
func TestEndpointFault(t *testing.T) {
	for name, test := range endpointFaults {
		for _, headers := range [][]string{nil, {"Idempotency-Key: k"}} {
			t.Run(fmt.Sprintf("%s/claimed=%t", name, headers != nil), func(t *testing.T) {
				c := qt.New(t)
				r := newRig(t, rigOptions{})
				test.apply(r.endpoints[0], 1)
				a := r.send(t.Context(), "POST", cmp.Or(test.path, "/work/swap/a"), "x", headers...)
				c.Assert(a.err, qt.IsNil)
				c.Assert(a.status, qt.Equals, test.wantStatus, qt.Commentf("%s", a.body))
				c.Assert(a.document.NotRun, qt.Equals, test.wantNotRun)
				if a.status >= 502 && !test.wantNotRun {
					c.Assert(a.document.Outcome, qt.Equals, problem.OutcomeUnknown)
				}
				c.Assert(r.runs(), qt.HasLen, test.wantRuns)
				event := r.events.last(1)
				c.Assert(event.Status, qt.Equals, test.wantStatus)
				c.Assert(event.NotRun, qt.Equals, test.wantNotRun)
				// A request that certainly did not run may be retried, here at the same endpoint, as there is no other.
				if test.wantFault != "" {
					c.Assert(len(r.events.faults) >= 1, qt.IsTrue)
					c.Assert(r.events.faults[0], qt.Equals, test.wantFault)
				}
				if !test.wantNotRun {
					c.Assert(r.log.all(), qt.HasLen, test.wantLines, qt.Commentf("%s", r.log.all()))
				}
			})
		}
	}
}

// TestIdempotentRetry guards against an idempotent request that fails although another endpoint is healthy.
func TestIdempotentRetry(t *testing.T) {
	for name, test := range endpointFaults {
		if test.wantStatus == 504 {
			// The deadline has passed by then, so there is no retry.
			continue
		}
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t, rigOptions{endpoints: 2})
			for n := range 4 {
				test.apply(r.endpoints[0], 1)
				body := fmt.Sprint("x", n)
				a := r.send(t.Context(), "PUT", "/work/swap/a", body)
				c.Assert(a.err, qt.IsNil)
				c.Assert(a.status, qt.Equals, 200, qt.Commentf("%s", a.body))
				if test.fault != standin.FaultTwoResponses {
					c.Assert(a.body, qt.Equals, body)
				}
			}
		})
	}
}

// TestClaimedRetry guards against a second run when the caller repeats a claimed request after each fault.
func TestClaimedRetry(t *testing.T) {
	for name, test := range endpointFaults {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t, rigOptions{})
			test.apply(r.endpoints[0], 1)
			path := cmp.Or(test.path, "/work/swap/a")
			first := r.send(t.Context(), "POST", path, "x", "Idempotency-Key: k1")
			c.Assert(first.status, qt.Equals, test.wantStatus)
			c.Assert(r.waitClaimsWritten(), qt.IsTrue)
			runs := len(r.runs())
			second := r.send(t.Context(), "POST", path, "x", "Idempotency-Key: k1")
			c.Assert(len(r.runs()) <= max(runs, 1), qt.IsTrue)
			switch {
			case test.wantStatus == 200 || test.wantStatus == 500:
				c.Assert(second.status, qt.Equals, first.status)
				c.Assert(second.body, qt.Equals, first.body)
				c.Assert(second.header.Get("Chivetiller-Stored"), qt.Equals, "true")
			case test.wantNotRun:
				c.Assert(second.status, qt.Equals, 503)
			default:
				c.Assert(second.status, qt.Equals, 409)
				c.Assert(second.document.Outcome, qt.Equals, problem.OutcomeUnknown)
			}
			other := r.send(t.Context(), "POST", path, "y", "Idempotency-Key: k1")
			if !test.wantNotRun {
				c.Assert(other.status, qt.Equals, 422)
				c.Assert(other.document.NotRun, qt.IsTrue)
			}
		})
	}
}

// TestOwnAnswer guards against a response that reaches the wrong caller. Endpoints send late, double, swapped and
// broken responses to some of many concurrent requests.
func TestOwnAnswer(t *testing.T) {
	kinds := []standin.FaultKind{
		standin.FaultTwoResponses, standin.FaultWrongRequestID, standin.FaultHalfResponse, standin.FaultGarbage,
		standin.FaultSlow, standin.FaultCloseAfterRunning,
	}
	c := qt.New(t)
	r := newRig(t, rigOptions{endpoints: 4, hedge: true, endpoint: standin.Options{ServiceTime: standin.Exponential(time.Millisecond)}})
	done := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(3 * time.Millisecond):
				r.endpoints[n%4].SetFault(standin.Fault{Kind: kinds[n%len(kinds)], Times: 1, Delay: 30 * time.Millisecond})
			}
		}
	})
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	wrong := 0
	for n := range 16 {
		callers.Go(func() {
			for i := range 100 {
				body := fmt.Sprintf("caller %d request %d %s", n, i, strings.Repeat("z", i))
				method := []string{"PUT", "POST"}[i%2]
				a := r.send(t.Context(), method, "/work/swap/a", body, "Chivetiller-Timeout: 500ms")
				mu.Lock()
				statuses[a.status]++
				// The stand-in adds "ok" to the body when it sends two responses.
				if a.err != nil || a.status == 200 && strings.TrimSuffix(a.body, "ok") != body {
					wrong++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	close(done)
	faults.Wait()
	t.Logf("statuses %v, faults %d, retries %d, hedges %d", statuses, len(r.events.faults), r.events.retries, r.events.hedges)
	c.Assert(wrong, qt.Equals, 0, qt.Commentf("%v", statuses))
	c.Assert(statuses[200] > 1000, qt.IsTrue, qt.Commentf("%v", statuses))
	for _, e := range r.endpoints {
		c.Assert(e.PeakRunning() <= endpoint.SlotsPerEndpoint, qt.IsTrue)
	}
}
