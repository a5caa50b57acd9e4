package worker_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/worker"
)

// TestNamesOfNewerVersion guards against a message of a newer version that takes down each process which logs it.
func TestNamesOfNewerVersion(t *testing.T) {
	tests := map[string]struct {
		value fmt.Stringer
		want  string
	}{
		"last outcome":     {worker.NotSent, "notSent"},
		"newer outcome":    {worker.Outcome(1000), "Outcome(1000)"},
		"negative outcome": {worker.Outcome(-1), "Outcome(-1)"},
		"last reason":      {worker.ExitGangIncomplete, "alone"},
		"newer reason":     {worker.ExitReason(1000), "ExitReason(1000)"},
		"negative reason":  {worker.ExitReason(-1), "ExitReason(-1)"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.value.String(), qt.Equals, test.want) })
	}
}
