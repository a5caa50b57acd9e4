package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/member"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// Paths of the calls between nodes. Bodies are CBOR.
const (
	pathSubmitted = "/submitted"
	pathCancelled = "/cancelled"
	pathState     = "/state"
	pathWaiting   = "/waiting"
	pathLatest    = "/latest"
	pathCommit    = "/commit"
	pathHolder    = "/holder"
)

const (
	// peerTimeout bounds a call to a node.
	peerTimeout = 400 * time.Millisecond
	// peerDial bounds connecting to a node. One without power does not answer.
	peerDial = 250 * time.Millisecond
	// peerConnections is how many connections to a node stay open.
	peerConnections = 4
	// maxPeerBody bounds a call. The largest holds a transaction.
	maxPeerBody = 2 << 20
	// relayTargets is how many nodes are asked to store rows or for the configuration.
	relayTargets = 3
)

// peers talks to the other nodes, and answers them.
type peers struct {
	n    *Node
	http *http.Client

	mu sync.Mutex
	// told is the holder that another node has named, and asked when.
	told  member.Node
	asked time.Duration
	// probed is when other data centres were tried last, and cut that none was in reach then.
	probed time.Duration
	cut    bool
}

const (
	// cutInterval is the time between two attempts to reach other data centres while the store is away.
	cutInterval = 300 * time.Millisecond
	// cutTargets is how many nodes of other data centres are tried. A single one may be down.
	cutTargets = 3
)

// headerUnconfirmed marks answers of a holder that cannot confirm its duty in the store. Nodes that reach the store take it over.
const headerUnconfirmed = "Chivetiller-Unconfirmed"

// askInterval is the time between two questions about the holder.
const askInterval = 300 * time.Millisecond

func newPeers(n *Node) *peers {
	dialer := &net.Dialer{Timeout: peerDial, KeepAlive: -1}
	return &peers{n: n, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerConnections, DisableCompression: true, IdleConnTimeout: time.Minute,
	}}}
}

// Messages between nodes.
type (
	jobID struct {
		ID string `cbor:"1,keyasint"`
	}
	queueName struct {
		Name string `cbor:"1,keyasint"`
	}
	rowVersion struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	jobState struct {
		State work.State `cbor:"1,keyasint"`
		Known bool       `cbor:"2,keyasint"`
	}
	waitingCount struct {
		Count int `cbor:"1,keyasint"`
	}
	commitResult struct {
		Result store.Result `cbor:"1,keyasint"`
		// Outcome is 0 for a transaction that took effect, and else one of the codes below.
		Outcome int `cbor:"2,keyasint,omitempty"`
	}
	nothing struct{}
)

// Codes of the errors of a store.
var commitErrors = []error{nil, store.ErrConflict, store.ErrNotDone, store.ErrUnknown}

// call makes a call to a node.
func (p *peers) call(ctx context.Context, to member.Node, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, err := cbor.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode the call")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "make the call")
	}
	response, err := p.http.Do(request)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			p.n.members.SuspectLeader(to.Fence)
		}
		return fmt.Errorf("node %s: %w", to.Name, err)
	}
	defer response.Body.Close()
	if response.Header.Get(headerUnconfirmed) != "" {
		p.n.members.SuspectLeader(to.Fence)
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("node %s: status %d", to.Name, response.StatusCode)
	}
	data, err = io.ReadAll(io.LimitReader(response.Body, maxPeerBody))
	if err != nil {
		return fmt.Errorf("node %s: %w", to.Name, err)
	}
	return eris.Wrapf(cbor.Unmarshal(data, answer), "answer of node %s", to.Name)
}

// errNoHolder means that no live node holds the duty, as far as this node knows.
var errNoHolder = errors.New("no node holds the duty")

// toHolder runs local if this node holds the duty, and calls the holder otherwise.
func (p *peers) toHolder(ctx context.Context, local func(*scheduler.Engine) error, path string, body, answer any) error {
	if engine, ok := p.n.duty.Engine(); ok && engine.IsLeader() {
		return local(engine)
	}
	holder, ok := p.n.members.Leader()
	if !p.n.members.NodesFresh() || holder.Name == p.n.s.Name {
		holder, ok = p.askHolder(ctx)
	}
	if !ok || holder.Name == p.n.s.Name {
		return errNoHolder
	}
	return p.call(ctx, holder, path, body, answer)
}

