package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/work"
)

// TestLoadInReplies guards against replies that nodes of an earlier build cannot read, and the other way round: their replies have no load.
func TestLoadInReplies(t *testing.T) {
	type earlierState struct {
		State work.State `cbor:"1,keyasint"`
		Known bool       `cbor:"2,keyasint"`
	}
	load := queueLoad{Report: &admission.Report{Cores: 8, Within: []float64{1, 2}, Teams: []string{"t"}}, Age: 30 * time.Millisecond}
	data, err := cbor.Marshal(jobState{State: work.Running, Known: true, queueLoad: load})
	qt.Assert(t, err, qt.IsNil)
	var earlier earlierState
	qt.Assert(t, cbor.Unmarshal(data, &earlier), qt.IsNil)
	qt.Assert(t, earlier, qt.Equals, earlierState{work.Running, true})
	var same jobState
	qt.Assert(t, cbor.Unmarshal(data, &same), qt.IsNil)
	qt.Assert(t, same.queueLoad, qt.DeepEquals, load)

	data, err = cbor.Marshal(earlier)
	qt.Assert(t, err, qt.IsNil)
	var without jobState
	qt.Assert(t, cbor.Unmarshal(data, &without), qt.IsNil)
	qt.Assert(t, without, qt.Equals, jobState{State: work.Running, Known: true})

	data, err = cbor.Marshal(submittedReply{queueLoad: load})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cbor.Unmarshal(data, &empty{}), qt.IsNil)
	data, err = cbor.Marshal(empty{})
	qt.Assert(t, err, qt.IsNil)
	var reply submittedReply
	qt.Assert(t, cbor.Unmarshal(data, &reply), qt.IsNil)
	qt.Assert(t, reply.Report, qt.IsNil)
}

// TestKeepReport guards against an old report that replaces a newer one because its reply came in late.
func TestKeepReport(t *testing.T) {
	p := &peers{n: &Node{leadership: &leadership{}}, reports: make(map[string]receivedReport)}
	_, _, ok := p.LoadReport("q")
	qt.Assert(t, ok, qt.IsFalse)
	p.keepReport("q", queueLoad{Report: &admission.Report{Cores: 2}, Age: time.Second}, time.Hour)
	p.keepReport("q", queueLoad{Report: &admission.Report{Cores: 1}, Age: 2 * time.Second}, time.Hour)
	p.keepReport("q", queueLoad{}, 2*time.Hour)
	r, _, ok := p.LoadReport("q")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Cores, qt.Equals, 2.0)
	p.keepReport("q", queueLoad{Report: &admission.Report{Cores: 3}, Age: time.Second / 2}, time.Hour)
	r, _, _ = p.LoadReport("q")
	qt.Assert(t, r.Cores, qt.Equals, 3.0)
}
