package connection_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/dispatch/connection"
)

// server accepts connections on loopback and hands each to serve.
func server(t *testing.T, serve func(c net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// respondWith returns a handler that sends the bytes as the response to one request and waits for the client to close.
func respondWith(response string) func(net.Conn) {
	return func(c net.Conn) {
		r := bufio.NewReader(c)
		if q, err := http.ReadRequest(r); err != nil {
			return
		} else if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		_, _ = r.ReadByte()
	}
}

func request(method string) *connection.Request {
	return &connection.Request{
		ID: "r1", Method: method, URL: &url.URL{Path: "/a"}, Header: http.Header{"Chivetiller-Request-Id": {"r1"}},
		Body: []byte("body"), Deadline: time.Now().Add(300 * time.Millisecond),
	}
}

const head = "HTTP/1.1 200 OK\r\nChivetiller-Request-Id: r1\r\n"

// TestExchange guards against incomplete responses, or those to another request, that are accepted, and against
// connections that are reused although bytes of another response are on them.
func TestExchange(t *testing.T) {
	tests := map[string]struct {
		method       string
		response     string
		wantFault    connection.FaultKind
		wantBody     string
		wantReusable bool
		wantNotRun   bool
	}{
		"length":           {response: head + "Content-Length: 2\r\n\r\nok", wantBody: "ok", wantReusable: true},
		"chunks":           {response: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", wantBody: "ok", wantReusable: true},
		"no content":       {response: "HTTP/1.1 204 No Content\r\nChivetiller-Request-Id: r1\r\n\r\n", wantReusable: true},
		"head":             {method: "HEAD", response: head + "Content-Length: 2000000\r\nContent-Digest: sha-256=:AA==:\r\n\r\n", wantReusable: true},
		"head no length":   {method: "HEAD", response: head + "\r\n", wantReusable: true},
		"early hints":      {response: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", wantBody: "ok", wantReusable: true},
		"only early hints": {response: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9), wantFault: connection.FaultMalformed},
		"switch":           {response: "HTTP/1.1 101 Switching Protocols\r\n\r\n", wantFault: connection.FaultMalformed},
		"status 099":       {response: "HTTP/1.1 099 Odd\r\nChivetiller-Request-Id: r1\r\nContent-Length: 0\r\n\r\n", wantFault: connection.FaultMalformed},
		"status 999":       {response: "HTTP/1.1 999 Odd\r\nChivetiller-Request-Id: r1\r\nContent-Length: 0\r\n\r\n", wantFault: connection.FaultMalformed},
		"close":            {response: head + "Connection: close\r\nContent-Length: 2\r\n\r\nok", wantBody: "ok"},
		"bytes after":      {response: head + "Content-Length: 2\r\n\r\nokmore", wantBody: "ok"},
		"two responses":    {response: strings.Repeat(head+"Content-Length: 2\r\n\r\nok", 2), wantBody: "ok"},
		"not run":          {response: head + "Chivetiller-Not-Run: true\r\nContent-Length: 0\r\n\r\n", wantReusable: true, wantNotRun: true},
		"not run unclear":  {response: head + "Chivetiller-Not-Run: true\r\nChivetiller-Not-Run: false\r\nContent-Length: 0\r\n\r\n", wantReusable: true},
		"no request id":    {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", wantFault: connection.FaultRequestID},
		"two request ids":  {response: head + "Chivetiller-Request-Id: r2\r\nContent-Length: 2\r\n\r\nok", wantFault: connection.FaultRequestID},
		"bad digest":       {response: head + "Content-Digest: sha-256=:AAAA:\r\nContent-Length: 2\r\n\r\nok", wantFault: connection.FaultDigest},
		"broken digest":    {response: head + "Content-Digest: sha-256=:?:\r\nContent-Length: 2\r\n\r\nok", wantFault: connection.FaultDigest},
		"good digest": {response: head + "Content-Digest: md5=:AA==:, sha-256=:Jok2eyBcFs4y7UIAlCuLix4mLfxw2byfvHfElpmk8d8=:\r\nContent-Length: 2\r\n\r\nok",
			wantBody: "ok", wantReusable: true},
		"bad chunk":       {response: head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nok", wantFault: connection.FaultTruncated},
		"negative length": {response: head + "Content-Length: -2\r\n\r\nok", wantFault: connection.FaultMalformed},
		"nothing":         {wantFault: connection.FaultTimeout},
		"half":            {response: head + "Content-Length: 9\r\n\r\nok", wantFault: connection.FaultTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := connection.Dial(t.Context(), server(t, respondWith(test.response)), connection.Limits{})
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			method := test.method
			if method == "" {
				method = "POST"
			}
			response, err := conn.Exchange(t.Context(), request(method))
			if test.wantFault != "" {
				var fault *connection.Fault
				c.Assert(errors.As(err, &fault), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(fault.Kind, qt.Equals, test.wantFault, qt.Commentf("%v", err))
				c.Assert(fault.Sent, qt.IsTrue)
				c.Assert(conn.Reusable(), qt.IsFalse)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(string(response.Body), qt.Equals, test.wantBody)
			c.Assert(response.NotRun, qt.Equals, test.wantNotRun)
			c.Assert(conn.Reusable(), qt.Equals, test.wantReusable)
			c.Assert(conn.Alive(), qt.Equals, test.wantReusable)
		})
	}
}

// TestAlive guards against a request on a connection that the endpoint has closed, which would leave its outcome
// unknown, or on which a late response waits.
func TestAlive(t *testing.T) {
	const ok = head + "Content-Length: 2\r\n\r\nok"
	tests := map[string]struct {
		after func(c net.Conn)
		want  bool
	}{
		"open":          {after: func(net.Conn) {}, want: true},
		"closed":        {after: func(c net.Conn) { c.Close() }},
		"late response": {after: func(c net.Conn) { _, _ = io.WriteString(c, ok) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			proceed, done := make(chan struct{}), make(chan struct{})
			address := server(t, func(conn net.Conn) {
				r := bufio.NewReader(conn)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, ok)
				<-proceed
				test.after(conn)
				close(done)
				_, _ = io.Copy(io.Discard, r)
			})
			conn, err := connection.Dial(t.Context(), address, connection.Limits{})
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = conn.Exchange(t.Context(), request("GET"))
			c.Assert(err, qt.IsNil)
			c.Assert(conn.Alive(), qt.IsTrue)
			close(proceed)
			<-done
			// The close or the response arrives over loopback within this time.
			time.Sleep(20 * time.Millisecond)
			c.Assert(conn.Alive(), qt.Equals, test.want)
		})
	}
}

// TestCheck guards against a request that is sent, even in part, although the check of its permit or key fails.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	received := make(chan int, 1)
	address := server(t, func(conn net.Conn) {
		n, _ := io.Copy(io.Discard, conn)
		received <- int(n)
	})
	conn, err := connection.Dial(t.Context(), address, connection.Limits{})
	c.Assert(err, qt.IsNil)
	expired := errors.New("permit expired")
	for _, size := range []int{0, 10, 100_000} {
		q := request("POST")
		q.Body = make([]byte, size)
		q.CheckBeforeSend = func() error { return expired }
		_, err = conn.Exchange(t.Context(), q)
		var fault *connection.Fault
		c.Assert(errors.As(err, &fault), qt.IsTrue)
		c.Assert(fault.Kind, qt.Equals, connection.FaultCheck)
		c.Assert(fault.Sent, qt.IsFalse)
		c.Assert(err, qt.ErrorIs, expired)
		c.Assert(conn.Alive(), qt.IsTrue)
	}
	conn.Close()
	c.Assert(<-received, qt.Equals, 0)
}

// TestCancel guards against an attempt that goes on after its context has ended, and against a fault that denies
// that the request was sent.
func TestCancel(t *testing.T) {
	c := qt.New(t)
	conn, err := connection.Dial(t.Context(), server(t, respondWith("")), connection.Limits{})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	q := request("GET")
	q.Deadline = time.Now().Add(time.Minute)
	_, err = conn.Exchange(ctx, q)
	var fault *connection.Fault
	c.Assert(errors.As(err, &fault), qt.IsTrue)
	c.Assert(fault.Kind, qt.Equals, connection.FaultCancelled)
	c.Assert(fault.Sent, qt.IsTrue)
	c.Assert(conn.Reusable(), qt.IsFalse)
}

// TestEarlyResponse guards against an unknown outcome for a request that the endpoint refused as not run before it
// had read the whole body.
func TestEarlyResponse(t *testing.T) {
	c := qt.New(t)
	address := server(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 100))
		_, _ = io.WriteString(conn, head+"Chivetiller-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
	})
	conn, err := connection.Dial(t.Context(), address, connection.Limits{})
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	q := request("POST")
	q.Body = make([]byte, 64<<20)
	response, err := conn.Exchange(t.Context(), q)
	c.Assert(err, qt.IsNil)
	c.Assert(response.NotRun, qt.IsTrue)
	c.Assert(conn.Reusable(), qt.IsFalse)
}

// TestLateCancel guards against a cancellation that races with the last byte of a response, and then ends the next
// exchange on the same connection.
func TestLateCancel(t *testing.T) {
	c := qt.New(t)
	address := server(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
		}
	})
	reused := 0
	for n := range 2000 {
		conn, err := connection.Dial(t.Context(), address, connection.Limits{})
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Duration(n%100)*2*time.Microsecond, cancel)
		_, err = conn.Exchange(ctx, request("GET"))
		if err == nil && conn.Reusable() {
			reused++
			_, err = conn.Exchange(context.Background(), request("GET"))
			c.Assert(err, qt.IsNil)
		}
		cancel()
		conn.Close()
	}
	c.Assert(reused > 0, qt.IsTrue)
}
