package budget_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/internal/clients/budget"
)

var limits = budget.Limits{
	Memory: 1 << 20, Connections: 20, HalfRead: 10, Head: 16384, Body: 65536,
	HeadTime: 4 * time.Second, BodyTime: 30 * time.Second, StallTime: 5 * time.Second,
}

// TestModel guards against a budget that is exceeded, that loses count of what is held, or that closes a connection whose request is being
// answered.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New(limits)
		var open, ending []*budget.Conn
		now := time.Duration(0)
		// answering holds the connections that were answered before a call.
		answering := make(map[*budget.Conn]bool)
		leave := func(closed []*budget.Conn) {
			for _, c := range closed {
				if answering[c] {
					t.Fatal("a connection was closed while it was answered")
				}
				if c.State() != budget.Ending {
					t.Fatalf("a connection that is to be closed is in state %d", c.State())
				}
				ending = append(ending, c)
				open = slices.DeleteFunc(open, func(o *budget.Conn) bool { return o == c })
			}
		}
		refuse := func(c *budget.Conn, reason budget.Reason) {
			if reason != budget.None {
				ending = append(ending, c)
				open = slices.DeleteFunc(open, func(o *budget.Conn) bool { return o == c })
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			clear(answering)
			for _, c := range open {
				if c.State() == budget.Answering {
					answering[c] = true
				}
			}
			if len(ending) > 0 && rapid.Bool().Draw(t, "ends") {
				b.Close(ending[0])
				ending = ending[1:]
			}
			step := rapid.IntRange(0, 9).Draw(t, "step")
			if len(open) == 0 || step == 0 {
				c, closed, reason := b.Open(now)
				leave(closed)
				if reason == budget.None {
					open = append(open, c)
				}
			} else {
				c := rapid.SampledFrom(open).Draw(t, "connection")
				n := int64(rapid.IntRange(1, 40000).Draw(t, "bytes"))
				switch step {
				case 1, 2:
					closed, reason := b.Receive(c, n, int64(rapid.IntRange(0, 300).Draw(t, "lines")), now)
					leave(closed)
					refuse(c, reason)
				case 3:
					if c.State() == budget.InHead {
						b.HeadRead(c, rapid.Bool().Draw(t, "body"), now)
					}
				case 4, 5:
					if c.State() == budget.InBody {
						closed, reason := b.Hold(c, n, now)
						leave(closed)
						refuse(c, reason)
					}
				case 6:
					b.BodyRead(c, now)
				case 7:
					if c.State() == budget.Answering {
						b.Answered(c)
						closed, reason := b.Wait(c, now)
						leave(closed)
						refuse(c, reason)
					}
				case 8:
					for _, e := range b.Expired(now) {
						leave([]*budget.Conn{e.Conn})
					}
				case 9:
					b.Close(c)
					b.Close(c)
					open = slices.DeleteFunc(open, func(o *budget.Conn) bool { return o == c })
				}
			}
			held, half := int64(0), 0
			for _, c := range open {
				held += c.Held()
				if c.State() == budget.InHead || c.State() == budget.InBody {
					half++
				}
			}
			if held != b.Held() || half != b.HalfRead() || len(open) != b.Connections() {
				t.Fatalf("%d bytes, %d half-read and %d connections are counted as %d, %d and %d", held, half, len(open), b.Held(), b.HalfRead(), b.Connections())
			}
			endingHeld := int64(0)
			for _, c := range ending {
				endingHeld += c.Held()
			}
			if n, bytes := b.Ending(); n != len(ending) || bytes != endingHeld {
				t.Fatalf("%d ending connections with %d bytes are counted as %d and %d", len(ending), endingHeld, n, bytes)
			}
			if len(open)+len(ending) > limits.Connections*5/4 || held+endingHeld > limits.Memory*5/4 {
				t.Fatalf("%d and %d ending connections with %d and %d bytes exceed the limits", len(open), len(ending), held, endingHeld)
			}
			if held > limits.Memory || half > limits.HalfRead || len(open) > limits.Connections {
				t.Fatalf("%d bytes, %d half-read and %d connections exceed the limits", held, half, len(open))
			}
		}
		for _, c := range append(open, ending...) {
			b.Close(c)
		}
		if n, bytes := b.Ending(); n != 0 || bytes != 0 {
			t.Fatalf("%d ending connections with %d bytes are left", n, bytes)
		}
		if b.Held() != 0 || b.HalfRead() != 0 || b.Connections() != 0 {
			t.Fatalf("%d bytes, %d half-read and %d connections are left", b.Held(), b.HalfRead(), b.Connections())
		}
	})
}

