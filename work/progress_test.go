package work_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/work"
)

// TestStateOfNewerVersion guards against a row of a newer version that takes down each process which shows or logs its state.
func TestStateOfNewerVersion(t *testing.T) {
	tests := map[string]struct {
		state work.State
		want  string
	}{
		"last state":     {work.Cancelled, "cancelled"},
		"newer state":    {work.State(1000), "State(1000)"},
		"negative state": {work.State(-1), "State(-1)"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.state.String(), qt.Equals, test.want) })
	}
}
