package crowdtest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Limits of the configuration that a client may use in full.
const (
	legalHead     = 16384
	headTime      = 3000 * time.Millisecond
	headTimeSlack = 300 * time.Millisecond
)

// TestSingleRequestAtLimit guards against limits on crowds that a single client inside the limits meets in calm.
func TestSingleRequestAtLimit(t *testing.T) {
	s := startTarget(t, memoryMB, descriptors)
	padded := func(size int) string {
		return "{" + strings.Repeat(" ", size-len(jobBody)) + jobBody[1:]
	}
	whole := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	chunked := func(body string, size int) string {
		var out strings.Builder
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := min(size, len(body))
			fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		return out.String() + "0\r\n\r\n"
	}
	tests := map[string]struct {
		rest string
		// head is the size to which the head is filled, if it is not 0, and fields what comes before that.
		head   int
		fields string
		parts  int
		time   time.Duration
	}{
		"head of the largest size":          {rest: whole(jobBody), head: legalHead, parts: 1},
		"slow head of the largest size":     {rest: whole(jobBody), head: legalHead, parts: 30, time: headTime - headTimeSlack},
		"head of the most fields":           {rest: whole(jobBody), head: legalHead, fields: manyFields(), parts: 1},
		"body of the largest size":          {rest: whole(padded(legalBody)), parts: 1},
		"steady body of the largest size":   {rest: whole(padded(legalBody)), parts: 100, time: 2500 * time.Millisecond},
		"large chunks of the largest body":  {rest: chunked(padded(legalBody), 65536), parts: 1},
		"small chunks of the largest body":  {rest: chunked(padded(legalBody), 64), parts: 1},
		"one-byte chunks of a largest body": {rest: chunked(padded(legalBody), 1), parts: 1},
	}
	number := 0x1000
	for name, test := range tests {
		number++
		t.Run(name, func(t *testing.T) {
			head := fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key-of-tenant-a\r\n", number)
			head += test.fields
			if test.head > 0 {
				length := strings.Index(test.rest, "\r\n\r\n") + 4
				head += "X-Fill: " + strings.Repeat("x", test.head-len(head)-length-len("X-Fill: \r\n")) + "\r\n"
			}
			request := head + test.rest
			conn, err := net.Dial("tcp", s.node.Front())
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			size := (len(request) + test.parts - 1) / test.parts
			for len(request) > 0 {
				n := min(size, len(request))
				_, err := conn.Write([]byte(request[:n]))
				qt.Assert(t, err, qt.IsNil)
				request = request[n:]
				time.Sleep(test.time / time.Duration(test.parts))
			}
			qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}
