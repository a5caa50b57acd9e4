package scheduler

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/store/memory"
)

// TestHandOverPanics guards against a process that ends, with the requests of its clients, because what it hands over cannot be computed.
func TestHandOverPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := newTestEngine(t, memory.New(), 1)
		r := newRig(t, 1, "w1")
		e.core.workers = r.core.workers
		e.core.workers["w1"].workerLife = nil
		qt.Assert(t, func() { e.HandOver(t.Context()) }, qt.Not(qt.PanicMatches), ".*")
	})
}
