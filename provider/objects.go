package provider

import (
	"context"
)

// ObjectsFor returns an object store for one user. Its calls count against the budget of the user and are retried, which
// is safe because putting or deleting an object is idempotent.
func (c *Client) ObjectsFor(user User, objects Objects) Objects {
	return userObjects{client: c, user: user, objects: objects}
}

// userObjects is the object store with the budget of one user.
type userObjects struct {
	client  *Client
	user    User
	objects Objects
}

// Put implements [Objects].
func (o userObjects) Put(ctx context.Context, name string, data []byte) error {
	return o.client.call(ctx, o.user, write, func(ctx context.Context) error { return o.objects.Put(ctx, name, data) })
}

// Get implements [Objects].
func (o userObjects) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := o.client.call(ctx, o.user, read, func(ctx context.Context) error {
		var err error
		data, err = o.objects.Get(ctx, name)
		return err
	})
	return data, err
}

// List implements [Objects].
func (o userObjects) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := o.client.call(ctx, o.user, read, func(ctx context.Context) error {
		var err error
		names, err = o.objects.List(ctx, prefix)
		return err
	})
	return names, err
}

// Delete implements [Objects].
func (o userObjects) Delete(ctx context.Context, name string) error {
	return o.client.call(ctx, o.user, write, func(ctx context.Context) error { return o.objects.Delete(ctx, name) })
}
