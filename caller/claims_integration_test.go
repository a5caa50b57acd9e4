package caller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/standin"
)

// TestClaimWithoutPlatform guards against claimed requests that run although their claim may not be written, against
// idempotency keys that stay blocked after the platform is back, and against open classes that fail with the platform.
func TestClaimWithoutPlatform(t *testing.T) {
	tests := map[string]struct {
		fault      error
		good       int
		wantStatus int
	}{
		"down":                  {fault: provider.ErrUnavailable, wantStatus: 503},
		"response lost":         {fault: provider.ErrUnknownOutcome, wantStatus: 503},
		"down after the claim":  {fault: provider.ErrUnavailable, good: 1, wantStatus: 200},
		"lost after the claim":  {fault: provider.ErrUnknownOutcome, good: 1, wantStatus: 200},
		"over budget":           {fault: provider.ErrOverBudget, wantStatus: 503},
		"conflict without rows": {fault: provider.ErrConflict, wantStatus: 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t, rigOptions{})
			r.table.set(test.fault, test.good)
			a := r.send(t.Context(), "POST", "/work/swap/a", "x", "Idempotency-Key: k")
			c.Assert(a.status, qt.Equals, test.wantStatus, qt.Commentf("%s", a.body))
			c.Assert(a.document.NotRun, qt.Equals, test.wantStatus == 503)
			c.Assert(len(r.runs()) == 0, qt.Equals, test.wantStatus == 503)
			c.Assert(r.send(t.Context(), "GET", "/work/board/a", "").status, qt.Equals, 200)
			r.table.set(nil, 0)
			c.Assert(r.waitClaimsWritten(), qt.IsTrue)
			again := r.send(t.Context(), "POST", "/work/swap/a", "x", "Idempotency-Key: k")
			c.Assert(again.status, qt.Equals, 200, qt.Commentf("%s", again.body))
			c.Assert(again.body, qt.Equals, "x")
			claimed := 0
			for _, run := range r.runs() {
				if run.IdempotencyKey == "k" {
					claimed++
				}
			}
			c.Assert(claimed, qt.Equals, 1)
		})
	}
}

// TestAtMostOnce guards against a second run of a claimed request, and against responses that wrongly say whether it
// ran. Callers repeat claimed requests while endpoints and the platform fail at random.
func TestAtMostOnce(t *testing.T) {
	c := qt.New(t)
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	r := newRig(t, rigOptions{endpoints: 3, endpoint: standin.Options{ServiceTime: standin.Exponential(time.Millisecond)}})
	kinds := []standin.FaultKind{
		standin.FaultNone, standin.FaultGarbage, standin.FaultHalfResponse, standin.FaultTwoResponses, standin.FaultWrongRequestID,
		standin.FaultCloseBeforeReading, standin.FaultCloseAfterRunning, standin.FaultFailFast, standin.FaultSlow,
	}
	tableFaults := []error{nil, nil, nil, provider.ErrUnavailable, provider.ErrUnknownOutcome}
	done := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() {
		for {
			select {
			case <-done:
				r.table.set(nil, 0)
				return
			case <-time.After(2 * time.Millisecond):
			}
			e := r.endpoints[random.IntN(len(r.endpoints))]
			switch random.IntN(10) {
			case 0:
				e.Drain()
			case 1, 2:
				e.Undrain()
			case 3:
				r.table.set(tableFaults[random.IntN(len(tableFaults))], 0)
			default:
				e.SetFault(standin.Fault{Kind: kinds[random.IntN(len(kinds))], Times: 1, Delay: 20 * time.Millisecond})
			}
		}
	})
	type callerResult struct {
		answered, notRun bool
		body             string
	}
	var mu sync.Mutex
	results := make(map[string]callerResult)
	statuses := make(map[int]int)
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Go(func() {
			for i := range 40 {
				key := fmt.Sprintf("%d-%d", n, i)
				var last callerResult
				for range 4 {
					a := r.send(context.Background(), "POST", "/work/swap/a", key, "Idempotency-Key: "+key, "Chivetiller-Timeout: 300ms")
					// "Not run" applies to this request only. An earlier one with the same key may have run.
					last.notRun = a.document.NotRun && (last == callerResult{} || last.notRun)
					last.answered, last.body = a.status == 200, a.body
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
					if a.status == 200 || a.status == 500 {
						break
					}
				}
				mu.Lock()
				results[key] = last
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	close(done)
	chaos.Wait()
	runs := make(map[string]int)
	for _, run := range r.runs() {
		runs[run.IdempotencyKey]++
	}
	t.Logf("statuses %v", statuses)
	answered := 0
	for key, e := range results {
		c.Assert(runs[key] <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, runs[key]))
		if e.answered {
			answered++
			c.Assert(runs[key], qt.Equals, 1)
			c.Assert(e.body == key || e.body == key+"ok", qt.IsTrue, qt.Commentf("key %s received %q", key, e.body))
		}
		if e.notRun {
			c.Assert(runs[key], qt.Equals, 0, qt.Commentf("key %s", key))
		}
	}
	c.Assert(answered > 0, qt.IsTrue)
}
