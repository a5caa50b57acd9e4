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
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
	"github.com/chivetiller/chivetiller/member"
	"github.com/chivetiller/chivetiller/scheduler"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// Paths of the requests between nodes. Request and reply bodies are CBOR.
const (
	pathSubmitted = "/submitted"
	pathCancelled = "/cancelled"
	pathState     = "/state"
	pathWaiting   = "/waiting"
	pathLatest    = "/latest"
	pathCommit    = "/commit"
	pathLeader    = "/holder"
	pathWhere     = "/where"
)

const (
	// peerTimeout limits a call to a node.
	peerTimeout = 400 * time.Millisecond
	// peerDialTimeout limits connecting to a node. A node that is switched off does not reject the connection.
	peerDialTimeout = 250 * time.Millisecond
	// peerConnections is how many idle connections to a node stay open.
	peerConnections = 4
	// maxPeerBody is the maximum size of a body in bytes. The largest bodies are transactions.
	maxPeerBody = 2 << 20
	// maxListElements limits each list and map of a request. A transaction has up to 100 rows, and a job up to 64 steps.
	maxListElements = 128
	// maxQueriedPeers is how many nodes are queried for the leader or the configuration, or to which a transaction is sent.
	maxQueriedPeers = 3
)

// peers calls the other nodes and handles their calls.
type peers struct {
	n    *Node
	http *http.Client

	mu sync.Mutex
	// namedLeader is the leader that other nodes named in the last query, and lastLeaderQuery is when they were queried.
	namedLeader     member.Node
	lastLeaderQuery time.Duration
	// lastProbe is when this node last tried to reach other data centres, and partitioned means that it reached none.
	lastProbe   time.Duration
	partitioned bool
	// answeredAt is when this node last answered a question where a job would go, as the leader.
	answeredAt time.Duration
	// reports holds what the leader last said about the load of each queue.
	reports map[string]receivedReport
}

const (
	// probeInterval is the time between two attempts to reach other data centres while the store is unreachable.
	probeInterval = 300 * time.Millisecond
	// maxProbedNodes is how many nodes of other data centres are tried, since a single one may be down.
	maxProbedNodes = 3
)

// headerUnconfirmed marks replies of a leader that cannot confirm its term in the store. Nodes that reach the store then suspect it,
// and one of them acquires leadership.
const headerUnconfirmed = "Chivetiller-Unconfirmed"

// leaderQueryInterval is the minimum time between two queries for the leader.
const leaderQueryInterval = 300 * time.Millisecond

func newPeers(n *Node) *peers {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}
	return &peers{n: n, reports: make(map[string]receivedReport), http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerConnections, DisableCompression: true, IdleConnTimeout: time.Minute,
	}}}
}

// Messages between nodes.
type (
	jobID struct {
		ID string `cbor:"1,keyasint"`
		// Queue is the queue whose load the reply tells. Nodes of earlier builds do not send it.
		Queue string `cbor:"2,keyasint,omitempty"`
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
		queueLoad
	}
	submittedReply struct{ queueLoad }
	waitingCount   struct {
		Count int `cbor:"1,keyasint"`
		queueLoad
	}
	commitResult struct {
		Result store.Result `cbor:"1,keyasint"`
		// Outcome is an index into commitErrors. It is 0 for a transaction that took effect.
		Outcome int `cbor:"2,keyasint,omitempty"`
	}
	empty struct{}
)

// commitErrors lists the errors of a transaction by their code in commitResult.
var commitErrors = []error{nil, store.ErrConflict, store.ErrNotDone, store.ErrUnknown}

// call sends a request to a node and decodes its reply. A node that cannot be reached is suspected if it is the leader.
func (p *peers) call(ctx context.Context, to member.Node, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, err := cbor.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode the request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "make the request")
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
	return eris.Wrapf(cbor.Unmarshal(data, reply), "decode the reply of node %s", to.Name)
}

// errNoLeader means that no live node is the leader, as far as this node knows.
var errNoLeader = errors.New("no node is the leader")

// callLeader runs local if this node is the leader, and otherwise sends the request to the leader. Other nodes are queried for the
// leader if this node cannot read from the store.
func (p *peers) callLeader(ctx context.Context, local func(*scheduler.Engine) error, path string, body, reply any) error {
	if engine, ok := p.n.leadership.Engine(); ok && engine.IsLeader() {
		return local(engine)
	}
	leader, ok := p.n.members.Leader()
	if !p.n.members.NodesFresh() || leader.Name == p.n.settings.Name {
		leader, ok = p.queryLeader(ctx)
	}
	if !ok || leader.Name == p.n.settings.Name {
		return errNoLeader
	}
	return p.call(ctx, leader, path, body, reply)
}

