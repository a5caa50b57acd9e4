package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/chivetiller/chivetiller/provider"
)

// Objects is an in-memory object store.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
}

var _ provider.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{objects: make(map[string][]byte)}
}

// Put implements [provider.Objects].
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = slices.Clone(data)
	return nil
}

// Get implements [provider.Objects].
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[name]
	if !ok {
		return nil, fmt.Errorf("object %q: %w", name, provider.ErrNotFound)
	}
	return slices.Clone(data), nil
}

// List implements [provider.Objects].
func (o *Objects) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name := range o.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

// Delete implements [provider.Objects].
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.objects, name)
	return nil
}
