package listener_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/clients/budget"
	"github.com/chivetiller/chivetiller/internal/clients/listener"
)

var limits = budget.Limits{
	Memory: 1 << 20, Connections: 8, HalfRead: 6, Head: 16384, Body: 65536,
	HeadTime: 500 * time.Millisecond, BodyTime: 3 * time.Second, StallTime: 500 * time.Millisecond,
}

// serve starts an HTTP server that answers the size of each body.
func serve(t testing.TB, l budget.Limits) (*listener.Listener, string) {
	t.Helper()
	own, err := listener.Listen("127.0.0.1:0", listener.Options{Name: "front", Limits: func() budget.Limits { return l }, ReceiveBuffer: 32 << 10})
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{
		ReadHeaderTimeout: 5 * time.Second, ConnContext: own.ConnContext, ConnState: listener.ConnState, MaxHeaderBytes: listener.MaxHeaderBytes,
		Handler: own.Handler(sizeHandler(l.Body)),
	}
	go func() { _ = server.Serve(own) }()
	t.Cleanup(func() { _ = server.Close() })
	return own, own.Addr().String()
}

func sizeHandler(limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		var tooLarge *http.MaxBytesError
		switch {
		case listener.WriteRefusal(w, err):
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			fmt.Fprint(w, len(data))
		}
	})
}

// TestAnswers guards against clients outside the limits that get no true answer, and against clients inside that get none.
func TestAnswers(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, test := range map[string]struct {
		sent   string
		status int
		reason budget.Reason
	}{
		"whole":           {head + "Content-Length: 5\r\n\r\nabcde", http.StatusOK, budget.None},
		"chunked":         {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n", http.StatusOK, budget.None},
		"head too large":  {head + "X: " + strings.Repeat("x", 30000), http.StatusRequestHeaderFieldsTooLarge, budget.HeadSize},
		"slow head":       {head, http.StatusRequestTimeout, budget.HeadTime},
		"body stops":      {head + "Content-Length: 5\r\n\r\nabcd", http.StatusRequestTimeout, budget.Stall},
		"chunk stops":     {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n", http.StatusRequestTimeout, budget.Stall},
		"body too large":  {head + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), http.StatusRequestEntityTooLarge, budget.None},
		"body of a limit": {head + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536), http.StatusOK, budget.None},
	} {
		t.Run(name, func(t *testing.T) {
			l, address := serve(t, limits)
			conn, err := net.Dial("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, test.sent)
			qt.Assert(t, err, qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, test.status)
			if test.reason != budget.None {
				qt.Assert(t, l.Stats().Refusals[test.reason], qt.Equals, uint64(1))
			}
		})
	}
}

// TestRoom guards against an ordinary client that finds no room beside a crowd of half-read requests, and against room that is not free
// again afterwards.
func TestRoom(t *testing.T) {
	own := limits
	own.HeadTime, own.StallTime, own.BodyTime = time.Minute, time.Minute, time.Minute
	l, address := serve(t, own)
	var crowd []net.Conn
	for range 3 * own.Connections {
		conn, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 50000))
		crowd = append(crowd, conn)
	}
	time.Sleep(300 * time.Millisecond)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 4 {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader("abc"))
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.Body.Close(), qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "3")
	}
	stats := l.Stats()
	qt.Assert(t, stats.Connections <= own.Connections, qt.IsTrue)
	qt.Assert(t, stats.Held <= own.Memory, qt.IsTrue)
	qt.Assert(t, len(stats.Refusals) > 0, qt.IsTrue)
	for _, c := range crowd {
		_ = c.Close()
	}
	for range 100 {
		if stats = l.Stats(); stats.Connections == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, stats.Connections, qt.Equals, 0)
	qt.Assert(t, stats.Held, qt.Equals, int64(0))
}

// TestKeepAlive guards against requests of one connection that add up, and against pipelined requests that are refused.
func TestKeepAlive(t *testing.T) {
	l, address := serve(t, limits)
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000)
	const requests = 30
	go func() {
		for range requests {
			_, _ = io.WriteString(conn, request)
		}
	}()
	reader := bufio.NewReader(conn)
	for range requests {
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "60000")
	}
	qt.Assert(t, len(l.Stats().Refusals), qt.Equals, 0)
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conns chan net.Conn
	done  chan struct{}
}