// TestVictim guards against a connection that is closed although another one has held more for longer, or although its request is complete.
func TestVictim(t *testing.T) {
	// part is a connection that was opened with the first byte at a time, and holds some bytes of a body.
	type part struct {
		at, progress time.Duration
		bytes        int64
		state        budget.State
	}
	for name, test := range map[string]struct {
		parts []part
		want  int
	}{
		"none":                      {nil, -1},
		"holds more":                {[]part{{0, 0, 1000, budget.InBody}, {0, 0, 60000, budget.InBody}}, 1},
		"holds longer":              {[]part{{0, 0, 60000, budget.InBody}, {0, 4 * time.Second, 60000, budget.InBody}}, 0},
		"more, for a shorter time":  {[]part{{0, 0, 30000, budget.InBody}, {0, 4 * time.Second, 60000, budget.InBody}}, 0},
		"makes progress":            {[]part{{0, 5 * time.Second, 60000, budget.InBody}, {0, 4 * time.Second, 0, budget.InHead}}, 1},
		"is answered":               {[]part{{0, 0, 60000, budget.Answering}, {0, 4 * time.Second, 0, budget.InHead}}, 1},
		"all are answered":          {[]part{{0, 0, 60000, budget.Answering}}, -1},
		"all make progress":         {[]part{{0, 5 * time.Second, 60000, budget.InBody}}, -1},
		"waits, beside a half-read": {[]part{{0, 0, 0, budget.Waiting}, {0, 4 * time.Second, 0, budget.InHead}}, 1},
		"waits longest":             {[]part{{time.Second, 0, 0, budget.Waiting}, {0, 0, 0, budget.Waiting}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget.New(limits)
			conns := make([]*budget.Conn, 0, len(test.parts))
			for _, p := range test.parts {
				c, _, reason := b.Open(p.at)
				qt.Assert(t, reason, qt.Equals, budget.None)
				conns = append(conns, c)
				if p.state == budget.Waiting {
					continue
				}
				_, reason = b.Receive(c, 600, 0, p.progress)
				qt.Assert(t, reason, qt.Equals, budget.None)
				if p.state != budget.InHead {
					b.HeadRead(c, true, p.progress)
					_, reason = b.Hold(c, p.bytes, p.progress)
					qt.Assert(t, reason, qt.Equals, budget.None)
				}
				if p.state == budget.Answering {
					b.BodyRead(c, p.progress)
				}
			}
			v := b.Victim(nil, 5*time.Second)
			qt.Assert(t, slices.Index(conns, v), qt.Equals, test.want)
		})
	}
}

