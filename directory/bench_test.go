package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

type discardDispatcher struct{}

func (discardDispatcher) SetEndpoints(string, []endpoint.Endpoint) {}

// BenchmarkPublish measures one cycle of the directory for fleets of several sizes: without a change, with one changed
// row, and with a changed membership. A cycle runs twice a second, so 2.8 % of a core is 14 ms.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []struct{ workers, pools int }{{50, 5}, {740, 55}, {1850, 137}, {3700, 273}} {
		members := make([]endpoint.Member, 7)
		for i := range members {
			members[i] = endpoint.Member{ID: fmt.Sprintf("entry%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
		}
		rows := make([]pool.Stored, size.workers)
		reports := make(map[string]provider.Instance, size.workers)
		for i := range rows {
			id := fmt.Sprintf("i%05d", i)
			rows[i] = pool.Stored{Instance: pool.Instance{ID: id, Pool: fmt.Sprintf("pool%d", i%size.pools), State: pool.StateServing, Generation: 1}}
			reports[id] = provider.Instance{ID: id, DataCentre: fmt.Sprintf("dc%d", i%10), Address: "10.0.0.1:80", Incarnation: 1, Slots: 8}
		}
		live := members
		newLoaded := func() *view {
			v := newView(Options{Self: "entry0", Members: func() []endpoint.Member { return live }, StabilityDelay: time.Second, Dispatcher: discardDispatcher{}})
			v.replaceRows(rows, reports)
			v.publish(time.Now().Add(-time.Minute))
			v.publish(time.Now())
			return v
		}
		name := fmt.Sprintf("workers=%d/pools=%d", size.workers, size.pools)
		b.Run("unchanged/"+name, func(b *testing.B) {
			v := newLoaded()
			for b.Loop() {
				v.replaceRows(rows, reports)
				v.publish(time.Now())
			}
		})
		b.Run("oneRow/"+name, func(b *testing.B) {
			v := newLoaded()
			generation := uint64(1)
			for b.Loop() {
				generation++
				changed := rows[0].Instance
				changed.Generation = generation
				v.applyAnnouncement([]pool.Instance{changed})
				v.publish(time.Now())
			}
		})
		b.Run("membership/"+name, func(b *testing.B) {
			v := newLoaded()
			n := 0
			for b.Loop() {
				n++
				live = members[:len(members)-n%2]
				v.publish(time.Now())
			}
			live = members
		})
	}
}

// countingTable counts the bytes of the keys and values that scans return.
type countingTable struct {
	provider.Table
	bytes int
}

func (t *countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	for _, row := range rows {
		t.bytes += len(row.Key) + len(row.Value)
	}
	return rows, err
}

// BenchmarkRead measures one read of the rows and the list over HTTP on loopback, with the stand-in platform in the same
// process, and the bytes of the rows. A directory reads twice a second.
func BenchmarkRead(b *testing.B) {
	for _, workers := range []int{50, 740, 1850, 3700} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := standin.New(standin.Options{})
			rows := pool.NewStore(p.Table())
			for i := range workers {
				listed := provider.Instance{
					ID: fmt.Sprintf("worker-%05d", i), DataCentre: fmt.Sprintf("dc%d", i%10), Rack: fmt.Sprintf("dc%d-%03d", i%10, i/40),
					Address: "10.20.30.40:8080", Slots: 8, Incarnation: 1,
				}
				if err := p.Instances().Add(listed, nil); err != nil {
					b.Fatal(err)
				}
				if _, err := rows.Adopt(b.Context(), time.Now(), listed, fmt.Sprintf("pool%03d", i%273)); err != nil {
					b.Fatal(err)
				}
			}
			server, err := standin.Serve(p, "127.0.0.1:0", hclog.NewNullLogger())
			if err != nil {
				b.Fatal(err)
			}
			defer server.Stop(context.Background())
			remote := standin.NewRemote(standin.RemoteOptions{Address: server.Address()})
			defer remote.Close()
			table := &countingTable{Table: remote.Table()}
			d := New(Options{Rows: pool.NewStore(table), Reports: pool.NewReports(remote.Instances())})
			d.readPlatform(b.Context())
			table.bytes = 0
			for b.Loop() {
				if result := d.readPlatform(b.Context()); result.err != nil {
					b.Fatal(result.err)
				}
			}
			b.ReportMetric(float64(table.bytes)/float64(b.N), "bytes/read")
		})
	}
}
