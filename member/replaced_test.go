package member

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/store/memory"
)

// TestStaleHeartbeat guards against a leader that is taken to have ended, because the latest heartbeat of its node is one of the process
// before.
func TestStaleHeartbeat(t *testing.T) {
	tests := map[string]struct {
		// before and after are the incarnations of the heartbeats before and after process 2 has acquired leadership.
		before, after []string
		ended         bool
	}{
		"no heartbeat of the leader":              {[]string{"1"}, nil, false},
		"heartbeat of the process before is late": {[]string{"1", "2"}, []string{"1"}, false},
		"only late heartbeats after the leader":   {[]string{"1"}, []string{"1"}, false},
		"leader sends heartbeats":                 {[]string{"1", "2"}, []string{"2"}, false},
		"replaced":                                {[]string{"1", "2"}, []string{"2", "3"}, true},
		"replaced before its first heartbeat":     {[]string{"1"}, []string{"3"}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := memory.New()
			next := newCandidate(t, s, "c")
			leader := New(Options{Store: s, Clock: &store.Clock{}, Self: Node{Name: "b", Incarnation: "2"}})
			heartbeat := func(incarnation string) {
				value, err := cbor.Marshal(Node{Name: "b", Incarnation: incarnation})
				qt.Assert(t, err, qt.IsNil)
				_, err = s.Commit(t.Context(), store.Tx{Puts: []store.Put{{Key: store.Key{Table: tableNodes, Partition: "b", Name: "b"}, Value: value}}})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, next.scanNodes(t.Context()), qt.IsNil)
			}
			for _, incarnation := range test.before {
				heartbeat(incarnation)
			}
			acquireFrom(t, leader)
			for _, incarnation := range test.after {
				heartbeat(incarnation)
			}
			qt.Assert(t, acquireFrom(t, next).PreviousLeaderEnded, qt.Equals, test.ended)
			qt.Assert(t, next.PreviousLeaderEnded(), qt.Equals, test.ended)
		})
	}
}
