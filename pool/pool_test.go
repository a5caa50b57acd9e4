package pool_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

// TestMaxMovable guards against moves that make a pool so small that its budget allows no instance to be down.
// A wave over such a pool never ends. The model test found this for a spare pool with seed 15812296729023637804.
func TestMaxMovable(t *testing.T) {
	tests := map[string]struct {
		spec pool.Spec
		size int
		want int
	}{
		"half":             {spec: pool.Spec{MaxUnavailable: "50%"}, size: 6, want: 4},
		"a fifth":          {spec: pool.Spec{MaxUnavailable: "20%"}, size: 9, want: 4},
		"count":            {spec: pool.Spec{MaxUnavailable: "1"}, size: 3, want: 2},
		"rack":             {spec: pool.Spec{MaxUnavailable: "50%", MaxUnavailablePerRack: "10%"}, size: 12, want: 2},
		"no stop possible": {spec: pool.Spec{MaxUnavailable: "10%"}, size: 9, want: 0},
		"empty":            {spec: pool.Spec{MaxUnavailable: "50%"}, size: 0, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.spec.Name = "p"
			p, err := pool.New(tt.spec)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, p.MaxMovable(tt.size), qt.Equals, tt.want)
		})
	}
}

// lists is a source that returns the next list on each call, and does not know the cursor "lost".
type lists struct {
	provider.Instances
	next []provider.InstanceList
}

func (l *lists) List(_ context.Context, cursor string) (provider.InstanceList, error) {
	if cursor == "lost" {
		return provider.InstanceList{}, provider.ErrNotFound
	}
	list := l.next[0]
	l.next = l.next[1:]
	return list, nil
}

// TestReports guards against old entries of the list that replace newer ones, against instances that count as
// live for ever because the list dropped the entry that reported them as gone, and against a cursor that is
// sent for ever although the platform does not know it.
func TestReports(t *testing.T) {
	at := func(second int64, incarnation uint64) provider.Instance {
		return provider.Instance{ID: "a", Incarnation: incarnation, Reported: time.Unix(second, 0), State: provider.InstanceLive}
	}
	source := &lists{}
	reports := pool.NewReports(source)
	refresh := func(entries ...provider.Instance) {
		source.next = append(source.next, provider.InstanceList{Instances: entries})
		qt.Assert(t, reports.Refresh(t.Context()), qt.IsNil)
	}
	refresh(at(10, 2))
	refresh(at(20, 1), at(5, 2))
	newest, ok := reports.Get("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, newest, qt.DeepEquals, at(10, 2))
	refresh()
	qt.Assert(t, reports.Missing("a"), qt.IsFalse)
	refresh()
	refresh()
	qt.Assert(t, reports.Missing("a"), qt.IsTrue)
	refresh(at(30, 2))
	qt.Assert(t, reports.Missing("a"), qt.IsFalse)

	// A platform that was replaced does not know the cursor of the previous platform.
	source.next = append(source.next, provider.InstanceList{Cursor: "lost"})
	qt.Assert(t, reports.Refresh(t.Context()), qt.IsNil)
	qt.Assert(t, reports.Refresh(t.Context()), qt.ErrorIs, provider.ErrNotFound)
	refresh(at(40, 2))
}
