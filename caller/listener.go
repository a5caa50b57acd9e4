package caller

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/chivetiller/chivetiller/common/problem"
)

// problemListener makes the answers that the HTTP server gives by itself, before any handler runs,
// problem documents like all others.
type problemListener struct{ net.Listener }

// Accept implements net.Listener.
func (l problemListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return problemConn{tcp}, nil
}

// problemConn replaces the plain text answers of the HTTP server. Each is written by one call.
type problemConn struct{ *net.TCPConn }

// plainHead is how the HTTP server begins the header of an answer of its own.
var plainHead = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

const statusPrefix = "HTTP/1.1 "

// Write implements net.Conn.
func (c problemConn) Write(p []byte) (int, error) {
	if len(p) < len(statusPrefix)+3 || p[len(statusPrefix)] != '4' {
		return c.TCPConn.Write(p)
	}
	answer := plainAnswer(p)
	if answer == nil {
		return c.TCPConn.Write(p)
	}
	if _, err := c.TCPConn.Write(answer); err != nil {
		return 0, err
	}
	return len(p), nil
}

// plainAnswer returns the document to send in place of p, or nil if p is not an answer of the HTTP server itself.
func plainAnswer(p []byte) []byte {
	line, rest, ok := bytes.Cut(p, []byte("\r\n"))
	if !ok || !bytes.HasPrefix(append([]byte("\r\n"), rest...), plainHead) {
		return nil
	}
	status, err := strconv.Atoi(string(line[len(statusPrefix) : len(statusPrefix)+3]))
	if err != nil {
		return nil
	}
	kind := problem.Malformed
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		kind = problem.HeaderTooLarge
	case http.StatusBadRequest:
	default:
		kind.Status = status
	}
	id := newID()
	body := problem.NotRun(kind, "request is not valid HTTP/1.1").JSON(id)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		kind.Status, http.StatusText(kind.Status), problem.ContentType, problem.HeaderRequestID, id, len(body))
	return append([]byte(head), body...)
}
