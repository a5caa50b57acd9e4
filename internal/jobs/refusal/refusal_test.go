package refusal_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/internal/jobs/refusal"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

func jobKey(id string) store.Key { return store.Key{Table: "job", Partition: id[:1], Name: id} }

// TestRow guards against a refusal that does not cover an attempt that it has to, that covers those of a client which keeps to Retry-After, or
// that counts although it was written too late.
func TestRow(t *testing.T) {
	tests := map[string]struct {
		retryAfter, earlierUntil time.Duration
		refuses, accepts         time.Duration
		certain, uncertain       time.Duration
	}{
		"short":            {time.Second, 0, 10*time.Second + 499*time.Millisecond, 10*time.Second + 500*time.Millisecond, 10*time.Second + 300*time.Millisecond, 10*time.Second + 301*time.Millisecond},
		"long":             {time.Minute, 0, 39 * time.Second, 40 * time.Second, 39 * time.Second, 40 * time.Second},
		"after longer one": {time.Second, 30 * time.Second, 29 * time.Second, 30 * time.Second, 29 * time.Second, 30 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			row := refusal.New(admission.Overloaded, 10*time.Second, test.retryAfter).After(refusal.Row{Until: test.earlierUntil})
			qt.Assert(t, row.Refuses(0), qt.IsTrue)
			qt.Assert(t, row.Refuses(test.refuses), qt.IsTrue)
			qt.Assert(t, row.Refuses(test.accepts), qt.IsFalse)
			qt.Assert(t, row.Certain(test.certain), qt.IsTrue)
			qt.Assert(t, row.Certain(test.uncertain), qt.IsFalse)
			qt.Assert(t, row.Certain(0), qt.IsFalse)
			qt.Assert(t, row.RetryAfter(10*time.Second), qt.Equals, test.retryAfter)
			qt.Assert(t, row.RetryAfter(time.Hour), qt.Equals, time.Second)
		})
	}
}

// TestPruner guards against refusals that stay for good, against the removal of one that was written again meanwhile, and against transactions
// that the store refuses.
func TestPruner(t *testing.T) {
	s := memory.New()
	refuse := func(id string, version uint64) {
		tx, err := refusal.Write(jobKey(id), version, refusal.New(admission.NeverFits, time.Second, time.Minute))
		qt.Assert(t, err, qt.IsNil)
		_, err = s.Commit(t.Context(), tx)
		qt.Assert(t, err, qt.IsNil)
	}
	for n := range 200 {
		refuse(fmt.Sprintf("%x%d", n%3, n), 0)
	}
	p := refusal.NewPruner(2 * time.Minute)
	scan := func() []store.Row {
		rows, err := store.ScanAll(t.Context(), s, refusal.Table)
		qt.Assert(t, err, qt.IsNil)
		return rows.Rows
	}
	qt.Assert(t, p.Due(scan(), time.Hour), qt.HasLen, 0)
	qt.Assert(t, p.Due(scan(), time.Hour+2*time.Minute), qt.HasLen, 0)
	rows := scan()
	due := p.Due(rows, time.Hour+121*time.Second)
	qt.Assert(t, len(due) >= 5, qt.IsTrue)
	rewritten := rows[0]
	refuse(rewritten.Name, rewritten.Version)
	conflicts := 0
	for _, tx := range due {
		qt.Assert(t, tx.Validate(), qt.IsNil)
		if _, err := s.Commit(t.Context(), tx); err != nil {
			qt.Assert(t, err, qt.ErrorIs, store.ErrConflict)
			conflicts++
		}
	}
	qt.Assert(t, conflicts, qt.Equals, 1)
	for _, tx := range p.Due(scan(), time.Hour+122*time.Second) {
		_, err := s.Commit(t.Context(), tx)
		qt.Assert(t, err, qt.IsNil)
	}
	left := scan()
	qt.Assert(t, left, qt.HasLen, 1)
	qt.Assert(t, left[0].Name, qt.Equals, rewritten.Name)
}

// TestLateRefusal guards against a refusal that the store carries out late, and that takes the place of a later one which refuses more attempts.
func TestLateRefusal(t *testing.T) {
	s, key := memory.New(), jobKey("a")
	write := func(version uint64, row refusal.Row) store.Tx {
		tx, err := refusal.Write(key, version, row)
		qt.Assert(t, err, qt.IsNil)
		return tx
	}
	late := write(0, refusal.New(admission.Overloaded, time.Second, time.Second))
	result, err := s.Commit(t.Context(), write(0, refusal.New(admission.Overloaded, 2*time.Second, time.Second)))
	qt.Assert(t, err, qt.IsNil)
	lateAgain := write(result.Version, refusal.New(admission.Overloaded, time.Second, time.Second))
	_, err = s.Commit(t.Context(), write(result.Version, refusal.New(admission.Overloaded, 3*time.Second, time.Second)))
	qt.Assert(t, err, qt.IsNil)
	for _, tx := range []store.Tx{late, lateAgain} {
		result, err = s.Commit(t.Context(), tx)
		qt.Assert(t, err, qt.ErrorIs, store.ErrConflict)
		found := refusal.Find(key, result.Current)
		qt.Assert(t, found.Stored, qt.IsFalse)
		qt.Assert(t, found.Row.Refuses(3*time.Second), qt.IsTrue)
	}
}
