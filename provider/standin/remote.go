package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/chivetiller/chivetiller/provider"
)

// RemoteOptions configure a client of a stand-in server.
type RemoteOptions struct {
	// Address is the IP address and port of the server.
	Address string
	// Identity names the caller, so that faults can be injected for it.
	Identity Identity
	// Timeout is the timeout of a call whose context has no deadline. The default is 5 s.
	Timeout time.Duration
	// Connections is the maximum number of idle connections. The default is 16.
	Connections int
}

const (
	defaultRemoteTimeout     = 5 * time.Second
	defaultRemoteConnections = 16
)

// Remote is a client of a stand-in server. It sends each call once; see [provider.Client] for retries.
type Remote struct {
	o         RemoteOptions
	http      *http.Client
	transport *http.Transport
}

// NewRemote returns a client. It connects when it is first used.
func NewRemote(o RemoteOptions) *Remote {
	if o.Timeout <= 0 {
		o.Timeout = defaultRemoteTimeout
	}
	if o.Connections <= 0 {
		o.Connections = defaultRemoteConnections
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: o.Connections,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Remote{o: o, http: &http.Client{Transport: transport}, transport: transport}
}

// Close closes idle connections.
func (r *Remote) Close() { r.transport.CloseIdleConnections() }

// Table returns the table.
func (r *Remote) Table() provider.Table { return remoteTable{r} }

// Objects returns the object store.
func (r *Remote) Objects() provider.Objects { return remoteObjects{r} }

// Instances returns the list of instances.
func (r *Remote) Instances() provider.Instances { return remoteInstances{r} }

// Tasks returns the tasks.
func (r *Remote) Tasks() provider.Tasks { return remoteTasks{r} }

// Register adds an instance to the list. Control is the address of a server with the handler of [InstanceDriverHandler]; it may be empty.
func (r *Remote) Register(ctx context.Context, instance provider.Instance, control string) error {
	return r.write(ctx, pathRegister, registerCall{Instance: instance, Control: control})
}

// SetFaults replaces the faults of the server.
func (r *Remote) SetFaults(ctx context.Context, f Faults) error { return r.write(ctx, pathFaults, f) }

// Partition makes the server unreachable for the matching clients.
func (r *Remote) Partition(ctx context.Context, clients Identity) error {
	return r.write(ctx, pathPartition, clients)
}

// Heal ends a network partition.
func (r *Remote) Heal(ctx context.Context, clients Identity) error {
	return r.write(ctx, pathHeal, clients)
}

// write sends a call that changes the state of the platform and returns nothing.
func (r *Remote) write(ctx context.Context, path string, in any) error {
	_, err := send[empty](ctx, r, path, in, provider.ErrUnknownOutcome)
	return err
}

// readRemote sends a call that changes nothing.
func readRemote[Out any](ctx context.Context, r *Remote, path string, in any) (Out, error) {
	return send[Out](ctx, r, path, in, provider.ErrUnavailable)
}

// send sends a call. It fails with the error lost if the call may have reached the server and has no complete response.
func send[Out any](ctx context.Context, r *Remote, path string, in any, lost error) (Out, error) {
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(r.o.Timeout)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	if err := ctx.Err(); err != nil {
		return out, fmt.Errorf("%w: %w", provider.ErrUnavailable, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.o.Address+path, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerClient, r.o.Identity.Client)
	request.Header.Set(headerDataCentre, r.o.Identity.DataCentre)
	request.Header.Set(headerTimeout, time.Until(deadline).String())
	response, err := r.http.Do(request)
	if err != nil {
		if dial := new(net.OpError); errors.As(err, &dial) && dial.Op == "dial" {
			lost = provider.ErrUnavailable
		}
		return out, fmt.Errorf("%w: %w", lost, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return out, decodeError(response, lost)
	}
	if err := json.NewDecoder(response.Body).Decode(&out); err != nil {
		return out, fmt.Errorf("%w: %w", lost, err)
	}
	return out, nil
}

func decodeError(response *http.Response, lost error) error {
	var f errorBody
	if err := json.NewDecoder(response.Body).Decode(&f); err != nil {
		return fmt.Errorf("%w: %w", lost, err)
	}
	for _, e := range wireErrors {
		if f.Error == e.name {
			return fmt.Errorf("%w: %s", e.err, f.Detail)
		}
	}
	return fmt.Errorf("platform answered %s: %s", response.Status, f.Detail)
}

type remoteTable struct{ r *Remote }

func (t remoteTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	return readRemote[[]provider.Row](ctx, t.r, pathRead, readCall{Keys: keys})
}

func (t remoteTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	return readRemote[[]provider.Row](ctx, t.r, pathScan, scanCall{Prefix: prefix, After: after, Limit: limit})
}

func (t remoteTable) Commit(ctx context.Context, txn provider.Txn) error {
	return t.r.write(ctx, pathCommit, txn)
}

type remoteObjects struct{ r *Remote }

func (o remoteObjects) Put(ctx context.Context, name string, data []byte) error {
	return o.r.write(ctx, pathPut, objectCall{Name: name, Data: data})
}

func (o remoteObjects) Get(ctx context.Context, name string) ([]byte, error) {
	return readRemote[[]byte](ctx, o.r, pathGet, objectCall{Name: name})
}

func (o remoteObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return readRemote[[]string](ctx, o.r, pathListNames, objectCall{Name: prefix})
}

func (o remoteObjects) Delete(ctx context.Context, name string) error {
	return o.r.write(ctx, pathDelete, objectCall{Name: name})
}

type remoteInstances struct{ r *Remote }

func (i remoteInstances) List(ctx context.Context, cursor string) (provider.InstanceList, error) {
	return readRemote[provider.InstanceList](ctx, i.r, pathList, listCall{Cursor: cursor})
}

func (i remoteInstances) Drain(ctx context.Context, id string) error {
	return i.r.write(ctx, pathDrain, instanceCall{ID: id})
}

func (i remoteInstances) Undrain(ctx context.Context, id string) error {
	return i.r.write(ctx, pathUndrain, instanceCall{ID: id})
}

func (i remoteInstances) Reboot(ctx context.Context, id string, incarnation uint64) error {
	return i.r.write(ctx, pathReboot, instanceCall{ID: id, Incarnation: incarnation})
}

type remoteTasks struct{ r *Remote }

func (t remoteTasks) Start(ctx context.Context, spec provider.TaskSpec) error {
	return t.r.write(ctx, pathStart, spec)
}

func (t remoteTasks) Renew(ctx context.Context, token uint64, ids ...string) error {
	return t.r.write(ctx, pathRenew, taskCall{Token: token, IDs: ids})
}

func (t remoteTasks) Stop(ctx context.Context, token uint64, id string) error {
	return t.r.write(ctx, pathStop, taskCall{Token: token, IDs: []string{id}})
}

func (t remoteTasks) Throttle(ctx context.Context, token uint64, id string, fraction float64) error {
	return t.r.write(ctx, pathThrottle, taskCall{Token: token, IDs: []string{id}, Fraction: fraction})
}

func (t remoteTasks) Checkpoint(ctx context.Context, token uint64, id string) (string, error) {
	return send[string](ctx, t.r, pathCheckpoint, taskCall{Token: token, IDs: []string{id}}, provider.ErrUnknownOutcome)
}

func (t remoteTasks) Status(ctx context.Context, workers ...string) ([]provider.TaskStatus, error) {
	return readRemote[[]provider.TaskStatus](ctx, t.r, pathStatus, statusCall{Workers: workers})
}
