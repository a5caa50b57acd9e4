package demo

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/standin"
)

// TestWaitForRecords guards against a request that counts as lost because its endpoint has not recorded the response yet.
func TestWaitForRecords(t *testing.T) {
	e := standin.New(standin.Options{ID: "e", Slots: 1, ServiceTime: standin.Fixed(100 * time.Millisecond)})
	qt.Assert(t, e.Start(t.Context()), qt.IsNil)
	t.Cleanup(func() { _ = e.Stop(context.Background()) })
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + e.Address() + "/work/a")
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	for len(e.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, e.Runs()[0].Sent, qt.IsFalse)
	qt.Assert(t, waitForRecords(t.Context(), []*standin.Endpoint{e}), qt.IsNil)
	qt.Assert(t, e.Runs()[0].Sent, qt.IsTrue)
	qt.Assert(t, <-answered, qt.IsNil)
}