// askHolder asks other nodes which one holds the duty, and takes the one with the highest fence.
func (p *peers) askHolder(ctx context.Context) (member.Node, bool) {
	p.mu.Lock()
	due := clock.Now()-p.asked > askInterval
	if due {
		p.asked = clock.Now()
	}
	best := p.told
	p.mu.Unlock()
	if !due {
		return best, best.Fence > 0
	}
	for _, n := range p.others() {
		var named member.Node
		if err := p.call(ctx, n, pathHolder, nothing{}, &named); err == nil && named.Fence > best.Fence {
			best = named
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if best.Name != p.told.Name {
		p.n.logger.Info("Another node names the holder.", "holder", best.Name, "fence", best.Fence)
	}
	p.told = best
	return best, best.Fence > 0
}

// NotifySubmitted implements [intake.Leader].
func (p *peers) NotifySubmitted(ctx context.Context, job work.Job) {
	err := p.toHolder(ctx, func(e *scheduler.Engine) error { e.JobSubmitted(job); return nil }, pathSubmitted, job, &nothing{})
	if err != nil {
		p.n.logger.Warn("Holder was not told of a job; it reads it from the store.", "job", job.ID, "error", err)
	}
}

// NotifyCancelled implements [intake.Leader].
func (p *peers) NotifyCancelled(ctx context.Context, id string) {
	err := p.toHolder(ctx, func(e *scheduler.Engine) error { e.JobCancelled(id); return nil }, pathCancelled, jobID{id}, &nothing{})
	if err != nil {
		p.n.logger.Warn("Holder was not told of a cancellation; it reads it from the store.", "job", id, "error", err)
	}
}

// State implements [intake.Leader].
func (p *peers) State(ctx context.Context, id string) (work.State, bool, error) {
	var answer jobState
	err := p.toHolder(ctx, func(e *scheduler.Engine) (err error) {
		answer.State, answer.Known, err = e.JobState(ctx, id)
		return err
	}, pathState, jobID{id}, &answer)
	return answer.State, answer.Known, err
}

// Waiting implements [intake.Leader].
func (p *peers) Waiting(ctx context.Context, queue string) (int, error) {
	var answer waitingCount
	err := p.toHolder(ctx, func(e *scheduler.Engine) (err error) {
		answer.Count, err = e.WaitingJobs(ctx, queue)
		return err
	}, pathWaiting, queueName{queue}, &answer)
	return answer.Count, err
}

// others returns some live nodes besides this one, those of the own zone first.
func (p *peers) others() []member.Node {
	var near, far []member.Node
	for _, n := range p.n.members.Live() {
		switch {
		case n.Name == p.n.s.Name:
		case n.DataCentre == p.n.s.DataCentre:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), relayTargets)]
}

// Latest implements [catalog.Peers].
func (p *peers) Latest(ctx context.Context, version uint64) (catalog.Snapshot, bool) {
	var best catalog.Snapshot
	found := false
	for _, n := range p.others() {
		var s catalog.Snapshot
		if err := p.call(ctx, n, pathLatest, rowVersion{version}, &s); err != nil {
			continue
		}
		if !found || s.Version > best.Version || (s.Version == best.Version && s.Age < best.Age) {
			best, found = s, true
		}
	}
	return best, found
}

// Commit implements [intake.Relay]. It lets another node carry out a transaction.
func (p *peers) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	last := store.ErrNotDone
	for _, n := range p.others() {
		var answer commitResult
		if err := p.call(ctx, n, pathCommit, tx, &answer); err != nil {
			var op *net.OpError
			if !errors.As(err, &op) || op.Op != "dial" {
				last = fmt.Errorf("%w: %w", store.ErrUnknown, err)
			}
			continue
		}
		if answer.Outcome < 0 || answer.Outcome >= len(commitErrors) {
			return store.Result{}, store.ErrUnknown
		}
		err := commitErrors[answer.Outcome]
		if err == nil || errors.Is(err, store.ErrConflict) {
			return answer.Result, err
		}
		if errors.Is(err, store.ErrUnknown) {
			last = err
		}
	}
	return store.Result{}, last
}

