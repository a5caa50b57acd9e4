// Package delegate lets other nodes carry the leader's commands to workers. The leader decides and encodes each command once; the
// connections to workers, the HTTP requests and the waiting for their replies are spread over nodes with a comparable processor
// share. So the processor time that the leader spends on a task does not contain the calls for it.
//
// A delegate decides nothing and holds no permission of its own. Every command carries the fencing token of the leader and a lease
// expiry on the clock of the worker, as if the leader had sent it itself. A delegate that is suspended or slow can therefore do
// nothing that a delayed packet of the leader could not do. It also drops commands whose deadline has passed.
//
// # Usage
//
//	server := delegate.NewServer(delegate.ServerOptions{Commander: workers, Clock: clock})
//	go server.Serve(listener)
//
//	sender := delegate.NewSender(delegate.SenderOptions{Direct: workers, Nodes: nodes, Clock: clock})
//	reply, err := sender.Start(ctx, target, command)
package delegate

import (
	"time"

	"github.com/chivetiller/chivetiller/worker"
)

// kind is the kind of a command.
type kind int

const (
	kindStart kind = iota
	kindStop
	kindThrottle
	kindRenew
)

// request is a command for a worker. Both directions of a connection are sequences of CBOR values.
type request struct {
	// Seq identifies the request on its connection.
	Seq    uint64        `cbor:"1,keyasint"`
	Kind   kind          `cbor:"2,keyasint"`
	Target worker.Target `cbor:"3,keyasint"`
	// Timeout limits the call to the worker.
	Timeout time.Duration `cbor:"4,keyasint"`
	// Deadline is the time after which the command must not be sent any more, on the clock of the store. It is 0 if the leader
	// does not know that clock.
	Deadline time.Duration        `cbor:"5,keyasint,omitempty"`
	Start    *worker.StartCommand `cbor:"6,keyasint,omitempty"`
	Run      *worker.RunCommand   `cbor:"7,keyasint,omitempty"`
	Renew    *worker.RenewCommand `cbor:"8,keyasint,omitempty"`
}

// response is the outcome of a request.
type response struct {
	Seq    uint64        `cbor:"1,keyasint"`
	Status worker.Status `cbor:"2,keyasint"`
	Error  string        `cbor:"3,keyasint,omitempty"`
	// NotSent stands for the outcome worker.NotSent. Status says worker.Unknown then, which leaders of all builds can read.
	NotSent bool `cbor:"4,keyasint,omitempty"`
}

// clockTolerance is added to deadlines on the clock of the store. Nodes estimate it from replies, which a slow store delays by up
// to half a second.
const clockTolerance = 500 * time.Millisecond

// flushInterval is the minimum time between two writes to a connection. Under load, the commands or responses of that time leave
// with one system call.
const flushInterval = 5 * time.Millisecond

// bufferSize is the size of the buffer of a connection in each direction, in bytes. It holds the commands for about 30 tasks, which
// then leave with one system call.
const bufferSize = 64 << 10
