package delegate

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// maxConcurrent limits the commands in progress if the options do not. A leader has one renewal and a few commands in progress for each
	// worker.
	maxConcurrent = 2048
	// maxMessageBytes limits the messages of the commands in progress if the options do not.
	maxMessageBytes = 16 << 20
	// commandCost is what a command holds for each byte of its message: it is decoded, encoded for the worker, and buffered.
	commandCost = 3
	// maxResponses limits the responses of a connection that wait to be written.
	maxResponses = 64
)

// maxTimeout limits the timeout that a request may ask for. The longest command is a renewal that waits for an exit.
const maxTimeout = 5 * time.Second

// ServerOptions are the options of a server.
type ServerOptions struct {
	// Commander calls the workers.
	Commander worker.Commander
	Clock     *store.Clock
	Logger    hclog.Logger
	// MaxCommands limits the commands of all connections that are in progress. Each takes a connection to a worker. 0 stands for 2,048.
	MaxCommands int64
	// MaxBytes limits the memory of the commands in progress. 0 stands for 16 MB.
	MaxBytes int64
}

// Server carries the commands of leaders to workers. It is safe for concurrent use.
type Server struct {
	options ServerOptions
	logger  hclog.Logger
	// commands and bytes are what the commands in progress may take. While one is used up, no connection is read.
	commands *semaphore.Weighted
	bytes    *semaphore.Weighted
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	done   sync.WaitGroup
}

// NewServer returns a server without connections.
func NewServer(o ServerOptions) *Server {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.MaxCommands = cmp.Or(o.MaxCommands, maxConcurrent)
	o.MaxBytes = cmp.Or(o.MaxBytes, maxMessageBytes)
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		options: o, logger: o.Logger.Named("delegate"), ctx: ctx, cancel: cancel, conns: make(map[net.Conn]bool),
		commands: semaphore.NewWeighted(o.MaxCommands), bytes: semaphore.NewWeighted(o.MaxBytes),
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.add(conn) {
			return nil
		}
	}
}

// add serves a connection in the background. It returns false if the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		closeConn(conn, s.logger)
		return false
	}
	s.conns[conn] = true
	s.done.Go(func() { s.serveConn(conn) })
	return true
}

// Close closes all connections. Commands in progress are given up: their leader counts them as unknown, and a stop must not wait for
// a renewal that waits for an exit.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		closeConn(conn, s.logger)
	}
	s.mu.Unlock()
	s.done.Wait()
}

// closeConn closes a connection, which may be closed already.
func closeConn(conn net.Conn, logger hclog.Logger) {
	if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		logger.Debug("Connection was not closed.", "peer", conn.RemoteAddr(), "error", err)
	}
}

// messageReader is a connection that limits the size of each request.
type messageReader interface{ MessageRead() }

// serveConn carries out the requests of a connection. A malformed request ends the connection only.
func (s *Server) serveConn(conn net.Conn) {
	defer func() {
		closeConn(conn, s.logger)
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	s.logger.Info("Commands are carried for a leader.", "peer", conn.RemoteAddr())
	responses := make(chan response, maxResponses)
	var writer, commands sync.WaitGroup
	writer.Go(func() { writeAll(conn, responses, s.logger) })
	decoder := cbor.NewDecoder(bufio.NewReaderSize(conn, bufferSize))
	for read := 0; ; read = decoder.NumBytesRead() {
		var r request
		if err := decoder.Decode(&r); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
				err = nil
			}
			s.logger.Info("Connection of a leader has ended.", "peer", conn.RemoteAddr(), "error", err)
			break
		}
		release, err := s.reserve(int64(decoder.NumBytesRead() - read))
		if err != nil {
			break
		}
		// Until here the message counts against what the connection may hold.
		if own, ok := conn.(messageReader); ok {
			own.MessageRead()
		}
		commands.Go(func() {
			defer release()
			responses <- s.carry(r)
		})
	}
	commands.Wait()
	close(responses)
	writer.Wait()
}

// reserve waits until a command whose message has a size may be carried out. It fails when the server is closed.
func (s *Server) reserve(size int64) (release func(), err error) {
	if err := s.commands.Acquire(s.ctx, 1); err != nil {
		return nil, err
	}
	held := min(size*commandCost, s.options.MaxBytes)
	if err := s.bytes.Acquire(s.ctx, held); err != nil {
		s.commands.Release(1)
		return nil, err
	}
	return func() {
		s.bytes.Release(held)
		s.commands.Release(1)
	}, nil
}

// writeAll encodes values to a connection until the channel is closed. Values that are queued within flushInterval after a write are
// written together.
func writeAll[T any](conn net.Conn, values <-chan T, logger hclog.Logger) {
	buffer := bufio.NewWriterSize(conn, bufferSize)
	encoder := cbor.NewEncoder(buffer)
	failed := false
	var flushed time.Duration
	for v := range values {
		if failed {
			continue
		}
		err := encoder.Encode(v)
		if err == nil && len(values) == 0 {
			time.Sleep(flushed + flushInterval - clock.Now())
		}
		if err == nil && len(values) == 0 {
			err = buffer.Flush()
			flushed = clock.Now()
		}
		if err != nil {
			failed = true
			logger.Info("Connection of commands has failed.", "peer", conn.RemoteAddr(), "error", err)
			closeConn(conn, logger)
		}
	}
}

// carry sends a command to its worker, unless its deadline has passed.
func (s *Server) carry(r request) (result response) {
	result = response{Seq: r.Seq, Status: worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}}
	defer func() {
		if p := recover(); p != nil {
			s.logger.Error("Command has caused a panic.", "worker", r.Target.ID, "panic", p)
			result = response{Seq: r.Seq, Status: worker.Status{Reply: worker.Reply{Outcome: worker.Unknown}}, Error: "the delegate has failed"}
		}
	}()
	if now, known := s.options.Clock.Now(); known && r.Deadline > 0 && now > r.Deadline+clockTolerance {
		s.logger.Warn("Command is dropped because its deadline has passed.", "worker", r.Target.ID, "late", now-r.Deadline)
		result.Error = "the deadline has passed"
		return result
	}
	ctx, cancel := context.WithTimeout(s.ctx, min(r.Timeout, maxTimeout))
	defer cancel()
	var err error
	switch {
	case r.Kind == kindStart && r.Start != nil:
		result.Status.Reply, err = s.options.Commander.Start(ctx, r.Target, *r.Start)
	case r.Kind == kindStop && r.Run != nil:
		result.Status.Reply, err = s.options.Commander.Stop(ctx, r.Target, *r.Run)
	case r.Kind == kindThrottle && r.Run != nil:
		result.Status.Reply, err = s.options.Commander.Throttle(ctx, r.Target, *r.Run)
	case r.Kind == kindRenew && r.Renew != nil:
		result.Status, err = s.options.Commander.Renew(ctx, r.Target, *r.Renew)
	default:
		result.Error = "the request holds no command"
	}
	if err != nil {
		result.Error = err.Error()
	}
	if result.Status.Outcome == worker.NotSent {
		result.Status.Outcome, result.NotSent = worker.Unknown, true
	}
	return result
}
