package config

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/team"
)

// faultyTable is a table that can be unavailable or slow, or lose the response of a commit that took effect.
type faultyTable struct {
	provider.Table

	mu            sync.Mutex
	down          bool
	delay         time.Duration
	loseResponses int
	beforeCommit  func()
}

func newFaultyTable() *faultyTable { return &faultyTable{Table: standin.NewTable()} }

func (t *faultyTable) set(f func(t *faultyTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

func (t *faultyTable) wait(ctx context.Context) error {
	t.mu.Lock()
	down, delay := t.down, t.delay
	t.mu.Unlock()
	if down {
		return provider.ErrUnavailable
	}
	return sleep(ctx, delay)
}

func (t *faultyTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	return t.Table.Read(ctx, keys...)
}

func (t *faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

// Commit refuses writes without a check of their row, as the client of the platform does.
func (t *faultyTable) Commit(ctx context.Context, txn provider.Txn) error {
	if err := t.wait(ctx); err != nil {
		return err
	}
	for _, w := range txn.Writes {
		if !slices.ContainsFunc(txn.Checks, func(c provider.Check) bool { return c.Key == w.Key }) {
			return fmt.Errorf("write of row %q without a check", w.Key)
		}
	}
	t.mu.Lock()
	before := t.beforeCommit
	t.beforeCommit = nil
	t.mu.Unlock()
	if before != nil {
		before()
	}
	err := t.Table.Commit(ctx, txn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loseResponses > 0 {
		t.loseResponses--
		return provider.ErrUnknownOutcome
	}
	return err
}

func poolDocument(name string) Document {
	return NewDocument(pool.Spec{Name: name, MaxUnavailable: "20%"})
}

func classDocument(name, pool string) Document {
	return NewDocument(class.Spec{Name: name, Pool: pool, Target: "300ms", Share: 1})
}

func teamDocument(name string, keys ...team.KeySpec) Document {
	return NewDocument(team.Spec{Name: name, Share: 1, UpperLimit: 10, Keys: keys})
}

func newKey(c *qt.C, id string) (string, team.KeySpec) {
	key, spec, err := team.NewKey(id)
	c.Assert(err, qt.IsNil)
	return key, spec
}

func putRequest(documents ...Document) Request {
	return Request{OperationID: ident.New(), Author: "nadia", Puts: documents}
}

func mustChange(c *qt.C, s *Store, r Request) Result {
	c.Helper()
	result, err := s.Change(context.Background(), r)
	c.Assert(err, qt.IsNil)
	return result
}

func newTestStore(*testing.T) (*Store, *faultyTable) {
	table := newFaultyTable()
	return NewStore(table, StoreOptions{}), table
}
