package scheduler

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/instance"
)

// TestMalformedInstance guards against a log line for each list in which the same entry is malformed, and against a command for that
// instance.
func TestMalformedInstance(t *testing.T) {
	f := newFleetRig(t, 3, 5)
	var log bytes.Buffer
	f.core.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
	good := f.instances["s1"]
	for _, malformed := range []bool{true, true, true, false, true, true} {
		f.instances["s1"] = good
		if malformed {
			f.instances["s1"] = instance.Instance{ID: "s1", Pool: "off", State: instance.Down, Err: errors.New("malformed")}
		}
		f.instances["no ID"] = instance.Instance{Err: errors.New("entry has no ID")}
		f.listInstances()
		qt.Assert(t, f.core.fleet.instances, qt.HasLen, 8)
		qt.Assert(t, f.core.movable("s1", f.core.fleet.instances["s1"]), qt.Equals, !malformed)
	}
	qt.Assert(t, strings.Count(log.String(), "Entry of an instance is invalid."), qt.Equals, 3, qt.Commentf("%s", log.String()))
}
