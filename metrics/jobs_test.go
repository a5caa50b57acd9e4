package metrics_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/metrics"
)

// TestServiceWaits guards against waits of services that the leader knows and that no metric tells, and against a unit other than seconds.
func TestServiceWaits(t *testing.T) {
	jobs := metrics.NewJobs(func(context.Context) metrics.JobStats {
		return metrics.JobStats{
			WaitingTasks: map[string]float64{"no room on a worker": 2},
			LongestWaits: map[string]time.Duration{"no room on a worker": 5600 * time.Millisecond},
		}
	})
	response := httptest.NewRecorder()
	jobs.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	qt.Assert(t, response.Body.String(), qt.Contains, `chivetiller_service_tasks_waiting{reason="no room on a worker"} 2`)
	qt.Assert(t, response.Body.String(), qt.Contains, `chivetiller_service_tasks_longest_wait_seconds{reason="no room on a worker"} 5.6`)
}
