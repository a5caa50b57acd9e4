package metrics_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// newSources returns sources with the given number of pools and teams.
func newSources(pools, teams int) metrics.Sources {
	poolStats := make([]metrics.PoolStats, pools)
	for i := range poolStats {
		poolStats[i] = metrics.PoolStats{Pool: fmt.Sprintf("pool%d", i), Queued: i, Running: i, FreeSlots: i, Usable: i}
	}
	teamStats := make([]metrics.TeamStats, teams)
	for i := range teamStats {
		teamStats[i] = metrics.TeamStats{Team: fmt.Sprintf("team%d", i), Held: i, Running: i}
	}
	return metrics.Sources{
		Pools:     func() []metrics.PoolStats { return poolStats },
		Teams:     func() []metrics.TeamStats { return teamStats },
		Config:    func() metrics.ConfigStats { return metrics.ConfigStats{Version: 7, Age: time.Second, Known: true} },
		Peers:     func() map[string]int { return map[string]int{"alive": 5, "suspect": 1} },
		Duties:    func() int { return 4 },
		Instances: func() map[string]int { return map[string]int{"serving": 48, "draining": 2} },
		Clients: func() map[string]metrics.ClientStats {
			return map[string]metrics.ClientStats{"callers": {Connections: 2, HeldBytes: 40960, Refusals: map[string]float64{"memory": 1}}}
		},
	}
}

// TestNames guards against metrics that break the naming conventions of Prometheus.
func TestNames(t *testing.T) {
	set := metrics.NewSet(newSources(1, 1))
	set.Request("quote", "answered", time.Millisecond)
	set.Fault("truncated")
	set.ExtraAttempt("quote", "retry")
	problems, err := testutil.GatherAndLint(set.Registry())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, problems, qt.HasLen, 0)
}

// TestDocumentation guards against a metric that is missing in the operator documentation, and against a documented
// metric that no longer exists.
func TestDocumentation(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/metrics.md")
	qt.Assert(t, err, qt.IsNil)
	var documented []string
	for _, match := range regexp.MustCompile("(?m)^\\| `(chivetiller_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, match[1])
	}
	slices.Sort(documented)

	client := provider.NewClient(provider.ClientOptions{Table: standin.NewTable()})
	_, err = client.For(provider.UserConfig).Read(t.Context(), "config/current")
	qt.Assert(t, err, qt.IsNil)
	set := metrics.NewSet(newSources(1, 1), client.Collectors()...)
	set.Request("quote", "answered", time.Millisecond)
	set.Fault("truncated")
	set.ExtraAttempt("quote", "retry")
	families, err := set.Registry().Gather()
	qt.Assert(t, err, qt.IsNil)
	var registered []string
	for _, family := range families {
		if strings.HasPrefix(family.GetName(), "chivetiller_") {
			registered = append(registered, family.GetName())
		}
	}
	qt.Assert(t, documented, qt.DeepEquals, registered)
}

// BenchmarkScrape measures one scrape. The targets at the large size are 50 ms and 1 MB.
func BenchmarkScrape(b *testing.B) {
	for _, size := range []struct{ pools, teams, classes int }{{5, 6, 10}, {50, 60, 100}, {273, 360, 546}} {
		b.Run(fmt.Sprintf("pools=%d/teams=%d/classes=%d", size.pools, size.teams, size.classes), func(b *testing.B) {
			set := metrics.NewSet(newSources(size.pools, size.teams))
			for i := range size.classes {
				for _, result := range []string{"answered", "tooLate", "teamLimit", "noEndpoint", "failed"} {
					set.Request(fmt.Sprintf("class%d", i), result, time.Millisecond)
				}
			}
			handler := set.Handler()
			var bytes int
			for b.Loop() {
				response := httptest.NewRecorder()
				handler.ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
				bytes = response.Body.Len()
			}
			b.ReportMetric(float64(bytes), "bytes/scrape")
		})
	}
}
