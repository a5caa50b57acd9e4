package standin_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/standin"
)

// TestLimits guards against a stand-in that does not enforce its limits and so hides callers that exceed them. It must
// refuse a request beyond its slots as not run, close a connection beyond its limit, and refuse everything while draining.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	e := standin.New(standin.Options{ID: "e", Slots: 2, Connections: 6, ServiceTime: standin.Fixed(50 * time.Millisecond)})
	c.Assert(e.Start(t.Context()), qt.IsNil)
	defer e.Crash()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10}}
	post := func() (int, string) {
		response, err := client.Post("http://"+e.Address()+"/a", "text/plain", strings.NewReader("x"))
		if err != nil {
			return 0, ""
		}
		defer response.Body.Close()
		return response.StatusCode, response.Header.Get("Chivetiller-Not-Run")
	}
	var ok, notRun atomic.Int64
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			switch status, refused := post(); {
			case status == 200:
				ok.Add(1)
			case status == 503 && refused == "true":
				notRun.Add(1)
			}
		})
	}
	wg.Wait()
	c.Assert(ok.Load(), qt.Equals, int64(2))
	c.Assert(notRun.Load(), qt.Equals, int64(3))
	c.Assert(e.PeakRunning(), qt.Equals, 2)

	var refused int
	var conns []net.Conn
	for range 8 {
		conn, err := net.Dial("tcp", e.Address())
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); err != nil && !strings.Contains(err.Error(), "timeout") {
			refused++
		}
	}
	c.Assert(refused >= 2, qt.IsTrue)
	c.Assert(e.Connections() <= 6, qt.IsTrue)
	for _, conn := range conns {
		conn.Close()
	}
	for e.Connections() > 5 {
		time.Sleep(time.Millisecond)
	}
	e.Drain()
	status, mark := post()
	c.Assert(status, qt.Equals, 503)
	c.Assert(mark, qt.Equals, "true")
	c.Assert(e.Runs(), qt.HasLen, 2)
}

// TestReboot guards against a stand-in that keeps its incarnation or its draining state, or changes its address, in a
// reboot.
func TestReboot(t *testing.T) {
	c := qt.New(t)
	e := standin.New(standin.Options{ID: "e"})
	c.Assert(e.Start(t.Context()), qt.IsNil)
	defer e.Crash()
	address := e.Address()
	e.Drain()
	c.Assert(e.Reboot(t.Context(), 0), qt.IsNil)
	c.Assert(e.Incarnation(), qt.Equals, uint64(2))
	c.Assert(e.Address(), qt.Equals, address)
	c.Assert(e.Draining(), qt.IsFalse)
}
