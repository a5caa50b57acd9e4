package hangup_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/process/hangup"
)

// TestEarly guards against a process that is ended by a SIGHUP that comes before anything waits for one, and against one that is lost.
func TestEarly(t *testing.T) {
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	select {
	case s := <-hangup.Signals():
		qt.Assert(t, s, qt.Equals, os.Signal(syscall.SIGHUP))
	case <-time.After(10 * time.Second):
		t.Fatal("SIGHUP was lost")
	}
}
