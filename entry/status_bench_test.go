package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/entry"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/settings"
	"github.com/chivetiller/chivetiller/team"
)

const benchmarkKey = "benchmark"

// newLargeEntry starts an entry instance with a fleet of the given size on a stand-in platform over loopback.
func newLargeEntry(b *testing.B, pools, workers, teams, entries int) *entry.Entry {
	p := standin.New(standin.Options{})
	documents := []config.Document{}
	recorder := burn.NewRecorder("other", 1, time.Now())
	for i := range teams {
		documents = append(documents, config.NewDocument(team.Spec{Name: fmt.Sprintf("team%d", i), Share: 1, UpperLimit: 40}))
	}
	for i := range pools {
		name := fmt.Sprintf("pool%d", i)
		documents = append(documents, config.NewDocument(pool.Spec{Name: name, MaxUnavailable: "20%", Spare: i == 0}))
		for j := range 2 {
			spec := class.Spec{Name: fmt.Sprintf("class%d-%d", i, j), Pool: name, Target: "1s", Share: 1}
			documents = append(documents, config.NewDocument(spec))
			for k := range teams / 10 {
				recorder.Record(spec.Name, fmt.Sprintf("team%d", (i+k)%teams), burn.Met)
			}
		}
	}
	_, err := config.NewStore(p.Table(), config.StoreOptions{}).Change(b.Context(), config.Request{OperationID: ident.New(), Author: "benchmark", Puts: documents})
	qt.Assert(b, err, qt.IsNil)
	rows := pool.NewStore(p.Table())
	for i := range workers {
		listed := provider.Instance{ID: fmt.Sprintf("i%d", i), DataCentre: "north", Rack: fmt.Sprint(i / 4), Address: "127.0.0.1:9", Slots: 8, Incarnation: 1}
		qt.Assert(b, p.Instances().Add(listed, nil), qt.IsNil)
		_, err := rows.Adopt(b.Context(), time.Now(), listed, fmt.Sprintf("pool%d", i%pools))
		qt.Assert(b, err, qt.IsNil)
	}
	part := recorder.CloseBucket(time.Now())[0]
	for i := range entries {
		part.Entry = fmt.Sprintf("entry%d", i)
		qt.Assert(b, burn.Save(b.Context(), p.Objects(), []burn.Chunk{part}), qt.IsNil)
	}
	server, err := standin.Serve(p, "127.0.0.1:0", hclog.NewNullLogger())
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = server.Stop(b.Context()) })
	s, err := settings.Parse("benchmark.yaml", fmt.Appendf(nil, `name: north-1
dataCentre: north
listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}
platform: {url: 'http://%s'}
membership: {heartbeat: 20ms}
operators: {bootstrapKey: %s}
stop: {balancerWait: 0s}
`, server.Address(), benchmarkKey))
	qt.Assert(b, err, qt.IsNil)
	remote := standin.NewRemote(standin.RemoteOptions{Address: server.Address()})
	e, err := entry.New(entry.Options{
		Settings: s,
		Platform: entry.Services{Table: remote.Table(), Objects: remote.Objects(), Instances: remote.Instances(), Tasks: remote.Tasks()},
	})
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, e.Start(b.Context()), qt.IsNil)
	b.Cleanup(func() {
		_ = e.Stop(b.Context())
		remote.Close()
	})
	for n := 0; n < 500 && e.Ready() != nil; n++ {
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(b, e.Ready(), qt.IsNil)
	return e
}

// BenchmarkStatus measures the status route over HTTP on loopback, including the reads that it needs. The target at the
// largest size is 1 s.
func BenchmarkStatus(b *testing.B) {
	for _, size := range []struct{ pools, workers, teams, entries int }{{5, 50, 6, 7}, {50, 700, 60, 10}, {273, 3700, 360, 20}} {
		b.Run(fmt.Sprintf("pools=%d/workers=%d", size.pools, size.workers), func(b *testing.B) {
			e := newLargeEntry(b, size.pools, size.workers, size.teams, size.entries)
			request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+e.OperatorAddress()+"/operator/status", nil)
			qt.Assert(b, err, qt.IsNil)
			request.Header.Set("Authorization", "Bearer "+benchmarkKey)
			bytes := 0
			for b.Loop() {
				response, err := http.DefaultClient.Do(request)
				qt.Assert(b, err, qt.IsNil)
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				qt.Assert(b, err, qt.IsNil)
				qt.Assert(b, response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
				bytes = len(body)
			}
			b.ReportMetric(float64(bytes), "bytes/status")
		})
	}
}
