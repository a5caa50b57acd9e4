package worker_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/worker"
)

// targetBeforeLives is [worker.Target] in builds that send no incarnation.
type targetBeforeLives struct {
	ID         string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint,omitempty"`
}

// TestTargetOfOtherBuild guards against delegates and leaders of other builds that cannot read whom a command is for.
func TestTargetOfOtherBuild(t *testing.T) {
	earlier := targetBeforeLives{ID: "w1", Address: "a:1", DataCentre: "d"}
	present := worker.Target{Life: worker.Life{ID: "w1", Incarnation: 7}, Address: "a:1", DataCentre: "d"}

	data, err := cbor.Marshal(present)
	qt.Assert(t, err, qt.IsNil)
	var read targetBeforeLives
	qt.Assert(t, cbor.Unmarshal(data, &read), qt.IsNil)
	qt.Assert(t, read, qt.Equals, earlier)
	var same worker.Target
	qt.Assert(t, cbor.Unmarshal(data, &same), qt.IsNil)
	qt.Assert(t, same, qt.Equals, present)

	data, err = cbor.Marshal(earlier)
	qt.Assert(t, err, qt.IsNil)
	var target worker.Target
	qt.Assert(t, cbor.Unmarshal(data, &target), qt.IsNil)
	present.Incarnation = 0
	qt.Assert(t, target, qt.Equals, present)
}
