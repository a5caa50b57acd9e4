package burn

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/provider"
)

// Objects is the part of the object store that the history needs.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// Save stores parts.
func Save(ctx context.Context, objects Objects, parts []Chunk) error {
	for _, part := range parts {
		data, err := part.Marshal()
		if err != nil {
			return err
		}
		if err := objects.Put(ctx, part.ObjectName(), data); err != nil {
			return eris.Wrapf(err, "store burn history %s", part.ObjectName())
		}
	}
	return nil
}

// Load reads the parts that the longest window needs.
func Load(ctx context.Context, objects Objects, now time.Time) ([]Chunk, error) {
	return LoadWindow(ctx, objects, now, Windows[len(Windows)-1])
}

// LoadWindow reads the parts that one window needs.
func LoadWindow(ctx context.Context, objects Objects, now time.Time, window Window) ([]Chunk, error) {
	names, err := objects.List(ctx, ObjectPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "list burn history")
	}
	since := now.Add(-time.Duration(window))
	var parts []Chunk
	for _, name := range names {
		if !NameMayCover(name, since) {
			continue
		}
		data, err := get(ctx, objects, name)
		if errors.Is(err, provider.ErrNotFound) {
			continue // deleted by Prune since it was listed
		}
		if err != nil {
			return nil, eris.Wrapf(err, "read burn history %s", name)
		}
		part, err := ParseChunk(data)
		if err != nil {
			return nil, eris.Wrapf(err, "object %s", name)
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// budgetPause is the time until a read is tried again for which the process had no budget. A report over three
// days reads 72 objects for each entry instance, more than the budget of a second.
const budgetPause = 50 * time.Millisecond

// get reads an object, and waits for the budget of the process until the context ends.
func get(ctx context.Context, objects Objects, name string) ([]byte, error) {
	for {
		data, err := objects.Get(ctx, name)
		if !errors.Is(err, provider.ErrOverBudget) {
			return data, err
		}
		select {
		case <-time.After(budgetPause):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// Prune deletes up to limit parts that no window needs any more, and returns how many it deleted.
func Prune(ctx context.Context, objects Objects, now time.Time, limit int) (int, error) {
	names, err := objects.List(ctx, ObjectPrefix)
	if err != nil {
		return 0, eris.Wrap(err, "list burn history")
	}
	since := now.Add(-longest())
	deleted := 0
	for _, name := range names {
		if deleted == limit || NameMayCover(name, since) {
			break // names sort by time
		}
		if err := objects.Delete(ctx, name); err != nil && !errors.Is(err, provider.ErrNotFound) {
			return deleted, eris.Wrapf(err, "delete burn history %s", name)
		}
		deleted++
	}
	return deleted, nil
}
