package config

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/provider"
)

// memoryObjects is an object store in memory.
type memoryObjects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (o *memoryObjects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
	return nil
}

func (o *memoryObjects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, provider.ErrNotFound
	}
	return data, nil
}

func (o *memoryObjects) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name := range o.data {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (o *memoryObjects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, name)
	return nil
}

// Guards against a Compact that loses history or leaves rows behind, also after the response to a deletion was lost,
// and against a backup that does not restore the set.
func TestCompactKeepsHistory(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	table := newFaultyTable()
	objects := &memoryObjects{data: make(map[string][]byte)}
	store := NewStore(table, StoreOptions{Objects: objects, KeepChanges: 10})
	for i := range 250 {
		mustChange(c, store, putRequest(poolDocument("a"), poolDocument("b"+strings.Repeat("x", i%60))))
		if i%3 == 0 {
			mustChange(c, store, Request{OperationID: "delete" + strings.Repeat("x", i), Author: "omar", Deletes: []Ref{{KindPool, "a"}}})
		}
	}
	table.set(func(t *faultyTable) { t.loseResponses = 1 })
	_, err := store.Compact(ctx)
	c.Assert(err, qt.ErrorIs, provider.ErrUnknownOutcome)
	_, err = store.Compact(ctx)
	c.Assert(err, qt.IsNil)

	rows, err := table.Scan(ctx, changePrefix, "", 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 10)
	rows, err = table.Scan(ctx, operationPrefix, "", 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 10)

	current, err := store.Load(ctx)
	c.Assert(err, qt.IsNil)
	history, err := store.History(ctx, 0, 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(history, qt.HasLen, int(current.Version()))
	c.Assert(history[0].Version, qt.Equals, current.Version())
	page, err := store.History(ctx, 100, 5)
	c.Assert(err, qt.IsNil)
	c.Assert(page, qt.HasLen, 5)
	c.Assert(page[0].Version, qt.Equals, uint64(99))

	// Restore the backup on an empty platform.
	names, err := objects.List(ctx, snapshotPrefix)
	c.Assert(err, qt.IsNil)
	backup, err := objects.Get(ctx, names[len(names)-1])
	c.Assert(err, qt.IsNil)
	documents, _, err := Decode(File{Data: string(backup)})
	c.Assert(err, qt.IsNil)
	for i := range documents {
		documents[i].Version = 0
	}
	empty, _ := newTestStore(t)
	mustChange(c, empty, Request{OperationID: "restore", Replace: true, Puts: documents})
	restored, err := empty.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Documents(), qt.HasLen, len(current.Documents()))
}
