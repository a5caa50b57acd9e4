package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/platform"
	"github.com/chivetiller/chivetiller/pool"
)

type discard struct{}

func (discard) SetEndpoints(string, []endpoint.Endpoint) {}

// BenchmarkPublish measures one cycle of the directory over workers and pools: without a change, with one
// changed row, and with a changed membership. A cycle runs twice a second, so 2.8 % of a core is 14 ms.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []struct{ workers, pools int }{{50, 5}, {740, 55}, {1850, 137}, {3700, 273}} {
		members := make([]endpoint.Member, 7)
		for i := range members {
			members[i] = endpoint.Member{ID: fmt.Sprintf("entry%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
		}
		rows := make([]pool.Stored, size.workers)
		reports := make(map[string]platform.Instance, size.workers)
		for i := range rows {
			id := fmt.Sprintf("i%05d", i)
			rows[i] = pool.Stored{Instance: pool.Instance{ID: id, Pool: fmt.Sprintf("pool%d", i%size.pools), State: pool.StateServing, Generation: 1}}
			reports[id] = platform.Instance{ID: id, DataCentre: fmt.Sprintf("dc%d", i%10), Address: "10.0.0.1:80", Incarnation: 1, Slots: 8}
		}
		live := members
		newLoaded := func() *view {
			v := newView(Options{Self: "entry0", Members: func() []endpoint.Member { return live }, Stable: time.Second, Dispatcher: discard{}})
			v.replace(rows, reports)
			v.publish(time.Now().Add(-time.Minute))
			v.publish(time.Now())
			return v
		}
		name := fmt.Sprintf("workers=%d/pools=%d", size.workers, size.pools)
		b.Run("unchanged/"+name, func(b *testing.B) {
			v := newLoaded()
			for b.Loop() {
				v.replace(rows, reports)
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
				v.announce([]pool.Instance{changed})
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
