package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/peer"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

const bootstrapKey = "first.key"

const documents = `kind: Pool
spec: {name: pricing, maxUnavailable: 20%}
---
kind: Class
spec: {name: counter, pool: pricing, target: 300ms, share: 1}
---
kind: Team
spec: {name: desk, share: 1, upperLimit: 10}
`

// fakeFleet is a set of peers whose state the test sets.
type fakeFleet struct {
	mu      sync.Mutex
	members []peer.Member
}

func (f *fakeFleet) ID() string           { return "entry-0" }
func (f *fakeFleet) Registered() []string { return []string{"entry-0"} }
func (f *fakeFleet) Members() []peer.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]peer.Member(nil), f.members...)
}

// lossyTable loses the responses of commits that took effect.
type lossyTable struct {
	provider.Table
	loseResponses atomic.Int32
}

func (t *lossyTable) Commit(ctx context.Context, txn provider.Txn) error {
	err := t.Table.Commit(ctx, txn)
	if t.loseResponses.Add(-1) >= 0 {
		return provider.ErrUnknownOutcome
	}
	return err
}

type testAPI struct {
	table  *lossyTable
	store  *config.Store
	source *config.Source
	fleet  *fakeFleet
	server *Server
	client *Client
}

func newTestAPI(t *testing.T, policy config.Policy) *testAPI {
	c := qt.New(t)
	r := &testAPI{table: &lossyTable{Table: standin.NewTable()}, fleet: &fakeFleet{}}
	r.store = config.NewStore(r.table, config.StoreOptions{})
	r.source = config.NewSource(r.store, config.SourceOptions{Interval: 50 * time.Millisecond, Policy: policy})
	var err error
	r.server, err = NewServer(Options{
		Listen: "127.0.0.1:0", Store: r.store, Source: r.source, Fleet: r.fleet, BootstrapKey: bootstrapKey, Wait: 300 * time.Millisecond,
	})
	c.Assert(err, qt.IsNil)
	r.server.Handle("GET /operator/other", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%q", Author(r.Context()))
	}))
	c.Assert(r.source.Start(t.Context()), qt.IsNil)
	c.Assert(r.source.WaitReady(t.Context()), qt.IsNil)
	c.Assert(r.server.Start(t.Context()), qt.IsNil)
	t.Cleanup(func() {
		_ = r.server.Stop(context.Background())
		_ = r.source.Stop(context.Background())
	})
	first := r.newClient(c, bootstrapKey)
	key, _, err := first.CreateOperatorKey(t.Context(), "nadia")
	c.Assert(err, qt.IsNil)
	r.client = r.newClient(c, key)
	_, err = r.client.Apply(t.Context(), ApplyRequest{Files: []config.File{{Name: "lab.yaml", Data: documents}}})
	c.Assert(err, qt.IsNil)
	return r
}

func (r *testAPI) newClient(c *qt.C, key string) *Client {
	client, err := NewClient("http://"+r.server.Address(), key)
	c.Assert(err, qt.IsNil)
	return client
}

func problemKind(err error) string {
	var problemErr *Error
	if errors.As(err, &problemErr) {
		return problemErr.Kind()
	}
	return ""
}

// Guards against routes, built in or added with Handle, that serve requests without a valid operator key.
func TestOperatorKeyIsRequired(t *testing.T) {
	c := qt.New(t)
	r := newTestAPI(t, config.Policy{})
	teamKey, _, err := r.client.CreateKey(t.Context(), "desk")
	c.Assert(err, qt.IsNil)
	for name, key := range map[string]string{"none": "", "bootstrap after the first key": bootstrapKey, "unknown": "a.b", "of a team": teamKey} {
		client := r.newClient(c, key)
		_, err := client.Status(t.Context())
		c.Assert(problemKind(err), qt.Equals, "invalidKey", qt.Commentf("%s: %v", name, err))
		c.Assert(problemKind(client.call(t.Context(), http.MethodGet, "/operator/other", nil, nil, new(string))), qt.Equals, "invalidKey")
	}
	var author string
	c.Assert(r.client.call(t.Context(), http.MethodGet, "/operator/other", nil, nil, &author), qt.IsNil)
	c.Assert(author, qt.Equals, "nadia")
}

