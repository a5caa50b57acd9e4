package delegate

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// commander plays the workers and counts the commands for each.
type commander struct {
	mu       sync.Mutex
	received map[string]int
	// start replaces the reply to start commands.
	start func() (worker.Reply, error)
}

func newCommander() *commander { return &commander{received: make(map[string]int)} }

func (c *commander) count(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received[id]++
}

func (c *commander) total() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range c.received {
		n += count
	}
	return n
}

func (c *commander) Start(_ context.Context, to worker.Target, command worker.StartCommand) (worker.Reply, error) {
	c.count(to.ID)
	if c.start != nil {
		return c.start()
	}
	return worker.Reply{Clock: command.LeaseExpiry, Incarnation: int64(command.Run)}, nil
}

func (c *commander) Stop(_ context.Context, to worker.Target, _ worker.RunCommand) (worker.Reply, error) {
	c.count(to.ID)
	return worker.Reply{Outcome: worker.Fenced}, fmt.Errorf("a higher token")
}

func (c *commander) Throttle(_ context.Context, to worker.Target, command worker.RunCommand) (worker.Reply, error) {
	c.count(to.ID)
	return worker.Reply{Clock: time.Duration(command.SpeedPercent)}, nil
}

func (c *commander) Renew(_ context.Context, to worker.Target, command worker.RenewCommand) (worker.Status, error) {
	c.count(to.ID)
	return worker.Status{
		Reply:   worker.Reply{Clock: command.LeaseExpiry},
		Running: []worker.Run{{Task: work.Task{Job: "a", Index: 3}, Number: 2, SpeedPercent: 100, Load: 7}},
		Exited:  []worker.Exit{{Seq: command.AcknowledgedSeq + 1, Task: work.Task{Job: "b", Step: 1}, Number: 1, Reason: worker.ExitFailed, Checkpoint: "c"}},
	}, nil
}

// rig is a sender with one delegate.
type rig struct {
	sender        *Sender
	direct, other *commander
	server        *Server
	listener      net.Listener
	clock         *store.Clock
}

// newRig has a sender that knows more than minWorkers workers.
func newRig(t *testing.T) *rig {
	r := &rig{direct: newCommander(), other: newCommander(), clock: &store.Clock{}}
	r.clock.Update(clock.Now())
	r.server = NewServer(ServerOptions{Commander: r.other, Clock: r.clock})
	var err error
	r.listener, err = net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = r.server.Serve(r.listener) }()
	t.Cleanup(func() {
		r.sender.Close()
		_ = r.listener.Close()
		r.server.Close()
	})
	nodes := []Node{
		{Name: "n", Address: r.listener.Addr().String(), DataCentre: "d", Cores: 0.8},
		{Name: "small", Address: "127.0.0.1:1", DataCentre: "d", Cores: 0.2},
	}
	r.sender = NewSender(SenderOptions{Direct: r.direct, Nodes: func() []Node { return nodes }, Cores: 0.8, Clock: r.clock})
	return r
}

