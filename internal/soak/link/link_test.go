package link_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/soak/link"
)

// answerTimeout is how long a test waits for an echo that may be lost.
const answerTimeout = 500 * time.Millisecond

// echoServer sends back what it receives.
func echoServer(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// echo sends a byte over a connection and returns how long its echo took.
func echo(conn net.Conn) (time.Duration, error) {
	begun := time.Now()
	if _, err := conn.Write([]byte{1}); err != nil {
		return 0, err
	}
	if err := conn.SetReadDeadline(begun.Add(answerTimeout)); err != nil {
		return 0, err
	}
	_, err := conn.Read(make([]byte, 1))
	return time.Since(begun), err
}

func TestDisturb(t *testing.T) {
	for name, test := range map[string]struct {
		mode link.Mode
		// open, fresh and after are the errors of a connection opened before, one opened during, and the first one after the disturbance.
		open, fresh, after error
	}{
		"pass":     {link.Pass, nil, nil, nil},
		"reset":    {link.Reset, syscall.ECONNRESET, nil, syscall.ECONNRESET},
		"cut":      {link.Cut, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded, syscall.ECONNRESET},
		"cut to":   {link.CutTo, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded, syscall.ECONNRESET},
		"cut from": {link.CutFrom, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded, syscall.ECONNRESET},
		"silent":   {link.Silent, os.ErrDeadlineExceeded, nil, os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := link.Listen("127.0.0.1:0", echoServer(c))
			c.Assert(err, qt.IsNil)
			dial := func() net.Conn {
				conn, err := net.Dial("tcp", l.Address())
				c.Assert(err, qt.IsNil)
				c.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			check := func(conn net.Conn, want error) {
				_, err := echo(conn)
				if errors.Is(err, syscall.EPIPE) {
					// The write after a reset fails in another way than the read.
					err = syscall.ECONNRESET
				}
				c.Assert(errors.Is(err, want), qt.IsTrue, qt.Commentf("error %v, want %v", err, want))
			}
			open := dial()
			check(open, nil)
			l.Disturb(test.mode)
			check(open, test.open)
			check(dial(), test.fresh)
			l.Restore()
			time.Sleep(10 * time.Millisecond)
			check(open, test.after)
			check(dial(), nil)
		})
	}
}

func TestDelay(t *testing.T) {
	c := qt.New(t)
	l, err := link.Listen("127.0.0.1:0", echoServer(c))
	c.Assert(err, qt.IsNil)
	conn, err := net.Dial("tcp", l.Address())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	l.Disturb(link.Delayed)
	took, err := echo(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(took >= 2*link.Delay, qt.IsTrue, qt.Commentf("the echo took %s", took))
}

func TestEndIsLost(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	l, err := link.Listen("127.0.0.1:0", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	conn, err := net.Dial("tcp", l.Address())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	server, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	// A byte that arrives shows that the link knows the connection.
	_, err = conn.Write([]byte{1})
	c.Assert(err, qt.IsNil)
	_, err = server.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	l.Disturb(link.Silent)
	c.Assert(server.Close(), qt.IsNil)
	_, err = echo(conn)
	c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// TestUnread guards against requests that count as read though the target closed the connection before.
func TestUnread(t *testing.T) {
	const read, notRead, crosses = "read", "not read", "crosses the close"
	for name, want := range map[string]error{read: io.EOF, notRead: syscall.ECONNRESET, crosses: syscall.ECONNRESET} {
		for _, direct := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " direct ", direct), func(t *testing.T) {
				c := qt.New(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				defer listener.Close()
				address := listener.Addr().String()
				if !direct {
					l, err := link.Listen("127.0.0.1:0", address)
					c.Assert(err, qt.IsNil)
					address = l.Address()
				}
				client, err := link.Dial(t.Context(), "tcp", address)
				c.Assert(err, qt.IsNil)
				defer client.Close()
				server, err := listener.Accept()
				c.Assert(err, qt.IsNil)
				if name == crosses {
					c.Assert(server.Close(), qt.IsNil)
				}
				_, err = client.Write([]byte("request"))
				c.Assert(err, qt.IsNil)
				if name == read {
					_, err = server.Read(make([]byte, 16))
					c.Assert(err, qt.IsNil)
				}
				// The request arrives.
				time.Sleep(20 * time.Millisecond)
				if name != crosses {
					c.Assert(server.Close(), qt.IsNil)
				}
				_, err = client.Read(make([]byte, 1))
				c.Assert(err, qt.ErrorIs, want)
			})
		}
	}
}
