package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/caller"
	"github.com/chivetiller/chivetiller/claim"
	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/dispatch"
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	platformstandin "github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/standin"
	"github.com/chivetiller/chivetiller/team"
)

// rig is one entry instance on loopback with stand-in endpoints and an in-memory platform.
type rig struct {
	server     *caller.Server
	dispatcher *dispatch.Dispatcher
	endpoints  []*standin.Endpoint
	source     *fakeSource
	claims     *claim.Store
	table      *faultyTable
	events     *events
	log        *logLines
	key        string
	client     *http.Client
}

type rigOptions struct {
	endpoints int
	endpoint  standin.Options
	caller    caller.Options
	permits   dispatch.Permits
	hedge     bool
	// withoutObservers leaves out the observers, which would keep all events in memory.
	withoutObservers bool
}

const testPool = "shiftDesk"

// newRig starts a rig with the keyed class "swap" (target 2s), the open class "board" (2s) and the keyed class "brief" (150ms).
func newRig(t testing.TB, o rigOptions) *rig {
	t.Helper()
	c := qt.New(t)
	key, keySpec, err := team.NewKey("k1")
	c.Assert(err, qt.IsNil)
	snapshot, err := config.NewSnapshot(1, []config.Document{
		config.NewDocument(pool.Spec{Name: testPool, MaxUnavailable: "20%"}),
		config.NewDocument(class.Spec{Name: "swap", Pool: testPool, Target: "2s", Share: 1}),
		config.NewDocument(class.Spec{Name: "brief", Pool: testPool, Target: "150ms", Share: 1}),
		config.NewDocument(class.Spec{Name: "board", Pool: testPool, Target: "2s", Share: 1, Open: true}),
		config.NewDocument(team.Spec{Name: "supervisors", Share: 1, UpperLimit: 100, Keys: []team.KeySpec{keySpec}}),
	})
	c.Assert(err, qt.IsNil)
	r := &rig{key: key, source: &fakeSource{snapshot: snapshot}, events: &events{}, log: &logLines{}, table: &faultyTable{Table: platformstandin.NewTable()}}
	logger := hclog.New(&hclog.LoggerOptions{Output: r.log, Level: hclog.Info})
	r.claims = claim.NewStore(claim.Options{Table: r.table, Owner: "entry-1/1", BatchDelay: time.Millisecond})
	do := dispatch.Options{Logger: logger, Permits: o.permits, Observer: r.events, DisableHedging: !o.hedge}
	if o.withoutObservers {
		do.Observer = nil
	}
	r.dispatcher = dispatch.New(do)
	r.dispatcher.Configure(snapshot.Pools(), snapshot.Classes(), snapshot.Teams())
	for i := range max(o.endpoints, 1) {
		eo := o.endpoint
		eo.ID = fmt.Sprintf("e%d", i)
		e := standin.New(eo)
		c.Assert(e.Start(t.Context()), qt.IsNil)
		r.endpoints = append(r.endpoints, e)
	}
	r.publishEndpoints()
	co := o.caller
	co.Source, co.Dispatcher, co.Claims, co.Observer, co.Logger = r.source, r.dispatcher, r.claims, r.events, logger
	if o.withoutObservers {
		co.Observer = nil
	}
	r.server = caller.New(co)
	c.Assert(r.server.Start(t.Context()), qt.IsNil)
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second}
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = r.server.Stop(ctx)
		_ = r.dispatcher.Stop(ctx)
		_ = r.claims.Stop(ctx)
		for _, e := range r.endpoints {
			_ = e.Crash()
		}
	})
	return r
}

// publishEndpoints sets the endpoints of the pool.
func (r *rig) publishEndpoints() {
	var list []endpoint.Endpoint
	for _, e := range r.endpoints {
		list = append(list, endpoint.Endpoint{ID: e.ID(), Address: e.Address(), Incarnation: e.Incarnation(), Quota: endpoint.SlotsPerEndpoint})
	}
	r.dispatcher.SetEndpoints(testPool, list)
}

func (r *rig) url(path string) string { return "http://" + r.server.Address() + path }

// answer is the response that a caller receives, with its problem document if there is one.
type answer struct {
	status   int
	header   http.Header
	body     string
	document problem.Document
	err      error
}

// send sends a request with the key of the team. Headers are given as "Name: value".
func (r *rig) send(ctx context.Context, method, path, body string, headers ...string) answer {
	request, err := http.NewRequestWithContext(ctx, method, r.url(path), strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+r.key)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
	if response.Header.Get("Content-Type") == problem.ContentType {
		a.err = json.Unmarshal(data, &a.document)
	}
	return a
}