// Guards against a revocation that is reported in force while an instance may still admit the key,
// and against one that stays pending for ever.
func TestRevocationReportsWhereItIsInForce(t *testing.T) {
	behind := peer.Member{ID: "entry-1", State: peer.Dead, Version: 1}
	tests := map[string]struct {
		policy  config.Policy
		members []peer.Member
		pending bool
	}{
		"all have it":             {config.Policy{}, []peer.Member{{ID: "entry-1", State: peer.Alive, Version: 100}}, false},
		"unreachable, refuse":     {config.Policy{KeyFreshness: 200 * time.Millisecond}, []peer.Member{behind}, false},
		"unreachable, long bound": {config.Policy{KeyFreshness: time.Minute}, []peer.Member{behind}, true},
		"unreachable, bounded":    {config.Policy{KeyFreshness: 200 * time.Millisecond, WhenUnreachable: config.WhenUnreachableBounded, BoundedFreshness: time.Hour}, []peer.Member{behind}, true},
		"connected but behind":    {config.Policy{KeyFreshness: time.Minute}, []peer.Member{{ID: "entry-1", State: peer.Alive, Version: 1}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestAPI(t, test.policy)
			key, _, err := r.client.CreateKey(t.Context(), "desk")
			c.Assert(err, qt.IsNil)
			_, err = r.source.Authenticate(key)
			c.Assert(err, qt.IsNil)
			r.fleet.mu.Lock()
			r.fleet.members = test.members
			r.fleet.mu.Unlock()
			start := time.Now()
			var id string
			for _, spec := range teamKeyIDs(r.source) {
				id = spec
			}
			change, err := r.client.RevokeKey(t.Context(), "desk", id)
			c.Assert(err, qt.IsNil)
			_, err = r.source.Authenticate(key)
			c.Assert(err, qt.ErrorIs, config.ErrUnknownKey)
			c.Assert(change.InForce, qt.Equals, !test.pending)
			if test.pending {
				c.Assert(change.Pending.Waiting, qt.DeepEquals, []string{"entry-1"})
				bound := change.Pending.Latest.Sub(start)
				c.Assert(bound >= r.source.Policy().FreshnessBound() && bound < r.source.Policy().FreshnessBound()+5*time.Second, qt.IsTrue)
			}
			_, err = r.client.RevokeKey(t.Context(), "desk", id)
			c.Assert(problemKind(err), qt.Equals, "unknownName")
		})
	}
}

func teamKeyIDs(source *config.Source) []string {
	t, _ := source.Snapshot().Team("desk")
	var ids []string
	for _, key := range t.Spec().Keys {
		ids = append(ids, key.ID)
	}
	return ids
}

// Guards against keys that are lost or issued twice when operators race or responses of the platform are lost.
func TestRacingKeyChanges(t *testing.T) {
	c := qt.New(t)
	r := newTestAPI(t, config.Policy{})
	const count = 6
	keys := make([]string, count)
	var operators sync.WaitGroup
	r.table.loseResponses.Store(3)
	for i := range keys {
		operators.Go(func() {
			var err error
			keys[i], _, err = r.client.CreateKey(t.Context(), "desk")
			c.Check(err, qt.IsNil)
		})
	}
	operators.Wait()
	c.Assert(r.source.Poll(t.Context()), qt.IsNil)
	c.Assert(teamKeyIDs(r.source), qt.HasLen, count)
	for _, key := range keys {
		_, err := r.source.Authenticate(key)
		c.Assert(err, qt.IsNil)
	}
}

// Guards against an apply that overwrites another operator's change, writes in a dry run, or reports a fault without its line.
func TestApply(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	r := newTestAPI(t, config.Policy{})
	version, _, err := r.client.Get(ctx, "", "")
	c.Assert(err, qt.IsNil)
	file := func(data string) []config.File { return []config.File{{Name: "lab.yaml", Data: data}} }
	cheaper := "kind: Class\nspec: {name: counter, pool: pricing, target: 200ms, share: 1}\n"

	change, err := r.client.Apply(ctx, ApplyRequest{Files: file(cheaper), DryRun: true})
	c.Assert(err, qt.IsNil)
	c.Assert(change.Version, qt.Equals, version)
	c.Assert(change.Difference[0].String(), qt.Equals, "~ Class/counter\n    target: 300ms -> 200ms")

	change, err = r.client.Apply(ctx, ApplyRequest{Files: file(cheaper), Base: version})
	c.Assert(err, qt.IsNil)
	c.Assert(change.Version, qt.Equals, version+1)
	_, err = r.client.Apply(ctx, ApplyRequest{Files: file(documents), Base: version})
	c.Assert(err, qt.ErrorMatches, `Configuration has changed: .*version 3 by nadia changed Class/counter`)
	c.Assert(problemKind(err), qt.Equals, "configurationConflict")
	_, err = r.client.Apply(ctx, ApplyRequest{Files: file("kind: Class\nspec:\n  name: dye\n  pool: none\n  target: 1s\n  share: 1\n")})
	c.Assert(err, qt.ErrorMatches, `lab.yaml:4: class "dye" uses pool "none", which does not exist`)

	// An import restores the whole set of an export, including the keys.
	key, _, err := r.client.CreateKey(ctx, "desk")
	c.Assert(err, qt.IsNil)
	export, err := r.client.Export(ctx)
	c.Assert(err, qt.IsNil)
	_, err = r.client.Apply(ctx, ApplyRequest{Deletes: []config.Ref{{Kind: config.KindTeam, Name: "desk"}}})
	c.Assert(err, qt.IsNil)
	_, err = r.client.Apply(ctx, ApplyRequest{Files: file(string(export)), Import: true, OperationID: ident.New()})
	c.Assert(err, qt.IsNil)
	_, err = r.source.Authenticate(key)
	c.Assert(err, qt.IsNil)
	history, err := r.client.History(ctx, 0, 3)
	c.Assert(err, qt.IsNil)
	c.Assert(history, qt.HasLen, 3)
	c.Assert(history[0].Author, qt.Equals, "nadia")
}
