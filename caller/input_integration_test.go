package caller_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/caller"
	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/pool"
)

// TestBadInput guards against bad requests that reach an endpoint, that are answered by anything but a problem document
// that says "not run", or that cause no event or no log line.
func TestBadInput(t *testing.T) {
	get := func(headers string) string { return "GET /work/swap/a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" }
	post := func(path, headers, body string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer KEY\r\n" + headers + "\r\n" + body
	}
	filler := func(n int) string { return "X-Filler: " + strings.Repeat("x", n) + "\r\n" }
	tests := map[string]struct {
		send string
		// keep keeps the sending side of the connection open, as a slow caller does.
		keep bool
		want problem.Kind
	}{
		"not HTTP":               {send: "\x16\x03\x01 hello\r\n\r\n", want: problem.Malformed},
		"no host":                {send: "GET /work/swap/a HTTP/1.1\r\n\r\n", want: problem.Malformed},
		"two hosts":              {send: get("Host: other\r\n"), want: problem.Malformed},
		"bad header line":        {send: get("no colon\r\n"), want: problem.Malformed},
		"bad version":            {send: "GET / HTTP/3.7\r\n\r\n", want: problem.Malformed},
		"unknown encoding":       {send: post("/work/swap/a", "Transfer-Encoding: gzip\r\n", ""), want: problem.Malformed},
		"unknown expectation":    {send: post("/work/swap/a", "Expect: wonders\r\n", ""), want: problem.Malformed},
		"two lengths":            {send: post("/work/swap/a", "Content-Length: 1\r\nContent-Length: 2\r\n", "ab"), want: problem.Malformed},
		"negative length":        {send: post("/work/swap/a", "Content-Length: -1\r\n", ""), want: problem.Malformed},
		"bad chunk":              {send: post("/work/swap/a", "Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n"), want: problem.Malformed},
		"connect":                {send: "CONNECT /work/swap/a HTTP/1.1\r\nHost: h\r\n\r\n", want: problem.Malformed},
		"bad escape":             {send: "GET /work/sw%zz/a HTTP/1.1\r\nHost: h\r\n\r\n", want: problem.Malformed},
		"header too large":       {send: get(filler(17 << 10)), want: problem.HeaderTooLarge},
		"header far too large":   {send: get(filler(60 << 10)), want: problem.HeaderTooLarge},
		"body announced large":   {send: post("/work/swap/a", "Content-Length: 3000000\r\n", ""), want: problem.BodyTooLarge},
		"chunked body too large": {send: post("/work/swap/a", "Transfer-Encoding: chunked\r\n", "200001\r\n"+strings.Repeat("x", 2<<20)), want: problem.BodyTooLarge},
		"slow first line":        {send: "GET /wo", keep: true, want: problem.SlowCaller},
		"slow head":              {send: "GET /work/swap/a HTTP/1.1\r\nHos", keep: true, want: problem.SlowCaller},
		"slow body":              {send: post("/work/swap/a", "Content-Length: 10\r\n", "abc"), keep: true, want: problem.SlowCaller},
		"body cut":               {send: post("/work/swap/a", "Content-Length: 10\r\n", "abc"), want: problem.Malformed},
		"bad timeout":            {send: post("/work/swap/a", "Chivetiller-Timeout: soon\r\n", ""), want: problem.Malformed},
		"negative timeout":       {send: post("/work/swap/a", "Chivetiller-Timeout: -1s\r\n", ""), want: problem.Malformed},
		"empty idempotency key":  {send: post("/work/swap/a", "Idempotency-Key: \r\n", ""), want: problem.Malformed},
		"long idempotency key":   {send: post("/work/swap/a", "Idempotency-Key: "+strings.Repeat("k", 256)+"\r\n", ""), want: problem.Malformed},
		"two idempotency keys":   {send: post("/work/swap/a", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", ""), want: problem.Malformed},
		"two keys":               {send: post("/work/swap/a", "Authorization: Bearer KEY\r\n", ""), want: problem.Malformed},
		"no key":                 {send: get(""), want: problem.InvalidKey},
		"wrong key":              {send: get("Authorization: Bearer k1.wrong\r\n"), want: problem.InvalidKey},
		"wrong scheme":           {send: get("Authorization: Basic KEY\r\n"), want: problem.InvalidKey},
		"unknown class":          {send: post("/work/tide/a", "", ""), want: problem.UnknownClass},
		"no class":               {send: post("/work/", "", ""), want: problem.UnknownClass},
		"doubled slash":          {send: post("//work/swap/a", "", ""), want: problem.UnknownRoute},
		"dots":                   {send: post("/work/../ready", "", ""), want: problem.UnknownClass},
		"unknown route":          {send: post("/other", "", ""), want: problem.UnknownRoute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// A connection on which nothing arrives within the timeout is closed without a response. Only the cases of slow callers
			// have a short timeout, because sending the others may take longer on a busy machine.
			timeout := 5 * time.Second
			if test.keep {
				timeout = 200 * time.Millisecond
			}
			r := newRig(t, rigOptions{caller: caller.Options{ReadTimeout: timeout}})
			text := strings.ReplaceAll(test.send, "KEY", r.key)
			conn, err := net.Dial("tcp", r.server.Address())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			go func() {
				// The server may answer and close before it has read everything.
				_, _ = io.WriteString(conn, text)
				if !test.keep {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			var d problem.Document
			c.Assert(json.NewDecoder(response.Body).Decode(&d), qt.IsNil)
			c.Assert(response.Header.Get("Content-Type"), qt.Equals, problem.ContentType)
			c.Assert(response.StatusCode, qt.Equals, test.want.Status, qt.Commentf("%v", d))
			c.Assert(d.Type, qt.Equals, "urn:chivetiller:problem:"+test.want.Name)
			c.Assert(d.NotRun, qt.IsTrue)
			c.Assert(d.Outcome, qt.Equals, "")
			c.Assert(d.RequestID, qt.Equals, response.Header.Get("Chivetiller-Request-Id"))
			c.Assert(d.RequestID, qt.Not(qt.Equals), "")
			event := r.events.last(1)
			c.Assert(event.Outcome, qt.Equals, test.want.Name)
			c.Assert(event.NotRun, qt.IsTrue)
			c.Assert(r.log.all(), qt.HasLen, 1, qt.Commentf("%s", r.log.all()))
			c.Assert(r.log.all()[0], qt.Contains, d.RequestID)
			c.Assert(r.runs(), qt.HasLen, 0)
		})
	}
}

// TestKeys guards against requests with a key that are admitted or sent while keys cannot be checked or after the key
// was revoked, and against open classes that then fail too.
func TestKeys(t *testing.T) {
	withoutKeys, err := config.NewSnapshot(2, []config.Document{
		config.NewDocument(pool.Spec{Name: testPool, MaxUnavailable: "20%"}),
		config.NewDocument(class.Spec{Name: "swap", Pool: testPool, Target: "2s", Share: 1}),
		config.NewDocument(class.Spec{Name: "board", Pool: testPool, Target: "2s", Share: 1, Open: true}),
	})
	qt.Assert(t, err, qt.IsNil)
	stale := func(s *fakeSource) { s.stale = true }
	revoked := func(s *fakeSource) { s.snapshot = withoutKeys }
	// The process is paused after it has read the snapshot, until a newer configuration has been confirmed.
	revokedDuringCheck := func(s *fakeSource) {
		s.stale = true
		s.afterSnapshot = func() { s.snapshot, s.stale = withoutKeys, false }
	}
	tests := map[string]struct {
		change     func(s *fakeSource)
		checks     int
		path       string
		wantStatus int
	}{
		"stale at admission":          {change: stale, path: "/work/swap/a", wantStatus: 503},
		"stale before first byte":     {change: stale, checks: 1, path: "/work/swap/a", wantStatus: 503},
		"stale and open":              {change: stale, path: "/work/board/a", wantStatus: 200},
		"revoked at admission":        {change: revoked, path: "/work/swap/a", wantStatus: 401},
		"revoked before first byte":   {change: revoked, checks: 1, path: "/work/swap/a", wantStatus: 401},
		"revoked during the check":    {change: revokedDuringCheck, checks: 1, path: "/work/swap/a", wantStatus: 503},
		"revoked after the last byte": {change: revoked, checks: 3, path: "/work/swap/a", wantStatus: 200},
		"revoked and open":            {change: revoked, path: "/work/board/a", wantStatus: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t, rigOptions{})
			r.source.change(test.checks, func() { test.change(r.source) })
			a := r.send(t.Context(), "POST", test.path, "x")
			c.Assert(a.err, qt.IsNil)
			c.Assert(a.status, qt.Equals, test.wantStatus)
			c.Assert(a.document.NotRun, qt.Equals, test.wantStatus != 200)
			c.Assert(len(r.runs()) == 0, qt.Equals, test.wantStatus != 200)
			if test.wantStatus == 503 {
				c.Assert(a.header.Get("Retry-After"), qt.Equals, "1")
			}
		})
	}
}

// TestForwardedHeaders guards against keys of teams that reach endpoints, hop-by-hop headers that are forwarded, and
// trace contexts that are lost or are forwarded although they are not valid.
func TestForwardedHeaders(t *testing.T) {
	const trace = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	tests := map[string]struct{ header, value, want string }{
		"key":               {"Authorization", "", ""},
		"trace":             {"traceparent", trace, trace},
		"bad trace":         {"traceparent", "00-zz", ""},
		"own header":        {"Chivetiller-Timeout", "1s", ""},
		"hop header":        {"Te", "trailers", ""},
		"content":           {"Content-Type", "text/plain", "text/plain"},
		"named by hop list": {"X-Private", "1", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := make(chan http.Header, 1)
			r := newRig(t, rigOptions{})
			r.endpoints[0].OnRequest(func(q *http.Request) { got <- q.Header.Clone() })
			headers := []string{"Connection: X-Private"}
			if test.value != "" {
				headers = append(headers, fmt.Sprintf("%s: %s", test.header, test.value))
			}
			a := r.send(t.Context(), "POST", "/work/swap/a", "x", headers...)
			c.Assert(a.status, qt.Equals, 200)
			h := <-got
			c.Assert(h.Get(test.header), qt.Equals, test.want)
			c.Assert(h.Get("Chivetiller-Request-Id"), qt.Equals, a.header.Get("Chivetiller-Request-Id"))
		})
	}
}
