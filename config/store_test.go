package config

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/pool"
)

// Guards against a change that is written although the resulting set is invalid.
func TestChangeRefusesInvalidSets(t *testing.T) {
	_, key := newKey(qt.New(t), "shared")
	tests := map[string]struct {
		request Request
		want    string
	}{
		"unknown pool": {putRequest(classDocument("quote", "none")), `.*uses pool "none", which does not exist`},
		"pool in use":  {Request{OperationID: "1", Deletes: []Ref{{KindPool, "pricing"}}}, `.*uses pool "pricing", which does not exist`},
		"given twice":  {putRequest(poolDocument("a"), poolDocument("a")), `.*Pool/a is given twice`},
		"shared key":   {putRequest(teamDocument("a", key), teamDocument("b", key)), `.*key ID "shared" of Team/b is also used by Team/a`},
		"endless share": {putRequest(NewDocument(class.Spec{Name: "q", Pool: "pricing", Target: "1s", Share: 1e300})),
			`.*share 1e\+300 is greater than 1e\+06`},
		"no share":       {putRequest(NewDocument(class.Spec{Name: "q", Pool: "pricing", Target: "1s"})), `.*share 0 is not greater than 0`},
		"name with path": {putRequest(poolDocument("a/b")), `.*must be letters, digits and hyphens.*`},
		"no budget":      {putRequest(NewDocument(pool.Spec{Name: "a"})), `.*no availability budget.*`},
		"not there":      {Request{OperationID: "1", Deletes: []Ref{{KindPool, "none"}}}, `.*Pool/none cannot be deleted.*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store, _ := newTestStore(t)
			mustChange(c, store, putRequest(poolDocument("pricing"), classDocument("counter", "pricing")))
			_, err := store.Change(context.Background(), test.request)
			c.Assert(err, qt.ErrorMatches, test.want)
			var invalid *Invalid
			c.Assert(errors.As(err, &invalid), qt.IsTrue)
			snapshot, err := store.Load(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(snapshot.Version(), qt.Equals, uint64(1))
		})
	}
}

// Guards against a change that is applied twice, or reported as failed, when the platform's
// response is lost after the transaction took effect.
func TestChangeFindsItsOwnEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store, table := newTestStore(t)
		table.set(func(t *faultyTable) { t.loseResponses = 1 })
		request := putRequest(poolDocument("pricing"))
		result := mustChange(c, store, request)
		c.Assert(result.Version, qt.Equals, uint64(1))
		c.Assert(result.Changed, qt.IsTrue)
		mustChange(c, store, putRequest(poolDocument("batch")))
		c.Assert(mustChange(c, store, request).Version, qt.Equals, uint64(1))
	})
}

// Guards against an operator who overwrites the change of another one without a conflict error.
func TestRacingOperators(t *testing.T) {
	first := putRequest(poolDocument("pricing"))
	second := NewDocument(pool.Spec{Name: "pricing", MaxUnavailable: "1"})
	tests := map[string]struct {
		request Request
		want    string
	}{
		"same document":     {putRequest(second), `configuration is at version 2, not 1; Pool/pricing has changed; version 2 by nadia changed Pool/pricing`},
		"other document":    {putRequest(poolDocument("batch")), ""},
		"other, with base":  {Request{OperationID: "1", Base: 1, Puts: []Document{poolDocument("batch")}}, `configuration is at version 2, not 1; version 2 by nadia .*`},
		"old document":      {putRequest(Document{Kind: KindPool, Version: 1, Spec: second.Spec}), `configuration is at version 2, not 1; Pool/pricing has changed; .*`},
		"replacing the set": {Request{OperationID: "1", Replace: true, Puts: []Document{poolDocument("batch")}}, `configuration is at version 2, not 1; version 2 by nadia .*`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store, table := newTestStore(t)
			mustChange(c, store, putRequest(poolDocument("stock"), NewDocument(pool.Spec{Name: "pricing", MaxUnavailable: "3"})))
			other := NewStore(table, StoreOptions{})
			table.set(func(t *faultyTable) {
				t.beforeCommit = func() { mustChange(c, other, Request{OperationID: "0", Author: "nadia", Puts: first.Puts}) }
			})
			_, err := store.Change(context.Background(), test.request)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}
