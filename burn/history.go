package burn

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/provider"
)

// Objects is the part of an object store that the burn history uses.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// Save stores chunks under their object names.
func Save(ctx context.Context, objects Objects, chunks []Chunk) error {
	for _, chunk := range chunks {
		data, err := chunk.Marshal()
		if err != nil {
			return err
		}
		if err := objects.Put(ctx, chunk.ObjectName(), data); err != nil {
			return eris.Wrapf(err, "store burn history %s", chunk.ObjectName())
		}
	}
	return nil
}

// Load reads the chunks of the longest window. Reads over the budget of the process wait until the context ends.
func Load(ctx context.Context, objects Objects, now time.Time) ([]Chunk, error) {
	return LoadWindow(ctx, objects, now, Windows[len(Windows)-1])
}

// LoadWindow reads the chunks of one window.
func LoadWindow(ctx context.Context, objects Objects, now time.Time, window Window) ([]Chunk, error) {
	names, err := objects.List(ctx, ObjectPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "list burn history")
	}
	since := now.Add(-time.Duration(window))
	var chunks []Chunk
	for _, name := range names {
		if !NameMayCover(name, since) {
			continue
		}
		data, err := getWithinBudget(ctx, objects, name)
		if errors.Is(err, provider.ErrNotFound) {
			continue // Prune has deleted it since the list was read
		}
		if err != nil {
			return nil, eris.Wrapf(err, "read burn history %s", name)
		}
		chunk, err := ParseChunk(data)
		if err != nil {
			return nil, eris.Wrapf(err, "object %s", name)
		}
		chunks = append(chunks, chunk)
	}
	return chunks, nil
}

// budgetRetryDelay is the time after which a read that was over the budget of the process is tried again. A report
// over three days reads 72 objects for each entry instance, more than the budget of a second.
const budgetRetryDelay = 50 * time.Millisecond

// getWithinBudget reads an object. It waits for the read budget of the process until the context ends.
func getWithinBudget(ctx context.Context, objects Objects, name string) ([]byte, error) {
	for {
		data, err := objects.Get(ctx, name)
		if !errors.Is(err, provider.ErrOverBudget) {
			return data, err
		}
		select {
		case <-time.After(budgetRetryDelay):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// Prune deletes up to limit chunks that no window needs any more, and returns the number deleted.
func Prune(ctx context.Context, objects Objects, now time.Time, limit int) (int, error) {
	names, err := objects.List(ctx, ObjectPrefix)
	if err != nil {
		return 0, eris.Wrap(err, "list burn history")
	}
	since := now.Add(-longestWindow())
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