func (o *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-o.conns:
		return c, nil
	case <-o.done:
		return nil, net.ErrClosed
	}
}
func (o *oneConn) Close() error   { close(o.done); return nil }
func (o *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzRequests guards against bytes before admission that make the server panic, that leave something held, or that get a request answered
// although the server of the standard library alone refuses it, and the other way round.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\nT: 1\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 99999\r\nHost: h\r\n\r\nabc",
	} {
		f.Add([]byte(seed), 7)
	}
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		if len(sent) > 64<<10 || size < 1 {
			return
		}
		plain := exchange(t, sent, len(sent), false)
		counted := exchange(t, sent, size, true)
		// A head between the limit of the budget and that of the server of the standard library is answered otherwise.
		if len(sent) <= int(limits.Head) && !bytes.Equal(plain, counted) {
			t.Fatalf("answered %q, and without a budget %q", counted, plain)
		}
	})
}

// exchange sends bytes in parts of a size and returns the answers without their dates.
func exchange(t *testing.T, sent []byte, size int, counted bool) []byte {
	inner := &oneConn{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: time.Second, MaxHeaderBytes: listener.MaxHeaderBytes, Handler: sizeHandler(limits.Body)}
	var own *listener.Listener
	var outer net.Listener = inner
	if counted {
		own = listener.Wrap(inner, listener.Options{Name: "fuzz", Limits: func() budget.Limits { return limits }})
		server.ConnContext, server.ConnState, server.Handler = own.ConnContext, listener.ConnState, own.Handler(server.Handler)
		outer = own
	}
	closed := make(chan struct{})
	state := server.ConnState
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if state != nil {
			state(c, s)
		}
		if s == http.StateClosed {
			close(closed)
		}
	}
	go func() { _ = server.Serve(outer) }()
	defer server.Close()
	near, far := socketPair(t)
	defer near.Close()
	inner.conns <- far
	go func() {
		for rest := sent; len(rest) > 0; {
			n := min(max(size, len(sent)/50+1), len(rest))
			if _, err := near.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
		_ = near.CloseWrite()
	}()
	_ = near.SetReadDeadline(time.Now().Add(5 * time.Second))
	// A reset ends the answers where the server closes a connection with unread bytes.
	answers, _ := io.ReadAll(near)
	<-closed
	if own != nil {
		if s := own.Stats(); s.Held != 0 || s.Connections != 0 {
			t.Fatalf("%d bytes of %d connections are held after the end", s.Held, s.Connections)
		}
	}
	var statuses []byte
	for line := range bytes.Lines(answers) {
		if bytes.HasPrefix(line, []byte("HTTP/1.1 ")) {
			statuses = append(statuses, line...)
		}
	}
	return statuses
}

// socketPair returns the ends of a connection that takes no port of the machine.
func socketPair(t *testing.T) (near, far *net.UnixConn) {
	files, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	qt.Assert(t, err, qt.IsNil)
	var ends [2]*net.UnixConn
	for i, fd := range files {
		file := os.NewFile(uintptr(fd), "socket")
		conn, err := net.FileConn(file)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, file.Close(), qt.IsNil)
		ends[i] = conn.(*net.UnixConn)
	}
	return ends[0], ends[1]
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest measures an ordinary request with and without a budget.
func BenchmarkRequest(b *testing.B) {
	for _, counted := range []bool{false, true} {
		b.Run(fmt.Sprintf("budget=%t", counted), func(b *testing.B) {
			address := ""
			if counted {
				_, address = serve(b, limits)
			} else {
				inner, err := net.Listen("tcp", "127.0.0.1:0")
				qt.Assert(b, err, qt.IsNil)
				server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: sizeHandler(limits.Body)}
				go func() { _ = server.Serve(inner) }()
				defer server.Close()
				address = inner.Addr().String()
			}
			conn, err := net.Dial("tcp", address)
			qt.Assert(b, err, qt.IsNil)
			defer conn.Close()
			request := []byte("POST /q/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("x", 400))
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			before := processorTime(b)
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
			// On a machine with other load, this says more than the time that passes.
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}