// TestExpired guards against requests that stay half-read, also if single bytes arrive.
func TestExpired(t *testing.T) {
	for name, test := range map[string]struct {
		body     bool
		interval time.Duration
		bytes    int64
		until    time.Duration
		want     budget.Reason
	}{
		"head in time":        {false, time.Second, 100, 4 * time.Second, budget.None},
		"slow head":           {false, time.Second, 100, 5 * time.Second, budget.HeadTime},
		"steady body":         {true, time.Second, 600, 20 * time.Second, budget.None},
		"body with no end":    {true, time.Second, 600, 31 * time.Second, budget.BodyTime},
		"body in single byte": {true, time.Second, 1, 7 * time.Second, budget.Stall},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget.New(limits)
			c, _, _ := b.Open(0)
			_, reason := b.Receive(c, 1, 0, 0)
			qt.Assert(t, reason, qt.Equals, budget.None)
			if test.body {
				b.HeadRead(c, true, 0)
			}
			got := budget.None
			for now := time.Duration(0); now <= test.until && got == budget.None; now += test.interval {
				_, reason := b.Receive(c, test.bytes, 0, now)
				qt.Assert(t, reason, qt.Equals, budget.None)
				for _, e := range b.Expired(now) {
					got = e.Reason
				}
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// TestLines guards against heads of many short fields, which take more memory than their bytes, also if they are read together with the
// request before them, and against a single head of the largest size that is refused in calm.
func TestLines(t *testing.T) {
	const fields = 4096
	t.Run("single", func(t *testing.T) {
		own := limits
		own.Memory = 2 << 20
		b := budget.New(own)
		c, _, _ := b.Open(0)
		_, reason := b.Receive(c, limits.Head, fields, 0)
		qt.Assert(t, reason, qt.Equals, budget.None)
		qt.Assert(t, c.Held() > fields*200, qt.IsTrue)
	})
	t.Run("many", func(t *testing.T) {
		b := budget.New(limits)
		reason := budget.None
		for range limits.Connections {
			c, _, opened := b.Open(0)
			qt.Assert(t, opened, qt.Equals, budget.None)
			if _, reason = b.Receive(c, 4000, 1000, 0); reason != budget.None {
				break
			}
		}
		qt.Assert(t, reason, qt.Equals, budget.Memory)
	})
	t.Run("read ahead", func(t *testing.T) {
		b := budget.New(limits)
		c, _, _ := b.Open(0)
		empty := c.Held()
		_, reason := b.Receive(c, 4000, 100, 0)
		qt.Assert(t, reason, qt.Equals, budget.None)
		whole := c.Held()
		b.HeadRead(c, false, 0)
		b.Answered(c)
		qt.Assert(t, c.Held(), qt.Equals, empty)
		_, reason = b.Wait(c, 0)
		qt.Assert(t, reason, qt.Equals, budget.None)
		qt.Assert(t, c.Held(), qt.Equals, whole)
	})
}

// TestSmallRequestsHaveRoom guards against small requests that are refused because large bodies that all make progress hold the memory.
func TestSmallRequestsHaveRoom(t *testing.T) {
	b := budget.New(limits)
	refused := 0
	for range 8 {
		c, _, reason := b.Open(0)
		qt.Assert(t, reason, qt.Equals, budget.None)
		b.HeadRead(c, true, 0)
		for range 10 {
			if _, reason := b.Hold(c, 6000, 0); reason != budget.None {
				refused++
				b.Close(c)
				break
			}
		}
	}
	qt.Assert(t, refused > 0, qt.IsTrue)
	c, _, reason := b.Open(0)
	qt.Assert(t, reason, qt.Equals, budget.None)
	_, reason = b.Receive(c, 1000, 0, 0)
	qt.Assert(t, reason, qt.Equals, budget.None)
	b.HeadRead(c, true, 0)
	_, reason = b.Hold(c, 4000, 0)
	qt.Assert(t, reason, qt.Equals, budget.None)
}

// TestSingleChunks guards against small chunks that a single client may send in calm, and against overhead without end.
func TestSingleChunks(t *testing.T) {
	b := budget.New(limits)
	c, _, _ := b.Open(0)
	b.HeadRead(c, true, 0)
	for range limits.Body / 1024 {
		_, reason := b.Receive(c, 6*1024, 0, 0)
		qt.Assert(t, reason, qt.Equals, budget.None)
		_, reason = b.Hold(c, 1024, 0)
		qt.Assert(t, reason, qt.Equals, budget.None)
	}
	reason := budget.None
	for range 1000 {
		if _, reason = b.Receive(c, 4096, 0, 0); reason != budget.None {
			break
		}
	}
	qt.Assert(t, reason, qt.Equals, budget.Chunks)
}
