package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
	"github.com/chivetiller/chivetiller/work"
)

// TestCancellationBeforeItsJob guards against a job that runs although it was cancelled before the store performed its submission, and
// against cancellations of jobs that never come and stay in the store for good.
func TestCancellationBeforeItsJob(t *testing.T) {
	const never = time.Hour
	tests := map[string]struct {
		// stored is the time from the cancelling to the performing of the submission, and read that until the leader reads it.
		stored, read time.Duration
		newLeader    bool
	}{
		"job comes late": {stored: 6 * time.Second, read: 6 * time.Second},
		"job comes late, and is read by the next":   {stored: 6 * time.Second, read: 7 * time.Second, newLeader: true},
		"job comes as the cancellation is removed":  {stored: 119 * time.Second, read: 122 * time.Second},
		"job never comes":                           {stored: never, read: never},
		"job never comes, and the leader is lost":   {stored: never, read: 50 * time.Second, newLeader: true},
		"job comes after the removal of the others": {stored: 6 * time.Second, read: 130 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := memory.New()
			e, _ := newTestEngine(t, s, 1)
			put := func(key store.Key, value []byte) {
				_, err := s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: key, Value: value}}})
				qt.Assert(t, err, qt.IsNil)
			}
			job, err := rowkeys.EncodeJob(work.Job{ID: "a1", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}})
			qt.Assert(t, err, qt.IsNil)
			put(rowkeys.Cancel("a1"), []byte{1})
			e.core.Cancel("a1")
			retention := e.core.options.Bounds.Retention
			begin := clock.Now()
			for at := time.Duration(0); at < 2*retention+10*time.Second; at += time.Second {
				if at == test.stored {
					put(rowkeys.Job("a1"), job)
				}
				if at == test.read && test.newLeader {
					e, _ = newTestEngine(t, s, 2)
					e.core.now = begin + at
					l, err := load(t.Context(), s, e.logger, func(store.Row, error) {})
					qt.Assert(t, err, qt.IsNil)
					for _, j := range l.jobs {
						e.core.AddJob(j, nil, 0)
					}
					for _, id := range l.cancelled {
						e.core.Cancel(id)
					}
				} else if at == test.read {
					(&jobsView{e: e, version: 1}).refresh(t.Context())
				}
				e.core.Schedule(begin + at)
				if ids := e.core.TakeCancelsToPrune(); len(ids) > 0 {
					e.pruneCancels(ids)
				}
				for len(e.inbox) > 0 {
					(<-e.inbox)(e.core)
				}
				if j, ok := e.core.jobs["a1"]; ok {
					qt.Assert(t, j.progress.State, qt.Equals, work.Cancelled)
				}
			}
			key := rowkeys.Cancel("a1")
			rows, err := s.Scan(t.Context(), key.Table, key.Partition, key.Name, "")
			qt.Assert(t, err, qt.IsNil)
			_, known := e.core.jobs["a1"]
			qt.Assert(t, known, qt.Equals, test.stored != never)
			qt.Assert(t, len(rows.Rows) > 0, qt.Equals, test.stored != never)
			qt.Assert(t, e.core.earlyCancels, qt.HasLen, 0)
		})
	}
}
