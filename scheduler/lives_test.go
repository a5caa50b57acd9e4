package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/worker"
)

// TestBatchAcrossRestart guards against exits of a life that are acknowledged unseen, since a batch was in flight across its start.
func TestBatchAcrossRestart(t *testing.T) {
	r := newRig(t, 1, "w1")
	r.addSteps("a", 3)
	r.accept(r.pass())
	r.finish("w1", worker.ExitDone)
	r.reply("w1")
	b := r.core.TakeBatch(100)
	qt.Assert(t, b.exitAcks, qt.HasLen, 1)
	r.core.HandleStatus("w1", worker.Status{Reply: worker.Reply{Clock: time.Millisecond, Incarnation: rigNextIncarnation}}, r.now, nil)
	r.core.BatchStored(b)
	renewal, _ := r.core.Renewal("w1")
	qt.Assert(t, renewal.Command.AcknowledgedSeq, qt.Equals, uint64(0))
}