// queryLeader queries other nodes for the leader and returns the one with the highest fencing token. Between two queries it returns
// the result of the last one.
func (p *peers) queryLeader(ctx context.Context) (member.Node, bool) {
	p.mu.Lock()
	due := clock.Now()-p.lastLeaderQuery > leaderQueryInterval
	if due {
		p.lastLeaderQuery = clock.Now()
	}
	best := p.namedLeader
	p.mu.Unlock()
	if !due {
		return best, best.Fence > 0
	}
	for _, n := range p.nearestPeers() {
		var named member.Node
		if err := p.call(ctx, n, pathLeader, empty{}, &named); err == nil && named.Fence > best.Fence {
			best = named
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if best.Name != p.namedLeader.Name {
		p.n.logger.Info("Leader was learned from another node.", "holder", best.Name, "fence", best.Fence)
	}
	p.namedLeader = best
	return best, best.Fence > 0
}

// NotifySubmitted implements [intake.Leader].
func (p *peers) NotifySubmitted(ctx context.Context, job work.Job) {
	var reply submittedReply
	sent := clock.Now()
	err := p.callLeader(ctx, func(e *scheduler.Engine) error { e.JobSubmitted(job); return nil }, pathSubmitted, job, &reply)
	p.keepReport(job.Queue, reply.queueLoad, sent)
	if err != nil {
		p.n.logger.Warn("Leader was not notified of a job; it reads the job from the store.", "job", job.ID, "error", err)
	}
}

// NotifyCancelled implements [intake.Leader].
func (p *peers) NotifyCancelled(ctx context.Context, id string) {
	err := p.callLeader(ctx, func(e *scheduler.Engine) error { e.JobCancelled(id); return nil }, pathCancelled, jobID{ID: id}, &empty{})
	if err != nil {
		p.n.logger.Warn("Leader was not notified of a cancellation; it reads it from the store.", "job", id, "error", err)
	}
}

// State implements [intake.Leader].
func (p *peers) State(ctx context.Context, queue, id string) (work.State, bool, error) {
	var reply jobState
	sent := clock.Now()
	err := p.callLeader(ctx, func(e *scheduler.Engine) (err error) {
		reply.State, reply.Known, err = e.JobState(ctx, id)
		return err
	}, pathState, jobID{ID: id, Queue: queue}, &reply)
	p.keepReport(queue, reply.queueLoad, sent)
	return reply.State, reply.Known, err
}

// Waiting implements [intake.Leader].
func (p *peers) Waiting(ctx context.Context, queue string) (int, error) {
	var reply waitingCount
	sent := clock.Now()
	err := p.callLeader(ctx, func(e *scheduler.Engine) (err error) {
		reply.Count, err = e.WaitingJobs(ctx, queue)
		return err
	}, pathWaiting, queueName{queue}, &reply)
	p.keepReport(queue, reply.queueLoad, sent)
	return reply.Count, err
}

// nearestPeers returns up to maxQueriedPeers other live nodes, those in the data centre of this node first.
func (p *peers) nearestPeers() []member.Node {
	var near, far []member.Node
	for _, n := range p.n.members.Live() {
		switch {
		case n.Name == p.n.settings.Name:
		case n.DataCentre == p.n.settings.DataCentre:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), maxQueriedPeers)]
}

// Latest implements [catalog.Peers].
func (p *peers) Latest(ctx context.Context, version uint64) (catalog.Snapshot, bool) {
	var best catalog.Snapshot
	found := false
	for _, n := range p.nearestPeers() {
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

// Commit implements [intake.Relay]. It sends the transaction to other nodes until one of them has committed it. The outcome is
// unknown once a request may have reached a node that gave no reply.
func (p *peers) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	last := store.ErrNotDone
	for _, n := range p.nearestPeers() {
		var reply commitResult
		if err := p.call(ctx, n, pathCommit, tx, &reply); err != nil {
			var op *net.OpError
			if !errors.As(err, &op) || op.Op != "dial" {
				last = fmt.Errorf("%w: %w", store.ErrUnknown, err)
			}
			continue
		}
		if reply.Outcome < 0 || reply.Outcome >= len(commitErrors) {
			return store.Result{}, store.ErrUnknown
		}
		err := commitErrors[reply.Outcome]
		if err == nil || errors.Is(err, store.ErrConflict) {
			return reply.Result, err
		}
		if errors.Is(err, store.ErrUnknown) {
			last = err
		}
	}
	return store.Result{}, last
}

// Partitioned implements [intake.Relay]. If only the store is unreachable, the node is not partitioned: other nodes are then no
// better off.
func (p *peers) Partitioned(ctx context.Context) bool {
	if !p.n.clock.Unreachable() {
		return false
	}
	p.mu.Lock()
	partitioned, due := p.partitioned, clock.Now()-p.lastProbe > probeInterval
	if due {
		p.lastProbe = clock.Now()
	}
	p.mu.Unlock()
	if !due {
		return partitioned
	}
	var far []member.Node
	for _, n := range p.n.members.Live() {
		if n.DataCentre != p.n.settings.DataCentre && len(far) < maxProbedNodes {
			far = append(far, n)
		}
	}
	replies := make(chan bool, len(far))
	for _, n := range far {
		go func() { replies <- p.reachable(ctx, n) }()
	}
	reached := len(far) == 0
	for range far {
		if <-replies {
			reached = true
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitioned == reached {
		p.n.logger.Warn("Reachability of other data centres has changed.", "cut", !reached, "tried", len(far))
	}
	p.partitioned = !reached
	return p.partitioned
}

// reachable reports whether a node replies at all.
func (p *peers) reachable(ctx context.Context, to member.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+pathLeader, http.NoBody)
	if err != nil {
		p.n.logger.Error("Request to a node cannot be made.", "to", to.Name, "error", err)
		return false
	}
	response, err := p.http.Do(request)
	if err != nil {
		return false
	}
	if err := response.Body.Close(); err != nil {
		p.n.logger.Debug("Response of a node was not closed.", "to", to.Name, "error", err)
	}
	return true
}

// handler returns the handler for requests of other nodes.
func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, pathSubmitted, func(_ context.Context, job work.Job) (reply submittedReply, err error) {
		if err := job.Validate(); err != nil {
			return reply, eris.Wrapf(err, "job %q of another node", job.ID)
		}
		err = p.runAsLeader(func(e *scheduler.Engine) error {
			e.JobSubmitted(job)
			reply.queueLoad = loadOf(e, job.Queue)
			return nil
		})
		return reply, err
	})
	handle(mux, pathCancelled, func(_ context.Context, id jobID) (empty, error) {
		return empty{}, p.runAsLeader(func(e *scheduler.Engine) error { e.JobCancelled(id.ID); return nil })
	})
	handle(mux, pathState, func(ctx context.Context, id jobID) (reply jobState, err error) {
		err = p.runAsLeader(func(e *scheduler.Engine) (err error) {
			reply.State, reply.Known, err = e.JobState(ctx, id.ID)
			reply.queueLoad = loadOf(e, id.Queue)
			return err
		})
		return reply, err
	})
	handle(mux, pathWaiting, func(ctx context.Context, queue queueName) (reply waitingCount, err error) {
		err = p.runAsLeader(func(e *scheduler.Engine) (err error) {
			reply.Count, err = e.WaitingJobs(ctx, queue.Name)
			reply.queueLoad = loadOf(e, queue.Name)
			return err
		})
		return reply, err
	})
	handle(mux, pathWhere, p.handleWhere)
	handle(mux, pathLatest, func(_ context.Context, known rowVersion) (catalog.Snapshot, error) {
		s := p.n.source.Latest()
		if s.Version == known.Version {
			s.Value = nil
		}
		return s, nil
	})
	handle(mux, pathLeader, func(context.Context, empty) (member.Node, error) {
		leader, ok := p.n.members.Leader()
		if !ok || !p.n.members.NodesFresh() || (leader.Name == p.n.settings.Name && !p.n.members.IsLeader(leader.Fence)) {
			return member.Node{}, errNoLeader
		}
		return leader, nil
	})
	handle(mux, pathCommit, func(ctx context.Context, tx store.Tx) (commitResult, error) {
		result, err := p.n.deps.Store.Commit(ctx, tx)
		reply := commitResult{Result: result}
		for code, known := range commitErrors {
			if known != nil && errors.Is(err, known) {
				reply.Outcome = code
			}
		}
		return reply, nil
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.n.members.LeadershipUnconfirmed() {
			w.Header().Set(headerUnconfirmed, "1")
		}
		mux.ServeHTTP(w, r)
	})
}

// runAsLeader runs f if this node is the leader.
func (p *peers) runAsLeader(f func(*scheduler.Engine) error) error {
	engine, ok := p.n.leadership.Engine()
	if !ok || !engine.IsLeader() {
		return errNoLeader
	}
	return f(engine)
}

// requestMode decodes the requests of other nodes. The default of the library permits lists of 131,072 elements. An empty step takes one
// byte, and 160 once it is decoded.
var requestMode = newRequestMode()

func newRequestMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxListElements, MaxMapPairs: maxListElements}.DecMode()
	if err != nil {
		// The options are constants.
		panic(err)
	}
	return mode
}

// handle registers a function for a path whose request and reply bodies are CBOR.
func handle[Q, A any](mux *http.ServeMux, path string, f func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var body Q
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPeerBody))
		if err == nil {
			err = requestMode.Unmarshal(data, &body)
		}
		if clients.WriteRefusal(w, err) {
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
		defer cancel()
		reply, err := f(ctx, body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if data, err = cbor.Marshal(reply); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// If the reply cannot be written, the other node has already given up.
		_, _ = w.Write(data)
	})
}