// connect sends commands to many workers until the delegate carries them.
func (r *rig) connect(t *testing.T) {
	for range 100 {
		for i := range 2 * minWorkers {
			r.startOn(t, fmt.Sprint("w", i))
		}
		if r.other.total() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the delegate carries no commands")
}

func (r *rig) startOn(t *testing.T, id string) (worker.Reply, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	return r.sender.Start(ctx, worker.Target{Life: worker.Life{ID: id}, DataCentre: "d"}, worker.StartCommand{Task: work.Task{Job: "j"}, Run: 5, LeaseExpiry: time.Second})
}

// TestCommands guards against commands or replies that lose a part on the way through a delegate.
func TestCommands(t *testing.T) {
	r := newRig(t)
	r.connect(t)
	before := r.direct.total()
	reply, err := r.startOn(t, "w1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply, qt.Equals, worker.Reply{Clock: time.Second, Incarnation: 5})
	target := worker.Target{Life: worker.Life{ID: "w1"}, DataCentre: "d"}
	reply, err = r.sender.Stop(t.Context(), target, worker.RunCommand{})
	qt.Assert(t, reply.Outcome, qt.Equals, worker.Fenced)
	qt.Assert(t, err, qt.ErrorMatches, "through node n: a higher token")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	reply, err = r.sender.Throttle(ctx, target, worker.RunCommand{SpeedPercent: 25})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Clock, qt.Equals, time.Duration(25))
	command := worker.RenewCommand{LeaseExpiry: time.Minute, AcknowledgedSeq: 8}
	status, err := r.sender.Renew(ctx, target, command)
	qt.Assert(t, err, qt.IsNil)
	want, _ := newCommander().Renew(ctx, target, command)
	qt.Assert(t, status, qt.DeepEquals, want)
	qt.Assert(t, r.direct.total(), qt.Equals, before)
}

// TestDirect guards against a detour for the commands of a small fleet, and for workers in a data centre without a delegate.
func TestDirect(t *testing.T) {
	r := newRig(t)
	for range 20 {
		_, err := r.startOn(t, "w1")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	r.connect(t)
	before := r.other.total()
	_, err := r.sender.Start(t.Context(), worker.Target{Life: worker.Life{ID: "w1"}, DataCentre: "far"}, worker.StartCommand{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.other.total(), qt.Equals, before)
}

// TestLostDelegate guards against commands that fail for long after a delegate has ended, and against an outcome that says that a
// command was not carried out although it may have been.
func TestLostDelegate(t *testing.T) {
	r := newRig(t)
	r.connect(t)
	carried := make(chan struct{})
	r.other.start = func() (worker.Reply, error) {
		close(carried)
		time.Sleep(100 * time.Millisecond)
		return worker.Reply{}, nil
	}
	go func() {
		<-carried
		_ = r.listener.Close()
		r.server.Close()
	}()
	reply, err := r.startOn(t, "w1")
	qt.Assert(t, reply.Outcome, qt.Equals, worker.Unknown)
	qt.Assert(t, err, qt.ErrorIs, errLinkLost)
	for i := range 5 {
		before := r.direct.total()
		reply, err = r.startOn(t, fmt.Sprint("w", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Outcome, qt.Equals, worker.Accepted)
		qt.Assert(t, r.direct.total(), qt.Equals, before+1)
	}
}

// TestSilentDelegate guards against a delegate that takes commands and never responds, as after its instance has frozen or the
// connection has become silent. Its workers would not be reached any more.
func TestSilentDelegate(t *testing.T) {
	r := newRig(t)
	r.connect(t)
	blocked := make(chan struct{})
	t.Cleanup(func() { close(blocked) })
	r.other.start = func() (worker.Reply, error) { <-blocked; return worker.Reply{}, nil }
	// The first call that times out makes the connection suspect, and the next one drops it.
	for i := range 2 {
		reply, err := r.startOn(t, fmt.Sprint("w", i))
		qt.Assert(t, reply.Outcome, qt.Equals, worker.Unknown)
		qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	}
	// All workers of the delegate are called directly, not only those whose calls have timed out.
	for i := range 5 {
		reply, err := r.startOn(t, fmt.Sprint("w", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Outcome, qt.Equals, worker.Accepted)
	}
}

// TestFirstConnection guards against a new leader that calls all workers itself while its connections to delegates are being made.
func TestFirstConnection(t *testing.T) {
	r := newRig(t)
	for i := range 2 * minWorkers {
		_, err := r.startOn(t, fmt.Sprint("w", i))
		qt.Assert(t, err, qt.IsNil)
	}
	// The fleet counts as large from minWorkers on.
	qt.Assert(t, r.direct.total(), qt.Equals, minWorkers-1)
	qt.Assert(t, r.other.total(), qt.Equals, minWorkers+1)
}

// TestSlowLeader guards against a leader that is overloaded, reads responses too late, and then calls workers itself, which loads it
// more, and against a worker that is called through a delegate that does not reach it.
func TestSlowLeader(t *testing.T) {
	r := newRig(t)
	r.connect(t)
	r.other.start = func() (worker.Reply, error) { time.Sleep(50 * time.Millisecond); return worker.Reply{}, nil }
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	target := worker.Target{Life: worker.Life{ID: "w1"}, DataCentre: "d"}
	reply, err := r.sender.Start(ctx, target, worker.StartCommand{})
	qt.Assert(t, reply.Outcome, qt.Equals, worker.Unknown)
	qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
	before := r.direct.total()
	_, err = r.startOn(t, "w1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.direct.total(), qt.Equals, before)
	r.other.start = func() (worker.Reply, error) {
		return worker.Reply{Outcome: worker.Unknown}, fmt.Errorf("no route")
	}
	_, err = r.startOn(t, "w1")
	qt.Assert(t, err, qt.ErrorIs, errWorkerSilent)
	_, err = r.startOn(t, "w1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.direct.total(), qt.Equals, before+1)
}

// TestClose guards against a stop that waits for the renewals of a leader, and so exceeds the grace period of the process.
func TestClose(t *testing.T) {
	r := newRig(t)
	r.connect(t)
	started := make(chan struct{})
	r.other.start = func() (worker.Reply, error) {
		close(started)
		<-r.server.ctx.Done()
		return worker.Reply{Outcome: worker.Unknown}, context.Canceled
	}
	go func() { _, _ = r.startOn(t, "w1") }()
	<-started
	closed := make(chan struct{})
	go func() {
		r.server.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the server does not stop")
	}
}

// TestDeadline guards against a delegate that was suspended and carries out commands of the time before.
func TestDeadline(t *testing.T) {
	c := newCommander()
	clk := &store.Clock{}
	clk.Update(clock.Now())
	s := NewServer(ServerOptions{Commander: c, Clock: clk})
	now, _ := clk.Now()
	tests := map[string]struct {
		deadline time.Duration
		carried  int
	}{
		"passed":  {now - 2*clockTolerance, 0},
		"left":    {now + time.Second, 1},
		"unknown": {0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := c.total()
			r := s.carry(request{Kind: kindStart, Target: worker.Target{Life: worker.Life{ID: "w"}}, Timeout: time.Second, Deadline: test.deadline, Start: &worker.StartCommand{}})
			qt.Assert(t, c.total()-before, qt.Equals, test.carried)
			qt.Assert(t, r.Status.Outcome == worker.Accepted, qt.Equals, test.carried == 1)
		})
	}
}

// TestCommandLimits guards against commands in progress without a bound, of which each holds its message and a connection to a worker, and
// against commands that are lost because they have to wait.
func TestCommandLimits(t *testing.T) {
	const connections, requests, message = 4, 20, 3000
	tests := map[string]struct {
		commands, bytes int64
		most            int32
	}{
		"number": {3, 0, 3},
		"bytes":  {0, 2*message*commandCost + message, 2},
		"larger": {0, message, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var running, peak, carried atomic.Int32
			c := newCommander()
			c.start = func() (worker.Reply, error) {
				n := running.Add(1)
				defer running.Add(-1)
				for p := peak.Load(); n > p && !peak.CompareAndSwap(p, n); p = peak.Load() {
					continue
				}
				time.Sleep(2 * time.Millisecond)
				carried.Add(1)
				return worker.Reply{}, nil
			}
			s := NewServer(ServerOptions{Commander: c, Clock: &store.Clock{}, MaxCommands: test.commands, MaxBytes: test.bytes})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			go func() { _ = s.Serve(listener) }()
			defer s.Close()
			defer listener.Close()
			var clients sync.WaitGroup
			for range connections {
				clients.Go(func() {
					conn, err := net.Dial("tcp", listener.Addr().String())
					qt.Check(t, err, qt.IsNil)
					defer conn.Close()
					encoder, decoder := cbor.NewEncoder(conn), cbor.NewDecoder(conn)
					for i := range requests {
						qt.Check(t, encoder.Encode(request{Seq: uint64(i), Timeout: time.Second, Start: &worker.StartCommand{Spec: strings.Repeat("x", message)}}), qt.IsNil)
					}
					for range requests {
						var r response
						qt.Check(t, decoder.Decode(&r), qt.IsNil)
						qt.Check(t, r.Error, qt.Equals, "")
					}
				})
			}
			clients.Wait()
			qt.Assert(t, carried.Load(), qt.Equals, int32(connections*requests))
			qt.Assert(t, peak.Load() <= test.most, qt.IsTrue, qt.Commentf("%d at once", peak.Load()))
		})
	}
}

// TestMalformedRequests guards against a process that ends because of one malformed message, or of a command that panics.
func TestMalformedRequests(t *testing.T) {
	r := newRig(t)
	r.connect(t)
	var valid strings.Builder
	qt.Assert(t, cbor.NewEncoder(&valid).Encode(request{Kind: kindStart, Seq: 1}), qt.IsNil)
	for name, data := range map[string]string{
		"text": "GET / HTTP/1.1\r\n\r\n", "cut": valid.String()[:len(valid.String())-1], "no command": valid.String(), "long": "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
		"other kind": "\xa1\x02\x18\x63", "wrong type": "\xa1\x01\x61a",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", r.listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			_, err = conn.Write([]byte(data))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.Close(), qt.IsNil)
		})
	}
	r.other.start = func() (worker.Reply, error) { panic("no worker") }
	reply, err := r.startOn(t, "w1")
	qt.Assert(t, reply.Outcome, qt.Equals, worker.Unknown)
	qt.Assert(t, err, qt.IsNotNil)
	r.other.start = nil
	reply, err = r.startOn(t, "w2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Outcome, qt.Equals, worker.Accepted)
}

// FuzzRequest guards against a malformed request that panics the decoder or the server.
func FuzzRequest(f *testing.F) {
	data, err := cbor.Marshal(request{Kind: kindRenew, Seq: 1, Renew: &worker.RenewCommand{Fence: 3}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	s := NewServer(ServerOptions{Commander: newCommander(), Clock: &store.Clock{}})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r request
		if cbor.Unmarshal(data, &r) == nil {
			r.Timeout = time.Millisecond
			s.carry(r)
		}
	})
}

// TestUnsentCommand guards against a command that counts as possibly carried out although its delegate did not reach the worker.
func TestUnsentCommand(t *testing.T) {
	r := newRig(t)
	r.connect(t)
	r.other.start = func() (worker.Reply, error) {
		return worker.Reply{Outcome: worker.NotSent}, fmt.Errorf("connection refused")
	}
	reply, err := r.startOn(t, "w1")
	qt.Assert(t, reply.Outcome, qt.Equals, worker.NotSent)
	qt.Assert(t, err, qt.ErrorMatches, ".*connection refused")
	before := r.direct.total()
	_, err = r.startOn(t, "w1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.direct.total(), qt.Equals, before+1, qt.Commentf("the leader may reach the worker"))
}

// TestUnsentCommandMixedBuilds guards against an outcome that a leader of a build without [worker.NotSent] cannot read.
func TestUnsentCommandMixedBuilds(t *testing.T) {
	c := newCommander()
	c.start = func() (worker.Reply, error) {
		return worker.Reply{Outcome: worker.NotSent}, fmt.Errorf("connection refused")
	}
	s := NewServer(ServerOptions{Commander: c, Clock: &store.Clock{}})
	data, err := cbor.Marshal(s.carry(request{Kind: kindStart, Timeout: time.Second, Start: &worker.StartCommand{}}))
	qt.Assert(t, err, qt.IsNil)
	var got struct {
		Status worker.Status `cbor:"2,keyasint"`
		Error  string        `cbor:"3,keyasint,omitempty"`
	}
	qt.Assert(t, cbor.Unmarshal(data, &got), qt.IsNil)
	qt.Assert(t, got.Status.Outcome, qt.Equals, worker.Unknown)
	qt.Assert(t, got.Error, qt.Equals, "connection refused")
}
