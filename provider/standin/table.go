// Package standin is a development stand-in for the platform. It keeps everything in memory.
//
// # Usage
//
//	table := standin.NewTable()
//	err := table.Commit(ctx, provider.Txn{OperationID: "1", Writes: []provider.Write{{Key: "k", Value: v}}})
package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/chivetiller/chivetiller/provider"
)

// Table is an in-memory table.
type Table struct {
	mu   sync.Mutex
	rows map[string]provider.Row
	// keys are the keys of the rows in order.
	keys    []string
	version uint64
}

var _ provider.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]provider.Row)}
}

// Read implements [provider.Table].
func (t *Table) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]provider.Row, 0, len(keys))
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements [provider.Table].
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	begin, _ := slices.BinarySearch(t.keys, max(prefix, after))
	var rows []provider.Row
	for _, key := range t.keys[begin:] {
		if len(rows) >= limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// Commit implements [provider.Table].
func (t *Table) Commit(ctx context.Context, txn provider.Txn) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, check := range txn.Checks {
		if t.rows[check.Key].Version != check.Version {
			return fmt.Errorf("%w: row %q has version %d, not %d", provider.ErrConflict, check.Key, t.rows[check.Key].Version, check.Version)
		}
	}
	t.version++
	for _, write := range txn.Writes {
		i, found := slices.BinarySearch(t.keys, write.Key)
		if write.Delete {
			if found {
				t.keys = slices.Delete(t.keys, i, i+1)
				delete(t.rows, write.Key)
			}
			continue
		}
		if !found {
			t.keys = slices.Insert(t.keys, i, write.Key)
		}
		t.rows[write.Key] = provider.Row{Key: write.Key, Value: slices.Clone(write.Value), Version: t.version}
	}
	return nil
}
