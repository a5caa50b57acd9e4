package snapshot_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/store/snapshot"
	"github.com/chivetiller/chivetiller/store"
)

// counter is a learner whose state is a text.
type counter struct {
	value   string
	err     error
	takenAt time.Duration
}

func (c *counter) Snapshot(time.Duration) ([]byte, error) { return []byte(c.value), c.err }

func (c *counter) Restore(value []byte, takenAt time.Duration) error {
	if c.err == nil {
		c.value, c.takenAt = string(value), takenAt
	}
	return c.err
}

const interval = 10 * time.Second

// TestTake guards against snapshots that are written again and again, or never again after a failed batch.
func TestTake(t *testing.T) {
	l := &counter{value: "one"}
	set := snapshot.NewSet()
	set.Add("l", l, interval)
	var failures []string
	report := func(name string, _ error) { failures = append(failures, name) }
	take := func(now time.Duration) []snapshot.Row { return set.Take(now, 5, report) }

	first := take(0)
	qt.Assert(t, first, qt.DeepEquals, []snapshot.Row{{Name: "l", Value: []byte("one")}})
	l.value = "two"
	qt.Assert(t, take(interval-1), qt.HasLen, 0)
	qt.Assert(t, take(interval), qt.HasLen, 1)
	qt.Assert(t, take(3*interval), qt.HasLen, 0, qt.Commentf("nothing has changed"))
	set.Failed(first)
	qt.Assert(t, take(3*interval+1), qt.HasLen, 1, qt.Commentf("the batch failed"))
	qt.Assert(t, set.Take(6*interval, 0, report), qt.HasLen, 0, qt.Commentf("the batch is full"))

	l.value = string(make([]byte, store.MaxRowBytes))
	qt.Assert(t, take(7*interval), qt.HasLen, 0)
	l.err = errors.New("failed")
	qt.Assert(t, take(9*interval), qt.HasLen, 0)
	qt.Assert(t, failures, qt.DeepEquals, []string{"l", "l"})
}

// TestRestore guards against times of another process that are taken for those of this one, and against a row of an unknown learner that
// keeps others from being restored.
func TestRestore(t *testing.T) {
	good, bad := &counter{}, &counter{err: errors.New("unreadable")}
	set := snapshot.NewSet()
	set.Add("good", good, interval)
	set.Add("bad", bad, interval)
	var failures []string
	set.Restore([]snapshot.Row{{Name: "gone"}, {Name: "bad", Value: []byte("x")}, {Name: "good", At: 90 * time.Second, Value: []byte("v")}}, -100*time.Second,
		func(name string, _ error) { failures = append(failures, name) })
	qt.Assert(t, good.value, qt.Equals, "v")
	qt.Assert(t, good.takenAt, qt.Equals, -10*time.Second)
	qt.Assert(t, failures, qt.DeepEquals, []string{"bad"})
}
