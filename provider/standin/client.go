package standin

import (
	"context"

	"github.com/chivetiller/chivetiller/provider"
)

// Client is a client of the platform for one caller in the same process. Its calls are subject to the injected faults.
type Client struct {
	platform *Platform
	identity Identity
}

// Client returns a client for a caller.
func (p *Platform) Client(identity Identity) *Client {
	return &Client{platform: p, identity: identity}
}

// Table returns the table with the injected faults.
func (c *Client) Table() provider.Table { return faultyTable{c} }

// Objects returns the object store with the injected faults.
func (c *Client) Objects() provider.Objects { return faultyObjects{c} }

// Instances returns the list of instances with the injected faults.
func (c *Client) Instances() provider.Instances { return faultyInstances{c} }

// Tasks returns the tasks with the injected faults.
func (c *Client) Tasks() provider.Tasks { return faultyTasks{c} }

// write runs an operation that changes the state of the platform.
func (c *Client) write(ctx context.Context, operation func(context.Context) error) error {
	return c.platform.injector.call(ctx, c.identity, true, operation)
}

// read runs an operation that changes nothing.
func read[T any](ctx context.Context, c *Client, operation func(context.Context) (T, error)) (T, error) {
	var result T
	err := c.platform.injector.call(ctx, c.identity, false, func(ctx context.Context) error {
		var err error
		result, err = operation(ctx)
		return err
	})
	if err != nil {
		var zero T
		return zero, err
	}
	return result, nil
}

type faultyTable struct{ c *Client }

func (t faultyTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	return read(ctx, t.c, func(ctx context.Context) ([]provider.Row, error) { return t.c.platform.store.Read(ctx, keys...) })
}

func (t faultyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	return read(ctx, t.c, func(ctx context.Context) ([]provider.Row, error) {
		return t.c.platform.store.Scan(ctx, prefix, after, limit)
	})
}

func (t faultyTable) Commit(ctx context.Context, txn provider.Txn) error {
	return t.c.write(ctx, func(ctx context.Context) error { return t.c.platform.store.Commit(ctx, txn) })
}

type faultyObjects struct{ c *Client }

func (o faultyObjects) Put(ctx context.Context, name string, data []byte) error {
	return o.c.write(ctx, func(ctx context.Context) error { return o.c.platform.objects.Put(ctx, name, data) })
}

func (o faultyObjects) Get(ctx context.Context, name string) ([]byte, error) {
	return read(ctx, o.c, func(ctx context.Context) ([]byte, error) { return o.c.platform.objects.Get(ctx, name) })
}

func (o faultyObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return read(ctx, o.c, func(ctx context.Context) ([]string, error) { return o.c.platform.objects.List(ctx, prefix) })
}

func (o faultyObjects) Delete(ctx context.Context, name string) error {
	return o.c.write(ctx, func(ctx context.Context) error { return o.c.platform.objects.Delete(ctx, name) })
}

type faultyInstances struct{ c *Client }

func (i faultyInstances) List(ctx context.Context, cursor string) (provider.InstanceList, error) {
	return read(ctx, i.c, func(ctx context.Context) (provider.InstanceList, error) {
		return i.c.platform.instances.List(ctx, cursor)
	})
}

func (i faultyInstances) Drain(ctx context.Context, id string) error {
	return i.c.write(ctx, func(ctx context.Context) error { return i.c.platform.instances.Drain(ctx, id) })
}

func (i faultyInstances) Undrain(ctx context.Context, id string) error {
	return i.c.write(ctx, func(ctx context.Context) error { return i.c.platform.instances.Undrain(ctx, id) })
}

func (i faultyInstances) Reboot(ctx context.Context, id string, incarnation uint64) error {
	return i.c.write(ctx, func(ctx context.Context) error { return i.c.platform.instances.Reboot(ctx, id, incarnation) })
}

type faultyTasks struct{ c *Client }

func (t faultyTasks) Start(ctx context.Context, spec provider.TaskSpec) error {
	return t.c.write(ctx, func(ctx context.Context) error { return t.c.platform.tasks.Start(ctx, spec) })
}

func (t faultyTasks) Renew(ctx context.Context, token uint64, ids ...string) error {
	return t.c.write(ctx, func(ctx context.Context) error { return t.c.platform.tasks.Renew(ctx, token, ids...) })
}

func (t faultyTasks) Stop(ctx context.Context, token uint64, id string) error {
	return t.c.write(ctx, func(ctx context.Context) error { return t.c.platform.tasks.Stop(ctx, token, id) })
}

func (t faultyTasks) Throttle(ctx context.Context, token uint64, id string, fraction float64) error {
	return t.c.write(ctx, func(ctx context.Context) error { return t.c.platform.tasks.Throttle(ctx, token, id, fraction) })
}

func (t faultyTasks) Checkpoint(ctx context.Context, token uint64, id string) (string, error) {
	var reference string
	err := t.c.write(ctx, func(ctx context.Context) error {
		var err error
		reference, err = t.c.platform.tasks.Checkpoint(ctx, token, id)
		return err
	})
	if err != nil {
		return "", err
	}
	return reference, nil
}

func (t faultyTasks) Status(ctx context.Context, workers ...string) ([]provider.TaskStatus, error) {
	return read(ctx, t.c, func(ctx context.Context) ([]provider.TaskStatus, error) {
		return t.c.platform.tasks.Status(ctx, workers...)
	})
}