// runs returns the runs at all endpoints.
func (r *rig) runs() []standin.Run {
	var runs []standin.Run
	for _, e := range r.endpoints {
		runs = append(runs, e.Runs()...)
	}
	return runs
}

// faultyTable is a table whose commits fail as set by tests.
type faultyTable struct {
	*platformstandin.Table
	mu sync.Mutex
	// fault is returned by commits after the given number of good ones. Before ErrUnknownOutcome, the commit takes effect.
	fault error
	good  int
}

func (t *faultyTable) set(fault error, good int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.good = fault, good
}

// Commit implements provider.Table.
func (t *faultyTable) Commit(ctx context.Context, txn provider.Txn) error {
	t.mu.Lock()
	fault := t.fault
	if t.good > 0 {
		t.good--
		fault = nil
	}
	t.mu.Unlock()
	if errors.Is(fault, provider.ErrUnknownOutcome) {
		// This fails if an earlier attempt of the client has taken effect already.
		_ = t.Table.Commit(ctx, txn)
	}
	if fault != nil {
		return fault
	}
	return t.Table.Commit(ctx, txn)
}

// fakeSource is a configuration source with freshness and keys that tests control.
type fakeSource struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	stale    bool
	// afterChecks is called after the number of key checks. It may be nil.
	afterChecks func()
	checks      int
	// afterSnapshot is called once after the next read of the snapshot. It may be nil.
	afterSnapshot func()
}

func (s *fakeSource) Snapshot() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readSnapshot()
}

func (s *fakeSource) readSnapshot() *config.Snapshot {
	snapshot := s.snapshot
	if s.afterSnapshot != nil {
		s.afterSnapshot()
		s.afterSnapshot = nil
	}
	return snapshot
}

func (s *fakeSource) SnapshotForKeys() (*config.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCheck()
	var err error
	if s.stale {
		err = config.ErrKeysStale
	}
	return s.readSnapshot(), err
}

func (s *fakeSource) Authenticate(key string) (team.Team, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.recordCheck()
	if s.stale {
		return team.Team{}, config.ErrKeysStale
	}
	t, ok := s.snapshot.TeamByKey(key)
	if !ok {
		return team.Team{}, config.ErrUnknownKey
	}
	return t, nil
}

func (s *fakeSource) recordCheck() {
	if s.checks--; s.checks == 0 && s.afterChecks != nil {
		s.afterChecks()
	}
}

// change calls f after the given number of key checks, or at once if it is 0.
func (s *fakeSource) change(checks int, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if checks == 0 {
		f()
		return
	}
	s.checks, s.afterChecks = checks, f
}

// events records the calls of the observers.
type events struct {
	mu      sync.Mutex
	ended   []caller.Event
	faults  []connection.FaultKind
	notRun  int
	retries int
	hedges  int
}

func (e *events) RequestEnded(event caller.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = append(e.ended, event)
}

func (e *events) EndpointFault(_, _ string, kind connection.FaultKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, kind)
}

func (e *events) EndpointNotRun(_, _ string) { e.mu.Lock(); e.notRun++; e.mu.Unlock() }
func (e *events) Retry(_, _ string)          { e.mu.Lock(); e.retries++; e.mu.Unlock() }
func (e *events) Hedge(_, _ string)          { e.mu.Lock(); e.hedges++; e.mu.Unlock() }

// last waits for and returns the n-th event. The event of a request is reported after its response was sent.
func (e *events) last(n int) caller.Event {
	for range 500 {
		e.mu.Lock()
		if len(e.ended) >= n {
			defer e.mu.Unlock()
			return e.ended[n-1]
		}
		e.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	return caller.Event{}
}

// logLines collects log lines.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logLines) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := strings.TrimSpace(l.buf.String())
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// waitClaimsWritten waits until all outcomes of claims are written. It reports false if that takes too long.
func (r *rig) waitClaimsWritten() bool {
	for range 1000 {
		if r.claims.PendingOutcomes() == 0 {
			// The commit of the last batch may still be in progress.
			time.Sleep(5 * time.Millisecond)
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// unlimitedPermits grants every permit.
type unlimitedPermits struct{}

func (unlimitedPermits) Acquire(string) (dispatch.Permit, error) { return unlimitedPermits{}, nil }
func (unlimitedPermits) Check() error                            { return nil }
func (unlimitedPermits) Release()                                {}
