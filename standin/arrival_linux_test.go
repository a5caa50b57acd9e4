package standin_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/standin"
)

// TestArrivalOfRequestThatRunsLate guards against a delay within the endpoint that counts as one of the sender.
func TestArrivalOfRequestThatRunsLate(t *testing.T) {
	const pause = 100 * time.Millisecond
	tests := map[string]struct{ size int }{
		"one packet":                {size: 1},
		"larger than a read buffer": {size: 100_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := standin.New(standin.Options{ID: "e", RecordArrivals: true})
			c.Assert(e.Start(t.Context()), qt.IsNil)
			defer e.Crash()
			post := func() time.Time {
				sentAt := time.Now()
				response, err := http.Post("http://"+e.Address()+"/a", "text/plain", strings.NewReader(strings.Repeat("x", tt.size)))
				c.Assert(err, qt.IsNil)
				response.Body.Close()
				return sentAt
			}
			// The kernel enables arrival times in the background.
			for n := 0; n == 0 || n < 500 && e.Runs()[n-1].Arrival.IsZero(); n++ {
				post()
				time.Sleep(2 * time.Millisecond)
			}
			var handledAt time.Time
			e.OnRequest(func(*http.Request) {
				handledAt = time.Now()
				time.Sleep(pause)
			})
			sentAt := post()
			runs := e.Runs()
			run := runs[len(runs)-1]
			c.Assert(run.Arrival.Before(sentAt), qt.IsFalse, qt.Commentf("arrived %s, sent %s", run.Arrival, sentAt))
			c.Assert(run.Start.Sub(run.Arrival) >= 0, qt.IsTrue)
			c.Assert(run.Start.Sub(handledAt) >= pause, qt.IsTrue)
			if tt.size == 1 {
				c.Assert(run.Arrival.After(handledAt), qt.IsFalse, qt.Commentf("arrived %s, handled %s", run.Arrival, handledAt))
			}
		})
	}
}
