package duty_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/duty"
)

// panickingController panics in each pass, as on a row that it cannot handle.
type panickingController struct{ passes int }

func (c *panickingController) Pass(context.Context, duty.Leases) error {
	c.passes++
	panic("unexpected row")
}

// TestPanickingPass guards against a row that ends every process which acquires the duty, one after the other.
func TestPanickingPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		c := &panickingController{}
		r := duty.NewRunner(duty.Options{Interval: time.Second, Logger: hclog.New(&hclog.LoggerOptions{Output: &log})}, c)
		qt.Assert(t, r.Start(t.Context()), qt.IsNil)
		time.Sleep(3500 * time.Millisecond)
		qt.Assert(t, r.Stop(t.Context()), qt.IsNil)
		qt.Assert(t, c.passes, qt.Equals, 4)
		qt.Assert(t, log.String(), qt.Contains, "unexpected row")
		qt.Assert(t, log.String(), qt.Contains, "panickingController).Pass")
	})
}