// Partitioned implements [intake.Relay]. The store alone being away is no cut: other nodes are then no better off.
func (p *peers) Partitioned(ctx context.Context) bool {
	if !p.n.clock.Unreachable() {
		return false
	}
	p.mu.Lock()
	cut, due := p.cut, clock.Now()-p.probed > cutInterval
	if due {
		p.probed = clock.Now()
	}
	p.mu.Unlock()
	if !due {
		return cut
	}
	var far []member.Node
	for _, n := range p.n.members.Live() {
		if n.DataCentre != p.n.s.DataCentre && len(far) < cutTargets {
			far = append(far, n)
		}
	}
	answers := make(chan bool, len(far))
	for _, n := range far {
		go func() { answers <- p.answers(ctx, n) }()
	}
	reached := len(far) == 0
	for range far {
		if <-answers {
			reached = true
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == reached {
		p.n.logger.Warn("Reach of other data centres has changed.", "cut", !reached, "tried", len(far))
	}
	p.cut = !reached
	return p.cut
}

// answers reports whether a node answers at all.
func (p *peers) answers(ctx context.Context, to member.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, peerDial)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+pathHolder, http.NoBody)
	if err != nil {
		p.n.logger.Error("Call to a node cannot be made.", "to", to.Name, "error", err)
		return false
	}
	response, err := p.http.Do(request)
	if err != nil {
		return false
	}
	if err := response.Body.Close(); err != nil {
		p.n.logger.Debug("Answer of a node was not closed.", "to", to.Name, "error", err)
	}
	return true
}

// handler answers the calls of other nodes.
func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathSubmitted, func(_ context.Context, job work.Job) (nothing, error) {
		return nothing{}, p.onHolder(func(e *scheduler.Engine) error { e.JobSubmitted(job); return nil })
	})
	handle(mux, pathCancelled, func(_ context.Context, id jobID) (nothing, error) {
		return nothing{}, p.onHolder(func(e *scheduler.Engine) error { e.JobCancelled(id.ID); return nil })
	})
	handle(mux, pathState, func(ctx context.Context, id jobID) (answer jobState, err error) {
		err = p.onHolder(func(e *scheduler.Engine) (err error) {
			answer.State, answer.Known, err = e.JobState(ctx, id.ID)
			return err
		})
		return answer, err
	})
	handle(mux, pathWaiting, func(ctx context.Context, queue queueName) (answer waitingCount, err error) {
		err = p.onHolder(func(e *scheduler.Engine) (err error) {
			answer.Count, err = e.WaitingJobs(ctx, queue.Name)
			return err
		})
		return answer, err
	})
	handle(mux, pathLatest, func(_ context.Context, known rowVersion) (catalog.Snapshot, error) {
		s := p.n.source.Latest()
		if s.Version == known.Version {
			s.Value = nil
		}
		return s, nil
	})
	handle(mux, pathHolder, func(context.Context, nothing) (member.Node, error) {
		holder, ok := p.n.members.Leader()
		if !ok || !p.n.members.NodesFresh() || (holder.Name == p.n.s.Name && !p.n.members.IsLeader(holder.Fence)) {
			return member.Node{}, errNoHolder
		}
		return holder, nil
	})
	handle(mux, pathCommit, func(ctx context.Context, tx store.Tx) (commitResult, error) {
		result, err := p.n.d.Store.Commit(ctx, tx)
		answer := commitResult{Result: result}
		for code, known := range commitErrors {
			if known != nil && errors.Is(err, known) {
				answer.Outcome = code
			}
		}
		return answer, nil
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.n.members.LeadershipUnconfirmed() {
			w.Header().Set(headerUnconfirmed, "1")
		}
		mux.ServeHTTP(w, r)
	})
}

// onHolder runs f if this node holds the duty.
func (p *peers) onHolder(f func(*scheduler.Engine) error) error {
	engine, ok := p.n.duty.Engine()
	if !ok || !engine.IsLeader() {
		return errNoHolder
	}
	return f(engine)
}

// handle answers a call whose body and answer are CBOR.
func handle[Q, A any](mux *http.ServeMux, path string, f func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var body Q
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPeerBody))
		if err == nil {
			err = cbor.Unmarshal(data, &body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
		defer cancel()
		answer, err := f(ctx, body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if data, err = cbor.Marshal(answer); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// The other node has given up if the answer cannot be written.
		_, _ = w.Write(data)
	})
}
