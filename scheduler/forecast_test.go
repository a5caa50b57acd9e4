package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
)

// TestForecastOfSurge guards against a pool that has no instances when the surge of its queue begins: four queues surge by turns, and the
// pool whose turn is next needs them before the first job of its surge. With the switch off the pool follows its arrivals.
func TestForecastOfSurge(t *testing.T) {
	const turn = 4500 * time.Millisecond
	for name, on := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			c := NewCore(Options{Bounds: rigBounds(), Fence: 1, Term: 1, AcquiredAt: time.Minute, Features: serving.Scheduling{Forecast: on}})
			var queues []catalog.Queue
			for _, p := range []string{"a", "b", "c", "d"} {
				queues = append(queues, catalog.Queue{Name: p, Pool: p, Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond})
			}
			c.SetCatalog(catalog.New(1, 0, queues, nil, nil))
			jobs := 0
			step := func(surging int) {
				c.SetTime(c.now + 50*time.Millisecond)
				for i := range queues {
					if i != surging {
						continue
					}
					for range 4 {
						job := benchJob(jobs, 1)
						job.Queue, job.Pool = queues[i].Name, queues[i].Pool
						c.AddJob(job, nil, 0)
						c.Cancel(job.ID)
						jobs++
					}
				}
				c.forecast.Advance(c.now)
			}
			for start := c.now; c.now-start < 8*turn-time.Second; {
				step(int((c.now-start)/turn) % 4)
			}
			got := c.neededCores(c.pool("a"))
			want := 4 * 20 * float64(8*2*3.5*0.8)
			if !on {
				qt.Assert(t, got, qt.Equals, 0.0)
				return
			}
			qt.Assert(t, got > 0.9*want && got < 1.1*want, qt.IsTrue, qt.Commentf("%g cores a second before the surge, of %g", got, want))
		})
	}
}
